"""Open-loop clients: they send each request when it is due, however long the answers take.

A rejected request is retried at another dispatcher, as the experiment configures, until the deadline of the
first attempt. This includes non-idempotent requests, since a rejection guarantees that the request did not
run. A request whose connection broke is retried only if it is idempotent.
"""

from collections.abc import Sequence
from typing import Protocol

from ..experiment_files.durations import MILLISECOND
from ..experiment_files.tables import Idempotency, RetryTiming
from . import event_records
from .event_records import Event, RequestSent
from .request_schedule import ScheduledRequest
from .run_context import RunContext
from .virtual_clock import TimerHandle

MAX_UNREPORTED_LATENESS = 5 * MILLISECOND  # of the load generator; only a greater lateness is recorded
REPLICA_BACKOFF = 40 * MILLISECOND  # before the same request is sent to another replica; doubled each time
MAX_BACKOFF_DOUBLINGS = 5
MAX_IMMEDIATE_REDIRECTS = 2  # later ones are delayed, since two replicas may redirect to each other
STORE_ANSWER_GRACE = 5000 * MILLISECOND  # after the deadline, if dispatchers are replicas of a store
ANSWER_GRACE = 50 * MILLISECOND  # after the deadline, if they are not
REPEAT_QUERY_SHARE = 0.1  # share of answered requests whose answer is requested again from another replica
MIN_TIME_LEFT = 5 * MILLISECOND  # until the deadline, for a retry to be made


class ClientRequest:
    """One attempt of a client at a scheduled request; each attempt is a separate request on the wire."""

    __slots__ = (
        "attempt",
        "connection",
        "deadline",
        "dispatcher",
        "id",
        "idempotency_key",
        "is_over",
        "is_repeat_query",
        "job",
        "resend_count",
        "target",
        "timers",
    )

    def __init__(
        self, job: ScheduledRequest, attempt: int, dispatcher: int, deadline: int, has_key: bool
    ) -> None:
        """Attempts are counted from 0; all attempts at one scheduled request share the idempotency key."""
        self.job = job
        self.attempt = attempt
        self.id = f"{job.number:x}-{attempt}"
        self.idempotency_key = f"{job.number:x}" if has_key else ""
        self.dispatcher = dispatcher
        self.deadline = deadline
        self.target = dispatcher  # the dispatcher that it was last sent to
        self.is_over = False
        self.resend_count = 0
        self.is_repeat_query = False  # answered before, and its answer is requested again
        self.timers: list[TimerHandle] = []
        self.connection: object = None  # set and used by the driver

    def expects_answer(self) -> bool:
        """Whether the client still waits for an answer."""
        return self.is_repeat_query or not self.is_over


class ClientConnections(Protocol):
    """The connections to dispatchers, which the driver provides."""

    def send(self, request: ClientRequest) -> None:
        """Send the request to its target."""

    def close(self, request: ClientRequest) -> None:
        """Close the connection of a request whose answer the client no longer waits for."""


class Clients:
    """All clients of one process."""

    def __init__(
        self,
        context: RunContext,
        jobs: Sequence[ScheduledRequest],
        connections: ClientConnections,
        process_number: int = 0,
    ) -> None:
        """`jobs` are sorted by due time; `process_number` counts the client processes from 0."""
        self.experiment = context.experiment
        self.options = context.experiment.clients
        self.has_store = context.experiment.dispatchers.store
        self.jobs = jobs
        self.clock = context.clock
        self.event_log = context.event_log
        self.connections = connections
        self.draws = context.streams().draws(f"clients {process_number}")
        self.backoff_generator = context.streams().generator(f"retry waits {process_number}")
        self.sent_count = 0  # jobs whose first attempt was sent
        self.open_count = 0
        self.max_lateness = 0  # ns by which a first attempt was sent late

    def start(self) -> None:
        """Send each job when it is due."""
        self._schedule_next()

    # ---- Calls of the driver ----

    def accepted(self, request: ClientRequest) -> None:
        """The whole request was sent on a connection that the dispatcher's machine accepted."""
        if not request.is_over:
            self._record(event_records.REQUEST_ACCEPTED, request)

    def answered(self, request: ClientRequest, outcome: str, retry_after: int = 0) -> None:
        """The answer has arrived, or the connection broke; `retry_after` is in ns."""
        if self.has_store and outcome == event_records.BROKEN and not request.is_over:
            self._resend(request, self._next_dispatcher(request))
            return
        if request.is_over:
            # The checker also examines answers after the first one.
            self._record(event_records.REQUEST_ANSWERED, request, outcome)
            return
        self._finish(request)
        self._record(event_records.REQUEST_ANSWERED, request, outcome)
        if self.has_store and self.draws.happens(REPEAT_QUERY_SHARE):
            self.clock.call_at(self.clock.now() + REPLICA_BACKOFF, self._repeat_query, request)
        request_class = self.experiment.request_classes[request.job.request_class]
        is_idempotent = request_class.idempotency is Idempotency.IDEMPOTENT
        is_broken = outcome == event_records.BROKEN
        if outcome == event_records.REJECTED or (is_broken and is_idempotent):
            self._retry(request, retry_after)

    def connect_failed(self, request: ClientRequest) -> None:
        """The connection failed; try another dispatcher, at once unless it is a replica of a store."""
        if request.is_over:
            return
        if self.has_store:
            self._resend(request, self._next_dispatcher(request))
            return
        self._finish(request)
        self._record(event_records.CONNECT_FAILED, request)
        self._retry(request, 0, at_once=True)

    def redirected(self, request: ClientRequest, target: int) -> None:
        """Another replica leads; send the same request to it."""
        if request.expects_answer():
            self._resend(request, target, at_once=True)

    # ---- First attempts and retries ----

    def _schedule_next(self) -> None:
        if self.sent_count < len(self.jobs):
            self.clock.call_at(self.jobs[self.sent_count].due_at, self._send_due_jobs)

    def _send_due_jobs(self) -> None:
        """Send all jobs that are due; after a delay of the event loop, catch up and record the lateness."""
        now = self.clock.now()
        while self.sent_count < len(self.jobs) and self.jobs[self.sent_count].due_at <= now:
            job = self.jobs[self.sent_count]
            self.sent_count += 1
            lateness = now - job.due_at
            if lateness > max(MAX_UNREPORTED_LATENESS, self.max_lateness):
                self.max_lateness = lateness
                self.event_log.add(Event(now, event_records.BEHIND_SCHEDULE, job=job.number, detail=lateness))
            # The deadline is relative to the time when the job was due, not to the time when it was sent.
            self._attempt(job, 0, job.dispatcher, job.due_at)
        self._schedule_next()

    def _attempt(self, job: ScheduledRequest, attempt: int, dispatcher: int, first_sent_at: int) -> None:
        request_class = self.experiment.request_classes[job.request_class]
        deadline = first_sent_at + request_class.deadline
        has_key = request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        request = ClientRequest(job, attempt, dispatcher, deadline, has_key)
        detail = RequestSent(job.request_class, attempt, deadline, first_sent_at)
        self._record(event_records.REQUEST_SENT, request, detail)
        self.open_count += 1
        grace = STORE_ANSWER_GRACE if self.has_store else ANSWER_GRACE
        request.timers.append(self.clock.call_at(deadline + grace, self._time_out, request))
        if job.disconnects_after and not attempt:
            disconnect_at = first_sent_at + job.disconnects_after
            request.timers.append(self.clock.call_at(disconnect_at, self._disconnect, request))
        self._send(request)

    def _retry(self, request: ClientRequest, retry_after: int, at_once: bool = False) -> None:
        if request.attempt + 1 >= self.options.max_attempts:
            return
        wait = 0.0
        if not at_once and self.options.retry_timing is RetryTiming.BACKOFF:
            wait = float(self.options.retry_backoff.sample(self.backoff_generator, 1)[0])
            if self.options.honors_retry_after:
                wait = max(wait, retry_after * self.draws.fraction())
        dispatcher = self._other_dispatcher(request)
        now = self.clock.now()
        if now + wait + MIN_TIME_LEFT < request.deadline:
            first_sent_at = (
                request.deadline - self.experiment.request_classes[request.job.request_class].deadline
            )
            self.clock.call_at(
                now + int(wait), self._attempt, request.job, request.attempt + 1, dispatcher, first_sent_at
            )

    def _other_dispatcher(self, request: ClientRequest) -> int:
        count = self.experiment.dispatchers.count
        if count == 1:
            return 0
        return (request.dispatcher + 1 + self.draws.below(count - 1)) % count

    # ---- Replicas of a store ----

    def _next_dispatcher(self, request: ClientRequest) -> int:
        return (request.target + 1) % self.experiment.dispatchers.count

    def _resend(self, request: ClientRequest, target: int, at_once: bool = False) -> None:
        request.target = target
        request.resend_count += 1
        wait = 0.0
        if not at_once or request.resend_count > MAX_IMMEDIATE_REDIRECTS:
            backoff = REPLICA_BACKOFF << min(request.resend_count, MAX_BACKOFF_DOUBLINGS)
            wait = backoff * (0.5 + self.draws.fraction())
        self.clock.call_at(self.clock.now() + int(wait), self._send_if_needed, request)

    def _send_if_needed(self, request: ClientRequest) -> None:
        if request.expects_answer():
            self._send(request)

    def _send(self, request: ClientRequest) -> None:
        self.connections.send(request)
        timeout = self.options.failover_timeout
        if self.has_store and timeout:
            request.timers.append(self.clock.call_at(self.clock.now() + timeout, self._fail_over, request))

    def _fail_over(self, request: ClientRequest) -> None:
        """Try the next replica: a paused one neither answers nor closes the connection."""
        if not request.is_over:
            self.connections.close(request)
            self._resend(request, self._next_dispatcher(request), at_once=True)

    def _repeat_query(self, request: ClientRequest) -> None:
        """Request the answer again, which must be the same; the driver calls `answered` with it."""
        request.is_repeat_query = True
        request.target = self._next_dispatcher(request)
        self.connections.send(request)

    # ---- End of a request ----

    def _disconnect(self, request: ClientRequest) -> None:
        if not request.is_over:
            self._finish(request)
            self._record(event_records.CLIENT_DISCONNECTED, request)
            self.connections.close(request)

    def _time_out(self, request: ClientRequest) -> None:
        if not request.is_over:
            self._finish(request)
            self._record(event_records.REQUEST_TIMED_OUT, request)
            self.connections.close(request)

    def _finish(self, request: ClientRequest) -> None:
        request.is_over = True
        self.open_count -= 1
        for timer in request.timers:
            timer.cancel()

    def _record(self, kind: str, request: ClientRequest, detail: str | RequestSent = "") -> None:
        self.event_log.add(
            Event(
                self.clock.now(),
                kind,
                request.id,
                request.job.number,
                request.dispatcher,
                detail=detail,
            )
        )
