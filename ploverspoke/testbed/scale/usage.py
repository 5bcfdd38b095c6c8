"""What a fleet of dispatchers uses, and what its fakes have counted, at one moment of a run."""

from typing import NamedTuple


class FleetUsage(NamedTuple):
    """The usage of all dispatchers together."""

    cpu_ns: int
    resident: int  # bytes
    descriptors: int  # the most of one process
    serving: int  # dispatchers
    inside: dict[str, int]  # what dispatchers hold, by name, summed


class UsageSample(NamedTuple):
    """One sample of a run."""

    at: int  # ns of the run
    used: FleetUsage
    traffic: dict[str, dict[str, int]]  # counters by kind of fake, over all dispatchers
    running: int  # tasks, as the workers count them
