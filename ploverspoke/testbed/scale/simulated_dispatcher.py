"""One dispatcher among many in a process: the program's own Service, started, ended, killed, told to read."""

import asyncio
import signal
import socket
import struct
from collections.abc import Callable, Iterable
from contextvars import copy_context
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple, cast

from ploverspoke.service.config import read_config
from ploverspoke.service.config_reader import ConfigError
from ploverspoke.service.service import Service
from ploverspoke.transport.connections import Connection

from ..processes.process_log import CURRENT_LOG, DispatcherLog
from .dispatcher_loop import OwnLoop

RESET = struct.pack("ii", 1, 0)  # SO_LINGER: closed with a reset, whatever was unsent


class DispatcherAddress(NamedTuple):
    """Where one hollow dispatcher is, and where it finds its configuration."""

    number: int
    name: str
    address: str
    config: str  # path
    watch: str = ""  # path of what `serve --watch` is given; "": it watches nothing


class SimulatedDispatcher:
    """One life of one dispatcher. `ended` is told of its end, with why; "": it was told to."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, place: DispatcherAddress, ended: Callable[[int, str], None]
    ) -> None:
        self.place = place
        self.ended = ended
        self.said = DispatcherLog(place.name)
        self.loop = OwnLoop(loop, place.address)
        self.service: Service | None = None
        self.watching: Any = None
        self.serves = False
        self.on_serving: Callable[[int], None] = lambda number: None
        context = copy_context()
        context.run(CURRENT_LOG.set, self.said)
        self.task = loop.create_task(self._run(), context=context)

    async def _run(self) -> None:
        why = ""
        try:
            # Its own configuration, by the program's own reading: nothing of it comes from this process's.
            read = partial(read_config, {"RELAY_CONFIG": self.place.config})
            self.service = Service(cast(asyncio.AbstractEventLoop, self.loop), read())
            self.service.load_config = read
            if self.place.watch:
                self._watch(self.service)
            self.service.on_ready = self._ready
            await self.service.run()
        except (ConfigError, OSError) as error:
            why = str(error)
        self.serves = False
        self._drop(reset=False)
        self.ended(self.place.number, why)

    def _watch(self, service: Service) -> None:
        """Only where it is asked for: changes from config servers, as `serve --watch` has them."""
        from ploverspoke.config_distribution.cluster_config import read_watch_config
        from ploverspoke.config_distribution.dynamic_config import attach_watch, read_own_config

        own = read_own_config({"RELAY_CONFIG": self.place.config})
        watch_config = read_watch_config(Path(self.place.watch))
        self.watching = attach_watch(service, watch_config, own, seed=self.place.number)

    def _ready(self) -> None:
        if self.watching is not None:
            self.watching.start()
        self.serves = True
        self.on_serving(self.place.number)

    # ---- In place of signals ----

    def signal(self, number: signal.Signals) -> None:
        handler = self.loop.handlers.get(number)
        if handler is not None:
            copy_context_of(self.said).run(handler)

    def kill(self) -> None:
        """Its sockets are reset and it says nothing more, as when its process is killed."""
        self.serves = False
        self.task.cancel()
        self._drop(reset=True)

    def _drop(self, reset: bool) -> None:
        if self.watching is not None:
            self.watching.close()
        self.loop.die()
        service = self.service
        if service is None:
            return
        if service.deadlines.timer is not None:
            service.deadlines.timer.cancel()
        service.deadlines.heap.clear()
        for door in (service.client_server, service.admin_server):
            door.listener.close()
            for task in list(door.listener.setup_tasks):
                task.cancel()
        if service.router.load_gossip is not None:
            service.router.load_gossip.close()
        for connection in list(connections_of(service)):
            drop(connection, reset)

    # ---- What is seen inside; for growth only, nothing is judged by it ----

    def is_listed(self) -> bool:
        return self.service is not None and self.service.router.endpoints.lists_received > 0

    def counts(self) -> dict[str, int]:
        service = self.service
        if service is None:
            return {}
        return {
            "open": service.router.requests.open_count(),
            "deadlines": len(service.deadlines.heap),
            "connections": sum(1 for _ in connections_of(service)),
            "said": self.said.count,
        }


def copy_context_of(said: DispatcherLog) -> Any:
    context = copy_context()
    context.run(CURRENT_LOG.set, said)
    return context


def connections_of(service: Service) -> Iterable[Connection]:
    tables = (
        service.pool.connections,
        service.router.endpoints.watch.pool.connections,
        service.client_server.connections,
        service.admin_server.connections,
    )
    return (connection for table in tables for connection in table)


def drop(connection: Connection, reset: bool) -> None:
    """Closed now; whoever used it here hears nothing of it."""
    transport = connection.transport
    if transport is None or transport.is_closing():
        return
    transport.set_protocol(asyncio.Protocol())
    if reset:
        # The transport's own socket takes no options; another descriptor of the same one does.
        with socket.socket(fileno=socket.dup(transport.get_extra_info("socket").fileno())) as same:
            same.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    transport.abort()
