"""Makes the C library's allocator give memory back to the system."""

import ctypes
from collections.abc import Callable

from .deadlines import Deadlines
from .memory_account import MemoryAccount
from .units import MEBIBYTE, MILLISECOND

# Parameters of mallopt(3) of the GNU C library.
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
# Setting them also keeps the library from raising them by itself when large blocks are freed.
MMAP_THRESHOLD = 64 * 1024  # bytes; a larger block is returned to the system when it is freed
TRIM_THRESHOLD = MEBIBYTE  # bytes that may stay free at the top of the heap
CHECK_INTERVAL = 500 * MILLISECOND
MIN_RELEASED = 2 * MEBIBYTE  # released since the last trim; less is not worth the time of a trim


def configure_allocator() -> Callable[[], None]:
    """Set the thresholds, and return a function that gives free memory back; it does nothing elsewhere."""
    try:
        library = ctypes.CDLL(None)
        library.mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD)
        library.mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD)
        trim = library.malloc_trim
    except (OSError, AttributeError):
        return lambda: None
    return lambda: trim(0)


class MemoryTrimmer:
    """Trims the heap after much of the account was released."""

    def __init__(self, deadlines: Deadlines, memory: MemoryAccount) -> None:
        """Begin to watch the account."""
        self.deadlines = deadlines
        self.memory = memory
        self.trim = configure_allocator()
        self.highest_total = 0  # since the last trim
        self._schedule()

    def _schedule(self) -> None:
        self.deadlines.schedule(self.deadlines.now() + CHECK_INTERVAL, self._check)

    def _check(self) -> None:
        recent_peak = self.memory.take_recent_peak()
        self.highest_total = max(self.highest_total, recent_peak)
        if self.highest_total - self.memory.total >= MIN_RELEASED:
            self.highest_total = self.memory.total
            self.trim()
        self._schedule()
