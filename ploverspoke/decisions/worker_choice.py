"""Choice of a worker by tiers: random fit (RF, Psychas and Ghaderi), the better of two drawn at random."""

from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from math import ceil
from zlib import crc32

from .capacity import CapacityEstimates, SlowStart
from .context import Context
from .gossip import GossipExchange
from .list_validity import HealthConfirmation, ListValidity
from .observations import Observations
from .settings import ANY_MACHINE_KIND, Idempotency
from .state import MILLISECOND, Request, RequestQueue, Worker

SEARCH_INTERVAL_NS = 20 * MILLISECOND  # minimum time from a search without a result to the next one
MAX_CACHED_TIERS = 2000  # entries of the cache
PREFERRED_WORKER_LOAD = 0.75  # load by one key's requests, as a share of a mean worker's load
PREFERRED_ROUNDING = 0.3  # fraction of a preferred worker that is rounded down
EXTRA_PREFERRED_WORKERS = 2  # of a key, used if the preferred ones have no capacity
OTHER_ZONE_LATENESS_SHARE = 0.5  # another zone's lateness must be below this share of the own zone's

WorkerPredicate = Callable[[Worker, RequestQueue, int, Request | None], bool]
Tiers = list[list[Worker]]  # best first
TierKey = tuple[int, bool, str, int]  # machine kind, own zone first, affinity key, preferred worker count


@dataclass(eq=False)
class WorkerChoice:
    """Determines which workers a request may go to, and draws among them."""

    context: Context
    workers: Mapping[str, Worker]
    observations: Observations
    capacity: CapacityEstimates
    slow_start: SlowStart
    gossip: GossipExchange
    validity: ListValidity
    confirmation: HealthConfirmation
    cached_tiers: dict[TierKey, Tiers] = field(default_factory=dict)

    def clear_cached_tiers(self) -> None:
        """Clear the cache after the readiness, ejection, zone or machine kind of a worker has changed."""
        self.cached_tiers.clear()

    def draw_two(self, queue: RequestQueue, now: int, request: Request | None) -> list[Worker]:
        """Draw up to two workers at random from those with capacity in the first tier that has any."""
        is_restricted = request is not None and (
            request.retry_group is not None or request.affinity_key != ""
        )
        if now < queue.no_capacity_until and not is_restricted:
            return []
        drawn = self._draw(queue, now, request, self.has_capacity)
        if drawn:
            return drawn
        if not is_restricted:
            queue.no_capacity_until = now + SEARCH_INTERVAL_NS
        if self.context.settings.probing_allowed and not self.validity.is_valid(now):
            self.confirmation.request(self._draw(queue, now, request, self._needs_health_check), now)
        return []

    def _draw(
        self, queue: RequestQueue, now: int, request: Request | None, is_usable: WorkerPredicate
    ) -> list[Worker]:
        settings, random = self.context.settings, self.context.random
        for tier in self.tiers(queue.machine_kind, request):
            drawn: list[Worker] = []
            candidates = self._exclude_late_zones(tier, now) if settings.gossip_allowed else list(tier)
            # Drawing until two workers are usable gives the same pairs as testing all workers, at less cost.
            while candidates and len(drawn) < 2:
                worker = candidates.pop(random.below(len(candidates)))
                if is_usable(worker, queue, now, request):
                    drawn.append(worker)
            if drawn:
                return drawn
        return []

    def _exclude_late_zones(self, tier: list[Worker], now: int) -> list[Worker]:
        """Exclude other zones, whose queues are unknown, unless starts are far less late there."""
        own_zone = self.context.settings.zone
        limit = OTHER_ZONE_LATENESS_SHARE * self.gossip.zone_lateness(own_zone, now)
        zones = {worker.endpoint.zone for worker in tier}
        allowed = {zone for zone in zones if zone == own_zone or self.gossip.zone_lateness(zone, now) < limit}
        return [worker for worker in tier if worker.endpoint.zone in allowed]

    def preferred_count(self, affinity_key: str) -> int:
        """Number of preferred workers of a key: as many as its share of the arrivals needs."""
        if not affinity_key:
            return 0
        share = self.observations.affinity_keys.share(affinity_key)
        return max(1, ceil(share * len(self.workers) / PREFERRED_WORKER_LOAD - PREFERRED_ROUNDING))

    def tiers(self, machine_kind: int, request: Request | None) -> Tiers:
        """The workers that may be drawn, best first; the own zone first if crossing zones has a cost."""
        key = request.affinity_key if request is not None else ""
        # After the probed workers had no capacity, other zones are treated like the own zone.
        ignores_zones = bool(key) or (request is not None and request.any_zone)
        own_zone_first = bool(self.context.settings.cross_zone_cost) and not ignores_zones
        preferred = self.preferred_count(key)
        tier_key = (machine_kind, own_zone_first, key, preferred)
        tiers = self.cached_tiers.get(tier_key)
        if tiers is None:
            tiers = self._sorted_tiers(machine_kind, own_zone_first)
            if key:
                # Rendezvous hashing: all dispatchers prefer the same workers for a key, then the next few.
                end = preferred + EXTRA_PREFERRED_WORKERS
                ranked = [sorted(tier, key=lambda w: crc32((key + w.name).encode())) for tier in tiers]
                tiers = [subset for tier in ranked for subset in (tier[:preferred], tier[preferred:end])]
            if len(self.cached_tiers) > MAX_CACHED_TIERS:
                self.cached_tiers.clear()
            self.cached_tiers[tier_key] = tiers
        return tiers

    def _sorted_tiers(self, machine_kind: int, own_zone_first: bool) -> Tiers:
        tiers: dict[tuple[bool, bool], list[Worker]] = defaultdict(list)
        for worker in self.workers.values():
            kind = worker.endpoint.machine_kind
            if worker.ready and not worker.ejected and machine_kind in (ANY_MACHINE_KIND, kind):
                # Machine kinds that some class requires are reserved for it while other kinds have capacity.
                is_needed = machine_kind == ANY_MACHINE_KIND and kind in self.context.required_machine_kinds
                is_remote = own_zone_first and worker.endpoint.zone != self.context.settings.zone
                tiers[is_needed, is_remote].append(worker)
        return [tiers[rank] for rank in sorted(tiers)]

    def choose_better(self, drawn: list[Worker], request: Request | None) -> Worker:
        """Fewest slots in flight, then lowest slowdown; one where the request failed is the last choice."""
        failed_on, peer_slots = None if request is None else request.failed_on, self.gossip.peer_slots
        slowdown = self.observations.slowdown
        return min(drawn, key=lambda w: (w is failed_on, w.in_flight + peer_slots(w), slowdown(w)))

    def has_capacity(self, worker: Worker, queue: RequestQueue, now: int, request: Request | None) -> bool:
        """Whether a request may go to the worker and is expected to start there at once."""
        return self.validity.covers(worker, now) and self._has_capacity_if_confirmed(
            worker, queue, now, request
        )

    def _has_capacity_if_confirmed(
        self, worker: Worker, queue: RequestQueue, now: int, request: Request | None
    ) -> bool:
        return (
            (request is None or request.may_retry_at(worker))
            and worker.probe is None
            and self.capacity.free_slots(worker, now) >= queue.slots
            and not self.capacity.has_pending_start(worker, now)
            and self._allows_if_confirmed(worker, queue, now, request)
        )

    def _needs_health_check(
        self, worker: Worker, queue: RequestQueue, now: int, request: Request | None
    ) -> bool:
        return self.confirmation.is_due(worker, now) and self._has_capacity_if_confirmed(
            worker, queue, now, request
        )

    def allows(self, worker: Worker, queue: RequestQueue, now: int, request: Request | None) -> bool:
        """Whether the rules and the requirements of a request allow the worker, whatever its capacity."""
        return self.validity.covers(worker, now) and self._allows_if_confirmed(worker, queue, now, request)

    def _allows_if_confirmed(
        self, worker: Worker, queue: RequestQueue, now: int, request: Request | None
    ) -> bool:
        if not worker.ready or queue.machine_kind not in (ANY_MACHINE_KIND, worker.endpoint.machine_kind):
            return False
        is_non_idempotent = request is not None and request.rules.idempotency is Idempotency.NON_IDEMPOTENT
        if worker.probation_until > now and is_non_idempotent and self.context.any_idempotent:
            # The request would be lost if the worker fails: other requests test a readmitted worker first.
            return False
        if worker.warm_at > now and not self.slow_start.allows(worker, queue, now):
            return False
        if request is None or request.retry_group is None:
            return True
        return now < request.last_send_at and request.may_retry_at(worker)

    def worker_with_placeholder(self, queue: RequestQueue, now: int) -> list[Worker]:
        """Use up a placeholder for this queue; returns its worker in a list, which is empty without one."""
        for worker in self.workers.values():
            if worker.placeholders and worker.ready and not worker.ejected:
                worker.expire_placeholders(now)
                for placeholder in worker.placeholders:
                    if placeholder.queue is queue and self.allows(worker, queue, now, None):
                        worker.placeholders.remove(placeholder)
                        return [worker]
        return []
