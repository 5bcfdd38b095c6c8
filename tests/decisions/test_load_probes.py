"""What a dispatcher of a large fleet goes by: probes, live weights, its share of a cold worker."""

from typing import Any

import pytest

from ploverspoke.decisions.interface import AttemptOutcome, LoadReport
from ploverspoke.decisions.state import SECOND, RequestQueue
from tests.decisions.harness import MS, DispatchHarness, endpoint

ASKING: dict[str, Any] = {"probe_cost": 0.001, "machine_kind": [-1, -1, -1]}


def answer(
    harness: DispatchHarness,
    worker: str,
    free: float,
    waiting: float,
    outcome: AttemptOutcome = AttemptOutcome.SUCCEEDED,
) -> None:
    harness.probes.remove(worker)
    succeeded = outcome is AttemptOutcome.SUCCEEDED
    load: LoadReport | None = {"free_slots": free, "waiting": waiting} if succeeded else None
    harness.dispatcher.probe_completed(worker, outcome, MS, load)


def test_a_non_idempotent_request_goes_where_the_report_shows_less() -> None:
    harness = DispatchHarness([endpoint("a"), endpoint("b")], **ASKING)
    harness.send_request(1, request_class=2)
    assert sorted(harness.probes) == ["a", "b"] and harness.worker_of(1) is None
    answer(harness, "a", 0.0, 3.0)
    answer(harness, "b", 4.0, 0.0)
    assert harness.worker_of(1) == "b"


def test_a_worker_without_a_report_yet_is_not_probed_again_and_again() -> None:
    # At each start workers had none: the head asked until its credit was gone, and all behind it were
    # rejected.
    harness = DispatchHarness([endpoint("a"), endpoint("b")], **ASKING)
    harness.send_request(1, request_class=2)
    harness.send_request(2, request_class=0)
    asked = list(harness.probes)
    for worker in asked:
        harness.probes.remove(worker)
        harness.dispatcher.probe_completed(worker, AttemptOutcome.SUCCEEDED, MS, None)
    assert harness.worker_of(1) and harness.worker_of(2) and not harness.probes


def test_what_can_be_cancelled_does_not_probe() -> None:
    harness = DispatchHarness([endpoint("a"), endpoint("b")], **ASKING)
    harness.send_request(1, request_class=0)
    assert harness.worker_of(1) and not harness.probes


def test_where_full_is_no_proof_a_keyed_one_probes_first() -> None:
    # Trying bound it to its group and left work that ran on: at full size half of the attempts were shed.
    harness = DispatchHarness([endpoint("a"), endpoint("b")], full_may_have_run=True, **ASKING)
    harness.send_request(1, request_class=1)
    assert sorted(harness.probes) == ["a", "b"] and harness.worker_of(1) is None
    answer(harness, "a", 0.0, 3.0)
    answer(harness, "b", 4.0, 0.0)
    assert harness.worker_of(1) == "b"
    harness.send_request(2, request_class=0)
    assert harness.worker_of(2), "a idempotent one still finds out by trying"


def test_one_that_does_not_answer_is_not_waited_for() -> None:
    harness = DispatchHarness([endpoint("a"), endpoint("b")], **ASKING)
    harness.send_request(1, request_class=2)
    answer(harness, "a", 4.0, 0.0)
    assert harness.worker_of(1) is None
    harness.advance(60 * MS)
    assert harness.worker_of(1) == "a"


def test_an_unreachable_worker_is_found_out_without_losing_a_request() -> None:
    harness = DispatchHarness([endpoint("a"), endpoint("b")], **ASKING)
    harness.send_request(1, request_class=2)
    answer(harness, "a", 0.0, 0.0, AttemptOutcome.UNREACHABLE)
    answer(harness, "b", 4.0, 0.0)
    assert harness.worker_of(1) == "b" and harness.dispatcher.workers["a"].ejected


def test_nobody_is_sent_behind_a_reported_queue_that_is_too_long() -> None:
    harness = DispatchHarness([endpoint("a"), endpoint("b")], **ASKING)
    harness.send_request(1, request_class=2)
    while harness.probes:
        answer(harness, harness.probes[0], 0.0, 400.0)
    assert harness.worker_of(1) is None and 1 in harness.dispatcher.open_requests


def test_one_that_is_late_by_now_is_sent_behind_no_queue() -> None:
    # In a jam the slack was gone for all, and all were sent whatever the wait: the jam stayed for good.
    soon = {"latency_objective": [MS] * 3, "latency_stretch": [0.0] * 3, **ASKING}
    for waiting in (0.0, 3.0):
        harness = DispatchHarness([endpoint("a")], **soon)
        harness.send_request(1, request_class=2)
        harness.advance(5 * MS)
        answer(harness, "a", 0.0 if waiting else 4.0, waiting)
        harness.advance(300 * MS)
        assert bool(harness.attempts[1]) == (not waiting)


def test_nobody_is_given_up_while_answers_are_awaited() -> None:
    harness = DispatchHarness(
        [endpoint("a"), endpoint("b")], overdue_weight=[0.0] * 3, latency_objective=[40 * MS] * 3, **ASKING
    )
    harness.send_request(1, request_class=2)
    harness.advance(30 * MS)
    assert 1 in harness.dispatcher.open_requests and len(harness.probes) == 2


def test_probes_are_bounded_by_their_price() -> None:
    harness = DispatchHarness([endpoint(f"w{i}") for i in range(200)], **{**ASKING, "probe_cost": 0.003})
    asked = 0
    for request_id in range(50):
        harness.send_request(request_id, request_class=2)
        while harness.probes:
            answer(harness, harness.probes[0], 0.0, 400.0)
            asked += 1
        harness.advance(20 * MS)
    assert 50 < asked <= 2 * 52 + 8


def test_a_full_fleet_is_not_searched_anew_for_each_request() -> None:
    harness = DispatchHarness([endpoint(f"w{i}") for i in range(300)])
    for worker in harness.dispatcher.workers.values():
        worker.capacity = worker.capacity_before_cut = 0.0
    harness.send_request(1)
    barren = next(iter(harness.dispatcher.parts.queues.values())).no_capacity_until
    assert barren > harness.clock
    for worker in harness.dispatcher.workers.values():
        worker.capacity = worker.capacity_before_cut = 1.0
    harness.advance(barren - harness.clock)
    assert harness.dispatcher.parts.choice.draw_two(
        next(iter(harness.dispatcher.parts.queues.values())), harness.clock, None
    )


def test_many_dispatchers_together_give_a_warming_worker_work_from_the_start() -> None:
    may_send = 0
    for seed in range(200):
        harness = DispatchHarness(
            [endpoint("a"), endpoint("b", started_at=100 * SECOND)], seed, dispatcher_count=200
        )
        dispatcher, harness.clock = harness.dispatcher, harness.clock + 4 * SECOND
        slow_start = dispatcher.parts.slow_start
        slow_start.warm_load, slow_start.warm_load_at = 0.02, harness.clock
        queue = RequestQueue(1.0, -1)
        may_send += slow_start.allows(dispatcher.workers["b"], queue, harness.clock)
    assert 5 < may_send < 60


def test_a_wait_is_no_silence_where_starts_come_late() -> None:
    harness = DispatchHarness([endpoint(n, kind=1) for n in "abcd"], deadline=[9 * SECOND] * 3)
    harness.dispatcher.parts.observations.start_delays[0].extend([MS, 3 * SECOND])
    harness.send_request(1, request_class=2, deadline_in=9 * SECOND)
    waits_at = harness.dispatcher.workers[str(harness.worker_of(1))]
    harness.advance(3 * SECOND)
    assert not harness.probes
    harness.advance(4 * SECOND)
    assert harness.probes == [waits_at.name]


def test_a_long_queue_with_fresh_reports_does_not_nest() -> None:
    harness = DispatchHarness([endpoint(f"w{i}") for i in range(500)], **ASKING)
    for request_id in range(450):
        harness.send_request(request_id, request_class=2)
    for worker in harness.dispatcher.workers.values():
        worker.reported_free, worker.reported_at = 4.0, harness.clock
    for probed in list(harness.probes):
        answer(harness, probed, 4.0, 0.0)
    harness.advance(SECOND)
    assert all(harness.worker_of(s) for s in range(450))


@pytest.mark.parametrize(("waste_price", "least", "most"), [(0.0, 10, 40), (0.25, 1, 4)])
def test_what_may_run_all_the_same_is_cancelled_the_less_the_dearer_that_is(
    waste_price: float, least: int, most: int
) -> None:
    # Workers that take no notice ran all that was taken back, and many dispatchers filled half of them so.
    harness = DispatchHarness([endpoint(f"w{i}") for i in range(40)], waste_cost=waste_price)
    for number in range(40):
        harness.send_request(number)  # none of them starts
        harness.advance(20 * MS)
    harness.advance(500 * MS)
    recalled = sum(t.cancelled for attempts in harness.attempts.values() for t in attempts)
    assert least <= recalled <= most
