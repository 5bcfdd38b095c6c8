"""Commits the router's requests, attempts and answers, and ends what an earlier leader left open."""

import asyncio
import time
from collections.abc import Callable, Sequence
from hashlib import blake2b

from ploverspoke.consensus.raft_state import Role
from ploverspoke.decisions.interface import AttemptOutcome
from ploverspoke.decisions.settings import RequestClass
from ploverspoke.routing.answers import FinalAnswer, RecordedAnswer
from ploverspoke.routing.request_log import CommitCallback, PreviousOutcome
from ploverspoke.transport.rate_limited_log import log_line
from ploverspoke.transport.units import SECOND

from .log_commands import (
    AcceptRequest,
    AnswerRequest,
    FinishAttempt,
    StartAttempt,
)
from .node import StoreNode
from .recovery import Recovery, RecoveryVerdict, answer_at_deadline, recover_request
from .snapshot import AttemptRecord, OpenRequest

ANSWER_GRACE = 0.05  # seconds after a deadline in which the answer of its own dispatcher may still come
DIGEST_BYTES = 16


class ReplicatedRequestLog:
    """The `RequestLog` of one replica."""

    def __init__(
        self,
        node: StoreNode,
        request_classes: Sequence[RequestClass],
        full_may_have_run: bool = False,
    ) -> None:
        """`request_classes` are those of the settings, by number.

        `full_may_have_run`: a worker's "full" is no proof that it did not run the request.
        """
        self.node = node
        self.request_classes = request_classes
        self.full_may_have_run = full_may_have_run
        self.on_lost: Callable[[], None] = lambda: None
        self.is_leading = False
        self.recovered = 0  # open requests found when this replica took over
        node.role_listeners.append(self._role_changed)

    def is_leader(self) -> bool:
        """Whether this replica may act: it has read all that was committed, and no other can lead now."""
        return self.is_leading and self.node.leads()

    def leader_address(self) -> str:
        """Return the leader's address for clients; "" where it is this replica or is not known."""
        own_address = self.node.config.replicas[self.node.config.name].client
        leader_address = self.node.leader_client_address()
        return "" if leader_address == own_address else leader_address

    def digest(self, method: str, target: str, body: bytes) -> bytes:
        """Return a digest by which two different requests under one id can be told apart."""
        head = f"{method} {target}\n".encode("utf-8", "surrogatepass")
        return blake2b(head + body, digest_size=DIGEST_BYTES).digest()

    def previous_outcome(self, request_id: str) -> PreviousOutcome | None:
        """Return what is known of an id from before; None where it is new."""
        answered = self.node.requests.answered.get(request_id)
        if answered is not None:
            answer = RecordedAnswer(answered.answer, answered.result)
            return PreviousOutcome(answer, answered.digest, 0, "", 0)
        request = self.node.requests.open_requests.get(request_id)
        if request is None:
            return None
        recovery = self._recovery_of(request)
        first = recovery.may_have_run
        if first is None:
            return PreviousOutcome(None, request.digest, recovery.attempts, "", 0)
        return PreviousOutcome(None, request.digest, recovery.attempts, first.worker, self._time_since(first))

    def record_request(
        self,
        request_id: str,
        class_number: int,
        digest: bytes,
        time_left: int,
        on_committed: CommitCallback,
    ) -> None:
        """Commit that a request is accepted; `time_left` is ns until its deadline."""
        now = self.node.clock.now()
        self.node.propose(AcceptRequest(request_id, class_number, digest, now + time_left, now), on_committed)

    def record_attempt(self, request_id: str, worker: str, index: int, on_committed: CommitCallback) -> None:
        """Commit that an attempt may be sent to the worker."""
        now = self.node.clock.now()
        self.node.propose(StartAttempt(request_id, worker, index, now, time.time_ns()), on_committed)

    def record_attempt_outcome(self, request_id: str, index: int, outcome: AttemptOutcome) -> None:
        """Commit how an attempt ended; nothing waits for it."""
        self.node.propose(FinishAttempt(request_id, index, outcome.value), _ignore_commit)

    def record_answer(
        self, request_id: str, answer: RecordedAnswer, digest: bytes, on_committed: CommitCallback
    ) -> None:
        """Commit the final answer; `on_committed` gets False where another one stands."""

        def on_answer_committed(is_committed: bool) -> None:
            """Report False where another answer was committed first: that one stands."""
            recorded = self.node.requests.answered.get(request_id)
            is_ours = recorded is not None and RecordedAnswer(recorded.answer, recorded.result) == answer
            on_committed(is_committed and is_ours)

        now = self.node.clock.now()
        self.node.propose(
            AnswerRequest(request_id, answer.answer, answer.result, digest, now), on_answer_committed
        )

    def _time_since(self, attempt: AttemptRecord) -> int:
        """Return the ns since the attempt started, by the longer of two clocks.

        The replicated clock stands still while no replica runs, the wall clock may have been set back; past
        the window in which workers drop duplicates nothing must run again.
        """
        by_replicated_clock = self.node.clock.now() - attempt.started_at
        by_wall_clock = time.time_ns() - (attempt.started_wall_time or attempt.started_at)
        return max(by_replicated_clock, by_wall_clock)

    # ---- Taking over ----

    def _role_changed(self, role: Role, leader: str) -> None:
        if role is Role.LEADER:
            self.node.read(self._take_over)
        elif self.is_leading:
            self.is_leading = False
            log_line(f"store: {self.node.config.name} is no longer the leader")
            self.on_lost()

    def _take_over(self, is_current: bool) -> None:
        """Begin to lead, and end what is open: all that was committed before is applied here."""
        if not is_current:
            return
        self.is_leading = True
        open_requests = list(self.node.requests.open_requests.items())
        log_line(f"store: {self.node.config.name} is the leader, open_requests={len(open_requests)}")
        for request_id, request in open_requests:
            self._recover(request_id, request)

    def _recover(self, request_id: str, request: OpenRequest) -> None:
        self.recovered += 1
        if self._recovery_of(request).verdict is RecoveryVerdict.MUST_FAIL:
            self._end(request_id, FinalAnswer.FAILED)
        else:
            delay = (request.deadline - self.node.clock.now()) / SECOND + ANSWER_GRACE
            asyncio.get_running_loop().call_later(max(0.0, delay), self._on_deadline, request_id)

    def _on_deadline(self, request_id: str) -> None:
        request = self.node.requests.open_requests.get(request_id)
        if request is None or not self.is_leading:
            return
        request_class = self.request_classes[request.request_class]
        self._end(request_id, answer_at_deadline(request, request_class, self.full_may_have_run))

    def _recovery_of(self, request: OpenRequest) -> Recovery:
        idempotency = self.request_classes[request.request_class].idempotency
        return recover_request(request, idempotency, self.full_may_have_run)

    def _end(self, request_id: str, answer: FinalAnswer) -> None:
        now = self.node.clock.now()
        self.node.propose(AnswerRequest(request_id, answer, "", b"", now), _ignore_commit)


def _ignore_commit(is_committed: bool) -> None:
    """Wait for nothing: the next leader ends what is lost here."""
