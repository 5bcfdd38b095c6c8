"""Drives consensus machines through seeded schedules of everything that can go wrong, and checks after each
step.

A schedule is named by its seed: `explore(seed, ...)` replays it to the letter. What is unsynced is lost in a
crash.
"""

import random as random_module
from collections import defaultdict
from collections.abc import Callable
from os import sched_getaffinity
from typing import Any

from ploverspoke.consensus.log import Entry, EntryKind, Log, Snapshot
from ploverspoke.consensus.membership import Member, Members, majority, voters
from ploverspoke.consensus.persisted_state import PersistedState, WriteBatch
from ploverspoke.consensus.raft import Raft
from ploverspoke.consensus.raft_state import Role
from ploverspoke.consensus.replica import Replica, Runtime
from ploverspoke.consensus.wire_messages import Message

MILLISECOND = 1_000_000
WORKER_PROCESSES = max(
    1, len(sched_getaffinity(0)) // 2
)  # of a sweep: the other cores are for tests beside it


class InvariantViolationError(AssertionError):
    """An invariant does not hold."""


def require(holds: bool, what: str) -> None:
    if not holds:
        raise InvariantViolationError(what)


PlantFault = Callable[[Raft], None]  # replaces a part of a machine that has just been put together


def no_fault(raft: Raft) -> None:
    """Leave the machine as it is."""


class SimulatedStorage:
    """What a replica finds after a crash: whole batches or nothing."""

    def __init__(self, members: Members, storage_id: str) -> None:
        self.current_term = 0
        self.voted_for = ""
        self.snapshot = Snapshot(0, 0, members, b"")
        self.entries: list[Entry] = []
        self.storage_id = storage_id

    def load(self) -> PersistedState:
        log = Log(self.snapshot.index, self.snapshot.term)
        log.append(list(self.entries))
        return PersistedState(
            members=self.snapshot.members,
            current_term=self.current_term,
            voted_for=self.voted_for,
            log=log,
            snapshot_data=self.snapshot.data,
            storage_id=self.storage_id,
        )

    def write(self, batch: WriteBatch) -> None:
        if batch.vote is not None:
            self.current_term, self.voted_for = batch.vote
        if batch.snapshot is not None:
            self.snapshot = batch.snapshot
            self.entries = []
        if batch.truncate_from:
            self.entries = [entry for entry in self.entries if entry.index < batch.truncate_from]
        self.entries += batch.entries

    def save_snapshot(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.entries = [entry for entry in self.entries if entry.index > snapshot.index]

    def has(self, entry: Entry) -> bool:
        if entry.index <= self.snapshot.index:
            return True
        position = entry.index - self.snapshot.index - 1
        return position < len(self.entries) and self.entries[position].term == entry.term


class RecordingStateMachine:
    """A state that is the list of what was applied."""

    def __init__(self) -> None:
        self.values: list[str] = []

    def apply(self, index: int, command: str) -> None:
        self.values.append(command)

    def take_snapshot(self) -> bytes:
        return "\n".join(self.values).encode()

    def restore_snapshot(self, data: bytes) -> None:
        self.values = data.decode().split("\n") if data else []


class SimulatedReplica:
    applied = 0  # since its start
    state_machine_type: Any = RecordingStateMachine

    def __init__(self, cluster: "SimulatedCluster", name: str) -> None:
        self.cluster = cluster
        self.name = name
        self.storage = SimulatedStorage(cluster.members, f"storage of {name}")
        self.incarnation = 0
        self.is_running = False
        self.writing: WriteBatch | None = None
        self.start()

    def start(self) -> None:
        self.is_running = True
        self.incarnation += 1
        self.applied = 0
        self.state_machine = self.state_machine_type()
        self.writing = None
        incarnation = self.incarnation
        self.replica = Replica(
            self.name,
            self.storage.load(),
            self.state_machine,
            Runtime(
                lambda: self.cluster.now,
                self.cluster.random.random,
                lambda to, message: self.cluster.send(self.name, to, message, incarnation),
            ),
        )
        self.cluster.plant_fault(self.replica.raft)
        self.replica.role_listeners.append(self.role_changed)
        on_entry_committed = self.replica.on_entry_committed

        def checked(entry: Entry) -> None:
            self.cluster.committed(self, entry)
            on_entry_committed(entry)

        self.replica.on_entry_committed = checked  # type: ignore[method-assign]

    def crash(self) -> None:
        self.is_running = False

    def role_changed(self, role: Role, leader: str) -> None:
        if role is Role.LEADER:
            self.cluster.elected(self)

    def write(self, finish: bool) -> None:
        """Take a batch, or finish the one that is being written."""
        if self.writing is not None:
            if finish:
                batch, self.writing = self.writing, None
                self.storage.write(batch)
                self.replica.on_batch_written(batch)
        elif not self.replica.batch.is_empty():
            self.writing = self.replica.take_batch()


class SimulatedCluster:
    replica_type: type[SimulatedReplica] = SimulatedReplica

    def __init__(
        self, seed: int, size: int, plant_fault: PlantFault = no_fault, spare: int = 0, stormy: bool = False
    ) -> None:
        self.random = random_module.Random(seed)
        self.plant_fault = plant_fault
        self.stormy = stormy  # leaders seldom live long, and snapshots are many
        self.now = 1000 * MILLISECOND
        names = [f"n{i}" for i in range(size + spare)]
        self.members: Members = {n: Member(n, "", "", votes=True) for n in names[:size]}
        self.in_flight: list[tuple[str, str, Message]] = []
        self.leaders: dict[int, str] = {}
        self.terms: dict[tuple[int, int], tuple[Any, int]] = {}  # by index and term: data, term before
        self.committed_entries: dict[int, Entry] = {}
        self.last_committed = 0
        self.partitioned: set[str] = set()
        self.proposed = 0
        self.acknowledged: list[str] = []
        self.reads = 0
        self.steps = 0
        self.nodes: dict[str, SimulatedReplica] = {}
        for n in names:
            self.nodes[n] = self.replica_type(self, n)

    # ---- The network ----

    def send(self, sender: str, to: str, message: Message, incarnation: int) -> None:
        node = self.nodes.get(sender)
        if to in self.nodes and (node is None or node.incarnation == incarnation):
            self.in_flight.append((sender, to, message))

    def deliver(self, at: int, keep: bool = False) -> None:
        sender, to, message = self.in_flight[at] if keep else self.in_flight.pop(at)
        if self.nodes[to].is_running and (sender in self.partitioned) == (to in self.partitioned):
            self.nodes[to].replica.raft.receive(sender, message)

    # ---- What must hold ----

    def elected(self, node: SimulatedReplica) -> None:
        raft = node.replica.raft
        holder = self.leaders.setdefault(raft.current_term, node.name)
        require(holder == node.name, f"two leaders of term {raft.current_term}: {holder}, {node.name}")
        for index in range(raft.log.snapshot_index + 1, self.last_committed + 1):
            entry = self.committed_entries[index]
            require(
                raft.log.term_at(index) == entry.term, f"leader {node.name} lacks committed entry {index}"
            )
        require(raft.log.last_index() >= self.last_committed, f"leader {node.name} lacks committed entries")

    def committed(self, node: SimulatedReplica, entry: Entry) -> None:
        known = self.committed_entries.setdefault(entry.index, entry)
        require(known == entry, f"{node.name} applied another entry {entry.index}")
        if entry.index > self.last_committed:
            require(
                entry.index == self.last_committed + 1,
                f"entry {entry.index} is committed before {self.last_committed + 1}",
            )
            self.last_committed = entry.index
            members = node.replica.raft.members()
            have = sum(self.nodes[n].storage.has(entry) for n in voters(members))
            require(
                have >= majority(members), f"entry {entry.index} is committed, but only {have} disks have it"
            )

    def check(self) -> None:
        for node in self.nodes.values():
            if not node.is_running:
                continue
            require(node.replica.applied_index >= node.applied, f"the state of {node.name} goes back")
            node.applied = node.replica.applied_index
            log = node.replica.raft.log
            before = log.snapshot_term
            for entry in log.entries[-4:] if len(log.entries) > 4 else log.entries:
                if entry.index - 1 > log.snapshot_index:
                    before = log.get(entry.index - 1).term
                known = self.terms.setdefault((entry.index, entry.term), (entry.data, before))
                require(known == (entry.data, before), f"logs differ at {entry.index} of term {entry.term}")
            require(node.replica.raft.commit_index <= log.last_index(), "more is committed than there is")
            data = [self.committed_entries[i] for i in range(1, node.replica.applied_index + 1)]
            wanted = sum(e.kind is EntryKind.DATA for e in data)
            require(
                len(node.state_machine.values) == wanted,
                f"{node.name} has applied {len(node.state_machine.values)} of {wanted}",
            )

    # ---- What happens ----

    def propose(self, node: SimulatedReplica) -> None:
        self.proposed += 1
        value = f"v{self.proposed}"

        def told(yes: bool) -> None:
            if yes:
                require(value in node.state_machine.values, f"{value} was acknowledged and is not there")
                self.acknowledged.append(value)

        node.replica.propose([value], told)

    def read(self, node: SimulatedReplica) -> None:
        wanted = self.last_committed

        def told(yes: bool) -> None:
            if yes:
                self.reads += 1
                require(
                    node.replica.applied_index >= wanted,
                    f"{node.name} read {node.replica.applied_index}, {wanted} is old",
                )

        node.replica.read(told)

    def compact(self, node: SimulatedReplica) -> None:
        replica = node.replica
        index = replica.applied_index
        term = replica.raft.log.term_at(index)
        if index > replica.raft.log.snapshot_index and term is not None and node.writing is None:
            if not replica.batch.is_empty():
                return
            snapshot = Snapshot(
                index, term, replica.raft.members_at(index), node.state_machine.take_snapshot()
            )
            node.storage.save_snapshot(snapshot)
            replica.on_snapshot_written(snapshot)

    def change_members(self, node: SimulatedReplica) -> None:
        members = dict(node.replica.raft.members())
        name = self.random.choice(list(self.nodes))
        if name not in members:
            members[name] = Member(name, "", "", votes=False)
        elif not members[name].votes:
            members[name] = Member(name, "", "", votes=True)
        elif len(voters(members)) > 2:
            del members[name]
        node.replica.raft.change_members(members)

    def step(self) -> None:
        """One thing happens, drawn at random."""
        self.steps += 1
        roll, random = self.random.random(), self.random
        node = random.choice(list(self.nodes.values()))
        if self.stormy and random.random() < 0.06:
            self._storm()
        if roll < 0.42 and self.in_flight:
            for _ in range(random.choice([1, 2, 4, 8])):
                if self.in_flight:
                    self.deliver(random.randrange(len(self.in_flight)) if random.random() < 0.2 else 0)
        elif roll < 0.62:
            for each in self.nodes.values():
                if each.is_running and (each is node or random.random() < 0.6):
                    each.write(random.random() < 0.8)
                    each.write(random.random() < 0.6)
        elif roll < 0.72:
            self.now += random.choice([1, 5, 20, 40, 90]) * MILLISECOND
            for each in self.nodes.values():
                if each.is_running and each.replica.raft.next_tick() <= self.now and random.random() < 0.7:
                    each.replica.raft.tick()
        elif roll < 0.86:
            if node.is_running and node.replica.raft.role is Role.LEADER:
                self.propose(node)
        elif roll < 0.90:
            if node.is_running:
                self.read(node)
        elif roll < 0.92 and self.in_flight:
            self.in_flight.pop(random.randrange(len(self.in_flight)))
        elif roll < 0.94 and self.in_flight:
            self.deliver(random.randrange(len(self.in_flight)), keep=True)
        elif roll < 0.955:
            if not node.is_running:
                node.start()
            elif random.random() < 0.5:
                node.crash()
        elif roll < 0.958:
            self.partitioned = (
                set() if self.partitioned else set(random.sample(list(self.nodes), random.choice([1, 1, 2])))
            )
        elif roll < 0.98:
            if node.is_running:
                self.compact(node)
        elif roll < 0.985:
            if node.is_running:
                node.replica.raft.transfer_leadership(random.choice(list(self.nodes)))
        elif roll < 0.99 and len(self.nodes) > len(self.members):
            if node.is_running:
                self.change_members(node)
        elif not node.is_running:
            node.start()
        self.check()

    def _storm(self) -> None:
        leader = next(
            (n for n in self.nodes.values() if n.is_running and n.replica.raft.role is Role.LEADER), None
        )
        kind = self.random.randrange(4)
        if kind == 0 and leader is not None:
            leader.crash()
        elif kind == 1 and leader is not None:
            self.compact(leader)
        elif kind == 2 and self.in_flight:
            self.in_flight.append(self.random.choice(self.in_flight))
        else:
            for node in self.nodes.values():
                if not node.is_running:
                    node.start()

    def settle(self, steps: int = 3000) -> None:
        """Everything is well again: a leader must come, and what it takes must be committed everywhere."""
        self.partitioned = set()
        for node in self.nodes.values():
            if not node.is_running:
                node.start()
        for step in range(steps):
            self.now += 2 * MILLISECOND
            for node in self.nodes.values():
                if node.replica.raft.next_tick() <= self.now:
                    node.replica.raft.tick()
                node.write(True)
                node.write(True)
            box, self.in_flight = self.in_flight, []
            for sender, to, message in box:
                self.nodes[to].replica.raft.receive(sender, message)
            leaders = [n for n in self.nodes.values() if n.replica.raft.role is Role.LEADER]
            if leaders and step % 25 == 0 and step < steps // 2:
                self.propose(leaders[-1])
            members = leaders[-1].replica.raft.members() if leaders else {}
            if (
                leaders
                and self.last_committed > 3
                and all(
                    self.nodes[n].replica.applied_index
                    == self.last_committed
                    == leaders[-1].replica.raft.log.last_index()
                    for n in voters(members)
                )
            ):
                self.check()
                return
        raise InvariantViolationError("no leader that commits, though all is well")


def explore(
    seed: int, size: int, steps: int, plant_fault: PlantFault = no_fault, spare: int = 0, stormy: bool = False
) -> SimulatedCluster:
    """Run one schedule.

    Raises InvariantViolationError, or what the machine raises, with a note of the seed that replays it.
    """
    world = SimulatedCluster(seed, size, plant_fault, spare, stormy)
    try:
        for _ in range(steps):
            world.step()
    except Exception as error:
        error.add_note(f"seed {seed}, size {size}, step {world.steps}")
        raise
    return world


def sweep(job: tuple[int, int, int, int, int, bool]) -> dict[str, int]:
    """Many schedules of one kind, for a process of its own: first seed, how many, size, steps, spare
    nodes.
    """
    first, count, size, steps, spare, stormy = job
    found: dict[str, int] = defaultdict(int)
    for seed in range(first, first + count):
        world = explore(seed, size, steps, spare=spare, stormy=stormy)
        found["committed"] += world.last_committed
        found["terms"] += len(world.leaders)
        found["reads"] += world.reads
        found["acknowledged"] += len(world.acknowledged)
        if seed % 50 == 0:
            world.settle()
    return dict(found)
