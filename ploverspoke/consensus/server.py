"""One replica as a process of its own, with a door for those that come to it, until it is told to end."""

import asyncio
import gc
import signal
from typing import Protocol

from ploverspoke.transport.rate_limited_log import log_line

from .node import ReplicaNode


class ClientFacingServer(Protocol):
    async def open(self) -> None: ...

    def close(self) -> None: ...


async def serve_replica(kind: str, node: ReplicaNode, door: ClientFacingServer, new: bool, join: str) -> None:
    """`kind` is what log lines begin with. Raises what `ReplicaNode.open` raises, and OSError."""
    orders = node.orders
    over = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, over.set)
    try:
        await node.open(new, join)
        await door.open()
        gc.collect()
        gc.freeze()
        log_line(f"{kind}: {orders.name} serves at {orders.replicas[orders.name][1]}")
        await over.wait()
        if node.leads():
            # The others need not miss it first.
            others = [row["name"] for row in node.status()["members"] if row["votes"]]
            for name in others:
                if name != orders.name and node.transfer(name):
                    await asyncio.sleep(orders.election / 1e9)
                    break
    finally:
        door.close()
        await node.close()
