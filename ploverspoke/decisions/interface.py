"""Interface between the dispatch decisions and the code that runs them.

The caller reports each event by one method of `dispatcher.Dispatcher`; the dispatcher acts by calling the
methods of `DispatchActions` before that method returns. Times are whole nanoseconds of one monotonic clock.
"""

from collections.abc import Iterable, Mapping
from enum import Enum, StrEnum
from typing import NamedTuple, Protocol

LoadReport = Mapping[str, float]  # by name of the field


class AttemptOutcome(StrEnum):
    """How an attempt or a probe ended. The values are those of stored data and must not change."""

    SUCCEEDED = "satisfied"
    WORKER_ERROR = "worker_error"
    FULL = "full"  # returned by the worker
    REJECTED = "rejected"  # the request itself is at fault
    BROKEN_OFF = "broken_off"  # the connection broke, or the response was malformed
    UNREACHABLE = "unreachable"
    TIMED_OUT = "timed_out"
    CANCELLED = "recalled"
    NOT_SENT = "not_sent"


ANSWERS = (AttemptOutcome.SUCCEEDED, AttemptOutcome.WORKER_ERROR, AttemptOutcome.FULL)
CONNECTION_FAILURES = (AttemptOutcome.UNREACHABLE, AttemptOutcome.BROKEN_OFF)
NEVER_RAN = frozenset({AttemptOutcome.FULL, AttemptOutcome.UNREACHABLE, AttemptOutcome.NOT_SENT})


def never_ran(full_may_have_run: bool) -> frozenset[AttemptOutcome]:
    """Outcomes that prove that a request never ran; FULL does not where workers return started work too."""
    return NEVER_RAN - {AttemptOutcome.FULL} if full_may_have_run else NEVER_RAN


class EndpointCondition(Enum):
    """Condition of a worker as service discovery shows it."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class EndReason(Enum):
    """Why a request ends without success; for logs and counters."""

    NOT_STATED = "not_stated"
    TOO_LATE = "too_late"  # no attempt that begins now could be answered in time
    REFUSED_AT_RANDOM = "refused_at_random"  # starts are late, and no load is reported
    QUEUEING_BUDGET_USED = "queueing_budget_used"
    NO_CAPACITY = "no_room"  # more requests, connections or bytes than the limits allow
    NO_DECISION = "no_decision"  # after a fault of the decisions, or at the end of a shutdown
    NO_FURTHER_ATTEMPT = "no_further_attempt"  # after one that failed: no time, no attempts or no group left


class Endpoint(NamedTuple):
    """One worker as service discovery shows it."""

    worker: str
    zone: int
    machine_kind: int
    rack: int
    condition: EndpointCondition
    weight: float
    started_at: int  # 0: long past


class AttemptResult(NamedTuple):
    """What is known when an attempt has ended."""

    worker: str
    outcome: AttemptOutcome
    elapsed: int  # ns since it was sent
    is_closed: bool  # the request has its final answer, or its client has left
    load: LoadReport | None = None


class LoadGossip(NamedTuple):
    """What a dispatcher sends to its peers about its own load."""

    zone: int
    sequence: int  # 0: first after a start; then 1 to 255, and 1 again
    lateness: float  # how late its attempts started, 0 to 1
    workers: Iterable[str]  # one entry for each slot that it has in flight there


class DispatchActions(Protocol):
    """Actions of a dispatcher."""

    def now(self) -> int:
        """Time of the monotonic clock."""

    def start_attempt(self, request_id: int, worker: str, timeout: int) -> None:
        """Send the request to the worker and wait at most `timeout` ns for its answer."""

    def cancel_attempt(self, request_id: int, attempt: int) -> None:
        """Stop waiting for one attempt, counted from 0; its end is still reported, once."""

    def reject(self, request_id: int, retry_after: int, reason: EndReason = EndReason.NOT_STATED) -> None:
        """Final answer: not done, and a retry is harmless, after so many ns; 0 gives no advice on when."""

    def fail(self, request_id: int, reason: EndReason = EndReason.NOT_STATED) -> None:
        """Final answer: not done as far as is known, with no promise about its effect."""

    def wake_at(self, token: int, when: int) -> None:
        """Call `timer_fired(token)` at that time or as soon as possible after it."""

    def probe(self, worker: str) -> None:
        """Request a worker's health and load; answered by `probe_completed`."""

    def send_gossip(self, peers: Iterable[int] | None, gossip: LoadGossip) -> None:
        """Send to these peers, None: to all; it may be lost."""

    def watch_endpoints(self) -> None:
        """Subscribe to the endpoint list; answered by the whole list and then by each change."""

    def log(self, line: str) -> None:
        """Write a line for the person on call."""
