"""Histories of the claims of processes and the observations of fakes, one JSON array a line.

All times are of the machine's monotonic clock, also in a process whose clock the rig replaces: this module
must be imported before the clock is replaced.
"""

import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

monotonic_now = time.monotonic_ns
EVENTS_SHOWN = 20  # by default, around a finding


class HistoryEvent(NamedTuple):
    """One line of a history."""

    at: int  # ns of the machine's monotonic clock
    source: str  # the name of the process that recorded it
    kind: str
    detail: Any = None


class History:
    """Writes one process's history, unbuffered: a kill of the process loses no event that was added."""

    def __init__(self, path: Path, source: str) -> None:
        """Open the file for appending; `source` is the name of the process in its events."""
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
