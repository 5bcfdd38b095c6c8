"""Where holders come to a keeper: frames as among replicas, one connection for each holder."""

import asyncio
from typing import Any, cast

from ploverspoke.consensus.framing import FrameCodec, FrameError
from ploverspoke.transport.rate_limited_log import log_line

from .manager import Message
from .server_node import LeaseServerNode

BACKLOG = 1024
MOST_UNSENT = 1 << 20  # bytes, towards one that does not read
LONGEST_ID = 128


class HolderConnection(asyncio.Protocol):
    def __init__(self, door: "LeaseServer") -> None:
        self.door = door
        self.frames = FrameCodec(door.node.config.secret, {"id": door.node.replica_id, "store": ""})
        self.transport: asyncio.Transport | None = None
        self.holder = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.door.all.add(self)
        self.transport.write(self.frames.greeting_frame())

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.door.lost(self)

    def data_received(self, data: bytes) -> None:
        try:
            for message in self.frames.decode(data):
                if not self.holder:
                    self._greet()
                self.door.came(self, checked(message))
        except (FrameError, MessageError, KeyError) as error:
            self.door.refused += 1
            log_line(f"keeper: a holder's connection is refused: {error}")
            self.close()

    def _greet(self) -> None:
        assert self.frames.peer_greeting is not None
        holder = self.frames.peer_greeting["id"]
        if not isinstance(holder, str) or not 0 < len(holder) <= LONGEST_ID:
            raise MessageError("no holder's id")
        self.holder = holder
        self.door.greeted(self)

    def write(self, message: Message) -> None:
        if self.transport is None:
            return
        if self.transport.get_write_buffer_size() > MOST_UNSENT:
            self.close()
        else:
            self.transport.write(self.frames.encode(message))

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class MessageError(ValueError):
    """A holder's message has not the form that it should have."""


def checked(message: Any) -> Message:
    """A holder's message, as `LeaseManager.asked` takes it. Raises MessageError."""
    if not isinstance(message, dict) or not _whole(message.get("n")):
        raise MessageError("no message")
    want, release = message.get("want"), message.get("release")
    if not isinstance(want, list) or not isinstance(release, list):
        raise MessageError("neither wants nor releases")
    for row in want:
        if not (
            isinstance(row, list) and len(row) == 4 and isinstance(row[0], str) and all(map(_whole, row[1:]))
        ):
            raise MessageError("a want that is none")
    for row in release:
        if not (
            isinstance(row, list)
            and len(row) == 3
            and isinstance(row[0], str)
            and _whole(row[1])
            and isinstance(row[2], str)
        ):
            raise MessageError("a release that is none")
    return message


def _whole(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value < 1 << 62


class LeaseServer:
    def __init__(self, node: LeaseServerNode) -> None:
        self.node = node
        node.tell_holder = self.tell
        self.connections: dict[str, HolderConnection] = {}  # the latest of each holder
        self.all: set[HolderConnection] = set()
        self.server: asyncio.Server | None = None
        self.refused = 0

    async def open(self) -> None:
        host, _, port = self.node.config.replicas[self.node.config.name].client.rpartition(":")
        self.server = await asyncio.get_running_loop().create_server(
            lambda: HolderConnection(self), host.strip("[]"), int(port), backlog=BACKLOG
        )

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for connection in list(self.all):
            connection.close()

    def greeted(self, connection: HolderConnection) -> None:
        old = self.connections.get(connection.holder)
        self.connections[connection.holder] = connection
        if old is not None:
            old.close()

    def came(self, connection: HolderConnection, message: Message) -> None:
        if not self.node.keeper.leading:
            connection.write({"elsewhere": self.node.leader_client_address()})
        elif self.connections.get(connection.holder) is connection:
            self.node.keeper.asked(connection.holder, message)

    def lost(self, connection: HolderConnection) -> None:
        self.all.discard(connection)
        if self.connections.get(connection.holder) is connection:
            del self.connections[connection.holder]
            self.node.keeper.gone(connection.holder)

    def tell(self, holder: str, message: Message) -> None:
        connection = self.connections.get(holder)
        if connection is not None:
            connection.write(message)
