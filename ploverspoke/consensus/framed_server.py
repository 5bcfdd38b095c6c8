"""Serves clients over authenticated frames: an asyncio server with one current connection for each client.

`FramedServer` owns the listening socket and all accepted connections. A subclass defines the messages: it
registers a client (`FramedServer.register`) once the name of the client is known, and handles its messages.
"""

import abc
import asyncio
from collections.abc import Mapping
from typing import ClassVar, NamedTuple, cast

from ploverspoke.transport.rate_limited_log import log_line

from .cluster_config import split_address
from .connection_memory import ConnectionMemory, CountedProtocol
from .framing import FrameCodec, FrameError, decode_body
from .message_turns import MessageTurnQueue, ReceivedMessages

BACKLOG = 1024
MAX_UNSENT_BYTES = 1 << 20  # for a client that does not read; above this its connection is aborted


class RegistrationLimits(NamedTuple):
    """Limits for connections that are accepted but not registered yet."""

    timeout_s: float  # seconds from accepting a connection to its registration
    max_unregistered: int  # unregistered connections at the same time
    until_greeting: bool = False  # a greeting, which proves the secret, is enough


class FramedConnection(CountedProtocol):
    """One accepted connection. It is created by its server and reports all events to it."""

    def __init__(self, server: "FramedServer") -> None:
        """Prepare the greeting; it is sent when the connection is made."""
        super().__init__(server.memory, FrameCodec(server.secret, dict(server.greeting())))
        self.server = server
        self.client_name = ""  # set by the server once the client has sent it
        self.registered = False
        self.greeted = False
        self.received = ReceivedMessages(server.turns, self._handle_body, self.abort)
        self.registration_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the greeting; called by asyncio."""
        self.transport = cast(asyncio.Transport, transport)
        self.server.add_connection(self)
        self.transport.write(self.frames.greeting_frame())

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection to the server, after its last message; called by asyncio."""
        self.transport = None
        self.release_memory()
        self.cancel_registration_timer()
        self.received.finish(lambda: self.server.remove_connection(self))

    def abort(self) -> None:
        """Close the connection immediately, and handle no message that waits."""
        self.received.drop()
        super().abort()

    def data_received(self, data: bytes) -> None:
        """Pass the greeting and each complete message to the server; called by asyncio."""
        if self.transport is None or not self.is_open():
            return
        try:
            bodies = self.frames.decode_bodies(data)
            if self.frames.peer_greeting is not None and not self.greeted:
                self.greeted = True
                if self.server.limits is not None and self.server.limits.until_greeting:
                    self.cancel_registration_timer()
                self.server.handle_greeting(self, self.frames.peer_greeting)
        except self.server.client_errors as error:
            self._refuse(error)
        else:
            self.received.receive(bodies, len(data), self.transport)
            self.count_received()

    def _handle_body(self, body: bytes) -> None:
        try:
            self.server.handle_message(self, decode_body(body))
        except self.server.client_errors as error:
            self._refuse(error)

    def _refuse(self, error: Exception) -> None:
        self.received.drop()
        self.server.refused_connections += 1
        self.server.handle_client_error(self, error)

    def is_open(self) -> bool:
        """Return whether messages are still received and sent."""
        return self.transport is not None and not self.transport.is_closing()

    def write(self, message: object) -> int:
        """Send a message and return the number of bytes on the wire, 0 if it was not sent.

        If the client leaves too many bytes unread, the connection is aborted instead. A message that is too
        large or cannot be encoded is dropped.
        """
        if self.transport is None or not self.is_open():
            return 0
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.abort()
            return 0
        try:
            data = self.frames.encode(message)
        except FrameError as error:
            log_line(f"{self.server.log_name}: a message to {self.client_name} is dropped: {error}")
            return 0
        self.write_counted(self.transport, data)
        return len(data)

    def start_registration_timer(self, timeout: float) -> None:
        """Abort the connection after `timeout` seconds unless the timer is cancelled first."""
        self.registration_timer = asyncio.get_running_loop().call_later(timeout, self.abort)

    def cancel_registration_timer(self) -> None:
        """Cancel the timer that would abort the connection. Does nothing if no timer was started."""
        if self.registration_timer is not None:
            self.registration_timer.cancel()


class FramedServer(abc.ABC):
    """Accepts framed connections and keeps the latest one of each registered client.

    A subclass defines the greeting and handles messages. Errors of the types in `client_errors` that a
    handler raises are counted in `refused_connections`, logged, and end the connection.
    """

    client_errors: ClassVar[tuple[type[Exception], ...]] = (FrameError,)
    log_name: ClassVar[str]  # prefix of log lines

    def __init__(self, secret: bytes, limits: RegistrationLimits | None = None) -> None:
        """`secret` is shared with the clients; without `limits` a connection may stay unregistered."""
        self.secret = secret
        self.limits = limits
        self.turns = MessageTurnQueue()
        self.memory = ConnectionMemory(self.log_name)
        self.connections: set[FramedConnection] = set()
        self.clients: dict[str, FramedConnection] = {}  # the latest connection of each client, by name
        self.listener: asyncio.Server | None = None
        self.refused_connections = 0

    async def listen(self, address: str) -> None:
        """Accept connections at `address` ("host:port") until `close`. Raises OSError."""
        host, port = split_address(address)
        self.listener = await asyncio.get_running_loop().create_server(
            lambda: FramedConnection(self), host, port, backlog=BACKLOG
        )

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.abort()

    # ---- Defined by subclasses ----

    @abc.abstractmethod
    def greeting(self) -> Mapping[str, str | int]:
        """Return the first message that a client receives, without the nonce."""

    @abc.abstractmethod
    def handle_message(self, connection: FramedConnection, message: object) -> None:
        """Handle a decoded message, whose form has not been checked."""

    @abc.abstractmethod
    def on_disconnected(self, client_name: str) -> None:
        """Handle the loss of the current connection of a client."""

    def handle_greeting(  # noqa: B027 - optional: a subclass may identify a client by its first message instead
        self, connection: FramedConnection, greeting: Mapping[str, object]
    ) -> None:
        """Handle a client's greeting, before its first message. Does nothing unless overridden."""

    def handle_client_error(self, connection: FramedConnection, error: Exception) -> None:
        """Log the error of a client and abort its connection."""
        log_line(f"{self.log_name}: a connection is refused: {error}")
        connection.abort()

    # ---- Clients ----

    def register(self, connection: FramedConnection) -> FramedConnection | None:
        """Make this the current connection of its `client_name`.

        An older connection of the same client is aborted, and returned.
        """
        connection.registered = True
        connection.cancel_registration_timer()
        older = self.clients.get(connection.client_name)
        self.clients[connection.client_name] = connection
        if older is not None:
            older.abort()
        return older

    def is_current(self, connection: FramedConnection) -> bool:
        """Return whether this is the latest connection of its client."""
        return self.clients.get(connection.client_name) is connection

    def send(self, client_name: str, message: object) -> int:
        """Send to a client; return the bytes on the wire, 0 if it is not connected or does not read."""
        connection = self.clients.get(client_name)
        return connection.write(message) if connection is not None else 0

    # ---- Called by connections ----

    def add_connection(self, connection: FramedConnection) -> None:
        """Add a new connection; abort it if too many others are not registered yet."""
        self.connections.add(connection)
        if self.limits is not None:
            if self._unregistered_count(self.limits) > self.limits.max_unregistered:
                connection.abort()
            connection.start_registration_timer(self.limits.timeout_s)

    def _unregistered_count(self, limits: RegistrationLimits) -> int:
        if limits.until_greeting:
            return sum(not connection.greeted for connection in self.connections)
        return len(self.connections) - len(self.clients)

    def remove_connection(self, connection: FramedConnection) -> None:
        """Remove a lost connection; report its client as disconnected if the connection was its latest."""
        self.connections.discard(connection)
        if self.is_current(connection):
            del self.clients[connection.client_name]
            self.on_disconnected(connection.client_name)
