"""A keeper's part while it leads, without I/O: who waits, and when what was given is over.

Its time is its own monotonic clock. A lease is counted from when it was given or renewed here, and from the
take-over where another keeper gave it: so none is given on before its holder, which counts from before it
asked and less a margin for drift, has stopped.

A renewal changes nothing that is written down. It is answered once a majority has confirmed that this keeper
still led after it had come; whoever leads next begins to count later than that.

A holder says in one message all that it wants, with the token where it has one, and repeats it before a third
of the time is over; an answer names the message that it answers. Messages that are doubled or late change
nothing: their number is not above the latest that was heard from that holder.
"""

from collections.abc import Callable
from typing import Any, Protocol

from .definitions import LeaseDefinitions
from .state_machine import ERA, GRANT, RELEASE, LeaseGrant, LeaseStateMachine

STALE_PART = 0.6  # of a duration: who has not been heard for so long is passed over
MOST_WANTS = 1000  # of one holder
NEVER = 1 << 62
Message = dict[str, Any]


class LeaseManagerEnvironment(Protocol):
    def now(self) -> int:
        """ns of a monotonic clock."""

    def propose(self, command: list[Any], then: Callable[[bool], None]) -> None: ...

    def confirm(self, then: Callable[[bool], None]) -> None:
        """`then` hears True once a majority has said, later than this call, that this keeper leads."""

    def tell(self, holder: str, message: Message) -> None: ...


class Waiting:
    """One that wants a lease and has not got it."""

    def __init__(self, holder: str, duration: int, since: int, heard_at: int) -> None:
        self.holder = holder
        self.duration = duration
        self.since = since
        self.heard_at = heard_at


class LeaseManager:
    def __init__(
        self, host: LeaseManagerEnvironment, terms: LeaseStateMachine, rules: LeaseDefinitions
    ) -> None:
        self.host = host
        self.terms = terms
        self.rules = rules
        self.leading = False
        self.era = 0  # above that of the state: it is a restored one, and who holds what is not known
        self.quiet_until = 0  # what was given before the restore may go on until then
        self.proposing_era = False
        self.deadlines: dict[int, int] = {}  # by token
        self.ended: set[int] = set()  # tokens that were said to be over, or are about to be
        self.queues: dict[str, list[Waiting]] = {}
        self.proposing: set[str] = set()  # names
        self.heard: dict[str, int] = {}  # the latest message of each holder
        self.batch: list[tuple[str, Message]] = []
        self.confirming = False
        self.wake = NEVER
        self.granted = self.renewed = self.lost = 0
        terms.on_granted = self._granted
        terms.on_over = self._over

    # ---- What can happen ----

    def leads(self, era: int = 0) -> None:
        """All that was committed before is applied here. `era` is that of this keeper's disk: where it is
        above the state's, nothing is given until the longest lease is over, and all that was held is.
        """
        now = self.host.now()
        self.leads_no_more()
        self.leading = True
        self.era = era
        self.quiet_until = now + self.rules.longest
        for held in (one for row in self.terms.names.values() for one in row):
            self.deadlines[held.token] = now + held.duration
            if self.is_restored():
                self.ended.add(held.token)

    def is_restored(self) -> bool:
        return self.era > self.terms.era

    def leads_no_more(self) -> None:
        """To be said before anything is applied that another leader has committed: what is told of a grant
        counts from the latest message heard here, and must not be told of an old one.
        """
        self.leading = False
        self.proposing_era = False
        self.deadlines.clear()
        self.ended.clear()
        self.queues.clear()
        self.proposing.clear()
        self.heard.clear()
        self.batch.clear()
        self.confirming = False
        self.wake = NEVER

    def asked(self, holder: str, message: Message) -> None:
        """All that this holder wants by now; what it has left out it wants no more."""
        if not self.leading or message["n"] <= self.heard.get(holder, 0):
            return
        self.heard[holder] = message["n"]
        now = self.host.now()
        self._released(holder, message.get("release", ()))
        wanted = {row[0] for row in message["want"][:MOST_WANTS]}
        for name in [
            n for n, row in self.queues.items() if n not in wanted and any(w.holder == holder for w in row)
        ]:
            self._forget(name, holder)
        for name, duration, token, waited in message["want"][:MOST_WANTS]:
            if self.rules.refusal(name, duration):
                continue
            held = self.terms.held(name, holder)
            if held is not None and held.token not in self.ended and token in (0, held.token):
                # Longer than was counted is always right; what it may be told waits for the majority.
                self.deadlines[held.token] = now + held.duration
            else:
                self._wait(name, Waiting(holder, duration, now - waited, now))
        self.batch.append((holder, message))
        self._confirm()

    def gone(self, holder: str) -> None:
        """Its connection is lost. What it holds it may still act under; it waits no more."""
        self.heard.pop(holder, None)
        for name in list(self.queues):
            self._forget(name, holder)

    def tick(self) -> None:
        """Time has passed. `wake` says when it is wanted."""
        if not self.leading or self.host.now() < self.wake:
            return
        self.wake = NEVER
        for name in list(self.queues):
            self._try(name)

    # ---- Answers ----

    def _confirm(self) -> None:
        if self.confirming or not self.batch:
            return
        self.confirming = True
        batch, self.batch = self.batch, []

        def told(yes: bool) -> None:
            self.confirming = False
            if yes and self.leading:
                for holder, message in batch:
                    self._answer(holder, message)
            if self.leading:
                self._confirm()

        self.host.confirm(told)

    def _answer(self, holder: str, message: Message) -> None:
        has, lost, refused = [], [], []
        for name, duration, token, _ in message["want"][:MOST_WANTS]:
            why = self.rules.refusal(name, duration)
            held = self.terms.held(name, holder)
            if why:
                refused.append([name, why])
            elif held is not None and held.token not in self.ended and token in (0, held.token):
                has.append([name, held.token, held.duration])
                self.renewed += token != 0
            elif token:
                lost.append([name, token])
                self.lost += 1
        self.host.tell(holder, {"n": message["n"], "has": has, "lost": lost, "refused": refused})

    def _granted(self, name: str, held: LeaseGrant) -> None:
        if not self.leading:
            return
        self.granted += 1
        self.proposing.discard(name)
        self.deadlines[held.token] = self.host.now() + held.duration
        self._forget(name, held.holder)
        if held.holder in self.heard:
            # It counts from when it sent the latest message that was heard: that is what the number says.
            row = [name, held.token, held.duration]
            self.host.tell(
                held.holder, {"n": self.heard[held.holder], "has": [row], "lost": [], "refused": []}
            )
        self._try(name)

    def _over(self, name: str, held: LeaseGrant) -> None:
        self.deadlines.pop(held.token, None)
        self.ended.discard(held.token)
        if self.leading:
            self._try(name)

    # ---- Who is next ----

    def _wait(self, name: str, waiting: Waiting) -> None:
        queue = self.queues.setdefault(name, [])
        known = next((one for one in queue if one.holder == waiting.holder), None)
        if known is not None:
            known.heard_at, known.duration = waiting.heard_at, waiting.duration
        else:
            # In the order in which they began to wait, also where another keeper heard them before.
            at = next((n for n, one in enumerate(queue) if one.since > waiting.since), len(queue))
            queue.insert(at, waiting)
        self._try(name)

    def _forget(self, name: str, holder: str) -> None:
        left = [one for one in self.queues.get(name, ()) if one.holder != holder]
        if left:
            self.queues[name] = left
        else:
            self.queues.pop(name, None)

    def _released(self, holder: str, rows: Any) -> None:
        """Only who holds it can release it, under its own token. `to` is whom it is handed over to."""
        found = []
        for name, token, to in rows:
            held = self.terms.held(name, holder)
            if held is None or held.token != token or token in self.ended:
                continue
            found.append([name, token])
            self.ended.add(token)
            queue = self.queues.get(name, [])
            for one in queue:
                if one.holder == to:
                    one.since = -NEVER  # before all others
            queue.sort(key=lambda one: one.since)
        if found:
            self.host.propose([RELEASE, found], lambda yes: None)

    def _try(self, name: str) -> None:
        """Give it to whoever is next, where there is a place; else see when there will be one."""
        queue, rule = self.queues.get(name), self.rules.of(name)
        if queue is None or rule is None or name in self.proposing:
            return
        now = self.host.now()
        if self.is_restored():
            self._begin_era(now)
            return
        held = self.terms.names.get(name, [])
        over = [one.token for one in held if one.token in self.ended or self.deadlines[one.token] <= now]
        if len(held) - len(over) >= rule.places:
            ends = [self.deadlines[one.token] for one in held if one.token not in over]
            self.wake = min(self.wake, *ends)
            return
        has = {one.holder for one in held if one.token not in over}
        for one in list(queue):
            if one.holder in has:
                continue
            if now - one.heard_at > one.duration * STALE_PART:
                self._forget(name, one.holder)  # it keeps its turn, should it ask again
                continue
            self.proposing.add(name)
            self.ended.update(over)
            command = [GRANT, name, one.holder, one.duration, rule.places, over]
            self.host.propose(command, lambda yes: self._proposed(name, yes))
            return

    def _begin_era(self, now: int) -> None:
        if now < self.quiet_until:
            self.wake = min(self.wake, self.quiet_until)
        elif not self.proposing_era:
            self.proposing_era = True
            self.host.propose([ERA, self.era], self._era_begun)

    def _era_begun(self, yes: bool) -> None:
        self.proposing_era = False
        if self.leading:
            for name in list(self.queues):
                self._try(name)

    def _proposed(self, name: str, yes: bool) -> None:
        """Whoever is refused by the state by then waits on; where the lead is lost, nothing is known here."""
        if self.leading and name in self.proposing:
            self.proposing.discard(name)
            if yes:
                self._try(name)
