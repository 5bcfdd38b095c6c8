"""Seeded random runs: the rules and the books hold after every step."""

import pytest

from .stage import MS, SECOND, Stage, listing, random_run


@pytest.mark.parametrize("seed", range(40))
def test_rules_hold_in_random_runs(seed: int) -> None:
    random_run(seed, 400, probe_price=seed % 2 * 0.002)


@pytest.mark.parametrize("seed", range(10))
def test_rules_hold_with_subjects_and_zones(seed: int) -> None:
    random_run(1000 + seed, 300, fetch_price=0.03, zone_crossing_price=0.02, probing_permitted=False)


def test_same_events_same_actions() -> None:
    first, second = random_run(7, 500), random_run(7, 500)
    assert first.tries == second.tries and first.answers == second.answers


def test_abandon_time_already_past_is_answered_at_once() -> None:
    stage = Stage([listing("a")])
    stage.submit(1, abandon_in=0)
    assert stage.answers == {1: "nacked"} and not stage.tries[1]


def test_an_empty_roster_holds_and_then_answers() -> None:
    stage = Stage([])
    stage.submit(1)
    stage.pass_time(5 * SECOND)
    assert stage.answers[1] == "nacked"


def test_nothing_new_goes_to_a_draining_worker() -> None:
    stage = Stage([listing("a")])
    stage.dispatcher.roster_changed([listing("a", "draining")])
    stage.submit(1)
    assert stage.where(1) is None


def test_an_absent_worker_is_gone() -> None:
    stage = Stage([listing("a"), listing("b")])
    stage.dispatcher.roster_complete([listing("b")])
    for submission_id in range(4):
        stage.submit(submission_id)
        assert stage.where(submission_id) in ("b", None)


def test_a_cold_worker_is_not_flooded() -> None:
    stage = Stage([listing("a", started=100 * SECOND)])
    for submission_id in range(20):
        stage.submit(submission_id)
        if stage.where(submission_id):
            stage.start(submission_id)
            stage.pass_time(10 * MS)
            stage.end(submission_id, "satisfied")
    sent = sum(len(t) for t in stage.tries.values())
    assert sent < 10


def test_a_cold_worker_gets_some_work_however_many_dispatchers_there_are() -> None:
    stage = Stage([listing("a"), listing("b", started=100 * SECOND)], dispatchers=20)
    given = []
    for submission_id in range(60):
        stage.submit(submission_id)
        if stage.where(submission_id):
            stage.start(submission_id)
        stage.pass_time(50 * MS)
        given += [t["worker"] for t in stage.tries[submission_id]]
        for out in [s for s in stage.tries if stage.where(s) and stage.tries[s][-1].get("started")][:-2]:
            stage.end(out, "satisfied")
    assert 0 < given.count("b") < given.count("a")


def test_the_watch_is_renewed_with_growing_waits() -> None:
    stage = Stage([])
    waits = []
    for _ in range(3):
        before = stage.clock
        stage.dispatcher.roster_lost()
        watches = stage.watches
        while stage.watches == watches:
            stage.pass_time(10 * MS)
        waits.append(stage.clock - before)
    assert waits[2] > waits[0] and waits[2] < 10 * SECOND
