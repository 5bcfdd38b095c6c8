"""Replicas on sockets and disks, in one loop: elections, a lost leader, a full disk, strangers, members."""

import asyncio
import json
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
import uvloop
from click.testing import CliRunner

from ploverspoke.cli import main
from ploverspoke.consensus import peer_links
from ploverspoke.consensus.cluster_config import read_replica_config
from ploverspoke.consensus.framing import FrameCodec
from ploverspoke.consensus.membership import Member, Members
from ploverspoke.consensus.storage import ClusterMismatchError
from ploverspoke.service.config_reader import ConfigError
from ploverspoke.store.endpoint_cache import EndpointCache
from ploverspoke.store.node import StoreNode
from ploverspoke.store.state_machine import CONFIGURE
from ploverspoke.testbed.processes.addresses import held_ports


class Cluster:
    def __init__(self, folder: Path, size: int, spare: int = 0) -> None:
        self.folder = folder
        self.size = size
        ports = held_ports(2 * (size + spare))
        self.addresses = {
            f"r{n}": {"peers": f"127.0.0.1:{ports[2 * n]}", "clients": f"127.0.0.1:{ports[2 * n + 1]}"}
            for n in range(size + spare)
        }
        self.nodes: dict[str, StoreNode] = {}
        (folder / "secret").write_text("a secret that is long enough")

    def file(self, replica: str, **changes: Any) -> Path:
        first = {n: a for n, a in self.addresses.items() if int(n[1:]) < self.size or n == replica}
        told = {
            "cluster": "trips",
            "name": replica,
            "folder": replica,
            "secret_file": "secret",
            "replicas": first,
        }
        path = self.folder / f"{replica}.json"
        path.write_text(json.dumps({**told, "snapshot_every": 100, **changes}))
        return path

    async def start(self, name: str, new: bool = False, join: str = "", **changes: Any) -> StoreNode:
        node = self.nodes[name] = StoreNode(read_replica_config(self.file(name, **changes)))
        await node.open(new, join)
        return node

    async def stop(self, name: str) -> None:
        await self.nodes.pop(name).close()

    async def leader(self) -> StoreNode:
        return await until(self.leading)

    def leading(self) -> StoreNode | None:
        return next((n for n in self.nodes.values() if n.leads()), None)

    async def change(self, made: Callable[[Members], Members]) -> None:
        """By whoever leads by then: a sync that takes longer than an election time-out moves the lead."""
        await until(lambda: (n := self.leading()) is not None and n.change_members(made(n.members())))

    async def close(self) -> None:
        for name in list(self.nodes):
            await self.stop(name)


async def until(found: Callable[[], Any], seconds: float = 10.0) -> Any:
    for _ in range(int(seconds * 100)):
        value = found()
        if value:
            return value
        await asyncio.sleep(0.01)
    raise AssertionError("it did not come to that")


def write(node: StoreNode, body: str) -> Awaitable[bool]:
    future = asyncio.get_running_loop().create_future()
    node.propose([CONFIGURE, body, "test", 1], lambda yes: future.cancelled() or future.set_result(yes))
    return future


def bodies(node: StoreNode) -> list[str]:
    return [c.body for c in node.ledger.configurations]


def play(folder: Path, size: int, scene: Callable[[Cluster], Awaitable[None]], spare: int = 0) -> None:
    async def whole() -> None:
        cluster = Cluster(folder, size, spare)
        try:
            for n in range(size):
                await cluster.start(f"r{n}", new=True)
            await scene(cluster)
        finally:
            await cluster.close()

    uvloop.run(asyncio.wait_for(whole(), 40))


@pytest.mark.parametrize("size", [1, 3])
def test_what_was_committed_is_there_after_all_were_stopped(size: int, tmp_path: Path) -> None:
    async def scene(cluster: Cluster) -> None:
        leader = await cluster.leader()
        assert await write(leader, "one") and await write(leader, "two")
        for name in list(cluster.nodes):
            await cluster.stop(name)
        for n in range(size):
            await cluster.start(f"r{n}")
        leader = await cluster.leader()
        await until(lambda: bodies(leader) == ["one", "two"])

    play(tmp_path, size, scene)


def test_a_lost_leader_is_replaced_and_comes_back_behind_a_snapshot(tmp_path: Path) -> None:
    async def scene(cluster: Cluster) -> None:
        old = await cluster.leader()
        name = old.config.name
        assert await write(old, "first")
        await cluster.stop(name)
        leader = await cluster.leader()
        for n in range(150):
            assert await write(leader, f"c{n}")
        await until(lambda: leader.replica.raft.log.snapshot_index >= 100)
        back = await cluster.start(name)
        await until(lambda: bodies(back)[-1:] == ["c149"])
        assert back.replica.raft.log.snapshot_index >= 100

    play(tmp_path, 3, scene)


def test_a_leader_whose_disk_is_full_stands_aside_and_serves_again(tmp_path: Path) -> None:
    async def scene(cluster: Cluster) -> None:
        old = await cluster.leader()
        assert await write(old, "kept")
        old.storage.max_pages = 60
        old.storage.connection.execute("pragma max_page_count = 60")
        for n in range(200):
            if not await write(old, f"{n} " + "x" * 3000):
                break
        assert old.storage_failures and not old.leads()
        leader = await cluster.leader()
        assert leader is not old and len(bodies(leader)) > 1
        assert await write(leader, "after")
        old.storage.max_pages = 0
        await until(lambda: old.replica is not None and bodies(old)[-1:] == ["after"])

    play(tmp_path, 3, scene)


@pytest.mark.parametrize("full", [1, 2])
def test_full_disks_of_followers_cost_no_acknowledged_write(full: int, tmp_path: Path) -> None:
    """One of three is done without; two of three stop all writes until there is room."""

    async def scene(cluster: Cluster) -> None:
        leader = await cluster.leader()
        followers = [n for n in cluster.nodes.values() if n is not leader][:full]
        for node in followers:
            node.storage.max_pages = 60
            node.storage.connection.execute("pragma max_page_count = 60")
        acknowledged = []
        for n in range(120):
            body = f"{n} " + "x" * 3000
            if not await asyncio.wait_for(write(leader, body), 5):
                break
            acknowledged.append(body)
        assert all(node.storage_failures for node in followers)
        assert (len(acknowledged) == 120) == (full == 1)
        for node in followers:
            node.storage.max_pages = 0
        await until(lambda: all(node.replica is not None for node in followers))
        leader = await cluster.leader()
        assert await write(leader, "after")
        await until(lambda: all(bodies(n)[-1:] == ["after"] for n in cluster.nodes.values()))
        assert acknowledged[-1] in bodies(leader)

    play(tmp_path, 3, scene)


def test_no_majority_acknowledges_nothing(tmp_path: Path) -> None:
    async def scene(cluster: Cluster) -> None:
        leader = await cluster.leader()
        for name in [n for n in cluster.nodes if n != leader.config.name]:
            await cluster.stop(name)
        assert not await write(leader, "lost")
        await until(lambda: not leader.leads())

    play(tmp_path, 3, scene)


def test_a_wiped_replica_does_not_start_and_joins_under_another_name(tmp_path: Path) -> None:
    async def scene(cluster: Cluster) -> None:
        leader = await cluster.leader()
        assert await write(leader, "one")
        lost = next(n for n in cluster.nodes if n != leader.config.name)
        await cluster.stop(lost)
        for path in (tmp_path / lost).iterdir():
            path.unlink()
        with pytest.raises(ClusterMismatchError, match="--join"):
            await cluster.start(lost)
        cluster.nodes.pop(lost)
        mark = leader.status()["store"]
        await cluster.change(lambda m: {key: member for key, member in m.items() if member.name != lost})
        fresh = await cluster.start("r3", join=mark)
        learner = Member("r3", *cluster.addresses["r3"].values(), votes=False)
        await cluster.change(lambda m: {**m, "r3.1": learner})
        await until(lambda: bodies(fresh) == ["one"])
        await cluster.change(lambda m: {**m, "r3.1": msgspec.structs.replace(learner, votes=True)})
        await until(lambda: fresh.status()["members"] and all(m["votes"] for m in fresh.status()["members"]))
        await until(lambda: fresh.leads() or ((n := cluster.leading()) is not None and n.transfer("r3")))
        await until(fresh.leads)
        assert await write(fresh, "two")

    play(tmp_path, 3, scene, spare=1)


def test_strangers_are_kept_out(tmp_path: Path) -> None:
    async def scene(cluster: Cluster) -> None:
        leader = await cluster.leader()
        other = Cluster(tmp_path / "other", 1)
        other.addresses = {"r0": other.addresses["r0"], "r1": cluster.addresses[leader.config.name]}
        other.size = 2
        node = await other.start("r0", new=True)
        await until(lambda: leader.peer_links.refused_connections + node.peer_links.refused_connections > 0)
        (tmp_path / "other" / "secret").write_text("another secret, long enough too")
        await other.close()
        assert leader.leads()

    (tmp_path / "other").mkdir()
    play(tmp_path, 3, scene)


def test_a_wrong_store_file_names_its_key(tmp_path: Path) -> None:
    cluster = Cluster(tmp_path, 1)
    bad: list[tuple[dict[str, Any], str]] = [
        ({"name": "r9"}, "name"),
        ({"secret_file": "nowhere"}, "secret_file"),
        ({"replicas": {"R 0": {}}}, "replicas.R 0"),
        ({"replicas": {"r0": {"peers": "here", "clients": "127.0.0.1:1"}}}, "replicas.r0.peers"),
        ({"election_ms": 1}, "election_ms"),
    ]
    for change, key in bad:
        with pytest.raises(ConfigError, match=key):
            read_replica_config(cluster.file("r0", **change))


def test_the_roster_is_put_together_from_what_discovery_told() -> None:
    kept: list[Any] = []
    clock = [0.0]
    memory = EndpointCache(kept.append, None, lambda: clock[0])

    def tell(version: int, full: bool, *servers: tuple[str, str]) -> None:
        entries = [{"id": who, "state": state} for who, state in servers]
        memory.told(json.dumps({"version": version, "full": full, "servers": entries}).encode())

    tell(1, True, ("a", "Ready"), ("b", "Ready"))
    tell(2, False, ("b", "Gone"))
    assert len(kept) == 1, "not written at each change"
    clock[0] = 5.0
    tell(3, False, ("c", "Terminating"))
    assert kept[-1]["version"] == 3 and [s["id"] for s in kept[-1]["servers"]] == ["a", "c"]
    # A restart goes on from what was kept; changes alone are not taken for the whole.
    for known, wanted in ((kept[-1], ["a", "c"]), (None, None)):
        later: list[Any] = []
        again = EndpointCache(later.append, known, lambda: 9.0)
        again.told(b'{"version": 4, "full": false, "servers": []}')
        assert [[s["id"] for s in one["servers"]] for one in later] == ([wanted] if wanted else [])


def test_a_configuration_is_the_same_on_all_replicas_and_after_a_restart(tmp_path: Path) -> None:
    """The real program, three times: one version is committed, a bad one refused, and a restart knows it."""
    cluster = Cluster(tmp_path, 3)
    example = json.loads((Path(__file__).parents[2] / "deploy" / "example.json").read_text())
    told = {k: v for k, v in example.items() if k != "known"}
    (tmp_path / "c.json").write_text(json.dumps(told))
    run = CliRunner()
    files = {f"r{n}": cluster.file(f"r{n}", snapshot_every=20_000) for n in range(3)}

    def start(name: str, *more: str) -> subprocess.Popen[bytes]:
        words = ["-m", "ploverspoke", "serve", str(tmp_path / "c.json"), "--store", str(files[name]), *more]
        return subprocess.Popen([sys.executable, *words], stderr=(tmp_path / f"{name}.log").open("ab"))

    def status() -> list[dict[str, Any]]:
        return list(json.loads(run.invoke(main, ["store", "status", str(files["r0"]), "--json"]).output))

    def wait_for(found: Callable[[], bool]) -> None:
        until = time.monotonic() + 15
        while not found():
            assert time.monotonic() < until
            time.sleep(0.05)

    running = {name: start(name, "--new") for name in files}
    try:
        wait_for(lambda: any(one.get("leads") for one in status()))
        changed = {**told, "discovery": "127.0.0.1:8599"}
        (tmp_path / "new.json").write_text(json.dumps(changed))
        done = run.invoke(main, ["store", "configure", str(files["r0"]), str(tmp_path / "new.json")])
        assert done.exit_code == 0, done.output
        wait_for(lambda: all(one.get("configuration") == 1 for one in status()))
        (tmp_path / "bad.json").write_text(json.dumps({**told, "settings": {}}))
        bad = run.invoke(main, ["store", "configure", str(files["r0"]), str(tmp_path / "bad.json")])
        assert bad.exit_code == 2 and "settings.ServiceGrades" in bad.output
        wait_for(lambda: all("8599" in (tmp_path / f"{name}.log").read_text() for name in files))
        for process in running.values():
            process.kill()
            process.wait()
        running = {name: start(name) for name in files}
        wait_for(lambda: all(one.get("configuration") == 1 for one in status()))
        copy = tmp_path / "copy.db"
        assert run.invoke(main, ["store", "backup", str(files["r1"]), str(copy)]).exit_code == 0
        leader = next(one["name"] for one in status() if one.get("leads"))
        to = next(name for name in files if name != leader)
        assert run.invoke(main, ["store", "transfer", str(files["r0"]), to]).exit_code == 0
        wait_for(lambda: any(one.get("leads") and one["name"] == to for one in status()))
    finally:
        for process in running.values():
            process.kill()
            process.wait()
    gossip_received = run.invoke(main, ["store", "inspect", str(files["r1"]), "--json"])
    assert json.loads(gossip_received.output)["configurations"] == [1]
    fresh = cluster.file("r1", folder="restored")
    assert run.invoke(main, ["store", "restore", str(fresh), str(copy)]).exit_code == 0
    assert run.invoke(main, ["store", "restore", str(fresh), str(copy)]).exit_code == 2
    assert run.invoke(main, ["store", "status", str(fresh)]).exit_code == 1


def test_a_connection_on_which_nothing_goes_out_is_given_up_and_dialled_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A replica that is cut off: what waits for it is stale, and must not go out before anything new."""
    monkeypatch.setattr(peer_links, "STALL_TIMEOUT", 0.2)
    secret, greeting = b"a secret of the test", {"id": "b.1", "store": "s"}
    dialled: list[asyncio.Transport] = []

    class Deaf(asyncio.Protocol):
        def connection_made(self, transport: Any) -> None:
            transport.write(FrameCodec(secret, greeting).greeting_frame())
            asyncio.get_running_loop().call_soon(transport.pause_reading)
            dialled.append(transport)

    async def scene() -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(Deaf, "127.0.0.1", 0)
        told = peer_links.PeerLinks(
            secret, peer_links.PeerIdentity("a.1", "s"), lambda *_: None, lambda *_: None
        )
        told.set_peers({"b.1": f"127.0.0.1:{server.sockets[0].getsockname()[1]}"})
        await until(lambda: "b.1" in told.outbound and told.outbound["b.1"].ready)
        first = told.outbound["b.1"]

        def is_stuck() -> bool:
            told.send("b.1", ["x" * 65536])
            return told.stalled_connections > 0

        await until(is_stuck)
        assert (
            first.transport is None
            or first.transport.get_write_buffer_size() <= peer_links.MAX_UNSENT_BYTES + 70_000
        )
        await until(lambda: len(dialled) > 1 and told.outbound["b.1"] is not first)
        told.close()
        server.close()
        for transport in dialled:
            transport.abort()

    uvloop.run(asyncio.wait_for(scene(), 20))
