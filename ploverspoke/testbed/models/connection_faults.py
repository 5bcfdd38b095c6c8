"""Faults of the connections between dispatchers and workers."""

from collections.abc import Callable

from ..experiment_files.durations import MILLISECOND
from ..experiment_files.experiment import Experiment
from ..experiment_files.fault_tables import RegionPartition, ZonePartition
from .random_streams import RandomDraws
from .virtual_clock import Clock

MAX_RESET_DELAY = 50 * MILLISECOND  # a connection to be reset is reset after a random delay up to this
SILENT_LOSS_PROBABILITY = 0.5  # of a request to be lost on a connection that falls silent


class FaultProbabilities:
    """Probabilities of one kind of fault by worker; the highest one applies if faults overlap."""

    def __init__(self) -> None:
        """Start without faults."""
        self._by_worker: dict[str, dict[int, float]] = {}

    def add(self, worker: str, fault_number: int, probability: float) -> None:
        """Start a fault."""
        self._by_worker.setdefault(worker, {})[fault_number] = probability

    def remove(self, worker: str, fault_number: int) -> None:
        """End a fault."""
        self._by_worker.get(worker, {}).pop(fault_number, None)

    def draw_fault(self, worker: str, draws: RandomDraws) -> bool:
        """Draw whether the fault happens to one connection; nothing is drawn if the worker has no fault."""
        faults = self._by_worker.get(worker)
        return draws.happens(max(faults.values())) if faults else False


class ConnectionFaults:
    """The faults of the connections that carry attempts."""

    def __init__(self) -> None:
        """Start without faults."""
        self.resets = FaultProbabilities()
        self.silences = FaultProbabilities()
        self.idle_drops = FaultProbabilities()

    def remove(self, worker: str, fault_number: int) -> None:
        """End a fault of any kind."""
        for probabilities in (self.resets, self.silences, self.idle_drops):
            probabilities.remove(worker, fault_number)


class NetworkPartitions:
    """The zones that are currently separated from each other or from discovery."""

    def __init__(self, experiment: Experiment, clock: Clock) -> None:
        """Schedule the partitions of the experiment."""
        self._sides: dict[int, frozenset[int]] = {}  # fault number -> zones on one side
        self._zones_without_discovery: dict[int, frozenset[int]] = {}  # fault number -> zones
        zones = experiment.zones()
        for fault_number, fault in enumerate(experiment.faults):
            if isinstance(fault, ZonePartition):
                side = frozenset([zones.index(fault.zone)])
                self._schedule(clock, self._sides, fault_number, fault, side)
            elif isinstance(fault, RegionPartition):
                side = frozenset(zones.index(zone) for zone in experiment.network.regions[fault.region])
                self._schedule(clock, self._sides, fault_number, fault, side)
                # Discovery runs in region 0.
                separated_zones = side if fault.region else frozenset(range(len(zones))) - side
                self._schedule(clock, self._zones_without_discovery, fault_number, fault, separated_zones)

    def separates(self, zone: int, other: int) -> bool:
        """Whether the two zones are partitioned from each other."""
        return any((zone in side) != (other in side) for side in self._sides.values())

    def reaches_discovery(self, zone: int) -> bool:
        """Whether calls from that zone reach discovery."""
        return not any(zone in zones for zones in self._zones_without_discovery.values())

    @staticmethod
    def _schedule(
        clock: Clock,
        partitions: dict[int, frozenset[int]],
        fault_number: int,
        fault: ZonePartition | RegionPartition,
        zones: frozenset[int],
    ) -> None:
        start: Callable[..., None] = partitions.__setitem__
        clock.call_at(fault.start, start, fault_number, zones)
        clock.call_at(fault.start + fault.duration, partitions.__delitem__, fault_number)
