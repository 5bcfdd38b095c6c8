"""`ploverspoke config serve`: one config server."""

from pathlib import Path

import uvloop

from ploverspoke.consensus.server import serve_replica
from ploverspoke.consensus.storage import ClusterMismatchError, CorruptionError, StorageError
from ploverspoke.service.exit_codes import run_with_exit_code

from .cluster_config import read_config_server_config
from .server import ConfigServer
from .server_node import ConfigServerNode


async def serve_configuration(path: Path, new: bool, join: str) -> None:
    """Until it is told to end. Raises ConfigError, and what `serve` raises."""
    node = ConfigServerNode(read_config_server_config(path))
    await serve_replica("config", node, ConfigServer(node), new, join)


def main(path: Path, new: bool = False, join: str = "") -> int:
    """Exit 0: told to end. 2: the file or the disk cannot be used; says why."""

    def run() -> None:
        uvloop.run(serve_configuration(path, new, join))

    return run_with_exit_code(run, ClusterMismatchError, CorruptionError, StorageError)
