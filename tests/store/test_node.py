"""Replicas on sockets and disks: elections, a lost leader, full disks, other clusters, members."""

import asyncio
from pathlib import Path

import msgspec
import pytest

from ploverspoke.consensus.membership import Member
from ploverspoke.consensus.storage import ClusterMismatchError
from tests.store.cluster_harness import Cluster, bodies, commit, fill_disk, run_cluster, until


@pytest.mark.parametrize("size", [1, 3])
def test_committed_entries_survive_a_restart_of_all_replicas(size: int, tmp_path: Path) -> None:
    async def scenario(cluster: Cluster) -> None:
        leader = await cluster.wait_for_leader()
        assert await commit(leader, "one") and await commit(leader, "two")
        for name in list(cluster.nodes):
            await cluster.stop(name)
        for n in range(size):
            await cluster.start(f"r{n}")
        leader = await cluster.wait_for_leader()
        await until(lambda: bodies(leader) == ["one", "two"])

    run_cluster(tmp_path, size, scenario)


def test_a_lost_leader_is_replaced_and_catches_up_from_a_snapshot(tmp_path: Path) -> None:
    async def scenario(cluster: Cluster) -> None:
        old = await cluster.wait_for_leader()
        name = old.config.name
        assert await commit(old, "first")
        await cluster.stop(name)
        leader = await cluster.wait_for_leader()
        for n in range(150):
            assert await commit(leader, f"c{n}")
        await until(lambda: leader.replica.raft.log.snapshot_index >= 100)
        back = await cluster.start(name)
        await until(lambda: bodies(back)[-1:] == ["c149"])
        assert back.replica.raft.log.snapshot_index >= 100

    run_cluster(tmp_path, 3, scenario)


def test_a_leader_with_a_full_disk_steps_down_and_rejoins_when_there_is_room(tmp_path: Path) -> None:
    async def scenario(cluster: Cluster) -> None:
        old = await cluster.wait_for_leader()
        assert await commit(old, "kept")
        fill_disk(old)
        for n in range(200):
            if not await commit(old, f"{n} " + "x" * 3000):
                break
        assert old.storage_failures and not old.leads()
        leader = await cluster.wait_for_leader()
        assert leader is not old and len(bodies(leader)) > 1
        assert await commit(leader, "after")
        old.storage.max_pages = 0
        await until(lambda: old.replica is not None and bodies(old)[-1:] == ["after"])

    run_cluster(tmp_path, 3, scenario)


@pytest.mark.parametrize("full", [1, 2])
def test_full_disks_of_followers_lose_no_acknowledged_write(full: int, tmp_path: Path) -> None:
    """One of three is done without; two of three stop all writes until there is room."""

    async def scenario(cluster: Cluster) -> None:
        leader = await cluster.wait_for_leader()
        followers = [n for n in cluster.nodes.values() if n is not leader][:full]
        for node in followers:
            fill_disk(node)
        acknowledged = []
        for n in range(120):
            body = f"{n} " + "x" * 3000
            if not await asyncio.wait_for(commit(leader, body), 5):
                break
            acknowledged.append(body)
        assert all(node.storage_failures for node in followers)
        assert (len(acknowledged) == 120) == (full == 1)
        for node in followers:
            node.storage.max_pages = 0
        await until(lambda: all(node.replica is not None for node in followers))
        leader = await cluster.wait_for_leader()
        assert await commit(leader, "after")
        await until(lambda: all(bodies(n)[-1:] == ["after"] for n in cluster.nodes.values()))
        assert acknowledged[-1] in bodies(leader)

    run_cluster(tmp_path, 3, scenario)


def test_nothing_is_acknowledged_without_a_quorum(tmp_path: Path) -> None:
    async def scenario(cluster: Cluster) -> None:
        leader = await cluster.wait_for_leader()
        for name in [n for n in cluster.nodes if n != leader.config.name]:
            await cluster.stop(name)
        assert not await commit(leader, "lost")
        await until(lambda: not leader.leads())

    run_cluster(tmp_path, 3, scenario)


def test_a_replica_with_a_lost_disk_does_not_start_and_joins_under_another_name(tmp_path: Path) -> None:
    async def scenario(cluster: Cluster) -> None:
        leader = await cluster.wait_for_leader()
        assert await commit(leader, "one")
        lost = next(n for n in cluster.nodes if n != leader.config.name)
        await cluster.stop(lost)
        for path in (tmp_path / lost).iterdir():
            path.unlink()
        with pytest.raises(ClusterMismatchError, match="--join"):
            await cluster.start(lost)
        cluster.nodes.pop(lost)
        fingerprint = leader.status()["store"]
        await cluster.change_members(
            lambda m: {id_: member for id_, member in m.items() if member.name != lost}
        )
        fresh = await cluster.start("r3", join=fingerprint)
        learner = Member("r3", *cluster.addresses["r3"].values(), votes=False)
        await cluster.change_members(lambda m: {**m, "r3.1": learner})
        await until(lambda: bodies(fresh) == ["one"])
        await cluster.change_members(lambda m: {**m, "r3.1": msgspec.structs.replace(learner, votes=True)})
        await until(lambda: fresh.status()["members"] and all(m["votes"] for m in fresh.status()["members"]))
        await until(lambda: fresh.leads() or ((n := cluster.leader()) is not None and n.transfer("r3")))
        await until(fresh.leads)
        assert await commit(fresh, "two")

    run_cluster(tmp_path, 3, scenario, spare=1)


def test_replicas_of_another_cluster_are_rejected(tmp_path: Path) -> None:
    async def scenario(cluster: Cluster) -> None:
        leader = await cluster.wait_for_leader()
        other = Cluster(tmp_path / "other", 1)
        other.addresses = {"r0": other.addresses["r0"], "r1": cluster.addresses[leader.config.name]}
        other.size = 2
        node = await other.start("r0", new=True)
        await until(lambda: leader.peer_links.refused_connections + node.peer_links.refused_connections > 0)
        (tmp_path / "other" / "secret").write_text("another secret, long enough too")
        await other.close()
        assert leader.leads()

    (tmp_path / "other").mkdir()
    run_cluster(tmp_path, 3, scenario)
