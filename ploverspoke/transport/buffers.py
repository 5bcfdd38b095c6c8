"""The read buffer of a connection: blocks of one size, taken as bytes come and given back when read."""

from collections import deque

from .memory_account import MemoryAccount, MemoryHolding, MemoryKind

BLOCK_SIZE = 4 * 1024  # bytes; all blocks are alike, so that freed ones leave no holes of odd sizes
MIN_WRITABLE = 2 * 1024  # bytes offered to each read from the socket


class ReadBuffer:
    """The received bytes that are not consumed yet, in the order of arrival."""

    def __init__(self, memory: MemoryAccount | None = None) -> None:
        """Start without memory; what is taken later is counted in `memory`."""
        self.holding = MemoryHolding(memory or MemoryAccount(), MemoryKind.READ_BUFFERS)
        self.blocks: deque[bytearray] = deque()
        self.ends: deque[int] = deque()  # of the received bytes in each block
        self.start = 0  # of the unread bytes in the first block
        self.size = 0

    def __len__(self) -> int:
        """The number of unread bytes."""
        return self.size

    def writable_space(self) -> memoryview:
        """Return the space for the next bytes from the socket, at least `MIN_WRITABLE` bytes."""
        if self._writable_size() < MIN_WRITABLE and self.size < MIN_WRITABLE * len(self.blocks):
            self._move_together()
        if self._writable_size() < MIN_WRITABLE:
            self.blocks.append(bytearray(BLOCK_SIZE))
            self.ends.append(0)
        self._update_holding()
        return memoryview(self.blocks[-1])[self.ends[-1] :]

    def commit(self, count: int) -> None:
        """Add the first `count` bytes of the writable space to the unread bytes."""
        self.ends[-1] += count
        self.size += count

    def unread(self) -> memoryview:
        """Return a view of the first unread bytes, as many as lie in one block."""
        if not self.blocks:
            return memoryview(b"")
        return memoryview(self.blocks[0])[self.start : self.ends[0]]

    def consume(self, count: int) -> None:
        """Drop the first `count` unread bytes, and give back the blocks that held them."""
        self.size -= count
        if not self.size:
            self.close()
            return
        self.start += count
        while self.start >= self.ends[0]:
            self.start -= self.ends.popleft()
            self.blocks.popleft()
        self._update_holding()

    def close(self) -> None:
        """Drop all bytes and give the memory back."""
        self.blocks.clear()
        self.ends.clear()
        self.start = self.size = 0
        self.holding.set(0)

    def _writable_size(self) -> int:
        return BLOCK_SIZE - self.ends[-1] if self.blocks else 0

    def _move_together(self) -> None:
        """Move the unread bytes to as few blocks as they need."""
        received = zip(self.blocks, self.ends, strict=True)
        unread = b"".join([memoryview(block)[:end] for block, end in received])[self.start :]
        pieces = [unread[at : at + BLOCK_SIZE] for at in range(0, len(unread), BLOCK_SIZE)]
        while len(self.blocks) > len(pieces):
            self.blocks.pop()
        for block, piece in zip(self.blocks, pieces, strict=True):
            block[: len(piece)] = piece
        self.ends = deque(len(piece) for piece in pieces)
        self.start = 0

    def _update_holding(self) -> None:
        self.holding.set(len(self.blocks) * BLOCK_SIZE)
