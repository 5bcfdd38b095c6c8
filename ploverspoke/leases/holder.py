"""A process that wants leases, without I/O: what it wants, what it has, and for how long by its own clock.

Time counts from before it asked, less a margin for drift: whatever the way and the keepers did meanwhile, by
then no other can have been given it. What it has is over by itself.
"""

from collections.abc import Callable
from typing import Any, Protocol

from .definitions import DRIFT

ASK_PART = 3  # it asks again when a third of the shortest duration is over
AGAIN_PART = 15  # and where no answer came after a fifteenth
LEAST_AGAIN = 40_000_000  # ns
MOST_KEPT = 64  # messages whose time is remembered
NEVER = 1 << 62
Message = dict[str, Any]


class LeaseHolderEnvironment(Protocol):
    def now(self) -> int:
        """ns of a monotonic clock."""

    def send(self, message: Message) -> None:
        """To the keeper that is believed to lead."""

    def go_elsewhere(self) -> None:
        """That keeper does not answer: the next message goes to another."""


class Lease:
    """One name that is wanted."""

    def __init__(self, name: str, duration: int, since: int, first: int) -> None:
        self.name = name
        self.first = (
            first  # the message that asked for it first: answers to earlier ones speak of another time
        )
        self.duration = duration
        self.since = since
        self.token = 0
        self.until = 0  # ns, by our clock; 0: not held
        self.on_held: Callable[[], None] = lambda: None
        self.on_lost: Callable[[str], None] = lambda why: None  # held no more, or refused


class LeaseHolder:
    def __init__(self, host: LeaseHolderEnvironment) -> None:
        self.host = host
        self.leases: dict[str, Lease] = {}
        self.releasing: dict[
            str, tuple[int, int, str]
        ] = {}  # name: token, message that said it first, to whom
        self.number = 0
        self.sent: dict[int, int] = {}  # when each message was sent
        self.answered = 0  # the latest that was
        self.next_ask = NEVER
        self.acquired = self.lost = self.renewals = 0
        self.least_left = NEVER  # of all renewals of held ones: how near the end they came

    # ---- What its user asks ----

    def want(self, name: str, duration: int) -> Lease:
        """`duration` in ns. It is wanted, and renewed, until `release`."""
        lease = self.leases.get(name)
        if lease is None:
            lease = self.leases[name] = Lease(name, duration, self.host.now(), self.number + 1)
            self.next_ask = 0
        return lease

    def release(self, name: str, to: str = "") -> None:
        """Not held from now on. Told to the keepers as a favour: if that is lost, the others wait longer."""
        lease = self.leases.pop(name, None)
        if lease is not None and lease.token:
            self.releasing[name] = (lease.token, self.number + 1, to)
        # Also where it was only waited for: that is told, too.
        self.next_ask = 0

    def give_back(self, name: str, token: int) -> None:
        """Release what is not known here to be held, under the token that it was given."""
        self.releasing[name] = (token, self.number + 1, "")
        self.next_ask = 0

    def left(self, name: str) -> int:
        """ns for which it is certainly ours; 0 where it is not."""
        lease = self.leases.get(name)
        return max(0, lease.until - self.host.now()) if lease is not None else 0

    def token(self, name: str) -> int:
        """That of a lease which is ours now; 0 where none is."""
        return self.leases[name].token if self.left(name) else 0

    # ---- What happens ----

    def connected(self) -> None:
        """A keeper can be asked."""
        if self.leases or self.releasing:
            self._ask(self.host.now())

    def tick(self) -> None:
        """Time has passed. `wake` says when it is wanted."""
        now = self.host.now()
        for lease in list(self.leases.values()):
            if lease.until and lease.until <= now:
                self._lost(lease, "it was not renewed in time")
        if now < self.next_ask or not (self.leases or self.releasing):
            return
        if self.number and self.answered < self.number:
            self.host.go_elsewhere()
        self._ask(now)

    def wake(self) -> int:
        ends = [lease.until for lease in self.leases.values() if lease.until]
        return min(self.next_ask, *ends) if ends else self.next_ask

    def told(self, message: Message) -> None:
        """A keeper's answer."""
        number, now = message["n"], self.host.now()
        sent_at = self.sent.get(number)
        if sent_at is None:
            return
        if number > self.answered:
            self.answered = number
            if number == self.number:
                self.next_ask = max(self.next_ask, sent_at + self._period())
        for name, (_, said, _) in list(self.releasing.items()):
            if said <= number:
                del self.releasing[name]
        for name, token, duration in message["has"]:
            self._has(number, name, token, sent_at + int(duration * (1 - DRIFT)), now)
        for name, token in message["lost"]:
            lease = self.leases.get(name)
            if lease is not None and lease.token == token:
                lease.token = 0
                self._lost(lease, "the keepers have given it on")
        for name, why in message["refused"]:
            lease = self.leases.pop(name, None)
            if lease is not None:
                lease.on_lost(why)

    # ---- Inside ----

    def _has(self, number: int, name: str, token: int, until: int, now: int) -> None:
        lease = self.leases.get(name)
        if lease is None:
            if name not in self.releasing:
                # Given after we had left: who waits need not wait for its end.
                self.releasing[name] = (token, self.number + 1, "")
                self.next_ask = 0
            return
        if number < lease.first or token < lease.token:
            return  # an old answer, late: what it speaks of may have been released since
        lease.token = token
        if until <= now or until <= lease.until:
            return  # over already, or known for longer
        was, lease.until = lease.until, until
        if was:
            self.renewals += 1
            self.least_left = min(self.least_left, was - now)
        else:
            self.acquired += 1
            lease.on_held()

    def _lost(self, lease: Lease, why: str) -> None:
        if lease.until:
            lease.until = 0
            lease.since = self.host.now()
            self.lost += 1
            lease.on_lost(why)

    def _period(self) -> int:
        return min((lease.duration for lease in self.leases.values()), default=3_000_000_000) // ASK_PART

    def _ask(self, now: int) -> None:
        self.number += 1
        # Before it is sent, and known before any answer can come.
        self.sent[self.number] = now
        self.sent.pop(self.number - MOST_KEPT, None)
        want = [[one.name, one.duration, one.token, max(0, now - one.since)] for one in self.leases.values()]
        release = [[name, token, to] for name, (token, _, to) in self.releasing.items()]
        again = max(LEAST_AGAIN, self._period() * ASK_PART // AGAIN_PART)
        self.next_ask = now + again
        self.host.send({"n": self.number, "want": want, "release": release})
