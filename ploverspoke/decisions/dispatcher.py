"""Entry point for the events of a dispatcher: each method passes one event to the component that handles it.

The caller creates a `Dispatcher` with its `DispatchActions`, a seed and the settings, then calls one method
for each event. `docs/design.md` describes the basis of each decision. Dispatchers share only load gossip.
"""

from collections.abc import Iterable, Mapping

from .components import DispatcherComponents
from .endpoint_updates import MAX_GONE_WORKERS
from .interface import (
    AttemptOutcome,
    AttemptResult,
    DispatchActions,
    Endpoint,
    EndpointCondition,
    LoadGossip,
    LoadReport,
    SendRefusal,
)
from .request_path import RequestPath
from .settings import Settings
from .state import EarlierAttempts, PeriodicTimer, ProbePurpose, Request, RequestQueue, Worker


class Dispatcher:
    """The decisions of one dispatcher, with one method for each event."""

    def __init__(self, actions: DispatchActions, seed: int, settings: Settings) -> None:
        """Build the components; except for `now`, `actions` are called only while an event is processed."""
        self.actions = actions
        self.components = components = DispatcherComponents(actions, seed, settings)
        self.request_path = RequestPath(components)
        self.random = components.context.random
        self.workers = components.workers
        self.open_requests = components.open_requests

    # ---- Events ----

    def started(self) -> None:
        """Start watching the endpoint list and sending gossip, after the initial state has been reported."""
        now = self.actions.now()
        self.components.gossip.start(now)
        self.components.polling.start(bool(self.workers), now)

    def settings_changed(self, settings: Settings, predecessors: Mapping[int, int]) -> None:
        """Apply new settings; open requests keep the rules of their class.

        `predecessors` maps a new class number to the one whose measured running times it takes over.
        """
        context = self.components.context
        for number in set(settings.active_classes) - set(context.settings.active_classes):
            self.components.observations.reset_class(number, predecessors.get(number))
        context.apply(settings)
        self.components.choice.clear_cached_tiers()

    def request_arrived(
        self,
        request_id: int,
        request_class: int,
        slots: float,
        deadline: int,
        work_hint: int,
        affinity_key: str,
    ) -> None:
        """Process a request to answer by `deadline`; `work_hint`: its running time in ns, 0 if unknown."""
        rules = self.components.context.settings.classes[request_class]
        queue = self.components.queue_table.queue_for(slots, rules.machine_kind)
        request = Request(request_id, request_class, rules, queue, self.actions.now())
        self.request_path.arrived(request, affinity_key, deadline, work_hint)

    def request_resumed(self, request_id: int, attempts: int, may_have_run_on: str, sent_at: int) -> None:
        """Record another dispatcher's attempts for the request that will arrive with this id.

        `may_have_run_on` is the first worker that may have run it, "" if there is none.
        """
        earlier = EarlierAttempts(attempts, may_have_run_on, sent_at)
        self.components.retries.earlier_attempts[request_id] = earlier

    def attempt_started(self, request_id: int, attempt: int) -> None:
        """Record a worker's report that it has started a request."""
        request = self.open_requests.get(request_id)
        if request is None or request.worker is None or request.started_at:
            return
        if attempt == request.attempts - 1:
            self.request_path.attempt_started(request, request.worker, self.actions.now())

    def attempt_progressed(self, request_id: int, attempt: int, share_done: float) -> None:
        """Record a worker's progress report on a request."""
        request = self.open_requests.get(request_id)
        if request is not None and request.worker is not None and attempt == request.attempts - 1:
            request.last_contact_at = request.worker.last_contact_at = self.actions.now()

    def attempt_ended(self, request_id: int, attempt: int, result: AttemptResult) -> None:
        """Process the end of an attempt; if the request is still open it is retried or answered."""
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
        """Apply a complete list: workers that it does not contain are gone."""
        endpoints = list(endpoints)
        self.endpoints_changed(endpoints)
        names = {endpoint.worker for endpoint in endpoints}
        absent = [worker.endpoint for worker in self.listed_workers() if worker.name not in names]
        self.endpoints_changed([endpoint._replace(condition=EndpointCondition.GONE) for endpoint in absent])

    def limit_gone_workers(self, count: int) -> None:
        """Remember at most `count` of the workers that are gone, and never more than `MAX_GONE_WORKERS`."""
        self.components.endpoints.max_gone_workers = min(MAX_GONE_WORKERS, count)

    def endpoints_changed(self, endpoints: Iterable[Endpoint]) -> None:
        """Apply changes of the list, in order."""
        now = self.actions.now()
        self.components.polling.record_answer()
        for endpoint in endpoints:
            self.components.endpoints.update(endpoint, now)
        self.components.endpoints.forget_gone()

    def endpoint_list_confirmed(self, as_of: int) -> None:
        """Renew the endpoint list: all that service discovery had at `as_of` has been reported before.

        The list's validity starts with the first such event. Without any such event the list never expires:
        the caller then receives changes by other means.
        """
        self.components.polling.record_answer()
        self.components.validity.confirm(as_of, self.actions.now())

    def endpoint_watch_failed(self, is_rejected: bool = False, is_unreachable: bool = False) -> None:
        """Schedule another watch after one that ended without an answer or was rejected by a busy discovery.

        `is_unreachable`: no process listens at discovery's address, so no change of the list is binding.
        """
        self.components.polling.watch_failed(is_rejected, is_unreachable, self.actions.now())

    def endpoint_watch_timed_out(self, as_of: int) -> None:
        """Handle a call started at `as_of` that requested an immediate answer and got none in time."""
        self.components.polling.call_timed_out(as_of, self.actions.now())

    def discovery_address_changed(self) -> None:
        """Handle a change of service discovery's address, which `watch_endpoints` uses from now on."""
        self.components.polling.address_changed(self.actions.now())

    def probe_completed(
        self, worker_name: str, outcome: AttemptOutcome, elapsed: int, load: LoadReport | None
    ) -> None:
        """Process the result of a probe according to its purpose."""
        components, worker, now = self.components, self.workers.get(worker_name), self.actions.now()
        if worker is None:
            return  # forgotten since
        purpose, worker.probe = worker.probe, None
        components.confirmation.completed(worker)
        if outcome is AttemptOutcome.SUCCEEDED:
            worker.healthy_at = max(worker.healthy_at, now - elapsed)
            worker.next_check_at = now
        if outcome is AttemptOutcome.SUCCEEDED and load:
            components.reports.record(worker, load, now)
        elif outcome is AttemptOutcome.SUCCEEDED:
            worker.last_contact_at = now
        if purpose is ProbePurpose.LOAD:
            components.probes.record_answer(worker, outcome, elapsed, now)
            components.service.probe_answered(worker, now)
        elif purpose is ProbePurpose.HEALTH:
            components.attempts.health_checked(worker, outcome, now)
        elif purpose is ProbePurpose.CONFIRMATION:
            components.attempts.confirmation_ended(worker, outcome, now)
            components.service.worker_confirmed(now)
        else:
            components.ejection.record_probe(worker, outcome, now)

    def timer_fired(self, token: int) -> None:
        """Process a timer that was started by `wake_at` and is due."""
        components = self.components
        timer, now = components.context.timers.pop(token), self.actions.now()
        if isinstance(timer, Request):
            self._check_request(timer, now)
        elif isinstance(timer, RequestQueue):
            # Some probed workers have not answered in time, or all had a fresh report.
            if timer.probed and now >= timer.probed_until:
                components.service.send_after_probes(timer, now)
        elif isinstance(timer, Worker):
            components.ejection.ejection_ended(timer, now)
        elif timer is PeriodicTimer.CLOCK_TICK:
            components.service.tick(now)
        elif timer is PeriodicTimer.WATCH_ENDPOINTS:
            if components.polling.is_due(token):
                self.actions.watch_endpoints()
        elif timer is not None:
            components.gossip.send(now, to_all=timer is PeriodicTimer.GOSSIP_TO_ALL)

    def _check_request(self, request: Request, now: int) -> None:
        if request.id not in self.open_requests:
            return
        if request.worker is not None:
            self.components.attempts.check(request, request.worker, now)
        else:
            self.components.admission.check(request, now)

    def gossip_received(self, peer: int, gossip: LoadGossip) -> None:
        """Record another dispatcher's report of its load."""
        self.components.gossip.receive(peer, gossip, self.actions.now())

    # ---- Queries ----

    def may_send_to(self, worker_name: str) -> bool:
        """Whether an attempt that has been decided on may be sent now."""
        return self.components.sending.worker_refusal(self.workers[worker_name], self.actions.now()) is None

    def send_refusal(self, request_id: int, worker_name: str) -> SendRefusal | None:
        """Why an attempt that has been decided on may not be written now; None if it may."""
        return self.components.sending.refusal(request_id, worker_name, self.actions.now())

    def latest_send(self, request_id: int) -> int | None:
        """Time (ns) from which on the open request may be sent to no worker; None if it has ended."""
        return self.components.sending.latest_send(request_id)

    def list_time_left(self) -> int | None:
        """Time in ns until the endpoint list expires, negative after the expiry; None if it never expires."""
        return self.components.validity.time_left(self.actions.now())

    def list_expirations(self) -> int:
        """How often the endpoint list has expired."""
        return self.components.validity.expirations

    def listed_workers(self) -> list[Worker]:
        """Workers on the endpoint list, ready or draining."""
        gone = EndpointCondition.GONE
        return [worker for worker in self.workers.values() if worker.endpoint.condition is not gone]

    def is_out_of_rotation(self, worker: Worker) -> bool:
        """Whether nothing is sent to the worker, whatever its capacity."""
        return not worker.ready or worker.ejected
