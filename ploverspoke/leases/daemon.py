"""`ploverspoke keep`: one keeper of leases."""

from pathlib import Path

import uvloop

from ploverspoke.consensus.server import serve_replica
from ploverspoke.consensus.storage import ClusterMismatchError, CorruptionError, StorageError
from ploverspoke.service.exit_codes import run_with_exit_code

from .config import read_lease_server_config
from .server import LeaseServer
from .server_node import LeaseServerNode


async def keep(path: Path, new: bool, join: str) -> None:
    """Until it is told to end. Raises ConfigError, and what `serve` raises."""
    node = LeaseServerNode(read_lease_server_config(path))
    await serve_replica("keeper", node, LeaseServer(node), new, join)


def main(path: Path, new: bool = False, join: str = "") -> int:
    """Exit 0: told to end. 2: the file or the disk cannot be used; says why."""

    def run() -> None:
        uvloop.run(keep(path, new, join))

    return run_with_exit_code(run, ClusterMismatchError, CorruptionError, StorageError)
