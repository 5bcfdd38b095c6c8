"""Baseline policies that the product's decisions are compared with, using the same DispatchActions.

All of them send a request to a worker at once, retry it if its class allows that, and reject or fail it when
it may be sent to no worker. They differ only in how they choose the worker.
"""

from collections.abc import Callable, Iterable, Mapping

from ploverspoke.decisions.dispatcher import Dispatcher
from ploverspoke.decisions.interface import (
    NEVER_RAN,
    AttemptOutcome,
    AttemptResult,
    DispatchActions,
    Endpoint,
    EndpointCondition,
    LoadReport,
)
from ploverspoke.decisions.random_numbers import RandomNumbers
from ploverspoke.decisions.settings import Idempotency, RequestClass, RetryScope, Settings

from ..experiment_files.durations import MILLISECOND

ANY_MACHINE_KIND = -1
WATCH_BACKOFF = 250 * MILLISECOND  # multiplied by the number of consecutive failures
MAX_BACKOFF_FACTOR = 8
TrueLoad = Callable[[str], float]  # worker -> its load at this moment


class OpenRequest:
    """A request that has not been answered yet."""

    def __init__(self, request_id: int, request_class: int, slots: float, deadline: int) -> None:
        """Start without attempts."""
        self.id = request_id
        self.request_class = request_class
        self.slots = slots
        self.deadline = deadline
        self.attempt_count = 0
        self.worker = ""  # of the last attempt
        self.may_have_run_at = ""  # the first worker at which it may have run
        self.retry_until = 0  # ns; end of the retry window, which starts with the attempt that may have run
        self.failed_workers: list[str] = []


class BaselinePolicy:
    """The behavior that all baselines share; `choose` picks one of the workers allowed for a request."""

    def __init__(
        self, actions: DispatchActions, seed: int, settings: Settings, true_load: TrueLoad | None = None
    ) -> None:
        """`true_load` is used only by the policy that sees the true load."""
        self.actions = actions
        self.settings = settings
        self.random = RandomNumbers(seed)
        self.true_load = true_load
        self.workers: dict[str, Endpoint] = {}
        self.slots_in_flight: dict[str, float] = {}
        self.open: dict[int, OpenRequest] = {}
        self.watch_failures = 0  # consecutive

    def choose(self, candidates: list[str]) -> str:
        """Return one of the candidates; there is at least one."""
        raise NotImplementedError

    # ---- Events of the driver ----

    def started(self) -> None:
        """The dispatcher has started."""
        if self.settings.discovery_polling:
            self.actions.watch_endpoints()

    def settings_changed(self, settings: Settings, predecessors: Mapping[int, int]) -> None:
        """Use other settings from now on."""
        self.settings = settings

    def request_arrived(
        self,
        request_id: int,
        request_class: int,
        slots: float,
        deadline: int,
        work_hint: int,
        affinity_key: str,
    ) -> None:
        """Send a new request."""
        request = OpenRequest(request_id, request_class, slots, deadline)
        self.open[request_id] = request
        self.send(request)

    def attempt_started(self, request_id: int, attempt: int) -> None:
        """Ignored."""

    def attempt_progressed(self, request_id: int, attempt: int, share_done: float) -> None:
        """Ignored."""

    def attempt_ended(self, request_id: int, attempt: int, result: AttemptResult) -> None:
        """Finish the request or retry it."""
        request = self.open.get(request_id)
        if request is None or attempt != request.attempt_count - 1:
            return
        self.slots_in_flight[result.worker] -= request.slots
        if result.is_closed:
            del self.open[request_id]
            return
        request.failed_workers.append(result.worker)
        if result.outcome not in NEVER_RAN and not request.may_have_run_at:
            request.may_have_run_at = result.worker
            sent_at = self.actions.now() - result.elapsed
            request.retry_until = sent_at + self._class_of(request).retry_window
        self.send(request)

    def client_disconnected(self, request_id: int) -> None:
        """Forget a request without attempts; any other is closed when its attempt ends."""
        request = self.open.get(request_id)
        if request is not None and not request.worker:
            del self.open[request_id]

    def endpoint_list_received(self, endpoints: Iterable[Endpoint]) -> None:
        """Replace all workers."""
        self.workers.clear()
        self.endpoints_changed(endpoints)

    def endpoints_changed(self, endpoints: Iterable[Endpoint]) -> None:
        """Update some workers."""
        self.watch_failures = 0
        for endpoint in endpoints:
            self.workers[endpoint.worker] = endpoint
            self.slots_in_flight.setdefault(endpoint.worker, 0.0)

    def endpoint_watch_failed(self, is_rejected: bool = False) -> None:
        """Watch again after a backoff."""
        self.watch_failures += 1
        backoff = WATCH_BACKOFF * min(MAX_BACKOFF_FACTOR, self.watch_failures)
        self.actions.wake_at(0, self.actions.now() + backoff)

    def probe_completed(
        self, worker_name: str, outcome: AttemptOutcome, elapsed: int, load: LoadReport | None
    ) -> None:
        """Ignored."""

    def timer_fired(self, token: int) -> None:
        """The backoff is over."""
        self.actions.watch_endpoints()

    # ---- Attempts ----

    def send(self, request: OpenRequest) -> None:
        """Make the next attempt, or answer the request if no attempt is allowed."""
        now = self.actions.now()
        allowed = self._allowed_workers(request, now)
        if not allowed or request.attempt_count >= self._class_of(request).max_attempts:
            self._answer(request)
            return
        untried = [worker for worker in allowed if worker not in request.failed_workers]
        worker = self.choose(untried or allowed)
        request.attempt_count += 1
        request.worker = worker
        self.slots_in_flight[worker] += request.slots
        timeout = request.deadline - self.settings.batch_interval - now
        self.actions.start_attempt(request.id, worker, timeout)

    def _class_of(self, request: OpenRequest) -> RequestClass:
        return self.settings.classes[request.request_class]

    def _allowed_workers(self, request: OpenRequest, now: int) -> list[str]:
        if now >= request.deadline - self.settings.batch_interval:
            return []
        request_class = self._class_of(request)
        ready = [
            worker
            for worker, endpoint in self.workers.items()
            if endpoint.condition is EndpointCondition.READY
            and request_class.machine_kind in (ANY_MACHINE_KIND, endpoint.machine_kind)
        ]
        if not request.may_have_run_at or request_class.idempotency is Idempotency.IDEMPOTENT:
            return ready
        if request_class.idempotency is Idempotency.NON_IDEMPOTENT or now >= request.retry_until:
            return []
        return [worker for worker in ready if self._is_in_retry_scope(request, worker)]

    def _is_in_retry_scope(self, request: OpenRequest, worker: str) -> bool:
        scope = self._class_of(request).retry_scope
        if scope is RetryScope.ALL:
            return True
        first_endpoint = self.workers.get(request.may_have_run_at)
        if first_endpoint is None:
            return False
        endpoint = self.workers[worker]
        if scope is RetryScope.ZONE:
            return first_endpoint.zone == endpoint.zone
        return first_endpoint.rack == endpoint.rack

    def _answer(self, request: OpenRequest) -> None:
        del self.open[request.id]
        is_idempotent = self._class_of(request).idempotency is Idempotency.IDEMPOTENT
        if is_idempotent or not request.may_have_run_at:
            self.actions.reject(request.id, 0)
        else:
            self.actions.fail(request.id)


class RandomPick(BaselinePolicy):
    """Chooses a random worker."""

    def choose(self, candidates: list[str]) -> str:
        """Draw one candidate."""
        return candidates[self.random.below(len(candidates))]


class RoundRobin(BaselinePolicy):
    """Chooses the workers in turn."""

    choice_count = 0

    def choose(self, candidates: list[str]) -> str:
        """Return the next candidate."""
        self.choice_count += 1
        return candidates[self.choice_count % len(candidates)]


class TwoChoices(BaselinePolicy):
    """Chooses the one of two random workers that has fewer slots in flight from this dispatcher."""

    def choose(self, candidates: list[str]) -> str:
        """Draw two candidates and compare them."""
        first = candidates[self.random.below(len(candidates))]
        second = candidates[self.random.below(len(candidates))]
        return first if self.slots_in_flight[first] <= self.slots_in_flight[second] else second


class LeastTrueLoad(BaselinePolicy):
    """Chooses the worker with the least true load, which no real dispatcher can see."""

    def choose(self, candidates: list[str]) -> str:
        """Return the least loaded candidate; a tie goes to the first one after a random position."""
        if self.true_load is None:
            raise TypeError
        start = self.random.below(len(candidates))
        return min(candidates[start:] + candidates[:start], key=self.true_load)


class ProductPolicy(Dispatcher):
    """The product's decisions, which do not see the true load."""

    def __init__(
        self, actions: DispatchActions, seed: int, settings: Settings, true_load: TrueLoad | None = None
    ) -> None:
        """Ignore the true load."""
        super().__init__(actions, seed, settings)


TRUE_LOAD_POLICY = "all-seeing"
PolicyFactory = Callable[[DispatchActions, int, Settings, TrueLoad | None], BaselinePolicy | Dispatcher]
POLICIES: dict[str, PolicyFactory] = {
    "ours": ProductPolicy,
    "random": RandomPick,
    "round robin": RoundRobin,
    "two choices": TwoChoices,
    TRUE_LOAD_POLICY: LeastTrueLoad,
}
