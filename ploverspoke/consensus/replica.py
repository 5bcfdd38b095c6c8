"""A replica without I/O: consensus and a state machine, whose writes are collected in batches.

The driver takes a `WriteBatch` when there is one, writes and syncs it in one step, and passes it back to
`on_batch_written`, which sends the messages in it. So a queued message depends only on durable state, and
many events share one sync.
"""

from collections.abc import Callable
from typing import NamedTuple

import msgspec

from .log import Entry, EntryKind, MalformedEntryError, PlainValue, Snapshot, StateMachine
from .persisted_state import PersistedState, WriteBatch
from .raft import DEFAULT_TIMEOUTS, Raft
from .raft_state import RaftTimeouts, Role
from .wire_messages import Message

ResultCallback = Callable[[bool], None]
RoleListener = Callable[[Role, str], None]  # the new role, and the id of the leader


class Runtime(NamedTuple):
    """The clock, random numbers and network of a replica, which does no I/O itself."""

    now: Callable[[], int]  # monotonic time in ns
    random_fraction: Callable[[], float]  # at least 0, less than 1
    send: Callable[[str, Message], None]  # to the replica with that id; must not fail
    log: Callable[[str], None] = lambda line: None


class PendingProposal(NamedTuple):
    """A proposal that is in the log but not committed yet."""

    term: int  # of the entry; another leader's entry may be committed at the same index
    on_result: ResultCallback


class PendingRead(msgspec.Struct, frozen=True):
    """A confirmed read that waits until the entry at `index` is applied."""

    index: int
    on_result: ResultCallback


class Replica:
    """Applies committed entries, and collects the writes that consensus requests (a `RaftEnvironment`)."""

    def __init__(
        self,
        replica_id: str,
        persisted: PersistedState,
        state_machine: StateMachine,
        runtime: Runtime,
        timeouts: RaftTimeouts = DEFAULT_TIMEOUTS,
    ) -> None:
        """Start from the persisted state; the state machine must be empty."""
        self.replica_id = replica_id
        self.state_machine = state_machine
        self.batch = WriteBatch()
        self.role_listeners: list[RoleListener] = []
        self.applied_index = persisted.log.snapshot_index
        self._runtime = runtime
        self._proposals: dict[int, PendingProposal] = {}  # by the index of their last entry
        self._unconfirmed_reads: dict[int, ResultCallback] = {}  # by token
        self._confirmed_reads: list[PendingRead] = []
        self._next_read_token = 1
        self._durable_snapshot: Snapshot | None = None
        if persisted.log.snapshot_index:
            state_machine.restore_snapshot(persisted.snapshot_data)
            self._durable_snapshot = Snapshot(
                persisted.log.snapshot_index,
                persisted.log.snapshot_term,
                persisted.members,
                persisted.snapshot_data,
            )
        self.raft = Raft(self, replica_id, persisted, runtime.random_fraction, timeouts)

    # ---- Operations ----

    def propose(self, commands: list[PlainValue], on_result: ResultCallback) -> None:
        """Propose commands; `on_result` receives whether they were committed.

        False does not mean that they will never be committed.
        """
        index = self.raft.propose(commands)
        if not index:
            on_result(False)
        else:
            self._proposals[index] = PendingProposal(self.raft.current_term, on_result)

    def read_barrier(self, on_result: ResultCallback) -> None:
        """Call `on_result` with True once the state includes all that was committed before this call.

        False means that this could not be confirmed.
        """
        token = self._next_read_token
        self._next_read_token += 1
        self._unconfirmed_reads[token] = on_result
        self.raft.read(token)

    def leads(self) -> bool:
        """Whether this replica is the leader and, by its lease, no other replica can lead now."""
        return self.raft.role is Role.LEADER and self._runtime.now() < self.raft.lease_until()

    # ---- Called by the driver ----

    def take_batch(self) -> WriteBatch:
        """Return the batch collected so far, to be written, and begin the next one."""
        batch, self.batch = self.batch, WriteBatch()
        return batch

    def on_batch_written(self, batch: WriteBatch) -> None:
        """Send the messages of a batch that is now durable, and report its entries as synced."""
        for to, message in batch.messages:
            self._runtime.send(to, message)
        if batch.entries:
            last = batch.entries[-1]
            self.raft.on_synced(last.index, last.term)

    def on_snapshot_written(self, snapshot: Snapshot) -> None:
        """Drop the log up to a snapshot of this replica's own state, which is now durable."""
        if snapshot.index > self.raft.log.snapshot_index:
            self._durable_snapshot = snapshot
            self.raft.on_compacted(snapshot.index)

    def take_snapshot(self) -> Snapshot:
        """Return a snapshot of the current state."""
        index = self.applied_index
        term = self.raft.log.term_at(index)
        assert term is not None, "the applied index is in the log, or is that of the snapshot"
        return Snapshot(index, term, self.raft.members_at(index), self.state_machine.take_snapshot())

    def stop(self) -> None:
        """Fail pending proposals and reads, as the storage cannot be written.

        The listeners are notified of the role STOPPED.
        """
        self.on_role_changed(Role.STOPPED, "")
        reads, self._unconfirmed_reads = self._unconfirmed_reads, {}
        for on_result in reads.values():
            on_result(False)

    # ---- RaftEnvironment ----

    def now(self) -> int:
        """Return the monotonic time in nanoseconds."""
        return self._runtime.now()

    def send(self, to: str, message: Message) -> None:
        """Send a message after the current batch is written."""
        self.batch.messages.append((to, message))

    def send_now(self, to: str, message: Message) -> None:
        """Send a message at once."""
        self._runtime.send(to, message)

    def save_vote(self, term: int, voted_for: str) -> None:
        """Add a vote to the batch."""
        self.batch.vote = (term, voted_for)

    def save_entries(self, entries: list[Entry]) -> None:
        """Add entries to the batch."""
        self.batch.entries += entries

    def truncate_entries_from(self, index: int) -> None:
        """Drop the entries from `index` on, in storage (by the batch) and in the batch itself."""
        self.batch.entries = [entry for entry in self.batch.entries if entry.index < index]
        self.batch.truncate_from = min(index, self.batch.truncate_from or index)

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Add a leader's snapshot to the batch; it replaces the entries in the batch."""
        self.batch.snapshot = self._durable_snapshot = snapshot
        self.batch.entries = []
        self.batch.truncate_from = 0

    def latest_snapshot(self) -> Snapshot | None:
        """Return the snapshot that is sent to followers."""
        return self._durable_snapshot

    def on_entry_committed(self, entry: Entry) -> None:
        """Apply an entry, and answer the proposal and the reads that wait for it."""
        if entry.kind is EntryKind.DATA:
            self._apply(entry)
        self.applied_index = entry.index
        proposal = self._proposals.pop(entry.index, None)
        if proposal is not None:
            proposal.on_result(proposal.term == entry.term)
        if self._confirmed_reads:
            self._answer_reads()

    def on_snapshot_installed(self, data: bytes) -> None:
        """Replace the state with a leader's snapshot."""
        self.state_machine.restore_snapshot(data)
        self.applied_index = self.raft.commit_index
        self._fail_pending()

    def on_role_changed(self, role: Role, leader_id: str) -> None:
        """Notify the listeners; a replica that does not lead fails its pending proposals and reads."""
        if role is not Role.LEADER:
            self._fail_pending()
        for listener in self.role_listeners:
            listener(role, leader_id)

    def on_read_ready(self, token: int, index: int) -> None:
        """Answer a read once the entry at `index` is applied."""
        on_result = self._unconfirmed_reads.pop(token, None)
        if on_result is not None:
            self._confirmed_reads.append(PendingRead(index, on_result))
            self._answer_reads()

    def on_read_failed(self, token: int) -> None:
        """Answer False to a read that cannot be confirmed."""
        on_result = self._unconfirmed_reads.pop(token, None)
        if on_result is not None:
            on_result(False)

    def _apply(self, entry: Entry) -> None:
        try:
            self.state_machine.apply(entry.index, entry.data)
        except MalformedEntryError as error:
            self._runtime.log(f"store: entry {entry.index} is skipped: {error}")

    def _answer_reads(self) -> None:
        ready = [read for read in self._confirmed_reads if read.index <= self.applied_index]
        self._confirmed_reads = [read for read in self._confirmed_reads if read.index > self.applied_index]
        for read in ready:
            read.on_result(True)

    def _fail_pending(self) -> None:
        proposals, self._proposals = self._proposals, {}
        for proposal in proposals.values():
            proposal.on_result(False)
        reads, self._confirmed_reads = self._confirmed_reads, []
        for read in reads:
            read.on_result(False)
