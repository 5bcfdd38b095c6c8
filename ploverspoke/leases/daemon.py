"""`ploverspoke keep`: one keeper of leases."""

import asyncio
import gc
import signal
from pathlib import Path

import uvloop

from ploverspoke.consensus.disk import Damaged, DiskTrouble, WrongStore
from ploverspoke.program.exits import exit_code
from ploverspoke.transport.log_lines import say

from .door import Door
from .node import KeeperNode
from .orders import KeeperOrders, read_keeper_orders


async def keep(orders: KeeperOrders, new: bool, join: str) -> None:
    """Until it is told to end."""
    node = KeeperNode(orders)
    door = Door(node)
    over = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, over.set)
    try:
        await node.open(new, join)
        await door.open()
        gc.collect()
        gc.freeze()
        say(f"keeper: {orders.replica.name} serves at {orders.replica.replicas[orders.replica.name][1]}")
        await over.wait()
        if node.leads():
            # The others need not miss it first.
            others = [row["name"] for row in node.status()["members"] if row["votes"]]
            for name in others:
                if name != orders.replica.name and node.transfer(name):
                    await asyncio.sleep(orders.replica.election / 1e9)
                    break
    finally:
        door.close()
        await node.close()


def main(path: Path, new: bool = False, join: str = "") -> int:
    """Exit 0: told to end. 2: the file or the disk cannot be used; says why."""

    def run() -> None:
        uvloop.run(keep(read_keeper_orders(path), new, join))

    return exit_code(run, WrongStore, Damaged, DiskTrouble)
