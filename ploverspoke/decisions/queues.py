"""Scheduling of waiting requests: the queues' shared clock, and which request goes to which worker.

The algorithm is RMS-RF-AD+ of Psychas and Ghaderi, "Randomized Algorithms for Scheduling Multi-Resource Jobs
in the Cloud".
"""

from collections.abc import Mapping
from dataclasses import dataclass
from itertools import islice
from math import exp, log

from .attempt_policy import AttemptPolicy
from .capacity import CapacityEstimates
from .context import Context
from .load_probes import CONTACT_MAX_AGE_NS, REPORT_MAX_AGE_NS, LoadProbes
from .observations import Observations
from .state import SECOND, PeriodicTimer, Request, RequestQueue, Worker
from .worker_choice import SEARCH_INTERVAL_NS, WorkerChoice

TICKS_PER_ARRIVAL = 5
MAX_TICK_INTERVAL_NS = SECOND
EPSILON = 0.5  # of the paper's weight function
SEARCH_DEPTH = 16  # requests, from the head of a queue, that are considered for a worker
MAX_PROBE_ROUNDS = 3  # for one request, while no worker reports a free slot


@dataclass(eq=False)
class SharedClock:
    """Ticks while requests wait, and draws the queue to serve at each tick."""

    context: Context
    observations: Observations
    workers: Mapping[str, Worker]
    queues: Mapping[tuple[float, int], RequestQueue]
    is_running: bool = False

    def has_waiting(self) -> bool:
        """Whether any request is waiting."""
        return any(queue.waiting for queue in self.queues.values())

    def run(self, now: int) -> None:
        """Start the timer of the next tick; the clock stops while no request waits."""
        if self.is_running or not self.has_waiting():
            return
        self.is_running = True
        # With few arrivals, the arrival rate alone would make the clock too slow.
        rate = max(TICKS_PER_ARRIVAL * self.observations.arrival_rate(now), self.context.min_tick_rate)
        interval_s = -log(1.0 - self.context.random.fraction()) / rate
        interval_ns = min(int(interval_s * SECOND), MAX_TICK_INTERVAL_NS)
        self.context.timers.start(PeriodicTimer.CLOCK_TICK, now + interval_ns)

    def draw_queue(self) -> RequestQueue:
        """Draw the queue of this tick with a probability proportional to exp(weight)."""
        self.is_running = False
        drawn = self.context.random.weighted([exp(weight) for weight in self._weights()])
        return list(self.queues.values())[drawn]

    def replacement_chance(self, queue: RequestQueue) -> float:
        """Probability that a request of this queue replaces a served one: 1 - exp(-weight)."""
        return 1 - exp(-self._weights()[list(self.queues.values()).index(queue)])

    def _weights(self) -> list[float]:
        """max(f(Q), (epsilon / 8M) f(longest Q)) with f(x) = log(1 + x), for each queue."""
        longest = max(len(queue.waiting) for queue in self.queues.values())
        smallest = min(queue.slots for queue in self.queues.values()) or 1.0
        most_slots = max((worker.capacity for worker in self.workers.values()), default=1.0)
        min_weight = EPSILON / (8 * max(1.0, most_slots / smallest)) * log(1 + longest)
        return [max(log(1 + len(queue.waiting)), min_weight) for queue in self.queues.values()]


@dataclass(eq=False)
class QueueService:
    """Sends waiting requests at clock ticks, at probe answers and when slots become free."""

    context: Context
    clock: SharedClock
    choice: WorkerChoice
    capacity: CapacityEstimates
    probes: LoadProbes
    attempts: AttemptPolicy

    def tick(self, now: int) -> None:
        """Send the head of a randomly drawn queue, or add a placeholder if that queue is empty."""
        queue = self.clock.draw_queue()
        if queue.waiting:
            self.serve(queue, now)
        else:
            drawn = self.choice.draw_two(queue, now, None)
            if drawn:
                self.choice.choose_better(drawn, None).add_placeholder(queue, now)
        self.clock.run(now)

    def serve(self, queue: RequestQueue, now: int) -> None:
        """Send the head to the better of two workers drawn at random, or probe both first."""
        if queue.probed or now < queue.no_capacity_until:
            return
        # A head that is restricted to its retry group must not block the others if the group has no capacity.
        for request in self._heads(queue, now):
            drawn = self.choice.draw_two(queue, now, request)
            if drawn and self.probes.are_needed(request, drawn, now):
                self.probes.send(request, drawn, now)
                return
            if drawn:
                self._send(request, self.choice.choose_better(drawn, request), now)
                return
        queue.no_capacity_until = now + SEARCH_INTERVAL_NS

    def _heads(self, queue: RequestQueue, now: int) -> list[Request]:
        """The first requests, up to the first that has neither a retry group nor an affinity key.

        A request whose last send time has passed is left out: its timer, which ends it, may fire later.
        """
        heads = []
        for request in islice(queue.waiting, SEARCH_DEPTH):
            heads.append(request)
            if request.retry_group is None and not request.affinity_key:
                break
        return [request for request in heads if now < request.last_send_at]

    def _send(self, request: Request, worker: Worker, now: int) -> None:
        request.queue.waiting.remove(request)
        self.attempts.start(request, worker, now)

    def replace(self, queue: RequestQueue, worker: Worker, now: int) -> None:
        """Fill the slots of a served request with another of its queue, or with a placeholder."""
        if not worker.ready or worker.ejected or not self.clock.has_waiting():
            return
        if self.context.random.fraction() >= self.clock.replacement_chance(queue):
            return
        if not queue.waiting:
            worker.add_placeholder(queue, now)
            return
        if self.capacity.has_pending_start(worker, now):
            return
        # Most slots are filled here under load. A request that prefers this worker for its affinity key goes
        # first: the worker has the key's data, which saves a fetch.
        preferring = [
            request
            for request in islice(queue.waiting, SEARCH_DEPTH)
            if request.affinity_key
            and now < request.last_send_at
            and worker in self.choice.tiers(queue.machine_kind, request)[0]
        ]
        for request in preferring + self._heads(queue, now):
            if self.choice.allows(worker, queue, now, request):
                self._send(request, worker, now)
                return

    def worker_confirmed(self, now: int) -> None:
        """Serve all queues after a health check has confirmed a worker."""
        for queue in self.clock.queues.values():
            queue.no_capacity_until = now
            if queue.waiting:
                self.serve(queue, now)

    def probe_answered(self, worker: Worker, now: int) -> None:
        """Send the head of each queue whose probes have all been answered."""
        for queue in self.clock.queues.values():
            if worker in queue.probed and all(probed.probe is None for probed in queue.probed):
                self.send_after_probes(queue, now)

    def send_after_probes(self, queue: RequestQueue, now: int) -> None:
        """Send the head to the best worker that answered, or to none if the wait may be too long."""
        answered = [worker for worker in queue.probed if worker.probe is None and not worker.ejected]
        reported = [worker for worker in answered if now - worker.reported_at <= REPORT_MAX_AGE_NS]
        # A worker that has just started has no report yet; probing it repeatedly would block the queue.
        in_contact = (
            []
            if reported
            else [worker for worker in answered if now - worker.last_contact_at < CONTACT_MAX_AGE_NS]
        )
        queue.probed = []
        for request in self._heads(queue, now):
            usable = [
                worker for worker in in_contact if self.choice.has_capacity(worker, queue, now, request)
            ]
            if usable:
                self._send(request, self.choice.choose_better(usable, request), now)
                break
            allowed = [worker for worker in reported if self.choice.allows(worker, queue, now, request)]
            if allowed and not self._send_by_report(request, allowed, now):
                return
            if allowed:
                break
        if queue.waiting:
            self.serve(queue, now)

    def _send_by_report(self, request: Request, allowed: list[Worker], now: int) -> bool:
        """Send to the best worker by load report; False if the request waits for other probes or workers."""
        probes, queue = self.probes, request.queue
        ranked = [(probes.expected_delay(worker, now), worker) for worker in allowed]
        best = min(ranked, key=lambda pair: (pair[1] is request.failed_on, pair[0]))[1]
        request.any_zone = True
        if request.probe_rounds < MAX_PROBE_ROUNDS and probes.reports.load(best, now) + queue.slots > 0:
            drawn = self.choice.draw_two(queue, now, request)
            others = [worker for worker in drawn if worker not in allowed]
            if others and probes.send(request, [best, *others], now):
                return False
        # Reports are delayed, and the dispatchers that read the same report must not all decide alike: the
        # longer the wait relative to the time left, the fewer send. A late request is sent only if it need
        # not wait.
        wait = probes.expected_wait(best, queue, now)
        if wait and wait >= self.context.random.fraction() * max(0, request.on_time_until - now):
            for worker in allowed:
                self.capacity.cut(worker, worker.running, 0, now)
            return False
        self._send(request, best, now)
        return True
