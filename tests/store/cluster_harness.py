"""Replicas of a store on sockets and disks in one loop, for tests that stop, starve and change them."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import uvloop

from ploverspoke.consensus.cluster_config import read_replica_config
from ploverspoke.consensus.membership import Members
from ploverspoke.store.log_commands import CommitConfiguration
from ploverspoke.store.node import StoreNode
from ploverspoke.testbed.processes.addresses import reserve_ports


class Cluster:
    """The replicas r0, r1, ... of one store, each with a folder below `folder`."""

    def __init__(self, folder: Path, size: int, spare: int = 0) -> None:
        self.folder = folder
        self.size = size
        ports = reserve_ports(2 * (size + spare))
        self.addresses = {
            f"r{n}": {"peers": f"127.0.0.1:{ports[2 * n]}", "clients": f"127.0.0.1:{ports[2 * n + 1]}"}
            for n in range(size + spare)
        }
        self.nodes: dict[str, StoreNode] = {}
        (folder / "secret").write_text("a secret that is long enough")

    def write_config(self, replica: str, **changes: Any) -> Path:
        first = {n: a for n, a in self.addresses.items() if int(n[1:]) < self.size or n == replica}
        document = {
            "cluster": "trips",
            "name": replica,
            "folder": replica,
            "secret_file": "secret",
            "replicas": first,
        }
        path = self.folder / f"{replica}.json"
        path.write_text(json.dumps({**document, "snapshot_every": 100, **changes}))
        return path

    async def start(self, name: str, new: bool = False, join: str = "", **changes: Any) -> StoreNode:
        node = self.nodes[name] = StoreNode(read_replica_config(self.write_config(name, **changes)))
        await node.open(new, join)
        return node

    async def stop(self, name: str) -> None:
        await self.nodes.pop(name).close()

    async def wait_for_leader(self) -> StoreNode:
        return await until(self.leader)

    def leader(self) -> StoreNode | None:
        return next((n for n in self.nodes.values() if n.leads()), None)

    async def change_members(self, change: Callable[[Members], Members]) -> None:
        """By whoever leads by then: a sync that takes longer than an election time-out moves the lead."""
        await until(lambda: (n := self.leader()) is not None and n.change_members(change(n.members())))

    async def close(self) -> None:
        for name in list(self.nodes):
            await self.stop(name)


async def until(condition: Callable[[], Any], seconds: float = 10.0) -> Any:
    for _ in range(int(seconds * 100)):
        value = condition()
        if value:
            return value
        await asyncio.sleep(0.01)
    raise AssertionError("it did not come to that")


def commit(node: StoreNode, body: str) -> Awaitable[bool]:
    """A configuration with that body; whether it is committed."""
    future = asyncio.get_running_loop().create_future()
    command = CommitConfiguration(body, "test", 1)
    node.propose(command, lambda committed: future.cancelled() or future.set_result(committed))
    return future


def bodies(node: StoreNode) -> list[str]:
    return [c.body for c in node.requests.configurations]


def fill_disk(node: StoreNode) -> None:
    """No room for more than 60 pages from now on."""
    node.storage.max_pages = 60
    node.storage.connection.execute("pragma max_page_count = 60")


def run_cluster(
    folder: Path, size: int, scenario: Callable[[Cluster], Awaitable[None]], spare: int = 0
) -> None:
    """Start a new store of `size` replicas, run the scenario, and stop what still runs."""

    async def run() -> None:
        cluster = Cluster(folder, size, spare)
        try:
            for n in range(size):
                await cluster.start(f"r{n}", new=True)
            await scenario(cluster)
        finally:
            await cluster.close()

    uvloop.run(asyncio.wait_for(run(), 40))
