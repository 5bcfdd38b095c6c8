"""Detects that a cold worker receives more work than it can handle."""

from collections import deque
from typing import NamedTuple

from .event_records import WorkerOverloaded


class _ArrivedWork(NamedTuple):
    """The work of one request."""

    at: int  # ns from the start of the run
    work: float  # ns of one slot at speed 1
    dispatcher: int


class OverloadDetector:
    """Sums the work that has arrived in the overload window."""

    def __init__(self, window: int) -> None:
        """`window` is in ns."""
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

    def detect_overload(self, work_limit: float) -> WorkerOverloaded | None:
        """Return the overload if the sum exceeds the limit; a single arrival is never an overload."""
        if self._total <= work_limit or len(self._arrivals) < 2:
            return None
        by_dispatcher: dict[str, int] = {}
        for arrival in self._arrivals:
            name = str(arrival.dispatcher)
            by_dispatcher[name] = by_dispatcher.get(name, 0) + int(arrival.work)
        return WorkerOverloaded(int(self._total), int(work_limit), by_dispatcher)
