"""Composition of a dispatcher: creates its components and connects them."""

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
from .queue_table import QueueTable
from .queues import QueueService, SharedClock
from .send_policy import SendPolicy
from .settings import Settings
from .state import Request, RequestQueue, Worker
from .worker_choice import WorkerChoice


class DispatcherComponents:
    """All components of one dispatcher, and the state that they share."""

    def __init__(self, actions: DispatchActions, seed: int, settings: Settings) -> None:
        """Build the components; the same seed gives the same decisions."""
        self.workers: dict[str, Worker] = {}
        self.queues: dict[tuple[float, int], RequestQueue] = {}
        self.open_requests: dict[int, Request] = {}
        workers, queues, requests = self.workers, self.queues, self.open_requests
        self.queue_table = QueueTable(queues, requests, workers)
        self.context = context = Context(actions, seed, settings)
        self.observations = observations = Observations(queues)
        self.reports = LoadReports()
        self.lateness = StartLateness(context, observations, requests)
        self.gossip = gossip = GossipExchange(context, self.lateness, PeerReports(workers))
        self.capacity = capacity = CapacityEstimates(context, workers, observations, gossip)
        self.slow_start = slow_start = SlowStart(context, workers, observations)
        self.validity = validity = ListValidity(context)
        self.confirmation = confirmation = HealthConfirmation(context)
        self.polling = EndpointPolling(context, validity)
        self.choice = choice = WorkerChoice(
            context, workers, observations, capacity, slow_start, gossip, validity, confirmation
        )
        self.ejection = ejection = OutlierEjection(context, workers, choice)
        self.probes = LoadProbes(context, observations, self.reports, capacity, ejection)
        self.attempts = AttemptPolicy(
            context, requests, observations, capacity, gossip, slow_start, choice, ejection
        )
        self.sending = SendPolicy(context, workers, requests, validity)
        self.retries = RetryPolicy(context, workers, requests)
        self.admission = AdmissionPolicy(context, observations, queues, gossip, self.retries)
        self.clock = SharedClock(context, observations, workers, queues)
        self.service = QueueService(context, self.clock, choice, capacity, self.probes, self.attempts)
        self.endpoints = EndpointUpdates(context, workers, choice, slow_start, ejection)
