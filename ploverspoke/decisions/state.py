"""State that the decisions keep of workers, queues and requests, and the timers that belong to them."""

from collections import deque
from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple

from .interface import DispatchActions, Endpoint
from .settings import Idempotency, RequestClass, RetryScope

MILLISECOND = 1_000_000
SECOND = 1_000_000_000
RECENT_ENDS = 8  # of attempts at a worker
LOG_BURST_LINES = 40
LOG_INTERVAL_NS = 10 * SECOND  # for each further line
LONG_AGO_NS = -3600 * SECOND
RECENT_SLOWDOWNS = 8  # of requests at a worker
RECENT_RUNNING_TIMES = 16  # of a queue


@dataclass(frozen=True, slots=True)
class RetryGroup:
    """Workers among which a request must stay once it may have run."""

    scope: RetryScope | None  # None: no worker
    number: int = 0  # of the zone or rack


NO_WORKER = RetryGroup(None)
ALL_WORKERS = RetryGroup(RetryScope.ALL)


class ProbePurpose(Enum):
    """Why a probe was sent."""

    LOAD = auto()  # before an attempt
    HEALTH = auto()  # of a suspected worker
    READMISSION = auto()  # of an ejected worker
    CONFIRMATION = auto()  # of one that the endpoint list alone no longer covers


@dataclass(frozen=True, slots=True, eq=False)
class Placeholder:
    """Slots held at a worker for the next request of an idle queue."""

    queue: "RequestQueue"
    expires_at: int


class Worker:
    """What this dispatcher knows of one worker. Slots are counted, times are ns."""

    def __init__(self, endpoint: Endpoint, capacity: float) -> None:
        """Begin with what the endpoint list shows and an estimate of its capacity."""
        self.name = endpoint.worker
        self.endpoint = endpoint
        self.ready = False
        self.drained = False  # shown draining since it was last ready
        self.in_flight = 0.0  # slots of this dispatcher
        self.running = 0.0  # slots of this dispatcher known to have started
        self.peer_slots = 0.0  # reported by peers
        self.attempts: dict[int, Request] = {}  # in flight there, by request
        self.unstarted: dict[int, int] = {}  # those without a known start, and when they were sent
        self.latest_start_sent_at = 0  # when the latest attempt that has started was sent
        self.last_contact_at = 0  # latest report on any attempt
        # When the latest health check was sent that it answered well. Attempts do not count: draining workers
        # may take them.
        self.healthy_at = LONG_AGO_NS
        self.next_check_at = 0  # no health check is sent before, once the list has expired
        # Capacity estimate.
        self.capacity = capacity
        self.capacity_before_cut = capacity
        self.capacity_at = 0  # when the estimate last recovered
        self.recovery_time = 1.0 * SECOND  # in which it recovers by one slot
        self.placeholders: deque[Placeholder] = deque()
        self.slowdowns: deque[float] = deque(maxlen=RECENT_SLOWDOWNS)  # running times over the class's mean
        # Outlier ejection.
        self.ejected = False
        self.unreachable = False  # ejected by proof, not on suspicion
        self.probation_until = 0  # readmitted, with no start seen since
        self.errors: deque[bool] = deque(maxlen=RECENT_ENDS)  # whether the latest attempts ended in an error
        # Slow start.
        self.warm_at = 0
        self.slow_start_budget = 0.0  # slots times ns
        self.slow_start_budget_at = 0
        # Load probes.
        self.probe: ProbePurpose | None = None  # in flight
        self.reported_waiting = 0.0
        self.reported_free = 0.0
        self.reported_at = 0

    def reset_after_restart(self, warm_at: int, capacity: float) -> None:
        """Reset what is known of the worker's previous process: another one has started."""
        self.warm_at = warm_at
        self.capacity = self.capacity_before_cut = capacity
        self.ejected = False
        self.errors.clear()

    def begin_attempt(self, request: "Request", now: int) -> None:
        """Count a request that is sent there."""
        self.attempts[request.id] = request
        self.unstarted[request.id] = now
        self.in_flight += request.queue.slots

    def begin_running(self, request: "Request") -> None:
        """Count a request that has started there."""
        self.running += request.queue.slots
        self.latest_start_sent_at = max(self.latest_start_sent_at, request.sent_at)
        self.unstarted.pop(request.id, None)

    def end_attempt(self, request: "Request") -> None:
        """Stop counting a request."""
        request.worker = None
        self.in_flight -= request.queue.slots
        if request.started_at:
            self.running -= request.queue.slots
        self.unstarted.pop(request.id, None)

    def leave_placeholder(self, queue: "RequestQueue", now: int) -> None:
        """Hold the queue's slots there for one mean running time."""
        self.placeholders.append(Placeholder(queue, now + queue.mean_running_time()))

    def expire_placeholders(self, now: int) -> None:
        """Drop the placeholders whose time is over."""
        while self.placeholders and self.placeholders[0].expires_at <= now:
            self.placeholders.popleft()


class EarlierAttempts(NamedTuple):
    """Attempts that another dispatcher made for a request."""

    attempts: int
    may_have_run_on: str  # first worker that may have run it; "": none may
    sent_at: int


class RequestQueue:
    """First-in, first-out queue of the requests with one slot count and machine kind."""

    def __init__(self, slots: float, machine_kind: int) -> None:
        """Begin empty."""
        self.slots = slots
        self.machine_kind = machine_kind
        self.waiting: deque[Request] = deque()
        self.running_times: deque[int] = deque(maxlen=RECENT_RUNNING_TIMES)
        self.no_capacity_until = 0  # no worker had capacity for it a moment ago
        self.probed: list[Worker] = []  # for the head of the queue
        self.probed_until = 0

    def expected_work(self) -> float:
        """Slots times ns of a request, with a second where no running time is known."""
        return self.slots * (self.mean_running_time() or SECOND)

    def mean_running_time(self) -> int:
        """Mean of the latest running times in ns, 0 where there are none."""
        return sum(self.running_times) // len(self.running_times) if self.running_times else 0


class Request:
    """One request without a final answer. Its rules are those of its class on arrival."""

    def __init__(
        self, request_id: int, class_number: int, rules: RequestClass, queue: RequestQueue, arrived_at: int
    ) -> None:
        """Begin with the arrival; what is derived from settings is set by `AdmissionPolicy`."""
        self.id = request_id
        self.class_number = class_number
        self.rules = rules
        self.queue = queue
        self.arrived_at = arrived_at
        self.deadline = 0
        self.affinity_key = ""
        self.on_time_until = 0  # started later it is expected to miss its latency objective
        self.queueing_deadline = 0  # end of its queueing budget
        self.last_send_at = 0  # nothing is sent from here on
        self.retry_group: RetryGroup | None = None
        self.attempts = 0
        self.failed_on: Worker | None = None  # where its latest attempt failed
        self.probe_rounds = 0
        self.any_zone = False  # the probed workers had no free slot: other zones may be drawn too
        # The attempt in flight.
        self.worker: Worker | None = None
        self.sent_at = 0
        self.started_at = 0
        self.last_contact_at = 0
        self.check_at = 0
        self.cancelled = False
        self.started_too_late = False  # after a wait of more than its queueing budget
        self.slots_in_use = 0.0  # at its worker when it was sent, its own among them

    def begin_attempt(self, worker: Worker, now: int) -> None:
        """Record that it is sent to a worker."""
        self.attempts += 1
        self.worker = worker
        self.sent_at = now
        self.started_at = 0
        self.cancelled = self.started_too_late = False

    def group_after_attempt(self, worker: Worker) -> RetryGroup | None:
        """Where it must stay after an attempt there that may have run; None: it may go anywhere."""
        idempotency = self.rules.idempotency
        if self.retry_group is not None or idempotency is Idempotency.IDEMPOTENT:
            return self.retry_group
        return NO_WORKER if idempotency is Idempotency.NON_IDEMPOTENT else self.group_at(worker)

    def may_retry_at(self, worker: Worker) -> bool:
        """Whether its retry group, if it has one, lets it go there."""
        return self.retry_group is None or self.retry_group == self.group_at(worker)

    def group_at(self, worker: Worker) -> RetryGroup:
        """The workers that drop duplicates of this request together with this one."""
        scope, endpoint = self.rules.retry_scope, worker.endpoint
        if scope is RetryScope.ZONE:
            return RetryGroup(scope, endpoint.zone)
        return RetryGroup(scope, endpoint.rack) if scope is RetryScope.RACK else ALL_WORKERS


class PeriodicTimer(Enum):
    """Timers that belong to no request, worker or queue."""

    CLOCK_TICK = auto()
    GOSSIP = auto()
    GOSSIP_TO_ALL = auto()
    WATCH_ENDPOINTS = auto()


# A request's timer checks on it, wherever it is; a worker's ends its ejection; a queue's its wait for probes.
Timer = Request | Worker | RequestQueue | PeriodicTimer


class Timers:
    """Gives out timer tokens and remembers what each is for."""

    def __init__(self, actions: DispatchActions) -> None:
        """Begin with the first token."""
        self.actions = actions
        self.pending: dict[int, Timer] = {}
        self.next_token = 1

    def start(self, timer: Timer, when: int) -> int:
        """Have the timer fire at `when` or as soon as possible after it; returns its token."""
        token, self.next_token = self.next_token, self.next_token + 1
        self.pending[token] = timer
        self.actions.wake_at(token, when)
        return token

    def take(self, token: int) -> Timer | None:
        """The timer that has fired, once."""
        return self.pending.pop(token, None)


class LimitedLog:
    """Log for the person on call, limited since a flood would hide what matters."""

    def __init__(
        self, actions: DispatchActions, lines: int = LOG_BURST_LINES, interval: int = LOG_INTERVAL_NS
    ) -> None:
        """Write so many lines at once, and one more for each `interval` ns."""
        self.actions = actions
        self.lines = lines
        self.interval = interval
        self.lines_left = lines
        self.refilled_at = actions.now()

    def write(self, line: str) -> None:
        """Write the line unless the limit is reached."""
        refills = (self.actions.now() - self.refilled_at) // self.interval
        self.refilled_at += refills * self.interval
        self.lines_left = min(self.lines, self.lines_left + refills)
        if self.lines_left:
            self.lines_left -= 1
            self.actions.log(line)
