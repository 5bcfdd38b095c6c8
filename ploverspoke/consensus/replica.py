"""One replica without I/O: consensus and the ledger, between a driver that writes batches and carries
messages.

The driver takes a `WriteBatch` when there is one, writes it down in one synced step, and hands it back to
`written`:
only then the messages in it go out. So whatever is said rests on what is on disk, and many events share one
sync.
"""

from collections.abc import Callable
from typing import Any, Protocol

from .log import Entry, Log
from .membership import Members
from .raft import Message, Raft


class WriteBatch:
    """What is to be written in one step, and what may be said after it."""

    def __init__(self) -> None:
        self.vote: tuple[int, str] | None = None
        self.snapshot: tuple[int, int, Members, bytes] | None = None  # takes the place of all entries
        self.cut_from = 0  # drop entries from there on, before those below are added
        self.entries: list[Entry] = []
        self.messages: list[tuple[str, Message]] = []

    def writes(self) -> bool:
        return self.vote is not None or self.snapshot is not None or bool(self.cut_from or self.entries)

    def is_empty(self) -> bool:
        return not self.messages and not self.writes()


class StateMachine(Protocol):
    """What the log's entries change."""

    def apply(self, index: int, command: Any) -> None: ...

    def dump(self) -> bytes: ...

    def load(self, data: bytes) -> None: ...


class PersistedState(Protocol):
    """What a disk gives back at start."""

    term: int
    vote: str
    members: Members
    log: Log
    state: bytes
    disk: str


class Replica:
    """Plays the host of `Raft`."""

    def __init__(
        self,
        me: str,
        kept: PersistedState,
        state: StateMachine,
        now: Callable[[], int],
        fraction: Callable[[], float],
        send_now: Callable[[str, Message], None],
        **times: int,
    ) -> None:
        self.me = me
        self.now = now
        self.state = state
        self.send_now = send_now
        self.batch = WriteBatch()
        self.on_role: list[Callable[[str, str], None]] = []
        self.waiting: dict[
            int, tuple[int, Callable[[bool], None]]
        ] = {}  # proposals, by index: term and whom to tell
        self.reads: dict[int, Callable[[bool], None]] = {}
        self.ready_reads: list[tuple[int, Callable[[bool], None]]] = []
        self.next_read = 1
        self.applied = kept.log.snapshot_index
        self.durable_snapshot: tuple[int, int, Members, bytes] | None = None
        if kept.log.snapshot_index:
            state.load(kept.state)
            index, term = kept.log.snapshot_index, kept.log.snapshot_term
            self.durable_snapshot = (index, term, kept.members, kept.state)
        self.raft = Raft(
            self,
            me,
            kept.members,
            fraction,
            term=kept.term,
            vote=kept.vote,
            log=kept.log,
            disk=kept.disk,
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
        self.batch.entries = [entry for entry in self.batch.entries if entry.at < index]
        self.batch.cut_from = min(index, self.batch.cut_from or index)

    def keep_snapshot(self, index: int, term: int, members: Members, data: bytes) -> None:
        self.batch.snapshot = self.durable_snapshot = (index, term, members, data)
        self.batch.entries = []
        self.batch.cut_from = 0

    def snapshot(self) -> tuple[int, int, Members, bytes] | None:
        return self.durable_snapshot

    def committed(self, entry: Entry) -> None:
        if entry.kind == "data":
            self.state.apply(entry.at, entry.data)
        self.applied = entry.at
        waited = self.waiting.pop(entry.at, None)
        if waited is not None:
            # Another's entry may stand where ours would have stood.
            waited[1](waited[0] == entry.term)
        if self.ready_reads:
            self._answer_reads()

    def restored(self, data: bytes) -> None:
        self.state.load(data)
        self.applied = self.raft.commit
        self._fail_waiting()

    def role_changed(self, role: str, leader: str) -> None:
        if role != "leader":
            self._fail_waiting()
        for told in self.on_role:
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
        return self.raft.role == "leader" and self.now() < self.raft.lease_until()

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
            self.raft.synced(batch.entries[-1].at, batch.entries[-1].term)

    def snapshot_written(self, index: int, term: int, members: Members, data: bytes) -> None:
        """A snapshot of our own is durable, and the log up to it is dropped."""
        if index > self.raft.log.snapshot_index:
            self.durable_snapshot = (index, term, members, data)
            self.raft.compacted(index)

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
