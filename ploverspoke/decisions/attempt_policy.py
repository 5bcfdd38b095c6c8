"""Attempts: sending and resending requests, and cancelling attempts that are stuck at a worker."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from .capacity import CapacityEstimates, SlowStart
from .context import MAX_SAVED_REQUESTS, Context
from .gossip import GossipExchange
from .interface import CONNECTION_FAILURES, AttemptOutcome, EndReason
from .observations import Observations
from .outlier_ejection import OutlierEjection
from .settings import Idempotency
from .state import ALL_WORKERS, MILLISECOND, NO_WORKER, SECOND, EarlierAttempts, Request, RetryGroup, Worker
from .worker_choice import WorkerChoice

SILENT_START_FACTOR = 2  # a wait beyond this multiple of the longest recent start delay counts as silence
MIN_CHECK_INTERVAL_NS = 100 * MILLISECOND
CHECKS_PER_WAIT = 4  # the interval between checks grows to a quarter of the wait so far
START_WAIT_SHARE = 0.5  # an attempt is cancelled after waiting for this share of the queueing budget
UNCANCELLABLE_START_LIMIT_NS = 30 * SECOND  # start limit of attempts that may not be cancelled
FAILED_HEALTH_CHECKS = (*CONNECTION_FAILURES, AttemptOutcome.TIMED_OUT)


@dataclass(eq=False)
class RetryPolicy:
    """Decides whether a request may be sent again, and ends it if not."""

    context: Context
    workers: Mapping[str, Worker]
    open_requests: dict[int, Request]
    earlier_attempts: dict[int, EarlierAttempts] = field(default_factory=dict)

    def resume(self, request: Request) -> None:
        """Take over the count of attempts that another dispatcher made for the request, if any."""
        earlier = self.earlier_attempts.pop(request.id, None)
        if earlier is None:
            return
        request.attempts = earlier.attempts
        if earlier.attempts >= request.rules.max_attempts:
            request.last_send_at = 0
        if earlier.may_have_run_on and request.rules.idempotency is not Idempotency.IDEMPOTENT:
            worker = self.workers.get(earlier.may_have_run_on)
            # The retry group of a worker that is no longer listed is unknown, so no worker is allowed.
            group = NO_WORKER if worker is None else request.group_after_attempt(worker)
            self._restrict_retries(request, group, earlier.sent_at)

    def may_retry(self, request: Request, worker: Worker, outcome: AttemptOutcome, now: int) -> bool:
        """Whether the request may be sent again after an attempt that did not succeed."""
        if outcome not in self.context.never_ran and request.retry_group is None:
            group = request.group_after_attempt(worker)
            if group is not None:
                self._restrict_retries(request, group, request.sent_at)
        if outcome is AttemptOutcome.NOT_SENT and not request.cancelled:
            request.unsent_attempts += 1
        return now < request.last_send_at and request.has_attempts_left()

    def _restrict_retries(self, request: Request, group: RetryGroup | None, sent_at: int) -> None:
        """Restrict retries to the workers that drop duplicates, and to the time window in which they do."""
        request.retry_group = group
        window = 0 if group == NO_WORKER else request.rules.retry_window
        request.last_send_at = min(request.last_send_at, sent_at + window)

    def give_up(self, request: Request, reason: EndReason) -> None:
        """End a request without success: reject it if a retry is harmless, otherwise fail it."""
        del self.open_requests[request.id]
        idempotent = request.rules.idempotency is Idempotency.IDEMPOTENT
        if idempotent or request.retry_group is None or request.retry_group == ALL_WORKERS:
            self.context.actions.reject(request.id, self.context.retry_after, reason)
        else:
            self.context.actions.fail(request.id, reason)


@dataclass(eq=False)
class AttemptPolicy:
    """Starts attempts, checks those in flight, and cancels those that are stuck."""

    context: Context
    open_requests: Mapping[int, Request]
    observations: Observations
    capacity: CapacityEstimates
    gossip: GossipExchange
    slow_start: SlowStart
    choice: WorkerChoice
    ejection: OutlierEjection
    cancel_credit: float = 1.0  # number of attempts at responsive workers that may be cancelled

    def add_credit(self, cancels: float) -> None:
        """Allow more cancellations; each arriving request adds some."""
        max_credit = MAX_SAVED_REQUESTS * (1 + self.context.cancels_per_request)
        self.cancel_credit = min(self.cancel_credit + cancels, max_credit)

    def start(self, request: Request, worker: Worker, now: int) -> None:
        """Send a request; it times out a batch interval before the deadline, which leaves time to answer."""
        request.begin_attempt(worker, now)
        worker.begin_attempt(request, now)
        self.capacity.record_attempt(request, worker, now)
        self.gossip.slots_changed(worker, now)
        self.slow_start.charge(worker, request.queue, now)
        timeout = max(1, request.deadline - self.context.settings.batch_interval - now)
        self.context.actions.start_attempt(request.id, worker.name, timeout)
        check_delay = min(self._start_limit(request, worker), self.context.silence_limit)
        request.check_at = now + 1 + check_delay
        if self.context.settings.progress_interval:
            self.context.timers.start(request, request.check_at)

    def check(self, request: Request, worker: Worker, now: int) -> None:
        """Detect whether the worker has gone silent on the attempt, and cancel stuck attempts."""
        if now < request.check_at:
            return
        limit = self.context.silence_limit
        # A worker reports on each started request; before the start, any report from the worker counts.
        last_contact_at = (
            request.last_contact_at if request.started_at else max(worker.last_contact_at, request.sent_at)
        )
        if not request.started_at:
            # Under overload all starts are late: only one far later than the others indicates a hung worker.
            longest_delay = max(self.observations.start_delays[worker.endpoint.zone], default=0)
            limit = max(limit, SILENT_START_FACTOR * longest_delay)
        is_silent = now - last_contact_at >= limit
        if is_silent and self.context.settings.probing_allowed:
            # The fault may be limited to the connection: a health check shows whether the worker is at fault.
            self.ejection.suspect(worker, now)
        elif is_silent:
            self.ejection.eject(worker, now)
        self._cancel_stuck(worker.attempts.values() if worker.ejected else [request], worker, is_silent, now)
        request.check_at = now + limit if is_silent else last_contact_at + limit
        if not request.started_at and self._may_cancel(request):
            # Under overload all attempts wait long, and checks at a fixed interval would use up the CPU.
            next_check = now + max(MIN_CHECK_INTERVAL_NS, (now - request.sent_at) // CHECKS_PER_WAIT)
            request.check_at = min(request.check_at, next_check)
        self.context.timers.start(request, request.check_at)

    def _cancel_stuck(self, requests: Iterable[Request], worker: Worker, is_silent: bool, now: int) -> None:
        for request in list(requests):
            if self._is_stuck(request, worker, is_silent, now):
                self.context.actions.cancel_attempt(request.id, request.attempts - 1)
                request.cancelled = True

    def health_checked(self, worker: Worker, outcome: AttemptOutcome, now: int) -> None:
        """Eject the worker after a failed health check, and cancel the attempts in flight there."""
        if outcome in FAILED_HEALTH_CHECKS:
            self.ejection.eject(worker, now, is_proven=outcome is not AttemptOutcome.TIMED_OUT)
            self._cancel_stuck(worker.attempts.values(), worker, worker.ejected, now)
        else:
            self.ejection.record_probe(worker, outcome, now)

    def confirmation_ended(self, worker: Worker, outcome: AttemptOutcome, now: int) -> None:
        """Process the result of a health check that was sent because the endpoint list had expired."""
        if outcome is AttemptOutcome.WORKER_ERROR:
            # The worker itself reports that it is failing or draining.
            self.ejection.eject(worker, now)
        elif outcome is not AttemptOutcome.NOT_SENT:
            self.health_checked(worker, outcome, now)

    def _may_cancel(self, request: Request) -> bool:
        return (
            self.context.settings.cancel_allowed
            and not request.cancelled
            and request.id in self.open_requests
            and request.rules.idempotency is not Idempotency.NON_IDEMPOTENT
            and request.has_attempts_left()
        )

    def _start_limit(self, request: Request, worker: Worker) -> int:
        """Time in ns that an attempt may wait for its start before it is cancelled."""
        if not self._may_cancel(request):
            return UNCANCELLABLE_START_LIMIT_NS
        share = int((request.queueing_deadline - request.arrived_at) * START_WAIT_SHARE)
        limit = max(self.capacity.prompt_start(worker), share)
        # A request restricted to its retry group finds other workers just as full, and may run twice there.
        if (request.group_after_attempt(worker) or ALL_WORKERS) != ALL_WORKERS:
            return max(limit, self.observations.class_running_time(request.class_number))
        return limit

    def _is_stuck(self, request: Request, worker: Worker, is_silent: bool, now: int) -> bool:
        may_cancel = self._may_cancel(request)
        if is_silent or not may_cancel:
            return may_cancel
        if request.started_at or now - request.sent_at <= self._start_limit(request, worker):
            return False
        # An attempt that is only waiting may still run, so it is cancelled only if another worker has
        # capacity, and within the limit of the credit.
        group, request.retry_group = request.retry_group, request.group_after_attempt(worker)
        should_cancel = self.cancel_credit >= 1 and bool(self.choice.draw_two(request.queue, now, request))
        request.retry_group = group
        self.cancel_credit -= should_cancel
        return should_cancel
