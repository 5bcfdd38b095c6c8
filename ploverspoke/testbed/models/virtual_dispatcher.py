"""One dispatcher process of a virtual run: connects the product's decisions, or a baseline, to the models."""

from collections.abc import Iterable
from functools import partial

from ploverspoke.decisions.interface import (
    AttemptOutcome,
    AttemptResult,
    Endpoint,
    EndpointCondition,
    EndReason,
    LoadGossip,
)
from ploverspoke.decisions.settings import Settings
from ploverspoke.routing.request_classes import RequestClassTable

from ..experiment_files.durations import MILLISECOND, SECOND
from . import event_records
from .baseline_policies import POLICIES, TRUE_LOAD_POLICY
from .clients import ClientRequest
from .discovery import DiscoveryCall, EndpointEntry, EndpointUpdate
from .pausable_process import PausableProcess, deferred_while_paused
from .virtual_attempt import AcceptedRequest, AttemptConnections, VirtualAttempt
from .virtual_environment import VirtualEnvironment
from .worker import Worker

PROBE_TIMEOUT = 250 * MILLISECOND
WATCH_HOLD = 10 * SECOND
MAX_ANSWER_MARGIN = 20 * MILLISECOND  # between the deadline of the decisions and that of the client
ANSWER_MARGIN_DIVISOR = 10  # the margin is at most the remaining time divided by this
# The seed of the decisions is the sum of the run's seed and the dispatcher's number, each multiplied by its
# factor, and the incarnation.
SEED_FACTOR, NUMBER_FACTOR = 1_000_003, 7919


class VirtualDispatcher(PausableProcess):
    """Performs the actions of one dispatcher's decisions, and reports events of the models to them."""

    def __init__(self, environment: VirtualEnvironment, number: int, policy: str, incarnation: int) -> None:
        """Start the process; incarnations of one dispatcher are counted from 0."""
        super().__init__()
        self.environment = environment
        self.clock = environment.clock
        self.number = number
        self.zone = number % len(environment.experiment.zones())
        self.is_alive = True
        self.is_terminating = False
        self.requests: dict[int, AcceptedRequest] = {}
        self._next_number = 1
        self._endpoints_version: int | None = None
        streams = environment.context.streams()
        draws = streams.draws(f"network {number} {incarnation}")
        self.connections = AttemptConnections(environment, number, self.zone, draws, self)
        self.settings = environment.settings[self.zone]
        self._class_names = [request_class.name for request_class in environment.experiment.request_classes]
        self.request_classes = RequestClassTable(self._class_names)
        seed = streams.seed * SEED_FACTOR + number * NUMBER_FACTOR + incarnation
        true_load = partial(environment.true_load, self.zone) if policy == TRUE_LOAD_POLICY else None
        self.decisions = POLICIES[policy](self, seed, self.settings, true_load)
        self._receive_endpoints(environment.initial_endpoints)
        self.decisions.started()

    def has_open_requests(self) -> bool:
        """Whether any client still waits for an answer."""
        return any(not request.is_answered for request in self.requests.values())

    def settings_changed(self, settings: Settings) -> None:
        """Apply changed settings."""
        in_use = {request.request_class for request in self.requests.values()}
        self.settings, predecessors = self.request_classes.apply(
            self.settings, settings, self._class_names, in_use
        )
        self.decisions.settings_changed(self.settings, predecessors)

    def die(self) -> None:
        """Die as after SIGKILL: all connections to workers and clients are reset."""
        self.is_alive = False
        self.deferred.clear()
        for request in self.requests.values():
            for attempt in request.attempts:
                if attempt is not None:
                    self.connections.close(attempt)
            if not request.is_answered:
                self.environment.answer_client(request.client_request, event_records.BROKEN, 0)
        self.requests.clear()

    # ---- Clients ----

    @deferred_while_paused
    def receive_request(self, client_request: ClientRequest) -> None:
        """Accept a request that has arrived."""
        job = client_request.job
        request_class = self.request_classes.numbers[self._class_names[job.request_class]]
        request = AcceptedRequest(self._next_number, request_class, client_request)
        self._next_number += 1
        self.requests[request.number] = request
        time_left = max(0, client_request.deadline - self.clock.time)
        margin = min(MAX_ANSWER_MARGIN, time_left // ANSWER_MARGIN_DIVISOR)
        deadline = client_request.deadline - margin
        self.decisions.request_arrived(
            request.number, request_class, job.slots, deadline, 0, job.affinity_key
        )

    @deferred_while_paused
    def client_disconnected(self, client_request: ClientRequest) -> None:
        """A client has closed the connection of its request."""
        for request in self.requests.values():
            if request.client_request is client_request and not request.is_answered:
                request.is_answered = True
                self.decisions.client_disconnected(request.number)
                self._forget_if_finished(request)
                return

    def reject(self, request_id: int, retry_after: int, reason: EndReason = EndReason.NOT_STATED) -> None:
        """Answer that the request was not done and may be retried."""
        self._answer(request_id, event_records.REJECTED, retry_after)

    def fail(self, request_id: int, reason: EndReason = EndReason.NOT_STATED) -> None:
        """Answer that the request was not done, as far as is known."""
        self._answer(request_id, event_records.FAILED)

    def _answer(self, number: int, outcome: str, retry_after: int = 0) -> None:
        request = self.requests.get(number)
        if request is None or request.is_answered:
            return
        request.is_answered = True
        self.environment.answer_client(request.client_request, outcome, retry_after)
        for attempt in request.attempts:
            if attempt is not None and not attempt.has_reached_worker:
                self.cancel_attempt(number, attempt.index)
        self._forget_if_finished(request)

    def _forget_if_finished(self, request: AcceptedRequest) -> None:
        if request.is_answered and not any(request.attempts):
            self.requests.pop(request.number, None)

    # ---- Clock and log ----

    def now(self) -> int:
        """Return the current time."""
        return self.clock.time

    def wake_at(self, token: int, when: int) -> None:
        """Call `timer_fired(token)` at that time."""
        self.clock.call_at(when, self._wake, token)

    @deferred_while_paused
    def _wake(self, token: int) -> None:
        if self.is_alive:
            self.decisions.timer_fired(token)

    def log(self, line: str) -> None:
        """Ignore log lines."""

    def send_gossip(self, peers: Iterable[int] | None, gossip: LoadGossip) -> None:
        """Ignore gossip: experiments with gossip run on sockets only."""

    # ---- Attempts ----

    def start_attempt(self, request_id: int, worker: str, timeout: int) -> None:
        """Send a request to a worker."""
        request = self.requests.get(request_id)
        if request is not None and not request.is_answered:
            self.connections.start(request, self.environment.worker(worker), timeout)

    def cancel_attempt(self, request_id: int, attempt: int) -> None:
        """Close the connection of an attempt and report its end."""
        request = self.requests.get(request_id)
        cancelled = request.attempts[attempt] if request is not None else None
        if cancelled is None:
            return
        self.connections.close(cancelled)
        outcome = AttemptOutcome.CANCELLED if cancelled.has_reached_worker else AttemptOutcome.NOT_SENT
        self.clock.call_at(self.clock.time, self._report_end, cancelled, outcome)

    @deferred_while_paused
    def attempt_started(self, attempt: VirtualAttempt) -> None:
        """The worker has reported that it started the attempt."""
        if attempt.is_open and self.is_alive:
            self.decisions.attempt_started(attempt.request.number, attempt.index)

    @deferred_while_paused
    def attempt_progressed(self, attempt: VirtualAttempt, share: float) -> None:
        """The worker has reported the share of the work that is done."""
        if attempt.is_open and self.is_alive:
            self.decisions.attempt_progressed(attempt.request.number, attempt.index, share)

    @deferred_while_paused
    def attempt_ended(self, attempt: VirtualAttempt, outcome: AttemptOutcome) -> None:
        """The attempt or its connection has ended."""
        if attempt.is_open and self.is_alive:
            self.connections.end(attempt, outcome)
            self._report_end(attempt, outcome)

    @deferred_while_paused
    def _report_end(self, attempt: VirtualAttempt, outcome: AttemptOutcome) -> None:
        request = attempt.request
        if not self.is_alive or request.attempts[attempt.index] is None:
            return
        request.attempts[attempt.index] = None
        if outcome is AttemptOutcome.SUCCEEDED:
            self._answer(request.number, event_records.SUCCEEDED)
        elapsed = self.clock.time - attempt.sent_at
        result = AttemptResult(attempt.worker.name, outcome, elapsed, request.is_answered)
        self.decisions.attempt_ended(request.number, attempt.index, result)
        self._forget_if_finished(request)

    # ---- Probes ----

    def probe(self, worker: str) -> None:
        """Request the health and load of a worker."""
        target = self.environment.worker(worker)
        now, latency = self.clock.time, self.connections.one_way_latency(target)
        if target.is_hung or self.connections.is_partitioned(target):
            self.clock.call_at(now + PROBE_TIMEOUT, self._probe_failed, worker, AttemptOutcome.TIMED_OUT, now)
        elif not target.is_up:
            self.clock.call_at(now + 2 * latency, self._probe_failed, worker, AttemptOutcome.UNREACHABLE, now)
        else:
            self.clock.call_at(now + latency, self._answer_probe, target, now)

    def _answer_probe(self, worker: Worker, sent_at: int) -> None:
        arrives_at = self.clock.time + self.connections.one_way_latency(worker)
        self.clock.call_at(arrives_at, self._probe_succeeded, worker, sent_at)

    @deferred_while_paused
    def _probe_succeeded(self, worker: Worker, sent_at: int) -> None:
        if self.is_alive:
            sample = worker.report()
            load = {"waiting": sample.queue_length, "free_slots": sample.free_slots}
            elapsed = self.clock.time - sent_at
            self.decisions.probe_completed(worker.name, AttemptOutcome.SUCCEEDED, elapsed, load)

    @deferred_while_paused
    def _probe_failed(self, worker: str, outcome: AttemptOutcome, sent_at: int) -> None:
        if self.is_alive:
            self.decisions.probe_completed(worker, outcome, self.clock.time - sent_at, None)

    # ---- Discovery ----

    def watch_endpoints(self) -> None:
        """Call discovery; each answer except the initial list starts the next call."""
        call_at = self.clock.time + self.environment.network.discovery_latency
        self.clock.call_at(call_at, self._call_discovery)

    @deferred_while_paused
    def _call_discovery(self) -> None:
        if self.is_alive:
            call = DiscoveryCall(self.number, self._endpoints_version, self._discovery_answered)
            self.environment.discovery.call(call, WATCH_HOLD)

    def _discovery_answered(self, update: EndpointUpdate | None) -> None:
        arrives_at = self.clock.time + self.environment.network.discovery_latency
        self.clock.call_at(arrives_at, self._receive_endpoints, update)

    @deferred_while_paused
    def _receive_endpoints(self, update: EndpointUpdate | None) -> None:
        if not self.is_alive:
            return
        if update is None:
            self._endpoints_version = None
            self.decisions.endpoint_watch_failed()
            return
        is_initial_list = self._endpoints_version is None and update is self.environment.initial_endpoints
        self._endpoints_version = update.version
        endpoints = [_endpoint(entry) for entry in update.entries]
        if update.is_complete:
            self.decisions.endpoint_list_received(endpoints)
        else:
            self.decisions.endpoints_changed(endpoints)
        if not is_initial_list:
            self._call_discovery()


def _endpoint(entry: EndpointEntry) -> Endpoint:
    condition = EndpointCondition(entry.condition)
    return Endpoint(entry.worker, entry.zone, entry.kind, entry.rack, condition, 1.0, entry.started_at)
