"""The endpoint list: who is ready, who has started anew, and when the list is asked for again."""

from dataclasses import dataclass

from .capacity import INITIAL_CAPACITY, SlowStart
from .context import Context
from .interface import Endpoint, EndpointCondition
from .outlier_ejection import OutlierEjection
from .state import MILLISECOND, SECOND, PeriodicTimer, Worker
from .worker_choice import WorkerChoice

FIRST_BACKOFF_NS = 250 * MILLISECOND
LONGEST_BACKOFF_NS = 3 * SECOND
MOST_DOUBLINGS = 5


@dataclass(eq=False)
class EndpointUpdates:
    """Applies changes of the endpoint list to the workers."""

    context: Context
    workers: dict[str, Worker]
    choice: WorkerChoice
    slow_start: SlowStart
    ejection: OutlierEjection

    def update(self, endpoint: Endpoint, now: int) -> None:
        """Take a worker as the list shows it now."""
        worker = self.workers.get(endpoint.worker)
        if worker is None:
            worker = self.workers[endpoint.worker] = Worker(endpoint, INITIAL_CAPACITY)
        before, started_at = worker.endpoint, endpoint.started_at
        if started_at > before.started_at or (started_at and not worker.warm_at):
            worker.begin_anew(started_at + self.context.settings.warmup_period, INITIAL_CAPACITY)
            self.choice.forget_tiers()
            self.slow_start.begin(worker, now)
        is_gone = endpoint.condition is EndpointCondition.GONE
        worker.drained = endpoint.condition is EndpointCondition.DRAINING or (worker.drained and is_gone)
        # Where only a drain is binding, the list does not tell who is up: one that is called gone is probed.
        is_probed = is_gone and not worker.drained and self.context.settings.only_draining_is_binding
        ready = endpoint.condition is EndpointCondition.READY or is_probed
        if (ready, *endpoint[1:3]) != (worker.ready, *before[1:3]):
            self.choice.forget_tiers()
        worker.endpoint = endpoint
        worker.ready = ready
        if is_probed:
            self.ejection.suspect(worker, now)


@dataclass(eq=False)
class EndpointPolling:
    """Calls service discovery, spread over time so that dispatchers do not find each other in its queue."""

    context: Context
    failures: int = 0  # in a row

    def begin(self, has_workers: bool, now: int) -> None:
        """Watch the list from a random moment on, or at once where no worker is known."""
        if self.context.settings.discovery_polling and has_workers:
            delay = int(self.context.random.fraction() * self.context.time_for_all_calls)
            self.context.timers.start(PeriodicTimer.WATCH_ENDPOINTS, now + delay)
        elif self.context.settings.discovery_polling:
            self.context.actions.watch_endpoints()

    def watch_failed(self, is_rejected: bool, now: int) -> None:
        """Watch again after a backoff; after a rejection it leaves time for the calls of all."""
        self.failures += 1
        doublings, longest = min(self.failures, MOST_DOUBLINGS), self.context.settings.discovery_poll_interval
        for_all = self.context.time_for_all_calls if is_rejected else 0
        own, shared = FIRST_BACKOFF_NS << doublings, for_all << doublings - 1
        backoff = max(min(own, longest // 4), min(shared, longest * 2 // 3))
        backoff = max(for_all, min(backoff, LONGEST_BACKOFF_NS))
        delay = int(backoff * (0.5 + self.context.random.fraction()))
        reason = "leaves time for the calls of all dispatchers" if is_rejected else "grows with each failure"
        self.context.log.write(
            f"endpoint watch failed, {self.failures} in a row; "
            f"next call in {delay / SECOND:.2f} s: a backoff that {reason}"
        )
        self.context.timers.start(PeriodicTimer.WATCH_ENDPOINTS, now + delay)
