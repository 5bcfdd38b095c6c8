"""What a dispatcher of a large fleet goes by: probes, live weights, its share of a cold worker."""

import pytest

from tests.decisions.harness import MS, SECOND, Stage, listing

ASKING = {"probe_cost": 0.001, "machine_kind": [-1, -1, -1]}


def answer(stage: Stage, worker: str, free: float, waiting: float, outcome: str = "satisfied") -> None:
    stage.probes.remove(worker)
    load = {"free_slots": free, "waiting": waiting} if outcome == "satisfied" else None
    stage.dispatcher.probe_completed(worker, outcome, MS, load)


def test_an_irreversible_one_goes_where_the_report_shows_less() -> None:
    stage = Stage([listing("a"), listing("b")], **ASKING)
    stage.submit(1, grade=2)
    assert sorted(stage.probes) == ["a", "b"] and stage.where(1) is None
    answer(stage, "a", 0.0, 3.0)
    answer(stage, "b", 4.0, 0.0)
    assert stage.where(1) == "b"


def test_a_worker_without_a_report_yet_is_not_asked_again_and_again() -> None:
    # At each start workers had none: the head asked until its credit was gone, and all behind it were nacked.
    stage = Stage([listing("a"), listing("b")], **ASKING)
    stage.submit(1, grade=2)
    stage.submit(2, grade=0)
    asked = list(stage.probes)
    for worker in asked:
        stage.probes.remove(worker)
        stage.dispatcher.probe_completed(worker, "satisfied", MS, None)
    assert stage.where(1) and stage.where(2) and not stage.probes


def test_what_can_be_taken_back_does_not_ask() -> None:
    stage = Stage([listing("a"), listing("b")], **ASKING)
    stage.submit(1, grade=0)
    assert stage.where(1) and not stage.probes


def test_where_full_is_no_proof_a_labelled_one_asks_first() -> None:
    # Trying bound it to its group and left work that ran on: at full size half of the attempts were shed.
    stage = Stage([listing("a"), listing("b")], full_may_have_run=True, **ASKING)
    stage.submit(1, grade=1)
    assert sorted(stage.probes) == ["a", "b"] and stage.where(1) is None
    answer(stage, "a", 0.0, 3.0)
    answer(stage, "b", 4.0, 0.0)
    assert stage.where(1) == "b"
    stage.submit(2, grade=0)
    assert stage.where(2), "a redoable one still finds out by trying"


def test_one_that_does_not_answer_is_not_waited_for() -> None:
    stage = Stage([listing("a"), listing("b")], **ASKING)
    stage.submit(1, grade=2)
    answer(stage, "a", 4.0, 0.0)
    assert stage.where(1) is None
    stage.pass_time(60 * MS)
    assert stage.where(1) == "a"


def test_an_unreachable_worker_is_found_out_without_losing_a_submission() -> None:
    stage = Stage([listing("a"), listing("b")], **ASKING)
    stage.submit(1, grade=2)
    answer(stage, "a", 0.0, 0.0, "unreachable")
    answer(stage, "b", 4.0, 0.0)
    assert stage.where(1) == "b" and stage.dispatcher.workers["a"].aside


def test_nobody_is_sent_behind_a_reported_queue_that_is_too_long() -> None:
    stage = Stage([listing("a"), listing("b")], **ASKING)
    stage.submit(1, grade=2)
    while stage.probes:
        answer(stage, stage.probes[0], 0.0, 400.0)
    assert stage.where(1) is None and 1 in stage.dispatcher.open


def test_one_that_is_late_by_now_is_sent_behind_no_queue() -> None:
    # In a jam the slack was gone for all, and all were sent whatever the wait: the jam stayed for good.
    soon = {"latency_objective": [MS] * 3, "latency_stretch": [0.0] * 3, **ASKING}
    for waiting in (0.0, 3.0):
        stage = Stage([listing("a")], **soon)
        stage.submit(1, grade=2)
        stage.pass_time(5 * MS)
        answer(stage, "a", 0.0 if waiting else 4.0, waiting)
        stage.pass_time(300 * MS)
        assert bool(stage.tries[1]) == (not waiting)


def test_nobody_is_given_up_while_answers_are_awaited() -> None:
    stage = Stage(
        [listing("a"), listing("b")], overdue_weight=[0.0] * 3, latency_objective=[40 * MS] * 3, **ASKING
    )
    stage.submit(1, grade=2)
    stage.pass_time(30 * MS)
    assert 1 in stage.dispatcher.open and len(stage.probes) == 2


def test_probes_are_bounded_by_their_price() -> None:
    stage = Stage([listing(f"w{i}") for i in range(200)], **{**ASKING, "probe_cost": 0.003})
    asked = 0
    for submission_id in range(50):
        stage.submit(submission_id, grade=2)
        while stage.probes:
            answer(stage, stage.probes[0], 0.0, 400.0)
            asked += 1
        stage.pass_time(20 * MS)
    assert 50 < asked <= 2 * 52 + 8


def test_a_full_fleet_is_not_searched_anew_for_each_submission() -> None:
    stage = Stage([listing(f"w{i}") for i in range(300)])
    for worker in stage.dispatcher.workers.values():
        worker.room = worker.room_before_cut = 0.0
    stage.submit(1)
    barren = next(iter(stage.dispatcher.types.values())).barren_until
    assert barren > stage.clock
    for worker in stage.dispatcher.workers.values():
        worker.room = worker.room_before_cut = 1.0
    stage.pass_time(barren - stage.clock)
    assert stage.dispatcher._draw_two(next(iter(stage.dispatcher.types.values())), stage.clock, None)


def test_many_dispatchers_together_give_a_cold_worker_work_from_the_start() -> None:
    may_send = 0
    for seed in range(200):
        stage = Stage([listing("a"), listing("b", started=100 * SECOND)], seed, dispatcher_count=200)
        dispatcher, stage.clock = stage.dispatcher, stage.clock + 4 * SECOND
        dispatcher.warm_load, dispatcher.warm_load_at = 0.02, stage.clock
        job_type = dispatcher._job_type(1.0, -1)
        may_send += dispatcher._cold_budget_allows(dispatcher.workers["b"], job_type, stage.clock)
    assert 5 < may_send < 60


def test_a_wait_is_no_silence_where_starts_come_late() -> None:
    stage = Stage([listing(n, kind=1) for n in "abcd"], deadline=[9 * SECOND] * 3)
    stage.dispatcher.start_lags[0].extend([MS, 3 * SECOND])
    stage.submit(1, grade=2, abandon_in=9 * SECOND)
    waits_at = stage.dispatcher.workers[stage.where(1)]
    stage.pass_time(3 * SECOND)
    assert not stage.probes
    stage.pass_time(4 * SECOND)
    assert stage.probes == [waits_at.name]


def test_a_long_queue_with_fresh_reports_does_not_nest() -> None:
    stage = Stage([listing(f"w{i}") for i in range(500)], **ASKING)
    for submission_id in range(450):
        stage.submit(submission_id, grade=2)
    for worker in stage.dispatcher.workers.values():
        worker.free, worker.reported_at = 4.0, stage.clock
    for probed in list(stage.probes):
        answer(stage, probed, 4.0, 0.0)
    stage.pass_time(SECOND)
    assert all(stage.where(s) for s in range(450))


@pytest.mark.parametrize(("waste_price", "least", "most"), [(0.0, 10, 40), (0.25, 1, 4)])
def test_what_may_run_all_the_same_is_taken_back_the_less_the_dearer_that_is(
    waste_price: float, least: int, most: int
) -> None:
    # Workers that take no notice ran all that was taken back, and many dispatchers filled half of them so.
    stage = Stage([listing(f"w{i}") for i in range(40)], waste_cost=waste_price)
    for number in range(40):
        stage.submit(number)  # none of them starts
        stage.pass_time(20 * MS)
    stage.pass_time(500 * MS)
    recalled = sum(t.get("recalled", False) for tries in stage.tries.values() for t in tries)
    assert least <= recalled <= most
