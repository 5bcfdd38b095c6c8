"""Samples of the resource usage of a fleet of dispatchers and of the counters of its fakes."""

from typing import NamedTuple


class FleetUsage(NamedTuple):
    """The resource usage of all dispatchers together."""

    cpu_ns: int
    resident_bytes: int
    descriptors: int  # maximum of one process
    serving: int  # number of dispatchers that serve
    held_counts: dict[str, int]  # counts of what the dispatchers hold, by name, summed over them


class UsageSample(NamedTuple):
    """One sample of a run."""

    at: int  # ns since the start of the run
    usage: FleetUsage
    traffic: dict[str, dict[str, int]]  # kind of fake -> counters, summed over all dispatchers
    running_tasks: int  # as counted by the workers
