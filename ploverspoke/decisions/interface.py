"""Interface between the dispatch decisions and the code that runs them.

The caller reports each event by one method of `dispatcher.Dispatcher`; the dispatcher acts by calling the
methods of `DispatchActions` before that method returns. Times are whole nanoseconds of one monotonic clock.
"""

from collections.abc import Iterable, Mapping
from enum import Enum, StrEnum
from typing import NamedTuple, Protocol

LoadReport = Mapping[str, float]  # values by field name


class AttemptOutcome(StrEnum):
    """How an attempt or a probe ended. The values occur in stored data and must not change."""

    SUCCEEDED = "satisfied"
    WORKER_ERROR = "worker_error"
    FULL = "full"  # returned by the worker
    REJECTED = "rejected"  # the request itself is at fault
    CONNECTION_BROKEN = "broken_off"  # the connection broke, or the response was malformed
    UNREACHABLE = "unreachable"
    TIMED_OUT = "timed_out"
    CANCELLED = "recalled"
    NOT_SENT = "not_sent"


ANSWERS = (AttemptOutcome.SUCCEEDED, AttemptOutcome.WORKER_ERROR, AttemptOutcome.FULL)
CONNECTION_FAILURES = (AttemptOutcome.UNREACHABLE, AttemptOutcome.CONNECTION_BROKEN)
NEVER_RAN = frozenset({AttemptOutcome.FULL, AttemptOutcome.UNREACHABLE, AttemptOutcome.NOT_SENT})


def never_ran(full_may_have_run: bool) -> frozenset[AttemptOutcome]:
    """Outcomes that prove that a request never ran; FULL does not if workers may return started requests."""
    return NEVER_RAN - {AttemptOutcome.FULL} if full_may_have_run else NEVER_RAN


class SendRefusal(StrEnum):
    """Why an attempt that was decided on is not written; for logs and counters."""

    REQUEST_ENDED = "request_ended"
    WORKER_NOT_READY = "worker_not_ready"  # it drains or is gone
    LIST_EXPIRED = "endpoint_list_expired"
    SEND_WINDOW_ENDED = "send_window_ended"  # of the deadline, or in which workers recognize duplicates
    OUTSIDE_RETRY_GROUP = "outside_retry_group"
    WORKER_RESTARTED = "worker_restarted"
    SLOW_START = "slow_start"  # the attempt was charged to the worker's budget too long ago
    # Found by the caller.
    ADDRESS_CHANGED = "address_changed"
    NOT_LEADER = "not_leader"  # of the replicas of a store
    CLIENT_DISCONNECTED = "client_disconnected"


class EndpointCondition(Enum):
    """Condition of a worker as reported by service discovery."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class EndReason(Enum):
    """Why a request ends without success; for logs and counters."""

    NOT_STATED = "not_stated"
    TOO_LATE = "too_late"  # an attempt that starts now could not be answered in time
    REFUSED_AT_RANDOM = "refused_at_random"  # starts are late, and load probes are not allowed
    QUEUEING_BUDGET_USED = "queueing_budget_used"
    NO_CAPACITY = "no_room"  # more requests, connections or bytes than the limits allow
    NO_DECISION = "no_decision"  # after an error in the decisions, or at the end of a shutdown
    NO_FURTHER_ATTEMPT = "no_further_attempt"  # after a failure, with no time, attempts or workers left


class Endpoint(NamedTuple):
    """One worker as reported by service discovery."""

    worker: str
    zone: int
    machine_kind: int
    rack: int
    condition: EndpointCondition
    weight: float
    started_at: int  # 0: long ago


class AttemptResult(NamedTuple):
    """The result of an attempt that has ended."""

    worker: str
    outcome: AttemptOutcome
    elapsed: int  # ns since it was sent
    is_closed: bool  # the request has its final answer, or its client has left
    load: LoadReport | None = None


class LoadGossip(NamedTuple):
    """Message in which a dispatcher reports its own load to its peers."""

    zone: int
    sequence: int  # 0: first after a start; then 1 to 255, and 1 again
    lateness: float  # how late its attempts started, 0 to 1
    workers: Iterable[str]  # one entry for each slot that the sender has in flight at the worker


class DispatchActions(Protocol):
    """Actions of a dispatcher."""

    def now(self) -> int:
        """Time of the monotonic clock."""

    def start_attempt(self, request_id: int, worker: str, timeout: int) -> None:
        """Send the request to the worker and wait at most `timeout` ns for its answer."""

    def cancel_attempt(self, request_id: int, attempt: int) -> None:
        """Stop waiting for one attempt, counted from 0; its end is still reported, once."""

    def reject(self, request_id: int, retry_after: int, reason: EndReason = EndReason.NOT_STATED) -> None:
        """Final answer: not done, a retry is harmless after `retry_after` ns; 0 gives no advice on when."""

    def fail(self, request_id: int, reason: EndReason = EndReason.NOT_STATED) -> None:
        """Final answer: failed, without a guarantee that the request had no effect."""

    def wake_at(self, token: int, when: int) -> None:
        """Call `timer_fired(token)` at `when` or as soon as possible after it."""

    def probe(self, worker: str) -> None:
        """Request a worker's health and load; answered by `probe_completed`."""

    def send_gossip(self, peers: Iterable[int] | None, gossip: LoadGossip) -> None:
        """Send gossip to these peers, or to all if None; it may be lost."""

    def watch_endpoints(self) -> None:
        """Subscribe to the endpoint list; answered by the complete list and then by each change."""

    def log(self, line: str) -> None:
        """Write a log line for the operator on call."""
