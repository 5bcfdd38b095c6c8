"""One worker and its restarts: arrival of requests, warm-up after a start, and the effects of faults.

The driver calls `accept`, `cancel` and `report`. The listener of each execution receives the messages that
the worker would send.
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

WARMUP_STEPS = 10  # steps in which the rate of a cold worker rises


class DeferredCall(NamedTuple):
    """A call to a hung worker, to be made when the hang ends."""

    call: Callable[..., None]
    args: tuple[Any, ...]


class WorkerFaultState:
    """Active faults of one worker by fault number, so that they may end in any order."""

    def __init__(self) -> None:
        """Start without faults."""
        self.hangs: set[int] = set()
        self.slowdowns: dict[int, float] = {}  # factor
        self.fast_failures: dict[int, float] = {}  # probability
        self.report_delays: dict[int, int] = {}  # ns

    def clear(self, fault_number: int) -> None:
        """End a slowdown, fast failures or delayed reports."""
        self.slowdowns.pop(fault_number, None)
        self.fast_failures.pop(fault_number, None)
        self.report_delays.pop(fault_number, None)


class Worker:
    """One worker; a restart after a crash uses the same object."""

    def __init__(
        self,
        name: str,
        group: WorkerGroup,
        context: RunContext,
        duplicate_filters: dict[int, DuplicateFilter],
        store: SharedStore | None = None,
    ) -> None:
        """Start warm; `duplicate_filters` are keyed by the number of the request class."""
        self.name = name
        self.zone = context.experiment.zones().index(group.zone)
        self.kind = context.experiment.machine_kinds().index(group.machine_kind)
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
        self.warm_at = 0  # ns from the start of the run
        self.last_serial = 0  # serial number of the attempt that arrived last
        self.deferred: list[DeferredCall] = []
        self.on_overload: Callable[[Worker], None] | None = None
        self.on_idle: Callable[[Worker], None] | None = None

    # ---- Calls of the driver ----

    def accept(self, execution: Execution) -> None:
        """The last byte of a request has arrived."""
        self.last_serial += 1
        execution.serial = self.last_serial
        self.executor.record(event_records.ATTEMPT_ARRIVED, execution, execution.serial)
        if self.is_hung:
            self.defer(self._admit, execution)
        else:
            self._admit(execution)

    def cancel(self, execution: Execution) -> None:
        """The dispatcher has closed the connection."""
        if self.is_hung:
            self.defer(self.cancel, execution)
        elif not execution.is_over and self.options.cancel_stops_work:
            self.executor.cancel(execution)

    def defer(self, call: Callable[..., None], *args: Any) -> None:
        """Make the call when the hang has ended."""
        self.deferred.append(DeferredCall(call, args))

    def report(self) -> LoadSample:
        """Return the load that the worker reports, with its age and noise."""
        age = self.options.report_age + max(self.faults.report_delays.values(), default=0)
        sample = LoadSample(float(len(self.executor.queue)), max(0.0, self.executor.free_slots))
        return self.reporter.report(sample, self.clock.now(), age)

    def load(self) -> float:
        """Return the true load: slots in use or requested by queued executions, as a share of all slots."""
        return self.executor.load()

    def is_idle(self) -> bool:
        """Whether no execution is running or queued."""
        return self.executor.is_idle()

    @property
    def is_hung(self) -> bool:
        """Whether the worker currently hangs: it sends nothing and does no work."""
        return bool(self.faults.hangs)

    # ---- Calls of the fault injection ----

    def start_hang(self, fault_number: int) -> None:
        """Stop sending and working."""
        self.faults.hangs.add(fault_number)
        self.update_rate()

    def end_hang(self, fault_number: int) -> None:
        """Resume sending and working, unless another hang has not ended."""
        self.faults.hangs.discard(fault_number)
        if self.is_hung:
            return
        self.update_rate()
        deferred, self.deferred = self.deferred, []
        for call, args in deferred:
            call(*args)

    def start_slowdown(self, fault_number: int, factor: float) -> None:
        """Divide the speed by the factor."""
        self.faults.slowdowns[fault_number] = factor
        self.update_rate()

    def clear_fault(self, fault_number: int) -> None:
        """End a slowdown, fast failures or delayed reports."""
        self.faults.clear(fault_number)
        self.update_rate()

    def die(self) -> None:
        """Kill the process, which loses all its requests."""
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
        """Start a new process, which is cold and has an empty cache."""
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
        """Return the current rate as a share of that of a warm worker."""
        time_left = self.warm_at - self.clock.now()
        if time_left <= 0:
            return 1.0
        cold_share = self.options.warmup_share
        return cold_share + (1 - cold_share) * (1 - time_left / self.options.warmup_period)

    def update_rate(self) -> None:
        """Work at the rate that results from warmth, hangs and slowdowns."""
        rate = 0.0 if self.is_hung else self.speed * self.warmth()
        for factor in self.faults.slowdowns.values():
            rate /= factor
        self.executor.is_hung = self.is_hung
        self.executor.change_rate(rate)

    # ---- Arrival ----

    def _admit(self, execution: Execution) -> None:
        if self.warm_at > self.clock.now() and self._is_overloaded_by(execution):
            return
        if self.faults.fast_failures and self.draws.happens(max(self.faults.fast_failures.values())):
            self.executor.fail_fast(execution)
        else:
            self.executor.enqueue(execution)

    def _is_overloaded_by(self, execution: Execution) -> bool:
        """Whether the dispatchers together have overloaded the cold worker, which crashes it."""
        now = self.clock.now()
        self.overload_detector.add(now, execution.job.work * execution.job.slots, execution.dispatcher)
        rate = self.options.overload_multiple * self.warmth() * self.speed * self.slots
        overload = self.overload_detector.detect_overload(rate * self.options.overload_window)
        if overload is None:
            return False
        self.event_log.add(Event(now, event_records.WORKER_OVERLOADED, worker=self.name, detail=overload))
        if self.on_overload is not None:
            self.on_overload(self)
        return True

    def _notify_idle(self) -> None:
        if self.on_idle is not None:
            self.on_idle(self)
