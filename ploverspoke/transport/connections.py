"""One connection, whoever is at its other end."""

import asyncio
import select
from collections.abc import Callable
from typing import Protocol, cast

from .buffers import ReadBuffer
from .slot_table import SlotTable


class ConnectionUser(Protocol):
    """Who speaks on a connection at the moment."""

    def bytes_came(self) -> None:
        """There is something unread in the connection's buffer."""

    def connection_ended(self) -> None:
        """It is closed, whoever closed it; said once."""

    def all_written(self) -> None:
        """What had to wait to be written has gone out."""


class Reader(Protocol):
    def feed(self, data: memoryview) -> None: ...


class Connection(asyncio.BufferedProtocol):
    def __init__(
        self,
        table: "SlotTable[Connection]",
        came: "Callable[[Connection], None] | None" = None,
        address: str = "",
    ) -> None:
        self.table = table  # where it has a number as long as it is open
        self.address = address  # that was called
        self.unwanted = False  # nothing more is to be sent there
        self.number = 0
        self.came = came  # told of a connection that the other side has opened
        self.user: ConnectionUser | None = None
        self.transport: asyncio.Transport | None = None
        self.buffer = ReadBuffer()
        self.open = False
        self.unsent = False  # some of what was written is still with us
        self.reading = True
        self.rested: int | None = None  # for so long before its present use; None: it is new

    # ---- What the loop calls ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # Any byte that stays with us counts, so that it is known whether a request has gone out whole.
        self.transport.set_write_buffer_limits(high=0)
        self.open = True
        self.number = self.table.add(self)
        if self.came is not None:
            self.came(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.buffer.space()

    def buffer_updated(self, nbytes: int) -> None:
        self.buffer.filled(nbytes)
        if self.user is not None:
            self.user.bytes_came()

    def eof_received(self) -> bool:
        return False

    def pause_writing(self) -> None:
        self.unsent = True

    def resume_writing(self) -> None:
        self.unsent = False
        if self.user is not None:
            self.user.all_written()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.open:
            return
        self.open = False
        self.table.remove(self.number)
        user, self.user = self.user, None
        if user is not None:
            user.connection_ended()

    # ---- What its user calls ----

    def write(self, data: bytes) -> None:
        if self.open and self.transport is not None:
            self.transport.write(data)

    def feed(self, reader: Reader) -> None:
        """Give the reader all that is unread."""
        data = self.buffer.unread()
        try:
            reader.feed(data)
        finally:
            self.buffer.read(len(data))
            data.release()

    def has_unread(self) -> bool:
        """Whether something came that the loop has not read yet, be it the other side's end."""
        return self._asked_for(select.POLLIN | select.POLLRDHUP)

    def was_left(self) -> bool:
        """Whether the other side has ended it, read or not: the loop may not have turned since, or may not
        be reading here.
        """
        return not self.open or self._asked_for(select.POLLRDHUP)

    def _asked_for(self, events: int) -> bool:
        """Whether the kernel has one of these, an error or a reset; not by select: that ends at 1,024."""
        taken = None if self.transport is None else self.transport.get_extra_info("socket")
        if not self.open or taken is None or taken.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(taken, events)
        return bool(poll.poll(0))

    def hold_reading(self, hold: bool) -> None:
        """Read no more for now, so that who sends too much has to wait."""
        if self.open and self.transport is not None and self.reading == hold:
            self.reading = not hold
            if hold:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def close(self) -> None:
        """Close it when what was written has gone out."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def discard(self) -> None:
        """It ends in this very turn, whatever the loop says of it later.

        Where its task is cancelled just when it is up, the loop closes it and says nothing of its end: it was
        counted for good.
        """
        self.abort()
        self.connection_lost(None)

    def finish(self) -> None:
        """Write no more, but let the other side read to the end."""
        if self.open and self.transport is not None:
            self.transport.write_eof()
