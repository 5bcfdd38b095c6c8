"""Start times of workers on the monotonic clock, converted from discovery's Unix time."""

import time
from collections.abc import Callable

from ploverspoke.transport.units import MILLISECOND

# Discovery lists a start at most this long after it happened. A start that is new in a list is therefore at
# most this much older than the previous confirmation of the list.
MAX_LISTING_DELAY_NS = 3500 * MILLISECOND


class StartTimes:
    """Converts start times; later steps of this machine's wall clock have no effect on them.

    The offset between the clocks is measured once. If discovery's clock was stepped, a new start could appear
    to be in the future or too far in the past, so it is clamped to the possible range.
    """

    def __init__(self, now: Callable[[], int], wall_clock: Callable[[], int] = time.time_ns) -> None:
        """`now` is the monotonic clock and `wall_clock` the time since 1970, both in ns."""
        self.now = now
        self.offset = wall_clock() - now()
        # By worker: its start as listed (Unix ms) and as converted (monotonic ns).
        self.known: dict[str, tuple[int, int]] = {}

    def forget(self, worker: str) -> None:
        """Forget a worker that is gone."""
        self.known.pop(worker, None)

    def convert(self, worker: str, started_ms: int, confirmed_at: int | None) -> int:
        """The monotonic time (ns) of a start, 0 if it is unknown.

        `confirmed_at` is when the previous list was confirmed; None if there was none.
        """
        if not started_ms:
            return 0
        known_started_ms, started_at = self.known.get(worker, (0, 0))
        if known_started_ms != started_ms:
            earliest = 1 if confirmed_at is None else confirmed_at - MAX_LISTING_DELAY_NS
            converted = started_ms * MILLISECOND - self.offset
            started_at = max(1, min(self.now(), max(converted, earliest)))
            self.known[worker] = started_ms, started_at
        return started_at
