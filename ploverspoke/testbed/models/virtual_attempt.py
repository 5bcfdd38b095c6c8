"""Attempts of a virtual dispatcher, and the connections that carry them."""

from collections.abc import Callable
from typing import Any, Protocol

from ploverspoke.decisions.interface import ANSWERS, AttemptOutcome

from . import event_records
from .clients import ClientRequest
from .connection_faults import MAX_RESET_DELAY, SILENT_LOSS_PROBABILITY
from .event_records import Event, ExecutionEnd
from .execution import Execution, IgnoringListener
from .random_streams import RandomDraws
from .virtual_clock import TimerHandle
from .virtual_environment import VirtualEnvironment
from .worker import Worker

OUTCOMES = {
    ExecutionEnd.DONE: AttemptOutcome.SUCCEEDED,
    ExecutionEnd.FAILED: AttemptOutcome.WORKER_ERROR,
    ExecutionEnd.RETURNED: AttemptOutcome.FULL,
    ExecutionEnd.LOST: AttemptOutcome.CONNECTION_BROKEN,
}


class AcceptedRequest:
    """A request that a dispatcher has accepted."""

    __slots__ = ("attempts", "client_request", "is_answered", "number", "request_class")

    def __init__(self, number: int, request_class: int, client_request: ClientRequest) -> None:
        """`number` and `request_class` are numbers that this dispatcher assigned."""
        self.number = number
        self.request_class = request_class
        self.client_request = client_request
        self.attempts: list[VirtualAttempt | None] = []  # None: the end of the attempt was reported
        self.is_answered = False


class AttemptListener(Protocol):
    """The dispatcher that made the attempts."""

    def attempt_started(self, attempt: "VirtualAttempt") -> None:
        """The worker has reported that it started the attempt."""

    def attempt_progressed(self, attempt: "VirtualAttempt", share: float) -> None:
        """The worker has reported the share of the work that is done."""

    def attempt_ended(self, attempt: "VirtualAttempt", outcome: AttemptOutcome) -> None:
        """The attempt or its connection has ended."""


class VirtualAttempt:
    """One attempt, from the choice of the worker to its end; receives the messages of the worker."""

    __slots__ = (
        "connections",
        "execution",
        "has_reached_worker",
        "index",
        "is_open",
        "request",
        "sent_at",
        "timers",
        "worker",
    )

    def __init__(self, connections: "AttemptConnections", request: AcceptedRequest, worker: Worker) -> None:
        """Add the attempt to those of the request."""
        self.connections = connections
        self.request = request
        self.index = len(request.attempts)
        request.attempts.append(self)
        self.worker = worker
        self.sent_at = connections.clock.time
        self.is_open = True
        self.has_reached_worker = False
        self.execution: Execution | None = None
        self.timers: list[TimerHandle] = []

    def execution_started(self, execution: Execution) -> None:
        """Notify the dispatcher after the latency."""
        self._notify(self.connections.listener.attempt_started, self)

    def execution_progressed(self, execution: Execution, share: float) -> None:
        """Notify the dispatcher after the latency."""
        self._notify(self.connections.listener.attempt_progressed, self, share)

    def execution_ended(self, execution: Execution, end: ExecutionEnd) -> None:
        """Notify the dispatcher after the latency."""
        self._notify(self.connections.listener.attempt_ended, self, OUTCOMES[end])

    def _notify(self, call: Callable[..., None], *args: Any) -> None:
        connections = self.connections
        if self.is_open and not connections.is_partitioned(self.worker):
            connections.clock.call_at(
                connections.clock.time + connections.one_way_latency(self.worker), call, *args
            )

    def cancel_timers(self) -> None:
        """Cancel the timeout and the scheduled events of the connection."""
        for timer in self.timers:
            timer.cancel()


class AttemptConnections:
    """The connections of one dispatcher to workers."""

    def __init__(
        self,
        environment: VirtualEnvironment,
        number: int,
        zone: int,
        draws: RandomDraws,
        listener: AttemptListener,
    ) -> None:
        """`number` and `zone` are those of the dispatcher."""
        self.environment = environment
        self.clock = environment.clock
        self.number = number
        self.zone = zone
        self.draws = draws
        self.listener = listener
        self._idle_counts: dict[str, int] = {}  # by worker

    def one_way_latency(self, worker: Worker) -> int:
        """Return the one-way latency to a worker, in ns."""
        return self.environment.network.one_way_latency(self.zone, worker.zone)

    def is_partitioned(self, worker: Worker) -> bool:
        """Whether the dispatcher and a worker are partitioned from each other."""
        return self.environment.network.is_partitioned(self.zone, worker.zone)

    def drop_idle(self, worker: str) -> None:
        """Drop the idle connections to a worker that has died."""
        self._idle_counts.pop(worker, None)

    # ---- Start of an attempt ----

    def start(self, request: AcceptedRequest, worker: Worker, timeout: int) -> None:
        """Send a request on an idle connection, or on a new one if there is none."""
        attempt = VirtualAttempt(self, request, worker)
        self._end_after(attempt, timeout, AttemptOutcome.TIMED_OUT)
        if self._idle_counts.get(worker.name, 0) > 0:
            self._idle_counts[worker.name] -= 1
            self._send_on_idle_connection(attempt)
        else:
            self._connect(attempt)

    def _send_on_idle_connection(self, attempt: VirtualAttempt) -> None:
        latency = self.one_way_latency(attempt.worker)
        idle_drops = self.environment.connection_faults.idle_drops
        if idle_drops.draw_fault(attempt.worker.name, self.draws):
            self._end_after(attempt, 2 * latency, AttemptOutcome.CONNECTION_BROKEN)
        elif not self.is_partitioned(attempt.worker):
            self._arrive_after(attempt, latency)

    def _connect(self, attempt: VirtualAttempt) -> None:
        latency = self.one_way_latency(attempt.worker)
        if self.is_partitioned(attempt.worker) or attempt.worker.is_hung:
            timeout = self.environment.network.connect_timeout
            self._end_after(attempt, timeout, AttemptOutcome.UNREACHABLE)
        elif not attempt.worker.is_up:
            self._end_after(attempt, 2 * latency, AttemptOutcome.UNREACHABLE)
        else:
            self._arrive_after(attempt, 3 * latency)

    def _end_after(self, attempt: VirtualAttempt, delay: int, outcome: AttemptOutcome) -> None:
        end_at = self.clock.time + delay
        attempt.timers.append(self.clock.call_at(end_at, self.listener.attempt_ended, attempt, outcome))

    def _arrive_after(self, attempt: VirtualAttempt, delay: int) -> None:
        attempt.timers.append(self.clock.call_at(self.clock.time + delay, self._arrive, attempt))

    def _arrive(self, attempt: VirtualAttempt) -> None:
        worker = attempt.worker
        if not attempt.is_open or self.is_partitioned(worker):
            return
        if not worker.is_up:
            self.listener.attempt_ended(attempt, AttemptOutcome.UNREACHABLE)
            return
        attempt.has_reached_worker = True
        request = attempt.request.client_request
        execution = Execution(request.id, request.job, self.number, attempt, request.idempotency_key)
        attempt.execution = execution
        faults = self.environment.connection_faults
        if faults.silences.draw_fault(worker.name, self.draws):
            execution.listener = IgnoringListener()
            if self.draws.happens(SILENT_LOSS_PROBABILITY):
                return
        elif faults.resets.draw_fault(worker.name, self.draws):
            reset_at = self.clock.time + int(self.draws.fraction() * MAX_RESET_DELAY)
            attempt.timers.append(self.clock.call_at(reset_at, self._reset, attempt))
        worker.accept(execution)

    def _reset(self, attempt: VirtualAttempt) -> None:
        if attempt.is_open:
            self._cancel_at_worker(attempt)
            self.listener.attempt_ended(attempt, AttemptOutcome.CONNECTION_BROKEN)

    # ---- End of an attempt ----

    def end(self, attempt: VirtualAttempt, outcome: AttemptOutcome) -> None:
        """Keep the connection for another attempt if the worker has answered, else close it."""
        if outcome not in ANSWERS:
            self.close(attempt)
            return
        worker = attempt.worker.name
        self._idle_counts[worker] = self._idle_counts.get(worker, 0) + 1
        attempt.is_open = False
        attempt.cancel_timers()

    def close(self, attempt: VirtualAttempt) -> None:
        """Close the connection; the worker notices one latency later."""
        if attempt.is_open:
            attempt.is_open = False
            attempt.cancel_timers()
            self._cancel_at_worker(attempt)

    def _cancel_at_worker(self, attempt: VirtualAttempt) -> None:
        execution, worker = attempt.execution, attempt.worker
        if execution is None:
            return
        self.environment.context.event_log.add(
            Event(
                self.clock.time,
                event_records.ATTEMPT_CLOSED,
                execution.request_id,
                execution.job.number,
                self.number,
                worker.name,
                execution.serial,
            )
        )
        # A worker behind a partition does not notice.
        if not self.is_partitioned(worker):
            cancel_at = self.clock.time + self.one_way_latency(worker)
            self.clock.call_at(cancel_at, _cancel_if_up, execution, worker)


def _cancel_if_up(execution: Execution, worker: Worker) -> None:
    if worker.is_up:
        worker.cancel(execution)
