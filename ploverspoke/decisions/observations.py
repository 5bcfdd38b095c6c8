"""Measurements of the dispatcher's own traffic: arrivals, running times, and delays before starts.

Most are means of recent samples. Other modules make the decisions that use them.
"""

from collections import defaultdict, deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from .context import Context
from .interface import LoadReport
from .state import MILLISECOND, SECOND, Request, RequestQueue, Worker

MIN_RUNNING_TIME_SAMPLES = 8  # of a class, for a mean
KIND_SLOWDOWN_WEIGHT = 1  # weight of the machine kind's mean slowdown, in samples of the worker itself
MIN_ARRIVALS_WITH_KEY = 150  # minimum divisor for a key's share of the arrivals
MAX_SLOWDOWN = 4.0
MIN_ARRIVAL_SPAN_NS = 100 * MILLISECOND
REPORT_DELAY_NS = SECOND  # a load report may not include requests that were sent within this time
RECENT_STARTS = 16  # starts in the mean lateness
RECENT_SAMPLES = 32  # of arrivals, running times and delays
RECENT_KIND_SLOWDOWNS = 64  # of a machine kind
RECENT_KEYS = 512


def _recent() -> deque[int]:
    return deque(maxlen=RECENT_SAMPLES)


def _recent_slowdowns() -> deque[float]:
    return deque(maxlen=RECENT_KIND_SLOWDOWNS)


@dataclass(eq=False)
class AffinityKeys:
    """Affinity keys of the latest arrivals."""

    recent: deque[str] = field(default_factory=lambda: deque(maxlen=RECENT_KEYS))

    def record(self, affinity_key: str) -> None:
        """Record the arrival of a request with this key, "" for none."""
        if affinity_key:
            self.recent.append(affinity_key)

    def share(self, affinity_key: str) -> float:
        """The key's share of the recent arrivals, not counting its first one."""
        arrivals = max(MIN_ARRIVALS_WITH_KEY, len(self.recent))
        return max(0, self.recent.count(affinity_key) - 1) / arrivals


@dataclass(eq=False)
class Observations:
    """Recent arrivals, running times and start delays."""

    queues: Mapping[tuple[float, int], RequestQueue]
    arrivals: deque[int] = field(default_factory=_recent)
    class_running_times: dict[int, deque[int]] = field(default_factory=lambda: defaultdict(_recent))
    min_class_means: dict[int, int] = field(default_factory=dict)  # lowest mean running time so far, by class
    # Time from arrival to deadline, by class.
    time_limits: dict[int, deque[int]] = field(default_factory=lambda: defaultdict(_recent))
    start_delays: dict[int, deque[int]] = field(default_factory=lambda: defaultdict(_recent))  # by zone
    probe_delays: dict[int, deque[int]] = field(default_factory=lambda: defaultdict(_recent))  # by zone
    kind_slowdowns: dict[int, deque[float]] = field(default_factory=lambda: defaultdict(_recent_slowdowns))
    affinity_keys: AffinityKeys = field(default_factory=AffinityKeys)
    mean_over_queues: int = 0  # 0: not computed since the latest sample

    def reset_class(self, number: int, predecessor: int | None) -> None:
        """Reset the samples of a class number with new rules; running times are taken from a predecessor."""
        samples = self.class_running_times[predecessor] if predecessor is not None else ()
        self.class_running_times[number] = deque(samples, maxlen=RECENT_SAMPLES)
        self.min_class_means.pop(number, None)
        self.time_limits.pop(number, None)

    def record_success(self, request: Request, worker: Worker, elapsed: int, now: int) -> None:
        """Record the running time of a successful attempt."""
        running_time = now - request.started_at if request.started_at else elapsed
        request.queue.running_times.append(running_time)
        self.mean_over_queues = 0
        if request.started_at:
            class_mean = self.class_running_time(request.class_number) or running_time or 1
            slowdown = min(MAX_SLOWDOWN, running_time / class_mean)
            worker.slowdowns.append(slowdown)
            self.kind_slowdowns[worker.endpoint.machine_kind].append(slowdown)
            self.class_running_times[request.class_number].append(running_time)

    def arrival_rate(self, now: int) -> float:
        """Arrivals per second, from the latest arrivals."""
        return len(self.arrivals) * SECOND / max(now - self.arrivals[0], MIN_ARRIVAL_SPAN_NS)

    def mean_running_time(self) -> int:
        """Mean of the queues' mean running times in ns, one second if none is known."""
        if not self.mean_over_queues:
            means = [queue.mean_running_time() for queue in self.queues.values() if queue.running_times]
            self.mean_over_queues = max(1, sum(means) // len(means)) if means else SECOND
        return self.mean_over_queues

    def slowdown(self, worker: Worker) -> float:
        """Mean ratio of a worker's running times to the class mean, blended with that of its machine kind."""
        kind_samples = self.kind_slowdowns[worker.endpoint.machine_kind]
        kind_mean = sum(kind_samples) / len(kind_samples) if kind_samples else 1.0
        total = sum(worker.slowdowns) + KIND_SLOWDOWN_WEIGHT * kind_mean
        return total / (len(worker.slowdowns) + KIND_SLOWDOWN_WEIGHT)

    def class_running_time(self, number: int) -> int:
        """Mean running time of a request class in ns, 0 while there are too few samples."""
        samples = self.class_running_times[number]
        return sum(samples) // len(samples) if len(samples) >= MIN_RUNNING_TIME_SAMPLES else 0


@dataclass(eq=False)
class StartLateness:
    """How late attempts start, relative to the wait that a request of the most urgent class tolerates."""

    context: Context
    observations: Observations
    open_requests: Mapping[int, Request]
    recent: deque[float] = field(default_factory=lambda: deque(maxlen=RECENT_STARTS))

    def record(self, delay: int) -> None:
        """Record the delay (ns) before an attempt started."""
        self.recent.append(min(1.0, delay / self._tolerable_wait()))

    def current(self, now: int) -> float:
        """Mean lateness of the latest starts and of the attempts that have not started yet."""
        tolerable = self._tolerable_wait()
        requests = self.open_requests.values()
        pending = [request for request in requests if request.worker and not request.started_at]
        waits = [min(1.0, (now - request.sent_at) / tolerable) for request in pending]
        return (sum(waits) + sum(self.recent)) / max(RECENT_STARTS, len(waits) + len(self.recent))

    def _tolerable_wait(self) -> int:
        settings, min_class_means = self.context.settings, self.observations.min_class_means
        classes = ((settings.classes[number], number) for number in settings.active_classes)
        waits = (
            rules.latency_objective + int((rules.latency_stretch - 1) * min_class_means.get(number, 0))
            for rules, number in classes
        )
        return int(max(MILLISECOND, min(waits)))


@dataclass(eq=False)
class LoadReports:
    """Load reports of workers, stored in each `Worker`."""

    # Highest number of free slots that a worker has reported, by machine kind.
    max_free_slots: dict[int, float] = field(default_factory=lambda: defaultdict(float))

    def record(self, worker: Worker, load: LoadReport, now: int) -> None:
        """Store a worker's load report."""
        worker.reported_at = now
        worker.reported_free = load.get("free_slots", 0.0)
        kind = worker.endpoint.machine_kind
        self.max_free_slots[kind] = max(self.max_free_slots[kind], worker.reported_free, 1.0)
        excess = max(0.0, load.get("in_hand", 0.0) - self.max_free_slots[kind])
        worker.reported_waiting = load.get("waiting", excess)

    def load(self, worker: Worker, now: int) -> float:
        """Demand for slots in excess of the worker's slots: the report plus the requests sent recently."""
        since = now - REPORT_DELAY_NS
        sent = sum(request.queue.slots for request in worker.attempts.values() if request.sent_at > since)
        return worker.reported_waiting - worker.reported_free + sent

    def slots(self, worker: Worker) -> float:
        """Slots of a worker of this machine kind, 1 if unknown."""
        return self.max_free_slots[worker.endpoint.machine_kind] or 1.0
