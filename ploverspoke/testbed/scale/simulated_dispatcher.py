"""One of many dispatchers in a process: the program's own Service, with simulated signals and kills."""

import asyncio
import signal
import socket
import struct
from collections.abc import Callable, Iterable
from contextvars import Context, copy_context
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, cast

from ploverspoke.service.config import read_config
from ploverspoke.service.config_reader import ConfigError
from ploverspoke.service.service import Service
from ploverspoke.transport.connections import Connection

from ..processes.process_log import CURRENT_LOG, DispatcherLog
from .dispatcher_loop import DispatcherLoop
from .host_messages import DispatcherAddress

if TYPE_CHECKING:
    from ploverspoke.config_distribution.client import WatchClient

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER: close with a reset and drop unsent data


class SimulatedDispatcher:
    """One dispatcher, from one start to its end."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: DispatcherAddress,
        on_ended: Callable[[int, str], None],
    ) -> None:
        """Start it. `on_ended` gets its number and the reason for its end, which is empty after a stop."""
        self.address = address
        self.on_ended = on_ended
        self.on_serving: Callable[[int], None] = lambda _: None
        self.is_serving = False
        self.log = DispatcherLog(address.name)
        self.loop = DispatcherLoop(loop, address.address)
        self.service: Service | None = None
        self.watch_client: WatchClient | None = None
        self.task = loop.create_task(self._run(), context=_context_with_log(self.log))

    async def _run(self) -> None:
        reason = ""
        try:
            # Read it as the program does, but without the environment of this process.
            load_config = partial(read_config, {"RELAY_CONFIG": self.address.config})
            self.service = Service(cast(asyncio.AbstractEventLoop, self.loop), load_config())
            self.service.load_config = load_config
            if self.address.watch:
                self._attach_watch(self.service)
            self.service.on_ready = self._on_ready
            await self.service.run()
        except (ConfigError, OSError) as error:
            reason = str(error)
        self.is_serving = False
        self._release(reset=False)
        self.on_ended(self.address.number, reason)

    def _attach_watch(self, service: Service) -> None:
        """Watch config servers, as `serve --watch` does."""
        from ploverspoke.config_distribution.cluster_config import read_watch_config
        from ploverspoke.config_distribution.dynamic_config import attach_watch, read_own_config

        own_config = read_own_config({"RELAY_CONFIG": self.address.config})
        watch_config = read_watch_config(Path(self.address.watch))
        self.watch_client = attach_watch(service, watch_config, own_config, seed=self.address.number)

    def _on_ready(self) -> None:
        if self.watch_client is not None:
            self.watch_client.start()
        self.is_serving = True
        self.on_serving(self.address.number)

    # ---- Simulated signals ----

    def signal(self, number: signal.Signals) -> None:
        """Call the handler that the program has registered for this signal."""
        handler = self.loop.signal_handlers.get(number)
        if handler is not None:
            _context_with_log(self.log).run(handler)

    def kill(self) -> None:
        """Stop it immediately and reset its sockets, as the kernel does for a killed process."""
        self.is_serving = False
        self.task.cancel()
        self._release(reset=True)

    def _release(self, reset: bool) -> None:
        """Release timers, listeners and connections, with or without a reset of the connections."""
        if self.watch_client is not None:
            self.watch_client.close()
        self.loop.kill()
        service = self.service
        if service is None:
            return
        if service.deadlines.timer is not None:
            service.deadlines.timer.cancel()
        service.deadlines.heap.clear()
        for server in (service.client_server, service.admin_server):
            server.listener.close()
            for task in list(server.listener.setup_tasks):
                task.cancel()
        if service.router.load_gossip is not None:
            service.router.load_gossip.close()
        for connection in list(_connections_of(service)):
            _close(connection, reset)

    # ---- What it holds; only checked for growth ----

    def has_endpoint_list(self) -> bool:
        """Whether it has received an endpoint list."""
        return self.service is not None and self.service.router.endpoints.lists_received > 0

    def counts(self) -> dict[str, int]:
        """Return the counts of open requests, deadlines, connections, and log lines so far."""
        service = self.service
        if service is None:
            return {}
        return {
            "open": service.router.requests.open_count(),
            "deadlines": len(service.deadlines.heap),
            "connections": sum(1 for _ in _connections_of(service)),
            "said": self.log.count,
        }


def _context_with_log(log: DispatcherLog) -> Context:
    context = copy_context()
    context.run(CURRENT_LOG.set, log)
    return context


def _connections_of(service: Service) -> Iterable[Connection]:
    tables = (
        service.pool.connections,
        service.router.endpoints.watch.pool.connections,
        service.client_server.connections,
        service.admin_server.connections,
    )
    return (connection for table in tables for connection in table)


def _close(connection: Connection, reset: bool) -> None:
    """Close a connection without callbacks to its protocol."""
    transport = connection.transport
    if transport is None or transport.is_closing():
        return
    transport.set_protocol(asyncio.Protocol())
    if reset:
        # The transport's own socket object does not accept options; a duplicate of its descriptor does.
        with socket.socket(fileno=socket.dup(transport.get_extra_info("socket").fileno())) as duplicate:
            duplicate.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()
