"""Log replication by a follower (paper, section 5.3): it takes the leader's entries in place of its own."""

from collections.abc import Callable

from .log import Entry
from .raft_state import RaftState, Role
from .wire_messages import AppendEntries, AppendEntriesReply


class LogReceiver:
    """Answers AppendEntries."""

    def __init__(self, state: RaftState, follow: Callable[[str], None]) -> None:
        """`follow` is called with the id of the leader that has sent something."""
        self.state = state
        self.follow = follow

    def handle_append_entries(self, sender: str, message: AppendEntries) -> None:
        """Append the entries if the log agrees with the leader's before them, and commit what it has."""
        if self.state.role is Role.LEADER:
            return  # two leaders of one term cannot be: this is not from a replica of this cluster
        self.follow(sender)
        log = self.state.log
        entries, previous_index = self._entries_behind_snapshot(message)
        # What is in the snapshot is committed, so it agrees.
        is_behind_snapshot = previous_index > log.snapshot_index
        is_unchanged = previous_index == message.previous_index
        if is_behind_snapshot and is_unchanged and log.term_at(previous_index) != message.previous_term:
            self._reject(sender, message, previous_index)
            return
        self._append(entries)
        match_index = max(message.previous_index, entries[-1].index if entries else previous_index)
        if message.commit_index > self.state.commit_index:
            self.state.commit_to(min(message.commit_index, match_index))
        self._reply(sender, message, success=True, match_index=match_index, next_index=0)

    def _entries_behind_snapshot(self, message: AppendEntries) -> tuple[list[Entry], int]:
        """Return the entries that are not in the snapshot, and the index before them."""
        entries, previous_index = message.entries, message.previous_index
        while entries and entries[0].index <= self.state.log.snapshot_index:
            previous_index = entries[0].index
            entries = entries[1:]
        return entries, previous_index

    def _append(self, entries: list[Entry]) -> None:
        """Append the entries that are new; one that conflicts drops all behind it."""
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
        assert index > state.commit_index, "a committed entry is never replaced"
        state.log.truncate_from(index)
        state.synced_index = min(state.synced_index, index - 1)
        state.environment.truncate_entries_from(index)

    def _reject(self, sender: str, message: AppendEntries, previous_index: int) -> None:
        """Report to the leader where the logs may agree: before the whole conflicting term."""
        log = self.state.log
        is_missing = previous_index > log.last_index()
        next_index = log.last_index() + 1 if is_missing else log.first_of_term(previous_index)
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
