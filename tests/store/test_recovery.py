"""What a new leader decides for requests that an earlier leader left open."""

from dataclasses import replace

import pytest

from ploverspoke.decisions.interface import AttemptOutcome
from ploverspoke.decisions.settings import Idempotency, RetryScope
from ploverspoke.routing.answers import FinalAnswer
from ploverspoke.store.log_commands import (
    AcceptRequest,
    FinishAttempt,
    StartAttempt,
    encode_command,
    outcome_word,
)
from ploverspoke.store.recovery import RecoveryVerdict, answer_at_deadline, decide_recovery
from ploverspoke.store.state_machine import RequestStateMachine
from tests.decisions.decision_settings import DECISION_SETTINGS

UNKNOWN, FULL = None, AttemptOutcome.FULL
UNREACHABLE, TIMED_OUT = AttemptOutcome.UNREACHABLE, AttemptOutcome.TIMED_OUT
MAY_RUN, MUST_FAIL = RecoveryVerdict.MAY_RUN, RecoveryVerdict.MUST_FAIL
MAY_RUN_IN_SCOPE = RecoveryVerdict.MAY_RUN_IN_SCOPE
REJECTED, FAILED = FinalAnswer.REJECTED, FinalAnswer.FAILED
CASES = [
    (Idempotency.NON_IDEMPOTENT, [], MAY_RUN, REJECTED),
    (Idempotency.NON_IDEMPOTENT, [("w0", UNKNOWN)], MUST_FAIL, FAILED),
    (Idempotency.NON_IDEMPOTENT, [("w0", FULL)], MAY_RUN, REJECTED),
    (Idempotency.NON_IDEMPOTENT, [("w0", UNREACHABLE), ("w1", UNKNOWN)], MUST_FAIL, FAILED),
    (Idempotency.IDEMPOTENT_WITH_KEY, [("w0", TIMED_OUT), ("w1", UNKNOWN)], MAY_RUN_IN_SCOPE, REJECTED),
    (Idempotency.IDEMPOTENT, [("w0", UNKNOWN)], MAY_RUN, REJECTED),
]


@pytest.mark.parametrize(("idempotency", "attempts", "verdict", "at_deadline"), CASES)
def test_recovery_of_an_open_request_depends_on_its_attempts(
    idempotency: Idempotency,
    attempts: list[tuple[str, AttemptOutcome | None]],
    verdict: RecoveryVerdict,
    at_deadline: FinalAnswer,
) -> None:
    state = RequestStateMachine()
    state.apply(0, encode_command(AcceptRequest("r", 0, b"", 100, 1)))
    for index, (worker, outcome) in enumerate(attempts):
        state.apply(0, encode_command(StartAttempt("r", worker, index, 5)))
        if outcome:
            word = outcome_word(outcome, full_may_have_run=False)
            state.apply(0, encode_command(FinishAttempt("r", index, word)))
    request = state.open_requests["r"]
    recovery = decide_recovery(request, idempotency)
    assert (recovery.verdict, recovery.attempt_count) == (verdict, len(attempts))
    request_class = replace(DECISION_SETTINGS.classes[0], idempotency=idempotency, retry_scope=RetryScope.ALL)
    assert answer_at_deadline(request, request_class) is at_deadline
    if verdict is MAY_RUN_IN_SCOPE:
        in_rack = replace(request_class, retry_scope=RetryScope.RACK)
        assert answer_at_deadline(request, in_rack) is FAILED
    if attempts == [("w0", FULL)]:
        assert decide_recovery(request, idempotency, full_may_have_run=True).verdict is MUST_FAIL
        assert answer_at_deadline(request, request_class, full_may_have_run=True) is FAILED


def test_full_that_an_older_version_noted_or_that_may_have_run_is_no_proof() -> None:
    # Guards against a booking that runs twice after `FullMayHaveRun` was changed: the word "full" of an older
    # version does not say which of the two it meant.
    for word in (FULL.value, outcome_word(FULL, full_may_have_run=True)):
        state = RequestStateMachine()
        state.apply(0, encode_command(AcceptRequest("r", 0, b"", 100, 1)))
        state.apply(0, encode_command(StartAttempt("r", "w0", 0, 5)))
        state.apply(0, encode_command(FinishAttempt("r", 0, word)))
        verdict = decide_recovery(state.open_requests["r"], Idempotency.NON_IDEMPOTENT).verdict
        assert verdict is MUST_FAIL


def test_the_next_index_and_outcomes_follow_the_indexes_in_the_log() -> None:
    # Guards against the outcome of a later attempt that is noted for an earlier one, which may have run:
    # attempts that were not sent leave no record, so their number is no index.
    state = RequestStateMachine()
    state.apply(0, encode_command(AcceptRequest("r", 0, b"", 100, 1)))
    for index in (0, 2, 2):  # an older version has used an index again
        state.apply(0, encode_command(StartAttempt("r", f"w{index}", index, 5)))
    state.apply(0, encode_command(FinishAttempt("r", 2, UNREACHABLE)))
    request = state.open_requests["r"]
    assert [attempt.outcome for attempt in request.attempts] == [None, None, None]
    assert decide_recovery(request, Idempotency.NON_IDEMPOTENT).attempt_count == 3
