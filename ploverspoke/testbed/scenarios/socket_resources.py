"""The memory and descriptors that the fakes of a run on sockets need, and their number of processes."""

from ..experiment_files.experiment import Experiment
from ..processes.capacity_check import MEBIBYTE, ResourceDemand

FAKE_MEMORY = 256 * MEBIBYTE  # bytes for one process
DISPATCHER_IDLE_TIMEOUT = 21  # seconds for which dispatchers keep an idle connection to a worker
ATTEMPTS_PER_REQUEST = 1.5
MAX_CONNECTIONS_PER_PAIR = 4  # between one dispatcher and one worker
REQUESTS_PER_CLIENT_PROCESS = 1500  # a second
MAX_CLIENT_PROCESSES = 4
BASE_DESCRIPTORS = 64  # of any process
DESCRIPTORS_PER_WORKER = DESCRIPTORS_PER_WATCHER = 2
DESCRIPTORS_PER_DISPATCHER = 8  # in a client process


def count_client_processes(experiment: Experiment) -> int:
    """Return how many client processes the offered load needs."""
    return max(1, min(MAX_CLIENT_PROCESSES, int(_peak_rate(experiment) // REQUESTS_PER_CLIENT_PROCESS) + 1))


def _peak_rate(experiment: Experiment) -> float:
    """Return an upper bound on the requests a second."""
    return sum(
        max(traffic.rate, traffic.end_rate or 0.0) * (1 + traffic.wave_amplitude)
        for traffic in experiment.traffic
    )


def fake_resource_demands(experiment: Experiment) -> list[ResourceDemand]:
    """Return the memory of the fakes, and the descriptors of one process of each kind."""
    dispatchers, workers = experiment.dispatchers.count, sum(group.count for group in experiment.workers)
    # Each attempt may leave an idle connection behind, up to the limit between a dispatcher and a worker.
    attempts_within_timeout = int(_peak_rate(experiment) * ATTEMPTS_PER_REQUEST * DISPATCHER_IDLE_TIMEOUT)
    idle_connections = min(dispatchers * workers * MAX_CONNECTIONS_PER_PAIR, attempts_within_timeout)
    descriptors = {
        "workers": DESCRIPTORS_PER_WORKER * workers + idle_connections,
        "discovery": DESCRIPTORS_PER_WATCHER * dispatchers,
        "clients": DESCRIPTORS_PER_DISPATCHER * dispatchers,
    }
    processes = {"workers": 1, "discovery": 1, "clients": count_client_processes(experiment)}
    return [
        ResourceDemand(kind, processes[kind], FAKE_MEMORY, BASE_DESCRIPTORS + count)
        for kind, count in descriptors.items()
    ]
