"""Runs a `ConfigWatcher` on the event loop: sockets, timers and the cache of the last applied version."""

import asyncio
import os
import random
import time
from collections.abc import Callable
from typing import NamedTuple

from ploverspoke.consensus.cluster_config import split_address
from ploverspoke.consensus.framed_client import FramedClientConnection
from ploverspoke.consensus.framing import FrameError
from ploverspoke.transport.loop_timer import LoopTimer
from ploverspoke.transport.rate_limited_log import log_line
from ploverspoke.transport.units import MILLISECOND

from .cache import CacheWriter
from .cluster_config import WatchConfig
from .messages import NO_VERSION, VerifiedVersion, WatchStatus, watcher_greeting
from .server_link import NO_HEARTBEAT
from .watcher import ConfigWatcher

MAX_TICK_DELAY_S = 60.0
SEED_BYTES = 8

ApplyVersion = Callable[[VerifiedVersion], None]  # raises VersionRejectedError


class WatchMetrics(NamedTuple):
    """The metrics of a watch; the field names are the metric names at the admin port."""

    config_version: int  # the active version; 0: none
    config_received_version: int  # the latest version that arrived intact; 0: none
    config_connected: int  # 1: connected to a server; 0: not connected
    config_server_version: int  # the latest version of that server; -1: unknown
    config_silent_ms: int  # time since the last message of the server; -1: no server
    config_versions_applied: int
    config_versions_rejected: int
    config_messages_rejected: int
    config_server_changes: int


class ServerConnection(FramedClientConnection):
    """A connection of a watch client to a config server."""

    server_errors = (FrameError, KeyError, TypeError, ValueError)
    log_name = "config"
    max_unsent_bytes = 1 << 16  # above this, statuses are skipped; the next one replaces them

    def __init__(self, client: "WatchClient", link_id: int) -> None:
        """`client` receives the events of the connection, together with `link_id`."""
        super().__init__(client.config.secret, watcher_greeting(client.name, client.config.cluster))
        self.client = client
        self.link_id = link_id

    def on_connected(self) -> None:
        """Report the greeting of the server."""
        self.client.on_greeting(self.link_id)

    def on_message(self, message: object) -> None:
        """Report a decoded message, which has not been validated."""
        self.client.on_message(self.link_id, message)

    def on_disconnected(self) -> None:
        """Report that the connection was lost."""
        self.client.on_disconnected(self.link_id)


class WatchClient:
    """The environment of a `ConfigWatcher`: sockets, clock, random numbers and cache."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: WatchConfig,
        name: str,
        apply: ApplyVersion,
        applied: VerifiedVersion = NO_VERSION,
        seed: int | None = None,
    ) -> None:
        """`apply` makes a version active; `applied` is already active. `seed` None: seeded by the system."""
        self.loop = loop
        self.config = config
        self.name = name
        self.apply = apply
        self.random = random.Random(int.from_bytes(os.urandom(SEED_BYTES), "big") if seed is None else seed)
        self.watcher = ConfigWatcher(self, config.cluster, config.servers, config.local_servers, applied)
        # By link id, including those still being established.
        self.connections: dict[int, ServerConnection] = {}
        self.dial_tasks: dict[int, asyncio.Task[None]] = {}
        self.timer = LoopTimer(self._tick, MAX_TICK_DELAY_S)
        self.cache_writer = CacheWriter(loop, config)
        self.is_closed = False

    def start(self) -> None:
        """Start watching."""
        self.watcher.start()
        self._schedule_tick()

    def close(self) -> None:
        """Close all connections, and write a pending version to the cache."""
        self.is_closed = True
        self.timer.cancel()
        for link_id in list(self.connections):
            self.close_connection(link_id)
        self.cache_writer.close()

    def is_current(self) -> bool:
        """Whether a server has told its latest version, and that version was received."""
        return self.watcher.is_current()

    # ---- Environment of the watcher ----

    def now(self) -> int:
        """Return the time of the monotonic clock, ns."""
        return time.monotonic_ns()

    def random_fraction(self) -> float:
        """Return a random number, 0 <= x < 1."""
        return self.random.random()

    def log(self, line: str) -> None:
        """Write a line to the log."""
        log_line(line)

    def dial(self, link_id: int, address: str) -> None:
        """Start connecting to a server; an event reports the result later."""
        connection = self.connections[link_id] = ServerConnection(self, link_id)
        self.dial_tasks[link_id] = self.loop.create_task(self._dial(connection, address))

    def close_connection(self, link_id: int) -> None:
        """Close a connection; no further events are reported for it."""
        task, connection = self.dial_tasks.pop(link_id, None), self.connections.pop(link_id, None)
        if task is not None:
            task.cancel()
        if connection is not None:
            connection.close()

    def send(self, link_id: int, status: WatchStatus) -> None:
        """Send a status; it is skipped if the server does not read, since statuses are sent repeatedly."""
        connection = self.connections.get(link_id)
        if connection is not None:
            connection.write(status)

    def apply_version(self, version: VerifiedVersion) -> None:
        """Make a version active and write it to the cache. Raises VersionRejectedError."""
        self.apply(version)
        self.cache_writer.schedule(version)

    # ---- Events of connections ----

    def on_greeting(self, link_id: int) -> None:
        """Handle the greeting of a server, which proves that it knows the shared secret."""
        self.watcher.on_greeting(link_id)
        self._schedule_tick()

    def on_message(self, link_id: int, message: object) -> None:
        """Handle a message of a server."""
        self.watcher.on_message(link_id, message)
        self._schedule_tick()

    def on_disconnected(self, link_id: int) -> None:
        """Handle a connection that was lost or could not be established."""
        self.connections.pop(link_id, None)
        self.watcher.on_disconnected(link_id)
        self._schedule_tick()

    async def _dial(self, connection: ServerConnection, address: str) -> None:
        try:
            # With the service's own loop, which may choose the local address.
            await self.loop.create_connection(lambda: connection, *split_address(address))
        except OSError:
            self.on_disconnected(connection.link_id)
        finally:
            self.dial_tasks.pop(connection.link_id, None)

    # ---- Time ----

    def _schedule_tick(self) -> None:
        """Schedule the watcher's `tick`; a timer that fires too early is harmless."""
        if not self.is_closed:
            self.timer.set_earlier(self.watcher.next_tick())

    def _tick(self) -> None:
        self.watcher.tick()
        self._schedule_tick()

    # ---- Metrics ----

    def metrics(self) -> WatchMetrics:
        """Return the current values, for the `config` command of the admin port."""
        versions, link, counters = self.watcher.versions, self.watcher.link, self.watcher.counters
        return WatchMetrics(
            config_version=versions.applied_version,
            config_received_version=versions.received.number,
            config_connected=int(self.watcher.is_connected()),
            config_server_version=link.server_version if link is not None else NO_HEARTBEAT,
            config_silent_ms=(self.now() - link.last_received_at) // MILLISECOND if link is not None else -1,
            config_versions_applied=counters.versions_applied,
            config_versions_rejected=counters.versions_rejected,
            config_messages_rejected=counters.messages_rejected,
            config_server_changes=counters.server_changes,
        )
