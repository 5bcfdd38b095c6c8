"""Histories: what processes claim and what fakes observe, one JSON array a line, on one monotonic clock.

The clock is the machine's own, also in a process whose clock the rig replaces: this module must be imported
before that.
"""

import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

monotonic_now = time.monotonic_ns
EVENTS_SHOWN = 20  # around a finding


class HistoryEvent(NamedTuple):
    """One line of a history."""

    at: int  # ns of the machine's monotonic clock
    source: str  # the name of the process that recorded it
    kind: str
    detail: Any = None


class History:
    """Writes one process's history. It is unbuffered: a kill loses no event that was added."""

    def __init__(self, path: Path, source: str) -> None:
        """Open the file to append to it; `source` is the name in its events."""
        self._file = path.open("ab", buffering=0)
        self.source = source

    def add(self, kind: str, detail: Any = None, at: int | None = None) -> int:
        """Append an event at that time (ns), or now; returns its time."""
        at = monotonic_now() if at is None else at
        self._file.write(msgspec.json.encode(HistoryEvent(at, self.source, kind, detail)) + b"\n")
        return at


def read_history(path: Path) -> Iterator[HistoryEvent]:
    """Read the events of one file, up to its last complete line."""
    decoder: msgspec.json.Decoder[HistoryEvent] = msgspec.json.Decoder(HistoryEvent)
    for line in path.read_bytes().splitlines(keepends=True):
        if line.endswith(b"\n"):
            yield decoder.decode(line)


def read_histories(folder: Path) -> list[HistoryEvent]:
    """Read the events of all histories in a folder, in order of time."""
    histories = (read_history(path) for path in sorted(folder.glob("*.history")))
    return sorted((event for history in histories for event in history), key=lambda event: event.at)


def events_around(events: list[HistoryEvent], at: int, count: int = EVENTS_SHOWN) -> list[str]:
    """Format the events nearest to that time, one a line, with their distance from it in ms."""
    by_distance = sorted(events, key=lambda event: abs(event.at - at))
    nearest = sorted(by_distance[:count], key=lambda event: event.at)
    return [f"{(e.at - at) / 1e6:+10.3f} ms  {e.source}  {e.kind}  {e.detail}" for e in nearest]
