"""The store's own time, without I/O: ns that all replicas count alike, whatever their wall clocks do.

It goes on by each replica's monotonic clock and is never behind an entry that was applied here. So it never
jumps: a leader whose wall clock was an hour ahead made all answers forgotten at once, and a client that asked
again had an irreversible submission run twice.
"""

from collections.abc import Callable


class ReplicatedClock:
    def __init__(self, monotonic: Callable[[], int]) -> None:
        self.monotonic = monotonic
        self.base, self.since = 0, monotonic()

    def now(self) -> int:
        return self.base + self.monotonic() - self.since

    def seen(self, at: int) -> None:
        """An entry of that time is applied here."""
        here = self.monotonic()
        if at > self.base + here - self.since:
            self.base, self.since = at, here
