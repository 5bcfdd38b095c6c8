"""A watcher on sockets: a thin driver of `ConfigWatcher`, with the cache of the last version that was
taken."""

import asyncio
import json
import os
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

from ploverspoke.consensus.framing import FrameCodec, FrameError
from ploverspoke.transport.rate_limited_log import log_line

from .cluster_config import WatchConfig
from .messages import Message, greeting, is_number
from .overlay import LONGEST_BODY
from .state_machine import digest_of
from .watcher import NOTHING, AppliedVersion, ConfigWatcher

LONGEST_NAP = 60.0  # seconds
CACHE_EVERY = 1.0  # seconds, at the most so often
CACHE_FORMAT = 1
MOST_UNSENT = 1 << 16  # bytes, towards a server that does not read

Take = Callable[[int, str], str]  # a version and its body; why it is not in force, or ""


class ServerConnection(asyncio.Protocol):
    def __init__(self, client: "WatchClient", link: int) -> None:
        self.client = client
        self.link = link
        self.frames = FrameCodec(client.orders.secret, greeting(client.name, client.orders.cluster))
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
            log_line(f"config: a message is refused: {error}")
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
        take: Take,
        taken: AppliedVersion = NOTHING,
        seed: int | None = None,
    ) -> None:
        """`taken` is what is in force already. `seed`: of its chance; None: the system's."""
        self.loop = loop
        self.orders = orders
        self.name = name
        self.take_body = take
        self.chance = random.Random(int.from_bytes(os.urandom(8), "big") if seed is None else seed)
        self.watch = ConfigWatcher(self, orders.cluster, orders.servers, orders.near, taken)
        self.connections: dict[int, ServerConnection] = {}
        self.dialling: dict[int, asyncio.Task[None]] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.timer_for = 0
        self.writing: asyncio.TimerHandle | None = None  # from the first that is to be kept to its end
        self.write_after = 0.0  # by the loop's clock
        self.to_write: AppliedVersion | None = None
        self.closed = False

    def begin(self) -> None:
        self.watch.begin()
        self._after()

    def close(self) -> None:
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        for link in [*self.connections, *self.dialling]:
            self.hang_up(link)
        if self.writing is not None:
            self.writing.cancel()
        if self.to_write is not None:
            try:
                write_cache(self.orders, self.to_write)
            except OSError as error:
                log_line(f"config: the cache cannot be written: {error}")

    # ---- The watch's host ----

    def now(self) -> int:
        return time.monotonic_ns()

    def fraction(self) -> float:
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

    def send(self, link: int, message: Message) -> None:
        connection = self.connections.get(link)
        if connection is None or connection.transport is None or not connection.ready:
            return
        if connection.transport.get_write_buffer_size() <= MOST_UNSENT:  # what is left out is said again
            connection.transport.write(connection.frames.encode(message))

    def take(self, number: int, digest: bytes, body: str) -> str:
        reason = self.take_body(number, body)
        if not reason:
            self._keep(AppliedVersion(number, digest, body))
        return reason

    # ---- What happens ----

    def greeted(self, connection: ServerConnection) -> None:
        self.watch.greeted(connection.link)
        self._after()

    def told(self, connection: ServerConnection, message: Any) -> None:
        if not connection.over:
            self.watch.told(connection.link, message)
            self._after()

    def lost(self, connection: ServerConnection) -> None:
        if not connection.over:
            connection.over = True
            self.connections.pop(connection.link, None)
            self.watch.lost(connection.link)
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
        at = self.watch.wake()
        if self.closed or (self.timer is not None and self.timer_for <= at):
            return
        if self.timer is not None:
            self.timer.cancel()
        self.timer_for = at
        left = min(LONGEST_NAP, max(0.0, (at - self.now()) / 1e9))
        self.timer = self.loop.call_later(left, self._ring)

    def _ring(self) -> None:
        self.timer = None
        self.watch.tick()
        self._after()

    # ---- The cache ----

    def _keep(self, taken: AppliedVersion) -> None:
        """Written at once, but in a burst the latest alone each second."""
        self.to_write = taken
        if self.writing is None and not self.closed:
            self.writing = self.loop.call_at(max(self.loop.time(), self.write_after), self._write)

    def _write(self) -> None:
        """By a thread: a slow disk holds up nothing."""
        assert self.to_write is not None
        taken, self.to_write = self.to_write, None
        self.write_after = self.loop.time() + CACHE_EVERY
        future = self.loop.run_in_executor(None, write_cache, self.orders, taken)
        future.add_done_callback(lambda f: self._written(f.exception()))

    def _written(self, error: BaseException | None) -> None:
        self.writing = None
        if error is not None:
            log_line(f"config: the cache cannot be written: {error}")
        if self.to_write is not None:
            self._keep(self.to_write)

    # ---- What operators ask ----

    def figures(self) -> dict[str, int]:
        watch = self.watch
        link = watch.link
        return {
            "config_version": watch.in_force,
            "config_offered": watch.came.number,
            "config_connected": int(watch.connected()),
            "config_server_version": link.server_has if link is not None else -1,
            "config_heard_ms": (self.now() - link.heard_at) // 1_000_000 if link is not None else -1,
            "config_taken": watch.taken_versions,
            "config_refused": watch.refused_versions,
            "config_messages_refused": watch.refused_messages,
            "config_changes_of_server": watch.changes,
        }


def write_cache(orders: WatchConfig, taken: AppliedVersion) -> None:
    """Replaces the file whole. Raises OSError."""
    told = {
        "format": CACHE_FORMAT,
        "cluster": orders.cluster,
        "version": taken.number,
        "digest": taken.digest.hex(),
        "body": taken.body,
    }
    new = orders.cache.with_name(f".{orders.cache.name}.{os.getpid()}.new")
    orders.cache.parent.mkdir(parents=True, exist_ok=True)
    new.write_text(json.dumps(told), encoding="utf-8")
    os.replace(new, orders.cache)


def read_cache(orders: WatchConfig) -> tuple[AppliedVersion, str]:
    """The last version that was taken, and why there is none where it is of no use."""
    path: Path = orders.cache
    try:
        if path.stat().st_size > 8 * LONGEST_BODY:
            return NOTHING, "it is too long"
        told = json.loads(path.read_text(encoding="utf-8"))
        number, body = told["version"], told["body"]
        if told["format"] != CACHE_FORMAT:
            return NOTHING, f"format {told['format']!r}, this release reads {CACHE_FORMAT}"
        if told["cluster"] != orders.cluster:
            return NOTHING, f"it is of cluster {told['cluster']!r}"
        if not is_number(number) or not number:
            return NOTHING, f"version {number!r:.20} is none"
        if digest_of(body).hex() != told["digest"]:
            return NOTHING, "its digest is wrong"
    except FileNotFoundError:
        return NOTHING, ""
    except (OSError, ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        return NOTHING, f"{type(error).__name__}: {error}"
    return AppliedVersion(number, bytes.fromhex(told["digest"]), body), ""
