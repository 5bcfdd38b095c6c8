"""The context shared by all components of a dispatcher: its actions, timers, random numbers and settings."""

from .interface import DispatchActions, never_ran
from .random_numbers import RandomNumbers
from .settings import Idempotency, Settings
from .state import MILLISECOND, SECOND, LimitedLog, Timers

GOSSIP_BUDGET = 0.02  # points of service that gossip may cost
GOSSIP_MESSAGE_SHARE = 16 / 256  # of a full message's price: the price of gossip per request and receiver
PROBE_BUDGET = 0.006  # points of service that load probes may cost
MAX_PROBES_PER_REQUEST = 8.0  # on average, regardless of their price
MIN_PRICE = 1e-9  # points of service; prices may be configured as 0
MIN_MESSAGE_PRICE = 1e-6  # points of service
CANCEL_BUDGET = 0.02  # points of service that cancelled attempts may cost if workers run them anyway
MAX_SAVED_REQUESTS = 4  # credit for probes and for cancellations is saved up to that of this many requests
SILENT_HALF_INTERVALS = 3  # a worker is silent after this many half progress intervals without a report
MIN_TICKS_PER_OBJECTIVE = 4  # ticks of the shared clock within the shortest latency objective
DISCOVERY_CALL_NS = 125 * MILLISECOND  # service discovery's time for one call


def fleet_call_duration(settings: Settings) -> int:
    """Estimated time in ns that service discovery takes for one call from each dispatcher."""
    all_calls = settings.dispatcher_count * DISCOVERY_CALL_NS
    return int(min(all_calls, settings.discovery_poll_interval // 2))


class Context:
    """Shared by the components of one dispatcher."""

    def __init__(self, actions: DispatchActions, seed: int, settings: Settings) -> None:
        """Create the context with the initial settings; the same seed gives the same random numbers."""
        self.actions = actions
        self.random = RandomNumbers(seed)
        self.timers = Timers(actions)
        self.log = LimitedLog(actions)
        self.apply(settings)

    def apply(self, settings: Settings) -> None:
        """Apply new settings; only active classes count towards the derived limits."""
        self.settings = settings
        self.retry_after = settings.max_retry_after if settings.send_retry_after else 0
        active = [settings.classes[number] for number in settings.active_classes]
        self.highest_weight = max(rules.priority_weight for rules in active) or 1.0
        shortest_objective = max(MILLISECOND, min(rules.latency_objective for rules in active))
        self.min_tick_rate = MIN_TICKS_PER_OBJECTIVE * SECOND / shortest_objective
        self.required_machine_kinds = {rules.machine_kind for rules in active}
        self.any_idempotent = any(rules.idempotency is not Idempotency.NON_IDEMPOTENT for rules in active)
        self.never_ran = never_ran(settings.full_may_have_run)
        self.probed_classes = {Idempotency.NON_IDEMPOTENT}
        if settings.full_may_have_run:
            self.probed_classes.add(Idempotency.IDEMPOTENT_WITH_KEY)
        self.gossip_fanout = max(
            1, int(GOSSIP_BUDGET / max(MIN_MESSAGE_PRICE, GOSSIP_MESSAGE_SHARE * settings.gossip_cost))
        )
        self.probes_per_request = min(
            MAX_PROBES_PER_REQUEST, PROBE_BUDGET / max(MIN_PRICE, settings.probe_cost)
        )
        self.cancels_per_request = CANCEL_BUDGET / max(MIN_PRICE, settings.waste_cost)
        self.silence_limit = settings.progress_interval * SILENT_HALF_INTERVALS // 2
        self.fleet_call_duration = fleet_call_duration(settings)
