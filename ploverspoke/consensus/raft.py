"""The Raft state machine of one replica, without I/O.

It implements the algorithm of Ongaro and Ousterhout (2014) and of Ongaro's thesis. The driver creates one
`Raft`, calls a method for each event, and performs the writes and sends that the state machine requests
through its `RaftEnvironment`. Times are nanoseconds of a monotonic clock; random numbers come from a function
that the caller provides.

This module holds the rules for all servers (paper, figure 2) and passes each event to the module that handles
it: `election`, `replication` (leader), `log_receiver` (follower), `snapshot_transfer`, `read_index`,
`membership_changes` and `leadership_transfer`. Their shared state is in `raft_state`, and the leader's record
of its followers is in `leadership`.
"""

from collections.abc import Callable

from .election import Election
from .leadership import Leadership
from .leadership_transfer import LeadershipTransfer
from .log import EntryKind, Log, PlainValue
from .log_receiver import LogReceiver
from .membership import Members
from .membership_changes import MembershipChanges
from .message_dispatch import MessageDispatcher
from .persisted_state import PersistedState
from .raft_state import RaftEnvironment, RaftState, RaftTimeouts, Role
from .read_index import ReadIndex
from .replication import Replication
from .snapshot_transfer import SnapshotReceiver
from .wire_messages import (
    AppendEntries,
    AppendEntriesReply,
    InstallSnapshot,
    InstallSnapshotReply,
    Message,
    PreVote,
    PreVoteReply,
    RequestVote,
    RequestVoteReply,
    StaleTerm,
    TimeoutNow,
)

DEFAULT_TIMEOUTS = RaftTimeouts()


class Raft:
    """Consensus for one replica."""

    def __init__(
        self,
        environment: RaftEnvironment,
        replica_id: str,
        persisted: PersistedState,
        random_fraction: Callable[[], float],
        timeouts: RaftTimeouts = DEFAULT_TIMEOUTS,
    ) -> None:
        """Start as a follower; `random_fraction` returns numbers in [0, 1) for the election timeouts."""
        state = self.state = RaftState(environment, replica_id, persisted, timeouts)
        self.leadership = Leadership(state)
        self.election = Election(state, random_fraction, self._become_leader)
        self.reads = ReadIndex(state, self.leadership, self._send_heartbeat)
        self.transfers = LeadershipTransfer(state, self.leadership)
        self.replication = Replication(
            state, self.leadership, self.reads, self.transfers, self._on_commit_advanced
        )
        self.membership_changes = MembershipChanges(state, self.leadership, self.replication)
        self.log_receiver = LogReceiver(state, self._follow_leader)
        self.snapshot_receiver = SnapshotReceiver(state, self._follow_leader)
        self.messages = self._message_dispatcher()
        self._storage_ids: dict[str, str] = {}  # by replica id, as first received

    def _message_dispatcher(self) -> MessageDispatcher:
        messages = MessageDispatcher()
        messages.register(RequestVote, self.election.handle_request_vote)
        messages.register(RequestVoteReply, self.election.handle_request_vote_reply)
        messages.register(PreVote, self.election.handle_pre_vote)
        messages.register(PreVoteReply, self.election.handle_pre_vote_reply)
        messages.register(TimeoutNow, self.election.handle_timeout_now)
        messages.register(AppendEntries, self.log_receiver.handle_append_entries)
        messages.register(AppendEntriesReply, self.replication.handle_append_entries_reply)
        messages.register(InstallSnapshot, self.snapshot_receiver.handle_install_snapshot)
        messages.register(InstallSnapshotReply, self.replication.handle_install_snapshot_reply)
        messages.register(StaleTerm, _ignore)  # `receive` has already adopted its term
        return messages

    # ---- State ----

    @property
    def role(self) -> Role:
        """The role of this replica in the current term."""
        return self.state.role

    @property
    def leader_id(self) -> str:
        """The id of the leader; "" if the leader is not known."""
        return self.state.leader_id

    @property
    def current_term(self) -> int:
        """The latest term that this replica has seen."""
        return self.state.current_term

    @property
    def commit_index(self) -> int:
        """The index of the latest entry that is known to be committed."""
        return self.state.commit_index

    @property
    def log(self) -> Log:
        """The log of this replica."""
        return self.state.log

    def members(self) -> Members:
        """Return the members as of the last log entry."""
        return self.state.members()

    def members_at(self, index: int) -> Members:
        """Return the members as of the log entry at `index`."""
        return self.state.members_at(index)

    def lease_until(self) -> int:
        """Return the time (ns) at which this replica's leader lease expires; 0 if it has none."""
        if self.state.role is not Role.LEADER or self.transfers.is_in_progress():
            return 0
        return self.leadership.lease_until()

    def has_leader_contact_within(self, duration: int) -> bool:
        """Whether the leader is known and has sent a message within the last `duration` ns."""
        contact_at = self.election.leader_contact_at
        return bool(self.state.leader_id) and self.state.environment.now() - contact_at < duration

    # ---- Events ----

    def tick(self) -> None:
        """Handle timeouts that have expired; `next_tick` returns when to call this again."""
        now = self.state.environment.now()
        if self.state.role is Role.LEADER:
            self._tick_as_leader(now)
        elif now >= self.election.timeout_at:
            self.election.on_timeout()

    def next_tick(self) -> int:
        """Return the time (ns) of the next call of `tick`."""
        if self.state.role is Role.LEADER:
            return min(self.leadership.next_heartbeat_at, self.leadership.quorum_check_at)
        return self.election.timeout_at

    def receive(self, sender: str, message: Message) -> None:
        """Handle a message from another replica."""
        if self._storage_ids.setdefault(sender, message.storage_id) != message.storage_id:
            # The sender's storage was replaced, so the votes and entries that it had acknowledged are lost.
            # Its messages are ignored.
            return
        if isinstance(message, RequestVote | PreVote) and self._must_ignore_candidate(message):
            return
        current_term = self.state.current_term
        if message.term > current_term and not isinstance(message, PreVote | PreVoteReply):
            is_leader = isinstance(message, AppendEntries | InstallSnapshot)
            self._become_follower(message.term, sender if is_leader else "")
        elif message.term < current_term:
            self._send_stale_term(sender, message)
            return
        self.messages.dispatch(sender, message)

    def propose(self, commands: list[PlainValue]) -> int:
        """Append commands; returns the index of the last one, or 0 if this replica accepts no proposals."""
        return self.replication.propose(EntryKind.DATA, commands)

    def on_synced(self, index: int, term: int) -> None:
        """The entries up to this one are durable here; ignored if the entry was replaced since."""
        if self.state.log.term_at(index) != term:
            return
        self.state.synced_index = max(self.state.synced_index, index)
        if self.state.role is Role.LEADER:
            self.replication.advance_commit_index()

    def on_compacted(self, index: int) -> None:
        """A snapshot of the applied entries up to `index` is durable, so the log up to `index` is dropped."""
        if index > self.state.log.snapshot_index:
            self.state.snapshot_members = self.state.members_at(index)
            self.state.log.compact(index)

    def read(self, token: int) -> None:
        """Request a read; the result is a call of the environment's `on_read_ready` or `on_read_failed`."""
        self.reads.read(token)

    def change_members(self, members: Members) -> int:
        """Replace the members; returns the index of the entry, or 0 if no change is possible now."""
        return self.membership_changes.propose(members)

    def transfer_leadership(self, target: str) -> bool:
        """Transfer leadership to a voter; returns False if this replica cannot."""
        return self.transfers.start(target)

    # ---- Rules for all servers (paper, figure 2) ----

    def _must_ignore_candidate(self, message: RequestVote | PreVote) -> bool:
        """Whether to ignore a vote request because the current leader is alive.

        A replica that was disconnected must not depose a leader that the others follow (thesis, section
        4.2.3).
        """
        if self.state.role is Role.LEADER:
            has_leader = self.leadership.check_quorum(self.state.environment.now())
        else:
            has_leader = self.election.has_recent_leader()
        return has_leader and not message.is_transfer

    def _send_stale_term(self, sender: str, message: Message) -> None:
        """Send the current term to the sender of an outdated request, so that an old leader steps down."""
        if isinstance(message, AppendEntries | InstallSnapshot | RequestVote | PreVote):
            self.state.send(sender, StaleTerm(term=self.state.current_term))

    def _tick_as_leader(self, now: int) -> None:
        self.transfers.cancel_if_late(now)
        if now >= self.leadership.quorum_check_at and not self.leadership.check_quorum(now):
            # A leader that cannot reach a majority steps down, so that a partitioned replica does not remain
            # the leader (thesis, section 6.2).
            self._become_follower(self.state.current_term, "")
        elif now >= self.leadership.next_heartbeat_at:
            self._send_heartbeat()

    # ---- Changes of role ----

    def _become_follower(self, term: int, leader_id: str) -> None:
        if term > self.state.current_term:
            self.state.enter_term(term, voted_for="")
        failed_reads = self.reads.clear()
        self.leadership.stop()
        self.transfers.cancel()
        self.election.postpone()
        self.state.set_role(Role.FOLLOWER, leader_id)
        for token in failed_reads:
            self.state.environment.on_read_failed(token)

    def _become_leader(self) -> None:
        self.leadership.start()
        self.state.set_role(Role.LEADER, self.state.replica_id)
        self.membership_changes.update_followers()
        # Entries of earlier terms are only committed together with an entry of this term (paper, section
        # 5.4.2), so the leader appends an empty one.
        self.replication.propose(EntryKind.NOOP, [None])
        self._send_heartbeat()

    def _follow_leader(self, leader_id: str) -> None:
        """Follow the leader of the current term, from which a message has arrived."""
        self.election.record_leader_contact()
        if self.state.role is Role.FOLLOWER:
            self.state.set_role(Role.FOLLOWER, leader_id)
        else:
            self._become_follower(self.state.current_term, leader_id)

    def _on_commit_advanced(self) -> None:
        if self.membership_changes.has_lost_own_vote():
            self._become_follower(self.state.current_term, "")

    def _send_heartbeat(self) -> None:
        self.replication.send_heartbeat()


def _ignore(sender: str, message: StaleTerm) -> None:
    """Ignore a message that needs no handling of its own."""
