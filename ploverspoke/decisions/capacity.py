"""Capacity estimates (additive increase, cut to what is known to run, recovery with time) and slow start."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from .context import Context
from .gossip import GossipExchange
from .observations import Observations
from .state import MILLISECOND, SECOND, Request, RequestQueue, Worker

INITIAL_CAPACITY = 2.0  # slots, before anything is known of a worker
RECOVERY_PER_WAIT = 2  # a slot recovers in at least so many times the wait for which it was cut
MAX_RECOVERY_NS = 30 * SECOND
MAX_PENDING_RUNNING_TIMES = 3  # after so many mean running times without a start an attempt may be lost
PROMPT_FACTOR = 3  # a delay is prompt within this many times the shortest recent one...
PROMPT_MARGIN_NS = 10 * MILLISECOND  # ...and this
WARMING_SHARE = 0.5  # of the load that a worker can bear while it warms up
WARM_LOAD_MAX_AGE_NS = 20 * MILLISECOND


def prompt_limit(delays: Iterable[int], while_unknown: int) -> int:
    """The longest delay that counts as prompt, relative to recent ones."""
    shortest = min(delays, default=None)
    return while_unknown if shortest is None else PROMPT_FACTOR * shortest + PROMPT_MARGIN_NS


@dataclass(eq=False)
class CapacityEstimates:
    """Updates the capacity estimate that each `Worker` stores."""

    context: Context
    workers: Mapping[str, Worker]
    observations: Observations
    gossip: GossipExchange

    def free(self, worker: Worker, now: int) -> float:
        """Estimated free slots; placeholders count only beside this dispatcher's requests in flight there."""
        if worker.capacity < worker.capacity_before_cut:
            recovered = (now - worker.capacity_at) / worker.recovery_time
            worker.capacity = min(worker.capacity_before_cut, worker.capacity + recovered)
            worker.capacity_at = now
        free = worker.capacity - worker.in_flight
        if worker.peer_slots:
            free -= self.gossip.peer_slots(worker)
        if worker.placeholders and worker.in_flight:
            worker.expire_placeholders(now)
            free -= sum(placeholder.queue.slots for placeholder in worker.placeholders)
        return free

    def has_pending_start(self, worker: Worker, now: int) -> bool:
        """Whether an attempt there has not started promptly, which shows a full worker."""
        if not worker.unstarted or not self.context.settings.workers_report_start:
            return False
        due = now - self.prompt_start(worker)
        # An attempt that a later one has overtaken, or that waits very long, may be lost: it shows nothing.
        forgotten = now - MAX_PENDING_RUNNING_TIMES * self.observations.mean_running_time()
        lost = max(worker.latest_start_sent_at, forgotten)
        return any(lost < sent_at < due for sent_at in worker.unstarted.values())

    def prompt_start(self, worker: Worker) -> int:
        """Longest delay of a start that counts as prompt in the worker's zone."""
        return prompt_limit(self.observations.start_delays[worker.endpoint.zone], SECOND)

    def occupy(self, request: Request, worker: Worker, now: int) -> None:
        """Count an attempt, and drop the placeholders for which no slots are left."""
        while self.free(worker, now) < 0 and worker.placeholders:
            worker.placeholders.popleft()
        request.slots_in_use = worker.in_flight + self.gossip.peer_slots(worker)

    def record_start(self, request: Request, worker: Worker, wait: int, now: int) -> None:
        """Update the estimate at a start; a late one counts as FULL, which workers with queues send late."""
        if wait <= self.prompt_start(worker):
            worker.recovery_time = max(MILLISECOND, worker.recovery_time / 2)
            self.accepted(worker, request.slots_in_use)
            return
        request.started_too_late = wait > request.queueing_deadline - request.arrived_at
        recovery_time = RECOVERY_PER_WAIT * wait if request.started_too_late else 0
        self.cut(worker, worker.running + self.gossip.peer_slots(worker), recovery_time, now)

    def accepted(self, worker: Worker, slots_in_use: float) -> None:
        """Add one slot for an accepted attempt, up to one more than were in use when it was sent."""
        worker.capacity = max(worker.capacity, min(worker.capacity + 1, slots_in_use + 1))
        worker.capacity_before_cut = max(worker.capacity, worker.capacity_before_cut)

    def cut(self, worker: Worker, capacity: float, recovery_time: float, now: int) -> None:
        """Lower the estimate, which then recovers by one slot in a mean running time at the earliest."""
        if capacity < worker.capacity:
            worker.capacity_before_cut = max(capacity + 1, INITIAL_CAPACITY)
            worker.capacity = capacity
            worker.capacity_at = now
            between_attempts = int(len(self.workers) * SECOND / self.observations.arrival_rate(now))
            shortest = max(self.observations.mean_running_time(), recovery_time, between_attempts)
            worker.recovery_time = min(shortest, MAX_RECOVERY_NS)


@dataclass(eq=False)
class SlowStart:
    """Budgets of workers that warm up: a part of the load of warm ones (docs/design.md, rule 4)."""

    context: Context
    workers: Mapping[str, Worker]
    observations: Observations
    warm_load: float = 0.0  # slots of this dispatcher that run on a warm worker, on average
    warm_load_at: int = -SECOND

    def begin(self, worker: Worker, now: int) -> None:
        """Start a worker's budget at a random part of one request, so that dispatchers do not coincide."""
        worker.slow_start_budget = self.context.random.fraction() * self.observations.mean_running_time()
        worker.slow_start_budget_at = now

    def allows(self, worker: Worker, queue: RequestQueue, now: int) -> bool:
        """Whether the budget of a worker that warms up covers a request; its rate grows until it is warm."""
        settings = self.context.settings
        warmth = min(1.0, max(0.0, 1 - (worker.warm_at - now) / settings.warmup_period))
        share = settings.warmup_share + (1 - settings.warmup_share) * warmth
        if now - self.warm_load_at > WARM_LOAD_MAX_AGE_NS:
            self._measure_warm_load(now)
        rate = WARMING_SHARE * settings.overload_multiple * share * self.warm_load
        cost = queue.expected_work()
        worker.slow_start_budget += rate * (now - worker.slow_start_budget_at)
        worker.slow_start_budget = min(worker.slow_start_budget, max(cost, rate * settings.overload_window))
        worker.slow_start_budget_at = now
        return worker.slow_start_budget >= cost

    def charge(self, worker: Worker, queue: RequestQueue, now: int) -> None:
        """Charge an attempt to the budget of a worker that warms up."""
        if worker.warm_at > now:
            worker.slow_start_budget -= queue.expected_work()

    def _measure_warm_load(self, now: int) -> None:
        warm = [worker.running for worker in self.workers.values() if worker.ready and worker.warm_at <= now]
        self.warm_load = sum(warm) / len(warm) if warm else 1 / self.context.settings.dispatcher_count
        self.warm_load_at = now
