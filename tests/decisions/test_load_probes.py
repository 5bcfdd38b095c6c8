"""Load probes, and decisions that depend on the size of the fleet: slow start and cancellation."""

import pytest

from ploverspoke.decisions.interface import AttemptOutcome, LoadReport
from ploverspoke.decisions.settings import ANY_MACHINE_KIND
from ploverspoke.decisions.state import SECOND, RequestQueue
from tests.decisions.decision_settings import PROBING_SETTINGS
from tests.decisions.harness import MS, DispatchHarness, endpoint


def answer_probe(
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
    harness = DispatchHarness([endpoint("a"), endpoint("b")], **PROBING_SETTINGS)
    harness.send_request(1, request_class=2)
    assert sorted(harness.probes) == ["a", "b"] and harness.worker_of(1) is None
    answer_probe(harness, "a", 0.0, 3.0)
    answer_probe(harness, "b", 4.0, 0.0)
    assert harness.worker_of(1) == "b"


def test_a_worker_without_a_report_yet_is_not_probed_again_and_again() -> None:
    # Workers that have just started have no report: the head of the queue was probed for until the credit was
    # used up, and all other requests were rejected.
    harness = DispatchHarness([endpoint("a"), endpoint("b")], **PROBING_SETTINGS)
    harness.send_request(1, request_class=2)
    harness.send_request(2, request_class=0)
    probed = list(harness.probes)
    for worker in probed:
        harness.probes.remove(worker)
        harness.dispatcher.probe_completed(worker, AttemptOutcome.SUCCEEDED, MS, None)
    assert harness.worker_of(1) and harness.worker_of(2) and not harness.probes


def test_a_request_that_can_be_cancelled_is_sent_without_probes() -> None:
    harness = DispatchHarness([endpoint("a"), endpoint("b")], **PROBING_SETTINGS)
    harness.send_request(1, request_class=0)
    assert harness.worker_of(1) and not harness.probes


def test_keyed_request_is_probed_for_where_full_is_no_proof() -> None:
    # An attempt restricted the request to its retry group and left work running, so a large fleet rejected
    # half of these requests.
    harness = DispatchHarness([endpoint("a"), endpoint("b")], full_may_have_run=True, **PROBING_SETTINGS)
    harness.send_request(1, request_class=1)
    assert sorted(harness.probes) == ["a", "b"] and harness.worker_of(1) is None
    answer_probe(harness, "a", 0.0, 3.0)
    answer_probe(harness, "b", 4.0, 0.0)
    assert harness.worker_of(1) == "b"
    harness.send_request(2, request_class=0)
    assert harness.worker_of(2), "an idempotent request is sent without a probe"


def test_probe_without_an_answer_is_not_waited_for() -> None:
    harness = DispatchHarness([endpoint("a"), endpoint("b")], **PROBING_SETTINGS)
    harness.send_request(1, request_class=2)
    answer_probe(harness, "a", 4.0, 0.0)
    assert harness.worker_of(1) is None
    harness.advance(60 * MS)
    assert harness.worker_of(1) == "a"


def test_a_probe_detects_an_unreachable_worker_without_a_lost_request() -> None:
    harness = DispatchHarness([endpoint("a"), endpoint("b")], **PROBING_SETTINGS)
    harness.send_request(1, request_class=2)
    answer_probe(harness, "a", 0.0, 0.0, AttemptOutcome.UNREACHABLE)
    answer_probe(harness, "b", 4.0, 0.0)
    assert harness.worker_of(1) == "b" and harness.dispatcher.workers["a"].ejected


def test_no_request_is_sent_behind_a_reported_queue_that_is_too_long() -> None:
    harness = DispatchHarness([endpoint("a"), endpoint("b")], **PROBING_SETTINGS)
    harness.send_request(1, request_class=2)
    while harness.probes:
        answer_probe(harness, harness.probes[0], 0.0, 400.0)
    assert harness.worker_of(1) is None and 1 in harness.dispatcher.open_requests


def test_a_late_request_is_not_sent_behind_a_reported_queue() -> None:
    # Under overload no request had time left, and all were sent regardless of the wait, so it never ended.
    short_objectives = {"latency_objective": [MS] * 3, "latency_stretch": [0.0] * 3, **PROBING_SETTINGS}
    for waiting in (0.0, 3.0):
        harness = DispatchHarness([endpoint("a")], **short_objectives)
        harness.send_request(1, request_class=2)
        harness.advance(5 * MS)
        answer_probe(harness, "a", 0.0 if waiting else 4.0, waiting)
        harness.advance(300 * MS)
        assert bool(harness.attempts[1]) == (not waiting)


def test_no_request_is_given_up_while_probes_are_in_flight() -> None:
    harness = DispatchHarness(
        [endpoint("a"), endpoint("b")],
        overdue_weight=[0.0] * 3,
        latency_objective=[40 * MS] * 3,
        **PROBING_SETTINGS,
    )
    harness.send_request(1, request_class=2)
    harness.advance(30 * MS)
    assert 1 in harness.dispatcher.open_requests and len(harness.probes) == 2


def test_probes_are_bounded_by_their_price() -> None:
    harness = DispatchHarness(
        [endpoint(f"w{number}") for number in range(200)], **{**PROBING_SETTINGS, "probe_cost": 0.003}
    )
    probed = 0
    for request_id in range(50):
        harness.send_request(request_id, request_class=2)
        while harness.probes:
            answer_probe(harness, harness.probes[0], 0.0, 400.0)
            probed += 1
        harness.advance(20 * MS)
    assert 50 < probed <= 2 * 52 + 8


def test_a_full_fleet_is_not_searched_anew_for_each_request() -> None:
    harness = DispatchHarness([endpoint(f"w{number}") for number in range(300)])
    for worker in harness.dispatcher.workers.values():
        worker.capacity = worker.capacity_before_cut = 0.0
    harness.send_request(1)
    no_capacity_until = harness.first_queue().no_capacity_until
    assert no_capacity_until > harness.clock
    for worker in harness.dispatcher.workers.values():
        worker.capacity = worker.capacity_before_cut = 1.0
    harness.advance(no_capacity_until - harness.clock)
    assert harness.dispatcher.components.choice.draw_two(harness.first_queue(), harness.clock, None)


def test_many_dispatchers_together_send_work_to_a_warming_worker_from_the_start() -> None:
    allowed_count = 0
    for seed in range(200):
        harness = DispatchHarness(
            [endpoint("a"), endpoint("b", started_at=100 * SECOND)], seed, dispatcher_count=200
        )
        dispatcher, harness.clock = harness.dispatcher, harness.clock + 4 * SECOND
        slow_start = dispatcher.components.slow_start
        slow_start.warm_load, slow_start.warm_load_at = 0.02, harness.clock
        queue = RequestQueue(1.0, ANY_MACHINE_KIND)
        allowed_count += slow_start.allows(dispatcher.workers["b"], queue, harness.clock)
    assert 5 < allowed_count < 60


def test_a_long_wait_does_not_count_as_silence_where_all_starts_are_late() -> None:
    harness = DispatchHarness([endpoint(name, kind=1) for name in "abcd"], deadline=[9 * SECOND] * 3)
    harness.dispatcher.components.observations.start_delays[0].extend([MS, 3 * SECOND])
    harness.send_request(1, request_class=2, deadline_in=9 * SECOND)
    worker = harness.dispatcher.workers[str(harness.worker_of(1))]
    harness.advance(3 * SECOND)
    assert not harness.probes
    harness.advance(4 * SECOND)
    assert harness.probes == [worker.name]


def test_a_long_queue_with_fresh_reports_does_not_nest() -> None:
    harness = DispatchHarness([endpoint(f"w{number}") for number in range(500)], **PROBING_SETTINGS)
    for request_id in range(450):
        harness.send_request(request_id, request_class=2)
    for worker in harness.dispatcher.workers.values():
        worker.reported_free, worker.reported_at = 4.0, harness.clock
    for probed in list(harness.probes):
        answer_probe(harness, probed, 4.0, 0.0)
    harness.advance(SECOND)
    assert all(harness.worker_of(request_id) for request_id in range(450))


@pytest.mark.parametrize(("waste_price", "lowest", "highest"), [(0.0, 10, 40), (0.25, 1, 4)])
def test_fewer_attempts_are_cancelled_the_more_wasted_work_costs(
    waste_price: float, lowest: int, highest: int
) -> None:
    # Workers that ignore cancellation ran all cancelled attempts, which filled half of a large fleet.
    harness = DispatchHarness([endpoint(f"w{number}") for number in range(40)], waste_cost=waste_price)
    for number in range(40):
        harness.send_request(number)  # no attempt starts
        harness.advance(20 * MS)
    harness.advance(500 * MS)
    cancelled_count = sum(attempt.cancelled for attempts in harness.attempts.values() for attempt in attempts)
    assert lowest <= cancelled_count <= highest
