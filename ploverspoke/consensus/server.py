"""Runs one replica and the server for its clients as a process, until a signal ends it."""

import asyncio
import signal
from collections.abc import Callable, Coroutine
from typing import Protocol

import uvloop

from ploverspoke.service.exit_codes import run_with_exit_code
from ploverspoke.transport.allocator import configure_allocator
from ploverspoke.transport.garbage_collection import freeze_startup_objects
from ploverspoke.transport.rate_limited_log import log_line
from ploverspoke.transport.units import SECOND

from .node import ReplicaNode
from .storage import ClusterMismatchError, CorruptionError, StorageError


class ClientFacingServer(Protocol):
    """The server that the clients of a replica connect to."""

    async def open(self) -> None:
        """Start listening. Raises OSError."""

    def close(self) -> None:
        """Stop listening and close all connections."""


def run_replica_process(serve: Callable[[], Coroutine[object, object, None]]) -> int:
    """Run the coroutine that `serve` returns on an event loop, and return the exit code of the process.

    Memory that is freed is given back to the system.
    0: a signal ended it. 2: the configuration or the storage cannot be used, and the reason was printed.
    """
    configure_allocator()
    return run_with_exit_code(
        lambda: uvloop.run(serve()), ClusterMismatchError, CorruptionError, StorageError
    )


async def serve_replica(
    log_prefix: str, node: ReplicaNode, client_server: ClientFacingServer, new: bool, join: str
) -> None:
    """Run until SIGTERM or SIGINT. `new` and `join` are passed to `ReplicaNode.open`.

    Raises what `ReplicaNode.open` raises, and OSError.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    try:
        await node.open(new, join)
        await client_server.open()
        freeze_startup_objects()
        config = node.config
        log_line(f"{log_prefix}: {config.name} serves at {config.replicas[config.name].client}")
        await stopped.wait()
        if node.leads():
            await transfer_leadership_before_stop(node)
    finally:
        client_server.close()
        await node.close()


async def transfer_leadership_before_stop(node: ReplicaNode) -> None:
    """Transfer leadership before stopping, so that the others need not wait for an election timeout."""
    for member in node.members().values():
        if member.votes and member.name != node.config.name and node.transfer_leadership(member.name):
            await asyncio.sleep(node.config.election_timeout / SECOND)
            return
