"""Where watchers come to a config server: frames as among replicas, one connection for each watcher."""

import asyncio
from typing import Any, cast

from ploverspoke.consensus.framing import FrameCodec, FrameError
from ploverspoke.transport.rate_limited_log import log_line

from .errors import MessageRejectedError
from .messages import ServerMessage, WatchElsewhere, WatchRejected, read_watch_status, read_watcher_greeting
from .server_node import ConfigServerNode

BACKLOG = 1024
MOST_UNSENT = 1 << 20  # bytes, towards one that does not read
SPEAKS_WITHIN = 5.0  # seconds, from its coming to its first word
MOST_SILENT = 1024  # connections that have not spoken yet


class WatcherConnection(asyncio.Protocol):
    def __init__(self, door: "ConfigServer") -> None:
        self.door = door
        self.frames = FrameCodec(door.node.orders.secret, {"id": door.node.me, "store": ""})
        self.transport: asyncio.Transport | None = None
        self.name = ""  # once it has greeted
        self.watches = False  # once it has said what it has
        self.late: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.door.came(self)
        self.late = asyncio.get_running_loop().call_later(SPEAKS_WITHIN, self.close)
        self.transport.write(self.frames.greeting_frame())

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.late is not None:
            self.late.cancel()
        self.door.lost(self)

    def data_received(self, data: bytes) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        try:
            messages = self.frames.decode(data)
            if self.frames.peer_greeting is not None and not self.name:
                self.name = read_watcher_greeting(self.frames.peer_greeting, self.door.node.orders.cluster)
                self.write(self.door.node.feed.heartbeat())
            for message in messages:
                self.door.said(self, message)
        except MessageRejectedError as error:
            self.door.refused += 1
            log_line(f"config: message rejected: {error}")
            if self.frames.peer_greeting is not None:
                self.write(WatchRejected(str(error)))
            self.end()
        except (FrameError, KeyError, TypeError, ValueError) as error:
            self.door.refused += 1
            log_line(f"config: message rejected: {error}")
            self.close()

    def write(self, message: ServerMessage) -> int:
        """The bytes that it took; 0 where nothing went."""
        if self.transport is None or self.transport.is_closing():
            return 0
        if self.transport.get_write_buffer_size() > MOST_UNSENT:
            self.close()
            return 0
        data = self.frames.encode(message)
        self.transport.write(data)
        return len(data)

    def end(self) -> None:
        """What was written still goes out."""
        if self.transport is not None:
            self.transport.close()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class ConfigServer:
    def __init__(self, node: ConfigServerNode) -> None:
        self.node = node
        node.send_watcher = self.send
        node.drop_watcher = self.drop
        self.watching: dict[str, WatcherConnection] = {}  # the latest of each name
        self.all: set[WatcherConnection] = set()
        self.server: asyncio.Server | None = None
        self.refused = 0

    async def open(self) -> None:
        host, _, port = self.node.orders.replicas[self.node.orders.name][1].rpartition(":")
        self.server = await asyncio.get_running_loop().create_server(
            lambda: WatcherConnection(self), host.strip("[]"), int(port), backlog=BACKLOG
        )

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for connection in list(self.all):
            connection.close()

    # ---- What happens ----

    def came(self, connection: WatcherConnection) -> None:
        self.all.add(connection)
        if len(self.all) - len(self.watching) > MOST_SILENT:
            connection.close()

    def said(self, connection: WatcherConnection, message: Any) -> None:
        have, name = read_watch_status(message), connection.name
        feed = self.node.feed
        if not connection.watches:
            if not feed.has_capacity_for(name):
                connection.write(WatchElsewhere())
                connection.end()
                return
            connection.watches = True
            if connection.late is not None:
                connection.late.cancel()
            old = self.watching.get(name)
            self.watching[name] = connection
            if old is not None:
                feed.on_disconnected(name)
                log_line(f"config: {name} connected again, its older connection is closed")
                old.close()
        if self.watching.get(name) is connection:
            feed.on_watch_status(name, have)
            self.node.feed_again()

    def lost(self, connection: WatcherConnection) -> None:
        self.all.discard(connection)
        if self.watching.get(connection.name) is connection:
            del self.watching[connection.name]
            self.node.feed.on_disconnected(connection.name)

    # ---- What the feed does ----

    def send(self, name: str, message: ServerMessage) -> int:
        connection = self.watching.get(name)
        return connection.write(message) if connection is not None else 0

    def drop(self, name: str, why: str) -> None:
        connection = self.watching.pop(name, None)
        if connection is not None:
            log_line(f"config: {name} is disconnected: {why}")
            connection.close()
