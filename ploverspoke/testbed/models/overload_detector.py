"""Detects that a cold worker gets more work than it bears."""

from collections import deque
from typing import NamedTuple

from .event_records import WorkerOverloaded


class _ArrivedWork(NamedTuple):
    """Work of one request, in ns of one slot at speed 1."""

    at: int
    work: float
    dispatcher: int


class OverloadDetector:
    """Sums the work that has arrived in the overload window."""

    def __init__(self, window: int) -> None:
        """Sum over that many ns."""
        self.window = window
        self._arrivals: deque[_ArrivedWork] = deque()
        self._total = 0.0

    def clear(self) -> None:
        """Forget all arrivals."""
        self._arrivals.clear()
        self._total = 0.0

    def add(self, now: int, work: float, dispatcher: int) -> None:
        """Add work that has arrived."""
        self._arrivals.append(_ArrivedWork(now, work, dispatcher))
        self._total += work
        while self._arrivals[0].at < now - self.window:
            self._total -= self._arrivals.popleft().work

    def overload(self, work_limit: float) -> WorkerOverloaded | None:
        """Return the overload where the sum is above the limit; a single arrival is none."""
        if self._total <= work_limit or len(self._arrivals) < 2:
            return None
        by_dispatcher: dict[str, int] = {}
        for arrival in self._arrivals:
            name = str(arrival.dispatcher)
            by_dispatcher[name] = by_dispatcher.get(name, 0) + int(arrival.work)
        return WorkerOverloaded(int(self._total), int(work_limit), by_dispatcher)
