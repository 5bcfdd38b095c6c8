"""The read buffer of a connection: memory that grows in small steps and is given back when all is read."""

from .memory_account import MemoryAccount, MemoryHolding, MemoryKind

INITIAL_SIZE = 4 * 1024  # bytes
MIN_WRITABLE = 2 * 1024  # bytes offered to each read from the socket
GROWTH_DIVISOR = 4  # a full buffer grows by this part of its size: little is unused, and copies stay few


class ReadBuffer:
    """The received bytes that are not consumed yet, in the order of arrival."""

    def __init__(self, memory: MemoryAccount | None = None) -> None:
        """Start without memory; what is taken later is counted in `memory`."""
        self.holding = MemoryHolding(memory or MemoryAccount(), MemoryKind.READ_BUFFERS)
        self.data = bytearray()
        self.start = 0
        self.end = 0

    def __len__(self) -> int:
        """The number of unread bytes."""
        return self.end - self.start

    def writable_space(self) -> memoryview:
        """Return the space for the next bytes from the socket, at least `MIN_WRITABLE` bytes.

        Only this method resizes the buffer, as there must be no view of a bytearray that is resized.
        """
        if len(self.data) - self.end < MIN_WRITABLE:
            self._make_space()
        return memoryview(self.data)[self.end :]

    def _make_space(self) -> None:
        unread = len(self)
        # Moving the unread bytes costs as much as there are, so it has to free at least as many.
        if self.start >= unread:
            self.data[:unread] = self.data[self.start : self.end]
            self.start, self.end = 0, unread
        missing = MIN_WRITABLE - (len(self.data) - self.end)
        if missing > 0:
            growth = max(missing, len(self.data) // GROWTH_DIVISOR, INITIAL_SIZE - len(self.data))
            self.data.extend(bytes(growth))
        self.holding.set(len(self.data))

    def commit(self, count: int) -> None:
        """Add the first `count` bytes of the writable space to the unread bytes."""
        self.end += count

    def unread(self) -> memoryview:
        """Return a view of the unread bytes; release it before the next `writable_space`."""
        return memoryview(self.data)[self.start : self.end]

    def consume(self, count: int) -> None:
        """Drop the first `count` unread bytes; with the last one the memory is given back."""
        self.start += count
        if self.start == self.end:
            self.close()

    def close(self) -> None:
        """Drop all bytes and give the memory back."""
        # A new object: views of the old one may still exist.
        self.data = bytearray()
        self.start = self.end = 0
        self.holding.set(0)
