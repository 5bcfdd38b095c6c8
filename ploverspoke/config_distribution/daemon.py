"""`ploverspoke config serve`: runs one config server as a process."""

from pathlib import Path

from ploverspoke.consensus.server import run_replica_process, serve_replica

from .cluster_config import read_config_server_config
from .server import ConfigServer
from .server_node import ConfigServerNode


async def serve(path: Path, new: bool, join: str) -> None:
    """Serve until SIGTERM or SIGINT. Raises ConfigError and the errors of `serve_replica`."""
    node = ConfigServerNode(read_config_server_config(path))
    await serve_replica("config", node, ConfigServer(node), new, join)


def main(path: Path, new: bool = False, join: str = "") -> int:
    """Run one config server and return the exit code of `run_replica_process`.

    `new` marks the first start of a new cluster; `join` is the fingerprint of the cluster to join.
    """
    return run_replica_process(lambda: serve(path, new, join))
