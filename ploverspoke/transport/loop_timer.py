"""A timer of the running event loop that is set to a time of the monotonic clock and can be reset."""

import asyncio
import time
from collections.abc import Callable

from .units import SECOND


class LoopTimer:
    """Calls back at the time that it is set to; it can be set again at any time."""

    def __init__(self, callback: Callable[[], None], max_delay: float | None = None) -> None:
        """With `max_delay` (seconds), it calls back after that delay at the latest."""
        self._callback = callback
        self._max_delay = max_delay
        self._handle: asyncio.TimerHandle | None = None  # None: the timer is not set
        self._when = 0

    def set(self, when: int) -> None:
        """Call back at `when` (monotonic ns), which replaces any earlier setting.

        uvloop has a resolution of one millisecond and may call back up to one millisecond before `when`.
        """
        if self._handle is not None:
            if self._when == when:
                return
            self._handle.cancel()
        delay = max(0, when - time.monotonic_ns()) / SECOND
        if self._max_delay is not None:
            delay = min(delay, self._max_delay)
        self._when = when
        self._handle = asyncio.get_running_loop().call_later(delay, self._on_due)

    def set_earlier(self, when: int) -> None:
        """Call back at `when`, unless the timer is already set to that time or an earlier one."""
        if self._handle is None or when < self._when:
            self.set(when)

    def cancel(self) -> None:
        """Do not call back until the timer is set again."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _on_due(self) -> None:
        self._handle = None
        self._callback()
