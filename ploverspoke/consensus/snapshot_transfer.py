"""Transfer of snapshots, in chunks, to followers whose next entry was compacted away (paper, section 7)."""

from collections.abc import Callable

from .leadership import FollowerProgress, SnapshotProgress
from .log import Snapshot
from .raft_state import RaftState
from .wire_messages import InstallSnapshot, InstallSnapshotReply

CHUNK_BYTES = 64 * 1024
SNAPSHOT_INCOMPLETE = -1  # the match index in replies as long as chunks are missing


class SnapshotSender:
    """Sends the leader's latest snapshot to followers."""

    def __init__(self, state: RaftState) -> None:
        """Send the snapshots that the environment of `state` provides."""
        self.state = state

    def send_chunk(self, replica_id: str, follower: FollowerProgress, round_number: int) -> None:
        """Send the next chunk, unless the previous one is still unanswered."""
        if follower.awaiting_reply_since:
            return
        snapshot = self.state.environment.latest_snapshot()
        if snapshot is None:
            return
        if follower.snapshot is None or follower.snapshot.index != snapshot.index:
            follower.snapshot = SnapshotProgress(snapshot.index, 0)
        offset = follower.snapshot.offset
        chunk = snapshot.data[offset : offset + CHUNK_BYTES]
        follower.awaiting_reply_since = self.state.environment.now()
        message = InstallSnapshot(
            term=self.state.current_term,
            last_index=snapshot.index,
            last_term=snapshot.term,
            members=snapshot.members,
            offset=offset,
            data=chunk,
            done=offset + len(chunk) >= len(snapshot.data),
            round_number=round_number,
        )
        self.state.send_now(replica_id, message)

    def record_reply(self, follower: FollowerProgress, reply: InstallSnapshotReply) -> bool:
        """Record a follower's progress; returns whether it has the whole snapshot."""
        follower.awaiting_reply_since = 0
        if reply.match_index >= 0:
            follower.snapshot = None
            follower.match_index = max(follower.match_index, reply.match_index)
            follower.next_index = follower.match_index + 1
            follower.is_probing = True
            follower.messages_in_flight = 0
            return True
        if follower.snapshot is not None and follower.snapshot.index == reply.last_index:
            follower.snapshot = SnapshotProgress(reply.last_index, reply.offset)
        return False


class SnapshotReceiver:
    """Receives snapshots on a follower and installs them."""

    def __init__(self, state: RaftState, follow_leader: Callable[[str], None]) -> None:
        """`follow_leader` is called with the leader's id for each message from the leader."""
        self.state = state
        self.follow_leader = follow_leader
        self._received_data = bytearray()
        self._receiving_index = 0  # of the last entry in the snapshot that is being received

    def handle_install_snapshot(self, sender: str, message: InstallSnapshot) -> None:
        """Store a chunk; after the last one, install the snapshot."""
        self.follow_leader(sender)
        if message.last_index <= self.state.commit_index:
            # Entries arrived faster than the snapshot: the committed state already includes it.
            self._reply(sender, message, offset=0, match_index=self.state.commit_index)
            return
        if message.offset == 0 or message.last_index != self._receiving_index:
            self._received_data = bytearray()
            self._receiving_index = message.last_index
        if message.offset == len(self._received_data):
            self._received_data += message.data
            if message.done:
                self._install(message)
                self._reply(sender, message, offset=0, match_index=message.last_index)
                return
        self._reply(sender, message, offset=len(self._received_data), match_index=SNAPSHOT_INCOMPLETE)

    def _reply(self, sender: str, message: InstallSnapshot, offset: int, match_index: int) -> None:
        reply = InstallSnapshotReply(
            term=self.state.current_term,
            round_number=message.round_number,
            last_index=message.last_index,
            offset=offset,
            match_index=match_index,
        )
        self.state.send(sender, reply)

    def _install(self, message: InstallSnapshot) -> None:
        state, log = self.state, self.state.log
        data = bytes(self._received_data)
        self._received_data = bytearray()
        self._receiving_index = 0
        index, term = message.last_index, message.last_term
        # If the log holds the snapshot's last entry, its later entries are valid and are kept.
        has_last_entry = log.term_at(index) == term
        later_entries = log.entries[index - log.snapshot_index :] if has_last_entry else []
        state.environment.install_snapshot(Snapshot(index, term, message.members, data))
        state.snapshot_members = message.members
        log.reset_to_snapshot(index, term)
        if later_entries:
            log.append(later_entries)
            state.environment.save_entries(later_entries)
        state.synced_index = min(state.synced_index, log.last_index())
        state.commit_index = index
        state.environment.on_snapshot_installed(data)
