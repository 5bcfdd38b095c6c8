"""One worker process and its restarts: arrival of requests, warm-up after a start, and what faults do to it.

The driver calls `accept`, `cancel` and `report`; each execution's listener gets what the worker would send.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from ..experiment_files.tables import WorkerGroup
from . import event_records
from .duplicate_filter import DuplicateFilter
from .event_records import Event, ExecutionEnd
from .execution import Execution
from .executor import Executor
from .load_reports import LoadReporter, LoadSample
from .overload_detector import OverloadDetector
from .random_streams import RandomDraws
from .run_context import RunContext
from .shared_store import SharedStore

WARMUP_STEPS = 10  # in which a cold worker's rate rises


class DeferredCall(NamedTuple):
    """A call to a worker that hangs."""

    call: Callable[..., None]
    args: tuple[Any, ...]


class WorkerFaultState:
    """Faults of one worker by fault number, so that they may end in any order."""

    def __init__(self) -> None:
        """Start without faults."""
        self.hangs: set[int] = set()
        self.slowdowns: dict[int, float] = {}  # factor
        self.fast_failures: dict[int, float] = {}  # probability
        self.report_delays: dict[int, int] = {}  # ns

    def clear(self, fault: int) -> None:
        """End a slowdown, fast failures or delayed reports."""
        self.slowdowns.pop(fault, None)
        self.fast_failures.pop(fault, None)
        self.report_delays.pop(fault, None)


class Worker:
    """One worker; a new process after a crash is the same object."""

    def __init__(
        self,
        name: str,
        group: WorkerGroup,
        context: RunContext,
        duplicate_filters: dict[int, DuplicateFilter],
        store: SharedStore | None = None,
    ) -> None:
        """Start warm; duplicate filters are by number of the request class."""
        self.name = name
        self.zone = context.experiment.zones().index(group.zone)
        self.kind = context.experiment.kinds().index(group.machine_kind)
        self.slots = group.slots
        self.speed = group.speed
        self.options = context.experiment.worker_rules
        self.clock = context.clock
        self.event_log = context.event_log
        self.draws: RandomDraws = context.streams().draws(f"worker {name}")
        self.executor = Executor(name, group, context, duplicate_filters, store)
        self.executor.on_idle = self._notify_idle
        self.reporter = LoadReporter(self.options.report_noise, self.draws)
        self.overload_detector = OverloadDetector(self.options.overload_window)
        self.faults = WorkerFaultState()
        self.is_up = True
        self.warm_at = 0
        self.last_serial = 0  # of the attempts that have arrived
        self.deferred: list[DeferredCall] = []
        self.on_overload: Callable[[Worker], None] | None = None
        self.on_idle: Callable[[Worker], None] | None = None

    # ---- Calls of the driver ----

    def accept(self, run: Execution) -> None:
        """The last byte of a request has arrived."""
        self.last_serial += 1
        run.serial = self.last_serial
        self.executor.record(event_records.ATTEMPT_ARRIVED, run, run.serial)
        if self.is_hung:
            self.defer(self._admit, run)
        else:
            self._admit(run)

    def cancel(self, run: Execution) -> None:
        """The dispatcher has closed the connection."""
        if self.is_hung:
            self.defer(self.cancel, run)
        elif not run.is_over and self.options.cancel_stops_work:
            self.executor.cancel(run)

    def defer(self, call: Callable[..., None], *args: Any) -> None:
        """Make the call once the worker no longer hangs."""
        self.deferred.append(DeferredCall(call, args))

    def report(self) -> LoadSample:
        """Return the load as the worker reports it."""
        age = self.options.report_age + max(self.faults.report_delays.values(), default=0)
        sample = LoadSample(float(len(self.executor.queue)), max(0.0, self.executor.free_slots))
        return self.reporter.report(sample, self.clock.now(), age)

    def load(self) -> float:
        """Return the true load: slots in use and queued for, as a share of the slots."""
        return self.executor.load()

    def is_idle(self) -> bool:
        """Whether nothing runs or waits."""
        return self.executor.is_idle()

    @property
    def is_hung(self) -> bool:
        """Whether it sends and does nothing at present."""
        return bool(self.faults.hangs)

    # ---- Calls of the fault injection ----

    def freeze(self, fault: int) -> None:
        """Stop sending and working."""
        self.faults.hangs.add(fault)
        self.update_rate()

    def thaw(self, fault: int) -> None:
        """Go on, unless another hang lasts."""
        self.faults.hangs.discard(fault)
        if self.is_hung:
            return
        self.update_rate()
        deferred, self.deferred = self.deferred, []
        for call, args in deferred:
            call(*args)

    def slow_down(self, fault: int, factor: float) -> None:
        """Divide the speed by the factor."""
        self.faults.slowdowns[fault] = factor
        self.update_rate()

    def recover(self, fault: int) -> None:
        """End a slowdown, fast failures or delayed reports."""
        self.faults.clear(fault)
        self.update_rate()

    def die(self) -> None:
        """The process dies and loses all requests."""
        if not self.is_up:
            return
        self.is_up = False
        self.faults.hangs.clear()
        self.executor.is_hung = False
        deferred, self.deferred = self.deferred, []
        self.event_log.add(Event(self.clock.now(), event_records.WORKER_DIED, worker=self.name))
        for call, args in deferred:
            if call == self._admit:
                self.executor.end(args[0], ExecutionEnd.LOST)
        self.executor.lose_all()

    def start(self) -> None:
        """A new process starts: cold, with an empty cache."""
        now = self.clock.now()
        self.is_up = True
        self.warm_at = now + self.options.warmup_period
        self.executor.cached_keys.clear()
        self.overload_detector.clear()
        self.reporter.clear()
        self.event_log.add(Event(now, event_records.WORKER_STARTED, worker=self.name))
        for step in range(1, WARMUP_STEPS + 1):
            step_at = now + self.options.warmup_period * step // WARMUP_STEPS
            self.clock.call_at(step_at, self.update_rate)
        self.update_rate()

    def warmth(self) -> float:
        """Return its share of a warm worker's rate."""
        left = self.warm_at - self.clock.now()
        if left <= 0:
            return 1.0
        cold_share = self.options.warmup_share
        return cold_share + (1 - cold_share) * (1 - left / self.options.warmup_period)

    def update_rate(self) -> None:
        """Work at the rate that warmth and faults leave."""
        rate = 0.0 if self.is_hung else self.speed * self.warmth()
        for factor in self.faults.slowdowns.values():
            rate /= factor
        self.executor.is_hung = self.is_hung
        self.executor.change_rate(rate)

    # ---- Arrival ----

    def _admit(self, run: Execution) -> None:
        if self.warm_at > self.clock.now() and self._is_overloaded_by(run):
            return
        if self.faults.fast_failures and self.draws.happens(max(self.faults.fast_failures.values())):
            self.executor.fail_fast(run)
        else:
            self.executor.enqueue(run)

    def _is_overloaded_by(self, run: Execution) -> bool:
        """Whether all dispatchers together have sent more than the cold worker bears, which crashes it."""
        now = self.clock.now()
        self.overload_detector.add(now, run.job.work * run.job.slots, run.dispatcher)
        rate = self.options.overload_multiple * self.warmth() * self.speed * self.slots
        overload = self.overload_detector.overload(rate * self.options.overload_window)
        if overload is None:
            return False
        self.event_log.add(Event(now, event_records.WORKER_OVERLOADED, worker=self.name, detail=overload))
        if self.on_overload is not None:
            self.on_overload(self)
        return True

    def _notify_idle(self) -> None:
        if self.on_idle is not None:
            self.on_idle(self)
