"""Log replication by the leader (paper, section 5.3): heartbeats, entries with flow control, commits."""

from collections.abc import Callable

from .leadership import FollowerProgress, Leadership
from .leadership_transfer import LeadershipTransfer
from .log import Entry, EntryKind, PlainValue
from .raft_state import RaftState, Role
from .read_index import ReadIndex
from .snapshot_transfer import SnapshotSender
from .wire_messages import AppendEntries, AppendEntriesReply, InstallSnapshotReply

MAX_ENTRIES_PER_MESSAGE = 512
MAX_BYTES_PER_MESSAGE = 256 * 1024
MAX_MESSAGES_IN_FLIGHT = 16  # unanswered messages with entries, per follower


class Replication:
    """Replicates this leader's log to the followers, and commits the entries that a majority has written."""

    def __init__(
        self,
        state: RaftState,
        leadership: Leadership,
        reads: ReadIndex,
        transfer: LeadershipTransfer,
        on_commit_advanced: Callable[[], None],
    ) -> None:
        """`on_commit_advanced` is called after entries of the current term were committed."""
        self.state = state
        self.leadership = leadership
        self.reads = reads
        self.transfer = transfer
        self.on_commit_advanced = on_commit_advanced
        self.snapshots = SnapshotSender(state)

    def propose(self, kind: EntryKind, commands: list[PlainValue]) -> int:
        """Append entries; returns the index of the last one, or 0 if this replica accepts no proposals."""
        if self.state.role is not Role.LEADER or self.transfer.is_in_progress():
            return 0
        self.state.append(kind, commands)
        for replica_id in self.leadership.followers:
            self.replicate_to(replica_id)
        return self.state.log.last_index()

    # ---- Sending ----

    def send_heartbeat(self) -> None:
        """Start a heartbeat round; each answer confirms that this replica is still the leader."""
        now = self.state.environment.now()
        self.leadership.start_round(now)
        for replica_id, follower in self.leadership.followers.items():
            self._give_up_on_unanswered_messages(follower, now)
            self._send_entries(replica_id, follower, [])
            self.replicate_to(replica_id)
        if not self.leadership.followers:
            self.reads.answer_confirmed_reads()

    def replicate_to(self, replica_id: str) -> None:
        """Send a follower the entries that it lacks, up to the limit of unanswered messages."""
        follower, log = self.leadership.followers[replica_id], self.state.log
        while follower.next_index <= log.last_index() or follower.next_index <= log.snapshot_index:
            if follower.next_index <= log.snapshot_index:
                self.snapshots.send_chunk(replica_id, follower, self.leadership.round_number)
                return
            if follower.messages_in_flight >= (1 if follower.is_probing else MAX_MESSAGES_IN_FLIGHT):
                return
            entries = log.entries_after(
                follower.next_index - 1, MAX_ENTRIES_PER_MESSAGE, MAX_BYTES_PER_MESSAGE
            )
            self._send_entries(replica_id, follower, entries)
            follower.messages_in_flight += 1
            if follower.is_probing:
                follower.awaiting_reply_since = follower.awaiting_reply_since or self.state.environment.now()
                return
            follower.next_index = entries[-1].index + 1

    def _give_up_on_unanswered_messages(self, follower: FollowerProgress, now: int) -> None:
        """Treat messages as lost that were not answered within an election timeout."""
        election = self.state.timeouts.election
        if follower.awaiting_reply_since and now - follower.awaiting_reply_since > election:
            follower.awaiting_reply_since = 0
            follower.messages_in_flight = 0
        if now - follower.last_contact_at > election:
            follower.messages_in_flight = 0
            follower.is_probing = True

    def _send_entries(self, replica_id: str, follower: FollowerProgress, entries: list[Entry]) -> None:
        state = self.state
        previous_index = follower.next_index - 1
        previous_term = state.log.term_at(previous_index)
        if previous_term is None:
            # The entry was compacted away: send a heartbeat that does not refer to the follower's log.
            previous_index = previous_term = 0
            entries = []
        message = AppendEntries(
            term=state.current_term,
            previous_index=previous_index,
            previous_term=previous_term,
            entries=entries,
            commit_index=min(state.commit_index, previous_index + len(entries)),
            round_number=self.leadership.round_number,
        )
        state.send_now(replica_id, message)

    # ---- Replies ----

    def handle_append_entries_reply(self, sender: str, message: AppendEntriesReply) -> None:
        """Record how far a follower's log matches, and send it the next entries."""
        follower = self._record_answer(sender, message.round_number)
        if follower is None:
            return
        if message.had_entries:
            follower.messages_in_flight = max(0, follower.messages_in_flight - 1)
            follower.awaiting_reply_since = 0
        if not message.success:
            self._move_next_index_back(follower, message.next_index)
        elif message.match_index:
            self._record_match(follower, message.match_index)
            self.advance_commit_index()
        if self.state.role is Role.LEADER and sender in self.leadership.followers:
            self.replicate_to(sender)
            self.transfer.on_progress(sender)

    def handle_install_snapshot_reply(self, sender: str, message: InstallSnapshotReply) -> None:
        """Send the next chunk, or the entries after the snapshot."""
        follower = self._record_answer(sender, message.round_number)
        if follower is None:
            return
        if self.snapshots.record_reply(follower, message):
            self.advance_commit_index()
        if self.state.role is Role.LEADER:
            self.replicate_to(sender)

    def _record_answer(self, sender: str, round_number: int) -> FollowerProgress | None:
        follower = self.leadership.followers.get(sender)
        if self.state.role is not Role.LEADER or follower is None:
            return None
        if self.leadership.record_answer(follower, round_number):
            self.reads.answer_confirmed_reads()
        return follower

    @staticmethod
    def _move_next_index_back(follower: FollowerProgress, next_index: int) -> None:
        """Go back to where the follower's log may match: it lacks the entry before those that were sent."""
        follower.is_probing = True
        follower.messages_in_flight = 0
        follower.awaiting_reply_since = 0
        follower.next_index = max(1, min(follower.next_index, next_index))

    @staticmethod
    def _record_match(follower: FollowerProgress, match_index: int) -> None:
        follower.match_index = max(follower.match_index, match_index)
        follower.next_index = max(follower.next_index, follower.match_index + 1)
        if follower.match_index + 1 == follower.next_index:
            follower.messages_in_flight = 0  # do not wait for answers that were lost
        follower.is_probing = False

    # ---- Commits ----

    def advance_commit_index(self) -> None:
        """Commit the entries that a majority has written.

        Replicas are only counted for entries of the current term: an entry of an older term may still be
        replaced even if a majority has it (paper, section 5.4.2).
        """
        state = self.state
        index = self.leadership.replicated_index()
        if index > state.commit_index and state.log.term_at(index) == state.current_term:
            state.commit_to(index)
            self.reads.on_commit_advanced()
            self.on_commit_advanced()
