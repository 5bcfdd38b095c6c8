"""Start times of workers on the monotonic clock while wall clocks are stepped."""

import pytest

from ploverspoke.routing.start_times import MAX_LISTING_DELAY_NS, StartTimes
from ploverspoke.transport.units import MILLISECOND as MS
from ploverspoke.transport.units import SECOND

HOUR = 3600 * SECOND
EPOCH = 1_700_000_000 * SECOND


class Clocks:
    """The monotonic clock of this machine, and the wall clocks of this machine and of discovery."""

    def __init__(self) -> None:
        self.time, self.local_step, self.discovery_step = 500 * SECOND, 0, 0
        self.starts = StartTimes(lambda: self.time, lambda: EPOCH + self.time + self.local_step)

    def listed(self, started_at: int) -> int:
        return (EPOCH + started_at + self.discovery_step) // MS


@pytest.mark.parametrize("step", [-HOUR, -3 * SECOND, 0, 3 * SECOND, HOUR])
def test_step_of_the_own_wall_clock_changes_no_start_time(step: int) -> None:
    clocks = Clocks()
    before = clocks.starts.convert("w0", clocks.listed(490 * SECOND), None)
    clocks.local_step, clocks.time = step, 600 * SECOND
    after = clocks.starts.convert("w0", clocks.listed(490 * SECOND), 599 * SECOND)
    fresh = clocks.starts.convert("w1", clocks.listed(599 * SECOND), 599 * SECOND)
    assert before == after == 490 * SECOND and fresh == 599 * SECOND


@pytest.mark.parametrize("step", [-HOUR, -3 * SECOND, 3 * SECOND, HOUR])
def test_new_start_time_is_clamped_where_the_clock_of_discovery_was_stepped(step: int) -> None:
    clocks = Clocks()
    known = clocks.starts.convert("w0", clocks.listed(490 * SECOND), None)
    listed_before, clocks.discovery_step, clocks.time = clocks.listed(490 * SECOND), step, 600 * SECOND
    fresh = clocks.starts.convert("w1", clocks.listed(599 * SECOND), 598 * SECOND)
    assert 598 * SECOND - MAX_LISTING_DELAY_NS <= fresh <= 600 * SECOND
    assert clocks.starts.convert("w0", listed_before, 598 * SECOND) == known
    clocks.time = 700 * SECOND
    assert clocks.starts.convert("w1", clocks.listed(599 * SECOND), 699 * SECOND) == fresh


def test_unknown_start_time_is_zero() -> None:
    assert Clocks().starts.convert("w0", 0, None) == 0
