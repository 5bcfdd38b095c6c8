"""The events of a dispatcher, one method for each, which passes it to the part that decides.

Its caller builds one `Dispatcher` with its own actions, a seed and the settings, then calls one method for
each event. `docs/design.md` says where each decision comes from. Dispatchers share nothing but load gossip.
"""

from collections.abc import Iterable, Mapping

from .interface import (
    AttemptOutcome,
    AttemptResult,
    DispatchActions,
    Endpoint,
    EndpointCondition,
    LoadGossip,
    LoadReport,
)
from .parts import Parts
from .request_path import RequestPath
from .settings import Settings
from .state import EarlierAttempts, PeriodicTimer, ProbePurpose, Request, RequestQueue, Worker


class Dispatcher:
    """One dispatcher, as its caller sees it."""

    def __init__(self, actions: DispatchActions, seed: int, settings: Settings) -> None:
        """Build the parts; `actions` is called from inside the events only."""
        self.actions = actions
        self.parts = parts = Parts(actions, seed, settings)
        self.request_path = RequestPath(parts)
        self.random = parts.context.random
        self.workers = parts.workers
        self.open_requests = parts.open_requests

    # ---- Events ----

    def started(self) -> None:
        """Begin to watch the endpoint list and to send gossip: the state at the start has been reported."""
        now = self.actions.now()
        self.parts.gossip.begin(now)
        self.parts.polling.begin(bool(self.workers), now)

    def settings_changed(self, settings: Settings, predecessors: Mapping[int, int]) -> None:
        """Apply new settings to what arrives from now on.

        `predecessors` maps a new class number to the one whose measured times it takes over.
        """
        context = self.parts.context
        for number in set(settings.active_classes) - set(context.settings.active_classes):
            self.parts.observations.begin_class(number, predecessors.get(number))
        context.apply(settings)
        self.parts.choice.clear_cached_tiers()

    def request_arrived(
        self,
        request_id: int,
        request_class: int,
        slots: float,
        deadline: int,
        work_hint: int,
        affinity_key: str,
    ) -> None:
        """A client waits for an answer until `deadline`; `work_hint`: running time in ns, 0 if unknown."""
        rules = self.parts.context.settings.classes[request_class]
        queue = self.parts.queues.get((slots, rules.machine_kind))
        if queue is None:
            queue = RequestQueue(slots, rules.machine_kind)
            self.parts.queues[slots, rules.machine_kind] = queue
        request = Request(request_id, request_class, rules, queue, self.actions.now())
        self.request_path.arrived(request, affinity_key, deadline, work_hint)

    def request_resumed(self, request_id: int, attempts: int, may_have_run_on: str, sent_at: int) -> None:
        """The next request under this id was another dispatcher's, which made so many attempts.

        `may_have_run_on` is the first worker that may have run it, "" where none may.
        """
        earlier = EarlierAttempts(attempts, may_have_run_on, sent_at)
        self.parts.retries.earlier_attempts[request_id] = earlier

    def attempt_started(self, request_id: int, attempt: int) -> None:
        """A worker reports that it has begun a request."""
        request = self.open_requests.get(request_id)
        if request is None or request.worker is None or request.started_at:
            return
        if attempt == request.attempts - 1:
            self.request_path.attempt_started(request, request.worker, self.actions.now())

    def attempt_progressed(self, request_id: int, attempt: int, share_done: float) -> None:
        """A worker reports progress of a request."""
        request = self.open_requests.get(request_id)
        if request is not None and request.worker is not None and attempt == request.attempts - 1:
            request.last_contact_at = request.worker.last_contact_at = self.actions.now()

    def attempt_ended(self, request_id: int, attempt: int, result: AttemptResult) -> None:
        """An attempt has ended; where the request is still open it is retried or answered."""
        worker = self.workers[result.worker]
        request = worker.attempts.pop(request_id, None)
        if request is not None:
            self.request_path.attempt_ended(request, worker, result, self.actions.now())

    def client_disconnected(self, request_id: int) -> None:
        """Drop a request whose client has disconnected."""
        request = self.open_requests.pop(request_id, None)
        if request is not None and request.worker is None and request in request.queue.waiting:
            request.queue.waiting.remove(request)

    def endpoint_list_received(self, endpoints: Iterable[Endpoint]) -> None:
        """Apply a whole list: workers that it does not contain are gone."""
        endpoints = list(endpoints)
        self.endpoints_changed(endpoints)
        shown = {endpoint.worker for endpoint in endpoints}
        absent = [worker.endpoint for worker in self.listed_workers() if worker.name not in shown]
        self.endpoints_changed([endpoint._replace(condition=EndpointCondition.GONE) for endpoint in absent])

    def endpoints_changed(self, endpoints: Iterable[Endpoint]) -> None:
        """Apply changes of the list, in order."""
        now = self.actions.now()
        self.parts.polling.answered()
        for endpoint in endpoints:
            self.parts.endpoints.update(endpoint, now)

    def endpoint_list_confirmed(self, as_of: int) -> None:
        """Service discovery has answered: all that it had at `as_of` was reported before this event.

        The first such event begins the list's validity. Without any the list never expires: the caller
        then receives changes by other means.
        """
        self.parts.polling.answered()
        self.parts.validity.confirm(as_of, self.actions.now())

    def endpoint_watch_failed(self, is_rejected: bool = False, is_unreachable: bool = False) -> None:
        """The watch of the list has ended without an answer, or service discovery was too busy for it.

        `is_unreachable`: nobody listens at its address, so no change of the list is binding.
        """
        self.parts.polling.watch_failed(is_rejected, is_unreachable, self.actions.now())

    def endpoint_watch_silent(self, as_of: int) -> None:
        """A call that was begun at `as_of`, to be answered at once, was not answered in time."""
        self.parts.polling.call_was_silent(as_of, self.actions.now())

    def discovery_moved(self) -> None:
        """Service discovery has another address; the list is requested there after `watch_endpoints`."""
        self.parts.polling.moved(self.actions.now())

    def probe_completed(
        self, worker_name: str, outcome: AttemptOutcome, elapsed: int, load: LoadReport | None
    ) -> None:
        """A probe has ended, for any of its purposes."""
        parts, worker, now = self.parts, self.workers[worker_name], self.actions.now()
        purpose, worker.probe = worker.probe, None
        parts.confirmation.completed(worker)
        if outcome is AttemptOutcome.SUCCEEDED:
            worker.healthy_at = max(worker.healthy_at, now - elapsed)
            worker.next_check_at = now
        if outcome is AttemptOutcome.SUCCEEDED and load:
            parts.reports.record(worker, load, now)
        elif outcome is AttemptOutcome.SUCCEEDED:
            worker.last_contact_at = now
        if purpose is ProbePurpose.LOAD:
            parts.probes.record_answer(worker, outcome, elapsed, now)
            parts.service.probe_answered(worker, now)
        elif purpose is ProbePurpose.HEALTH:
            parts.attempts.health_checked(worker, outcome, now)
        elif purpose is ProbePurpose.CONFIRMATION:
            parts.attempts.confirmation_ended(worker, outcome, now)
            parts.service.worker_confirmed(now)
        else:
            parts.ejection.record_probe(worker, outcome, now)

    def timer_fired(self, token: int) -> None:
        """A timer that was started by `wake_at` is due."""
        parts, timer, now = self.parts, self.parts.context.timers.take(token), self.actions.now()
        if isinstance(timer, Request):
            self._check_request(timer, now)
        elif isinstance(timer, RequestQueue):
            # Some probed workers have not answered in time, or all had a fresh report.
            if timer.probed and now >= timer.probed_until:
                parts.service.settle(timer, now)
        elif isinstance(timer, Worker):
            parts.ejection.ejection_ended(timer, now)
        elif timer is PeriodicTimer.CLOCK_TICK:
            parts.service.tick(now)
        elif timer is PeriodicTimer.WATCH_ENDPOINTS:
            if parts.polling.is_due(token):
                self.actions.watch_endpoints()
        elif timer is not None:
            parts.gossip.send(now, to_all=timer is PeriodicTimer.GOSSIP_TO_ALL)

    def _check_request(self, request: Request, now: int) -> None:
        if request.id not in self.open_requests:
            return
        if request.worker is not None:
            self.parts.attempts.check(request, request.worker, now)
        else:
            self.parts.admission.check(request, now)

    def gossip_received(self, peer: int, gossip: LoadGossip) -> None:
        """Another dispatcher reports where it has slots in flight, one entry for each."""
        self.parts.gossip.receive(peer, gossip, self.actions.now())

    # ---- Queries ----

    def may_send_to(self, worker_name: str) -> bool:
        """Whether an attempt that was decided on may be written now."""
        worker = self.workers[worker_name]
        return worker.ready and self.parts.validity.covers(worker, self.actions.now())

    def list_time_left(self) -> int | None:
        """Time in ns until the endpoint list expires, less than 0 after that; None: it does not."""
        return self.parts.validity.time_left(self.actions.now())

    def list_expirations(self) -> int:
        """How often the endpoint list has expired."""
        return self.parts.validity.expirations

    def listed_workers(self) -> list[Worker]:
        """Workers on the endpoint list, ready or draining."""
        gone = EndpointCondition.GONE
        return [worker for worker in self.workers.values() if worker.endpoint.condition is not gone]

    def is_out_of_rotation(self, worker: Worker) -> bool:
        """Whether nothing is sent to the worker, whatever its capacity."""
        return not worker.ready or worker.ejected
