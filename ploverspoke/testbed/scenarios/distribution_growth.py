"""Samples memory, disk and traffic of a config distribution run, and their growth in a partition."""

import asyncio
from collections.abc import Sequence
from pathlib import Path

import msgspec

from ..experiment_files.durations import SECOND
from ..processes.addresses import ProcessAddress
from ..processes.resource_usage import read_resource_usage
from ..processes.running_process import RunningProcess
from .distribution_experiment import DistributionScenario
from .distribution_fleet import DistributionFleet

SETTLING_TIME = 10 * SECOND  # ns, after the regions lose or find each other
MIN_SAMPLES = 2


class GrowthSample(msgspec.Struct, rename={"bytes_passed": "octets"}):
    """One sample; memory is resident bytes of all processes of a kind in a region."""

    at: int  # ns of the run
    servers_a: int
    servers_b: int
    dispatchers_a: int
    dispatchers_b: int
    folders: int  # bytes on the servers' disks
    bytes_passed: int  # through the proxy so far


async def sample_usage(fleet: DistributionFleet, samples: list[GrowthSample]) -> None:
    """Add a sample in each interval, forever."""
    rig = fleet.rig
    while True:
        counters = await rig.link_faults.read_counters()
        folders = sum(_folder_bytes(rig.processes[server.name].folder) for server in fleet.servers)
        sample = GrowthSample(
            at=rig.timeline.now(),
            servers_a=_memory_of(fleet, fleet.servers, "a"),
            servers_b=_memory_of(fleet, fleet.servers, "b"),
            dispatchers_a=_memory_of(fleet, fleet.dispatchers, "a"),
            dispatchers_b=_memory_of(fleet, fleet.dispatchers, "b"),
            folders=folders,
            bytes_passed=counters.links.bytes_passed,
        )
        samples.append(sample)
        await asyncio.sleep(fleet.scenario.sample_interval / SECOND)


def _memory_of(fleet: DistributionFleet, addresses: list[ProcessAddress], region: str) -> int:
    return sum(
        _resident_bytes(fleet.rig.processes[address.name])
        for address in addresses
        if address.name.startswith(region)
    )


def _resident_bytes(process: RunningProcess) -> int:
    """Return the resident memory; 0 where the process does not run."""
    try:
        assert process.process is not None
        return read_resource_usage(process.process.pid).memory
    except OSError:
        return 0


def _folder_bytes(folder: Path) -> int:
    total = 0
    for path in folder.rglob("*"):
        try:
            total += path.stat().st_size
        except OSError:
            continue  # it was replaced meanwhile
    return total


def growth_metrics(scenario: DistributionScenario, samples: Sequence[GrowthSample]) -> dict[str, int]:
    """Return the growth while the regions are apart, and the traffic before, during and after.

    The keys are those of `result.json`; there are none where the regions are never apart.
    """
    if not scenario.partition_duration or len(samples) < MIN_SAMPLES:
        return {}
    partition_start = scenario.partition_start
    partition_end = partition_start + scenario.partition_duration

    def sample_at(when: int) -> GrowthSample:
        """Return the sample nearest to that time."""
        return min(samples, key=lambda sample: abs(sample.at - when))

    first, last = sample_at(partition_start + SETTLING_TIME), sample_at(partition_end - SETTLING_TIME // 2)
    metrics = {
        f"apart_{key}_grow_bytes": getattr(last, key) - getattr(first, key)
        for key in ("servers_a", "servers_b", "dispatchers_a", "dispatchers_b", "folders")
    }
    intervals = {
        "before": partition_start - SETTLING_TIME,
        "apart": partition_end - SETTLING_TIME,
        "healing": partition_end,
    }
    for name, start in intervals.items():
        begin, end = sample_at(start), sample_at(start + SETTLING_TIME)
        elapsed = max(1, end.at - begin.at)
        rate = (end.bytes_passed - begin.bytes_passed) * SECOND / elapsed
        metrics[f"{name}_octets_a_second"] = round(rate)
    return metrics
