"""Replicas of a store on real sockets and disks in one event loop, for tests that stop or change them."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Collection
from pathlib import Path

import uvloop

from ploverspoke.consensus.cluster_config import read_replica_config
from ploverspoke.consensus.membership import Members
from ploverspoke.consensus.proposal_queue import Command
from ploverspoke.store.log_commands import CommitConfiguration
from ploverspoke.store.node import StoreNode
from ploverspoke.testbed.processes.addresses import reserve_ports
from tests.polling import until

FULL_DISK_PAGES = 60


class Cluster:
    """The replicas r0, r1, ... of one store, each with a folder below `folder`."""

    def __init__(self, folder: Path, size: int, spare: int = 0) -> None:
        self.folder = folder
        self.size = size
        ports = reserve_ports(2 * (size + spare))
        self.addresses = {
            f"r{number}": {
                "peers": f"127.0.0.1:{ports[2 * number]}",
                "clients": f"127.0.0.1:{ports[2 * number + 1]}",
            }
            for number in range(size + spare)
        }
        self.nodes: dict[str, StoreNode] = {}
        self.config: dict[str, object] = {}  # further keys of each replica's file
        (folder / "secret").write_text("a secret that is long enough")

    def write_config(self, replica: str, **changes: object) -> Path:
        replicas = {
            name: addresses
            for name, addresses in self.addresses.items()
            if int(name[1:]) < self.size or name == replica
        }
        document = {
            "cluster": "trips",
            "name": replica,
            "folder": replica,
            "secret_file": "secret",
            "replicas": replicas,
        }
        path = self.folder / f"{replica}.json"
        path.write_text(json.dumps({**document, "snapshot_every": 100, **self.config, **changes}))
        return path

    async def start(self, name: str, new: bool = False, join: str = "", **changes: object) -> StoreNode:
        node = self.nodes[name] = StoreNode(read_replica_config(self.write_config(name, **changes)))
        await node.open(new, join)
        return node

    async def stop(self, name: str) -> None:
        await self.nodes.pop(name).close()

    async def wait_for_leader(self) -> StoreNode:
        return await until(self.leader)

    def leader(self) -> StoreNode | None:
        return next((node for node in self.nodes.values() if node.leads()), None)

    async def change_members(self, change: Callable[[Members], Members]) -> None:
        """Ask the current leader, which changes when a disk sync takes longer than the election timeout."""

        def start_change() -> bool:
            leader = self.leader()
            return leader is not None and leader.change_members(change(leader.members()))

        await until(start_change)

    async def close(self) -> None:
        for name in list(self.nodes):
            await self.stop(name)


def commit(node: StoreNode, body: str) -> Awaitable[bool]:
    """Propose a configuration with that body; the result says whether it was committed."""
    return propose(node, CommitConfiguration(body, "test", 1))


def propose(node: StoreNode, command: Command) -> Awaitable[bool]:
    """Propose a command; the result says whether it was committed."""
    future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    def on_decided(is_committed: bool) -> None:
        if not future.cancelled():
            future.set_result(is_committed)

    node.propose(command, on_decided)
    return future


def bodies(node: StoreNode) -> list[str]:
    return [configuration.body for configuration in node.requests.configurations]


def fill_disk(node: StoreNode) -> None:
    """Limit the node's storage to FULL_DISK_PAGES pages from now on."""
    node.storage.max_pages = FULL_DISK_PAGES
    assert node.storage.connection is not None
    node.storage.connection.execute(f"pragma max_page_count = {FULL_DISK_PAGES}")


def run_cluster(
    folder: Path,
    size: int,
    scenario: Callable[[Cluster], Awaitable[None]],
    spare: int = 0,
    left_out: Collection[str] = (),
    **config: object,
) -> None:
    """Start a new store of `size` replicas, run the scenario, and stop the replicas that still run.

    The replicas in `left_out` are started by the scenario. `config` has further keys of each replica's file.
    """

    async def run() -> None:
        cluster = Cluster(folder, size, spare)
        cluster.config = config
        try:
            for name in [f"r{number}" for number in range(size)]:
                if name not in left_out:
                    await cluster.start(name, new=True)
            await scenario(cluster)
        finally:
            await cluster.close()

    uvloop.run(asyncio.wait_for(run(), 40))
