"""Executes the requests of a worker, with its queue, slots and cache.

Work is measured in ns of one slot at speed 1 and is done at the current rate of the worker.
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
        """Start idle; `duplicate_filters` are keyed by the number of the request class."""
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
        self.cached_keys: OrderedDict[str, None] = OrderedDict()  # least recently used first
        self.on_idle: Callable[[], None] | None = None

    def load(self) -> float:
        """Return the slots that are in use or requested by queued executions, as a share of all slots."""
        queued = sum(execution.job.slots for execution in self.queue)
        return (self.slots - self.free_slots + queued) / self.slots

    def is_idle(self) -> bool:
        """Whether no execution is running or queued."""
        return not self.running and not self.queue

    def change_rate(self, rate: float) -> None:
        """Continue all running work at another rate."""
        if rate == self.rate:
            return
        self.rate = rate
        for execution in self.running:
            if not execution.is_fetching and execution.duplicate_of is None:
                self._schedule_completion(execution)

    def record(self, kind: str, execution: Execution, detail: int | AttemptEnded) -> None:
        """Record an event of an execution."""
        self.event_log.add(
            Event(
                self.clock.now(),
                kind,
                execution.request_id,
                execution.job.number,
                execution.dispatcher,
                self.worker,
                detail,
            )
        )

    # ---- Arrival, cancellation, loss ----

    def enqueue(self, execution: Execution) -> None:
        """Queue a request and start it if slots are free; return it unstarted if the queue is full."""
        self.queue.append(execution)
        self._start_queued()
        if len(self.queue) > self.queue_limit and self.queue[-1] is execution:
            self.queue.pop()
            self.end(execution, ExecutionEnd.RETURNED)

    def fail_fast(self, execution: Execution) -> None:
        """Start a request that fails after a short time, without queueing it."""
        end_at = self.clock.now() + FAST_FAILURE_TIME
        execution.completion_timer = self.clock.call_at(end_at, self._finish, execution, ExecutionEnd.FAILED)
        self._occupy_slots(execution)

    def cancel(self, execution: Execution) -> None:
        """Cancel an execution, unless duplicates wait for its end."""
        if not execution.has_started and execution.duplicate_of is None and execution in self.queue:
            self.queue.remove(execution)
            self.end(execution, ExecutionEnd.CANCELLED)
        elif not execution.duplicates:
            self._finish(execution, ExecutionEnd.CANCELLED)

    def lose_all(self) -> None:
        """End all executions as lost: the process has died."""
        for execution in [*self.running, *self.queue]:
            execution.cancel_timers()
            if execution.idempotency_key and execution.has_started:
                self._duplicate_filter(execution).forget(execution)
            self.end(execution, ExecutionEnd.LOST)
        self.running.clear()
        self.queue.clear()
        self.free_slots = float(self.slots)

    # ---- Start ----

    def _start_queued(self) -> None:
        can_skip = self.options.queue_order is QueueOrder.FIRST_FIT
        index = 0
        while index < len(self.queue):
            execution = self.queue[index]
            if execution.job.slots <= self.free_slots:
                del self.queue[index]
                self._start(execution)
            elif can_skip:
                index += 1
            else:
                return

    def _occupy_slots(self, execution: Execution) -> None:
        self.free_slots -= execution.job.slots
        self.running[execution] = None
        execution.has_started = True
        self.record(event_records.ATTEMPT_STARTED, execution, execution.serial)

    def _start(self, execution: Execution) -> None:
        if execution.idempotency_key:
            duplicate_filter = self._duplicate_filter(execution)
            window = self.request_classes[execution.job.request_class].retry_window
            original = duplicate_filter.find_original(execution.idempotency_key, window)
            if original is not None and original is not execution:
                self._attach_to_original(execution, original)
                return
            duplicate_filter.remember(execution)
        self._occupy_slots(execution)
        if self.options.reports_start:
            execution.listener.execution_started(execution)
            if not execution.is_over:
                self._schedule_progress(execution)
        if execution.is_over:
            return
        key = execution.job.affinity_key
        if key and self.store is not None and not self._use_cached(key):
            execution.is_fetching = True
            execution.fetch = self.store.fetch(partial(self._finish_fetch, execution))
        else:
            self._schedule_completion(execution)

    def _attach_to_original(self, execution: Execution, original: Execution) -> None:
        """Do not execute a duplicate; it ends as the original does."""
        execution.duplicate_of = original
        if original.is_over:
            self._end_one(execution, ExecutionEnd.DONE)
            return
        original.duplicates.append(execution)

    def _finish_fetch(self, execution: Execution) -> None:
        execution.is_fetching = False
        execution.fetch = None
        if execution.is_over:
            return
        self.cached_keys[execution.job.affinity_key] = None
        if len(self.cached_keys) > self.options.cached_keys:
            self.cached_keys.popitem(last=False)
        self._schedule_completion(execution)

    def _use_cached(self, affinity_key: str) -> bool:
        if affinity_key not in self.cached_keys:
            return False
        self.cached_keys.move_to_end(affinity_key)
        return True

    # ---- Work ----

    def _schedule_completion(self, execution: Execution) -> None:
        """Continue work at the current rate."""
        now = self.clock.now()
        execution.change_rate(self.rate, now)
        if execution.completion_timer is not None:
            execution.completion_timer.cancel()
            execution.completion_timer = None
        if self.rate > 0:
            end_at = now + int(execution.remaining_work / self.rate)
            execution.completion_timer = self.clock.call_at(
                end_at, self._finish, execution, ExecutionEnd.DONE
            )

    def _schedule_progress(self, execution: Execution) -> None:
        next_at = self.clock.now() + self.options.progress_interval
        execution.progress_timer = self.clock.call_at(next_at, self._report_progress, execution)

    def _report_progress(self, execution: Execution) -> None:
        if execution.is_over:
            return
        if not self.is_hung:
            execution.listener.execution_progressed(execution, round(execution.progress(), 3))
        self._schedule_progress(execution)

    # ---- End of an execution ----

    def _finish(self, execution: Execution, end: ExecutionEnd) -> None:
        execution.cancel_timers()
        if execution in self.running:
            del self.running[execution]
            self.free_slots += execution.job.slots
        if execution.idempotency_key and end is not ExecutionEnd.DONE:
            self._duplicate_filter(execution).forget(execution)
        if execution.duplicate_of is not None and execution in execution.duplicate_of.duplicates:
            execution.duplicate_of.duplicates.remove(execution)
        self.end(execution, end)
        self._start_queued()
        if self.on_idle is not None and self.is_idle():
            self.on_idle()

    def end(self, execution: Execution, end: ExecutionEnd) -> None:
        """End an execution and its duplicates, and notify their listeners."""
        if execution.is_over:
            return
        if execution.duplicate_of is None:
            self._record_end(execution, end)
        self._end_one(execution, end)
        for duplicate in execution.duplicates:
            # If the original had no effect, its duplicates do not count as done either.
            self._end_one(duplicate, end if end is ExecutionEnd.DONE else ExecutionEnd.LOST)
        execution.duplicates.clear()

    def _end_one(self, execution: Execution, end: ExecutionEnd) -> None:
        if execution.is_over:
            return
        execution.is_over = True
        if execution.duplicate_of is not None:
            is_dropped = end is ExecutionEnd.DONE
            self._record_end(execution, ExecutionEnd.DUPLICATE_DROPPED if is_dropped else end)
        if end is not ExecutionEnd.CANCELLED:
            execution.listener.execution_ended(execution, end)

    def _duplicate_filter(self, execution: Execution) -> DuplicateFilter:
        return self.duplicate_filters[execution.job.request_class]

    def _record_end(self, execution: Execution, end: ExecutionEnd) -> None:
        self.record(event_records.ATTEMPT_ENDED, execution, AttemptEnded(execution.serial, end.value))
