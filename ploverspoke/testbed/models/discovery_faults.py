"""Faults as discovery shows them: its own outages, drains, and deaths that it detects."""

from ..experiment_files.fault_tables import Crash, DiscoveryOutage, Drain
from .discovery import DiscoveryModel
from .event_records import EndpointStatus
from .fault_targets import fault_targets
from .run_context import RunContext

OVERLOAD_CRASH = -1  # in place of a fault's number


class DiscoveryFaults:
    """Changes the endpoint list as the experiment's faults require."""

    def __init__(self, context: RunContext, discovery: DiscoveryModel) -> None:
        """Schedule the faults of the experiment."""
        self.clock = context.clock
        self.detection_time = context.experiment.discovery.failure_detection_time
        self.discovery = discovery
        self._down: dict[str, set[int]] = {}  # worker -> fault numbers
        targets = fault_targets(context.experiment, context.seed)
        for number, (fault, workers) in enumerate(zip(context.experiment.faults, targets, strict=True)):
            end = fault.start + fault.duration
            if isinstance(fault, DiscoveryOutage):
                self.clock.call_at(fault.start, discovery.start_outage, number)
                self.clock.call_at(end, discovery.end_outage, number)
            for worker in workers:
                if isinstance(fault, Drain):
                    self.clock.call_at(fault.start, self._drain, number, worker)
                elif isinstance(fault, Crash):
                    self.clock.call_at(fault.start, self._die, number, worker)
                if isinstance(fault, Crash | Drain):
                    self.clock.call_at(end, self._return, number, worker)

    def overloaded(self, worker: str) -> None:
        """A cold worker has crashed; that is detected as any death is."""
        self._die(OVERLOAD_CRASH, worker)

    def recovered(self, worker: str) -> None:
        """A worker that had crashed of overload is back."""
        self._return(OVERLOAD_CRASH, worker)

    def _drain(self, number: int, worker: str) -> None:
        self._down.setdefault(worker, set()).add(number)
        self.discovery.update(worker, EndpointStatus.DRAINING)

    def _die(self, number: int, worker: str) -> None:
        self._down.setdefault(worker, set()).add(number)
        self.clock.call_at(self.clock.now() + self.detection_time, self._detect_death, number, worker)

    def _detect_death(self, number: int, worker: str) -> None:
        if number in self._down.get(worker, ()):
            self.discovery.update(worker, EndpointStatus.GONE)

    def _return(self, number: int, worker: str) -> None:
        self._down[worker].discard(number)
        if not self._down[worker]:
            self.discovery.update(worker, EndpointStatus.READY, max(1, self.clock.now()))
