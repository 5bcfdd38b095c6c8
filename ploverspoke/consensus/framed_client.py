"""The client side of a `FramedServer`: one connection that exchanges authenticated frames with it."""

import abc
import asyncio
from collections.abc import Mapping
from typing import ClassVar, cast

from ploverspoke.transport.rate_limited_log import log_line
from ploverspoke.transport.stream_protocol import StreamProtocol

from .cluster_config import split_address
from .framing import FrameCodec, FrameError, decode_body
from .message_turns import MessageTurnQueue, ReceivedMessages


class FramedClientConnection(StreamProtocol, asyncio.Protocol, abc.ABC):
    """A connection to one server; it is not reused after it ends. A subclass handles received messages.

    Errors of the types in `server_errors` that are raised while received data is handled are logged and abort
    the connection.
    """

    server_errors: ClassVar[tuple[type[Exception], ...]] = (FrameError,)
    log_name: ClassVar[str]  # prefix of log lines
    max_unsent_bytes: ClassVar[int | None] = None  # messages are dropped while more is unsent; None: no limit

    def __init__(self, secret: bytes, greeting: Mapping[str, str | int]) -> None:
        """`greeting` is the first message that the server receives, without the nonce."""
        super().__init__()
        self.frames = FrameCodec(secret, dict(greeting))
        self.ready = False  # the greeting of the server was received
        self.closed = False
        self.received = ReceivedMessages(MessageTurnQueue(), self._handle_body, self.abort)

    # ---- Defined by subclasses ----

    @abc.abstractmethod
    def on_connected(self) -> None:
        """Handle the server's greeting: messages can be written from now on."""

    @abc.abstractmethod
    def on_message(self, message: object) -> None:
        """Handle a decoded message, whose form has not been checked."""

    @abc.abstractmethod
    def on_disconnected(self) -> None:
        """Handle the end of the connection, including an abort because of invalid data from the server."""

    # ---- Operations ----

    async def connect(self, address: str) -> None:
        """Connect to `address` ("host:port"). Raises OSError."""
        host, port = split_address(address)
        await asyncio.get_running_loop().create_connection(lambda: self, host, port)

    def is_ready(self) -> bool:
        """Return whether messages can be written."""
        return self.ready and self.transport is not None

    def write(self, message: object) -> None:
        """Send a message.

        It is dropped if the connection is not ready, the server does not read, or the message is too large or
        cannot be encoded.
        """
        if self.transport is None or not self.ready:
            return
        unsent = self.transport.get_write_buffer_size()
        if self.max_unsent_bytes is not None and unsent > self.max_unsent_bytes:
            return
        try:
            frame = self.frames.encode(message)
        except FrameError as error:
            log_line(f"{self.log_name}: a message to a server is dropped: {error}")
            return
        self.transport.write(frame)

    def close(self) -> None:
        """Close the connection now, or as soon as it is established; no handler is called again."""
        self.closed = True
        self.abort()

    # ---- Called by asyncio ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the greeting; called by asyncio."""
        self.transport = cast(asyncio.Transport, transport)
        if self.closed:
            self.transport.abort()
        else:
            self.transport.write(self.frames.greeting_frame())

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection; called by asyncio."""
        self.transport = None
        self.received.finish(self._report_end)

    def _report_end(self) -> None:
        if not self.closed:
            self.closed = True
            self.on_disconnected()

    def abort(self) -> None:
        """Close the connection immediately, and handle no message that waits."""
        self.received.drop()
        super().abort()

    def data_received(self, data: bytes) -> None:
        """Handle each complete message, in turns if there are many; called by asyncio."""
        if self.closed or self.transport is None:
            return
        try:
            bodies = self.frames.decode_bodies(data)
            if self.frames.peer_greeting is not None and not self.ready:
                self.ready = True
                self.on_connected()
        except self.server_errors as error:
            self._refuse(error)
        else:
            self.received.receive(bodies, len(data), self.transport)

    def _handle_body(self, body: bytes) -> None:
        if self.closed:
            return
        try:
            self.on_message(decode_body(body))
        except self.server_errors as error:
            self._refuse(error)

    def _refuse(self, error: Exception) -> None:
        log_line(f"{self.log_name}: a message of a server is refused: {error}")
        self.abort()
