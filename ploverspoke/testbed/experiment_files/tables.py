"""Tables of an experiment file: request classes, workers, dispatchers, clients, traffic, acceptance."""

from enum import Enum
from typing import Literal

import msgspec

from .distributions import Distribution, Exponential, Lognormal
from .durations import MICROSECOND, MILLISECOND, SECOND, Duration
from .experiment_table import ExperimentTable


class Idempotency(Enum):
    """Whether a request may run more than once; the values are those of experiment files."""

    IDEMPOTENT = "redoable"
    IDEMPOTENT_WITH_KEY = "labelled"
    NON_IDEMPOTENT = "irreversible"


class QueueOrder(Enum):
    """The order in which a worker starts waiting requests when slots are free."""

    FIFO = "in order"
    FIRST_FIT = "any that fits"


class RetryTiming(Enum):
    """When clients retry."""

    IMMEDIATE = "at once"
    BACKOFF = "after a wait"


class RequestClass(
    ExperimentTable,
    frozen=True,
    kw_only=True,
    rename={
        "machine_kind": "kind",
        "retry_scope": "group",
        "retry_window": "window",
        "slot_shares": "slots",
        "affinity_keys": "subjects",
        "idempotency": "repeat",
        "latency_objective": "expected_time",
        "deadline": "abandon_time",
        "weight": "benefit",
        "overdue_weight": "overdue_benefit",
    },
):
    """A request class (`[[grades]]`), with the work of its requests."""

    name: str
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    # the workers among which duplicates are dropped by idempotency key
    retry_scope: Literal["all", "zone", "rack"] = "all"
    retry_window: Duration = Duration(10 * SECOND)  # during which they recognize duplicates
    latency_objective: Duration = Duration(300 * MILLISECOND)
    deadline: Duration = Duration(3 * SECOND)
    weight: float = 1.0
    overdue_weight: float = 0.0  # earned between the objective and the deadline
    machine_kind: str = ""  # required; empty: any
    work: Distribution = Lognormal(mean=Duration(30 * MILLISECOND))  # time on one slot of a worker of speed 1
    share: float = 1.0  # of all requests, relative to the other classes
    # slot count -> relative share of requests; empty: one slot each
    slot_shares: dict[str, float] = msgspec.field(default_factory=dict)
    affinity_keys: int = 0  # number of keys, drawn with weights of 1/rank; 0: requests have none


class Tenant(ExperimentTable, frozen=True, kw_only=True):
    """A tenant (`[[customers]]`) and its share of the requests."""

    name: str
    share: float = 1.0


class WorkerGroup(
    ExperimentTable,
    frozen=True,
    kw_only=True,
    rename={"machine_kind": "kind", "queue_limit": "waiting"},
):
    """A group of identical workers (`[[workers]]`)."""

    count: int
    machine_kind: str = "plain"
    slots: int = 4
    speed: float = 1.0
    zone: str = "a"
    rack: int | None = None  # None: each worker has its own rack
    queue_limit: int = 50  # requests that may wait at one worker; further ones are returned unstarted


class WorkerOptions(
    ExperimentTable,
    frozen=True,
    kw_only=True,
    rename={
        "queue_order": "start",
        "reports_start": "tells_start",
        "progress_interval": "progress_every",
        "cached_keys": "subjects_kept",
        "warmup_share": "cold_share",
        "warmup_period": "warm_within",
        "overload_multiple": "tip_multiple",
        "overload_window": "fall_within",
        "overload_downtime": "down_after_fall",
    },
):
    """Behavior of all workers (`[worker_rules]`)."""

    queue_order: QueueOrder = QueueOrder.FIFO
    cancel_stops_work: bool = True
    reports_start: bool = True
    progress_interval: Duration = Duration(SECOND)
    report_age: Duration = Duration(0)  # added delay of load reports
    report_noise: float = 0.0  # standard deviation in load reports, as a share of the value
    cached_keys: int = 200  # affinity keys whose data one worker caches
    warmup_share: float = 0.3  # initial rate of a cold worker, as a share of a warm worker's rate
    warmup_period: Duration = Duration(8 * SECOND)
    overload_multiple: float = 3.0  # multiple of its rate; more arriving work crashes a cold worker
    overload_window: Duration = Duration(2 * SECOND)  # over which arriving work is summed
    overload_downtime: Duration = Duration(10 * SECOND)


class StoreOptions(
    ExperimentTable,
    frozen=True,
    kw_only=True,
    rename={"max_concurrent": "at_once", "fetch_time": "takes"},
):
    """The store (`[store]`) from which each worker fetches the data of an affinity key once."""

    max_concurrent: int = 50  # concurrent fetches; further ones wait
    fetch_time: Distribution = Exponential(mean=Duration(5 * MILLISECOND))


class DispatcherOptions(
    ExperimentTable,
    frozen=True,
    kw_only=True,
    rename={"gossip": "talk", "snapshot_interval": "snapshot_every", "max_sockets": "sockets"},
):
    """The dispatchers (`[dispatchers]`) and the resources of each."""

    count: int = 2
    store: bool = False  # dispatchers are the replicas of one request log (on sockets only)
    gossip: bool = False  # dispatchers exchange load gossip (on sockets only)
    snapshot_interval: int = 20_000  # log entries between snapshots of a replica
    memory_mb: int = 192
    max_sockets: int = 1024


class DiscoveryOptions(
    ExperimentTable,
    frozen=True,
    kw_only=True,
    rename={
        "max_notification_delay": "tells_within",
        "call_time": "call_takes",
        "failure_detection_time": "notices_death",
    },
):
    """Delays of discovery (`[discovery]`)."""

    max_notification_delay: Duration = Duration(200 * MILLISECOND)  # of each watch: uniform from 0
    call_time: Duration = Duration(MILLISECOND)  # calls are served one at a time
    failure_detection_time: Duration = Duration(3 * SECOND)


class NetworkOptions(
    ExperimentTable,
    frozen=True,
    kw_only=True,
    rename={
        "same_zone": "near",
        "other_zone": "far",
        "other_region": "farther",
        "client_to_dispatcher": "client",
        "connect_timeout": "connect_time_out",
    },
):
    """One-way latencies (`[network]`) and the connect timeout."""

    same_zone: Duration = Duration(200 * MICROSECOND)
    other_zone: Duration = Duration(2 * MILLISECOND)
    other_region: Duration = Duration(0)
    # zones of each region; discovery is in the first region
    regions: list[list[str]] = msgspec.field(default_factory=list)
    client_to_dispatcher: Duration = Duration(100 * MICROSECOND)
    connect_timeout: Duration = Duration(150 * MILLISECOND)


class DispatchRules(
    ExperimentTable,
    frozen=True,
    kw_only=True,
    rename={
        "max_attempts": "most_hand_offs",
        "cancel": "recall",
        "retry_after": "come_back_advice",
        "max_retry_after": "longest_come_back",
        "drain_grace": "stop_sending_within",
        "discovery_polling": "asks_first",
    },
):
    """What dispatchers may do and the limits that they must respect (`[rules]`)."""

    max_attempts: int = 6
    cancel: bool = True
    probing: bool = True
    retry_after: bool = True  # rejected clients are told when to retry
    max_retry_after: Duration = Duration(2 * SECOND)
    drain_grace: Duration = Duration(500 * MILLISECOND)  # until sending to a draining worker has stopped
    discovery_polling: bool = True  # endpoints must be polled; discovery does not push changes


class ClientOptions(
    ExperimentTable,
    frozen=True,
    kw_only=True,
    rename={
        "max_attempts": "tries",
        "retry_timing": "retry",
        "retry_backoff": "retry_wait",
        "honors_retry_after": "heeds_advice",
        "failover_timeout": "elsewhere_after",
        "early_disconnect_share": "leave_early",
    },
):
    """Retries, failover and early disconnects of clients (`[clients]`)."""

    max_attempts: int = 3
    retry_timing: RetryTiming = RetryTiming.BACKOFF
    retry_backoff: Distribution = Exponential(mean=Duration(200 * MILLISECOND))
    honors_retry_after: bool = True
    failover_timeout: Duration = Duration(0)  # until the client asks another dispatcher replica; 0: never
    early_disconnect_share: float = 0.0  # of requests, disconnected at a random time before the deadline


class TrafficPhase(
    ExperimentTable,
    frozen=True,
    kw_only=True,
    rename={"end_rate": "to_rate", "wave_amplitude": "wave", "wave_period": "period", "burst_size": "burst"},
):
    """Open-loop arrivals in one period of the run (`[[traffic]]`); rates of overlapping phases add up."""

    rate: float  # requests per second
    end_rate: float | None = None  # reached linearly at the end; None: the rate is constant
    start: Duration = Duration(0)
    end: Duration | None = None  # None: the end of the run
    wave_amplitude: float = 0.0  # of a sine around the rate, as a share of it
    wave_period: Duration = Duration(10 * SECOND)
    burst_size: int = 1  # requests that arrive at the same time


class AcceptanceCriteria(
    ExperimentTable,
    frozen=True,
    kw_only=True,
    rename={
        "rules_hold": "rules",
        "min_service": "service",
        "min_service_by_class": "service_of_grade",
        "min_margin_over": "over",
    },
):
    """Criteria that the experiment has to meet (`[must_hold]`); service is the mean over the seeds."""

    rules_hold: bool = True  # the audit finds no broken rule
    min_service: float = 0.0
    min_service_by_class: dict[str, float] = msgspec.field(default_factory=dict)
    # baseline policy -> minimum lead in service over it
    min_margin_over: dict[str, float] = msgspec.field(default_factory=dict)
