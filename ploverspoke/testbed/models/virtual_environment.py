"""The environment that all dispatchers of a virtual run share."""

from collections.abc import Callable
from dataclasses import dataclass

from ploverspoke.decisions.settings import Settings
from ploverspoke.service.settings import parse_settings

from ..experiment_files.experiment import Experiment
from .clients import ClientRequest
from .connection_faults import ConnectionFaults
from .deployment_settings import dispatcher_settings
from .discovery import DiscoveryModel, EndpointUpdate
from .run_context import RunContext
from .virtual_clock import VirtualClock
from .virtual_network import VirtualNetwork
from .worker import Worker
from .worker_fleet import WorkerFleet

UNREACHABLE_LOAD = 1e9  # reported to the baseline that sees true loads, for a worker that cannot be reached


@dataclass(slots=True)
class VirtualEnvironment:
    """The models that the dispatchers call, and their current settings."""

    context: RunContext
    clock: VirtualClock
    fleet: WorkerFleet
    network: VirtualNetwork
    connection_faults: ConnectionFaults
    discovery: DiscoveryModel
    initial_endpoints: EndpointUpdate
    settings: list[Settings]  # by zone
    answer_client: Callable[[ClientRequest, str, int], None]  # request, outcome, ns after which to retry

    @property
    def experiment(self) -> Experiment:
        """The experiment of this run."""
        return self.context.experiment

    def worker(self, name: str) -> Worker:
        """Return a worker by its name."""
        return self.fleet.workers[name]

    def true_load(self, zone: int, worker_name: str) -> float:
        """Return a worker's load relative to its speed; UNREACHABLE_LOAD if the zone cannot reach it."""
        worker = self.fleet.workers[worker_name]
        is_reachable = (
            worker.is_up and not worker.is_hung and not self.network.is_partitioned(zone, worker.zone)
        )
        return worker.load() / worker.speed if is_reachable else UNREACHABLE_LOAD


def settings_by_zone(experiment: Experiment, at: int) -> list[Settings]:
    """Return the settings that the dispatchers of each zone have at that time."""
    count = min(len(experiment.zones()), experiment.dispatchers.count)
    return [parse_settings(dispatcher_settings(experiment, number, at)) for number in range(count)]
