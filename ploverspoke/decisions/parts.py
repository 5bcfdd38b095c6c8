"""Composition of a dispatcher: its parts, each handed what it uses."""

from dataclasses import dataclass

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


@dataclass(frozen=True, slots=True)
class Parts:
    """All parts of one dispatcher."""

    workers: dict[str, Worker]
    queues: dict[tuple[float, int], RequestQueue]
    open_requests: dict[int, Request]
    context: Context
    observations: Observations
    lateness: StartLateness
    reports: LoadReports
    gossip: GossipExchange
    capacity: CapacityEstimates
    slow_start: SlowStart
    choice: WorkerChoice
    ejection: OutlierEjection
    probes: LoadProbes
    attempts: AttemptPolicy
    retries: RetryPolicy
    admission: AdmissionPolicy
    clock: SharedClock
    service: QueueService
    endpoints: EndpointUpdates
    validity: ListValidity
    confirmation: HealthConfirmation
    polling: EndpointPolling


def build_parts(actions: DispatchActions, seed: int, settings: Settings) -> Parts:
    """Build the parts of one dispatcher; the same seed gives the same decisions."""
    workers: dict[str, Worker] = {}
    queues: dict[tuple[float, int], RequestQueue] = {}
    requests: dict[int, Request] = {}
    context = Context(actions, seed, settings)
    seen, reports = Observations(queues), LoadReports()
    lateness = StartLateness(context, seen, requests)
    gossip = GossipExchange(context, lateness, PeerReports(workers))
    capacity = CapacityEstimates(context, workers, seen, gossip)
    slow_start = SlowStart(context, workers, seen)
    validity, confirmation = ListValidity(context), HealthConfirmation(context)
    choice = WorkerChoice(context, workers, seen, capacity, slow_start, gossip, validity, confirmation)
    ejection = OutlierEjection(context, workers, choice)
    probes = LoadProbes(context, seen, reports, capacity, ejection)
    attempts = AttemptPolicy(context, requests, seen, capacity, gossip, slow_start, choice, ejection)
    retries = RetryPolicy(context, workers, requests)
    clock = SharedClock(context, seen, workers, queues)
    return Parts(
        workers=workers,
        queues=queues,
        open_requests=requests,
        context=context,
        observations=seen,
        lateness=lateness,
        reports=reports,
        gossip=gossip,
        capacity=capacity,
        slow_start=slow_start,
        choice=choice,
        ejection=ejection,
        probes=probes,
        attempts=attempts,
        retries=retries,
        admission=AdmissionPolicy(context, seen, queues, gossip, retries),
        clock=clock,
        service=QueueService(context, clock, choice, capacity, probes, attempts),
        endpoints=EndpointUpdates(context, workers, choice, slow_start, ejection),
        validity=validity,
        confirmation=confirmation,
        polling=EndpointPolling(context, validity),
    )
