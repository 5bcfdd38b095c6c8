"""Settings of a deployment as the decisions use them: typed, immutable, times in whole nanoseconds.

`ploverspoke/service/settings.py` builds them from the configuration and maps the operators' names to these.
"""

from dataclasses import dataclass
from enum import Enum

ANY_MACHINE_KIND = -1


class Idempotency(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    IDEMPOTENT_WITH_KEY = "idempotent with a key"  # a group of workers drops duplicates for a while
    NON_IDEMPOTENT = "non-idempotent"


class RetryScope(Enum):
    """Which workers drop duplicates of a request that is idempotent with a key."""

    ALL = "all"
    ZONE = "zone"
    RACK = "rack"


class LoadReporting(Enum):
    """How workers report their load."""

    NONE = "none"
    ANSWERS = "answers"
    PROBES = "probes"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Rules of one class of requests."""

    latency_objective: int  # ns; a request that is answered within it earns its whole weight
    deadline: int  # ns; the final answer is given by then
    priority_weight: float
    overdue_weight: float  # earned between the objective and the deadline
    idempotency: Idempotency
    retry_scope: RetryScope
    retry_window: int  # ns after an attempt in which workers recognize its duplicates
    machine_kind: int  # required kind, or ANY_MACHINE_KIND
    latency_stretch: float  # multiple of a request's own running time that is added to the objective
    max_attempts: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """Everything that the decisions take from a deployment's configuration."""

    classes: tuple[RequestClass, ...]  # by number; includes former classes of requests that are still open
    active_classes: tuple[int, ...]
    batch_interval: int  # ns, minimum time between batches of events
    dispatcher_count: int
    dispatcher_index: int
    zone: int
    discovery_polling: bool  # endpoints must be polled: changes are not pushed
    discovery_poll_interval: int  # ns
    drain_grace: int  # ns within which sending to a worker must stop after its drain becomes binding
    workers_report_start: bool
    progress_interval: int  # ns between progress reports; 0: none
    load_reporting: LoadReporting
    load_fields: tuple[str, ...]
    cancel_allowed: bool
    probing_allowed: bool
    gossip_allowed: bool
    send_retry_after: bool
    max_retry_after: int  # ns
    connect_timeout: int  # ns
    idle_timeout: int  # ns
    max_open_requests: int
    full_may_have_run: bool  # a worker that answers "full" may have started the request
    only_draining_is_binding: bool  # a worker that is listed as gone may still be up
    warmup_share: float  # load of a worker at its start, as a share of a warm worker's load
    warmup_period: int  # ns
    overload_multiple: float
    overload_window: int  # ns
    cross_zone_cost: float
    probe_cost: float
    waste_cost: float
    gossip_cost: float


@dataclass(frozen=True, slots=True)
class DeploymentNames:
    """Names that clients and discovery use, in the order in which the settings number them."""

    request_classes: tuple[str, ...]
    zones: tuple[str, ...]
    machine_kinds: tuple[str, ...]
