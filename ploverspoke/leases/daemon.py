"""`ploverspoke keep`: one keeper of leases."""

from pathlib import Path

import uvloop

from ploverspoke.consensus.disk import Damaged, DiskTrouble, WrongStore
from ploverspoke.consensus.serving import serve
from ploverspoke.program.exits import exit_code

from .door import Door
from .node import KeeperNode
from .orders import read_keeper_orders


async def keep(path: Path, new: bool, join: str) -> None:
    """Until it is told to end. Raises BadKey, and what `serve` raises."""
    node = KeeperNode(read_keeper_orders(path))
    await serve("keeper", node, Door(node), new, join)


def main(path: Path, new: bool = False, join: str = "") -> int:
    """Exit 0: told to end. 2: the file or the disk cannot be used; says why."""

    def run() -> None:
        uvloop.run(keep(path, new, join))

    return exit_code(run, WrongStore, Damaged, DiskTrouble)
