"""CPU, memory and traffic of replicas behind the proxy: of the leader, and the mean of the followers."""

import time
from collections.abc import Mapping, Sequence
from typing import NamedTuple

import numpy as np

from ...experiment_files.durations import SECOND
from ...processes.resource_usage import ResourceUsage, read_resource_usage
from ...processes.rig import Rig

Samples = Sequence[tuple[int, ResourceUsage]]  # samples of one process, with their times in ns


class LinkBytes(NamedTuple):
    """The bytes that have passed each link of the proxy so far."""

    at: float  # seconds of the monotonic clock
    by_link: Mapping[str, int]  # by "ORIGIN>TARGET"


async def read_link_bytes(rig: Rig) -> LinkBytes:
    """Read the proxy's counters."""
    await rig.link_faults.read_counters(by_link=True)
    return LinkBytes(time.monotonic(), rig.link_faults.counters.bytes_by_link)


class ByteRates:
    """Bytes a second between two readings of the proxy's counters."""

    def __init__(self, before: LinkBytes, after: LinkBytes) -> None:
        """`after` was read later than `before`."""
        self._before = before
        self._after = after
        self._seconds = after.at - before.at

    def between(self, origin: str, target: str) -> float:
        """Return the rate on one link."""
        return self._rate([f"{origin}>{target}"])

    def into(self, name: str) -> float:
        """Return the rate towards a process."""
        return self._rate([link for link in self._after.by_link if link.endswith(f">{name}")])

    def out_of(self, name: str) -> float:
        """Return the rate from a process."""
        return self._rate([link for link in self._after.by_link if link.startswith(f"{name}>")])

    def _rate(self, links: Sequence[str]) -> float:
        passed = (self._after.by_link.get(link, 0) - self._before.by_link.get(link, 0) for link in links)
        return sum(passed) / self._seconds


class UsageSampler:
    """Samples the resource usage of processes of a rig."""

    def __init__(self, rig: Rig, names: Sequence[str]) -> None:
        """`names` are the names of the processes in the rig."""
        self._rig = rig
        self.samples: dict[str, list[tuple[int, ResourceUsage]]] = {name: [] for name in names}

    def sample(self) -> None:
        """Take one sample of each running process."""
        for name, samples in self.samples.items():
            process = self._rig.processes[name].process
            if process is not None:
                samples.append((time.monotonic_ns(), read_resource_usage(process.pid)))


def core_share(samples: Samples) -> float:
    """Return the share of a core that a process used from its first sample to its last."""
    (first_at, first), (last_at, last) = samples[0], samples[-1]
    return (last.cpu_time_ns - first.cpu_time_ns) / (last_at - first_at)


def memory_growth(samples: Samples) -> float:
    """Return the growth of memory in bytes a second, by a least-squares line."""
    times = np.array([at / SECOND for at, _ in samples])
    memory = np.array([float(usage.memory_bytes) for _, usage in samples])
    return float(round(np.polyfit(times - times[0], memory, 1)[0]))


def replica_metrics(leader: str, samples: Mapping[str, Samples], rates: ByteRates) -> dict[str, float]:
    """Return the metrics of the leader, and the means over the followers as `follower_*`."""
    followers = [name for name in samples if name != leader]
    return {
        "core_share": core_share(samples[leader]),
        "memory_bytes": float(samples[leader][-1][1].memory_bytes),
        "memory_growth_bytes": memory_growth(samples[leader]),
        "bytes_in": rates.into(leader),
        "bytes_out": rates.out_of(leader),
        "follower_core_share": float(np.mean([core_share(samples[name]) for name in followers])),
        "follower_memory_bytes": float(np.mean([samples[name][-1][1].memory_bytes for name in followers])),
        "follower_bytes_in": float(np.mean([rates.into(name) for name in followers])),
        "follower_bytes_out": float(np.mean([rates.out_of(name) for name in followers])),
    }
