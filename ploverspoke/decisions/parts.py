"""Composition of a dispatcher: its parts, each handed what it uses."""

from .admission_policy import AdmissionPolicy
from .attempt_policy import AttemptPolicy, RetryPolicy
from .capacity import CapacityEstimates, SlowStart
from .context import Context
from .endpoint_polling import EndpointPolling
from .endpoint_updates import EndpointUpdates
from .gossip import GossipExchange
from .gossip_state import PeerReports
from .interface import DispatchActions
from .list_validity import HealthConfirmation, ListValidity
from .load_probes import LoadProbes
from .observations import LoadReports, Observations, StartLateness
from .outlier_ejection import OutlierEjection
from .queues import QueueService, SharedClock
from .settings import Settings
from .state import Request, RequestQueue, Worker
from .worker_choice import WorkerChoice


class Parts:
    """All parts of one dispatcher, and the state that they share."""

    def __init__(self, actions: DispatchActions, seed: int, settings: Settings) -> None:
        """Build the parts; the same seed gives the same decisions."""
        self.workers: dict[str, Worker] = {}
        self.queues: dict[tuple[float, int], RequestQueue] = {}
        self.open_requests: dict[int, Request] = {}
        self.context = context = Context(actions, seed, settings)
        self.observations = Observations(self.queues)
        self.reports = LoadReports()
        self.lateness = StartLateness(context, self.observations, self.open_requests)
        self.gossip = GossipExchange(context, self.lateness, PeerReports(self.workers))
        self.capacity = CapacityEstimates(context, self.workers, self.observations, self.gossip)
        self.slow_start = SlowStart(context, self.workers, self.observations)
        self.validity = ListValidity(context)
        self.confirmation = HealthConfirmation(context)
        self.polling = EndpointPolling(context, self.validity)
        self.choice = WorkerChoice(
            context,
            self.workers,
            self.observations,
            self.capacity,
            self.slow_start,
            self.gossip,
            self.validity,
            self.confirmation,
        )
        self.ejection = OutlierEjection(context, self.workers, self.choice)
        self.probes = LoadProbes(context, self.observations, self.reports, self.capacity, self.ejection)
        self.attempts = AttemptPolicy(
            context,
            self.open_requests,
            self.observations,
            self.capacity,
            self.gossip,
            self.slow_start,
            self.choice,
            self.ejection,
        )
        self.retries = RetryPolicy(context, self.workers, self.open_requests)
        self.admission = AdmissionPolicy(context, self.observations, self.queues, self.gossip, self.retries)
        self.clock = SharedClock(context, self.observations, self.workers, self.queues)
        self.service = QueueService(
            context, self.clock, self.choice, self.capacity, self.probes, self.attempts
        )
        self.endpoints = EndpointUpdates(context, self.workers, self.choice, self.slow_start, self.ejection)
