"""Faults as discovery shows them: its own outages, drains, and deaths of workers that it detects."""

from ..experiment_files.fault_tables import Crash, DiscoveryOutage, Drain
from .discovery import DiscoveryModel
from .event_records import EndpointStatus
from .fault_targets import fault_targets
from .run_context import RunContext

OVERLOAD_CRASH = -1  # stands for a crash by overload, which has no fault number


class DiscoveryFaults:
    """Changes the endpoint list as the experiment's faults require."""

    def __init__(self, context: RunContext, discovery: DiscoveryModel) -> None:
        """Schedule the faults of the experiment."""
        self.clock = context.clock
        self.detection_time = context.experiment.discovery.failure_detection_time
        self.discovery = discovery
        self._down_faults: dict[str, set[int]] = {}  # worker -> numbers of its current faults
        targets = fault_targets(context.experiment, context.seed)
        for fault_number, (fault, workers) in enumerate(zip(context.experiment.faults, targets, strict=True)):
            end = fault.start + fault.duration
            if isinstance(fault, DiscoveryOutage):
                self.clock.call_at(fault.start, discovery.start_outage, fault_number)
                self.clock.call_at(end, discovery.end_outage, fault_number)
            for worker in workers:
                if isinstance(fault, Drain):
                    self.clock.call_at(fault.start, self._start_drain, fault_number, worker)
                elif isinstance(fault, Crash):
                    self.clock.call_at(fault.start, self._schedule_death_detection, fault_number, worker)
                if isinstance(fault, Crash | Drain):
                    self.clock.call_at(end, self._end_fault, fault_number, worker)

    def worker_overloaded(self, worker: str) -> None:
        """A cold worker has crashed by overload, which is detected like any other death."""
        self._schedule_death_detection(OVERLOAD_CRASH, worker)

    def worker_recovered(self, worker: str) -> None:
        """A worker is back after a crash by overload."""
        self._end_fault(OVERLOAD_CRASH, worker)

    def _start_drain(self, fault_number: int, worker: str) -> None:
        self._down_faults.setdefault(worker, set()).add(fault_number)
        self.discovery.update(worker, EndpointStatus.DRAINING)

    def _schedule_death_detection(self, fault_number: int, worker: str) -> None:
        self._down_faults.setdefault(worker, set()).add(fault_number)
        self.clock.call_at(self.clock.now() + self.detection_time, self._detect_death, fault_number, worker)

    def _detect_death(self, fault_number: int, worker: str) -> None:
        if fault_number in self._down_faults.get(worker, ()):
            self.discovery.update(worker, EndpointStatus.GONE)

    def _end_fault(self, fault_number: int, worker: str) -> None:
        self._down_faults[worker].discard(fault_number)
        if not self._down_faults[worker]:
            self.discovery.update(worker, EndpointStatus.READY, max(1, self.clock.now()))
