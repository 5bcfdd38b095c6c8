"""Consensus through every interleaving that seeds draw, and faults that the explorer must find."""

import itertools
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from typing import Any

import pytest

from ploverspoke.consensus import replication
from ploverspoke.consensus.membership import Member
from ploverspoke.consensus.raft import Raft
from ploverspoke.consensus.raft_state import Role
from ploverspoke.consensus.wire_messages import AppendEntries, InstallSnapshot, Message, RequestVote
from tests.consensus.raft_simulation import (
    MILLISECOND,
    WORKER_PROCESSES,
    InvariantViolationError,
    PlantFault,
    SimulatedCluster,
    explore,
    no_fault,
    sweep,
)

RUNS_LONG = True  # scheduled first: see tests/conftest.py

EACH = 250  # schedules of one job
KINDS = [(3, 300, 0, False), (5, 300, 0, False), (3, 300, 1, False), (3, 300, 0, True)]
JOBS = [(n * EACH, EACH, *kind) for n in range(20) for kind in KINDS]


def test_twenty_thousand_schedules_keep_the_invariants() -> None:
    with ProcessPoolExecutor(WORKER_PROCESSES, mp_context=get_context("spawn")) as pool:
        found = list(pool.map(sweep, JOBS))
    total = {
        key: sum(f.get(key, 0) for f in found) for key in ("committed", "terms", "reads", "acknowledged")
    }
    # A schedule in which nothing happens proves nothing.
    assert total["acknowledged"] > len(JOBS) * EACH and total["reads"] > 5_000 and total["terms"] > 10_000


def votes_twice_in_a_term(raft: Raft) -> None:
    handle = raft.handlers[RequestVote]

    def faulty(sender: str, message: RequestVote) -> None:
        raft.state.voted_for = ""
        handle(sender, message)

    raft.handlers[RequestVote] = faulty


def commits_older_terms(raft: Raft) -> None:
    def faulty() -> None:
        index = raft.leadership.replicated_index()
        if index > raft.commit_index:
            raft.state.commit_to(index)

    monkeypatched: Any = raft.replication
    monkeypatched.advance_commit_index = faulty


def acknowledges_before_sync(raft: Raft) -> None:
    handle = raft.handlers[AppendEntries]
    replica: Any = raft.state.environment

    def faulty(sender: str, message: AppendEntries) -> None:
        kept, replica.batch.messages = replica.batch.messages, []
        handle(sender, message)
        for to, reply in replica.batch.messages:
            replica.send_now(to, reply)
        replica.batch.messages = kept

    raft.handlers[AppendEntries] = faulty


def reads_without_heartbeat(raft: Raft) -> None:
    def faulty(token: int) -> None:
        if raft.role is Role.LEADER:
            raft.state.environment.on_read_ready(token, raft.commit_index)
        else:
            raft.state.environment.on_read_failed(token)

    monkeypatched: Any = raft.reads
    monkeypatched.read = faulty


def installs_snapshot_over_newer_entries(raft: Raft) -> None:
    handle = raft.handlers[InstallSnapshot]

    def faulty(sender: str, message: InstallSnapshot) -> None:
        raft.state.commit_index = min(raft.commit_index, message.last_index - 1)
        handle(sender, message)

    raft.handlers[InstallSnapshot] = faulty


FAULTS = [votes_twice_in_a_term, acknowledges_before_sync, reads_without_heartbeat]


@pytest.mark.parametrize("fault", FAULTS)
def test_a_planted_fault_is_found(fault: PlantFault, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(replication, "MAX_ENTRIES_PER_MESSAGE", 1)
    with pytest.raises(InvariantViolationError):
        for seed in range(8000):
            explore(seed, 3, 400, fault, stormy=True)


def drive(world: SimulatedCluster, among: set[str], stands: str, until: Callable[[Raft], bool]) -> None:
    """Only those hear one another, and only one of them stands, until its machine has come so far."""
    for _ in range(400):
        world.now += 5 * MILLISECOND
        for name in sorted(among):
            node = world.nodes[name]
            if name == stands and node.replica.raft.next_tick() <= world.now:
                node.replica.raft.tick()
            node.write(True)
            node.write(True)
        box, world.in_flight = world.in_flight, []
        for sender, to, message in box:
            if {sender, to} <= among and not until(world.nodes[stands].replica.raft):
                world.nodes[to].replica.raft.receive(sender, message)
        if until(world.nodes[stands].replica.raft):
            return
    raise AssertionError("it did not come so far")


@pytest.mark.parametrize("fault", [no_fault, commits_older_terms])
def test_an_older_term_is_not_committed_by_count(fault: PlantFault, monkeypatch: pytest.MonkeyPatch) -> None:
    """The published schedule in which a majority has an entry and another leader replaces it (figure 8)."""
    monkeypatch.setattr(replication, "MAX_ENTRIES_PER_MESSAGE", 1)
    world = SimulatedCluster(1, 3, fault)
    one, two, three = (world.nodes[n] for n in ("n0", "n1", "n2"))

    def second_leader_comes() -> None:
        one.crash()
        world.in_flight.clear()
        two.start()
        drive(world, {"n1", "n2"}, "n1", lambda r: r.role is Role.LEADER)

    drive(
        world,
        set(world.nodes),
        "n0",
        lambda r: all(f.match_index == 1 for f in r.leadership.followers.values()) and r.commit_index == 1,
    )
    world.propose(one)
    one.write(True)
    one.write(True)  # on one disk, and on no other
    one.crash()
    world.in_flight.clear()
    drive(world, {"n1", "n2"}, "n1", lambda r: r.role is Role.LEADER)
    two.write(True)
    two.write(True)  # its first entry is on its own disk only
    two.crash()
    world.in_flight.clear()
    one.start()
    drive(
        world,
        {"n0", "n2"},
        "n0",
        lambda r: r.role is Role.LEADER and r.leadership.followers["n2"].match_index == 2,
    )
    if fault is no_fault:
        assert one.replica.raft.commit_index <= 1
        second_leader_comes()
    else:
        with pytest.raises(InvariantViolationError, match="lacks committed"):
            second_leader_comes()


@pytest.mark.parametrize("fault", [no_fault, installs_snapshot_over_newer_entries])
def test_a_snapshot_that_comes_late_takes_nothing_back(fault: PlantFault) -> None:
    world = SimulatedCluster(2, 3, fault)
    for _ in range(2):
        world.settle()
    [node] = [n for n in world.nodes.values() if n.replica.raft.role is Role.LEADER]
    behind = next(n for n in world.nodes.values() if n is not node)
    behind.storage = type(behind.storage)(world.members, behind.storage.storage_id)
    world.compact(node)
    behind.start()
    chunks: list[InstallSnapshot] = []
    post = world.send

    def noted(sender: str, to: str, message: Message, incarnation: int) -> None:
        chunks.extend([message] if isinstance(message, InstallSnapshot) else [])
        post(sender, to, message, incarnation)

    world.send = noted  # type: ignore[method-assign]
    for _ in range(2):
        world.settle()
    assert chunks and behind.replica.applied_index > chunks[-1].last_index
    behind.replica.raft.receive(node.name, chunks[-1])
    if fault is no_fault:
        world.check()
    else:
        with pytest.raises(InvariantViolationError, match="goes back"):
            world.check()


def test_a_seed_replays_its_schedule() -> None:
    one, other = explore(11, 3, 400), explore(11, 3, 400)
    assert (
        one.committed_entries == other.committed_entries
        and one.leaders == other.leaders
        and one.now == other.now
    )


def test_all_short_orders_of_a_contested_election_give_one_leader() -> None:
    """Exhaustive to a small depth: three machines, two of which stand, every order of what is on the way."""
    seen = 0
    for order in itertools.product(range(3), repeat=7):
        world = SimulatedCluster(0, 3)
        world.now += 500 * MILLISECOND
        for name in ("n0", "n1"):
            world.nodes[name].replica.raft.tick()
        for turn in order:
            for node in world.nodes.values():
                node.write(True)
                node.write(True)
            if world.in_flight:
                world.deliver(turn % len(world.in_flight))
            world.check()
        seen += len(world.leaders)
    assert seen > 0


def led(world: SimulatedCluster) -> Any:
    """The leader once all is settled."""
    world.settle()
    [node] = [n for n in world.nodes.values() if n.replica.raft.role is Role.LEADER]
    return node


def test_a_leader_that_hears_no_majority_steps_down_and_its_lease_is_over_before_that() -> None:
    world = SimulatedCluster(5, 3)
    node = led(world)
    assert node.replica.leads()
    world.partitioned = {node.name}
    world.now += 190 * MILLISECOND
    node.replica.raft.tick()
    assert not node.replica.leads()
    world.now += 60 * MILLISECOND
    node.replica.raft.tick()
    assert node.replica.raft.role == "follower"


def test_leadership_is_handed_over_without_an_election_time_out() -> None:
    world = SimulatedCluster(6, 3)
    node = led(world)
    other = next(n for n in world.nodes if n != node.name)
    before = world.now
    assert node.replica.raft.transfer_leadership(other)
    for _ in range(20):
        for each in world.nodes.values():
            each.write(True)
            each.write(True)
        box, world.in_flight = world.in_flight, []
        for sender, to, message in box:
            world.nodes[to].replica.raft.receive(sender, message)
    assert world.nodes[other].replica.raft.role is Role.LEADER and world.now == before


def test_a_member_that_comes_back_on_another_disk_is_not_counted() -> None:
    world = SimulatedCluster(7, 3)
    node = led(world)
    wiped, healthy = [n for n in world.nodes.values() if n is not node]
    wiped.storage = type(wiped.storage)(world.members, "another disk")
    wiped.start()
    healthy.crash()
    done = world.last_committed
    for _ in range(300):
        world.now += 2 * MILLISECOND
        node.replica.raft.tick()
        for each in (node, wiped):
            each.write(True)
            each.write(True)
        box, world.in_flight = world.in_flight, []
        for sender, to, message in box:
            if world.nodes[to].is_running:
                world.nodes[to].replica.raft.receive(sender, message)
        if node.replica.raft.role is Role.LEADER and world.now % (20 * MILLISECOND) == 0:
            world.propose(node)
    assert world.last_committed == done, "two disks of three have it, and one of them is new"


def test_a_second_change_of_members_waits_for_the_first() -> None:
    world = SimulatedCluster(8, 3, spare=2)
    node = led(world)
    leader = node.replica.raft
    one = {**leader.members(), "n3": Member("n3", "", "", votes=True)}
    assert leader.change_members(one)
    assert not leader.change_members({**one, "n4": Member("n4", "", "", votes=True)})
    assert not leader.change_members({k: v for k, v in one.items() if k in ("n0", "n1")}), "two at once"
    world.settle()
    assert len(world.nodes["n3"].state_machine.values) == len(node.state_machine.values)
