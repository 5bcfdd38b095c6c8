"""`ploverspoke config serve`: one config server."""

from pathlib import Path

import uvloop

from ploverspoke.consensus.disk import Damaged, DiskTrouble, WrongStore
from ploverspoke.consensus.serving import serve
from ploverspoke.program.exits import exit_code

from .door import Door
from .node import ConfigServerNode
from .orders import read_config_server_orders


async def serve_configuration(path: Path, new: bool, join: str) -> None:
    """Until it is told to end. Raises BadKey, and what `serve` raises."""
    node = ConfigServerNode(read_config_server_orders(path))
    await serve("config", node, Door(node), new, join)


def main(path: Path, new: bool = False, join: str = "") -> int:
    """Exit 0: told to end. 2: the file or the disk cannot be used; says why."""

    def run() -> None:
        uvloop.run(serve_configuration(path, new, join))

    return exit_code(run, WrongStore, Damaged, DiskTrouble)
