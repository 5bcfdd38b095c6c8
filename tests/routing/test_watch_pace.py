"""How long watch requests wait at discovery."""

import pytest

from ploverspoke.routing.watch_pace import OVERLOAD_LATENESS, WatchPace
from ploverspoke.transport.units import MILLISECOND as MS
from ploverspoke.transport.units import SECOND

VALID = 5 * SECOND


def pace(fleet_time: int = 5 * SECOND, longest: int = 10 * SECOND) -> WatchPace:
    return WatchPace(fleet_time, longest)


@pytest.mark.parametrize("fleet_time", [0, 125 * MS, 2500 * MS, 5 * SECOND])
def test_silent_watch_leaves_time_for_a_call_and_a_backoff_before_the_list_expires(fleet_time: int) -> None:
    waits = pace(fleet_time)
    for time_left in range(0, VALID + 1, 100 * MS):
        wait = waits.wait(time_left, is_continued=True)
        assert wait <= max(time_left // 4, time_left - SECOND - waits.lateness_limit())
    assert waits.wait(VALID, is_continued=True) >= 2 * SECOND


def test_waits_grow_with_the_lateness_of_discovery_and_shrink_again() -> None:
    waits = pace()
    for _ in range(8):
        waits.record(3 * SECOND, 4 * SECOND)
    assert waits.wait(VALID, is_continued=True) == 4 * SECOND
    assert waits.lateness_limit() > SECOND
    for _ in range(2):
        waits.record(4 * SECOND, 4 * SECOND + MS)
    assert waits.lateness < OVERLOAD_LATENESS and waits.wait(VALID, is_continued=True) < 4 * SECOND


def test_one_late_answer_gives_no_wait_longer_than_the_validity_of_the_list() -> None:
    # The first answer took a second; the next wait of 8 s was not answered, and the list expired meanwhile.
    waits = pace()
    waits.record(0, SECOND)
    assert waits.wait(VALID, is_continued=True) + waits.lateness_limit() <= VALID


def test_call_after_a_failed_one_does_not_wait() -> None:
    waits = pace()
    waits.record(0, SECOND)
    assert waits.wait(-SECOND, is_continued=False) == waits.wait(VALID, is_continued=False) == 0


def test_wait_is_above_zero_for_a_short_poll_interval() -> None:
    waits = pace(fleet_time=100 * MS, longest=200 * MS)
    assert waits.wait(800 * MS, is_continued=True) == 200 * MS
    assert waits.wait(100 * MS, is_continued=True) > 0
