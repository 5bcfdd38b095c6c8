"""Virtual time: a heap of scheduled calls; calls for the same time run in the order of scheduling."""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any, Protocol


class TimerHandle(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Do not make the call; no effect once it was made."""


class Clock(Protocol):
    """The clock of the models; times are in ns from the start of the run."""

    def now(self) -> int:
        """Return the current time."""

    def call_at(self, when: int, call: Callable[..., None], *args: Any) -> TimerHandle:
        """Make the call at that time, or right after the current event if that time has passed."""


class VirtualTimer:
    """A call in the heap; a cancelled call stays in the heap and is skipped at its time."""

    __slots__ = ("args", "call")

    def __init__(self, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        """Keep the call and its arguments."""
        self.call: Callable[..., None] | None = call
        self.args = args

    def cancel(self) -> None:
        """Do not make the call."""
        self.call = None
        self.args = ()


class VirtualClock:
    """A clock whose time does not change during a call and advances to that of the next call."""

    def __init__(self) -> None:
        """Start at 0."""
        self.time = 0
        self._sequence_number = 0
        self._heap: list[tuple[int, int, VirtualTimer]] = []

    def now(self) -> int:
        """Return the current time."""
        return self.time

    def call_at(self, when: int, call: Callable[..., None], *args: Any) -> VirtualTimer:
        """Make the call at that time, or right after the current event if that time has passed."""
        timer = VirtualTimer(call, args)
        self._sequence_number += 1
        heappush(self._heap, (max(when, self.time), self._sequence_number, timer))
        return timer

    def run(self, until: int) -> None:
        """Make all calls scheduled for up to and including that time, in order."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.time, _, timer = heappop(heap)
            if timer.call is not None:
                timer.call(*timer.args)
        self.time = max(self.time, until)
