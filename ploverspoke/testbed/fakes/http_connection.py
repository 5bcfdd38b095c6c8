"""Protocols of the fakes' HTTP connections: they pass each received message to `on_message`."""

import asyncio
from typing import cast

from .byte_counters import ByteCounters
from .http_wire import HttpMessage, HttpReader


class HttpConnection(asyncio.Protocol):
    """One connection; subclasses handle its messages."""

    def __init__(self) -> None:
        """Create the protocol of a connection that is not open yet."""
        self.reader = HttpReader()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Handle the messages that the data completes.

        Raises:
            HttpSyntaxError: the stream is invalid.
        """
        for message in self.reader.feed(data):
            self.on_message(message)

    def on_message(self, message: HttpMessage) -> None:
        """Handle one request or response."""
        raise NotImplementedError

    def abort(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()


class CountedConnection(HttpConnection):
    """A connection with a dispatcher that counts the traffic."""

    def __init__(self, counters: ByteCounters, dispatcher: int) -> None:
        """Create the protocol of a connection that is not open yet; dispatcher -1 is not known yet."""
        super().__init__()
        self.counters = counters
        self.dispatcher = dispatcher
        self.traffic = counters.for_dispatcher(dispatcher)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the opened connection."""
        super().connection_made(transport)
        self.traffic.count_opened()

    def connection_lost(self, exc: Exception | None) -> None:
        """Count the closed connection; later writes are ignored."""
        self.transport = None
        self.traffic.count_closed()

    def data_received(self, data: bytes) -> None:
        """Count the data and the messages that it completes, and handle these."""
        self.traffic.bytes_out += len(data)
        for message in self.reader.feed(data):
            self.traffic.messages_out += 1
            self.on_message(message)

    def write(self, data: bytes) -> None:
        """Send one message to the dispatcher, unless the connection has ended."""
        if self.transport is not None:
            self.traffic.count_message_in(len(data))
            self.transport.write(data)
