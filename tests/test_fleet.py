"""Many dispatchers at once: what is harmless in one of them, and harmful in the sum of all."""

from .stage import MS, SECOND, Stage, listing

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
            stages[due[1]].dispatcher.roster_lost(turned_away=True)
    return since


def test_dispatchers_started_together_do_not_jam_the_roster() -> None:
    workers = [listing(f"w{n}") for n in range(3)]
    since = watched([Stage(workers, seed, dispatchers=40) for seed in range(40)], 8 * SECOND)
    assert all(since) and max(since) < 8 * SECOND


def test_those_turned_away_find_the_roster_free_later() -> None:
    # Without a list nothing can be sent, so all call at once; what is turned away must not fill the next
    # seconds.
    since = watched([Stage([], seed, dispatchers=40) for seed in range(40)], 25 * SECOND)
    assert all(since)
