"""`ploverspoke config serve`: one config server as a process of its own."""

from pathlib import Path

from ploverspoke.consensus.server import run_replica_process, serve_replica

from .cluster_config import read_config_server_config
from .server import ConfigServer
from .server_node import ConfigServerNode


async def serve(path: Path, new: bool, join: str) -> None:
    """Serve until SIGTERM or SIGINT. Raises ConfigError, and what `serve_replica` raises."""
    node = ConfigServerNode(read_config_server_config(path))
    await serve_replica("config", node, ConfigServer(node), new, join)


def main(path: Path, new: bool = False, join: str = "") -> int:
    """Run one config server and return its exit code, that of `run_replica_process`.

    `new` is the first start of a new cluster, `join` the fingerprint of the cluster that it joins.
    """
    return run_replica_process(lambda: serve(path, new, join))
