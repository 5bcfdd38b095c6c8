"""The state of one Raft replica (paper, figure 2), which the modules of its concerns share.

Times are nanoseconds of a monotonic clock.
"""

from enum import StrEnum
from typing import NamedTuple, Protocol, cast

from ploverspoke.transport.units import MILLISECOND

from .log import Entry, EntryKind, PlainValue, Snapshot
from .membership import Members
from .persisted_state import PersistedState
from .wire_messages import Message

DEFAULT_ELECTION_TIMEOUT = 200 * MILLISECOND
DEFAULT_HEARTBEAT_INTERVAL = 50 * MILLISECOND


class Role(StrEnum):
    """What a replica is in its term. The values are shown by tools."""

    FOLLOWER = "follower"
    PRECANDIDATE = "precandidate"  # asks whether it would be elected (thesis, section 9.6)
    CANDIDATE = "candidate"
    LEADER = "leader"
    STOPPED = "stopped"  # its storage cannot be written: it takes no part


class RaftTimeouts(NamedTuple):
    """The timing of elections and heartbeats, in nanoseconds."""

    election: int = DEFAULT_ELECTION_TIMEOUT  # at least; at most twice that
    heartbeat: int = DEFAULT_HEARTBEAT_INTERVAL


class RaftEnvironment(Protocol):
    """What consensus, which does no I/O, asks of its driver.

    A message given to `send` goes out only when all that was asked to be written before it is synced. One
    given to `send_now` claims nothing about this replica's storage and may go at once.
    """

    def now(self) -> int:
        """Return the monotonic time in nanoseconds."""

    def send(self, to: str, message: Message) -> None:
        """Send a message once all that was asked to be written is synced."""

    def send_now(self, to: str, message: Message) -> None:
        """Send a message at once."""

    def save_vote(self, term: int, voted_for: str) -> None:
        """Write the current term and for whom this replica has voted in it; "" for no vote."""

    def save_entries(self, entries: list[Entry]) -> None:
        """Write entries that follow those written before."""

    def truncate_entries_from(self, index: int) -> None:
        """Drop the entry at `index` and all behind it."""

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Write a leader's snapshot in place of all that is stored, in one step."""

    def latest_snapshot(self) -> Snapshot | None:
        """Return the latest snapshot that is durable."""

    def on_entry_committed(self, entry: Entry) -> None:
        """An entry is committed; called in the order of the log."""

    def on_snapshot_installed(self, data: bytes) -> None:
        """The state is that of a leader's snapshot from now on."""

    def on_role_changed(self, role: Role, leader_id: str) -> None:
        """The role or the known leader has changed."""

    def on_read_ready(self, token: int, index: int) -> None:
        """Once `index` is applied here, the read sees all that was committed before it was asked for."""

    def on_read_failed(self, token: int) -> None:
        """This replica does not lead, or ceased to before the read was confirmed."""


class RaftState:
    """Term, vote, log, role and commit index, and the ways to change them, which notify the environment."""

    def __init__(
        self,
        environment: RaftEnvironment,
        replica_id: str,
        persisted: PersistedState,
        timeouts: RaftTimeouts,
    ) -> None:
        """Begin as a follower with what the storage holds."""
        self.environment = environment
        self.replica_id = replica_id
        self.timeouts = timeouts
        self.storage_id = persisted.storage_id
        self.current_term = persisted.current_term
        self.voted_for = persisted.voted_for
        self.log = persisted.log
        self.snapshot_members = persisted.members
        self.role = Role.FOLLOWER
        self.leader_id = ""  # "": not known
        self.commit_index = self.log.snapshot_index
        self.synced_index = self.log.last_index()  # up to there the log is durable here

    # ---- Members: those of the latest entry count, committed or not (thesis, section 4.1) ----

    def members(self) -> Members:
        """Return the members by the latest entry of the log."""
        return self.members_at(self.log.last_index())

    def members_at(self, index: int) -> Members:
        """Return the members by the entries up to `index`."""
        for entry in reversed(self.log.membership_changes):
            if entry.index <= index:
                return cast(Members, entry.data)  # typed when it was read or proposed
        return self.snapshot_members

    def is_voter(self) -> bool:
        """Whether this replica may stand for election."""
        member = self.members().get(self.replica_id)
        return member is not None and member.votes

    # ---- Terms and roles ----

    def enter_term(self, term: int, voted_for: str) -> None:
        """Begin a term, with a vote for this replica itself or none yet."""
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
        """Add entries of the current term, as its leader."""
        first = self.log.last_index() + 1
        entries = [
            Entry(index, self.current_term, kind, command) for index, command in enumerate(commands, first)
        ]
        self.log.append(entries)
        self.environment.save_entries(entries)

    def commit_to(self, index: int) -> None:
        """Commit the entries up to `index`, as far as they are here."""
        while self.commit_index < min(index, self.log.last_index()):
            self.commit_index += 1
            self.environment.on_entry_committed(self.log.get(self.commit_index))

    # ---- Messages ----

    def send(self, to: str, message: Message) -> None:
        """Send a message that rests on what is written here."""
        message.storage_id = self.storage_id
        self.environment.send(to, message)

    def send_now(self, to: str, message: Message) -> None:
        """Send a message that claims nothing about what is written here."""
        message.storage_id = self.storage_id
        self.environment.send_now(to, message)
