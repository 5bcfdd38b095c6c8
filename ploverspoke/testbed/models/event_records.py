"""What clients, workers and discovery saw, in one form for both drivers.

One event is (time in ns, what, submission, job, dispatcher, worker, detail); what a
kind does not know is -1 or "".
Dispatchers write none of it: the auditor judges by what was seen outside of them.
"""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

# By clients.
SENT = "sent"  # detail: [grade, try, abandon time, first sent at]
TAKEN = "taken"  # its last byte is on a connection that the dispatcher's machine accepted
ANSWERED = "answered"  # detail: "satisfied", "nacked", "abandoned", "rejected", "broken"
LEFT = "left"
NEVER_TAKEN = "never taken"  # no connection came up
UNANSWERED = "unanswered"  # the abandon time passed
# By workers.
CAME = "came"  # a hand-off, whole; detail: its serial number at the worker
BEGAN = "began"  # it runs; the same detail
ENDED = "ended"  # detail: [serial, "done", "failed", "returned", "lost", "recalled", "repeat dropped"]
CLOSED = "closed"  # the dispatcher closed a hand-off's connection; the same detail as of CAME
FELL = "fell"  # pushed over while cold; detail: [work in, work that it bears, work by dispatcher]
DIED = "died"
UP = "up"
# By discovery.
TOLD = "told"  # detail: "ready", "draining", "gone"
# By whoever makes the troubles.
DISPATCHER_DOWN = "dispatcher down"  # killed
DISPATCHER_LEAVES = "dispatcher leaves"  # told to end
DISPATCHER_UP = "dispatcher up"
BEHIND = "behind"  # the load generator; detail: by so many ns


class Event(NamedTuple):
    at: int
    what: str
    submission: str = ""
    job: int = -1
    dispatcher: int = -1
    worker: str = ""
    detail: Any = ""


class Records:
    """Events in the order in which they happen."""

    def __init__(self) -> None:
        self.events: list[Event] = []

    def add(
        self,
        at: int,
        what: str,
        submission: str = "",
        job: int = -1,
        dispatcher: int = -1,
        worker: str = "",
        detail: Any = "",
    ) -> None:
        self.events.append(Event(at, what, submission, job, dispatcher, worker, detail))


def write_records(events: Iterable[Event], path: Path) -> None:
    """One JSON array a line."""
    encoder = msgspec.json.Encoder()
    with path.open("wb") as file:
        file.writelines(encoder.encode(event) + b"\n" for event in events)


def read_records(path: Path) -> Iterator[Event]:
    """Reads up to the last whole line: a stand-in may have been killed while it wrote."""
    decoder: msgspec.json.Decoder[Event] = msgspec.json.Decoder(Event)
    with path.open("rb") as file:
        for line in file:
            if not line.endswith(b"\n"):
                return
            yield decoder.decode(line)


def merge_records(parts: Iterable[Iterable[Event]]) -> list[Event]:
    """In order of time; events of one instant stay in the order in which their source saw them."""
    return sorted((event for part in parts for event in part), key=lambda event: event.at)
