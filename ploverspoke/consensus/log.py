"""The replicated log in memory: the entries since the last snapshot. The driver makes it durable."""

from enum import StrEnum
from typing import Protocol, TypeAlias

import msgspec

from .errors import ConsensusError
from .membership import Members, members_from_plain

# A value that msgpack can encode: None, bool, int, float, str, bytes, and lists and maps of these.
PlainValue: TypeAlias = object

ENTRY_OVERHEAD_BYTES = 48  # upper bound for the index, the term and the kind of an encoded entry


class EntryKind(StrEnum):
    """The kind of an entry. The values are stored and sent."""

    NOOP = "noop"  # the first entry of each leader (Raft paper, section 8)
    MEMBERS = "members"  # a membership change; its data is the new `Members`
    DATA = "data"  # a command for the state machine


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One log entry. `data` is a plain msgpack value, except that of a MEMBERS entry, which is `Members`."""

    index: int
    term: int
    kind: EntryKind
    data: PlainValue


_encoder = msgspec.msgpack.Encoder()


class Snapshot(msgspec.Struct, frozen=True):
    """The state after all entries up to `index`; it replaces the log up to there."""

    index: int  # of the last entry included
    term: int  # of that entry
    members: Members
    data: bytes


class MalformedEntryError(ConsensusError):
    """A committed command cannot be read by the state machine."""


class StateMachine(Protocol):
    """The replicated state, which all replicas change by applying the same committed commands."""

    def apply(self, index: int, command: PlainValue) -> None:
        """Execute the command that was committed at `index`, a plain value.

        Raises MalformedEntryError, with the state unchanged, if the command cannot be read: all replicas
        then skip it.
        """

    def take_snapshot(self) -> bytes:
        """Return the whole state."""

    def restore_snapshot(self, data: bytes) -> None:
        """Replace the state by that of a snapshot; b"" stands for the empty state."""


def encoded_entry_bytes(entry: Entry) -> int:
    """Return an upper bound for the size of an encoded entry, in bytes."""
    return ENTRY_OVERHEAD_BYTES + len(_encoder.encode(entry.data))


def with_typed_members(entry: Entry) -> Entry:
    """Convert the members in an entry that was read from disk or received. Raises msgspec.ValidationError."""
    if entry.kind is not EntryKind.MEMBERS:
        return entry
    return Entry(entry.index, entry.term, entry.kind, members_from_plain(entry.data))


class Log:
    """The entries after a snapshot. Indexes start at 1; the snapshot replaces all entries up to its index."""

    def __init__(self, snapshot_index: int = 0, snapshot_term: int = 0) -> None:
        """Create an empty log after a snapshot; 0 means that there is no snapshot."""
        self.snapshot_index = snapshot_index
        self.snapshot_term = snapshot_term
        self.entries: list[Entry] = []
        # A separate list, because the members are looked up for every message.
        self.membership_changes: list[Entry] = []

    def last_index(self) -> int:
        """Return the index of the last entry, or of the snapshot if there are no entries."""
        return self.snapshot_index + len(self.entries)

    def last_term(self) -> int:
        """Return the term of the last entry, or of the snapshot if there are no entries."""
        return self.entries[-1].term if self.entries else self.snapshot_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry; None if it was compacted away or is not in the log yet."""
        if index == self.snapshot_index:
            return self.snapshot_term
        if self.snapshot_index < index <= self.last_index():
            return self.entries[index - self.snapshot_index - 1].term
        return None

    def get(self, index: int) -> Entry:
        """Return the entry at `index`, which must be in the log and after the snapshot."""
        return self.entries[index - self.snapshot_index - 1]

    def entries_after(self, index: int, max_entries: int, max_bytes: int) -> list[Entry]:
        """Return the entries after `index` that fit the limits, and at least one if there is any."""
        selected: list[Entry] = []
        size = 0
        position = index - self.snapshot_index
        for entry in self.entries[position : position + max_entries]:
            size += encoded_entry_bytes(entry)
            if selected and size > max_bytes:
                break
            selected.append(entry)
        return selected

    def append(self, entries: list[Entry]) -> None:
        """Append entries whose indexes follow the last one."""
        self.entries += entries
        self.membership_changes += [entry for entry in entries if entry.kind is EntryKind.MEMBERS]

    def truncate_from(self, index: int) -> None:
        """Delete the entry at `index` and all after it."""
        del self.entries[index - self.snapshot_index - 1 :]
        self.membership_changes = [entry for entry in self.membership_changes if entry.index < index]

    def compact(self, index: int) -> None:
        """Drop the entries up to `index`, which is in the log, because a snapshot includes them."""
        term = self.term_at(index)
        assert term is not None
        del self.entries[: index - self.snapshot_index]
        self.membership_changes = [entry for entry in self.membership_changes if entry.index > index]
        self.snapshot_index = index
        self.snapshot_term = term

    def reset_to_snapshot(self, index: int, term: int) -> None:
        """Drop all entries, because a leader's snapshot up to `index` replaces them."""
        self.entries.clear()
        self.membership_changes.clear()
        self.snapshot_index = index
        self.snapshot_term = term

    def first_index_of_same_term(self, index: int) -> int:
        """Return the first index in this log of the run of entries that have the same term as `index`."""
        term = self.term_at(index)
        while index - 1 > self.snapshot_index and self.term_at(index - 1) == term:
            index -= 1
        return index
