"""Capacity estimates (additive increase, cuts to known running slots, recovery over time) and slow start."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from .context import Context
from .gossip import GossipExchange
from .observations import Observations
from .state import MILLISECOND, SECOND, Request, RequestQueue, Worker

INITIAL_CAPACITY = 2.0  # slots assumed before anything is known of a worker
RECOVERY_PER_WAIT = 2  # a slot recovers in at least this multiple of the wait that caused the cut
MAX_RECOVERY_NS = 30 * SECOND
MAX_PENDING_RUNNING_TIMES = 3  # an attempt may be lost after this many mean running times without a start
# A delay is prompt if it is at most PROMPT_FACTOR times the shortest recent one plus the margin.
PROMPT_FACTOR = 3
PROMPT_MARGIN_NS = 10 * MILLISECOND
WARMING_SHARE = 0.5  # share that is used of the load that a worker can take while it warms up
WARM_LOAD_MAX_AGE_NS = 20 * MILLISECOND


def prompt_limit(delays: Iterable[int], default: int) -> int:
    """The longest delay that counts as prompt relative to recent delays; `default` if there are none."""
    shortest = min(delays, default=None)
    return default if shortest is None else PROMPT_FACTOR * shortest + PROMPT_MARGIN_NS


@dataclass(eq=False)
class CapacityEstimates:
    """Updates the capacity estimate that each `Worker` stores."""

    context: Context
    workers: Mapping[str, Worker]
    observations: Observations
    gossip: GossipExchange

    def free_slots(self, worker: Worker, now: int) -> float:
        """Estimated free slots; placeholders count only while this dispatcher has slots in flight there."""
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
        """Whether an attempt has not started promptly, which indicates a full worker."""
        if not worker.unstarted or not self.context.settings.workers_report_start:
            return False
        late_if_sent_before = now - self.prompt_start(worker)
        # An attempt that a later one has overtaken, or that has waited very long, may be lost and is ignored.
        oldest_sent_at = now - MAX_PENDING_RUNNING_TIMES * self.observations.mean_running_time()
        lost_if_sent_by = max(worker.latest_start_sent_at, oldest_sent_at)
        return any(lost_if_sent_by < sent_at < late_if_sent_before for sent_at in worker.unstarted.values())

    def prompt_start(self, worker: Worker) -> int:
        """Longest delay of a start that counts as prompt in the worker's zone."""
        return prompt_limit(self.observations.start_delays[worker.endpoint.zone], SECOND)

    def record_attempt(self, request: Request, worker: Worker, now: int) -> None:
        """Record the slots in use for a new attempt, and drop placeholders for which no slots are left."""
        while self.free_slots(worker, now) < 0 and worker.placeholders:
            worker.placeholders.popleft()
        request.slots_in_use = worker.in_flight + self.gossip.peer_slots(worker)

    def record_start(self, request: Request, worker: Worker, wait: int, now: int) -> None:
        """Update the estimate at a start; a late one counts as FULL: workers with queues send FULL late."""
        if wait <= self.prompt_start(worker):
            worker.recovery_time = max(MILLISECOND, worker.recovery_time / 2)
            self.record_accepted(worker, request.slots_in_use)
            return
        request.started_too_late = wait > request.queueing_deadline - request.arrived_at
        recovery_time = RECOVERY_PER_WAIT * wait if request.started_too_late else 0
        self.cut(worker, worker.running + self.gossip.peer_slots(worker), recovery_time, now)

    def record_accepted(self, worker: Worker, slots_in_use: float) -> None:
        """Add one slot for an accepted attempt, up to one more than were in use when it was sent."""
        worker.capacity = max(worker.capacity, min(worker.capacity + 1, slots_in_use + 1))
        worker.capacity_before_cut = max(worker.capacity, worker.capacity_before_cut)

    def cut(self, worker: Worker, capacity: float, recovery_time: float, now: int) -> None:
        """Lower the estimate, which then recovers by at most one slot per mean running time."""
        if capacity < worker.capacity:
            worker.capacity_before_cut = max(capacity + 1, INITIAL_CAPACITY)
            worker.capacity = capacity
            worker.capacity_at = now
            attempt_interval = int(len(self.workers) * SECOND / self.observations.arrival_rate(now))
            min_recovery_time = max(self.observations.mean_running_time(), recovery_time, attempt_interval)
            worker.recovery_time = min(min_recovery_time, MAX_RECOVERY_NS)


@dataclass(eq=False)
class SlowStart:
    """Budgets of warming workers: a share of the load of warm workers (docs/design.md, rule 4)."""

    context: Context
    workers: Mapping[str, Worker]
    observations: Observations
    warm_load: float = 0.0  # mean number of this dispatcher's slots that run on a warm worker
    warm_load_at: int = -SECOND

    def start_budget(self, worker: Worker, now: int) -> None:
        """Start a worker's budget at a random part of one request, so that dispatchers do not coincide."""
        worker.slow_start_budget = self.context.random.fraction() * self.observations.mean_running_time()
        worker.slow_start_budget_at = now

    def allows(self, worker: Worker, queue: RequestQueue, now: int) -> bool:
        """Whether a warming worker's budget covers a request; the budget's rate grows during the warm-up."""
        settings = self.context.settings
        progress = min(1.0, max(0.0, 1 - (worker.warm_at - now) / settings.warmup_period))
        share = settings.warmup_share + (1 - settings.warmup_share) * progress
        if now - self.warm_load_at > WARM_LOAD_MAX_AGE_NS:
            self._measure_warm_load(now)
        rate = WARMING_SHARE * settings.overload_multiple * share * self.warm_load
        cost = queue.expected_work()
        worker.slow_start_budget += rate * (now - worker.slow_start_budget_at)
        worker.slow_start_budget = min(worker.slow_start_budget, max(cost, rate * settings.overload_window))
        worker.slow_start_budget_at = now
        return worker.slow_start_budget >= cost

    def charge(self, worker: Worker, queue: RequestQueue, now: int) -> None:
        """Charge an attempt to the budget of a warming worker."""
        if worker.warm_at > now:
            worker.slow_start_budget -= queue.expected_work()

    def _measure_warm_load(self, now: int) -> None:
        loads = [worker.running for worker in self.workers.values() if worker.ready and worker.warm_at <= now]
        self.warm_load = sum(loads) / len(loads) if loads else 1 / self.context.settings.dispatcher_count
        self.warm_load_at = now
