"""A run of dispatchers and models on virtual time. The same seed gives byte-identical events."""

from collections.abc import Callable

from ..experiment_files.durations import SECOND
from ..experiment_files.errors import ExperimentError
from ..experiment_files.experiment import Experiment
from .clients import ClientRequest, Clients
from .connection_faults import ConnectionFaults
from .discovery import DiscoveryModel, EndpointEntry, EndpointUpdate
from .discovery_faults import DiscoveryFaults
from .event_records import EndpointStatus, Event, EventLog
from .request_schedule import draw_schedule
from .run_context import RunContext
from .virtual_clock import VirtualClock
from .virtual_dispatcher import VirtualDispatcher
from .virtual_dispatchers import VirtualDispatchers, schedule_settings_changes
from .virtual_environment import VirtualEnvironment, settings_by_zone
from .virtual_network import VirtualNetwork
from .worker import Worker
from .worker_faults import WorkerFaults, schedule_store_faults
from .worker_fleet import WorkerFleet

FINAL_GRACE = 2 * SECOND  # after the last deadline
SOCKETS_ONLY = "supported on sockets only"
STORE_ON_SOCKETS_ONLY = "a store is supported on sockets only"


class VirtualRun:
    """One run of one experiment under one policy and one seed."""

    def __init__(self, experiment: Experiment, seed: int, policy: str) -> None:
        """Build all models and schedule all faults.

        Raises:
            ExperimentError: The experiment needs sockets.
        """
        _check_needs_no_sockets(experiment)
        self.experiment = experiment
        self.clock = VirtualClock()
        self.event_log = EventLog()
        context = RunContext(experiment, seed, self.clock, self.event_log)
        self.network = VirtualNetwork(experiment, self.clock)
        self.environment = self._create_environment(context)
        # Calls for the same time run in the order of scheduling, so the order of the steps below matters.
        self.dispatchers = VirtualDispatchers(self.environment, policy)
        schedule_settings_changes(self.environment, self.dispatchers)
        self._schedule_faults(context)
        self.dispatchers.start()
        self.dispatchers.schedule_outages()
        self.clients = Clients(context, draw_schedule(experiment, seed), self)
        self.clients.start()

    def run(self, on_second: Callable[[int], None] | None = None) -> list[Event]:
        """Run until all requests must be answered; `on_second` gets the time after each virtual second."""
        max_deadline = max(request_class.deadline for request_class in self.experiment.request_classes)
        end = self.experiment.duration + max_deadline + FINAL_GRACE
        for second in range(SECOND, end + SECOND, SECOND):
            self.clock.run(min(second, end))
            if on_second is not None:
                on_second(self.clock.time)
        return self.event_log.events

    def _create_environment(self, context: RunContext) -> VirtualEnvironment:
        fleet = WorkerFleet(context)
        draws = context.streams().draws("discovery")
        discovery = DiscoveryModel(self.experiment.discovery, self.clock, self.event_log, draws)
        for name, worker in fleet.workers.items():
            rack = fleet.rack_of[name]
            discovery.add(EndpointEntry(name, worker.zone, worker.kind, rack, EndpointStatus.READY, 0))
        zone_count = len(self.experiment.zones())
        partitions = self.network.partitions
        discovery.is_unreachable = lambda number: not partitions.reaches_discovery(number % zone_count)
        return VirtualEnvironment(
            context=context,
            clock=self.clock,
            fleet=fleet,
            network=self.network,
            connection_faults=ConnectionFaults(),
            discovery=discovery,
            initial_endpoints=EndpointUpdate(discovery.version, True, list(discovery.entries.values())),
            settings=settings_by_zone(self.experiment, self.clock.time),
            answer_client=self._answer_client,
        )

    def _schedule_faults(self, context: RunContext) -> None:
        environment = self.environment
        workers = list(environment.fleet.workers.values())
        WorkerFaults(context, workers, environment.connection_faults, self)
        self.discovery_faults = DiscoveryFaults(context, environment.discovery)
        schedule_store_faults(context, environment.fleet.store)

    # ---- Workers ----

    def worker_died(self, worker: Worker) -> None:
        """The idle connections to it are lost."""
        self.dispatchers.worker_died(worker.name)

    def worker_started(self, worker: Worker) -> None:
        """Nothing to do: discovery has its own schedule."""

    def worker_overloaded(self, worker: Worker) -> None:
        """Let discovery detect the crash."""
        self.discovery_faults.worker_overloaded(worker.name)

    def worker_recovered(self, worker: Worker) -> None:
        """Let discovery list the worker as ready again."""
        self.discovery_faults.worker_recovered(worker.name)

    # ---- Connections of clients ----

    def send(self, request: ClientRequest) -> None:
        """Send a client's request to its dispatcher."""
        dispatcher = self.dispatchers.current[request.dispatcher]
        latency = self.network.client_latency
        if not dispatcher.is_alive or dispatcher.is_terminating:
            self.clock.call_at(self.clock.time + 2 * latency, self.clients.connect_failed, request)
        else:
            self.clock.call_at(self.clock.time + latency, self._arrive, request, dispatcher)

    def close(self, request: ClientRequest) -> None:
        """Close the connection of a client's request."""
        for process in self.dispatchers.processes():
            if process.is_alive and process.number == request.dispatcher:
                closed_at = self.clock.time + self.network.client_latency
                self.clock.call_at(closed_at, self._disconnect, request, process)

    def _arrive(self, request: ClientRequest, dispatcher: VirtualDispatcher) -> None:
        if request.is_over:
            return
        if not dispatcher.is_alive:
            self.clients.connect_failed(request)
            return
        self.clients.accepted(request)
        dispatcher.receive_request(request)

    def _disconnect(self, request: ClientRequest, dispatcher: VirtualDispatcher) -> None:
        if dispatcher.is_alive:
            dispatcher.client_disconnected(request)

    def _answer_client(self, request: ClientRequest, outcome: str, retry_after: int) -> None:
        arrives_at = self.clock.time + self.network.client_latency
        self.clock.call_at(arrives_at, self._receive_answer, request, outcome, retry_after)

    def _receive_answer(self, request: ClientRequest, outcome: str, retry_after: int) -> None:
        self.clients.answered(request, outcome, retry_after)


def _check_needs_no_sockets(experiment: Experiment) -> None:
    if experiment.timeline:
        raise ExperimentError(SOCKETS_ONLY, "timeline")
    if experiment.dispatchers.gossip:
        raise ExperimentError(SOCKETS_ONLY, "dispatchers.talk")
    if experiment.dispatchers.store:
        raise ExperimentError(STORE_ON_SOCKETS_ONLY, "dispatchers.store")


def run_virtual_time(
    experiment: Experiment, seed: int, policy: str, on_second: Callable[[int], None] | None = None
) -> list[Event]:
    """Run once on virtual time and return the events."""
    return VirtualRun(experiment, seed, policy).run(on_second)
