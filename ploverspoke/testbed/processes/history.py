"""Histories: what processes claim and what stand-ins saw, a JSON array a line, all on one monotonic clock.

The clock is the machine's own, also in a process whose clock the rig has exchanged: this module must be
imported before that is done.
"""

import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

monotonic_now = time.monotonic_ns
ROUND_IT = 20  # events shown round a finding


class HistoryEvent(NamedTuple):
    at: int  # ns of the machine's monotonic clock
    who: str
    what: str
    detail: Any = None


class History:
    """One process's file. Each line is written when it happens: a kill loses none that was written."""

    def __init__(self, path: Path, who: str) -> None:
        self.file = path.open("ab", buffering=0)
        self.who = who

    def add(self, what: str, detail: Any = None, at: int | None = None) -> int:
        """Gives the time that was written."""
        at = monotonic_now() if at is None else at
        self.file.write(msgspec.json.encode(HistoryEvent(at, self.who, what, detail)) + b"\n")
        return at


def read_history(path: Path) -> Iterator[HistoryEvent]:
    """Up to the last whole line."""
    decoder: msgspec.json.Decoder[HistoryEvent] = msgspec.json.Decoder(HistoryEvent)
    for line in path.read_bytes().splitlines(keepends=True):
        if line.endswith(b"\n"):
            yield decoder.decode(line)


def read_histories(folder: Path) -> list[HistoryEvent]:
    parts = (read_history(path) for path in sorted(folder.glob("*.history")))
    return sorted((event for part in parts for event in part), key=lambda event: event.at)


def events_around(events: list[HistoryEvent], at: int, count: int = ROUND_IT) -> list[str]:
    """The events next to that time, as lines; times in ms from it."""
    near = sorted(sorted(events, key=lambda e: abs(e.at - at))[:count], key=lambda e: e.at)
    return [f"{(e.at - at) / 1e6:+10.3f} ms  {e.who}  {e.what}  {e.detail}" for e in near]
