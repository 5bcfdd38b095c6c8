"""Commits the router's requests, attempts and answers, and ends requests that an earlier leader left open."""

import time
from collections.abc import Callable, Sequence

from ploverspoke.consensus.raft_state import Role
from ploverspoke.decisions.interface import AttemptOutcome
from ploverspoke.protocol.http_messages import Headers
from ploverspoke.routing.answers import FinalAnswer, RecordedAnswer
from ploverspoke.routing.request_digest import content_digest, request_digest
from ploverspoke.routing.request_log import CommitCallback, PreviousOutcome
from ploverspoke.transport.rate_limited_log import log_line
from ploverspoke.transport.units import SECOND

from .class_rules import UNKNOWN_RULES, ClassRules
from .leadership_hand_over import LeadershipHandOver
from .log_commands import (
    AnswerRequest,
    FinishAttempt,
    accept_command,
    answer_command,
    outcome_word,
    start_command,
)
from .node import StoreNode
from .recovery import Recovery, RecoveryVerdict, answer_at_deadline, decide_recovery
from .request_timers import RequestTimers
from .snapshot import AttemptRecord, OpenRequest
from .storable_text import escape_name

COMMIT_RETRY_DELAY_S = 0.2
ANSWER_GRACE_S = 0.05  # time after a deadline in which the answer of the request's own dispatcher may arrive


class ReplicatedRequestLog:
    """The `RequestLog` of one replica."""

    def __init__(
        self,
        node: StoreNode,
        class_rules: Sequence[ClassRules],
        full_may_have_run: bool = True,
    ) -> None:
        """`class_rules` are the rules of the classes in the settings, by class number.

        `full_may_have_run`: a worker's answer "full" does not prove that it did not run the request.
        """
        self.node = node
        self.change_rules(class_rules, class_rules, full_may_have_run)
        self.on_leadership_lost: Callable[[], None] = lambda: None
        # Applies the latest committed configuration; False if this replica cannot apply it.
        self.apply_configuration: Callable[[], bool] = lambda: True
        self.is_leading = False
        self.recovered_count = 0  # open requests that this replica found when it became the leader
        # Open requests that this replica's router answers. This log answers the others, by timers.
        self._ids_at_router: set[str] = set()
        self._deadline_timers = RequestTimers(self._on_deadline)
        self._hand_over = LeadershipHandOver(node, lambda: self.is_leading)
        node.role_listeners.append(self._on_role_changed)

    def change_rules(
        self,
        class_rules: Sequence[ClassRules],
        active_rules: Sequence[ClassRules],
        full_may_have_run: bool,
    ) -> None:
        """Use the rules of other settings: `class_rules` by class number, of which some may be active."""
        self.class_rules = class_rules
        self.rules_by_name = {rules.class_name: rules for rules in active_rules}
        self.full_may_have_run = full_may_have_run

    def is_leader(self) -> bool:
        """Whether this replica may act: it has applied all committed entries, and no other can lead now."""
        return self.is_leading and self.node.leads()

    def leader_address(self) -> str:
        """Return the leader's address for clients; "" if the leader is this replica or unknown."""
        own_address = self.node.config.replicas[self.node.config.name].client
        leader_address = self.node.leader_client_address()
        return "" if leader_address == own_address else leader_address

    def held_bytes(self) -> int:
        """Estimate the memory that the recorded requests and answers take."""
        return self.node.requests.held_bytes()

    def digest(self, method: str, target: str, body: bytes, headers: Headers | None = None) -> bytes:
        """Return a digest that distinguishes different requests with the same id.

        Without headers it is that of older versions, which did not record them.
        """
        if headers is None:
            return content_digest(method, target, body)
        return request_digest(method, target, body, headers)

    def previous_outcome(self, request_id: str) -> PreviousOutcome | None:
        """Return the recorded outcome of a request id; None if the id is new."""
        answer = self.node.requests.recorded_answer(request_id)
        if answer is not None:
            return PreviousOutcome(answer, self.node.requests.answered[request_id].full_digest, 0, "", 0)
        request = self.node.requests.open_requests.get(request_id)
        if request is None:
            return None
        recovery = self._decide_recovery(request)
        attempt = recovery.first_possibly_run
        if attempt is None:
            return PreviousOutcome(None, request.full_digest, recovery.attempt_count, "", 0)
        bound = (attempt.worker, self._time_since_start(attempt), attempt.group)
        return PreviousOutcome(None, request.full_digest, recovery.attempt_count, *bound)

    def resume(self, request_id: str, class_number: int) -> bool:
        """Take up an open request for a client of that class; False: it was accepted under other rules.

        Then it is ended here, and its client gets the answer when it asks again.
        """
        request = self.node.requests.open_requests.get(request_id)
        if request is None:
            return False
        if request.rules.allow_resuming_under(self._current_rules(class_number)):
            self._ids_at_router.add(request_id)
            self._deadline_timers.cancel(request_id)
            return True
        self._end_request(request_id, request)
        return False

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
        rules = self._current_rules(class_number)
        command = accept_command(request_id, class_number, digest, now + time_left, now, rules)

        def on_accepted(is_committed: bool) -> None:
            """Report False if the state ignored the command, because the id is in use."""
            request = self.node.requests.open_requests.get(request_id)
            is_ours = request is not None and (request.accepted_at, request.full_digest) == (now, digest)
            if not (is_committed and is_ours):
                self._ids_at_router.discard(request_id)
            on_committed(is_committed and is_ours)

        self._ids_at_router.add(request_id)
        self.node.propose(command, on_accepted)

    def record_attempt(
        self, request_id: str, worker: str, index: int, on_committed: CommitCallback, group: str = ""
    ) -> None:
        """Commit that an attempt may be sent to the worker; `group` names its retry group."""
        name = escape_name(worker)
        now, wall_time = self.node.clock.now(), time.time_ns()
        command = start_command(request_id, name, index, now, wall_time, escape_name(group))

        def on_attempt_committed(is_committed: bool) -> None:
            """Report False if the state ignored the command, because the request has its answer."""
            on_committed(is_committed and self._has_attempt(request_id, name, index))

        self.node.propose(command, on_attempt_committed)

    def record_attempt_outcome(self, request_id: str, index: int, outcome: AttemptOutcome) -> None:
        """Commit the outcome of an attempt; nothing waits for this commit."""
        word = outcome_word(outcome, self.full_may_have_run)
        self.node.propose(FinishAttempt(request_id, index, word), _ignore_commit)

    def record_answer(
        self, request_id: str, answer: RecordedAnswer, digest: bytes, on_committed: CommitCallback
    ) -> None:
        """Commit the final answer; `on_committed` gets False if another answer was committed first."""

        def on_answer_committed(is_committed: bool) -> None:
            """Report False if another answer was committed first: the first one is valid."""
            is_ours = self.node.requests.recorded_answer(request_id) == answer
            if not is_committed:
                self._end_later(request_id)
            on_committed(is_committed and is_ours)

        self._ids_at_router.discard(request_id)
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
            self._stop_leading()

    def _stop_leading(self) -> None:
        self.is_leading = False
        self._ids_at_router.clear()
        self._deadline_timers.cancel_all()
        log_line(f"store: {self.node.config.name} is no longer the leader")
        self.on_leadership_lost()

    def on_configuration_committed(self) -> None:
        """Apply the latest configuration; a leader that cannot do so leaves the lead to another replica."""
        if not self.apply_configuration() and self.is_leading and self._hand_over.other_voters():
            self._stop_leading()
        if self.node.is_elected() and not self.is_leading:
            self.node.read_barrier(self._take_over)

    def _take_over(self, is_current: bool) -> None:
        """Start to lead and handle the open requests; all entries committed before are applied by now."""
        if not is_current or self.is_leading:
            return
        # Requests must not run under settings that a commit has replaced.
        if not self.apply_configuration() and self._hand_over.other_voters():
            self._hand_over.start()
            return
        self.is_leading = True
        open_requests = list(self.node.requests.open_requests.items())
        log_line(f"store: {self.node.config.name} is the leader, open_requests={len(open_requests)}")
        for request_id, request in open_requests:
            self._recover_request(request_id, request)

    def _recover_request(self, request_id: str, request: OpenRequest) -> None:
        self.recovered_count += 1
        recovery = self._decide_recovery(request)
        log_line(
            f"store: open request {request_id}: {recovery.verdict.name.lower()}, "
            f"class={request.rules.class_name or 'not recorded'}, {request.rules.idempotency.value}, "
            f"attempts={recovery.attempt_count}"
        )
        if recovery.verdict is RecoveryVerdict.MUST_FAIL:
            self._commit_answer(request_id, FinalAnswer.FAILED)
        elif not self._may_be_resumed(request):
            self._end_request(request_id, request)
        else:
            delay = (request.deadline - self.node.clock.now()) / SECOND + ANSWER_GRACE_S
            self._deadline_timers.set(request_id, delay)

    def _on_deadline(self, request_id: str) -> None:
        request = self.node.requests.open_requests.get(request_id)
        if request is None or not self.is_leading:
            return
        log_line(f"store: open request {request_id} is answered at the deadline of its earlier leader")
        self._end_request(request_id, request)

    def _decide_recovery(self, request: OpenRequest) -> Recovery:
        return decide_recovery(request, request.rules.idempotency, self.full_may_have_run)

    def _may_be_resumed(self, request: OpenRequest) -> bool:
        """Whether its class, if it is known, is still there with rules under which it may be resumed."""
        if request.rules == UNKNOWN_RULES:
            return True
        current = self.rules_by_name.get(request.rules.class_name)
        return current is not None and request.rules.allow_resuming_under(current)

    def _current_rules(self, class_number: int) -> ClassRules:
        """Return the rules of a class of the settings."""
        return self.class_rules[class_number] if class_number < len(self.class_rules) else UNKNOWN_RULES

    def _end_request(self, request_id: str, request: OpenRequest) -> None:
        """Commit the final answer of a request that is not attempted any more.

        If its class has other rules now, workers may not drop duplicates as its own rules say.
        """
        is_unchanged = self.rules_by_name.get(request.rules.class_name) == request.rules
        rules = request.rules if is_unchanged else UNKNOWN_RULES
        self._commit_answer(request_id, answer_at_deadline(request, rules, self.full_may_have_run))

    def _commit_answer(self, request_id: str, answer: FinalAnswer) -> None:
        now = self.node.clock.now()

        def on_committed(is_committed: bool) -> None:
            """Try again if this replica still leads; else the next leader ends the request."""
            if not is_committed:
                self._end_later(request_id)

        self.node.propose(AnswerRequest(request_id, answer, "", b"", now), on_committed)

    def _end_later(self, request_id: str) -> None:
        """End a request whose answer was not committed, as during a transfer of leadership that fails."""
        is_open = request_id in self.node.requests.open_requests
        if self.is_leading and is_open and request_id not in self._ids_at_router:
            self._deadline_timers.set(request_id, COMMIT_RETRY_DELAY_S)

    def _has_attempt(self, request_id: str, worker: str, index: int) -> bool:
        """Whether the request is open and this attempt is recorded."""
        request = self.node.requests.open_requests.get(request_id)
        attempts = request.attempts if request is not None else []
        return any((attempt.worker, attempt.index) == (worker, index) for attempt in attempts)


def _ignore_commit(is_committed: bool) -> None:
    """Ignore the result: an attempt without an outcome may have run."""
