"""A watcher on sockets: a thin driver of `ConfigWatcher`, with the cache of the last version that was
taken."""

import asyncio
import os
import random
import time
from collections.abc import Callable
from typing import Any, NamedTuple, cast

from ploverspoke.consensus.framing import FrameCodec, FrameError
from ploverspoke.transport.rate_limited_log import log_line

from .cache import CacheWriter
from .clock_units import MILLISECOND
from .cluster_config import WatchConfig
from .messages import NO_VERSION, VerifiedVersion, WatchStatus, watcher_greeting
from .server_link import NO_HEARTBEAT
from .watcher import ConfigWatcher

LONGEST_NAP = 60.0  # seconds
MOST_UNSENT = 1 << 16  # bytes, towards a server that does not read

ApplyVersion = Callable[[VerifiedVersion], None]  # raises VersionRejectedError


class WatchMetrics(NamedTuple):
    """What operators see of a watch."""

    config_version: int  # the active one; 0: none
    config_received_version: int
    config_connected: int  # 1: a server is watched
    config_server_version: int  # the latest one of that server; -1: unknown
    config_silent_ms: int  # since the server was last heard; -1: there is none
    config_versions_applied: int
    config_versions_rejected: int
    config_messages_rejected: int
    config_server_changes: int


class ServerConnection(asyncio.Protocol):
    def __init__(self, client: "WatchClient", link: int) -> None:
        self.client = client
        self.link = link
        self.frames = FrameCodec(client.orders.secret, watcher_greeting(client.name, client.orders.cluster))
        self.transport: asyncio.Transport | None = None
        self.ready = False
        self.over = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.over:
            self.transport.abort()
        else:
            self.transport.write(self.frames.greeting_frame())

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.client.lost(self)

    def data_received(self, data: bytes) -> None:
        if self.over:
            return
        try:
            messages = self.frames.decode(data)
        except (FrameError, KeyError, TypeError, ValueError) as error:
            log_line(f"config: message rejected: {error}")
            self.close()
            return
        if self.frames.peer_greeting is not None and not self.ready:
            self.ready = True
            self.client.greeted(self)
        for message in messages:
            self.client.told(self, message)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class WatchClient:
    """The host of a `ConfigWatcher`. `take` puts a body in force, or says why not."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        orders: WatchConfig,
        name: str,
        apply: ApplyVersion,
        applied: VerifiedVersion = NO_VERSION,
        seed: int | None = None,
    ) -> None:
        """`applied` is the version that is active already. `seed`: of its chance; None: the system's."""
        self.loop = loop
        self.orders = orders
        self.name = name
        self.apply = apply
        self.chance = random.Random(int.from_bytes(os.urandom(8), "big") if seed is None else seed)
        self.watcher = ConfigWatcher(self, orders.cluster, orders.servers, orders.local_servers, applied)
        self.connections: dict[int, ServerConnection] = {}
        self.dialling: dict[int, asyncio.Task[None]] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.timer_for = 0
        self.cache_writer = CacheWriter(loop, orders)
        self.closed = False

    def start(self) -> None:
        """Begin to watch."""
        self.watcher.start()
        self._after()

    def close(self) -> None:
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        for link in [*self.connections, *self.dialling]:
            self.hang_up(link)
        self.cache_writer.close()

    # ---- The watch's host ----

    def now(self) -> int:
        return time.monotonic_ns()

    def random_fraction(self) -> float:
        return self.chance.random()

    def log(self, line: str) -> None:
        log_line(line)

    def dial(self, link: int, where: str) -> None:
        connection = self.connections[link] = ServerConnection(self, link)
        self.dialling[link] = self.loop.create_task(self._connect(connection, where))

    def hang_up(self, link: int) -> None:
        task, connection = self.dialling.pop(link, None), self.connections.pop(link, None)
        if task is not None:
            task.cancel()
        if connection is not None:
            connection.over = True
            connection.close()

    def send(self, link: int, message: WatchStatus) -> None:
        connection = self.connections.get(link)
        if connection is None or connection.transport is None or not connection.ready:
            return
        if connection.transport.get_write_buffer_size() <= MOST_UNSENT:  # what is left out is said again
            connection.transport.write(connection.frames.encode(message))

    def apply_version(self, version: VerifiedVersion) -> None:
        """Make a version active, and keep it in the cache. Raises VersionRejectedError."""
        self.apply(version)
        self.cache_writer.schedule(version)

    # ---- What happens ----

    def greeted(self, connection: ServerConnection) -> None:
        self.watcher.on_greeting(connection.link)
        self._after()

    def told(self, connection: ServerConnection, message: Any) -> None:
        if not connection.over:
            self.watcher.on_message(connection.link, message)
            self._after()

    def lost(self, connection: ServerConnection) -> None:
        if not connection.over:
            connection.over = True
            self.connections.pop(connection.link, None)
            self.watcher.on_disconnected(connection.link)
            self._after()

    async def _connect(self, connection: ServerConnection, where: str) -> None:
        host, _, port = where.rpartition(":")
        try:
            await self.loop.create_connection(lambda: connection, host.strip("[]"), int(port))
        except OSError:
            self.lost(connection)
        finally:
            self.dialling.pop(connection.link, None)

    def _after(self) -> None:
        """See when time is wanted next. A timer that rings too early does no harm and is left."""
        at = self.watcher.next_tick()
        if self.closed or (self.timer is not None and self.timer_for <= at):
            return
        if self.timer is not None:
            self.timer.cancel()
        self.timer_for = at
        left = min(LONGEST_NAP, max(0.0, (at - self.now()) / 1e9))
        self.timer = self.loop.call_later(left, self._ring)

    def _ring(self) -> None:
        self.timer = None
        self.watcher.tick()
        self._after()

    # ---- Metrics ----

    def metrics(self) -> WatchMetrics:
        """The present values, for the `config` call of the admin port."""
        watcher, link = self.watcher, self.watcher.link
        counters = watcher.counters
        return WatchMetrics(
            config_version=watcher.versions.applied_version,
            config_received_version=watcher.versions.received.number,
            config_connected=int(watcher.is_connected()),
            config_server_version=link.server_version if link is not None else NO_HEARTBEAT,
            config_silent_ms=(self.now() - link.heard_at) // MILLISECOND if link is not None else -1,
            config_versions_applied=counters.versions_applied,
            config_versions_rejected=counters.versions_rejected,
            config_messages_rejected=counters.messages_rejected,
            config_server_changes=counters.server_changes,
        )
