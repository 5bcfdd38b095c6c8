"""The read buffer of a connection: one block of memory that grows on demand and is compacted in place."""

from .memory_account import MemoryAccount, MemoryHolding, MemoryKind

INITIAL_SIZE = 4 * 1024  # bytes
MIN_WRITABLE = 2 * 1024  # bytes offered to each read from the socket


class ReadBuffer:
    """The received bytes that are not consumed yet, in the order of arrival."""

    def __init__(self, memory: MemoryAccount | None = None) -> None:
        """Start empty, with `INITIAL_SIZE` bytes of memory, which are counted in `memory`."""
        self.holding = MemoryHolding(memory or MemoryAccount(), MemoryKind.READ_BUFFERS)
        self.data = bytearray(INITIAL_SIZE)
        self.holding.set(len(self.data))
        self.start = 0
        self.end = 0

    def __len__(self) -> int:
        """The number of unread bytes."""
        return self.end - self.start

    def writable_space(self) -> memoryview:
        """Return the space for the next bytes from the socket, at least `MIN_WRITABLE` bytes.

        Only this method resizes the buffer, as there must be no view of a bytearray that is resized.
        """
        if self.start == self.end:
            self.start = self.end = 0
            if len(self.data) > INITIAL_SIZE:
                self.data = bytearray(INITIAL_SIZE)
        elif len(self.data) - self.end < MIN_WRITABLE:
            if self.start:
                self.data[: len(self)] = self.data[self.start : self.end]
                self.start, self.end = 0, len(self)
            if len(self.data) - self.end < MIN_WRITABLE:
                self.data.extend(bytes(len(self.data)))
        self.holding.set(len(self.data))
        return memoryview(self.data)[self.end :]

    def commit(self, count: int) -> None:
        """Add the first `count` bytes of the writable space to the unread bytes."""
        self.end += count

    def unread(self) -> memoryview:
        """Return a view of the unread bytes; release it before the next `writable_space`."""
        return memoryview(self.data)[self.start : self.end]

    def consume(self, count: int) -> None:
        """Drop the first `count` unread bytes."""
        self.start += count

    def close(self) -> None:
        """Give the memory back to the account; the connection has ended."""
        self.holding.set(0)
