"""Writes down for the router what must be committed before it may happen, and ends what others left open."""

import asyncio
import time
from collections.abc import Callable
from hashlib import blake2b

from ploverspoke.routing.answers import FinalAnswer, RecordedAnswer
from ploverspoke.routing.request_log import CommitCallback, PreviousOutcome
from ploverspoke.transport.rate_limited_log import log_line

from . import state_machine
from .node import StoreNode
from .recovery import Fate, answer_when_over, fate

AFTER_ABANDON = 0.05  # seconds past the abandon time, in which its own answer may still be on its way


class ReplicatedRequestLog:
    """The `RequestLog` of one replica."""

    def __init__(
        self, node: StoreNode, repeats: list[str], groups: list[str], full_may_have_run: bool = False
    ) -> None:
        """Repeat and group of each grade, and whether "full" is no proof, as the standing orders have it."""
        self.full_may_have_run = full_may_have_run
        self.node = node
        self.repeats = repeats
        self.groups = groups
        self.on_lost: Callable[[], None] = lambda: None
        self.led = False
        self.recovered = 0
        node.on_role.append(self._role_changed)

    def is_leader(self) -> bool:
        return self.led and self.node.leads()

    def leader_address(self) -> str:
        own = self.node.orders.replicas[self.node.orders.name][1]
        found = self.node.leader_clients()
        return "" if found == own else found

    def digest(self, method: str, target: str, body: bytes) -> bytes:
        head = f"{method} {target}\n".encode("utf-8", "surrogatepass")
        return blake2b(head + body, digest_size=16).digest()

    def previous_outcome(self, request_id: str) -> PreviousOutcome | None:
        answered = self.node.ledger.answered.get(request_id)
        if answered is not None:
            return PreviousOutcome(
                RecordedAnswer(FinalAnswer(answered.how), answered.result), answered.digest, 0, "", 0
            )
        job = self.node.ledger.open.get(request_id)
        if job is None:
            return None
        found = fate(job, self.repeats[job.grade], self.full_may_have_run)
        first = found.may_have_run
        if first is None:
            return PreviousOutcome(None, job.digest, found.hand_offs, "", 0)
        # The store's clock stood still while no replica ran, a wall clock may have been set back: the longer
        # time counts, since past its window nothing runs again.
        now = self.node.clock.now()
        since = max(now - first.at, time.time_ns() - (first.wall or first.at))
        return PreviousOutcome(None, job.digest, found.hand_offs, first.worker, since)

    def record_request(
        self,
        request_id: str,
        class_number: int,
        digest: bytes,
        time_left: int,
        on_committed: CommitCallback,
    ) -> None:
        now = self.node.clock.now()
        command = [state_machine.TAKE, request_id, class_number, digest, now + time_left, now]
        self.node.propose(command, on_committed)

    def record_attempt(self, request_id: str, worker: str, index: int, on_committed: CommitCallback) -> None:
        command = [state_machine.INTEND, request_id, worker, index, self.node.clock.now(), time.time_ns()]
        self.node.propose(command, on_committed)

    def record_attempt_outcome(self, request_id: str, index: int, outcome: str) -> None:
        self.node.propose([state_machine.OUTCOME, request_id, index, outcome], _nobody)

    def record_answer(
        self, request_id: str, answer: RecordedAnswer, digest: bytes, on_committed: CommitCallback
    ) -> None:
        how, result = answer.answer.value, answer.result

        def told(yes: bool) -> None:
            # Another answer may have been committed first: then that one stands, and ours is not given.
            kept = self.node.ledger.answered.get(request_id)
            on_committed(yes and kept is not None and (kept.how, kept.result) == (how, result))

        self.node.propose(
            [state_machine.ANSWER, request_id, how, result, digest, self.node.clock.now()], told
        )

    # ---- Taking over ----

    def _role_changed(self, role: str, leader: str) -> None:
        if role == "leader":
            self.node.read(self._took_over)
        elif self.led:
            self.led = False
            log_line(f"store: {self.node.orders.name} leads no more")
            self.on_lost()

    def _took_over(self, yes: bool) -> None:
        """All that was committed before is applied here: what others left open can be judged."""
        if not yes:
            return
        self.led = True
        left = list(self.node.ledger.open.items())
        log_line(f"store: {self.node.orders.name} leads; {len(left)} submissions were open")
        for name, job in left:
            self.recovered += 1
            if fate(job, self.repeats[job.grade], self.full_may_have_run).fate is Fate.LOST:
                self._end(name, "abandoned")
            else:
                wait = (job.abandon_at - self.node.clock.now()) / 1e9 + AFTER_ABANDON
                asyncio.get_running_loop().call_later(max(0.0, wait), self._over, name)

    def _over(self, name: str) -> None:
        job = self.node.ledger.open.get(name)
        if job is not None and self.led:
            repeat, to_all = self.repeats[job.grade], self.groups[job.grade] == "all"
            self._end(name, answer_when_over(job, repeat, to_all, self.full_may_have_run))

    def _end(self, name: str, how: str) -> None:
        self.node.propose([state_machine.ANSWER, name, how, "", b"", self.node.clock.now()], _nobody)


def _nobody(yes: bool) -> None:
    pass
