"""The process of one config server: `ploverspoke config serve`."""

from pathlib import Path

import uvloop

from ploverspoke.consensus.server import serve_replica
from ploverspoke.consensus.storage import ClusterMismatchError, CorruptionError, StorageError
from ploverspoke.service.exit_codes import run_with_exit_code

from .cluster_config import read_config_server_config
from .server import ConfigServer
from .server_node import ConfigServerNode


async def serve_configuration(path: Path, new: bool, join: str) -> None:
    """Serve with the file at `path` until SIGTERM. Raises ConfigError, and what `serve_replica` raises."""
    node = ConfigServerNode(read_config_server_config(path))
    await serve_replica("config", node, ConfigServer(node), new, join)


def main(path: Path, new: bool = False, join: str = "") -> int:
    """Run until SIGTERM and give the exit code: 0, or 2 where the file or the disk cannot be used.

    `new`: the first start of a new set of servers; `join`: the mark of the running set that it joins.
    """

    def run() -> None:
        uvloop.run(serve_configuration(path, new, join))

    return run_with_exit_code(run, ClusterMismatchError, CorruptionError, StorageError)
