"""How long watch requests wait at discovery."""

import pytest

from ploverspoke.routing.watch_pace import OVERLOAD_LATENESS_NS, WatchPace
from ploverspoke.transport.units import MILLISECOND as MS
from ploverspoke.transport.units import SECOND

LIST_VALIDITY = 5 * SECOND


def make_pace(fleet_call_duration: int = 5 * SECOND, max_wait: int = 10 * SECOND) -> WatchPace:
    return WatchPace(fleet_call_duration, max_wait)


@pytest.mark.parametrize("fleet_call_duration", [0, 125 * MS, 2500 * MS, 5 * SECOND])
def test_silent_watch_leaves_time_for_a_call_and_a_backoff_before_the_list_expires(
    fleet_call_duration: int,
) -> None:
    pace = make_pace(fleet_call_duration)
    for time_left in range(0, LIST_VALIDITY + 1, 100 * MS):
        wait = pace.next_wait(time_left, is_continued=True)
        assert wait <= max(time_left // 4, time_left - SECOND - pace.lateness_limit())
    assert pace.next_wait(LIST_VALIDITY, is_continued=True) >= 2 * SECOND


def test_waits_grow_with_the_lateness_of_discovery_and_shrink_again() -> None:
    pace = make_pace()
    for _ in range(8):
        pace.record(3 * SECOND, 4 * SECOND)
    assert pace.next_wait(LIST_VALIDITY, is_continued=True) == 4 * SECOND
    assert pace.lateness_limit() > SECOND
    for _ in range(2):
        pace.record(4 * SECOND, 4 * SECOND + MS)
    assert (
        pace.lateness < OVERLOAD_LATENESS_NS and pace.next_wait(LIST_VALIDITY, is_continued=True) < 4 * SECOND
    )


def test_one_late_answer_gives_no_wait_longer_than_the_validity_of_the_list() -> None:
    # Guards against this failure: after a first response that took 1 s, the next request allowed a wait of
    # 8 s. It was not answered, and the list expired meanwhile.
    pace = make_pace()
    pace.record(0, SECOND)
    assert pace.next_wait(LIST_VALIDITY, is_continued=True) + pace.lateness_limit() <= LIST_VALIDITY


def test_call_after_a_failed_one_does_not_wait() -> None:
    pace = make_pace()
    pace.record(0, SECOND)
    assert (
        pace.next_wait(-SECOND, is_continued=False) == pace.next_wait(LIST_VALIDITY, is_continued=False) == 0
    )


def test_wait_is_above_zero_for_a_short_poll_interval() -> None:
    pace = make_pace(fleet_call_duration=100 * MS, max_wait=200 * MS)
    assert pace.next_wait(800 * MS, is_continued=True) == 200 * MS
    assert pace.next_wait(100 * MS, is_continued=True) > 0
