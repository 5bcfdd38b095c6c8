"""Simulates clusters without I/O: seeded schedules of everything that can go wrong, with invariants that are
checked after each step.

A schedule is named by its seed: `explore(seed, ...)` replays it to the letter. What is not synced is lost in
a crash. `leases/lease_simulation.py` puts lease servers on these replicas.
"""

import random as random_module
from collections import defaultdict
from collections.abc import Callable
from os import sched_getaffinity
from typing import Any, NamedTuple

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


STORM_PROBABILITY = 0.06  # of a step
CHECKED_ENTRIES = 4  # the latest of each log, after each step


class InvariantViolationError(AssertionError):
    """An invariant does not hold."""


def require(holds: bool, violation: str) -> None:
    """Raise InvariantViolationError unless the invariant holds."""
    if not holds:
        raise InvariantViolationError(violation)


FaultInjector = Callable[[Raft], None]  # replaces a part of a Raft that was just built


def no_fault(raft: Raft) -> None:
    """Inject none."""


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
    """One replica with its storage, which outlives crashes."""

    state_machine_type: Any = RecordingStateMachine

    def __init__(self, cluster: "SimulatedCluster", name: str) -> None:
        self.cluster = cluster
        self.name = name
        self.storage = SimulatedStorage(cluster.members, f"storage of {name}")
        self.incarnation = 0
        self.is_running = False
        self.writing: WriteBatch | None = None
        self.checked_index = 0  # the highest applied index that was checked since the start
        self.start()

    def start(self) -> None:
        self.is_running = True
        self.incarnation += 1
        self.checked_index = 0
        self.state_machine = self.state_machine_type()
        self.writing = None
        incarnation = self.incarnation
        runtime = Runtime(
            lambda: self.cluster.now,
            self.cluster.random.random,
            lambda to, message: self.cluster.send(self.name, to, message, incarnation),
        )
        self.replica = Replica(self.name, self.storage.load(), self.state_machine, runtime)
        self.cluster.inject_fault(self.replica.raft)
        self.replica.role_listeners.append(self.role_changed)
        on_entry_committed = self.replica.on_entry_committed

        def check_and_commit(entry: Entry) -> None:
            self.cluster.check_committed(self, entry)
            on_entry_committed(entry)

        self.replica.on_entry_committed = check_and_commit  # type: ignore[method-assign]

    def crash(self) -> None:
        self.is_running = False

    def is_leader(self) -> bool:
        return self.is_running and self.replica.raft.role is Role.LEADER

    def role_changed(self, role: Role, leader: str) -> None:
        if role is Role.LEADER:
            self.cluster.check_elected(self)

    def write(self, finish: bool) -> None:
        """Take a batch, or finish the one that is being written."""
        if self.writing is not None:
            if finish:
                batch, self.writing = self.writing, None
                self.storage.write(batch)
                self.replica.on_batch_written(batch)
        elif not self.replica.batch.is_empty():
            self.writing = self.replica.take_batch()

    def write_all(self) -> None:
        """Finish the batch that is being written and take one, or take one and finish it."""
        self.write(finish=True)
        self.write(finish=True)

    def tick_if_due(self) -> None:
        if self.replica.raft.next_tick() <= self.cluster.now:
            self.replica.raft.tick()


Action = Callable[[SimulatedReplica], None]


class SimulatedCluster:
    """Replicas, the messages among them, and the invariants of Raft (paper, figure 3)."""

    replica_type: type[SimulatedReplica] = SimulatedReplica

    def __init__(
        self,
        seed: int,
        size: int,
        inject_fault: FaultInjector = no_fault,
        spare: int = 0,
        stormy: bool = False,
    ) -> None:
        """`size` members and `spare` replicas that may become ones; `stormy`: leaders seldom live long."""
        self.random = random_module.Random(seed)
        self.inject_fault = inject_fault
        self.stormy = stormy
        self.now = 1000 * MILLISECOND
        names = [f"n{number}" for number in range(size + spare)]
        self.members: Members = {name: Member(name, "", "", votes=True) for name in names[:size]}
        self.in_flight: list[tuple[str, str, Message]] = []  # sender, receiver, message
        self.partitioned: set[str] = set()  # these and the others do not reach one another
        self.leaders: dict[int, str] = {}  # by term
        # What stands at an index and term: the data, and the term of the entry before.
        self.entries_seen: dict[tuple[int, int], tuple[Any, int]] = {}
        self.committed_entries: dict[int, Entry] = {}
        self.last_committed = 0
        self.proposed = 0
        self.acknowledged: list[str] = []
        self.reads = 0
        self.steps = 0
        self.nodes: dict[str, SimulatedReplica] = {}
        for name in names:
            self.nodes[name] = self.replica_type(self, name)

    # ---- The network ----

    def send(self, sender: str, to: str, message: Message, incarnation: int) -> None:
        node = self.nodes.get(sender)
        if to in self.nodes and (node is None or node.incarnation == incarnation):
            self.in_flight.append((sender, to, message))

    def deliver(self, position: int, keep: bool = False) -> None:
        sender, to, message = self.in_flight[position] if keep else self.in_flight.pop(position)
        if self.nodes[to].is_running and (sender in self.partitioned) == (to in self.partitioned):
            self.nodes[to].replica.raft.receive(sender, message)

    def deliver_all(self, reaches: Callable[[str, str], bool] = lambda sender, to: True) -> None:
        """Deliver what is in flight now, in order; what does not reach its receiver is lost."""
        messages, self.in_flight = self.in_flight, []
        for sender, to, message in messages:
            if reaches(sender, to):
                self.nodes[to].replica.raft.receive(sender, message)

    # ---- Invariants ----

    def check_elected(self, node: SimulatedReplica) -> None:
        """Election safety and leader completeness."""
        raft = node.replica.raft
        leader = self.leaders.setdefault(raft.current_term, node.name)
        require(leader == node.name, f"two leaders of term {raft.current_term}: {leader}, {node.name}")
        for index in range(raft.log.snapshot_index + 1, self.last_committed + 1):
            has_it = raft.log.term_at(index) == self.committed_entries[index].term
            require(has_it, f"leader {node.name} lacks committed entry {index}")
        require(raft.log.last_index() >= self.last_committed, f"leader {node.name} lacks committed entries")

    def check_committed(self, node: SimulatedReplica, entry: Entry) -> None:
        """State machine safety, and that a majority has stored what is committed."""
        known = self.committed_entries.setdefault(entry.index, entry)
        require(known == entry, f"{node.name} applied another entry {entry.index}")
        if entry.index <= self.last_committed:
            return
        expected = self.last_committed + 1
        require(entry.index == expected, f"entry {entry.index} is committed before {expected}")
        self.last_committed = entry.index
        members = node.replica.raft.members()
        have = sum(self.nodes[name].storage.has(entry) for name in voters(members))
        is_majority = have >= majority(members)
        require(is_majority, f"entry {entry.index} is committed, but only {have} disks have it")

    def check(self) -> None:
        """Check what must hold at any time."""
        for node in self.nodes.values():
            if node.is_running:
                self._check_state(node)
                self._check_log(node)

    def _check_log(self, node: SimulatedReplica) -> None:
        """Log matching, of the latest entries; the older ones were checked when they were that."""
        log = node.replica.raft.log
        previous_term = log.snapshot_term
        for entry in log.entries[-CHECKED_ENTRIES:]:
            if entry.index - 1 > log.snapshot_index:
                previous_term = log.get(entry.index - 1).term
            found = (entry.data, previous_term)
            known = self.entries_seen.setdefault((entry.index, entry.term), found)
            require(known == found, f"logs differ at {entry.index} of term {entry.term}")
        require(node.replica.raft.commit_index <= log.last_index(), "more is committed than there is")

    def _check_state(self, node: SimulatedReplica) -> None:
        applied_index = node.replica.applied_index
        require(applied_index >= node.checked_index, f"the state of {node.name} goes back")
        node.checked_index = applied_index
        entries = [self.committed_entries[index] for index in range(1, applied_index + 1)]
        expected = sum(entry.kind is EntryKind.DATA for entry in entries)
        applied = len(node.state_machine.values)
        require(applied == expected, f"{node.name} has applied {applied} of {expected}")

    # ---- What clients and operators do ----

    def propose(self, node: SimulatedReplica) -> None:
        self.proposed += 1
        value = f"v{self.proposed}"

        def on_result(committed: bool) -> None:
            if committed:
                require(value in node.state_machine.values, f"{value} was acknowledged and is not there")
                self.acknowledged.append(value)

        node.replica.propose([value], on_result)

    def read(self, node: SimulatedReplica) -> None:
        expected = self.last_committed

        def on_result(confirmed: bool) -> None:
            if confirmed:
                self.reads += 1
                applied = node.replica.applied_index
                require(applied >= expected, f"{node.name} read {applied}, {expected} is old")

        node.replica.read(on_result)

    def compact(self, node: SimulatedReplica) -> None:
        replica, log = node.replica, node.replica.raft.log
        index = replica.applied_index
        if index <= log.snapshot_index or log.term_at(index) is None:
            return
        if node.writing is not None or not replica.batch.is_empty():
            return
        snapshot = replica.take_snapshot()
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

    # ---- Random schedules ----

    def step(self) -> None:
        """Let one thing happen, drawn at random, and check."""
        self.steps += 1
        roll = self.random.random()
        node = self.random.choice(list(self.nodes.values()))
        if self.stormy and self.random.random() < STORM_PROBABILITY:
            self._storm()
        self._action_for(roll)(node)
        self.check()

    def _action_for(self, roll: float) -> Action:
        has_messages = bool(self.in_flight)
        has_spare = len(self.nodes) > len(self.members)
        actions: list[tuple[float, bool, Action]] = [
            (0.42, has_messages, self._deliver_some),
            (0.62, True, self._write_some),
            (0.72, True, self._pass_time),
            (0.86, True, self._propose_to_leader),
            (0.90, True, self._if_running(self.read)),
            (0.92, has_messages, self._lose_message),
            (0.94, has_messages, self._duplicate_message),
            (0.955, True, self._crash_or_restart),
            (0.958, True, self._partition_or_heal),
            (0.98, True, self._if_running(self.compact)),
            (0.985, True, self._if_running(self._transfer_leadership)),
            (0.99, has_spare, self._if_running(self.change_members)),
        ]
        for below, is_possible, action in actions:
            if roll < below and is_possible:
                return action
        return self._restart

    @staticmethod
    def _if_running(action: Action) -> Action:
        return lambda node: action(node) if node.is_running else None

    def _deliver_some(self, node: SimulatedReplica) -> None:
        for _ in range(self.random.choice([1, 2, 4, 8])):
            if self.in_flight:
                is_reordered = self.random.random() < 0.2
                self.deliver(self.random.randrange(len(self.in_flight)) if is_reordered else 0)

    def _write_some(self, node: SimulatedReplica) -> None:
        for each in self.nodes.values():
            if each.is_running and (each is node or self.random.random() < 0.6):
                each.write(self.random.random() < 0.8)
                each.write(self.random.random() < 0.6)

    def _pass_time(self, node: SimulatedReplica) -> None:
        self.now += self.random.choice([1, 5, 20, 40, 90]) * MILLISECOND
        for each in self.nodes.values():
            if each.is_running and each.replica.raft.next_tick() <= self.now and self.random.random() < 0.7:
                each.replica.raft.tick()

    def _propose_to_leader(self, node: SimulatedReplica) -> None:
        if node.is_leader():
            self.propose(node)

    def _lose_message(self, node: SimulatedReplica) -> None:
        self.in_flight.pop(self.random.randrange(len(self.in_flight)))

    def _duplicate_message(self, node: SimulatedReplica) -> None:
        self.deliver(self.random.randrange(len(self.in_flight)), keep=True)

    def _crash_or_restart(self, node: SimulatedReplica) -> None:
        if not node.is_running:
            node.start()
        elif self.random.random() < 0.5:
            node.crash()

    def _restart(self, node: SimulatedReplica) -> None:
        if not node.is_running:
            node.start()

    def _partition_or_heal(self, node: SimulatedReplica) -> None:
        if self.partitioned:
            self.partitioned = set()
        else:
            # In this order: a seed replays a schedule to the letter.
            names = list(self.nodes)
            self.partitioned = set(self.random.sample(names, self.random.choice([1, 1, 2])))

    def _transfer_leadership(self, node: SimulatedReplica) -> None:
        node.replica.raft.transfer_leadership(self.random.choice(list(self.nodes)))

    def _storm(self) -> None:
        """Crash or compact the leader, duplicate a message, or start all that are down."""
        leader = next((node for node in self.nodes.values() if node.is_leader()), None)
        kind = self.random.randrange(4)
        if kind == 0 and leader is not None:
            leader.crash()
        elif kind == 1 and leader is not None:
            self.compact(leader)
        elif kind == 2 and self.in_flight:
            self.in_flight.append(self.random.choice(self.in_flight))
        else:
            self._start_all()

    def _start_all(self) -> None:
        for node in self.nodes.values():
            self._restart(node)

    # ---- A healthy cluster ----

    def settle(self, steps: int = 3000) -> None:
        """Heal everything: a leader must be elected, and what it takes must be committed everywhere."""
        self.partitioned = set()
        self._start_all()
        for step in range(steps):
            self.now += 2 * MILLISECOND
            for node in self.nodes.values():
                node.tick_if_due()
                node.write_all()
            self.deliver_all()
            leaders = [node for node in self.nodes.values() if node.is_leader()]
            if leaders and step % 25 == 0 and step < steps // 2:
                self.propose(leaders[-1])
            if leaders and self._is_settled(leaders[-1]):
                self.check()
                return
        raise InvariantViolationError("no leader that commits, though all is well")

    def _is_settled(self, leader: SimulatedReplica) -> bool:
        if self.last_committed <= 3 or leader.replica.raft.log.last_index() != self.last_committed:
            return False
        members = leader.replica.raft.members()
        return all(self.nodes[name].replica.applied_index == self.last_committed for name in voters(members))

    def settled_leader(self) -> SimulatedReplica:
        """Return the leader once the cluster is healthy."""
        self.settle()
        [leader] = [node for node in self.nodes.values() if node.is_leader()]
        return leader


def explore(
    seed: int,
    size: int,
    steps: int,
    inject_fault: FaultInjector = no_fault,
    spare: int = 0,
    stormy: bool = False,
) -> SimulatedCluster:
    """Run one schedule.

    Raises InvariantViolationError, or what the machine raises, with a note of the seed that replays it.
    """
    cluster = SimulatedCluster(seed, size, inject_fault, spare, stormy)
    try:
        for _ in range(steps):
            cluster.step()
    except Exception as error:
        error.add_note(f"seed {seed}, size {size}, step {cluster.steps}")
        raise
    return cluster


class Sweep(NamedTuple):
    """Many schedules of one kind, for a process of its own."""

    first_seed: int
    schedules: int
    size: int
    steps: int
    spare: int
    stormy: bool


def sweep(job: Sweep) -> dict[str, int]:
    """Run the schedules of a job; returns how much has happened in them."""
    found: dict[str, int] = defaultdict(int)
    for seed in range(job.first_seed, job.first_seed + job.schedules):
        cluster = explore(seed, job.size, job.steps, spare=job.spare, stormy=job.stormy)
        found["committed"] += cluster.last_committed
        found["terms"] += len(cluster.leaders)
        found["reads"] += cluster.reads
        found["acknowledged"] += len(cluster.acknowledged)
        if seed % 50 == 0:
            cluster.settle()
    return dict(found)
