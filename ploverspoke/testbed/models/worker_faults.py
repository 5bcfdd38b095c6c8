"""Faults of workers and of their store, scheduled on the models of one process.

Each effect is kept and undone by its fault's number, so that faults may overlap on one worker and end in any
order.
"""

from collections.abc import Sequence
from typing import Protocol

from ..experiment_files.fault_tables import (
    ConnectionResets,
    Crash,
    DelayedReports,
    Drain,
    FastFailures,
    Fault,
    Hang,
    IdleConnectionDrops,
    RepeatedPauses,
    SilentConnections,
    Slowdown,
    StoreSlowdown,
)
from .connection_faults import ConnectionFaults
from .fault_targets import fault_targets
from .run_context import RunContext
from .shared_store import SharedStore
from .worker import Worker


class WorkerLifecycleListener(Protocol):
    """The driver, which owns the connections and tells discovery."""

    def worker_died(self, worker: Worker) -> None:
        """Its process is gone."""

    def worker_started(self, worker: Worker) -> None:
        """A new process is there."""

    def worker_overloaded(self, worker: Worker) -> None:
        """It has crashed of overload while cold."""

    def worker_recovered(self, worker: Worker) -> None:
        """It is back after a crash of overload."""


class WorkerFaults:
    """The faults of the workers of one process."""

    def __init__(
        self,
        context: RunContext,
        workers: Sequence[Worker],
        connection_faults: ConnectionFaults,
        listener: WorkerLifecycleListener,
    ) -> None:
        """Schedule the faults of the experiment that affect these workers."""
        self.options = context.experiment.worker_rules
        self.drain_grace = context.experiment.rules.drain_grace
        self.clock = context.clock
        self.connection_faults = connection_faults
        self.listener = listener
        self._down: dict[str, set[int]] = {worker.name: set() for worker in workers}  # fault numbers
        self._next_crash = len(context.experiment.faults)  # number of the next crash of overload
        for worker in workers:
            worker.on_overload = self._overload
        by_name = {worker.name: worker for worker in workers}
        targets = fault_targets(context.experiment, context.seed)
        for number, (fault, names) in enumerate(zip(context.experiment.faults, targets, strict=True)):
            for worker in [by_name[name] for name in names if name in by_name]:
                self.clock.call_at(fault.start, self._begin, number, fault, worker)
                self.clock.call_at(fault.start + fault.duration, self._end, number, fault, worker)

    # ---- Begin and end of faults ----

    def _begin(self, number: int, fault: Fault, worker: Worker) -> None:
        match fault:
            case Crash():
                self._take_down(number, worker)
            case Drain():
                self._drain(number, worker)
            case Hang():
                worker.freeze(number)
            case RepeatedPauses():
                self._pause(number, fault, worker)
            case Slowdown():
                worker.slow_down(number, fault.factor)
            case FastFailures():
                worker.faults.fast_failures[number] = fault.probability
            case DelayedReports():
                worker.faults.report_delays[number] = fault.delay
            case _:
                self._begin_connection_fault(number, fault, worker.name)

    def _begin_connection_fault(self, number: int, fault: Fault, worker: str) -> None:
        match fault:
            case ConnectionResets():
                self.connection_faults.resets.add(worker, number, fault.probability)
            case SilentConnections():
                self.connection_faults.silences.add(worker, number, fault.probability)
            case IdleConnectionDrops():
                self.connection_faults.idle_drops.add(worker, number, fault.probability)

    def _end(self, number: int, fault: Fault, worker: Worker) -> None:
        match fault:
            case Crash() | Drain():
                if worker.is_up:
                    self._take_down(number, worker)  # a drain that was not finished in time
                self._bring_back(number, worker)
            case Hang() | RepeatedPauses():
                worker.thaw(number)
            case Slowdown() | FastFailures() | DelayedReports():
                worker.recover(number)
            case _:
                self.connection_faults.remove(worker.name, number)

    # ---- Drains, pauses, crashes ----

    def _drain(self, number: int, worker: Worker) -> None:
        self._down[worker.name].add(number)
        worker.on_idle = lambda idle: self._take_down(number, idle)
        if worker.is_idle():
            self.clock.call_at(self.clock.now() + self.drain_grace, self._end_drain, number, worker)

    def _end_drain(self, number: int, worker: Worker) -> None:
        if number in self._down[worker.name] and worker.is_up and worker.is_idle():
            self._take_down(number, worker)

    def _pause(self, number: int, fault: RepeatedPauses, worker: Worker) -> None:
        now = self.clock.now()
        if now + fault.pause >= fault.start + fault.duration:
            return
        worker.freeze(number)
        self.clock.call_at(now + fault.pause, worker.thaw, number)
        self.clock.call_at(now + fault.interval, self._pause, number, fault, worker)

    def _overload(self, worker: Worker) -> None:
        number = self._next_crash
        self._next_crash += 1
        self._take_down(number, worker)
        self.listener.worker_overloaded(worker)
        back_at = self.clock.now() + self.options.overload_downtime
        self.clock.call_at(back_at, self._recover, number, worker)

    def _recover(self, number: int, worker: Worker) -> None:
        self._bring_back(number, worker)
        self.listener.worker_recovered(worker)

    def _take_down(self, number: int, worker: Worker) -> None:
        worker.on_idle = None
        self._down[worker.name].add(number)
        if worker.is_up:
            worker.die()
            self.listener.worker_died(worker)

    def _bring_back(self, number: int, worker: Worker) -> None:
        self._down[worker.name].discard(number)
        if not self._down[worker.name] and not worker.is_up:
            worker.start()
            self.listener.worker_started(worker)


def schedule_store_faults(context: RunContext, store: SharedStore | None) -> None:
    """Schedule the slowdowns of the workers' store."""
    if store is None:
        return
    for number, fault in enumerate(context.experiment.faults):
        if isinstance(fault, StoreSlowdown):
            end = fault.start + fault.duration
            context.clock.call_at(fault.start, store.slowdowns.__setitem__, number, fault.factor)
            context.clock.call_at(end, store.slowdowns.__delitem__, number)
