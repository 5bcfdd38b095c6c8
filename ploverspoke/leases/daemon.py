"""`ploverspoke lease-server`: one lease server as a process of its own."""

from pathlib import Path

from ploverspoke.consensus.server import run_replica_process, serve_replica

from .config import read_lease_server_config
from .server import LeaseServer
from .server_node import LeaseServerNode


async def serve(path: Path, new: bool, join: str) -> None:
    """Serve until SIGTERM or SIGINT. Raises ConfigError, and the errors of `serve_replica`."""
    node = LeaseServerNode(read_lease_server_config(path))
    await serve_replica("lease server", node, LeaseServer(node), new, join)


def main(path: Path, new: bool = False, join: str = "") -> int:
    """Run one lease server and return the exit code of `run_replica_process`.

    `new` marks the first start of a new cluster; `join` is the fingerprint of the cluster to join.
    """
    return run_replica_process(lambda: serve(path, new, join))
