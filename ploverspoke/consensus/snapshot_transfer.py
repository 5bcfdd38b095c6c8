"""Snapshots for followers whose next entry was compacted away (paper, section 7): sent in chunks."""

from collections.abc import Callable

from .leadership import FollowerProgress, SnapshotProgress
from .log import Snapshot
from .raft_state import RaftState
from .wire_messages import InstallSnapshot, InstallSnapshotReply

CHUNK_BYTES = 64 * 1024
INCOMPLETE = -1  # the match index of a reply to a chunk that was not the last


class SnapshotSender:
    """The leader's side."""

    def __init__(self, state: RaftState) -> None:
        """Take the snapshots from the environment of `state`."""
        self.state = state

    def send_chunk(self, replica_id: str, follower: FollowerProgress, round_number: int) -> None:
        """Send the next chunk, unless the answer to the one before is still awaited."""
        if follower.waiting_since:
            return
        snapshot = self.state.environment.latest_snapshot()
        if snapshot is None:
            return
        if follower.snapshot is None or follower.snapshot.index != snapshot.index:
            follower.snapshot = SnapshotProgress(snapshot.index, 0)
        offset = follower.snapshot.offset
        chunk = snapshot.data[offset : offset + CHUNK_BYTES]
        follower.waiting_since = self.state.environment.now()
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
        """Note how far a follower has come; returns whether it has the whole snapshot."""
        follower.waiting_since = 0
        if reply.match_index >= 0:
            follower.snapshot = None
            follower.match_index = max(follower.match_index, reply.match_index)
            follower.next_index = follower.match_index + 1
            follower.is_probing = True
            follower.in_flight = 0
            return True
        if follower.snapshot is not None and follower.snapshot.index == reply.last_index:
            follower.snapshot = SnapshotProgress(reply.last_index, reply.offset)
        return False


class SnapshotReceiver:
    """The follower's side."""

    def __init__(self, state: RaftState, follow: Callable[[str], None]) -> None:
        """`follow` is called with the id of the leader that has sent something."""
        self.state = state
        self.follow = follow
        self._received = bytearray()
        self._index = 0  # of the snapshot that is being received

    def handle_install_snapshot(self, sender: str, message: InstallSnapshot) -> None:
        """Take a chunk, and install the snapshot with the last one."""
        self.follow(sender)
        if message.last_index <= self.state.commit_index:
            # Entries came faster than the snapshot: what is here is newer.
            self._reply(sender, message, offset=0, match_index=self.state.commit_index)
            return
        if message.offset == 0 or message.last_index != self._index:
            self._received = bytearray()
            self._index = message.last_index
        if message.offset == len(self._received):
            self._received += message.data
            if message.done:
                self._install(message)
                self._reply(sender, message, offset=0, match_index=message.last_index)
                return
        self._reply(sender, message, offset=len(self._received), match_index=INCOMPLETE)

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
        data = bytes(self._received)
        self._received = bytearray()
        self._index = 0
        index, term = message.last_index, message.last_term
        # A log that holds the snapshot's last entry goes on past it and agrees: what is behind it stays.
        agrees = log.term_at(index) == term
        later_entries = log.entries[index - log.snapshot_index :] if agrees else []
        state.environment.install_snapshot(Snapshot(index, term, message.members, data))
        state.snapshot_members = message.members
        log.restart_at(index, term)
        if later_entries:
            log.append(later_entries)
            state.environment.save_entries(later_entries)
        state.synced_index = min(state.synced_index, log.last_index())
        state.commit_index = index
        state.environment.on_snapshot_installed(data)
