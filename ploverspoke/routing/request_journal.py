"""Counts and logs how attempts, requests and client connections end, and why."""

from collections import Counter
from collections.abc import Iterator
from enum import Enum

from ploverspoke.decisions.interface import EndReason, SendRefusal
from ploverspoke.protocol import admin
from ploverspoke.transport.outcomes import ExchangeOutcome
from ploverspoke.transport.rate_limited_log import RateLimitedLog
from ploverspoke.transport.units import MILLISECOND, SECOND

from .close_reasons import CloseReason
from .requests import Request


class CapacityLimit(Enum):
    """Which limit a request exceeds that is rejected before it is admitted."""

    OPEN_REQUESTS = "open_requests"
    CONNECTIONS = "connections"
    MEMORY = "memory"
    REQUEST_LOG = "request_log"  # a store has recorded too much
    REQUEST_IDS = "request_ids"  # it cannot be known whether the request has run before
    PROCESSOR = "processor"  # the request was received and could not be parsed in time


BURST_LINES = 20
LINES_PER_SECOND = 1.0  # a separate limit, so that these lines do not suppress others


class RequestJournal:
    """Counts every end, and logs the unsuccessful ones at a limited rate."""

    def __init__(self) -> None:
        """Start with all counts at 0."""
        self.log = RateLimitedLog(BURST_LINES, LINES_PER_SECOND)
        self.attempt_ends: Counter[ExchangeOutcome] = Counter()
        self.withheld_attempts: Counter[SendRefusal] = Counter()
        self.request_ends: Counter[EndReason] = Counter()
        self.client_closes: Counter[CloseReason] = Counter()
        self.exceeded_limits: Counter[CapacityLimit] = Counter()
        self.refusals: Counter[int] = Counter()  # invalid requests, by status

    def attempt_ended(
        self, request: Request, worker: str, index: int, outcome: ExchangeOutcome, elapsed: int, list_age: int
    ) -> None:
        """Count the end of an attempt, and log it unless it succeeded. Times are in ns."""
        self.attempt_ends[outcome] += 1
        if outcome is not ExchangeOutcome.SUCCEEDED:
            self.log.write(
                f"request {request.request_id}: attempt {index + 1} at {worker} ended: "
                f"{outcome.name.lower()} after {elapsed // MILLISECOND} ms; "
                f"endpoint list {list_age / SECOND:.2f} s old"
            )

    def attempt_withheld(
        self, request: Request, worker: str, index: int, refusal: SendRefusal, elapsed: int
    ) -> None:
        """Count and log an attempt that is not written, `elapsed` ns after the decision to make it."""
        self.withheld_attempts[refusal] += 1
        self.log.write(
            f"request {request.request_id}: attempt {index + 1} at {worker} not written: "
            f"{refusal.value}, {elapsed // MILLISECOND} ms after the decision"
        )

    def request_ended(self, request: Request | None, answer: str, reason: EndReason) -> None:
        """Count and log a request that ends without success; does nothing if it has already ended."""
        if request is None or request.client is None:
            return
        self.request_ends[reason] += 1
        self.log.write(
            f"request {request.request_id} {answer}: {reason.value}, {len(request.attempts)} attempts made"
        )

    def rejected_for_capacity(self, limit: CapacityLimit) -> None:
        """Count and log a request that is rejected because a limit is exceeded."""
        self.request_ends[EndReason.NO_CAPACITY] += 1
        self.exceeded_limits[limit] += 1
        self.log.write(f"a request is rejected: the limit of {limit.value} is reached")

    def refused(self, status: int, reason: str) -> None:
        """Count and log an invalid request, which is answered with a 4xx status."""
        self.refusals[status] += 1
        self.log.write(f"a request is refused with {status}: {reason}")

    def client_closed(self, reason: CloseReason, request: Request | None) -> None:
        """Count the end of a client's connection; `request` is the one that it was still waiting for."""
        self.client_closes[reason] += 1
        if request is not None:
            self.log.write(f"request {request.request_id}: its connection ended, {reason.value}")

    def metric_lines(self) -> Iterator[str]:
        """Yield the lines of the counters that operators fetch."""
        for outcome in ExchangeOutcome:
            labels = {"outcome": outcome.name.lower()}
            yield admin.labeled_counter_line("attempt_ends", labels, self.attempt_ends[outcome])
        for refusal in SendRefusal:
            labels = {"reason": refusal.value}
            yield admin.labeled_counter_line("withheld_attempts", labels, self.withheld_attempts[refusal])
        for reason in EndReason:
            yield admin.labeled_counter_line(
                "unsuccessful_ends", {"reason": reason.value}, self.request_ends[reason]
            )
        for limit in CapacityLimit:
            labels = {"limit": limit.value}
            yield admin.labeled_counter_line("capacity_rejections", labels, self.exceeded_limits[limit])
        for status, count in sorted(self.refusals.items()):
            yield admin.labeled_counter_line("refusals", {"status": str(status)}, count)
        for close_reason in CloseReason:
            labels = {"reason": close_reason.value}
            yield admin.labeled_counter_line("client_closes", labels, self.client_closes[close_reason])
