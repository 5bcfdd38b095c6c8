"""The replicated clock, without I/O: a time in nanoseconds that is comparable between replicas.

It advances with the replica's monotonic clock and is never behind the time of an entry that was applied here,
so it does not jump as a wall clock can. With wall clocks, a leader whose clock was an hour ahead made all
recorded answers expire at once, and a client's retry ran a non-idempotent request twice.
"""

from collections.abc import Callable


class ReplicatedClock:
    """This replica's view of the time since the cluster's first entry, in nanoseconds."""

    def __init__(self, monotonic: Callable[[], int]) -> None:
        """Start at zero; `monotonic` returns this process's monotonic time in nanoseconds."""
        self.monotonic = monotonic
        self._base_time = 0
        self._base_monotonic = monotonic()

    def now(self) -> int:
        """Return the current time in nanoseconds."""
        return self._base_time + self.monotonic() - self._base_monotonic

    def advance_to(self, time: int) -> None:
        """Advance to `time` (ns), the time of an entry that is being applied; never moves backward."""
        monotonic_now = self.monotonic()
        if time > self._base_time + monotonic_now - self._base_monotonic:
            self._base_time = time
            self._base_monotonic = monotonic_now
