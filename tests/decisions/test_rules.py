"""Seeded random runs: the rules and the books hold after every step."""

import pytest

from tests.decisions.harness import MS, SECOND, Stage, listing, random_run


@pytest.mark.parametrize("seed", range(40))
def test_rules_hold_in_random_runs(seed: int) -> None:
    random_run(seed, 400, probe_cost=seed % 2 * 0.002)


@pytest.mark.parametrize("seed", range(10))
def test_rules_hold_with_subjects_and_zones(seed: int) -> None:
    random_run(1000 + seed, 300, cross_zone_cost=0.02, probing_allowed=False)


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
    stage.dispatcher.endpoints_changed([listing("a", "draining")])
    stage.submit(1)
    assert stage.where(1) is None


def test_an_absent_worker_is_gone() -> None:
    stage = Stage([listing("a"), listing("b")])
    stage.dispatcher.endpoint_list_received([listing("b")])
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
    stage = Stage([listing("a"), listing("b", started=100 * SECOND)], dispatcher_count=20)
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
        stage.dispatcher.endpoint_watch_failed()
        watches = stage.watches
        while stage.watches == watches:
            stage.pass_time(10 * MS)
        waits.append(stage.clock - before)
    assert waits[2] > waits[0] and waits[2] < 10 * SECOND


@pytest.mark.parametrize("seed", range(20))
def test_rules_hold_where_full_is_no_proof(seed: int) -> None:
    drains = {"only_draining_is_binding": seed % 3 == 0}
    random_run(3000 + seed, 300, full_may_have_run=True, probe_cost=seed % 2 * 0.002, **drains)


@pytest.mark.parametrize(
    ("proof", "grade", "again"), [(True, 0, True), (False, 0, True), (True, 2, True), (False, 2, False)]
)
def test_after_a_full_answer(proof: bool, grade: int, again: bool) -> None:
    stage = Stage([listing("a", kind=1), listing("b", kind=1)], full_may_have_run=not proof)
    stage.submit(1, grade)
    first = stage.where(1)
    stage.end(1, "full")
    stage.pass_time(100 * MS)
    assert stage.where(1) == ({"a": "b", "b": "a"}[str(first)] if again else None)
    assert stage.answers == ({} if again else {1: "abandoned"}), "no other hand-off and no nack"


def test_gone_binds_only_where_no_drain_is_needed() -> None:
    for only_draining in (False, True):
        stage = Stage([listing("a")], only_draining_is_binding=only_draining)
        stage.dispatcher.endpoint_list_received([])
        assert stage.probes == (["a"] if only_draining else []), "one that is called gone is asked"
        if only_draining:
            stage.dispatcher.probe_completed("a", "satisfied", MS, {"free_slots": 2.0})
        stage.submit(1)
        assert stage.where(1) == ("a" if only_draining else None)


def test_a_drain_binds_beyond_its_end() -> None:
    stage = Stage([listing("a")], only_draining_is_binding=True)
    for condition in ("draining", "gone"):
        stage.dispatcher.endpoints_changed([listing("a", condition)])
        stage.submit(len(stage.tries))
    assert not stage.probes and not any(stage.tries.values())
    stage.dispatcher.endpoints_changed([listing("a")])
    stage.dispatcher.endpoints_changed([listing("a", "gone")])
    assert stage.probes == ["a"], "back since, it is gone without a drain"
