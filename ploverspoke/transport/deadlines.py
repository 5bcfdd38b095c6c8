"""All deadlines of the program, in one ordered structure on the event loop's clock."""

import asyncio
import heapq
import time
import traceback
from collections.abc import Callable

from .rate_limited_log import log_line
from .units import SECOND

FEWEST_TO_CLEAR = 256


class Deadline:
    """One deadline; `done` marks one that was called off or has been met."""

    __slots__ = ("call", "done", "serial", "when")

    def __init__(self, when: int, serial: int, call: Callable[[], None]) -> None:
        self.when = when
        self.serial = serial
        self.call = call
        self.done = False

    def __lt__(self, other: "Deadline") -> bool:
        return (self.when, self.serial) < (other.when, other.serial)


class Deadlines:
    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.heap: list[Deadline] = []
        self.serial = 0
        self.called_off = 0
        self.timer: asyncio.TimerHandle | None = None
        self.timer_for = 0

    def now(self) -> int:
        return time.monotonic_ns()

    def at(self, when: int, call: Callable[[], None]) -> Deadline:
        """Call it at that time or as soon as possible after it, never from in here."""
        self.serial += 1
        deadline = Deadline(when, self.serial, call)
        heapq.heappush(self.heap, deadline)
        if self.heap[0] is deadline:
            self._arm()
        return deadline

    def call_off(self, deadline: Deadline | None) -> None:
        if deadline is None or deadline.done:
            return
        deadline.done = True
        self.called_off += 1
        # Most time-outs are called off; left in place for long they would be most of the memory.
        if self.called_off > max(FEWEST_TO_CLEAR, len(self.heap) // 2):
            self.heap = [d for d in self.heap if not d.done]
            heapq.heapify(self.heap)
            self.called_off = 0

    def _arm(self) -> None:
        if not self.heap:
            return
        when = self.heap[0].when
        if self.timer is not None:
            if self.timer_for <= when:
                return
            self.timer.cancel()
        self.timer_for = when
        self.timer = self.loop.call_later(max(0, when - self.now()) / SECOND, self._ring)

    def _ring(self) -> None:
        self.timer = None
        now = self.now()
        due = []
        while self.heap and self.heap[0].when <= now:
            due.append(heapq.heappop(self.heap))
        for deadline in due:
            if deadline.done:
                self.called_off -= self.called_off > 0
                continue
            deadline.done = True
            try:
                deadline.call()
            except Exception:
                log_line("a deadline's call failed: " + traceback.format_exc())
        self._arm()
