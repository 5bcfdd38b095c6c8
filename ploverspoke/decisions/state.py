"""State that the decisions keep of workers, queues and requests, and the timers that belong to them."""

from collections import deque
from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple

from .interface import DispatchActions, Endpoint
from .settings import Idempotency, RequestClass, RetryScope

MILLISECOND = 1_000_000
SECOND = 1_000_000_000
RECENT_ENDS = 8  # ended attempts at a worker among which errors are counted
LOG_BURST_LINES = 40
LOG_INTERVAL_NS = 10 * SECOND  # per further line after the burst
LONG_AGO_NS = -3600 * SECOND
MAX_UNSENT_ATTEMPTS = 16  # of one request that do not count, so that their number has a limit
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
    CONFIRMATION = auto()  # of a worker that the expired endpoint list no longer covers


@dataclass(frozen=True, slots=True, eq=False)
class Placeholder:
    """Slots reserved at a worker for the next request of an empty queue."""

    queue: "RequestQueue"
    expires_at: int


class Worker:
    """The state of one worker as known to this dispatcher; times are in ns."""

    def __init__(self, endpoint: Endpoint, capacity: float) -> None:
        """Create the state from the worker's entry in the endpoint list and a capacity estimate."""
        self.name = endpoint.worker
        self.endpoint = endpoint
        self.ready = False
        self.drained = False  # listed as draining since it was last ready
        self.in_flight = 0.0  # slots of this dispatcher
        self.running = 0.0  # slots of this dispatcher known to have started
        self.peer_slots = 0.0  # reported by peers
        self.attempts: dict[int, Request] = {}  # requests in flight there, by id
        self.unstarted: dict[int, int] = {}  # send times of the requests without a known start, by id
        self.latest_start_sent_at = 0  # when the latest attempt that has started was sent
        self.last_contact_at = 0  # latest report on any attempt, or probe answer without a load report
        # Send time of the latest successful health check. Attempts do not count, as draining workers may
        # accept them.
        self.healthy_at = LONG_AGO_NS
        self.next_check_at = 0  # earliest time of the next health check after the list has expired
        # Capacity estimate.
        self.capacity = capacity
        self.capacity_before_cut = capacity
        self.capacity_at = 0  # when the estimate was last cut or updated by recovery
        self.recovery_time = 1.0 * SECOND  # time in which the estimate recovers by one slot
        self.placeholders: deque[Placeholder] = deque()
        self.slowdowns: deque[float] = deque(maxlen=RECENT_SLOWDOWNS)  # running times over the class's mean
        # Outlier ejection.
        self.ejected = False
        self.unreachable = False  # ejected on proof, not on suspicion
        self.probation_until = 0  # end of the probation after a readmission; 0 after the first start
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
        """Reset the state of the worker's previous process after another process has started."""
        self.warm_at = warm_at
        self.capacity = self.capacity_before_cut = capacity
        self.ejected = False
        self.errors.clear()

    def begin_attempt(self, request: "Request", now: int) -> None:
        """Count a request that is sent to this worker."""
        self.attempts[request.id] = request
        self.unstarted[request.id] = now
        self.in_flight += request.queue.slots

    def record_start(self, request: "Request") -> None:
        """Count a request that has started at this worker."""
        self.running += request.queue.slots
        self.latest_start_sent_at = max(self.latest_start_sent_at, request.sent_at)
        self.unstarted.pop(request.id, None)

    def end_attempt(self, request: "Request") -> None:
        """Stop counting a request whose attempt has ended."""
        request.worker = None
        self.in_flight -= request.queue.slots
        if request.started_at:
            self.running -= request.queue.slots
        self.unstarted.pop(request.id, None)

    def add_placeholder(self, queue: "RequestQueue", now: int) -> None:
        """Reserve the queue's slots at this worker for one mean running time."""
        self.placeholders.append(Placeholder(queue, now + queue.mean_running_time()))

    def expire_placeholders(self, now: int) -> None:
        """Drop the placeholders that have expired."""
        while self.placeholders and self.placeholders[0].expires_at <= now:
            self.placeholders.popleft()


class EarlierAttempts(NamedTuple):
    """Attempts that another dispatcher made for a request."""

    attempts: int
    may_have_run_on: str  # first worker that may have run it, "" if there is none
    sent_at: int


class RequestQueue:
    """First-in, first-out queue of the requests with one slot count and machine kind."""

    def __init__(self, slots: float, machine_kind: int) -> None:
        """Create an empty queue."""
        self.slots = slots
        self.machine_kind = machine_kind
        self.waiting: deque[Request] = deque()
        self.running_times: deque[int] = deque(maxlen=RECENT_RUNNING_TIMES)
        self.no_capacity_until = 0  # earliest time of the next search after one that found no capacity
        self.probed: list[Worker] = []  # workers probed for the head of the queue
        self.probed_until = 0

    def expected_work(self) -> float:
        """Expected work of a request in slots times ns; assumes one second if no running time is known."""
        return self.slots * (self.mean_running_time() or SECOND)

    def mean_running_time(self) -> int:
        """Mean of the latest running times in ns, 0 if there are none."""
        return sum(self.running_times) // len(self.running_times) if self.running_times else 0


class Request:
    """One request without a final answer. Its rules are those of its class on arrival."""

    def __init__(
        self, request_id: int, class_number: int, rules: RequestClass, queue: RequestQueue, arrived_at: int
    ) -> None:
        """Create a request at its arrival; `AdmissionPolicy` sets the values that depend on settings."""
        self.id = request_id
        self.class_number = class_number
        self.rules = rules
        self.queue = queue
        self.arrived_at = arrived_at
        self.deadline = 0
        self.affinity_key = ""
        self.on_time_until = 0  # after a later start the request is expected to miss its latency objective
        self.queueing_deadline = 0  # end of its queueing budget
        self.last_send_at = 0  # from this time on no attempt is sent
        self.retry_group: RetryGroup | None = None
        self.attempts = 0
        self.unsent_attempts = 0  # of them, those that were not written although they were not cancelled
        self.failed_on: Worker | None = None  # where its latest attempt failed
        self.probe_rounds = 0
        self.any_zone = False  # workers of other zones may be drawn, as the probed ones had no free slot
        # The attempt in flight.
        self.worker: Worker | None = None
        self.sent_at = 0
        self.started_at = 0
        self.last_contact_at = 0
        self.check_at = 0
        self.cancelled = False
        self.started_too_late = False  # after a wait of more than its queueing budget
        self.slots_in_use = 0.0  # at its worker when it was sent, including its own
        self.sent_group: RetryGroup | None = None  # of its worker at the decision; None: any, or not sent yet
        self.worker_warm_at = 0  # `warm_at` of its worker at the decision

    def begin_attempt(self, worker: Worker, now: int) -> None:
        """Record that the request is sent to a worker."""
        self.attempts += 1
        self.worker = worker
        self.sent_at = now
        self.started_at = 0
        self.cancelled = self.started_too_late = False
        self.worker_warm_at = worker.warm_at
        if self.rules.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
            self.sent_group = self.group_at(worker)

    def has_attempts_left(self) -> bool:
        """Whether the limit on attempts allows one more; attempts that were not written do not count."""
        not_counted = min(self.unsent_attempts, MAX_UNSENT_ATTEMPTS)
        return self.attempts - not_counted < self.rules.max_attempts

    def has_left_group(self, worker: Worker) -> bool:
        """Whether the worker has moved to another retry group since the attempt was decided on."""
        return self.sent_group is not None and self.sent_group != self.group_at(worker)

    def group_after_attempt(self, worker: Worker) -> RetryGroup | None:
        """The retry group after an attempt at the worker that may have run; None if any worker is allowed."""
        idempotency = self.rules.idempotency
        if self.retry_group is not None or idempotency is Idempotency.IDEMPOTENT:
            return self.retry_group
        if idempotency is Idempotency.NON_IDEMPOTENT or self.has_left_group(worker):
            return NO_WORKER  # which workers drop duplicates of a moved worker is not known
        return self.group_at(worker)

    def may_retry_at(self, worker: Worker) -> bool:
        """Whether the request's retry group, if any, includes the worker."""
        return self.retry_group is None or self.retry_group == self.group_at(worker)

    def group_at(self, worker: Worker) -> RetryGroup:
        """The retry group of the worker: the workers that drop each other's duplicates of this request."""
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


# A request's timer checks the waiting or sent request, a worker's timer ends the worker's ejection, and a
# queue's timer ends the wait for probe answers.
Timer = Request | Worker | RequestQueue | PeriodicTimer


class Timers:
    """Assigns tokens to timers and stores the timer of each token."""

    def __init__(self, actions: DispatchActions) -> None:
        """Create an empty set of timers."""
        self.actions = actions
        self.pending: dict[int, Timer] = {}
        self.next_token = 1

    def start(self, timer: Timer, when: int) -> int:
        """Start a timer that fires at `when` or as soon as possible after it; returns its token."""
        token, self.next_token = self.next_token, self.next_token + 1
        self.pending[token] = timer
        self.actions.wake_at(token, when)
        return token

    def pop(self, token: int) -> Timer | None:
        """Remove and return the timer that has fired."""
        return self.pending.pop(token, None)


class LimitedLog:
    """Rate-limited log for the operator on call: a flood of lines would hide the important ones."""

    def __init__(
        self, actions: DispatchActions, lines: int = LOG_BURST_LINES, interval: int = LOG_INTERVAL_NS
    ) -> None:
        """Allow a burst of `lines`, and one more line for each `interval` ns."""
        self.actions = actions
        self.lines = lines
        self.interval = interval
        self.remaining_lines = lines
        self.refilled_at = actions.now()

    def write(self, line: str) -> None:
        """Write the line unless the limit is reached."""
        refills = (self.actions.now() - self.refilled_at) // self.interval
        self.refilled_at += refills * self.interval
        self.remaining_lines = min(self.lines, self.remaining_lines + refills)
        if self.remaining_lines:
            self.remaining_lines -= 1
            self.actions.log(line)
