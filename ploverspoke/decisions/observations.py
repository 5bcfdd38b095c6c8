"""Measurements of the dispatcher's own traffic: arrivals, running times, and delays before starts.

They are means of recent samples; the decisions that use them stand elsewhere.
"""

from collections import defaultdict, deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from .context import Context
from .interface import LoadReport
from .state import MILLISECOND, SECOND, Request, RequestQueue, Worker

MIN_RUNNING_TIMES = 8  # samples of a class, for a mean
KIND_WEIGHT = 1  # of the machine kind's mean slowdown, in samples of a worker's own
MIN_ARRIVALS_WITH_KEY = 150  # assumed at the least for a key's share of the arrivals
MAX_SLOWDOWN = 4.0
MIN_ARRIVAL_SPAN_NS = 100 * MILLISECOND
REPORT_DELAY_NS = SECOND  # a load report may not contain what was sent within this time
RECENT_STARTS = 16  # of which the mean lateness is taken
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
        """A request has arrived with this key, "" for none."""
        if affinity_key:
            self.recent.append(affinity_key)

    def share(self, affinity_key: str) -> float:
        """The key's share of the arrivals, where it came more than once."""
        arrivals = max(MIN_ARRIVALS_WITH_KEY, len(self.recent))
        return max(0, self.recent.count(affinity_key) - 1) / arrivals


@dataclass(eq=False)
class Observations:
    """Recent arrivals, running times and start delays."""

    queues: Mapping[tuple[float, int], RequestQueue]
    arrivals: deque[int] = field(default_factory=_recent)
    class_running_times: dict[int, deque[int]] = field(default_factory=lambda: defaultdict(_recent))
    shortest_mean: dict[int, int] = field(default_factory=dict)  # of a class's running times, seen so far
    times_given: dict[int, deque[int]] = field(default_factory=lambda: defaultdict(_recent))  # by class
    start_delays: dict[int, deque[int]] = field(default_factory=lambda: defaultdict(_recent))  # by zone
    probe_delays: dict[int, deque[int]] = field(default_factory=lambda: defaultdict(_recent))  # by zone
    kind_slowdowns: dict[int, deque[float]] = field(default_factory=lambda: defaultdict(_recent_slowdowns))
    affinity_keys: AffinityKeys = field(default_factory=AffinityKeys)
    mean_over_queues: int = 0  # 0: not computed since the latest sample

    def begin_class(self, number: int, predecessor: int | None) -> None:
        """Reset the samples of a class number with new rules; running times are taken from a predecessor."""
        known = self.class_running_times[predecessor] if predecessor is not None else ()
        self.class_running_times[number] = deque(known, maxlen=RECENT_SAMPLES)
        self.shortest_mean.pop(number, None)
        self.times_given.pop(number, None)

    def record_success(self, request: Request, worker: Worker, elapsed: int, now: int) -> None:
        """An attempt succeeded."""
        running_time = now - request.started_at if request.started_at else elapsed
        request.queue.running_times.append(running_time)
        self.mean_over_queues = 0
        if request.started_at:
            usual = self.class_running_time(request.class_number) or running_time or 1
            slowdown = min(MAX_SLOWDOWN, running_time / usual)
            worker.slowdowns.append(slowdown)
            self.kind_slowdowns[worker.endpoint.machine_kind].append(slowdown)
            self.class_running_times[request.class_number].append(running_time)

    def arrival_rate(self, now: int) -> float:
        """Arrivals a second, from the last few."""
        return len(self.arrivals) * SECOND / max(now - self.arrivals[0], MIN_ARRIVAL_SPAN_NS)

    def mean_running_time(self) -> int:
        """Mean over the queues' means in ns, one second where none is known."""
        if not self.mean_over_queues:
            known = [queue.mean_running_time() for queue in self.queues.values() if queue.running_times]
            self.mean_over_queues = max(1, sum(known) // len(known)) if known else SECOND
        return self.mean_over_queues

    def slowdown(self, worker: Worker) -> float:
        """Mean ratio of running times there to their class's mean, blended with that of the machine kind."""
        kind = self.kind_slowdowns[worker.endpoint.machine_kind]
        usual = sum(kind) / len(kind) if kind else 1.0
        return (sum(worker.slowdowns) + KIND_WEIGHT * usual) / (len(worker.slowdowns) + KIND_WEIGHT)

    def class_running_time(self, number: int) -> int:
        """Mean running time of a request class in ns, 0 while too few are known."""
        known = self.class_running_times[number]
        return sum(known) // len(known) if len(known) >= MIN_RUNNING_TIMES else 0


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
        """Mean of the latest starts and of the waits of those yet to start."""
        tolerable = self._tolerable_wait()
        pending = [each for each in self.open_requests.values() if each.worker and not each.started_at]
        waits = [min(1.0, (now - request.sent_at) / tolerable) for request in pending]
        return (sum(waits) + sum(self.recent)) / max(RECENT_STARTS, len(waits) + len(self.recent))

    def _tolerable_wait(self) -> int:
        settings, shortest_mean = self.context.settings, self.observations.shortest_mean
        rows = ((settings.classes[number], number) for number in settings.active_classes)
        waits = (
            rules.latency_objective + int((rules.latency_stretch - 1) * shortest_mean.get(number, 0))
            for rules, number in rows
        )
        return int(max(MILLISECOND, min(waits)))


@dataclass(eq=False)
class LoadReports:
    """Load reports of workers, stored in each `Worker`."""

    # Most slots reported free at once, by machine kind.
    most_free: dict[int, float] = field(default_factory=lambda: defaultdict(float))

    def record(self, worker: Worker, load: LoadReport, now: int) -> None:
        """A worker has reported its load."""
        worker.reported_at = now
        worker.reported_free = load.get("free_slots", 0.0)
        kind = worker.endpoint.machine_kind
        self.most_free[kind] = max(self.most_free[kind], worker.reported_free, 1.0)
        in_excess = max(0.0, load.get("in_hand", 0.0) - self.most_free[kind])
        worker.reported_waiting = load.get("waiting", in_excess)

    def load(self, worker: Worker, now: int) -> float:
        """Slots in demand there beyond those it has: the report and what was sent since."""
        since = now - REPORT_DELAY_NS
        sent = sum(request.queue.slots for request in worker.attempts.values() if request.sent_at > since)
        return worker.reported_waiting - worker.reported_free + sent

    def slots(self, worker: Worker) -> float:
        """Slots of a worker of its kind, 1 where they are not known."""
        return self.most_free[worker.endpoint.machine_kind] or 1.0
