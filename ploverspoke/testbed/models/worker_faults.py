"""Faults of workers and of their store, scheduled on the models of one process.

Each effect is recorded and undone by the number of its fault, so that faults may overlap on one worker and
end in any order.
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
    """The driver, which owns the connections and notifies discovery."""

    def worker_died(self, worker: Worker) -> None:
        """The process of the worker has died."""

    def worker_started(self, worker: Worker) -> None:
        """A new process of the worker has started."""

    def worker_overloaded(self, worker: Worker) -> None:
        """The worker has crashed by overload while cold."""

    def worker_recovered(self, worker: Worker) -> None:
        """The worker is back after a crash by overload."""


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
        # The numbers of the faults that keep each worker down or draining.
        self._down_faults: dict[str, set[int]] = {worker.name: set() for worker in workers}
        # Crashes by overload are numbered after the faults of the experiment.
        self._next_overload_number = len(context.experiment.faults)
        for worker in workers:
            worker.on_overload = self._crash_by_overload
        by_name = {worker.name: worker for worker in workers}
        targets = fault_targets(context.experiment, context.seed)
        for fault_number, (fault, names) in enumerate(zip(context.experiment.faults, targets, strict=True)):
            for worker in [by_name[name] for name in names if name in by_name]:
                self.clock.call_at(fault.start, self._start_fault, fault_number, fault, worker)
                self.clock.call_at(fault.start + fault.duration, self._end_fault, fault_number, fault, worker)

    # ---- Start and end of faults ----

    def _start_fault(self, fault_number: int, fault: Fault, worker: Worker) -> None:
        match fault:
            case Crash():
                self._take_down(fault_number, worker)
            case Drain():
                self._start_drain(fault_number, worker)
            case Hang():
                worker.start_hang(fault_number)
            case RepeatedPauses():
                self._pause(fault_number, fault, worker)
            case Slowdown():
                worker.start_slowdown(fault_number, fault.factor)
            case FastFailures():
                worker.faults.fast_failures[fault_number] = fault.probability
            case DelayedReports():
                worker.faults.report_delays[fault_number] = fault.delay
            case _:
                self._start_connection_fault(fault_number, fault, worker.name)

    def _start_connection_fault(self, fault_number: int, fault: Fault, worker: str) -> None:
        match fault:
            case ConnectionResets():
                self.connection_faults.resets.add(worker, fault_number, fault.probability)
            case SilentConnections():
                self.connection_faults.silences.add(worker, fault_number, fault.probability)
            case IdleConnectionDrops():
                self.connection_faults.idle_drops.add(worker, fault_number, fault.probability)

    def _end_fault(self, fault_number: int, fault: Fault, worker: Worker) -> None:
        match fault:
            case Crash() | Drain():
                if worker.is_up:
                    self._take_down(fault_number, worker)  # its drain has not finished in time
                self._bring_back(fault_number, worker)
            case Hang() | RepeatedPauses():
                worker.end_hang(fault_number)
            case Slowdown() | FastFailures() | DelayedReports():
                worker.clear_fault(fault_number)
            case _:
                self.connection_faults.remove(worker.name, fault_number)

    # ---- Drains, pauses, crashes ----

    def _start_drain(self, fault_number: int, worker: Worker) -> None:
        self._down_faults[worker.name].add(fault_number)
        worker.on_idle = lambda idle: self._take_down(fault_number, idle)
        if worker.is_idle():
            self.clock.call_at(self.clock.now() + self.drain_grace, self._end_drain, fault_number, worker)

    def _end_drain(self, fault_number: int, worker: Worker) -> None:
        if fault_number in self._down_faults[worker.name] and worker.is_up and worker.is_idle():
            self._take_down(fault_number, worker)

    def _pause(self, fault_number: int, fault: RepeatedPauses, worker: Worker) -> None:
        now = self.clock.now()
        if now + fault.pause >= fault.start + fault.duration:
            return
        worker.start_hang(fault_number)
        self.clock.call_at(now + fault.pause, worker.end_hang, fault_number)
        self.clock.call_at(now + fault.interval, self._pause, fault_number, fault, worker)

    def _crash_by_overload(self, worker: Worker) -> None:
        fault_number = self._next_overload_number
        self._next_overload_number += 1
        self._take_down(fault_number, worker)
        self.listener.worker_overloaded(worker)
        back_at = self.clock.now() + self.options.overload_downtime
        self.clock.call_at(back_at, self._recover_from_overload, fault_number, worker)

    def _recover_from_overload(self, fault_number: int, worker: Worker) -> None:
        self._bring_back(fault_number, worker)
        self.listener.worker_recovered(worker)

    def _take_down(self, fault_number: int, worker: Worker) -> None:
        worker.on_idle = None
        self._down_faults[worker.name].add(fault_number)
        if worker.is_up:
            worker.die()
            self.listener.worker_died(worker)

    def _bring_back(self, fault_number: int, worker: Worker) -> None:
        self._down_faults[worker.name].discard(fault_number)
        if not self._down_faults[worker.name] and not worker.is_up:
            worker.start()
            self.listener.worker_started(worker)


def schedule_store_faults(context: RunContext, store: SharedStore | None) -> None:
    """Schedule the slowdowns of the workers' store."""
    if store is None:
        return
    for fault_number, fault in enumerate(context.experiment.faults):
        if isinstance(fault, StoreSlowdown):
            end = fault.start + fault.duration
            context.clock.call_at(fault.start, store.slowdowns.__setitem__, fault_number, fault.factor)
            context.clock.call_at(end, store.slowdowns.__delitem__, fault_number)
