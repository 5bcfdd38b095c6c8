"""Executes the requests that a worker has: its queue, its slots and its cache.

Work is counted in ns of one slot at speed 1 and is done at the worker's present rate.
"""

from collections import OrderedDict, deque
from collections.abc import Callable
from functools import partial

from ..experiment_files.durations import MILLISECOND
from ..experiment_files.tables import QueueOrder, WorkerGroup
from . import event_records
from .duplicate_filter import DuplicateFilter
from .event_records import AttemptEnded, Event, ExecutionEnd
from .execution import Execution
from .run_context import RunContext
from .shared_store import SharedStore

FAST_FAILURE_TIME = MILLISECOND


class Executor:
    """The executions at one worker."""

    def __init__(
        self,
        worker: str,
        group: WorkerGroup,
        context: RunContext,
        duplicate_filters: dict[int, DuplicateFilter],
        store: SharedStore | None,
    ) -> None:
        """Start idle; duplicate filters are by number of the request class."""
        self.worker = worker
        self.slots = group.slots
        self.queue_limit = group.queue_limit
        self.options = context.experiment.worker_rules
        self.request_classes = context.experiment.request_classes
        self.clock = context.clock
        self.event_log = context.event_log
        self.duplicate_filters = duplicate_filters
        self.store = store
        self.rate = group.speed
        self.is_hung = False
        self.free_slots = float(group.slots)
        self.queue: deque[Execution] = deque()
        self.running: dict[Execution, None] = {}
        self.cached_keys: OrderedDict[str, None] = OrderedDict()  # the most recently used last
        self.on_idle: Callable[[], None] | None = None

    def load(self) -> float:
        """Return the slots in use and queued for, as a share of the slots."""
        queued = sum(run.job.slots for run in self.queue)
        return (self.slots - self.free_slots + queued) / self.slots

    def is_idle(self) -> bool:
        """Whether nothing runs or waits."""
        return not self.running and not self.queue

    def change_rate(self, rate: float) -> None:
        """Do all work at another rate from now on."""
        if rate == self.rate:
            return
        self.rate = rate
        for run in self.running:
            if not run.is_fetching and run.duplicate_of is None:
                self._work(run)

    def record(self, kind: str, run: Execution, detail: int | AttemptEnded) -> None:
        """Record an event of an execution."""
        self.event_log.add(
            Event(self.clock.now(), kind, run.request_id, run.job.number, run.dispatcher, self.worker, detail)
        )

    # ---- Arrival, cancellation, loss ----

    def enqueue(self, run: Execution) -> None:
        """Start a request now or later; return it where the queue is full."""
        self.queue.append(run)
        self._start_queued()
        if len(self.queue) > self.queue_limit and self.queue[-1] is run:
            self.queue.pop()
            self.end(run, ExecutionEnd.RETURNED)

    def fail_fast(self, run: Execution) -> None:
        """Start a request that fails after a short time."""
        end_at = self.clock.now() + FAST_FAILURE_TIME
        run.completion_timer = self.clock.call_at(end_at, self._finish, run, ExecutionEnd.FAILED)
        self._occupy_slots(run)

    def cancel(self, run: Execution) -> None:
        """Stop an execution, unless duplicates wait for its end."""
        if not run.has_started and run.duplicate_of is None and run in self.queue:
            self.queue.remove(run)
            self.end(run, ExecutionEnd.CANCELLED)
        elif not run.duplicates:
            self._finish(run, ExecutionEnd.CANCELLED)

    def lose_all(self) -> None:
        """The process has died."""
        for run in [*self.running, *self.queue]:
            run.cancel_timers()
            if run.idempotency_key and run.has_started:
                self._duplicate_filter(run).forget(run)
            self.end(run, ExecutionEnd.LOST)
        self.running.clear()
        self.queue.clear()
        self.free_slots = float(self.slots)

    # ---- Start ----

    def _start_queued(self) -> None:
        skips_large = self.options.queue_order is QueueOrder.FIRST_FIT
        index = 0
        while index < len(self.queue):
            run = self.queue[index]
            if run.job.slots <= self.free_slots:
                del self.queue[index]
                self._start(run)
            elif skips_large:
                index += 1
            else:
                return

    def _occupy_slots(self, run: Execution) -> None:
        self.free_slots -= run.job.slots
        self.running[run] = None
        run.has_started = True
        self.record(event_records.ATTEMPT_STARTED, run, run.serial)

    def _start(self, run: Execution) -> None:
        if run.idempotency_key:
            known = self._duplicate_filter(run)
            window = self.request_classes[run.job.request_class].retry_window
            original = known.find_original(run.idempotency_key, window)
            if original is not None and original is not run:
                self._follow(run, original)
                return
            known.remember(run)
        self._occupy_slots(run)
        if self.options.reports_start:
            run.listener.run_started(run)
            if not run.is_over:
                self._schedule_progress(run)
        if run.is_over:
            return
        key = run.job.affinity_key
        if key and self.store is not None and not self._has_cached(key):
            run.is_fetching = True
            run.fetch = self.store.fetch(partial(self._fetched, run))
        else:
            self._work(run)

    def _follow(self, run: Execution, original: Execution) -> None:
        """A duplicate is not executed: it ends as the original does."""
        run.duplicate_of = original
        if original.is_over:
            self._tell_end(run, ExecutionEnd.DONE)
            return
        original.duplicates.append(run)

    def _fetched(self, run: Execution) -> None:
        run.is_fetching = False
        run.fetch = None
        if run.is_over:
            return
        self.cached_keys[run.job.affinity_key] = None
        if len(self.cached_keys) > self.options.cached_keys:
            self.cached_keys.popitem(last=False)
        self._work(run)

    def _has_cached(self, affinity_key: str) -> bool:
        if affinity_key not in self.cached_keys:
            return False
        self.cached_keys.move_to_end(affinity_key)
        return True

    # ---- Work ----

    def _work(self, run: Execution) -> None:
        """Work on at the present rate."""
        now = self.clock.now()
        run.change_rate(self.rate, now)
        if run.completion_timer is not None:
            run.completion_timer.cancel()
            run.completion_timer = None
        if self.rate > 0:
            end_at = now + int(run.remaining_work / self.rate)
            run.completion_timer = self.clock.call_at(end_at, self._finish, run, ExecutionEnd.DONE)

    def _schedule_progress(self, run: Execution) -> None:
        next_at = self.clock.now() + self.options.progress_interval
        run.progress_timer = self.clock.call_at(next_at, self._report_progress, run)

    def _report_progress(self, run: Execution) -> None:
        if run.is_over:
            return
        if not self.is_hung:
            run.listener.run_progressed(run, round(run.progress(), 3))
        self._schedule_progress(run)

    # ---- End of an execution ----

    def _finish(self, run: Execution, end: ExecutionEnd) -> None:
        run.cancel_timers()
        if run in self.running:
            del self.running[run]
            self.free_slots += run.job.slots
        if run.idempotency_key and end is not ExecutionEnd.DONE:
            self._duplicate_filter(run).forget(run)
        if run.duplicate_of is not None and run in run.duplicate_of.duplicates:
            run.duplicate_of.duplicates.remove(run)
        self.end(run, end)
        self._start_queued()
        if self.on_idle is not None and self.is_idle():
            self.on_idle()

    def end(self, run: Execution, end: ExecutionEnd) -> None:
        """End an execution and its duplicates, and tell their listeners."""
        if run.is_over:
            return
        if run.duplicate_of is None:
            self._record_end(run, end)
        self._tell_end(run, end)
        for duplicate in run.duplicates:
            # Without an effect of the original, its duplicates do not count as done either.
            self._tell_end(duplicate, end if end is ExecutionEnd.DONE else ExecutionEnd.LOST)
        run.duplicates.clear()

    def _tell_end(self, run: Execution, end: ExecutionEnd) -> None:
        if run.is_over:
            return
        run.is_over = True
        if run.duplicate_of is not None:
            dropped = end is ExecutionEnd.DONE
            self._record_end(run, ExecutionEnd.DUPLICATE_DROPPED if dropped else end)
        if end is not ExecutionEnd.CANCELLED:
            run.listener.run_ended(run, end)

    def _duplicate_filter(self, run: Execution) -> DuplicateFilter:
        return self.duplicate_filters[run.job.request_class]

    def _record_end(self, run: Execution, end: ExecutionEnd) -> None:
        self.record(event_records.ATTEMPT_ENDED, run, AttemptEnded(run.serial, end.value))
