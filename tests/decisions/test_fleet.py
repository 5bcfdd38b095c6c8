"""Many dispatchers at once: what is harmless in one of them, and harmful in the sum of all."""

from ploverspoke.decisions.interface import AttemptOutcome
from ploverspoke.decisions.state import SECOND
from tests.decisions.harness import MS, DispatchHarness, endpoint
from tests.decisions.test_load_probes import ASKING

CALL_TAKES = 140 * MS  # of the endpoint list's time, also for one that has been turned away meanwhile
TURNED_AWAY_AFTER = 2 * SECOND


def watched(harnesses: list[DispatchHarness], span: int) -> list[int]:
    """When each watch was taken up by an endpoint list that works through their calls in turn; 0: never."""
    start, free_at = harnesses[0].clock, harnesses[0].clock
    asked, since = [0] * len(harnesses), [0] * len(harnesses)
    lost: list[tuple[int, int]] = []
    for _ in range(span // (10 * MS)):
        for number, harness in enumerate(harnesses):
            harness.advance(10 * MS)
            if harness.watch_calls == asked[number]:
                continue
            asked[number] = harness.watch_calls
            free_at = max(free_at, harness.clock) + CALL_TAKES
            if free_at <= harness.clock + TURNED_AWAY_AFTER:
                since[number] = free_at - start
            else:
                lost.append((harness.clock + TURNED_AWAY_AFTER, number))
        for due in [x for x in lost if x[0] <= harnesses[0].clock]:
            lost.remove(due)
            harnesses[due[1]].dispatcher.endpoint_watch_failed(is_rejected=True)
    return since


def test_dispatchers_started_together_do_not_jam_the_endpoint_list() -> None:
    workers = [endpoint(f"w{n}") for n in range(3)]
    since = watched([DispatchHarness(workers, seed, dispatcher_count=40) for seed in range(40)], 8 * SECOND)
    assert all(since) and max(since) < 8 * SECOND


def test_those_rejected_find_the_endpoint_list_free_later() -> None:
    # Without a list nothing can be sent, so all call at once; what is turned away must not fill the next
    # seconds.
    since = watched([DispatchHarness([], seed, dispatcher_count=40) for seed in range(40)], 25 * SECOND)
    assert all(since)


def test_a_worker_that_calls_itself_unwell_is_left_alone_until_it_starts_anew() -> None:
    # Each of many dispatchers lost requests at each draining or failing worker, whose probes told all.
    harness = DispatchHarness([endpoint(name) for name in "abcdef"], **ASKING)
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
    assert "a" not in {t.worker for attempts in harness.attempts.values() for t in attempts}
    assert harness.dispatcher.workers["a"].ejected
    harness.dispatcher.endpoints_changed([endpoint("a", started_at=harness.clock)])
    assert not harness.dispatcher.workers["a"].ejected, "another one has started in its place"


def test_a_lost_zone_does_not_hide_failing_workers_elsewhere() -> None:
    harness = DispatchHarness([endpoint(name) for name in "abcdefghi"])
    dispatcher = harness.dispatcher
    for name in "abc":
        dispatcher.parts.ejection.eject(dispatcher.workers[name], harness.clock, is_proven=True)
    dispatcher.parts.ejection.eject(dispatcher.workers["d"], harness.clock)
    assert dispatcher.workers["d"].ejected


def test_a_quick_error_makes_no_worker_known() -> None:
    # Free at once and heard of just now, it was the one that non-idempotent requests went to unasked.
    harness = DispatchHarness([endpoint("a"), endpoint("b")], **ASKING)
    for worker in harness.dispatcher.workers.values():
        worker.last_contact_at = harness.clock
    harness.send_request(1, request_class=2)
    failed = harness.worker_of(1)
    assert failed and not harness.probes
    harness.end_attempt(1, AttemptOutcome.WORKER_ERROR)
    harness.send_request(2, request_class=2)
    assert failed in harness.probes and not harness.attempts[2]
