"""Log replication on a follower (paper, section 5.3): the leader's entries replace conflicting ones."""

from collections.abc import Callable

from .log import Entry
from .raft_state import RaftState, Role
from .wire_messages import AppendEntries, AppendEntriesReply


class LogReceiver:
    """Handles AppendEntries."""

    def __init__(self, state: RaftState, follow_leader: Callable[[str], None]) -> None:
        """`follow_leader` is called with the leader's id for each message from the leader."""
        self.state = state
        self.follow_leader = follow_leader

    def handle_append_entries(self, sender: str, message: AppendEntries) -> None:
        """Append the entries if the log matches the leader's before them, and advance the commit index."""
        if self.state.role is Role.LEADER:
            return  # a term has only one leader, so the sender is not a replica of this cluster
        self.follow_leader(sender)
        log = self.state.log
        entries, previous_index = self._entries_after_snapshot(message)
        # Entries in the snapshot are committed, so they match the leader's.
        is_after_snapshot = previous_index > log.snapshot_index
        is_unchanged = previous_index == message.previous_index
        if is_after_snapshot and is_unchanged and log.term_at(previous_index) != message.previous_term:
            self._reject(sender, message, previous_index)
            return
        self._append(entries)
        match_index = max(message.previous_index, entries[-1].index if entries else previous_index)
        if message.commit_index > self.state.commit_index:
            self.state.commit_to(min(message.commit_index, match_index))
        self._reply(sender, message, success=True, match_index=match_index, next_index=0)

    def _entries_after_snapshot(self, message: AppendEntries) -> tuple[list[Entry], int]:
        """Return the entries that the snapshot does not include, and the index before them."""
        entries, previous_index = message.entries, message.previous_index
        while entries and entries[0].index <= self.state.log.snapshot_index:
            previous_index = entries[0].index
            entries = entries[1:]
        return entries, previous_index

    def _append(self, entries: list[Entry]) -> None:
        """Append the new entries; the first one that conflicts with the log truncates it."""
        log = self.state.log
        first_new = next((entry for entry in entries if log.term_at(entry.index) != entry.term), None)
        if first_new is None:
            return
        if first_new.index <= log.last_index():
            self._truncate_from(first_new.index)
        new_entries = [entry for entry in entries if entry.index >= first_new.index]
        log.append(new_entries)
        self.state.environment.save_entries(new_entries)

    def _truncate_from(self, index: int) -> None:
        state = self.state
        assert index > state.commit_index, "a committed entry must not be replaced"
        state.log.truncate_from(index)
        state.synced_index = min(state.synced_index, index - 1)
        state.environment.truncate_entries_from(index)

    def _reject(self, sender: str, message: AppendEntries, previous_index: int) -> None:
        """Tell the leader where the logs may match: before all entries of the conflicting term."""
        log = self.state.log
        is_missing = previous_index > log.last_index()
        next_index = log.last_index() + 1 if is_missing else log.first_index_of_same_term(previous_index)
        self._reply(sender, message, success=False, match_index=0, next_index=next_index)

    def _reply(
        self, sender: str, message: AppendEntries, success: bool, match_index: int, next_index: int
    ) -> None:
        reply = AppendEntriesReply(
            term=self.state.current_term,
            round_number=message.round_number,
            had_entries=bool(message.entries),
            success=success,
            match_index=match_index,
            next_index=next_index,
        )
        self.state.send(sender, reply)
