"""Faults of the connections between dispatchers and workers."""

from collections.abc import Callable

from ..experiment_files.durations import MILLISECOND
from ..experiment_files.experiment import Experiment
from ..experiment_files.fault_tables import RegionPartition, ZonePartition
from .random_streams import RandomDraws
from .virtual_clock import Clock

MAX_RESET_DELAY = 50 * MILLISECOND  # a connection that is to break does so at a random time up to it
ARRIVAL_PROBABILITY = 0.5  # of a request whose connection falls silent


class FaultProbabilities:
    """Probabilities of one kind of fault by worker; of several faults the highest one holds."""

    def __init__(self) -> None:
        """Start without faults."""
        self._by_worker: dict[str, dict[int, float]] = {}

    def add(self, worker: str, fault: int, probability: float) -> None:
        """Begin a fault."""
        self._by_worker.setdefault(worker, {})[fault] = probability

    def remove(self, worker: str, fault: int) -> None:
        """End a fault."""
        self._by_worker.get(worker, {}).pop(fault, None)

    def strikes(self, worker: str, draws: RandomDraws) -> bool:
        """Draw whether it happens to one connection; nothing is drawn without a fault."""
        faults = self._by_worker.get(worker)
        return draws.happens(max(faults.values())) if faults else False


class ConnectionFaults:
    """What happens to connections of attempts."""

    def __init__(self) -> None:
        """Start without faults."""
        self.resets = FaultProbabilities()
        self.silences = FaultProbabilities()
        self.idle_drops = FaultProbabilities()

    def remove(self, worker: str, fault: int) -> None:
        """End a fault of any kind."""
        for probabilities in (self.resets, self.silences, self.idle_drops):
            probabilities.remove(worker, fault)


class NetworkPartitions:
    """Zones between which nothing passes at present."""

    def __init__(self, experiment: Experiment, clock: Clock) -> None:
        """Schedule the partitions of the experiment."""
        self._sides: dict[int, frozenset[int]] = {}  # fault number -> zones on one side
        self._without_discovery: dict[int, frozenset[int]] = {}  # fault number -> zones
        zones = experiment.zones()
        for number, fault in enumerate(experiment.faults):
            if isinstance(fault, ZonePartition):
                side = frozenset([zones.index(fault.zone)])
                self._schedule(clock, self._sides, number, fault, side)
            elif isinstance(fault, RegionPartition):
                side = frozenset(zones.index(zone) for zone in experiment.network.regions[fault.region])
                self._schedule(clock, self._sides, number, fault, side)
                # Discovery stands in region 0.
                remote = side if fault.region else frozenset(range(len(zones))) - side
                self._schedule(clock, self._without_discovery, number, fault, remote)

    def separates(self, zone: int, other: int) -> bool:
        """Whether nothing passes between the two zones."""
        return any((zone in side) != (other in side) for side in self._sides.values())

    def reaches_discovery(self, zone: int) -> bool:
        """Whether calls of that zone reach discovery."""
        return not any(zone in zones for zones in self._without_discovery.values())

    @staticmethod
    def _schedule(
        clock: Clock,
        partitions: dict[int, frozenset[int]],
        number: int,
        fault: ZonePartition | RegionPartition,
        zones: frozenset[int],
    ) -> None:
        start: Callable[..., None] = partitions.__setitem__
        clock.call_at(fault.start, start, number, zones)
        clock.call_at(fault.start + fault.duration, partitions.__delitem__, number)
