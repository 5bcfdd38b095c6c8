"""Starts of workers on the monotonic clock; discovery gives them in Unix time."""

import time
from collections.abc import Callable

from ploverspoke.transport.units import MILLISECOND

# A start is listed no later than this after it: one that is new in a list came no earlier than so long before
# the list was last confirmed.
LATEST_LISTING = 3500 * MILLISECOND


class StartTimes:
    """Converts starts; what this machine's wall clock does after the program's start changes none of them.

    The difference of both clocks is taken once, so that a step of the wall clock moves no known start.
    Where the clock that discovery goes by was stepped, too, a new start would seem to lie in the future or
    long ago: it is taken for what is possible.
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
            earliest = 1 if confirmed_at is None else confirmed_at - LATEST_LISTING
            converted = started_ms * MILLISECOND - self.offset
            started_at = max(1, min(self.now(), max(converted, earliest)))
            self.known[worker] = started_ms, started_at
        return started_at
