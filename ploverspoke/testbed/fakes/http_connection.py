"""Protocols of the fakes' HTTP connections: they hand each message received to `on_message`."""

import asyncio
from typing import cast

from .byte_counters import ByteCounters
from .http_wire import HttpMessage, HttpReader


class HttpConnection(asyncio.Protocol):
    """One connection; subclasses act on its messages."""

    def __init__(self) -> None:
        """A connection that is about to be made."""
        self.reader = HttpReader()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Act on the messages that are complete by the data.

        Raises:
            HttpSyntaxError: the stream cannot be read on.
        """
        for message in self.reader.feed(data):
            self.on_message(message)

    def on_message(self, message: HttpMessage) -> None:
        """Act on one request or response."""
        raise NotImplementedError

    def abort(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()


class CountedConnection(HttpConnection):
    """A connection with a dispatcher, whose traffic is counted."""

    def __init__(self, counters: ByteCounters, dispatcher: int) -> None:
        """A connection that is about to be made; the dispatcher is -1 where it is not known yet."""
        super().__init__()
        self.counters = counters
        self.dispatcher = dispatcher
        self.traffic = counters.of(dispatcher)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count it."""
        super().connection_made(transport)
        self.traffic.count_opened()

    def connection_lost(self, exc: Exception | None) -> None:
        """Count it; nothing is written any more."""
        self.transport = None
        self.traffic.count_closed()

    def data_received(self, data: bytes) -> None:
        """Count the data and its messages, and act on these."""
        self.traffic.bytes_out += len(data)
        for message in self.reader.feed(data):
            self.traffic.messages_out += 1
            self.on_message(message)

    def write(self, data: bytes) -> None:
        """Send one message to the dispatcher, unless the connection is gone."""
        if self.transport is not None:
            self.traffic.count_message_in(len(data))
            self.transport.write(data)
