"""The state of one Raft replica (paper, figure 2), shared by the modules that implement the algorithm.

Times are nanoseconds of a monotonic clock.
"""

from enum import StrEnum
from typing import NamedTuple, Protocol, cast

from ploverspoke.transport.units import MILLISECOND

from .log import Entry, EntryKind, PlainValue, Snapshot
from .membership import Members
from .persisted_state import PersistedState
from .wire_messages import Message

DEFAULT_ELECTION_TIMEOUT_NS = 200 * MILLISECOND
DEFAULT_HEARTBEAT_INTERVAL_NS = 50 * MILLISECOND


class Role(StrEnum):
    """The role of a replica in the current term. The values are shown by tools."""

    FOLLOWER = "follower"
    PRECANDIDATE = "precandidate"  # asks whether it would win an election (thesis, section 9.6)
    CANDIDATE = "candidate"
    LEADER = "leader"
    STOPPED = "stopped"  # its storage cannot be written, so it does not participate


class RaftTimeouts(NamedTuple):
    """The timing of elections and heartbeats, in nanoseconds."""

    election: int = DEFAULT_ELECTION_TIMEOUT_NS  # the minimum; the actual timeout is random, below twice this
    heartbeat: int = DEFAULT_HEARTBEAT_INTERVAL_NS


class RaftEnvironment(Protocol):
    """The I/O that consensus requests from its driver, and the events that it reports.

    A message passed to `send` is sent only after all writes requested before it are synced. A message passed
    to `send_now` does not depend on this replica's storage and may be sent at once.
    """

    def now(self) -> int:
        """Return the monotonic time in nanoseconds."""

    def send(self, to: str, message: Message) -> None:
        """Send a message once all writes requested so far are synced."""

    def send_now(self, to: str, message: Message) -> None:
        """Send a message at once."""

    def save_vote(self, term: int, voted_for: str) -> None:
        """Write the current term and the replica that was voted for in it; "" for no vote."""

    def save_entries(self, entries: list[Entry]) -> None:
        """Append entries to those written before."""

    def truncate_entries_from(self, index: int) -> None:
        """Delete the entry at `index` and all after it."""

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the stored snapshot and all stored entries by a leader's snapshot, atomically."""

    def latest_snapshot(self) -> Snapshot | None:
        """Return the latest durable snapshot, if there is one."""

    def on_entry_committed(self, entry: Entry) -> None:
        """An entry is committed; called in log order."""

    def on_snapshot_installed(self, data: bytes) -> None:
        """A leader's snapshot has replaced the state."""

    def on_role_changed(self, role: Role, leader_id: str) -> None:
        """The role or the known leader has changed."""

    def on_read_ready(self, token: int, index: int) -> None:
        """A read is confirmed: it may be served once this replica has applied the entry at `index`.

        It then sees everything that was committed before it was requested.
        """

    def on_read_failed(self, token: int) -> None:
        """A read failed: this replica is not the leader, or lost leadership before confirming the read."""


class RaftState:
    """Term, vote, log, role and commit index, and the ways to change them, which notify the environment."""

    def __init__(
        self,
        environment: RaftEnvironment,
        replica_id: str,
        persisted: PersistedState,
        timeouts: RaftTimeouts,
    ) -> None:
        """Start as a follower with the persisted state."""
        self.environment = environment
        self.replica_id = replica_id
        self.timeouts = timeouts
        self.storage_id = persisted.storage_id
        self.current_term = persisted.current_term
        self.voted_for = persisted.voted_for
        self.log = persisted.log
        self.snapshot_members = persisted.members
        self.role = Role.FOLLOWER
        self.leader_id = ""  # "": unknown
        self.commit_index = self.log.snapshot_index
        self.synced_index = self.log.last_index()  # the log is durable here up to this index

    # ---- Members: the latest membership entry applies, committed or not (thesis, section 4.1) ----

    def members(self) -> Members:
        """Return the members as of the last log entry."""
        return self.members_at(self.log.last_index())

    def members_at(self, index: int) -> Members:
        """Return the members as of the log entry at `index`."""
        for entry in reversed(self.log.membership_changes):
            if entry.index <= index:
                return cast(Members, entry.data)  # converted when it was read or proposed
        return self.snapshot_members

    def is_voter(self) -> bool:
        """Whether this replica may stand for election."""
        member = self.members().get(self.replica_id)
        return member is not None and member.votes

    # ---- Terms and roles ----

    def enter_term(self, term: int, voted_for: str) -> None:
        """Start a new term, with a vote for this replica itself or with no vote yet ("")."""
        self.current_term = term
        self.vote_for(voted_for)

    def vote_for(self, replica_id: str) -> None:
        """Vote in the current term."""
        self.voted_for = replica_id
        self.environment.save_vote(self.current_term, replica_id)

    def set_role(self, role: Role, leader_id: str) -> None:
        """Change the role and the known leader."""
        if (role, leader_id) != (self.role, self.leader_id):
            self.role = role
            self.leader_id = leader_id
            self.environment.on_role_changed(role, leader_id)

    # ---- The log ----

    def append(self, kind: EntryKind, commands: list[PlainValue]) -> None:
        """Append commands as entries of the current term; only the leader calls this."""
        first = self.log.last_index() + 1
        entries = [
            Entry(index, self.current_term, kind, command) for index, command in enumerate(commands, first)
        ]
        self.log.append(entries)
        self.environment.save_entries(entries)

    def commit_to(self, index: int) -> None:
        """Commit the entries up to `index` that are in this log."""
        while self.commit_index < min(index, self.log.last_index()):
            self.commit_index += 1
            self.environment.on_entry_committed(self.log.get(self.commit_index))

    # ---- Messages ----

    def send(self, to: str, message: Message) -> None:
        """Send a message that depends on this replica's storage, after the pending writes are synced."""
        message.storage_id = self.storage_id
        self.environment.send(to, message)

    def send_now(self, to: str, message: Message) -> None:
        """Send a message that does not depend on this replica's storage, without waiting."""
        message.storage_id = self.storage_id
        self.environment.send_now(to, message)
