"""Events that clients, workers and discovery observe, in one form for both drivers.

Dispatchers record none: the checkers judge by what is seen from outside. An event file has one JSON array in
each line.
"""

from collections.abc import Iterable, Iterator
from enum import StrEnum
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

# Events of clients.
REQUEST_SENT = "sent"  # detail: RequestSent
REQUEST_ACCEPTED = "taken"  # its last byte is on a connection that the dispatcher's machine accepted
REQUEST_ANSWERED = "answered"  # detail: one of the outcomes below
CLIENT_DISCONNECTED = "left"
CONNECT_FAILED = "never taken"
REQUEST_TIMED_OUT = "unanswered"  # no answer by the deadline
BEHIND_SCHEDULE = "behind"  # the load generator is late; detail: by how many ns
# Events of workers.
ATTEMPT_ARRIVED = "came"  # its last byte has arrived; detail: its serial number at the worker
ATTEMPT_STARTED = "began"  # detail: the same number
ATTEMPT_ENDED = "ended"  # detail: AttemptEnded
ATTEMPT_CLOSED = "closed"  # the dispatcher closed its connection; detail: the same number
WORKER_OVERLOADED = "fell"  # crashed by overload while cold; detail: WorkerOverloaded
WORKER_DIED = "died"
WORKER_STARTED = "up"
# Events of discovery.
ENDPOINT_NOTIFIED = "told"  # a dispatcher has received a worker's condition; detail: EndpointStatus
# Events of the fault injection.
DISPATCHER_KILLED = "dispatcher down"
DISPATCHER_TERMINATING = "dispatcher leaves"  # SIGTERM
DISPATCHER_STARTED = "dispatcher up"

# Outcomes of a request, as the client sees them.
SUCCEEDED = "satisfied"
REJECTED = "nacked"
FAILED = "abandoned"
INVALID_ANSWER = "rejected"  # an unexpected status or body
BROKEN = "broken"  # the connection broke before the answer


class ExecutionEnd(StrEnum):
    """How the execution of an attempt at a worker ended."""

    DONE = "done"
    FAILED = "failed"
    RETURNED = "returned"  # never started
    LOST = "lost"  # the worker died
    CANCELLED = "recalled"
    DUPLICATE_DROPPED = "repeat dropped"


class EndpointStatus(StrEnum):
    """The condition of a worker as discovery lists it."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class RequestSent(NamedTuple):
    """Detail of REQUEST_SENT; times in ns from the start of the run."""

    request_class: int
    attempt: int  # of the client; 0: the first
    deadline: int
    first_sent_at: int


class AttemptEnded(NamedTuple):
    """Detail of ATTEMPT_ENDED."""

    serial: int
    end: str  # the value of an ExecutionEnd


class WorkerOverloaded(NamedTuple):
    """Detail of WORKER_OVERLOADED; work in ns of one slot at speed 1."""

    arrived_work: int  # in the overload window
    work_limit: int
    work_by_dispatcher: dict[str, int]


class Event(NamedTuple):
    """One event; what its kind does not have is -1 or empty."""

    at: int  # ns from the start of the run
    kind: str
    request_id: str = ""
    job: int = -1  # number of the scheduled request, which the client's retries share
    dispatcher: int = -1
    worker: str = ""
    detail: Any = ""


class EventLog:
    """Events in the order in which they happen."""

    def __init__(self) -> None:
        """Start without events."""
        self.events: list[Event] = []

    def add(self, event: Event) -> None:
        """Append an event."""
        self.events.append(event)


def write_events(events: Iterable[Event], path: Path) -> None:
    """Write an event file."""
    encoder = msgspec.json.Encoder()
    with path.open("wb") as file:
        file.writelines(encoder.encode(event) + b"\n" for event in events)


def read_events(path: Path) -> Iterator[Event]:
    """Yield the events of a file up to its last complete line: its writer may have been killed."""
    decoder: msgspec.json.Decoder[Event] = msgspec.json.Decoder(Event)
    with path.open("rb") as file:
        for line in file:
            if not line.endswith(b"\n"):
                return
            yield decoder.decode(line)


def merge_events(logs: Iterable[Iterable[Event]]) -> list[Event]:
    """Sort events by time; those of one instant keep the order of their log."""
    return sorted((event for log in logs for event in log), key=lambda event: event.at)
