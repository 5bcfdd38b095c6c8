"""What a scale run needs of the machine, by its experiment and how it is spread over processes."""

from os import sched_getaffinity
from pathlib import Path
from typing import NamedTuple

from ..experiment_files.durations import SECOND
from ..experiment_files.errors import ExperimentError
from ..experiment_files.experiment import Experiment
from ..experiment_files.tables import Idempotency
from ..processes.capacity_check import MEBIBYTE, CapacityError, ResourceDemand, free_memory
from .socket_resources import fake_resource_demands

PROCESS_MEMORY, DISPATCHER_MEMORY = 48 * MEBIBYTE, 10 * MEBIBYTE
CORES_PER_TASK = 0.0012  # running, with a progress report a second: dispatcher, worker and client
CORES_PER_START = 0.006  # a second
CORES_PER_DISPATCHER = 0.001
DESCRIPTORS_PER_DISPATCHER = 32
DESCRIPTORS_PER_TASK, DESCRIPTORS_PER_START = 3, 30
PROCESS_DESCRIPTORS = 64  # beside those for dispatchers
KIBIBYTE = 1024
SHARED_WORKERS = "worker processes: what all zones share can't be spread over several"


class ProcessCounts(NamedTuple):
    """How a run is spread over processes."""

    hosts: int  # of simulated dispatchers; 0: each dispatcher has a process of its own
    workers: int
    clients: int
    cores: float = 0.0  # that may be used; 0: all that this process may run on


class CoreDemand(NamedTuple):
    """The cores that a run needs at its peak, and the load that they are for."""

    cores: float
    tasks_running: float
    starts_a_second: float


def estimate_cores(experiment: Experiment) -> CoreDemand:
    """Estimate the cores of a run from its traffic and work."""
    starts = max(
        max(traffic.rate, traffic.end_rate or 0.0) * (1 + traffic.wave_amplitude)
        for traffic in experiment.traffic
    )
    classes = experiment.request_classes
    total_share = sum(each.share for each in classes)
    running = starts * sum(each.share / total_share * each.work.mean / SECOND for each in classes)
    reports_a_second = SECOND / experiment.worker_rules.progress_interval
    cores = running * reports_a_second * CORES_PER_TASK + starts * CORES_PER_START
    return CoreDemand(cores + experiment.dispatchers.count * CORES_PER_DISPATCHER, running, starts)


def check_cores(experiment: Experiment, available: float) -> None:
    """Raise CapacityError where there are too few cores; 0: all that this process may run on."""
    demand = estimate_cores(experiment)
    cores = available or len(sched_getaffinity(0))
    if demand.cores > cores:
        text = (
            f"{demand.cores:.1f} cores wanted ({demand.tasks_running:.0f} tasks running, "
            f"{demand.starts_a_second:.0f} starts a second, {experiment.dispatchers.count} dispatchers), "
            f"{cores:g} are there"
        )
        raise CapacityError(text)


def check_memory(demands: list[ResourceDemand], total: int) -> None:
    """Raise CapacityError where the demands are over half of the machine's memory (bytes)."""
    half = total // 2
    wanted = sum(demand.processes * demand.memory for demand in demands)
    if wanted > half:
        text = f"{wanted // MEBIBYTE} MiB wanted, {half // MEBIBYTE} are half of the machine's"
        raise CapacityError(text)


def check_workers_can_be_split(experiment: Experiment, processes: int) -> None:
    """Raise ExperimentError where several worker processes would have to share state."""
    shares_keys = any(
        each.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and each.retry_scope == "all"
        for each in experiment.request_classes
    )
    if processes > 1 and (experiment.store is not None or shares_keys):
        raise ExperimentError(SHARED_WORKERS)


def scaled_fake_demands(experiment: Experiment, counts: ProcessCounts) -> list[ResourceDemand]:
    """Return the demands of the fakes, with the descriptors divided among their processes."""
    processes = {"workers": counts.workers, "clients": counts.clients}
    demands = []
    for demand in fake_resource_demands(experiment):
        count = processes.get(demand.name, 1)
        descriptors = demand.descriptors // count + PROCESS_DESCRIPTORS
        demands.append(demand._replace(processes=count, descriptors=descriptors))
    return demands


def host_demand(experiment: Experiment, hosts: int) -> ResourceDemand:
    """Return the demand of the processes of simulated dispatchers."""
    count = experiment.dispatchers.count
    per_host = -(-count // hosts)
    cores = estimate_cores(experiment)
    load = cores.tasks_running * DESCRIPTORS_PER_TASK + cores.starts_a_second * DESCRIPTORS_PER_START
    descriptors = PROCESS_DESCRIPTORS + int(per_host * (DESCRIPTORS_PER_DISPATCHER + load / count))
    memory = PROCESS_MEMORY + per_host * DISPATCHER_MEMORY
    return ResourceDemand("processes of simulated dispatchers", hosts, memory, descriptors)


def total_memory() -> int:
    """Return the machine's memory in bytes."""
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemTotal:"):
            return int(line.split()[1]) * KIBIBYTE
    return free_memory()
