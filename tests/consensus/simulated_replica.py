"""One simulated replica, whose storage survives crashes; writes that are not synced are lost in them."""

from collections.abc import Callable, Sequence
from random import Random
from typing import Protocol

from ploverspoke.consensus.log import Entry, Log, Snapshot, StateMachine
from ploverspoke.consensus.membership import Members
from ploverspoke.consensus.persisted_state import PersistedState, WriteBatch
from ploverspoke.consensus.raft import Raft
from ploverspoke.consensus.raft_state import Role
from ploverspoke.consensus.replica import Replica, Runtime
from ploverspoke.consensus.wire_messages import Message

FaultInjector = Callable[[Raft], None]  # replaces a part of a newly created Raft


def no_fault(raft: Raft) -> None:
    """Inject no fault."""


class SimulatedStorage:
    """Storage that survives crashes and in which each batch is written atomically."""

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


class RecordedState(StateMachine, Protocol):
    """A state machine that records the commands that were applied to it."""

    @property
    def values(self) -> Sequence[object]:
        """The commands that were applied, in order."""


class RecordingStateMachine:
    """A state machine whose state is the list of applied commands."""

    def __init__(self) -> None:
        self.values: list[object] = []

    def apply(self, index: int, command: object) -> None:
        self.values.append(command)

    def take_snapshot(self) -> bytes:
        return "\n".join(map(str, self.values)).encode()

    def restore_snapshot(self, data: bytes) -> None:
        self.values = [*data.decode().split("\n")] if data else []


class ClusterInterface(Protocol):
    """The interface of the cluster that a simulated replica uses."""

    now: int
    random: Random
    members: Members
    inject_fault: FaultInjector

    def send(self, sender: str, to: str, message: Message, incarnation: int) -> None:
        """Send a message from one incarnation of the sender."""

    def check_elected(self, node: "SimulatedReplica") -> None:
        """Check the invariants of a new leader. Raises InvariantViolationError."""

    def check_committed(self, node: "SimulatedReplica", entry: Entry) -> None:
        """Check the invariants of an entry before a replica applies it. Raises InvariantViolationError."""


class SimulatedReplica:
    """One replica with its storage, which survives crashes."""

    state_machine_type: type[RecordedState] = RecordingStateMachine
    state_machine: RecordedState

    def __init__(self, cluster: ClusterInterface, name: str) -> None:
        self.cluster = cluster
        self.name = name
        self.storage = SimulatedStorage(cluster.members, f"storage of {name}")
        self.incarnation = 0
        self.is_running = False
        self.batch_being_written: WriteBatch | None = None
        self.checked_index = 0  # the highest applied index that was checked since the last start
        self.start()

    def start(self) -> None:
        self.is_running = True
        self.incarnation += 1
        self.checked_index = 0
        self.state_machine = self.state_machine_type()
        self.batch_being_written = None
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
        """Start to write a batch; if one is being written, complete it if `finish`."""
        if self.batch_being_written is not None:
            if finish:
                batch, self.batch_being_written = self.batch_being_written, None
                self.storage.write(batch)
                self.replica.on_batch_written(batch)
        elif not self.replica.batch.is_empty():
            self.batch_being_written = self.replica.take_batch()

    def write_all(self) -> None:
        """Make two write steps: complete a batch and start the next one, or start one and complete it."""
        self.write(finish=True)
        self.write(finish=True)

    def tick_if_due(self) -> None:
        if self.replica.raft.next_tick() <= self.cluster.now:
            self.replica.raft.tick()
