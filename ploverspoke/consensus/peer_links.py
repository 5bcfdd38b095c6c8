"""Connections among replicas and from tools.

Each replica connects to every other one and sends on that; it only receives on connections that it accepts.
Tools connect as well, and get their replies on the connection that they opened.

A lost connection is opened again. Messages for it are dropped meanwhile, since consensus repeats them.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple, cast

import msgspec

from ploverspoke.transport.rate_limited_log import log_line
from ploverspoke.transport.stream_protocol import StreamProtocol

from .errors import ConsensusError
from .framing import FrameCodec, FrameError
from .wire_messages import Message, decode_message

RECONNECT_DELAY = 0.1  # seconds
MAX_UNSENT_BYTES = 8 * 1024 * 1024  # for a peer that does not read
STALL_TIMEOUT = 2.0  # seconds; then what waits unsent is stale, and would go out before anything new
ADMIN_CLIENT_ID = "?"  # the id in the greeting of a tool
ANY_CLUSTER = ""  # the cluster in the greeting of a tool

Reply = Callable[[object], None]
MessageHandler = Callable[[str, Message], None]  # with the id of the sender
AdminRequestHandler = Callable[[object, Reply], None]


class PeerIdentity(NamedTuple):
    """How a replica identifies itself in its greeting."""

    replica_id: str
    cluster_fingerprint: str

    def greeting(self) -> dict[str, str]:
        """Return the greeting as it is sent."""
        return {"id": self.replica_id, "store": self.cluster_fingerprint}


class ConnectedPeer(NamedTuple):
    """A peer that this replica connects to."""

    address: str
    task: asyncio.Task[None]  # keeps it connected


class GreetingError(ConsensusError):
    """The greeting of the other side is not that of the expected replica."""

    def __init__(self, reason: str) -> None:
        """Keep the reason."""
        super().__init__(reason)
        self.reason = reason


class PeerLinks:
    """All connections of one replica with its peers, and those of tools."""

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
        self.inbound: set[InboundConnection] = set()
        self.outbound: dict[str, OutboundConnection] = {}  # by replica id
        self.refused_connections = 0
        self.dropped_messages = 0
        self.stalled_connections = 0  # given up because nothing went out on them
        self._peers: dict[str, ConnectedPeer] = {}  # by replica id
        self._server: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> None:
        """Listen for peers and tools. Raises OSError."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: InboundConnection(self), host, port)

    def set_peers(self, addresses: dict[str, str]) -> None:
        """Connect to these peers, addresses by replica id, and to no others."""
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
                # The factory is called before the next iteration binds `connection` anew.
                await loop.create_connection(
                    lambda: connection,  # noqa: B023 - called before the loop goes on
                    host.strip("[]"),
                    int(port),
                )
                self.outbound[replica_id] = connection
                await connection.disconnected.wait()
            except OSError:
                pass  # not reachable for now: the next attempt follows
            await asyncio.sleep(RECONNECT_DELAY)


class InboundConnection(StreamProtocol, asyncio.Protocol):
    """A connection that a peer or a tool has opened."""

    def __init__(self, links: PeerLinks) -> None:
        """Prepare a connection that is being accepted."""
        super().__init__()
        self.links = links
        self.frames = FrameCodec(links.secret, links.identity.greeting())
        self.sender = ""  # "": not known yet

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the greeting."""
        self.transport = cast(asyncio.Transport, transport)
        self.links.inbound.add(self)
        self.transport.write(self.frames.greeting_frame())

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self.links.inbound.discard(self)
        self.transport = None

    def data_received(self, data: bytes) -> None:
        """Pass on the messages that are complete; close the connection at the first that is not valid."""
        try:
            for body in self.frames.receive(data):
                self._handle(body)
        except (ConsensusError, KeyError, TypeError, msgspec.DecodeError) as error:
            self.links.refused_connections += 1
            log_line(f"store: a connection is refused: {error}")
            self.abort()

    def reply(self, message: object) -> None:
        """Answer a tool, if it is still there."""
        if self.transport is not None:
            self.transport.write(self.frames.encode(message))

    def _handle(self, body: bytes) -> None:
        if not self.sender:
            self.sender = self._checked_sender()
        if self.sender == ADMIN_CLIENT_ID:
            self.links.on_admin_request(msgspec.msgpack.decode(body), self.reply)
        else:
            self.links.on_message(self.sender, decode_message(body))

    def _checked_sender(self) -> str:
        peer = peer_identity(self.frames)
        if peer.cluster_fingerprint not in (self.links.identity.cluster_fingerprint, ANY_CLUSTER):
            raise GreetingError(wrong_cluster(peer.replica_id))
        return peer.replica_id


class OutboundConnection(StreamProtocol, asyncio.Protocol):
    """A connection that this replica has opened to a peer."""

    def __init__(self, links: PeerLinks, peer_id: str) -> None:
        """Prepare a connection to the replica `peer_id`."""
        super().__init__()
        self.links = links
        self.peer_id = peer_id
        self.frames = FrameCodec(links.secret, links.identity.greeting())
        self.ready = False  # the greeting of the expected peer has come
        self.disconnected = asyncio.Event()
        self._written = 0  # bytes
        self._flushed = 0  # of them, when that last grew
        self._flushed_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the greeting."""
        self.transport = cast(asyncio.Transport, transport)
        self._flushed_at = asyncio.get_running_loop().time()
        self._write(self.frames.greeting_frame())

    def connection_lost(self, exc: Exception | None) -> None:
        """Let the link connect again."""
        self.transport = None
        self.ready = False
        self.disconnected.set()

    def data_received(self, data: bytes) -> None:
        """Check the greeting of the peer; it sends nothing else here."""
        try:
            self.frames.receive(data)
            if self.frames.peer_greeting is not None and not self.ready:
                self._check_peer()
                self.ready = True
        except (FrameError, GreetingError) as error:
            self.links.refused_connections += 1
            log_line(f"store: {error}")
            self.abort()

    def send(self, message: object) -> None:
        """Send a message; drop it if the peer has not greeted yet or does not read."""
        if not self.ready or self.transport is None:
            return
        unsent = self.transport.get_write_buffer_size()
        if self._is_stalled(unsent):
            self.links.stalled_connections += 1
            # `connection_lost` is called a turn later: until then nothing more is written, or counted.
            self.ready = False
            self.abort()
        elif unsent > MAX_UNSENT_BYTES:
            self.links.dropped_messages += 1
        else:
            self._write(self.frames.encode(message))

    def _is_stalled(self, unsent: int) -> bool:
        now = asyncio.get_running_loop().time()
        flushed = self._written - unsent
        if not unsent or flushed > self._flushed:
            self._flushed = flushed
            self._flushed_at = now
            return False
        return now - self._flushed_at > STALL_TIMEOUT

    def _check_peer(self) -> None:
        peer = peer_identity(self.frames)
        if peer.cluster_fingerprint not in (self.links.identity.cluster_fingerprint, ANY_CLUSTER):
            raise GreetingError(wrong_cluster(self.peer_id))
        if peer.replica_id != self.peer_id:
            raise GreetingError(reason=f"{peer.replica_id} answers where {self.peer_id} was")

    def _write(self, data: bytes) -> None:
        assert self.transport is not None
        self._written += len(data)
        self.transport.write(data)


def peer_identity(frames: FrameCodec) -> PeerIdentity:
    """Return the identity in the greeting of the other side. Raises GreetingError."""
    greeting = frames.peer_greeting
    if greeting is None or "id" not in greeting or "store" not in greeting:
        raise GreetingError(reason="a greeting without id and store")
    return PeerIdentity(str(greeting["id"]), str(greeting["store"]))


def wrong_cluster(replica_id: str) -> str:
    """Return the reason for refusing a replica of another cluster."""
    return f"{replica_id} belongs to another store, or was started with other replicas"
