"""Replicas on sockets and disks: elections, leader loss, full disks, other clusters, member changes."""

import asyncio
from pathlib import Path

import msgspec
import pytest

from ploverspoke.consensus.framing import MAX_BODY_BYTES
from ploverspoke.consensus.membership import Member
from ploverspoke.consensus.replica_driver import MAX_LOG_BYTES
from ploverspoke.consensus.storage import ClusterMismatchError
from ploverspoke.routing.answers import FinalAnswer
from ploverspoke.store.log_commands import AnswerRequest, encode_command
from ploverspoke.store.node import StoreNode
from tests.polling import until
from tests.store.cluster_harness import Cluster, bodies, commit, fill_disk, propose, run_cluster


def snapshot_index(node: StoreNode) -> int:
    assert node.replica is not None
    return node.replica.raft.log.snapshot_index


def transfer_leadership(cluster: Cluster, name: str) -> bool:
    """Start a transfer of leadership to the named replica, if there is a leader."""
    leader = cluster.leader()
    return leader is not None and leader.transfer_leadership(name)


def members_all_vote(node: StoreNode) -> bool:
    """Whether the node knows its members and all of them are voters."""
    members = node.status()["members"]
    assert isinstance(members, list)
    return bool(members) and all(member["votes"] for member in members)


@pytest.mark.parametrize("size", [1, 3])
def test_committed_entries_survive_a_restart_of_all_replicas(size: int, tmp_path: Path) -> None:
    async def scenario(cluster: Cluster) -> None:
        leader = await cluster.wait_for_leader()
        assert await commit(leader, "one") and await commit(leader, "two")
        for name in list(cluster.nodes):
            await cluster.stop(name)
        for number in range(size):
            await cluster.start(f"r{number}")
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
        for number in range(150):
            assert await commit(leader, f"c{number}")
        await until(lambda: snapshot_index(leader) >= 100)
        back = await cluster.start(name)
        await until(lambda: bodies(back)[-1:] == ["c149"])
        assert snapshot_index(back) >= 100

    run_cluster(tmp_path, 3, scenario)


def test_large_entries_are_compacted_before_there_are_many(tmp_path: Path) -> None:
    async def scenario(cluster: Cluster) -> None:
        leader = await cluster.wait_for_leader()
        body = "x" * (MAX_BODY_BYTES // 4)
        for _ in range(2 + 4 * MAX_LOG_BYTES // MAX_BODY_BYTES):
            assert await commit(leader, body)
        await until(lambda: snapshot_index(leader) > 0)

    run_cluster(tmp_path, 1, scenario)


def test_a_leader_with_a_full_disk_steps_down_and_rejoins_when_there_is_room(tmp_path: Path) -> None:
    async def scenario(cluster: Cluster) -> None:
        old = await cluster.wait_for_leader()
        assert await commit(old, "kept")
        fill_disk(old)
        for number in range(200):
            if not await commit(old, f"{number} " + "x" * 3000):
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
    """One full disk of three does not stop writes; two stop all writes until there is space."""

    async def scenario(cluster: Cluster) -> None:
        leader = await cluster.wait_for_leader()
        followers = [node for node in cluster.nodes.values() if node is not leader][:full]
        for node in followers:
            fill_disk(node)
        acknowledged = []
        for number in range(120):
            body = f"{number} " + "x" * 3000
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
        await until(lambda: all(bodies(node)[-1:] == ["after"] for node in cluster.nodes.values()))
        assert acknowledged[-1] in bodies(leader)

    run_cluster(tmp_path, 3, scenario)


def test_nothing_is_acknowledged_without_a_quorum(tmp_path: Path) -> None:
    async def scenario(cluster: Cluster) -> None:
        leader = await cluster.wait_for_leader()
        for name in [name for name in cluster.nodes if name != leader.config.name]:
            await cluster.stop(name)
        assert not await commit(leader, "lost")
        await until(lambda: not leader.leads())

    run_cluster(tmp_path, 3, scenario)


def test_a_replica_with_a_lost_disk_does_not_start_and_joins_under_another_name(tmp_path: Path) -> None:
    async def scenario(cluster: Cluster) -> None:
        leader = await cluster.wait_for_leader()
        assert await commit(leader, "one")
        lost = next(name for name in cluster.nodes if name != leader.config.name)
        await cluster.stop(lost)
        for path in (tmp_path / lost).iterdir():
            path.unlink()
        with pytest.raises(ClusterMismatchError, match="--join"):
            await cluster.start(lost)
        cluster.nodes.pop(lost)
        fingerprint = leader.status()["store"]
        assert isinstance(fingerprint, str)
        await cluster.change_members(
            lambda members: {id_: member for id_, member in members.items() if member.name != lost}
        )
        fresh = await cluster.start("r3", join=fingerprint)
        addresses = cluster.addresses["r3"]
        learner = Member("r3", addresses["peers"], addresses["clients"], votes=False)
        await cluster.change_members(lambda members: {**members, "r3.1": learner})
        await until(lambda: bodies(fresh) == ["one"])
        voter = msgspec.structs.replace(learner, votes=True)
        await cluster.change_members(lambda members: {**members, "r3.1": voter})
        await until(lambda: members_all_vote(fresh))
        await until(lambda: fresh.leads() or transfer_leadership(cluster, "r3"))
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


def answer_of(number: int) -> list[object]:
    """The stored command of an answer with a result of 24 KB."""
    return encode_command(AnswerRequest(f"r{number}", FinalAnswer.SUCCEEDED, "x" * 24_000, b"", 1))


def test_a_follower_that_missed_many_large_answers_catches_up_while_the_leader_commits(
    tmp_path: Path,
) -> None:
    # Guards against a store that stops answering as soon as such a follower is back.
    async def scenario(cluster: Cluster) -> None:
        for name in list(cluster.nodes):
            await cluster.stop(name)
            await cluster.start(name, snapshot_every=20_000)
        leader = await cluster.wait_for_leader()
        away = next(name for name, node in cluster.nodes.items() if node is not leader)
        await cluster.stop(away)
        missed = [propose(leader, answer_of(number)) for number in range(400)]
        assert all(await asyncio.gather(*missed))
        back = await cluster.start(away, snapshot_every=20_000)
        assert await propose(leader, answer_of(400)) and leader.leads()
        await until(lambda: len(back.requests.answered) == 401)

    # The leader must not change for another reason than this one, even on a busy machine.
    run_cluster(tmp_path, 3, scenario, election_ms=1_000)


@pytest.mark.parametrize("command", [["\ud83d"], ["x" * MAX_BODY_BYTES]])
def test_a_command_that_no_replica_can_store_is_refused_alone(command: list[object], tmp_path: Path) -> None:
    # Guards against callbacks of the same batch that are never called, and a leader that stands aside.
    async def scenario(cluster: Cluster) -> None:
        leader = await cluster.wait_for_leader()
        results = await asyncio.gather(
            commit(leader, "before"), propose(leader, command), commit(leader, "after")
        )
        assert tuple(results) == (True, False, True) and not leader.storage_failures

    run_cluster(tmp_path, 1, scenario)


def test_an_error_in_consensus_fails_what_waits_and_the_replica_begins_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against callbacks and timers that are lost when an event of consensus ends halfway.
    async def scenario(cluster: Cluster) -> None:
        leader = await cluster.wait_for_leader()
        assert await commit(leader, "kept")

        def fail(*_: object) -> None:
            raise IndexError

        assert leader.replica is not None
        monkeypatch.setattr(leader.replica.raft.replication, "propose", fail)
        barrier: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        leader.read_barrier(barrier.set_result)
        assert not await commit(leader, "lost") and leader.storage_failures == 1
        assert await barrier in (True, False)
        await until(lambda: leader.leads() and bodies(leader) == ["kept"])
        assert await commit(leader, "next")

    run_cluster(tmp_path, 1, scenario)
