"""`ploverspoke config serve`: one config server."""

import asyncio
import gc
import signal
from pathlib import Path

import uvloop

from ploverspoke.consensus.disk import Damaged, DiskTrouble, WrongStore
from ploverspoke.program.exits import exit_code
from ploverspoke.transport.log_lines import say

from .door import Door
from .node import ConfigServerNode
from .orders import ConfigServerOrders, read_config_server_orders


async def serve(orders: ConfigServerOrders, new: bool, join: str) -> None:
    """Until it is told to end."""
    node = ConfigServerNode(orders)
    door = Door(node)
    replica = orders.replica
    over = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, over.set)
    try:
        await node.open(new, join)
        await door.open()
        gc.collect()
        gc.freeze()
        say(f"config: {replica.name} serves at {replica.replicas[replica.name][1]}")
        await over.wait()
        if node.leads():
            # The others need not miss it first.
            others = [row["name"] for row in node.status()["members"] if row["votes"]]
            for name in others:
                if name != replica.name and node.transfer(name):
                    await asyncio.sleep(replica.election / 1e9)
                    break
    finally:
        door.close()
        await node.close()


def main(path: Path, new: bool = False, join: str = "") -> int:
    """Exit 0: told to end. 2: the file or the disk cannot be used; says why."""

    def run() -> None:
        uvloop.run(serve(read_config_server_orders(path), new, join))

    return exit_code(run, WrongStore, Damaged, DiskTrouble)
