"""Events that clients, workers and discovery observe, in the same form for both drivers.

Dispatchers record no events: the checkers rely only on observations from outside. An event file has one JSON
array in each line.
"""

from collections.abc import Iterable, Iterator
from enum import StrEnum
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

# Events of clients
REQUEST_SENT = "sent"  # detail: RequestSent
REQUEST_ACCEPTED = "taken"  # its last byte was sent on a connection that the dispatcher's machine accepted
REQUEST_ANSWERED = "answered"  # detail: one of the outcomes below
CLIENT_DISCONNECTED = "left"
CONNECT_FAILED = "never taken"
REQUEST_TIMED_OUT = "unanswered"  # no answer by the deadline
BEHIND_SCHEDULE = "behind"  # the load generator is late; detail: the lateness in ns
# Events of workers
ATTEMPT_ARRIVED = "came"  # its last byte has arrived; detail: the attempt's serial number at the worker
ATTEMPT_STARTED = "began"  # detail: the serial number
ATTEMPT_ENDED = "ended"  # detail: AttemptEnded
ATTEMPT_CLOSED = "closed"  # the dispatcher closed its connection; detail: the serial number
WORKER_OVERLOADED = "fell"  # it crashed by overload while cold; detail: WorkerOverloaded
WORKER_DIED = "died"
WORKER_STARTED = "up"
# Events of discovery
ENDPOINT_NOTIFIED = "told"  # a dispatcher has received a worker's condition; detail: EndpointStatus
# Events of the fault injection
DISPATCHER_KILLED = "dispatcher down"
DISPATCHER_TERMINATING = "dispatcher leaves"  # SIGTERM
DISPATCHER_STARTED = "dispatcher up"

# Outcomes of a request, as the client sees them
SUCCEEDED = "satisfied"
REJECTED = "nacked"
FAILED = "abandoned"
INVALID_ANSWER = "rejected"  # an unexpected status or body
BROKEN = "broken"  # the connection broke before the answer


class ExecutionEnd(StrEnum):
    """How the execution of an attempt at a worker ended."""

    DONE = "done"
    FAILED = "failed"
    RETURNED = "returned"  # without having been started
    LOST = "lost"  # the worker died
    CANCELLED = "recalled"
    DUPLICATE_DROPPED = "repeat dropped"


class EndpointStatus(StrEnum):
    """The condition of a worker as discovery lists it."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class RequestSent(NamedTuple):
    """Detail of REQUEST_SENT; times are in ns from the start of the run."""

    request_class: int
    attempt: int  # of the client, counted from 0
    deadline: int
    first_sent_at: int


class AttemptEnded(NamedTuple):
    """Detail of ATTEMPT_ENDED."""

    serial: int
    end: str  # the value of an ExecutionEnd


class WorkerOverloaded(NamedTuple):
    """Detail of WORKER_OVERLOADED; work is in ns of one slot at speed 1."""

    arrived_work: int  # within the overload window
    work_limit: int
    work_by_dispatcher: dict[str, int]


class Event(NamedTuple):
    """One event; fields that do not apply to its kind are -1 or empty."""

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
    """Yield the events up to the last complete line, since the writer may have been killed while writing."""
    decoder: msgspec.json.Decoder[Event] = msgspec.json.Decoder(Event)
    with path.open("rb") as file:
        for line in file:
            if not line.endswith(b"\n"):
                return
            yield decoder.decode(line)


def merge_events(logs: Iterable[Iterable[Event]]) -> list[Event]:
    """Sort events by time; events of the same time keep the order of their log."""
    return sorted((event for log in logs for event in log), key=lambda event: event.at)
