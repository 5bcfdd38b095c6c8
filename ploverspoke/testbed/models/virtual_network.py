"""The network of a virtual run: latencies between zones, and partitions."""

from ..experiment_files.experiment import Experiment
from .connection_faults import NetworkPartitions
from .virtual_clock import Clock


class VirtualNetwork:
    """One-way latencies in ns, and the current partitions."""

    def __init__(self, experiment: Experiment, clock: Clock) -> None:
        """Schedule the partitions of the experiment."""
        zones = range(len(experiment.zones()))
        self.partitions = NetworkPartitions(experiment, clock)
        self.client_latency: int = experiment.network.client_to_dispatcher
        self.discovery_latency: int = experiment.network.same_zone
        self.connect_timeout: int = experiment.network.connect_timeout
        self._latency = [[experiment.one_way_latency(zone, other) for other in zones] for zone in zones]

    def one_way_latency(self, zone: int, other: int) -> int:
        """Return the one-way latency between two zones, in ns."""
        return self._latency[zone][other]

    def is_partitioned(self, zone: int, other: int) -> bool:
        """Whether two zones are currently partitioned from each other."""
        return self.partitions.separates(zone, other)
