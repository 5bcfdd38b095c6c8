"""Limits that are checked again when an attempt is written, maybe long after the decision to make it."""

from collections.abc import Callable

import pytest

from ploverspoke.decisions.interface import AttemptOutcome, EndpointCondition, SendRefusal
from ploverspoke.decisions.state import MAX_UNSENT_ATTEMPTS, SECOND
from tests.decisions.harness import MS, Answer, DispatchHarness, endpoint

KEYED = 1  # its duplicates are recognized for a second in the worker's rack
DRAINING = EndpointCondition.DRAINING


def wait_until_sent(harness: DispatchHarness, request_id: int = 1) -> str:
    """Advance the clock until an attempt of the request is in flight; returns its worker."""
    for _ in range(3000):
        worker = harness.worker_of(request_id)
        if worker is not None or request_id in harness.answers:
            break
        harness.advance(MS)
    assert worker is not None
    return worker


LATER_EVENTS: dict[str, tuple[Callable[[DispatchHarness], None], SendRefusal | None]] = {
    "within the window": (lambda harness: harness.advance(1999 * MS), None),
    "after the window": (lambda harness: harness.advance(2000 * MS), SendRefusal.SEND_WINDOW_ENDED),
    "moved": (
        lambda harness: harness.dispatcher.endpoints_changed([endpoint("b", rack=1)]),
        SendRefusal.OUTSIDE_RETRY_GROUP,
    ),
    "draining": (
        lambda harness: harness.dispatcher.endpoints_changed([endpoint("b", DRAINING)]),
        SendRefusal.WORKER_NOT_READY,
    ),
    "restarted": (
        lambda harness: harness.dispatcher.endpoints_changed([endpoint("b", started_at=harness.clock)]),
        SendRefusal.WORKER_RESTARTED,
    ),
    "disconnected": (lambda harness: harness.disconnect(1), SendRefusal.REQUEST_ENDED),
}


@pytest.mark.parametrize("event", LATER_EVENTS)
def test_repeat_is_refused_once_a_limit_of_its_decision_is_passed(event: str) -> None:
    # A repeat that waited for its connection was written after the window in which workers drop duplicates.
    harness = DispatchHarness(
        [endpoint("a")], retry_window=[SECOND, 4 * SECOND, SECOND], cancel_allowed=False
    )
    harness.send_request(1, KEYED, deadline_in=6 * SECOND)
    harness.dispatcher.endpoints_changed([endpoint("b"), endpoint("a", DRAINING)])
    harness.endpoints["b"] = endpoint("b")
    decided_after = harness.clock
    harness.end_attempt(1, AttemptOutcome.WORKER_ERROR)
    assert wait_until_sent(harness) == "b"
    decided_after = harness.clock - decided_after
    assert decided_after < 2 * SECOND and harness.dispatcher.send_refusal(1, "b") is None
    harness.advance(2 * SECOND - decided_after)
    change, expected = LATER_EVENTS[event]
    change(harness)
    assert harness.dispatcher.send_refusal(1, "b") is expected


def test_request_whose_worker_moved_to_another_rack_is_not_repeated() -> None:
    # The repeat went to the worker's new rack, which does not drop duplicates of what its old rack ran.
    harness = DispatchHarness([endpoint("a"), endpoint("b", rack=1)])
    harness.dispatcher.endpoints_changed([endpoint("b", DRAINING, rack=1)])
    harness.send_request(1, KEYED)
    harness.dispatcher.endpoints_changed([endpoint("a", rack=1), endpoint("b", rack=1)])
    harness.end_attempt(1, AttemptOutcome.CONNECTION_BROKEN)
    assert harness.answers[1] is Answer.FAILED


def test_attempt_charged_to_a_warming_worker_long_ago_is_not_written() -> None:
    # Attempts that had waited for one late connection would have reached a cold worker together.
    harness = DispatchHarness(
        [endpoint("a", started_at=99 * SECOND)], warmup_period=60 * SECOND, cancel_allowed=False
    )
    harness.send_request(1, deadline_in=20 * SECOND)
    wait_until_sent(harness)
    harness.advance(harness.settings.overload_window // 2 - MS)
    assert harness.dispatcher.send_refusal(1, "a") is None
    harness.advance(2 * MS)
    assert harness.dispatcher.send_refusal(1, "a") is SendRefusal.SLOW_START


def test_attempts_that_were_not_written_do_not_count() -> None:
    # A request was rejected although workers were ready: its attempts had all waited for late connections.
    harness = DispatchHarness([endpoint(name) for name in "abc"])
    harness.send_request(1, KEYED, deadline_in=99 * SECOND)
    max_attempts = harness.settings.classes[KEYED].max_attempts
    for _ in range(MAX_UNSENT_ATTEMPTS + max_attempts):
        assert 1 not in harness.answers
        wait_until_sent(harness)
        harness.end_attempt(1, AttemptOutcome.NOT_SENT)
    assert harness.answers[1] is Answer.REJECTED, "their number has a limit"
