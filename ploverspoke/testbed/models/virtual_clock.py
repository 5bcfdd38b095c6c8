"""Virtual time: one ordered heap of what is to happen. Equal times keep the order in which they were set."""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any, Protocol


class Timer:
    """A call to come. Calling it off leaves a hull in the heap, passed over when its time comes."""

    __slots__ = ("call", "what")

    def __init__(self, call: Callable[..., None], what: tuple[Any, ...]) -> None:
        self.call: Callable[..., None] | None = call
        self.what = what

    def call_off(self) -> None:
        self.call = None
        self.what = ()


class AnyTimer(Protocol):
    def call_off(self) -> None: ...


class Clock(Protocol):
    """What the models are handed; nanoseconds from the start of the run."""

    def now(self) -> int: ...

    def at(self, when: int, call: Callable[..., None], *what: Any) -> AnyTimer:
        """Make the call at that time, or at once after this event where it is past; never from in here."""


class VirtualClock:
    def __init__(self) -> None:
        self.time = 0
        self.serial = 0
        self.heap: list[tuple[int, int, Timer]] = []
        self.made = 0  # calls

    def now(self) -> int:
        return self.time

    def at(self, when: int, call: Callable[..., None], *what: Any) -> Timer:
        timer = Timer(call, what)
        self.serial += 1
        heappush(self.heap, (when if when > self.time else self.time, self.serial, timer))
        return timer

    def run(self, until: int) -> None:
        """Make all calls up to and at that time, in order."""
        heap = self.heap
        while heap and heap[0][0] <= until:
            self.time, _, timer = heappop(heap)
            call = timer.call
            if call is not None:
                self.made += 1
                call(*timer.what)
        self.time = max(self.time, until)
