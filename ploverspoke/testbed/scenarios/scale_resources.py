"""The resources that a scale run needs, by its experiment and its number of processes."""

from os import sched_getaffinity
from pathlib import Path
from typing import NamedTuple

from ..experiment_files.durations import SECOND
from ..experiment_files.errors import ExperimentError
from ..experiment_files.experiment import Experiment
from ..experiment_files.tables import Idempotency
from ..processes.capacity_check import MEBIBYTE, CapacityError, ResourceDemand, free_memory
from .socket_resources import fake_resource_demands

PROCESS_MEMORY, DISPATCHER_MEMORY = 48 * MEBIBYTE, 10 * MEBIBYTE  # bytes
# For a running task with one progress report a second, in its dispatcher, worker and client together.
CORES_PER_TASK = 0.0012
CORES_PER_START = 0.006  # for one task start a second
CORES_PER_DISPATCHER = 0.001
DESCRIPTORS_PER_DISPATCHER = 32
DESCRIPTORS_PER_TASK, DESCRIPTORS_PER_START = 3, 30
PROCESS_DESCRIPTORS = 64  # of a process, in addition to those for dispatchers
KIBIBYTE = 1024
SHARED_WORKERS = "worker processes: state that all zones share cannot be split among several"


class ProcessCounts(NamedTuple):
    """The number of processes of each kind in a run, and the cores for them."""

    hosts: int  # processes of simulated dispatchers; 0: each dispatcher has a process of its own
    workers: int
    clients: int
    cores: float = 0.0  # cores that the run may use; 0: all that this process may run on


class CoreDemand(NamedTuple):
    """The cores that a run needs at its peak, and the load from which they follow."""

    cores: float
    tasks_running: float
    starts_a_second: float


def estimate_cores(experiment: Experiment) -> CoreDemand:
    """Estimate the cores that a run needs from its traffic and work."""
    starts = max(
        max(traffic.rate, traffic.end_rate or 0.0) * (1 + traffic.wave_amplitude)
        for traffic in experiment.traffic
    )
    classes = experiment.request_classes
    total_share = sum(request_class.share for request_class in classes)
    running = starts * sum(
        request_class.share / total_share * request_class.work.mean / SECOND for request_class in classes
    )
    reports_a_second = SECOND / experiment.worker_rules.progress_interval
    cores = running * reports_a_second * CORES_PER_TASK + starts * CORES_PER_START
    return CoreDemand(cores + experiment.dispatchers.count * CORES_PER_DISPATCHER, running, starts)


def check_cores(experiment: Experiment, available: float) -> None:
    """Raise CapacityError if there are too few cores; `available` 0 is all that this process may run on."""
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
    """Raise CapacityError if the demands exceed half of the machine's memory, `total` bytes."""
    half = total // 2
    wanted = sum(demand.processes * demand.memory for demand in demands)
    if wanted > half:
        text = f"{wanted // MEBIBYTE} MiB wanted, {half // MEBIBYTE} are half of the machine's"
        raise CapacityError(text)


def check_workers_can_be_split(experiment: Experiment, processes: int) -> None:
    """Raise ExperimentError if several worker processes would have to share state."""
    shares_keys = any(
        request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and request_class.retry_scope == "all"
        for request_class in experiment.request_classes
    )
    if processes > 1 and (experiment.store is not None or shares_keys):
        raise ExperimentError(SHARED_WORKERS)


def scaled_fake_demands(experiment: Experiment, counts: ProcessCounts) -> list[ResourceDemand]:
    """Return the demands of the fakes, with their descriptors divided among the processes of each kind."""
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
    load = estimate_cores(experiment)
    task_descriptors = (
        load.tasks_running * DESCRIPTORS_PER_TASK + load.starts_a_second * DESCRIPTORS_PER_START
    )
    per_dispatcher = DESCRIPTORS_PER_DISPATCHER + task_descriptors / count
    descriptors = PROCESS_DESCRIPTORS + int(per_host * per_dispatcher)
    memory = PROCESS_MEMORY + per_host * DISPATCHER_MEMORY
    return ResourceDemand("processes of simulated dispatchers", hosts, memory, descriptors)


def total_memory() -> int:
    """Return the machine's memory in bytes."""
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemTotal:"):
            return int(line.split()[1]) * KIBIBYTE
    return free_memory()
