"""The ordinary path, and one small case for each failure found."""

from collections import deque

import pytest

from tests.decisions.harness import MS, SECOND, Stage, listing


def test_a_placeholder_gives_its_place_to_an_arrival() -> None:
    stage = Stage([listing("a"), listing("b")])
    stage.submit(1)
    worker = stage.dispatcher.workers["b" if stage.where(1) == "a" else "a"]
    worker.placeholders.append((next(iter(stage.dispatcher.types.values())), stage.clock + SECOND))
    stage.submit(2)
    assert stage.where(2) == worker.name and not worker.placeholders


def test_a_larger_job_takes_over_placeholders_until_none_is_left() -> None:
    stage = Stage([listing("a")])
    stage.submit(1)
    stage.end(1, "satisfied")
    worker = stage.dispatcher.workers["a"]
    worker.room = 2.0
    worker.placeholders.append((next(iter(stage.dispatcher.types.values())), stage.clock + SECOND))
    stage.submit(2, slots=2.0)
    assert stage.where(2) == "a" and not worker.placeholders


def test_a_late_start_cuts_the_room_to_what_had_started() -> None:
    stage = Stage([listing("a")])
    stage.submit(1)
    stage.pass_time(MS)
    stage.start(1)
    worker = stage.dispatcher.workers["a"]
    stage.submit(2)
    stage.pass_time(300 * MS)
    stage.start(2)
    assert worker.room == 1.0


def test_no_more_goes_where_one_of_ours_has_not_started() -> None:
    stage = Stage([listing("a")])
    stage.submit(1)
    stage.pass_time(MS)
    stage.start(1)
    stage.submit(2)
    stage.pass_time(50 * MS)
    stage.dispatcher.workers["a"].room = 9.0
    stage.submit(3)
    assert stage.where(2) == "a" and stage.where(3) is None


def test_overdue_submissions_give_way_to_those_behind() -> None:
    stage = Stage([])
    stage.submit(1)
    stage.pass_time(10 * MS)
    stage.submit(2)
    stage.pass_time(10 * MS)
    assert stage.answers == {1: "nacked"}


def test_repeats_of_a_subject_meet_on_one_worker() -> None:
    stage = Stage([listing(n) for n in "abcdef"])
    places = set()
    for submission_id in range(6):
        stage.submit(submission_id, subject="listing-7")
        places.add(stage.where(submission_id))
        stage.start(submission_id)
        stage.end(submission_id, "satisfied")
    assert len(places) == 1


def test_replacement_prefers_a_subject_with_its_home_there() -> None:
    stage = Stage([listing("a"), listing("b")])
    for name in "ab":
        stage.dispatcher.workers[name].room = stage.dispatcher.workers[name].room_before_cut = 0.0
    subjects = [f"s{n}" for n in range(9)]
    for number, subject in enumerate(subjects):
        stage.submit(number, subject=subject)
    homes = [stage.dispatcher._tiers(-1, stage.dispatcher.open[n])[0][0].name for n in range(9)]
    assert set(homes) == {"a", "b"}
    other = "b" if homes[0] == "a" else "a"
    stage.dispatcher.chance.fraction = lambda: 0.0  # type: ignore[method-assign]
    stage.dispatcher._replace(stage.dispatcher.open[0].type, stage.dispatcher.workers[other], stage.clock)
    assert [n for n in range(9) if stage.where(n)] == [homes.index(other)]


def test_a_head_bound_to_its_rack_does_not_block_its_queue() -> None:
    stage = Stage([listing("a", rack=1)])
    stage.submit(1, grade=1)
    stage.end(1, "timed_out")
    stage.submit(2)
    stage.dispatcher.workers["a"].ready = False
    stage.dispatcher.endpoints_changed([listing("b", rack=2)])
    stage.listed["b"] = listing("b", rack=2)
    for _ in range(20):
        stage.dispatcher._tick(stage.clock)
    assert stage.where(1) is None and stage.where(2) == "b"


def test_a_silent_worker_is_set_aside_and_its_redoable_job_rescued() -> None:
    stage = Stage([listing(n) for n in "abcd"])
    stage.submit(1)
    stage.start(1)
    first = stage.where(1)
    stage.submit(2, grade=2, abandon_in=9 * SECOND)
    stage.pass_time(1900 * MS)
    assert stage.tries[1][0]["outcome"] == "recalled" and first in stage.probes
    stage.dispatcher.probe_completed(first, "timed_out", 250 * MS, None)
    assert stage.dispatcher.workers[first].aside


def test_a_silent_connection_is_no_silent_worker() -> None:
    # Single connections fall silent too; each took its worker out for 8 to 12 s.
    stage = Stage([listing(n) for n in "abcd"])
    stage.submit(1)
    stage.start(1)
    first = stage.where(1)
    stage.pass_time(1900 * MS)
    assert stage.probes == [first]
    stage.dispatcher.probe_completed(first, "satisfied", MS, None)
    assert not stage.dispatcher.workers[first].aside and stage.tries[1][0]["outcome"] == "recalled"


def test_an_unreachable_worker_returns_only_after_a_probe() -> None:
    stage = Stage([listing(n) for n in "abcd"])
    stage.submit(1)
    worker = stage.dispatcher.workers[stage.where(1)]
    stage.end(1, "unreachable")
    stage.dispatcher.probe_completed(stage.probes.pop(), "unreachable", MS, None)
    assert worker.aside
    stage.pass_time(13 * SECOND)
    assert stage.probes == [worker.name]
    stage.dispatcher.probe_completed(worker.name, "timed_out", SECOND, None)
    assert worker.aside
    stage.dispatcher.probe_completed(worker.name, "satisfied", MS, None)
    assert not worker.aside


@pytest.mark.parametrize("probing", [True, False])
@pytest.mark.parametrize("outcome", ["unreachable", "broken_off"])
def test_one_broken_connection_dismisses_no_worker(outcome: str, probing: bool) -> None:
    # Where connections are reset now and then all workers were set aside within seconds.
    stage = Stage([listing(n) for n in "abc"], probing_allowed=probing)
    stage.submit(0)
    worker = stage.dispatcher.workers[stage.where(0)]
    stage.end(0, outcome)
    if probing:
        stage.submit(1)
        assert stage.probes == [worker.name] and stage.where(1) != worker.name
        stage.dispatcher.probe_completed(stage.probes.pop(), "satisfied", MS, None)
    assert not any(w.aside for w in stage.dispatcher.workers.values())
    alone = Stage([listing("a")], probing_allowed=probing)
    for number in range(2):
        alone.submit(number)
    alone.end(0, outcome)
    alone.end(1, outcome)
    if probing:
        alone.dispatcher.probe_completed(alone.probes.pop(), "broken_off", MS, None)
    assert alone.dispatcher.workers["a"].aside


def test_only_a_part_of_the_workers_is_set_aside() -> None:
    stage = Stage([listing(n) for n in "abcdef"])
    for worker in list(stage.dispatcher.workers.values()):
        stage.dispatcher._set_aside(worker, stage.clock)
    assert sum(w.aside for w in stage.dispatcher.workers.values()) == 2


def test_a_waiting_labelled_one_is_left_alone_while_its_rack_is_full() -> None:
    stage = Stage([listing("a", rack=1), listing("b", rack=2)])
    stage.dispatcher.workers["b"].ready = False
    stage.submit(1, grade=1)
    stage.dispatcher.workers["b"].ready = True
    stage.pass_time(SECOND)
    assert stage.tries[1][0]["outcome"] is None


def test_proof_knows_no_bound_on_the_set_aside_share() -> None:
    stage = Stage([listing(n) for n in "abc"])
    stage.submit(1)
    while stage.tries[1] and stage.where(1):
        stage.end(1, "unreachable")
        stage.dispatcher.probe_completed(stage.probes.pop(), "unreachable", MS, None)
        stage.pass_time(100 * MS)
    assert sum(w.aside for w in stage.dispatcher.workers.values()) == len(stage.tries[1]) > 1


def test_an_irreversible_one_does_not_try_a_worker_that_has_just_returned() -> None:
    stage = Stage([listing("a", kind=1)])
    stage.dispatcher._take_back(stage.dispatcher.workers["a"])
    stage.submit(1, grade=2)
    stage.submit(2, grade=0)
    assert stage.where(1) is None and stage.where(2) == "a"


def test_machines_that_a_grade_needs_are_left_to_it() -> None:
    stage = Stage([listing("a", kind=1), listing("b", kind=0), listing("c", kind=1)])
    stage.submit(1)
    assert stage.where(1) == "b"


def test_no_replacement_where_the_wait_was_more_than_affordable() -> None:
    stage = Stage([listing("a")])
    worker = stage.dispatcher.workers["a"]
    worker.room = worker.room_before_cut = 1.0
    stage.submit(1)
    stage.dispatcher.start_lags[0] = deque([MS])
    stage.pass_time(60 * MS)
    stage.start(1)
    assert stage.dispatcher.open[1].waited_too_long
    stage.submit(2)
    stage.end(1, "satisfied")
    assert stage.where(2) is None


def test_an_overtaken_hand_off_does_not_keep_its_worker_out() -> None:
    stage = Stage([listing("a", kind=1)])
    worker = stage.dispatcher.workers["a"]
    stage.submit(1, grade=2)
    stage.pass_time(MS)
    stage.submit(2, grade=2)
    stage.start(2)
    stage.pass_time(100 * MS)
    assert stage.where(1) == "a" and not stage.dispatcher._has_waiting(worker, stage.clock)


def test_a_bound_submission_is_not_taken_back_to_be_sent_to_the_same_worker() -> None:
    # On sockets a labelled one went to the same worker six times over, a copy left there each time.
    stage = Stage([listing("a"), listing("b")])
    for submission_id in (1, 2):
        stage.submit(submission_id, subject="s")
        stage.start(submission_id)
        stage.pass_time(100 * MS)
        stage.end(submission_id, "satisfied")
    stage.submit(3, grade=1, subject="s")
    stage.pass_time(2 * SECOND)
    went = [t["worker"] for t in stage.tries[3]]
    assert len(went) > 1 and all(here != there for here, there in zip(went, went[1:], strict=False))


def test_a_subject_has_homes_by_its_share_of_the_latest_arrivals() -> None:
    # One subject with a seventh of the traffic is more than a worker's load; thousands of others are no more
    # than names, of which only the latest are kept.
    stage = Stage([listing(f"w{n}") for n in range(40)])
    for number in range(700):
        stage.dispatcher.subjects.append("common" if number % 7 == 0 else f"user-{number}")
    assert stage.dispatcher._homes("common") == 8 and stage.dispatcher._homes("user-699") == 1
    assert stage.dispatcher._homes("") == 0 and len(stage.dispatcher.subjects) == 512
