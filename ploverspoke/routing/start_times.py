"""Start times of workers on the monotonic clock, converted from discovery's Unix time."""

import time
from collections.abc import Callable

from ploverspoke.transport.units import MILLISECOND

# A start is listed at most so long after it: one that is new in a list is at most so much older than the last
# confirmation before it.
MAX_LISTING_DELAY = 3500 * MILLISECOND


class StartTimes:
    """Converts start times; later steps of this machine's wall clock have no effect on them.

    The offset between the clocks is measured once. Where discovery's clock was stepped, a new start would
    lie in the future or too far back: it is clamped to the possible range.
    """

    def __init__(self, now: Callable[[], int], wall_clock: Callable[[], int] = time.time_ns) -> None:
        """`now` is the monotonic clock and `wall_clock` the time since 1970, both in ns."""
        self.now = now
        self.offset = wall_clock() - now()
        self.known: dict[str, tuple[int, int]] = {}  # by worker: its start as listed, and converted

    def convert(self, worker: str, started_ms: int, confirmed_at: int | None) -> int:
        """The monotonic time (ns) of a start, 0 where it is unknown.

        `confirmed_at` is when the list before this one was confirmed; None: there was none.
        """
        if not started_ms:
            return 0
        known_ms, started_at = self.known.get(worker, (0, 0))
        if known_ms != started_ms:
            earliest = 1 if confirmed_at is None else confirmed_at - MAX_LISTING_DELAY
            converted = started_ms * MILLISECOND - self.offset
            started_at = max(1, min(self.now(), max(converted, earliest)))
            self.known[worker] = started_ms, started_at
        return started_at
