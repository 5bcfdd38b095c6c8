"""The observations of clients and workers about one request, which are the input of the request audit."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from ..models.event_records import BROKEN, ExecutionEnd

UNKNOWN_TIME = -1


class Rule(StrEnum):
    """The rules that dispatchers must keep."""

    ONE_ANSWER = "1 one answer"
    RETRIES = "2 retries"
    DRAINING = "3 draining"
    SLOW_START = "4 slow start"


class Finding(NamedTuple):
    """One violation of a rule."""

    rule: Rule
    at: int  # ns
    request_id: str  # "" if the finding is about a worker
    worker: str
    text: str
    timeline: list[str]  # what was observed; only for the first findings


class Answer(NamedTuple):
    """An answer that a client received, or the break of its connection."""

    at: int  # ns
    outcome: str  # one of those in event_records


@dataclass(slots=True, eq=False)
class ObservedAttempt:
    """One attempt as its worker observed it; times in ns, UNKNOWN_TIME where there was none."""

    arrived_at: int
    worker: str
    serial: int  # the worker's number of the attempt
    dispatcher: int
    end: ExecutionEnd | None = None
    open_until: int = UNKNOWN_TIME  # its end or the close of its connection, whichever was first

    def may_have_run(self) -> bool:
        """Whether the worker may have run the request."""
        return self.end != ExecutionEnd.RETURNED


@dataclass(slots=True, eq=False)
class ObservedRequest:
    """One request as its client and its workers observed it.

    Times are in ns, UNKNOWN_TIME where there was none.
    """

    id: str
    job: int
    dispatcher: int
    request_class: int
    deadline: int
    accepted_at: int = UNKNOWN_TIME  # by the dispatcher's machine
    disconnected_at: int = UNKNOWN_TIME  # the client gave up
    answers: list[Answer] = field(default_factory=list)
    attempts: list[ObservedAttempt] = field(default_factory=list)

    def final_answers(self) -> list[Answer]:
        """The answers that were complete."""
        return [answer for answer in self.answers if answer.outcome != BROKEN]

    def ended_at(self) -> int:
        """When the client had its first answer or gave up, whichever was first."""
        times = [self.disconnected_at, self.answers[0].at if self.answers else UNKNOWN_TIME]
        return min((at for at in times if at >= 0), default=UNKNOWN_TIME)

    def find_attempt(self, worker: str, serial: int) -> ObservedAttempt | None:
        """The attempt with that number at that worker."""
        matching = (a for a in self.attempts if a.worker == worker and a.serial == serial)
        return next(matching, None)
