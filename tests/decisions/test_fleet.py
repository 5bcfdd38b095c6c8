"""Many dispatchers at once: what is harmless in one of them, and harmful in the sum of all."""

from tests.decisions.harness import MS, SECOND, Stage, listing
from tests.decisions.test_load_probes import ASKING

CALL_TAKES = 140 * MS  # of the roster's time, also for one that has been turned away meanwhile
TURNED_AWAY_AFTER = 2 * SECOND


def watched(stages: list[Stage], span: int) -> list[int]:
    """When each one's watch was taken up by a roster that works through their calls in turn; 0: never."""
    start, free_at = stages[0].clock, stages[0].clock
    asked, since = [0] * len(stages), [0] * len(stages)
    lost: list[tuple[int, int]] = []
    for _ in range(span // (10 * MS)):
        for number, stage in enumerate(stages):
            stage.pass_time(10 * MS)
            if stage.watches == asked[number]:
                continue
            asked[number] = stage.watches
            free_at = max(free_at, stage.clock) + CALL_TAKES
            if free_at <= stage.clock + TURNED_AWAY_AFTER:
                since[number] = free_at - start
            else:
                lost.append((stage.clock + TURNED_AWAY_AFTER, number))
        for due in [x for x in lost if x[0] <= stages[0].clock]:
            lost.remove(due)
            stages[due[1]].dispatcher.endpoint_watch_failed(turned_away=True)
    return since


def test_dispatchers_started_together_do_not_jam_the_roster() -> None:
    workers = [listing(f"w{n}") for n in range(3)]
    since = watched([Stage(workers, seed, dispatcher_count=40) for seed in range(40)], 8 * SECOND)
    assert all(since) and max(since) < 8 * SECOND


def test_those_turned_away_find_the_roster_free_later() -> None:
    # Without a list nothing can be sent, so all call at once; what is turned away must not fill the next
    # seconds.
    since = watched([Stage([], seed, dispatcher_count=40) for seed in range(40)], 25 * SECOND)
    assert all(since)


def test_a_worker_that_calls_itself_unwell_is_left_alone_until_it_starts_anew() -> None:
    # Each of many dispatchers lost submissions at each draining or failing worker, whose probes told all.
    stage = Stage([listing(name) for name in "abcdef"], **ASKING)
    for submission_id in range(40):
        stage.submit(submission_id, grade=2)
        for name in stage.probes:
            stage.dispatcher.probe_completed(name, "worker_error" if name == "a" else "satisfied", MS, {})
        stage.probes.clear()
        if stage.where(submission_id):
            stage.end(submission_id, "satisfied")
        stage.pass_time(100 * MS)
    assert "a" not in {t["worker"] for tries in stage.tries.values() for t in tries}
    assert stage.dispatcher.workers["a"].aside
    stage.dispatcher.endpoints_changed([listing("a", started=stage.clock)])
    assert not stage.dispatcher.workers["a"].aside, "another one has started in its place"


def test_a_lost_zone_does_not_hide_failing_workers_elsewhere() -> None:
    stage = Stage([listing(name) for name in "abcdefghi"])
    dispatcher = stage.dispatcher
    for name in "abc":
        dispatcher._set_aside(dispatcher.workers[name], stage.clock, bounded=False)
    dispatcher._set_aside(dispatcher.workers["d"], stage.clock)
    assert dispatcher.workers["d"].aside


def test_a_quick_error_makes_no_worker_known() -> None:
    # Free at once and heard of just now, it was the one that irreversible submissions went to unasked.
    stage = Stage([listing("a"), listing("b")], **ASKING)
    for worker in stage.dispatcher.workers.values():
        worker.heard_at = stage.clock
    stage.submit(1, grade=2)
    failed = stage.where(1)
    assert failed and not stage.probes
    stage.end(1, "worker_error")
    stage.submit(2, grade=2)
    assert failed in stage.probes and not stage.tries[2]
