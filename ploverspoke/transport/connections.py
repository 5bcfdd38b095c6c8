"""One stream connection, to a client, a worker, discovery or an operator."""

import asyncio
import select
from collections.abc import Callable
from typing import Protocol, cast

from .buffers import ReadBuffer
from .slot_table import SlotTable
from .stream_protocol import StreamProtocol


class ConnectionUser(Protocol):
    """Receives the events of a connection while it uses it."""

    def on_data_available(self) -> None:
        """There are unread bytes in the connection's buffer."""

    def on_disconnected(self) -> None:
        """The connection is closed, whoever closed it; called once."""

    def on_write_drained(self) -> None:
        """All bytes that had to wait are written to the kernel."""


class Reader(Protocol):
    """Parses bytes as they come."""

    def feed(self, data: memoryview) -> None:
        """Parse the bytes; the view is not valid afterwards."""


class Connection(StreamProtocol, asyncio.BufferedProtocol):
    """A connection with its read buffer, and the user that it serves at the moment."""

    def __init__(
        self,
        table: "SlotTable[Connection]",
        on_accepted: "Callable[[Connection], None] | None" = None,
        address: str = "",
    ) -> None:
        """`on_accepted` is called once a connection that the other side opened is set up.

        `address` is the address that was connected to, and `table` gives the connection a number while it
        is open.
        """
        super().__init__()
        self.table = table
        self.address = address
        self.is_retired = False  # to be closed after its present use
        self.number = 0
        self.on_accepted = on_accepted
        self.user: ConnectionUser | None = None
        self.buffer = ReadBuffer()
        self.is_open = False
        self.has_unsent_data = False  # some written bytes are not in the kernel yet
        self.is_reading = True
        self.idle_time: int | None = None  # ns before its present use; None: it is new

    # ---- Called by the event loop ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self.transport = cast(asyncio.Transport, transport)
        # Any byte kept in this process counts: it must be known whether a request was sent completely.
        self.transport.set_write_buffer_limits(high=0)
        self.is_open = True
        self.number = self.table.add(self)
        if self.on_accepted is not None:
            self.on_accepted(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the space for the next bytes from the socket."""
        return self.buffer.writable_space()

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on that `nbytes` were received."""
        self.buffer.commit(nbytes)
        if self.user is not None:
            self.user.on_data_available()

    def eof_received(self) -> bool:
        """Close the connection when the other side does."""
        return False

    def pause_writing(self) -> None:
        """Note that the kernel has not accepted all bytes."""
        self.has_unsent_data = True

    def resume_writing(self) -> None:
        """Note that the kernel has accepted all bytes."""
        self.has_unsent_data = False
        if self.user is not None:
            self.user.on_write_drained()

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection; a second call does nothing."""
        if not self.is_open:
            return
        self.is_open = False
        self.table.remove(self.number)
        user, self.user = self.user, None
        if user is not None:
            user.on_disconnected()

    # ---- Called by the user ----

    def write(self, data: bytes) -> None:
        """Send bytes; ignored when the connection is closed."""
        if self.is_open and self.transport is not None:
            self.transport.write(data)

    def feed(self, reader: Reader) -> None:
        """Pass all unread bytes to the reader, whose errors go through; the bytes are consumed either way."""
        data = self.buffer.unread()
        try:
            reader.feed(data)
        finally:
            self.buffer.consume(len(data))
            data.release()

    def has_unread_data(self) -> bool:
        """Whether the kernel holds bytes, or the end of the connection, that the event loop has not read."""
        return self._has_event(select.POLLIN | select.POLLRDHUP)

    def is_closed_by_peer(self) -> bool:
        """Whether the other side has closed the connection.

        The kernel is asked, since the event loop may not have run since, or reading may be paused.
        """
        return not self.is_open or self._has_event(select.POLLRDHUP)

    def _has_event(self, events: int) -> bool:
        """Whether the kernel reports one of the events, an error or a reset."""
        taken = None if self.transport is None else self.transport.get_extra_info("socket")
        if not self.is_open or taken is None or taken.fileno() < 0:
            return False
        poll = select.poll()  # not select(): that is limited to descriptors below 1,024
        poll.register(taken, events)
        return bool(poll.poll(0))

    def set_reading_paused(self, paused: bool) -> None:
        """Stop or resume reading; while it is stopped a peer that sends too much has to wait."""
        if self.is_open and self.transport is not None and self.is_reading == paused:
            self.is_reading = not paused
            if paused:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def discard(self) -> None:
        """Abort, and report the end at once.

        Where a connect task is cancelled just when the connection is up, the event loop closes it without
        calling `connection_lost`, and it would stay registered for ever.
        """
        self.abort()
        self.connection_lost(None)

    def shut_down_writing(self) -> None:
        """Send the end of the stream; the other side may read to the end."""
        if self.is_open and self.transport is not None:
            self.transport.write_eof()
