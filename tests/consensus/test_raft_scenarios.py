"""Raft scenarios: rules of the paper and the thesis that only matter in a specific order of events."""

from collections.abc import Callable

import pytest

from ploverspoke.consensus import replication
from ploverspoke.consensus.membership import Member
from ploverspoke.consensus.raft import Raft
from ploverspoke.consensus.raft_state import Role
from ploverspoke.consensus.wire_messages import InstallSnapshot, Message
from ploverspoke.transport.units import MILLISECOND
from tests.consensus.raft_faults import commits_older_terms, installs_snapshot_over_newer_entries
from tests.consensus.simulated_cluster import InvariantViolationError, SimulatedCluster
from tests.consensus.simulated_replica import (
    FaultInjector,
    SimulatedReplica,
    SimulatedStorage,
    no_fault,
)


def run_until(
    cluster: SimulatedCluster, connected: set[str], candidate: str, condition: Callable[[Raft], bool]
) -> None:
    """Run the connected replicas until the candidate meets `condition`; only the candidate times out."""
    raft = cluster.nodes[candidate].replica.raft
    for _ in range(400):
        cluster.now += 5 * MILLISECOND
        for name in sorted(connected):
            if name == candidate:
                cluster.nodes[name].tick_if_due()
            cluster.nodes[name].write_all()
        cluster.deliver_all(lambda sender, to: {sender, to} <= connected and not condition(raft))
        if condition(raft):
            return
    raise AssertionError("the condition was not met within 400 steps")


def is_leader(raft: Raft) -> bool:
    return raft.role is Role.LEADER


def crash(cluster: SimulatedCluster, node: SimulatedReplica) -> None:
    """Crash a replica and drop all messages in flight."""
    node.crash()
    cluster.in_flight.clear()


@pytest.mark.parametrize("fault", [no_fault, commits_older_terms])
def test_entry_of_older_term_is_not_committed_by_counting_replicas(
    fault: FaultInjector, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A majority has an entry of an older term, and another leader replaces it (paper, figure 8)."""
    monkeypatch.setattr(replication, "MAX_ENTRIES_PER_MESSAGE", 1)
    cluster = SimulatedCluster(1, 3, fault)
    first, second = cluster.nodes["n0"], cluster.nodes["n1"]

    def has_replicated_noop(raft: Raft) -> bool:
        followers = raft.leadership.followers.values()
        return all(follower.match_index == 1 for follower in followers) and raft.commit_index == 1

    def has_replicated_old_entry(raft: Raft) -> bool:
        return is_leader(raft) and raft.leadership.followers["n2"].match_index == 2

    def elect_second_again() -> None:
        crash(cluster, first)
        second.start()
        run_until(cluster, {"n1", "n2"}, "n1", is_leader)

    run_until(cluster, set(cluster.nodes), "n0", has_replicated_noop)
    cluster.propose(first)
    first.write_all()  # only on its own disk
    crash(cluster, first)
    run_until(cluster, {"n1", "n2"}, "n1", is_leader)
    second.write_all()  # its first entry is only on its own disk
    crash(cluster, second)
    first.start()
    run_until(cluster, {"n0", "n2"}, "n0", has_replicated_old_entry)
    if fault is no_fault:
        assert first.replica.raft.commit_index <= 1
        elect_second_again()
    else:
        with pytest.raises(InvariantViolationError, match="lacks committed"):
            elect_second_again()


@pytest.mark.parametrize("fault", [no_fault, installs_snapshot_over_newer_entries])
def test_late_snapshot_does_not_replace_newer_entries(fault: FaultInjector) -> None:
    cluster = SimulatedCluster(2, 3, fault)
    cluster.settle()
    leader = cluster.settled_leader()
    lagging = next(node for node in cluster.nodes.values() if node is not leader)
    lagging.storage = SimulatedStorage(cluster.members, lagging.storage.storage_id)
    cluster.compact(leader)
    lagging.start()
    chunks: list[InstallSnapshot] = []
    send = cluster.send

    def record_and_send(sender: str, to: str, message: Message, incarnation: int) -> None:
        if isinstance(message, InstallSnapshot):
            chunks.append(message)
        send(sender, to, message, incarnation)

    cluster.send = record_and_send  # type: ignore[method-assign]
    for _ in range(2):
        cluster.settle()
    assert chunks and lagging.replica.applied_index > chunks[-1].last_index
    lagging.replica.raft.receive(leader.name, chunks[-1])
    if fault is no_fault:
        cluster.check()
    else:
        with pytest.raises(InvariantViolationError, match="goes back"):
            cluster.check()


def test_leader_steps_down_when_quorum_is_lost_after_its_lease_has_expired() -> None:
    cluster = SimulatedCluster(5, 3)
    leader = cluster.settled_leader()
    assert leader.replica.leads()
    cluster.partitioned = {leader.name}
    cluster.now += 190 * MILLISECOND
    leader.replica.raft.tick()
    assert not leader.replica.leads()
    cluster.now += 60 * MILLISECOND
    leader.replica.raft.tick()
    assert leader.replica.raft.role is Role.FOLLOWER


def test_leadership_transfer_needs_no_election_timeout() -> None:
    cluster = SimulatedCluster(6, 3)
    leader = cluster.settled_leader()
    target = next(name for name in cluster.nodes if name != leader.name)
    before = cluster.now
    assert leader.replica.raft.transfer_leadership(target)
    for _ in range(20):
        for node in cluster.nodes.values():
            node.write_all()
        cluster.deliver_all()
    assert cluster.nodes[target].is_leader() and cluster.now == before


def test_replica_with_exchanged_storage_counts_in_no_majority() -> None:
    cluster = SimulatedCluster(7, 3)
    leader = cluster.settled_leader()
    wiped, healthy = [node for node in cluster.nodes.values() if node is not leader]
    wiped.storage = SimulatedStorage(cluster.members, "another storage")
    wiped.start()
    healthy.crash()
    committed = cluster.last_committed
    for _ in range(300):
        cluster.now += 2 * MILLISECOND
        leader.replica.raft.tick()
        for node in (leader, wiped):
            node.write_all()
        cluster.deliver_all(lambda sender, to: cluster.nodes[to].is_running)
        if leader.is_leader() and cluster.now % (20 * MILLISECOND) == 0:
            cluster.propose(leader)
    assert cluster.last_committed == committed, "an entry was committed by counting a replaced disk"


def test_second_membership_change_is_refused_until_the_first_is_committed() -> None:
    cluster = SimulatedCluster(8, 3, spare_replicas=2)
    leader = cluster.settled_leader()
    raft = leader.replica.raft
    with_one_more = {**raft.members(), "n3": Member("n3", "", "", votes=True)}
    assert raft.change_members(with_one_more)
    assert not raft.change_members({**with_one_more, "n4": Member("n4", "", "", votes=True)})
    two_members = {name: member for name, member in with_one_more.items() if name in ("n0", "n1")}
    assert not raft.change_members(two_members), "it would change two voters at once"
    cluster.settle()
    assert len(cluster.nodes["n3"].state_machine.values) == len(leader.state_machine.values)
