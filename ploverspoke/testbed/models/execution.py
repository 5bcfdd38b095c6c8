"""The execution of one attempt at a worker."""

from typing import Protocol

from .event_records import ExecutionEnd
from .request_schedule import ScheduledRequest
from .shared_store import Fetch
from .virtual_clock import TimerHandle


class ExecutionListener(Protocol):
    """Receives the messages that the worker sends about an execution."""

    def execution_started(self, execution: "Execution") -> None:
        """The execution has started."""

    def execution_progressed(self, execution: "Execution", share: float) -> None:
        """That share of the work is done."""

    def execution_ended(self, execution: "Execution", end: ExecutionEnd) -> None:
        """The execution has ended; called at most once, and not after it was cancelled."""


class IgnoringListener:
    """Ignores the messages that a worker sends on a connection that has fallen silent."""

    def execution_started(self, execution: "Execution") -> None:
        """Ignore the message."""

    def execution_progressed(self, execution: "Execution", share: float) -> None:
        """Ignore the message."""

    def execution_ended(self, execution: "Execution", end: ExecutionEnd) -> None:
        """Ignore the message."""


class Execution:
    """One attempt at a worker, from its arrival to its end."""

    __slots__ = (
        "completion_timer",
        "dispatcher",
        "duplicate_of",
        "duplicates",
        "fetch",
        "has_started",
        "idempotency_key",
        "is_fetching",
        "is_over",
        "job",
        "listener",
        "progress_timer",
        "rate",
        "rate_since",
        "remaining_work",
        "request_id",
        "serial",
    )

    def __init__(
        self,
        request_id: str,
        job: ScheduledRequest,
        dispatcher: int,
        listener: ExecutionListener,
        idempotency_key: str = "",
    ) -> None:
        """Without an idempotency key, duplicates of the execution are not detected."""
        self.request_id = request_id
        self.job = job
        self.dispatcher = dispatcher
        self.listener = listener
        self.idempotency_key = idempotency_key
        self.serial = 0  # assigned by the worker on arrival
        self.has_started = False
        self.is_over = False
        self.remaining_work = float(job.work)  # ns of one slot at speed 1, as of `rate_since`
        self.rate = 0.0  # relative to speed 1
        self.rate_since = 0  # ns from the start of the run
        self.completion_timer: TimerHandle | None = None
        self.progress_timer: TimerHandle | None = None
        self.is_fetching = False
        self.fetch: Fetch | None = None
        self.duplicate_of: Execution | None = None
        self.duplicates: list[Execution] = []  # they end when this execution ends

    def change_rate(self, rate: float, now: int) -> None:
        """Account for the work done so far and continue at another rate."""
        if self.rate > 0:
            work_done = (now - self.rate_since) * self.rate
            self.remaining_work = max(0.0, self.remaining_work - work_done)
        self.rate_since = now
        self.rate = rate

    def progress(self) -> float:
        """Return the share of the work that was done when the rate last changed."""
        return 0.0 if self.is_fetching else 1 - self.remaining_work / self.job.work

    def cancel_timers(self) -> None:
        """Cancel the completion, the progress reports and the fetch."""
        for timer in (self.completion_timer, self.progress_timer):
            if timer is not None:
                timer.cancel()
        if self.fetch is not None:
            self.fetch.cancel()
            self.fetch = None
