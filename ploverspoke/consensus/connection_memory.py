"""The memory that the connections of one server hold together, and which of them gives it up.

Frames in part and bytes that the other side does not read are held for as long as it likes. Each connection
has limits of its own, but their number only follows from the descriptors, so their sum has a limit as well.
"""

import asyncio
from collections.abc import Callable

from ploverspoke.transport.memory_account import MemoryAccount, MemoryHolding, MemoryKind
from ploverspoke.transport.rate_limited_log import log_line
from ploverspoke.transport.stream_protocol import StreamProtocol

from .framing import MAX_BODY_BYTES, FrameCodec

MAX_HELD_BYTES = 16 * MAX_BODY_BYTES  # of all connections of one server


class ConnectionMemory:
    """The bytes held for the connections of one server; beyond the limit the oldest holder is closed."""

    def __init__(self, log_name: str, limit: int = MAX_HELD_BYTES) -> None:
        """`log_name` is the prefix of log lines; `limit` is in bytes."""
        self.log_name = log_name
        self.account = MemoryAccount(limit)
        self.holders: dict[ConnectionHolding, None] = {}  # in the order in which they began to hold
        self.closed_connections = 0  # to get below the limit

    def make_room(self) -> None:
        """Close the connections that have held memory longest until the limit is kept."""
        while self.account.is_full() and self.holders:
            oldest = next(iter(self.holders))
            log_line(
                f"{self.log_name}: a connection is closed: all hold {self.account.total} bytes, "
                f"this one {oldest.size()} for the longest time"
            )
            self.closed_connections += 1
            oldest.release()
            oldest.close()


class ConnectionHolding:
    """What one connection holds: a frame in part, and bytes that are not sent."""

    def __init__(self, memory: ConnectionMemory, close: Callable[[], None]) -> None:
        """`close` closes the connection, and drops what it holds."""
        self.memory = memory
        self.close = close
        self.received = MemoryHolding(memory.account, MemoryKind.READ_BUFFERS)
        self.unsent = MemoryHolding(memory.account, MemoryKind.UNSENT)

    def size(self) -> int:
        """Return the bytes held."""
        return self.received.size + self.unsent.size

    def set_received(self, size: int) -> None:
        """Hold `size` received bytes from now on; may close this connection or others."""
        self._set(self.received, size)

    def set_unsent(self, size: int) -> None:
        """Hold `size` bytes that are not sent from now on; may close this connection or others."""
        self._set(self.unsent, size)

    def release(self) -> None:
        """Hold nothing any more."""
        self.received.set(0)
        self.unsent.set(0)
        self.memory.holders.pop(self, None)

    def _set(self, holding: MemoryHolding, size: int) -> None:
        if size == holding.size:
            return
        holding.set(size)
        if self.size():
            self.memory.holders.setdefault(self)
            self.memory.make_room()
        else:
            self.memory.holders.pop(self, None)


class CountedProtocol(StreamProtocol, asyncio.Protocol):
    """A protocol whose incomplete frames and unsent bytes count in the memory of its server."""

    def __init__(self, memory: ConnectionMemory, frames: FrameCodec) -> None:
        """Hold nothing at first; `frames` decodes what is received."""
        super().__init__()
        self.frames = frames
        self.held = ConnectionHolding(memory, self.abort)
        self.is_writing_paused = False

    def abort(self) -> None:
        """Close the connection immediately, and drop what it holds."""
        self.frames.drop_unread()
        super().abort()

    def release_memory(self) -> None:
        """Hold nothing any more: the connection has ended."""
        self.frames.drop_unread()
        self.held.release()

    def count_received(self) -> None:
        """Count the frame that has been received in part; may close this connection or others."""
        self.held.set_received(self.frames.unread_bytes())

    def pause_writing(self) -> None:
        """Count what is not sent from now on; called by asyncio when the buffer is over its high mark."""
        self.is_writing_paused = True
        self._count_unsent()

    def resume_writing(self) -> None:
        """Count nothing as not sent; called by asyncio when the buffer is below its low mark."""
        self.is_writing_paused = False
        self.held.set_unsent(0)

    def write_counted(self, transport: asyncio.Transport, data: bytes) -> None:
        """Write to the transport; may close this connection or others."""
        transport.write(data)
        if self.is_writing_paused:
            self._count_unsent()

    def _count_unsent(self) -> None:
        if self.transport is not None:
            self.held.set_unsent(self.transport.get_write_buffer_size())
