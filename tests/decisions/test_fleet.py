"""Behaviour of a dispatcher that is harmful only in large fleets."""

from ploverspoke.decisions.interface import AttemptOutcome
from ploverspoke.decisions.state import SECOND
from tests.decisions.decision_settings import PROBING_SETTINGS
from tests.decisions.harness import MS, DispatchHarness, endpoint

CALL_DURATION = 140 * MS  # discovery's time for each call, even if the call has been rejected meanwhile
REJECTED_AFTER = 2 * SECOND


def watch_answer_times(harnesses: list[DispatchHarness], duration: int) -> list[int]:
    """Return the ns until each watch was answered, 0 for never; discovery handles one call at a time."""
    start, free_at = harnesses[0].clock, harnesses[0].clock
    calls_seen, answered_after = [0] * len(harnesses), [0] * len(harnesses)
    rejections: list[tuple[int, int]] = []
    for _ in range(duration // (10 * MS)):
        for number, harness in enumerate(harnesses):
            harness.advance(10 * MS)
            if harness.watch_calls == calls_seen[number]:
                continue
            calls_seen[number] = harness.watch_calls
            free_at = max(free_at, harness.clock) + CALL_DURATION
            if free_at <= harness.clock + REJECTED_AFTER:
                answered_after[number] = free_at - start
            else:
                rejections.append((harness.clock + REJECTED_AFTER, number))
        for rejection in [each for each in rejections if each[0] <= harnesses[0].clock]:
            rejections.remove(rejection)
            harnesses[rejection[1]].dispatcher.endpoint_watch_failed(is_rejected=True)
    return answered_after


def test_dispatchers_started_together_do_not_overload_discovery() -> None:
    workers = [endpoint(f"w{number}") for number in range(3)]
    answered_after = watch_answer_times(
        [DispatchHarness(workers, seed, dispatcher_count=40) for seed in range(40)], 8 * SECOND
    )
    assert all(answered_after) and max(answered_after) < 8 * SECOND


def test_rejected_dispatchers_are_answered_later() -> None:
    # Without a list nothing can be sent, so all dispatchers call at once. The retries of rejected calls must
    # not overload discovery again in the next seconds.
    answered_after = watch_answer_times(
        [DispatchHarness([], seed, dispatcher_count=40) for seed in range(40)], 25 * SECOND
    )
    assert all(answered_after)


def test_a_worker_that_reports_an_error_gets_no_requests_until_it_restarts() -> None:
    # Each dispatcher lost requests at each draining or failing worker, though probes had reported its state.
    harness = DispatchHarness([endpoint(name) for name in "abcdef"], **PROBING_SETTINGS)
    for request_id in range(40):
        harness.send_request(request_id, request_class=2)
        for name in harness.probes:
            harness.dispatcher.probe_completed(
                name, AttemptOutcome.WORKER_ERROR if name == "a" else AttemptOutcome.SUCCEEDED, MS, {}
            )
        harness.probes.clear()
        if harness.worker_of(request_id):
            harness.end_attempt(request_id, AttemptOutcome.SUCCEEDED)
        harness.advance(100 * MS)
    assert "a" not in {attempt.worker for attempts in harness.attempts.values() for attempt in attempts}
    assert harness.dispatcher.workers["a"].ejected
    harness.dispatcher.endpoints_changed([endpoint("a", started_at=harness.clock)])
    assert not harness.dispatcher.workers["a"].ejected, "another process has started in its place"


def test_a_lost_zone_does_not_hide_failing_workers_elsewhere() -> None:
    harness = DispatchHarness([endpoint(name) for name in "abcdefghi"])
    dispatcher = harness.dispatcher
    for name in "abc":
        dispatcher.components.ejection.eject(dispatcher.workers[name], harness.clock, is_proven=True)
    dispatcher.components.ejection.eject(dispatcher.workers["d"], harness.clock)
    assert dispatcher.workers["d"].ejected


def test_an_error_does_not_count_as_recent_contact_with_a_worker() -> None:
    # A worker that has just failed has free slots and recent contact, so non-idempotent requests went there.
    harness = DispatchHarness([endpoint("a"), endpoint("b")], **PROBING_SETTINGS)
    for worker in harness.dispatcher.workers.values():
        worker.last_contact_at = harness.clock
    harness.send_request(1, request_class=2)
    failed = harness.worker_of(1)
    assert failed and not harness.probes
    harness.end_attempt(1, AttemptOutcome.WORKER_ERROR)
    harness.send_request(2, request_class=2)
    assert failed in harness.probes and not harness.attempts[2]
