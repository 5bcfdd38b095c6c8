"""A stream connection to a client, a worker, discovery or an operator."""

import asyncio
import select
import time
from collections.abc import Callable
from typing import NamedTuple, Protocol, cast

from .buffers import ReadBuffer
from .loop_meter import ConnectionKind, LoopMeter
from .memory_account import MemoryAccount, MemoryHolding, MemoryKind
from .slot_table import SlotTable
from .stream_protocol import StreamProtocol

READS_PER_TURN = 4  # the event loop would read up to 32 times from one connection before it turns to others
DISCARD_SPACE = memoryview(bytearray(64 * 1024))  # shared by all connections whose input is dropped
CONNECTION_BYTES = 8 * 1024  # of the objects of one connection and of its user, without buffers


class ConnectionMonitor(NamedTuple):
    """Where connections of one kind are measured."""

    kind: ConnectionKind
    memory: MemoryAccount
    loop_meter: LoopMeter


class ConnectionUser(Protocol):
    """Receives the events of a connection that it uses."""

    def on_data_available(self) -> None:
        """There are unread bytes in the connection's buffer."""

    def on_disconnected(self) -> None:
        """The connection was closed by either side; called once."""

    def on_write_drained(self) -> None:
        """All buffered outgoing bytes have been passed to the kernel."""


class Reader(Protocol):
    """Parses received bytes incrementally."""

    def feed(self, data: memoryview) -> None:
        """Parse the bytes; the view is only valid during the call."""


class Connection(StreamProtocol, asyncio.BufferedProtocol):
    """A connection with its read buffer and its current user."""

    def __init__(
        self,
        table: "SlotTable[Connection]",
        on_accepted: "Callable[[Connection], None] | None" = None,
        address: str = "",
        monitor: ConnectionMonitor | None = None,
    ) -> None:
        """`on_accepted` is called when a connection opened by the other side is set up.

        `address` is the remote address of a connection opened by this side. `table` assigns a number to the
        connection while it is open. `monitor` measures it; without one it has an account of its own.
        """
        super().__init__()
        self.monitor = monitor or ConnectionMonitor(ConnectionKind.WORKER, MemoryAccount(), LoopMeter())
        self.objects_held = MemoryHolding(self.monitor.memory, MemoryKind.CONNECTIONS)
        self.unsent_held = MemoryHolding(self.monitor.memory, MemoryKind.UNSENT)
        self.table = table
        self.address = address
        self.is_retired = False  # closed when its user releases it
        self.number = 0
        self.on_accepted = on_accepted
        self.user: ConnectionUser | None = None
        self.buffer = ReadBuffer(self.monitor.memory)
        self.is_open = False
        self.has_unsent_data = False  # some written bytes have not been passed to the kernel yet
        self.is_reading = True
        self.is_discarding = False  # what is received is dropped
        self.discarded_bytes = 0
        self.reads_left = READS_PER_TURN  # 0: the event loop turns to other connections first
        self.idle_time: int | None = None  # ns for which it was idle before its current use; None: it is new

    # ---- Called by the event loop ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self.transport = cast(asyncio.Transport, transport)
        # With a limit of 0, pause_writing reports any byte that is still buffered in this process: it must be
        # known whether a request was sent completely.
        self.transport.set_write_buffer_limits(high=0)
        self.is_open = True
        self.objects_held.set(CONNECTION_BYTES)
        self.number = self.table.add(self)
        if self.on_accepted is not None:
            self.on_accepted(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the space for the next bytes from the socket."""
        return DISCARD_SPACE if self.is_discarding else self.buffer.writable_space()

    def buffer_updated(self, nbytes: int) -> None:
        """Tell the user that `nbytes` bytes were received."""
        if self.is_discarding:
            self.discarded_bytes += nbytes
        else:
            self.buffer.commit(nbytes)
        if self.user is not None:
            unread, began_at = len(self.buffer), time.monotonic_ns()
            self.user.on_data_available()
            elapsed = time.monotonic_ns() - began_at
            self.monitor.loop_meter.record_step(self.monitor.kind, elapsed, unread)
        self._count_read()

    def _count_read(self) -> None:
        """Let the other connections go first once this one has been read from often enough."""
        self.reads_left -= 1
        if not self.reads_left and self.is_open and self.transport is not None:
            if self.is_reading:
                self.transport.pause_reading()
            asyncio.get_running_loop().call_soon(self._resume_after_turn)

    def _resume_after_turn(self) -> None:
        self.reads_left = READS_PER_TURN
        if self.is_open and self.transport is not None and self.is_reading:
            self.transport.resume_reading()

    def eof_received(self) -> bool:
        """Close the connection when the other side does."""
        return False

    def pause_writing(self) -> None:
        """Record that the kernel has not accepted all bytes yet."""
        self.has_unsent_data = True

    def resume_writing(self) -> None:
        """Record that the kernel has accepted all bytes, and tell the user."""
        self.has_unsent_data = False
        self.unsent_held.set(0)
        if self.user is not None:
            self.user.on_write_drained()

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection and tell the user; a second call does nothing."""
        if not self.is_open:
            return
        self.is_open = False
        self.table.remove(self.number)
        self.buffer.close()
        self.unsent_held.set(0)
        self.objects_held.set(0)
        user, self.user = self.user, None
        if user is not None:
            user.on_disconnected()

    # ---- Called by the user ----

    def write(self, data: bytes) -> None:
        """Send bytes; does nothing if the connection is closed."""
        if self.is_open and self.transport is not None:
            self.transport.write(data)
            if self.has_unsent_data:
                self.unsent_held.set(self.transport.get_write_buffer_size())

    def feed(self, reader: Reader, limit: int | None = None) -> None:
        """Pass the unread bytes to the reader, at most `limit`, and consume what it has got.

        An error of the reader ends this; bytes that it did not get stay unread.
        """
        left = len(self.buffer) if limit is None else min(limit, len(self.buffer))
        while left:
            data = self.buffer.unread()[:left]
            left -= len(data)
            try:
                reader.feed(data)
            finally:
                self.buffer.consume(len(data))
                data.release()

    def has_unread_data(self) -> bool:
        """Whether the kernel holds bytes, or the end of the stream, that the event loop has not read yet."""
        return self._has_event(select.POLLIN | select.POLLRDHUP)

    def is_closed_by_peer(self) -> bool:
        """Whether the other side has closed the connection.

        This asks the kernel, since the event loop may not have run since the close, or reading may be paused.
        """
        return not self.is_open or self._has_event(select.POLLRDHUP)

    def _has_event(self, events: int) -> bool:
        """Whether the kernel reports one of the events, an error or a reset."""
        transport_socket = None if self.transport is None else self.transport.get_extra_info("socket")
        if not self.is_open or transport_socket is None or transport_socket.fileno() < 0:
            return False
        poll = select.poll()  # select() only supports descriptors below 1,024
        poll.register(transport_socket, events)
        return bool(poll.poll(0))

    def set_reading_paused(self, paused: bool) -> None:
        """Pause or resume reading; while it is paused, a peer that sends too much is blocked."""
        if self.is_open and self.transport is not None and self.is_reading == paused:
            self.is_reading = not paused
            if not self.reads_left:
                return  # paused in any case, until the other connections have been read from
            if paused:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def discard_input(self) -> None:
        """Drop all unread bytes, and from now on all that is received."""
        self.is_discarding = True
        self.discarded_bytes += len(self.buffer)
        self.buffer.close()

    def discard(self) -> None:
        """Abort the connection, and report its end to the user immediately.

        If a connect task is cancelled at the moment when the connection is established, the event loop closes
        the connection without calling `connection_lost`, and it would stay registered forever.
        """
        self.abort()
        self.connection_lost(None)

    def shut_down_writing(self) -> None:
        """Send the end of the stream, so that the other side can still read all data before it."""
        if self.is_open and self.transport is not None:
            self.transport.write_eof()
