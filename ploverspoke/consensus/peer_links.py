"""Connections between replicas, and from tools.

Each replica opens a connection to every other replica to send on, and only receives on those it accepts.
Tools connect as well, and get their replies on the connection that they opened.

A lost connection is reopened. Until then its messages are dropped, since consensus sends them again.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple, cast

import msgspec

from ploverspoke.transport.rate_limited_log import log_line
from ploverspoke.transport.stream_protocol import StreamProtocol

from .admin_messages import ResultReply, encode_reply
from .connection_memory import ConnectionMemory, CountedProtocol
from .errors import ConsensusError
from .framing import FrameCodec, FrameError
from .message_turns import MessageTurnQueue, ReceivedMessages
from .peer_identity import GreetingError, PeerIdentity, peer_identity, wrong_cluster_reason
from .wire_messages import Message, decode_message

RECONNECT_DELAY_S = 0.1
GREETING_TIMEOUT_S = 5.0  # from accepting a connection to the greeting of a replica or tool
MAX_WITHOUT_GREETING = 64  # accepted connections that have sent no greeting yet
MAX_UNSENT_BYTES = 8 * 1024 * 1024  # for a peer that does not read; above this messages are dropped
# A connection is closed after this time without progress: its unsent messages are stale, and would be sent
# before any new ones.
STALL_TIMEOUT_S = 2.0
ADMIN_CLIENT_ID = "?"  # the id in the greeting of a tool
ANY_CLUSTER = ""  # the cluster in the greeting of a tool

Reply = Callable[[object], None]
MessageHandler = Callable[[str, Message], None]  # with the id of the sender
AdminRequestHandler = Callable[[object, Reply], None]


class ConnectedPeer(NamedTuple):
    """A peer that this replica connects to."""

    address: str
    task: asyncio.Task[None]  # reconnects whenever the connection is lost


class PeerLinks:
    """All connections of one replica with its peers and with tools."""

    def __init__(
        self,
        secret: bytes,
        identity: PeerIdentity,
        on_message: MessageHandler,
        on_admin_request: AdminRequestHandler,
    ) -> None:
        """Prepare the links of a replica; nothing is opened yet."""
        self.secret = secret
        self.identity = identity
        self.on_message = on_message
        self.on_admin_request = on_admin_request
        self.turns = MessageTurnQueue()
        self.memory = ConnectionMemory("store")
        self.inbound: set[InboundConnection] = set()
        self.outbound: dict[str, OutboundConnection] = {}  # by replica id
        self.refused_connections = 0
        self.dropped_messages = 0
        self.stalled_connections = 0  # closed because no data could be sent on them
        self._peers: dict[str, ConnectedPeer] = {}  # by replica id
        self._server: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> None:
        """Listen for peers and tools. Raises OSError."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: InboundConnection(self), host, port)

    def set_peers(self, addresses: dict[str, str]) -> None:
        """Connect to the peers at `addresses`, by replica id, and disconnect from all others."""
        for replica_id, peer in list(self._peers.items()):
            if addresses.get(replica_id) != peer.address:
                peer.task.cancel()
                del self._peers[replica_id]
                connection = self.outbound.pop(replica_id, None)
                if connection is not None:
                    connection.abort()
        loop = asyncio.get_running_loop()
        for replica_id, address in addresses.items():
            if replica_id not in self._peers:
                task = loop.create_task(self._keep_connected(replica_id, address))
                self._peers[replica_id] = ConnectedPeer(address, task)

    def send(self, replica_id: str, message: object) -> None:
        """Send a message to a peer; it is dropped if the peer is not connected."""
        connection = self.outbound.get(replica_id)
        if connection is not None:
            connection.send(message)

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for peer in self._peers.values():
            peer.task.cancel()
        connections: list[InboundConnection | OutboundConnection] = [*self.inbound, *self.outbound.values()]
        for connection in connections:
            connection.abort()

    async def _keep_connected(self, replica_id: str, address: str) -> None:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        while True:
            connection = OutboundConnection(self, replica_id)
            try:
                # The factory is called before the next iteration rebinds `connection`.
                await loop.create_connection(
                    lambda: connection,  # noqa: B023 - called before the next iteration
                    host.strip("[]"),
                    int(port),
                )
                self.outbound[replica_id] = connection
                await connection.disconnected.wait()
            except OSError:
                pass  # not reachable now: tried again after the delay
            await asyncio.sleep(RECONNECT_DELAY_S)


class InboundConnection(CountedProtocol):
    """A connection opened by a peer or a tool."""

    def __init__(self, links: PeerLinks) -> None:
        """Prepare a connection that is being accepted."""
        super().__init__(links.memory, FrameCodec(links.secret, links.identity.greeting()))
        self.links = links
        self.received = ReceivedMessages(links.turns, self._handle_body, self.abort)
        self.sender = ""  # "": not known yet
        self.greeting_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the greeting."""
        self.transport = cast(asyncio.Transport, transport)
        self.links.inbound.add(self)
        self.transport.write(self.frames.greeting_frame())
        self.greeting_timer = asyncio.get_running_loop().call_later(GREETING_TIMEOUT_S, self._on_silent)
        without_greeting = sum(not connection.has_greeted() for connection in self.links.inbound)
        if without_greeting > MAX_WITHOUT_GREETING:
            self.links.refused_connections += 1
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection."""
        if self.greeting_timer is not None:
            self.greeting_timer.cancel()
        self.links.inbound.discard(self)
        self.release_memory()
        self.transport = None
        self.received.finish(lambda: None)

    def abort(self) -> None:
        """Close the connection immediately, and handle no message that waits."""
        self.received.drop()
        super().abort()

    def data_received(self, data: bytes) -> None:
        """Handle each complete message; abort the connection at the first invalid one."""
        if self.transport is None:
            return
        try:
            bodies = self.frames.decode_bodies(data)
        except FrameError as error:
            self._refuse(error)
        else:
            self.received.receive(bodies, len(data), self.transport)
            self.count_received()

    def reply(self, message: object) -> None:
        """Send a reply to a tool, if it is still connected; in place of one without a frame, the reason."""
        if self.transport is None:
            return
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            log_line("store: a tool that reads no replies is disconnected")
            self.abort()
            return
        try:
            frame = self.frames.encode(message)
        except FrameError as error:
            log_line(f"store: a reply to a tool cannot be sent: {error}")
            frame = self.frames.encode(encode_reply(ResultReply(done=False, why=str(error))))
        self.write_counted(self.transport, frame)

    def has_greeted(self) -> bool:
        """Whether the other side has proved that it has the secret."""
        return self.frames.peer_greeting is not None

    def _on_silent(self) -> None:
        """Close a connection of which nothing is known: others need its descriptor."""
        if not self.has_greeted():
            self.links.refused_connections += 1
            self.abort()

    def _handle_body(self, body: bytes) -> None:
        try:
            self._handle(body)
        except (ConsensusError, KeyError, TypeError, RecursionError, msgspec.DecodeError) as error:
            self._refuse(error)

    def _refuse(self, error: Exception) -> None:
        self.links.refused_connections += 1
        log_line(f"store: a connection is refused: {error}")
        self.abort()

    def _handle(self, body: bytes) -> None:
        if not self.sender:
            self.sender = self._verify_sender()
        if self.sender == ADMIN_CLIENT_ID:
            self.links.on_admin_request(msgspec.msgpack.decode(body), self.reply)
        else:
            self.links.on_message(self.sender, decode_message(body))

    def _verify_sender(self) -> str:
        peer = peer_identity(self.frames)
        if peer.cluster_fingerprint not in (self.links.identity.cluster_fingerprint, ANY_CLUSTER):
            raise GreetingError(wrong_cluster_reason(peer.replica_id))
        return peer.replica_id


class OutboundConnection(StreamProtocol, asyncio.Protocol):
    """A connection opened by this replica to a peer."""

    def __init__(self, links: PeerLinks, peer_id: str) -> None:
        """Prepare a connection to the replica `peer_id`."""
        super().__init__()
        self.links = links
        self.peer_id = peer_id
        self.frames = FrameCodec(links.secret, links.identity.greeting())
        self.ready = False  # the greeting of the expected peer was received
        self.disconnected = asyncio.Event()
        self._written_bytes = 0
        self._flushed_bytes = 0  # bytes that had left the write buffer when their number last grew
        self._flushed_at = 0.0  # event loop time when that number last grew, or the buffer was empty

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the greeting."""
        self.transport = cast(asyncio.Transport, transport)
        self._flushed_at = asyncio.get_running_loop().time()
        self._write(self.frames.greeting_frame())

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the task that reconnects to the peer."""
        self.transport = None
        self.ready = False
        self.disconnected.set()

    def data_received(self, data: bytes) -> None:
        """Check the greeting of the peer, which sends nothing else on this connection."""
        try:
            self.frames.decode_bodies(data)
            if self.frames.peer_greeting is not None and not self.ready:
                self._check_peer()
                self.ready = True
        except (FrameError, GreetingError) as error:
            self.links.refused_connections += 1
            log_line(f"store: {error}")
            self.abort()

    def send(self, message: object) -> None:
        """Send a message; drop it if no valid greeting was received or the peer does not read."""
        if not self.ready or self.transport is None:
            return
        unsent = self.transport.get_write_buffer_size()
        if self._is_stalled(unsent):
            self.links.stalled_connections += 1
            # `connection_lost` is called in a later iteration of the event loop: until then no more messages
            # are written, and the stall is not counted again.
            self.ready = False
            self.abort()
        elif unsent > MAX_UNSENT_BYTES:
            self.links.dropped_messages += 1
        else:
            self._send_frame(message)

    def _send_frame(self, message: object) -> None:
        """Send a message; drop it if it has no frame, since consensus must not end halfway."""
        try:
            frame = self.frames.encode(message)
        except FrameError as error:
            self.links.dropped_messages += 1
            log_line(
                f"store: a message of type {type(message).__name__} to {self.peer_id} is dropped: {error}"
            )
        else:
            self._write(frame)

    def _is_stalled(self, unsent: int) -> bool:
        now = asyncio.get_running_loop().time()
        flushed_bytes = self._written_bytes - unsent
        if not unsent or flushed_bytes > self._flushed_bytes:
            self._flushed_bytes = flushed_bytes
            self._flushed_at = now
            return False
        return now - self._flushed_at > STALL_TIMEOUT_S

    def _check_peer(self) -> None:
        peer = peer_identity(self.frames)
        if peer.cluster_fingerprint not in (self.links.identity.cluster_fingerprint, ANY_CLUSTER):
            raise GreetingError(wrong_cluster_reason(self.peer_id))
        if peer.replica_id != self.peer_id:
            raise GreetingError(reason=f"{peer.replica_id} answers at the address of {self.peer_id}")

    def _write(self, data: bytes) -> None:
        assert self.transport is not None
        self._written_bytes += len(data)
        self.transport.write(data)
