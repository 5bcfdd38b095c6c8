"""Commits the router's requests, attempts and answers, and ends requests that an earlier leader left open."""

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
    answer_command,
)
from .node import StoreNode
from .recovery import Recovery, RecoveryVerdict, answer_at_deadline, decide_recovery
from .snapshot import AttemptRecord, OpenRequest
from .storable_text import escape_name

ANSWER_GRACE_S = 0.05  # time after a deadline in which the answer of the request's own dispatcher may arrive
DIGEST_BYTES = 16


class ReplicatedRequestLog:
    """The `RequestLog` of one replica."""

    def __init__(
        self,
        node: StoreNode,
        request_classes: Sequence[RequestClass],
        full_may_have_run: bool = False,
    ) -> None:
        """`request_classes` are the classes of the settings, in the order of their numbers.

        `full_may_have_run`: a worker's answer "full" does not prove that it did not run the request.
        """
        self.node = node
        self.request_classes = request_classes
        self.full_may_have_run = full_may_have_run
        self.on_leadership_lost: Callable[[], None] = lambda: None
        self.is_leading = False
        self.recovered_count = 0  # open requests that this replica found when it became the leader
        node.role_listeners.append(self._on_role_changed)

    def is_leader(self) -> bool:
        """Whether this replica may act: it has applied all committed entries, and no other can lead now."""
        return self.is_leading and self.node.leads()

    def leader_address(self) -> str:
        """Return the leader's address for clients; "" if the leader is this replica or unknown."""
        own_address = self.node.config.replicas[self.node.config.name].client
        leader_address = self.node.leader_client_address()
        return "" if leader_address == own_address else leader_address

    def digest(self, method: str, target: str, body: bytes) -> bytes:
        """Return a digest that distinguishes different requests with the same id."""
        head = f"{method} {target}\n".encode("utf-8", "surrogatepass")
        return blake2b(head + body, digest_size=DIGEST_BYTES).digest()

    def previous_outcome(self, request_id: str) -> PreviousOutcome | None:
        """Return the recorded outcome of a request id; None if the id is new."""
        answer = self.node.requests.recorded_answer(request_id)
        if answer is not None:
            return PreviousOutcome(answer, self.node.requests.answered[request_id].digest, 0, "", 0)
        request = self.node.requests.open_requests.get(request_id)
        if request is None:
            return None
        recovery = self._decide_recovery(request)
        attempt = recovery.first_possibly_run
        if attempt is None:
            return PreviousOutcome(None, request.digest, recovery.attempt_count, "", 0)
        elapsed = self._time_since_start(attempt)
        return PreviousOutcome(None, request.digest, recovery.attempt_count, attempt.worker, elapsed)

    def record_request(
        self,
        request_id: str,
        class_number: int,
        digest: bytes,
        time_left: int,
        on_committed: CommitCallback,
    ) -> None:
        """Commit that a request was accepted; `time_left` is the time until its deadline in ns."""
        now = self.node.clock.now()
        self.node.propose(AcceptRequest(request_id, class_number, digest, now + time_left, now), on_committed)

    def record_attempt(self, request_id: str, worker: str, index: int, on_committed: CommitCallback) -> None:
        """Commit that an attempt may be sent to the worker."""
        now = self.node.clock.now()
        name = escape_name(worker)
        self.node.propose(StartAttempt(request_id, name, index, now, time.time_ns()), on_committed)

    def record_attempt_outcome(self, request_id: str, index: int, outcome: AttemptOutcome) -> None:
        """Commit the outcome of an attempt; nothing waits for this commit."""
        self.node.propose(FinishAttempt(request_id, index, outcome.value), _ignore_commit)

    def record_answer(
        self, request_id: str, answer: RecordedAnswer, digest: bytes, on_committed: CommitCallback
    ) -> None:
        """Commit the final answer; `on_committed` gets False if another answer was committed first."""

        def on_answer_committed(is_committed: bool) -> None:
            """Report False if another answer was committed first: the first one is valid."""
            is_ours = self.node.requests.recorded_answer(request_id) == answer
            on_committed(is_committed and is_ours)

        command = answer_command(request_id, answer, digest, self.node.clock.now())
        self.node.propose(command, on_answer_committed)

    def _time_since_start(self, attempt: AttemptRecord) -> int:
        """Return the ns since the attempt started: the longer of the times that two clocks measured.

        The replicated clock stops while no replica runs, and the wall clock may have been set back. An
        attempt must not be repeated after the window in which workers drop duplicates.
        """
        by_replicated_clock = self.node.clock.now() - attempt.started_at
        by_wall_clock = time.time_ns() - (attempt.started_wall_time or attempt.started_at)
        return max(by_replicated_clock, by_wall_clock)

    # ---- Changes of the leader ----

    def _on_role_changed(self, role: Role, leader: str) -> None:
        if role is Role.LEADER:
            self.node.read_barrier(self._take_over)
        elif self.is_leading:
            self.is_leading = False
            log_line(f"store: {self.node.config.name} is no longer the leader")
            self.on_leadership_lost()

    def _take_over(self, is_current: bool) -> None:
        """Start to lead and handle the open requests; all entries committed before are applied by now."""
        if not is_current:
            return
        self.is_leading = True
        open_requests = list(self.node.requests.open_requests.items())
        log_line(f"store: {self.node.config.name} is the leader, open_requests={len(open_requests)}")
        for request_id, request in open_requests:
            self._recover_request(request_id, request)

    def _recover_request(self, request_id: str, request: OpenRequest) -> None:
        self.recovered_count += 1
        if self._decide_recovery(request).verdict is RecoveryVerdict.MUST_FAIL:
            self._commit_answer(request_id, FinalAnswer.FAILED)
        else:
            delay = (request.deadline - self.node.clock.now()) / SECOND + ANSWER_GRACE_S
            asyncio.get_running_loop().call_later(max(0.0, delay), self._on_deadline, request_id)

    def _on_deadline(self, request_id: str) -> None:
        request = self.node.requests.open_requests.get(request_id)
        if request is None or not self.is_leading:
            return
        request_class = self.request_classes[request.request_class]
        self._commit_answer(request_id, answer_at_deadline(request, request_class, self.full_may_have_run))

    def _decide_recovery(self, request: OpenRequest) -> Recovery:
        idempotency = self.request_classes[request.request_class].idempotency
        return decide_recovery(request, idempotency, self.full_may_have_run)

    def _commit_answer(self, request_id: str, answer: FinalAnswer) -> None:
        now = self.node.clock.now()
        self.node.propose(AnswerRequest(request_id, answer, "", b"", now), _ignore_commit)


def _ignore_commit(is_committed: bool) -> None:
    """Ignore the result: if the commit fails, the next leader ends the request."""
