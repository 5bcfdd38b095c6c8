"""One replica without I/O: consensus and the ledger, between a driver that writes batches and carries
messages.

The driver takes a `WriteBatch` when there is one, writes it down in one synced step, and hands it back to
`written`:
only then the messages in it go out. So whatever is said rests on what is on disk, and many events share one
sync.
"""

from collections.abc import Callable
from typing import Any

from .log import Entry, EntryKind, Snapshot, StateMachine
from .persisted_state import PersistedState, WriteBatch
from .raft import Message, Raft, Role


class Replica:
    """Plays the host of `Raft`."""

    def __init__(
        self,
        replica_id: str,
        persisted: PersistedState,
        state_machine: StateMachine,
        now: Callable[[], int],
        fraction: Callable[[], float],
        send_now: Callable[[str, Message], None],
        **times: int,
    ) -> None:
        self.replica_id = replica_id
        self.now = now
        self.state_machine = state_machine
        self.send_now = send_now
        self.batch = WriteBatch()
        self.role_listeners: list[Callable[[Role, str], None]] = []
        self.waiting: dict[
            int, tuple[int, Callable[[bool], None]]
        ] = {}  # proposals, by index: term and whom to tell
        self.reads: dict[int, Callable[[bool], None]] = {}
        self.ready_reads: list[tuple[int, Callable[[bool], None]]] = []
        self.next_read = 1
        self.applied = persisted.log.snapshot_index
        self.durable_snapshot: Snapshot | None = None
        if persisted.log.snapshot_index:
            state_machine.restore_snapshot(persisted.snapshot_data)
            index, term = persisted.log.snapshot_index, persisted.log.snapshot_term
            self.durable_snapshot = Snapshot(index, term, persisted.members, persisted.snapshot_data)
        self.raft = Raft(
            self,
            replica_id,
            persisted.members,
            fraction,
            term=persisted.current_term,
            vote=persisted.voted_for,
            log=persisted.log,
            disk=persisted.storage_id,
            **times,
        )

    # ---- The host of consensus ----

    def send(self, to: str, message: Message) -> None:
        self.batch.messages.append((to, message))

    def keep_vote(self, term: int, vote: str) -> None:
        self.batch.vote = (term, vote)

    def keep_entries(self, entries: list[Entry]) -> None:
        self.batch.entries += entries

    def drop_entries_from(self, index: int) -> None:
        self.batch.entries = [entry for entry in self.batch.entries if entry.index < index]
        self.batch.truncate_from = min(index, self.batch.truncate_from or index)

    def keep_snapshot(self, snapshot: Snapshot) -> None:
        self.batch.snapshot = self.durable_snapshot = snapshot
        self.batch.entries = []
        self.batch.truncate_from = 0

    def snapshot(self) -> Snapshot | None:
        return self.durable_snapshot

    def committed(self, entry: Entry) -> None:
        if entry.kind is EntryKind.DATA:
            self.state_machine.apply(entry.index, entry.data)
        self.applied = entry.index
        waited = self.waiting.pop(entry.index, None)
        if waited is not None:
            # Another's entry may stand where ours would have stood.
            waited[1](waited[0] == entry.term)
        if self.ready_reads:
            self._answer_reads()

    def restored(self, data: bytes) -> None:
        self.state_machine.restore_snapshot(data)
        self.applied = self.raft.commit
        self._fail_waiting()

    def role_changed(self, role: Role, leader: str) -> None:
        if role is not Role.LEADER:
            self._fail_waiting()
        for told in self.role_listeners:
            told(role, leader)

    def read_is_safe(self, token: int, index: int) -> None:
        told = self.reads.pop(token, None)
        if told is not None:
            self.ready_reads.append((index, told))
            self._answer_reads()

    def read_failed(self, token: int) -> None:
        told = self.reads.pop(token, None)
        if told is not None:
            told(False)

    # ---- What its users ask ----

    def propose(self, commands: list[Any], told: Callable[[bool], None]) -> None:
        """`told` hears whether they are committed. False is no promise that they never will be."""
        index = self.raft.propose(commands)
        if not index:
            told(False)
        else:
            self.waiting[index] = (self.raft.term, told)

    def read(self, told: Callable[[bool], None]) -> None:
        """`told` hears True when the state holds all that was committed before this call."""
        token, self.next_read = self.next_read, self.next_read + 1
        self.reads[token] = told
        self.raft.read(token)

    def leads(self) -> bool:
        """Whether no other can lead now: by the lease."""
        return self.raft.role is Role.LEADER and self.now() < self.raft.lease_until()

    # ---- What its driver says ----

    def take_batch(self) -> WriteBatch:
        """What has gathered since the last one, to be written."""
        batch, self.batch = self.batch, WriteBatch()
        return batch

    def written(self, batch: WriteBatch) -> None:
        """It is durable: what rests on it may be said."""
        for to, message in batch.messages:
            self.send_now(to, message)
        if batch.entries:
            self.raft.synced(batch.entries[-1].index, batch.entries[-1].term)

    def snapshot_written(self, snapshot: Snapshot) -> None:
        """A snapshot of our own is durable, and the log up to it is dropped."""
        if snapshot.index > self.raft.log.snapshot_index:
            self.durable_snapshot = snapshot
            self.raft.compacted(snapshot.index)

    # ---- Inside ----

    def _answer_reads(self) -> None:
        ready = [told for index, told in self.ready_reads if index <= self.applied]
        self.ready_reads = [(index, told) for index, told in self.ready_reads if index > self.applied]
        for told in ready:
            told(True)

    def _fail_waiting(self) -> None:
        waiting, self.waiting = self.waiting, {}
        for _, told in waiting.values():
            told(False)
        ready, self.ready_reads = self.ready_reads, []
        for _, told in ready:
            told(False)
