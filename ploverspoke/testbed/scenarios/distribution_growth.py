"""Samples memory, disk and traffic of a config distribution run, and computes their growth in a partition."""

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

SETTLING_TIME = 10 * SECOND  # ns after the start or the end of the partition of the regions
MIN_SAMPLES = 2


class GrowthSample(msgspec.Struct, rename={"bytes_passed": "octets"}):
    """One sample; memory is the resident bytes of all processes of one kind in a region."""

    at: int  # ns since the start of the run
    servers_a: int
    servers_b: int
    dispatchers_a: int
    dispatchers_b: int
    folders: int  # bytes on the servers' disks
    bytes_passed: int  # through the proxy since it was opened


async def sample_usage(fleet: DistributionFleet, samples: list[GrowthSample]) -> None:
    """Append a sample at each interval, until cancelled."""
    rig = fleet.rig
    while True:
        counters = await rig.link_faults.read_counters()
        folders = sum(_folder_bytes(rig.processes[server.name].folder) for server in fleet.servers)
        sample = GrowthSample(
            at=rig.timeline.now(),
            servers_a=_region_memory(fleet, fleet.servers, "a"),
            servers_b=_region_memory(fleet, fleet.servers, "b"),
            dispatchers_a=_region_memory(fleet, fleet.dispatchers, "a"),
            dispatchers_b=_region_memory(fleet, fleet.dispatchers, "b"),
            folders=folders,
            bytes_passed=counters.links.bytes_passed,
        )
        samples.append(sample)
        await asyncio.sleep(fleet.scenario.sample_interval / SECOND)


def _region_memory(fleet: DistributionFleet, addresses: list[ProcessAddress], region: str) -> int:
    return sum(
        _resident_bytes(fleet.rig.processes[address.name])
        for address in addresses
        if address.name.startswith(region)
    )


def _resident_bytes(process: RunningProcess) -> int:
    """Return the resident memory of a process; 0 if it does not run."""
    try:
        assert process.process is not None
        return read_resource_usage(process.process.pid).memory_bytes
    except OSError:
        return 0


def _folder_bytes(folder: Path) -> int:
    total = 0
    for path in folder.rglob("*"):
        try:
            total += path.stat().st_size
        except OSError:
            continue  # the file was replaced in the meantime
    return total


def growth_metrics(scenario: DistributionScenario, samples: Sequence[GrowthSample]) -> dict[str, int]:
    """Return the growth during the partition of the regions, and the traffic before, during and after it.

    The keys are those of `result.json`; without a partition there are none.
    """
    if not scenario.partition_duration or len(samples) < MIN_SAMPLES:
        return {}
    partition_start = scenario.partition_start
    partition_end = partition_start + scenario.partition_duration

    def sample_at(time: int) -> GrowthSample:
        """Return the sample nearest to that time."""
        return min(samples, key=lambda sample: abs(sample.at - time))

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
        start_sample, end_sample = sample_at(start), sample_at(start + SETTLING_TIME)
        elapsed = max(1, end_sample.at - start_sample.at)
        rate = (end_sample.bytes_passed - start_sample.bytes_passed) * SECOND / elapsed
        metrics[f"{name}_octets_a_second"] = round(rate)
    return metrics
