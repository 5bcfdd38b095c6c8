"""Checks the rules on answers and retries against one request at a time.

Not every violation can be observed with certainty from outside, so times that depend on the network get a
tolerance.
"""

from collections.abc import Iterator, Mapping, Sequence
from itertools import pairwise
from typing import NamedTuple

from ..experiment_files.durations import SECOND, format_duration
from ..experiment_files.experiment import Experiment
from ..experiment_files.tables import Idempotency
from ..models.event_records import REJECTED, SUCCEEDED, ExecutionEnd
from .audited_requests import (
    ObservedAttempt,
    ObservedRequest,
    Rule,
)

STORE_ANSWER_RETENTION = 5 * SECOND  # after the deadline; a store keeps answers for clients that ask again
SUCCESSFUL_ENDS = (ExecutionEnd.DONE, ExecutionEnd.DUPLICATE_DROPPED)
ALL_WORKERS = "all"  # the retry scope with all workers in one group


class Violation(NamedTuple):
    """A rule that a request breaks."""

    rule: Rule
    at: int  # ns
    text: str


class RequestRules:
    """The rules for the requests of one experiment."""

    def __init__(
        self,
        experiment: Experiment,
        tolerance: int,
        group_of: Mapping[str, Mapping[str, int]],
        kills: Mapping[int, Sequence[int]],
    ) -> None:
        """Prepare the rules.

        Args:
            experiment: The experiment that was run.
            tolerance: The time (ns) allowed between an action of a dispatcher and its observation.
            group_of: By retry scope, the number of each worker's group.
            kills: By dispatcher, the times (ns) at which it was killed.
        """
        self._experiment = experiment
        self._has_store = experiment.dispatchers.store
        self._tolerance = tolerance
        self._group_of = group_of
        self._kills = kills

    def check(self, request: ObservedRequest) -> Iterator[Violation]:
        """The violations of one request."""
        if request.accepted_at >= 0:
            yield from self._check_answers(request)
            yield from self._check_success(request)
            yield from self._check_attempts_after_answer(request)
            yield from self._check_attempt_count(request)
        yield from self._check_retries(request)
        yield from self._check_simultaneous_attempts(request)

    # ---- Rule 1 ----

    def _check_answers(self, request: ObservedRequest) -> Iterator[Violation]:
        answers = request.final_answers()
        if self._has_store and len({answer.outcome for answer in answers}) == 1:
            answers = answers[:1]  # the client asked again and got the same answer
        latest = request.deadline + self._tolerance + (STORE_ANSWER_RETENTION if self._has_store else 0)
        if len(answers) > 1:
            yield Violation(Rule.ONE_ANSWER, answers[1].at, f"{len(answers)} final answers")
        elif not answers and request.disconnected_at < 0 and not self._is_excused(request):
            reason = "its connection broke" if request.answers else "none came"
            yield Violation(Rule.ONE_ANSWER, request.deadline, f"no final answer: {reason}")
        elif answers and answers[0].at > latest:
            late_by = format_duration(answers[0].at - request.deadline)
            yield Violation(Rule.ONE_ANSWER, answers[0].at, f"answered {late_by} after its deadline")

    def _is_excused(self, request: ObservedRequest) -> bool:
        """Whether its dispatcher was killed while it had the request; with a store that is no excuse."""
        if self._has_store:
            return False
        first, last = request.accepted_at - self._tolerance, request.deadline + self._tolerance
        return any(first <= at <= last for at in self._kills.get(request.dispatcher, ()))

    def _check_success(self, request: ObservedRequest) -> Iterator[Violation]:
        answers = request.final_answers()
        was_done = any(attempt.end in SUCCESSFUL_ENDS for attempt in request.attempts)
        if answers and answers[0].outcome == SUCCEEDED and not was_done:
            yield Violation(Rule.ONE_ANSWER, answers[0].at, "succeeded, though no worker has done it")

    def _check_attempts_after_answer(self, request: ObservedRequest) -> Iterator[Violation]:
        ended_at = request.ended_at()
        if ended_at < 0:
            return
        for attempt in request.attempts:
            if attempt.arrived_at > ended_at + self._tolerance:
                yield Violation(
                    Rule.ONE_ANSWER, attempt.arrived_at, f"sent to {attempt.worker} after its answer"
                )
                return

    def _check_attempt_count(self, request: ObservedRequest) -> Iterator[Violation]:
        limit = self._experiment.rules_at(request.accepted_at).max_attempts
        if len(request.attempts) > limit:
            text = f"{len(request.attempts)} attempts, {limit} allowed"
            yield Violation(Rule.ONE_ANSWER, request.attempts[limit].arrived_at, text)

    # ---- Rule 2 ----

    def _check_retries(self, request: ObservedRequest) -> Iterator[Violation]:
        idempotency = self._experiment.rules_at(request.accepted_at).idempotency[request.request_class]
        if idempotency is Idempotency.IDEMPOTENT:
            return
        first = next((attempt for attempt in request.attempts if attempt.may_have_run()), None)
        if first is None:
            return
        for retry in request.attempts[request.attempts.index(first) + 1 :]:
            problem = self._retry_problem(request, idempotency, first, retry)
            if problem:
                yield Violation(Rule.RETRIES, retry.arrived_at, problem)
                return
        yield from self._check_rejection(request, idempotency, first)

    def _retry_problem(
        self,
        request: ObservedRequest,
        idempotency: Idempotency,
        first: ObservedAttempt,
        retry: ObservedAttempt,
    ) -> str:
        """Why the retry was not allowed after the first attempt that may have run; "" if it was."""
        if idempotency is Idempotency.NON_IDEMPOTENT:
            return f"non-idempotent, again to {retry.worker}; {first.worker} may have run it"
        request_class = self._experiment.request_classes[request.request_class]
        groups = self._group_of[request_class.retry_scope]
        if groups[retry.worker] != groups[first.worker]:
            return f"with a key, to {retry.worker} outside the {request_class.retry_scope} of {first.worker}"
        if retry.arrived_at - first.arrived_at > request_class.retry_window + self._tolerance:
            return f"with a key, to {retry.worker} after the window of {first.worker}"
        return ""

    def _check_rejection(
        self, request: ObservedRequest, idempotency: Idempotency, first: ObservedAttempt
    ) -> Iterator[Violation]:
        """A rejection promises that the request did not run, or that any worker may run it again."""
        rejected_at = next((answer.at for answer in request.answers if answer.outcome == REJECTED), -1)
        request_class = self._experiment.request_classes[request.request_class]
        is_restricted = idempotency is Idempotency.NON_IDEMPOTENT or request_class.retry_scope != ALL_WORKERS
        if rejected_at >= 0 and first.arrived_at < rejected_at and is_restricted:
            yield Violation(Rule.RETRIES, rejected_at, f"rejected, though {first.worker} may have run it")

    def _check_simultaneous_attempts(self, request: ObservedRequest) -> Iterator[Violation]:
        for attempt, retry in pairwise(request.attempts):
            if attempt.open_until < 0 or retry.arrived_at < attempt.open_until - self._tolerance:
                text = f"at {attempt.worker} and {retry.worker} at once"
                yield Violation(Rule.RETRIES, retry.arrived_at, text)
                return
