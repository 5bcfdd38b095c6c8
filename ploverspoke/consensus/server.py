"""One replica as a process of its own, with the server for its clients, until a signal ends it."""

import asyncio
import gc
import signal
from typing import Protocol

from ploverspoke.transport.rate_limited_log import log_line
from ploverspoke.transport.units import SECOND

from .node import ReplicaNode


class ClientFacingServer(Protocol):
    """Where the clients of a replica connect."""

    async def open(self) -> None:
        """Listen. Raises OSError."""

    def close(self) -> None:
        """Stop listening and close all connections."""


async def serve_replica(
    log_prefix: str, node: ReplicaNode, client_server: ClientFacingServer, new: bool, join: str
) -> None:
    """Run until SIGTERM or SIGINT. `new` and `join` are those of `ReplicaNode.open`.

    Raises what `ReplicaNode.open` raises, and OSError.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    try:
        await node.open(new, join)
        await client_server.open()
        gc.collect()
        gc.freeze()
        config = node.config
        log_line(f"{log_prefix}: {config.name} serves at {config.replicas[config.name].client}")
        await stopped.wait()
        if node.leads():
            await hand_over_leadership(node)
    finally:
        client_server.close()
        await node.close()


async def hand_over_leadership(node: ReplicaNode) -> None:
    """Make another voter the leader before this one stops, so that the others need no election time-out."""
    for member in node.members().values():
        if member.votes and member.name != node.config.name and node.transfer(member.name):
            await asyncio.sleep(node.config.election_timeout / SECOND)
            return
