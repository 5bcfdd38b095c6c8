"""The log as consensus sees it: entries since the last snapshot, in memory. The driver writes them down."""

from typing import Any, NamedTuple


class Entry(NamedTuple):
    """One entry. Kinds: "noop" (a leader's first), "members", "data"."""

    at: int  # its index
    term: int
    kind: str
    data: Any


class Log:
    def __init__(self, snapshot_index: int = 0, snapshot_term: int = 0) -> None:
        self.snapshot_index = snapshot_index
        self.snapshot_term = snapshot_term
        self.entries: list[Entry] = []
        self.changes: list[
            Entry
        ] = []  # those of the members: asked for at each message, searched for in no log

    def last_index(self) -> int:
        return self.snapshot_index + len(self.entries)

    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.snapshot_term

    def term_at(self, index: int) -> int | None:
        """None where the entry is not known here: compacted away, or not there yet."""
        if index == self.snapshot_index:
            return self.snapshot_term
        if self.snapshot_index < index <= self.last_index():
            return self.entries[index - self.snapshot_index - 1].term
        return None

    def get(self, index: int) -> Entry:
        return self.entries[index - self.snapshot_index - 1]

    def after(self, index: int, most: int, most_bytes: int) -> list[Entry]:
        """Entries behind that index: at least one where there is one, then as many as the bounds allow."""
        found: list[Entry] = []
        size = 0
        at = index - self.snapshot_index
        for entry in self.entries[at : at + most]:
            size += len(entry.data) if isinstance(entry.data, bytes) else 64
            if found and size > most_bytes:
                break
            found.append(entry)
        return found

    def append(self, entries: list[Entry]) -> None:
        self.entries += entries
        self.changes += [entry for entry in entries if entry.kind == "members"]

    def cut_from(self, index: int) -> None:
        """Drop that entry and all behind it."""
        del self.entries[index - self.snapshot_index - 1 :]
        self.changes = [entry for entry in self.changes if entry.at < index]

    def compact(self, index: int) -> None:
        """A snapshot holds all up to that index."""
        term = self.term_at(index)
        assert term is not None
        del self.entries[: index - self.snapshot_index]
        self.changes = [entry for entry in self.changes if entry.at > index]
        self.snapshot_index, self.snapshot_term = index, term

    def restart_at(self, index: int, term: int) -> None:
        """Another's snapshot takes the place of everything."""
        self.entries.clear()
        self.changes.clear()
        self.snapshot_index, self.snapshot_term = index, term

    def first_of_term(self, index: int) -> int:
        """The first entry known here of the term that stands at that index."""
        term = self.term_at(index)
        while index - 1 > self.snapshot_index and self.term_at(index - 1) == term:
            index -= 1
        return index
