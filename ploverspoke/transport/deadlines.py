"""All timers of the process, in one heap; a single event loop timer is set to the earliest of them."""

import asyncio
import heapq
import time
import traceback
from collections.abc import Callable

from .loop_meter import LoopMeter
from .rate_limited_log import log_line
from .units import SECOND

MIN_CANCELLED_TO_COMPACT = 256


def _do_nothing() -> None:
    """The callback of a cancelled deadline."""


class Deadline:
    """One scheduled callback; `is_done` is true once it has run or was cancelled."""

    __slots__ = ("callback", "is_done", "serial", "when")

    def __init__(self, when: int, serial: int, callback: Callable[[], None]) -> None:
        """`when` is in ns; `serial` orders deadlines with the same time."""
        self.when = when
        self.serial = serial
        self.callback = callback
        self.is_done = False

    def __lt__(self, other: "Deadline") -> bool:
        """Order by time, then by the order of scheduling."""
        return (self.when, self.serial) < (other.when, other.serial)


class Deadlines:
    """Schedules callbacks on the monotonic clock; times are in nanoseconds."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Use the timers of `loop`."""
        self.loop = loop
        self.heap: list[Deadline] = []
        self.serial = 0
        self.cancelled_count = 0  # cancelled deadlines that are still in the heap
        self.timer: asyncio.TimerHandle | None = None
        self.timer_when = 0
        self.meter = LoopMeter()

    def now(self) -> int:
        """Return the monotonic time in nanoseconds."""
        return time.monotonic_ns()

    def schedule(self, when: int, callback: Callable[[], None]) -> Deadline:
        """Call `callback` at `when` or as soon as possible afterwards, but never inside this method."""
        self.serial += 1
        deadline = Deadline(when, self.serial, callback)
        heapq.heappush(self.heap, deadline)
        if self.heap[0] is deadline:
            self._arm()
        return deadline

    def cancel(self, deadline: Deadline | None) -> None:
        """Cancel a deadline; does nothing if it is None or done."""
        if deadline is None or deadline.is_done:
            return
        deadline.is_done = True
        deadline.callback = _do_nothing  # what the callback refers to must not live on in the heap
        self.cancelled_count += 1
        # Most deadlines are cancelled. Left in the heap until due, they would use most of the memory.
        if self.cancelled_count > max(MIN_CANCELLED_TO_COMPACT, len(self.heap) // 2):
            self.heap = [pending for pending in self.heap if not pending.is_done]
            heapq.heapify(self.heap)
            self.cancelled_count = 0

    def _arm(self) -> None:
        """Set the timer of the event loop to the earliest deadline."""
        if not self.heap:
            return
        when = self.heap[0].when
        if self.timer is not None:
            if self.timer_when <= when:
                return
            self.timer.cancel()
        self.timer_when = when
        self.timer = self.loop.call_later(max(0, when - self.now()) / SECOND, self._run_due)

    def _run_due(self) -> None:
        self.timer = None
        now = self.now()
        if self.heap and self.heap[0].when <= now:
            self.meter.record_timer_delay(now - self.heap[0].when)
        due = []
        while self.heap and self.heap[0].when <= now:
            due.append(heapq.heappop(self.heap))
        for deadline in due:
            if deadline.is_done:
                self.cancelled_count -= self.cancelled_count > 0
                continue
            deadline.is_done = True
            try:
                deadline.callback()
            except Exception:  # an error in one callback must not prevent the others
                log_line("a timer callback failed: " + traceback.format_exc())
        self._arm()
