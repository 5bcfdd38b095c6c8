"""The replicated log in memory: the entries since the last snapshot. Durability is the driver's business."""

from enum import StrEnum
from typing import Protocol, TypeAlias

import msgspec

from .membership import Members, members_from_plain

# What msgpack holds: None, bool, int, float, str, bytes, and lists and maps of them.
PlainValue: TypeAlias = object

PLAIN_COMMAND_SIZE = 64  # bytes assumed for a command that is not bytes, when a message is filled


class EntryKind(StrEnum):
    """What an entry is for. The values are stored and sent."""

    NOOP = "noop"  # the first entry of each leader (Raft paper, section 8)
    MEMBERS = "members"  # a change of the members; its data are the new `Members`
    DATA = "data"  # a command for the state machine


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One entry of the log. `data` are plain values (those of msgpack), but for members, which are typed."""

    index: int
    term: int
    kind: EntryKind
    data: PlainValue


class Snapshot(msgspec.Struct, frozen=True):
    """The state of everything up to an entry, which takes the place of the log up to there."""

    index: int  # of the last entry that is in it
    term: int  # of that entry
    members: Members
    data: bytes


class StateMachine(Protocol):
    """What the committed commands of the log change; the same on all replicas."""

    def apply(self, index: int, command: PlainValue) -> None:
        """Execute the command that was committed at `index`, as plain values. Must not fail."""

    def take_snapshot(self) -> bytes:
        """Return the whole state."""

    def restore_snapshot(self, data: bytes) -> None:
        """Replace the state by that of a snapshot; b"" is the empty state."""


def with_typed_members(entry: Entry) -> Entry:
    """Return an entry read from disk or wire with its members typed. Raises msgspec.ValidationError."""
    if entry.kind is not EntryKind.MEMBERS:
        return entry
    return Entry(entry.index, entry.term, entry.kind, members_from_plain(entry.data))


class Log:
    """The entries behind a snapshot. Indexes start at 1; the snapshot stands for all up to its index."""

    def __init__(self, snapshot_index: int = 0, snapshot_term: int = 0) -> None:
        """Begin an empty log behind a snapshot; 0 means that there is none."""
        self.snapshot_index = snapshot_index
        self.snapshot_term = snapshot_term
        self.entries: list[Entry] = []
        # Kept apart because the members are looked up at each message.
        self.membership_changes: list[Entry] = []

    def last_index(self) -> int:
        """Return the index of the last entry, or of the snapshot if there is none."""
        return self.snapshot_index + len(self.entries)

    def last_term(self) -> int:
        """Return the term of the last entry, or of the snapshot if there is none."""
        return self.entries[-1].term if self.entries else self.snapshot_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry; None if it is not here: compacted away, or not received yet."""
        if index == self.snapshot_index:
            return self.snapshot_term
        if self.snapshot_index < index <= self.last_index():
            return self.entries[index - self.snapshot_index - 1].term
        return None

    def get(self, index: int) -> Entry:
        """Return an entry that is behind the snapshot."""
        return self.entries[index - self.snapshot_index - 1]

    def after(self, index: int, max_entries: int, max_bytes: int) -> list[Entry]:
        """Return the entries behind `index`: at least one if there is any, then as many as fit."""
        selected: list[Entry] = []
        size = 0
        position = index - self.snapshot_index
        for entry in self.entries[position : position + max_entries]:
            size += len(entry.data) if isinstance(entry.data, bytes) else PLAIN_COMMAND_SIZE
            if selected and size > max_bytes:
                break
            selected.append(entry)
        return selected

    def append(self, entries: list[Entry]) -> None:
        """Add entries that follow the last one."""
        self.entries += entries
        self.membership_changes += [entry for entry in entries if entry.kind is EntryKind.MEMBERS]

    def truncate_from(self, index: int) -> None:
        """Drop the entry at `index` and all behind it."""
        del self.entries[index - self.snapshot_index - 1 :]
        self.membership_changes = [entry for entry in self.membership_changes if entry.index < index]

    def compact(self, index: int) -> None:
        """Drop the entries up to `index`, which is in the log: a snapshot holds them."""
        term = self.term_at(index)
        assert term is not None
        del self.entries[: index - self.snapshot_index]
        self.membership_changes = [entry for entry in self.membership_changes if entry.index > index]
        self.snapshot_index = index
        self.snapshot_term = term

    def restart_at(self, index: int, term: int) -> None:
        """Drop everything: a leader's snapshot up to `index` takes its place."""
        self.entries.clear()
        self.membership_changes.clear()
        self.snapshot_index = index
        self.snapshot_term = term

    def first_of_term(self, index: int) -> int:
        """Return the first index known here whose entry has the term of the one at `index`."""
        term = self.term_at(index)
        while index - 1 > self.snapshot_index and self.term_at(index - 1) == term:
            index -= 1
        return index
