"""`ploverspoke lease-server`: one lease server as a process of its own."""

from pathlib import Path

import uvloop

from ploverspoke.consensus.server import serve_replica
from ploverspoke.consensus.storage import ClusterMismatchError, CorruptionError, StorageError
from ploverspoke.service.exit_codes import run_with_exit_code

from .config import read_lease_server_config
from .server import LeaseServer
from .server_node import LeaseServerNode


async def serve(path: Path, new: bool, join: str) -> None:
    """Serve until it is told to end. Raises ConfigError, and what `serve_replica` raises."""
    node = LeaseServerNode(read_lease_server_config(path))
    await serve_replica("lease server", node, LeaseServer(node), new, join)


def main(path: Path, new: bool = False, join: str = "") -> int:
    """Run one lease server and return its exit code.

    `new` is the first start of a new cluster, `join` the fingerprint of the cluster that it joins. Exit 0:
    told to end. 2: the file or the storage cannot be used, and the reason is printed.
    """

    def run() -> None:
        uvloop.run(serve(path, new, join))

    return run_with_exit_code(run, ClusterMismatchError, CorruptionError, StorageError)
