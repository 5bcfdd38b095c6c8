"""The replicated clock, without I/O: nanoseconds that all replicas count alike.

It advances with each replica's monotonic clock and is never behind an entry that was applied here, so it
never jumps. A wall clock would: a leader whose clock was an hour ahead made all answers expire at once, and
a client that asked again had a non-idempotent request run twice.
"""

from collections.abc import Callable


class ReplicatedClock:
    """Time since the cluster's first entry, in nanoseconds, as far as this replica knows it."""

    def __init__(self, monotonic: Callable[[], int]) -> None:
        """Start at zero; `monotonic` returns this process's monotonic time in nanoseconds."""
        self.monotonic = monotonic
        self._offset = 0
        self._offset_at = monotonic()

    def now(self) -> int:
        """Return the current time in nanoseconds."""
        return self._offset + self.monotonic() - self._offset_at

    def advance_to(self, time: int) -> None:
        """Move forward to `time` (ns), that of an entry which is applied here; never moves backward."""
        monotonic_now = self.monotonic()
        if time > self._offset + monotonic_now - self._offset_at:
            self._offset = time
            self._offset_at = monotonic_now
