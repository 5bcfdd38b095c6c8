"""Audits the four rules for dispatchers, only from the observations of clients, workers and discovery.

The auditor reads the events in order of time. Rules 3 and 4 are checked at the events that break them; rules
1 and 2 afterwards, request by request (`request_rules.py`). A finding names the rule and has the timeline of
the request or worker.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import NamedTuple

from ..experiment_files.durations import MILLISECOND, SECOND, format_duration
from ..experiment_files.experiment import Experiment
from ..models import event_records
from ..models.event_records import Event, ExecutionEnd, RequestSent, WorkerOverloaded
from .audited_requests import Answer, Finding, ObservedAttempt, ObservedRequest, Rule
from .request_rules import RequestRules

VIRTUAL_TOLERANCE = 5 * MILLISECOND
SOCKETS_TOLERANCE = 100 * MILLISECOND
# An overload breaks rule 4 if at least this share of the work came from dispatchers that knew of the start.
INFORMED_SHARE = 2 / 3
MAX_TIMELINE_EVENTS = 40  # of one finding
MAX_TIMELINES = 3  # later findings have none
FIRST_IMPLICIT_RACK = 1000  # each worker without a configured rack is its own rack, numbered from here on
READY = "ready"


class WorkerPlaces(NamedTuple):
    """The rack and zone numbers of workers, by worker name."""

    racks: dict[str, int]
    zones: dict[str, int]


class RequestAuditor:
    """Reads the events of one run, then checks each request."""

    def __init__(self, experiment: Experiment, tolerance: int, places: WorkerPlaces) -> None:
        """`tolerance` (ns) is allowed between an action of a dispatcher and its observation."""
        self._experiment = experiment
        self._tolerance = tolerance
        self._requests: dict[str, ObservedRequest] = {}
        self._kills: dict[int, list[int]] = defaultdict(list)  # times in ns, by dispatcher
        groups = {"all": dict.fromkeys(places.racks, 0), "zone": places.zones, "rack": places.racks}
        self._rules = RequestRules(experiment, tolerance, groups, self._kills)
        # Times (ns), by dispatcher and worker, at which discovery notified the dispatcher of the worker.
        self._unready_since: dict[tuple[int, str], int] = {}
        self._ready_notified_at: dict[tuple[int, str], int] = {}
        self._worker_started_at: dict[str, int] = {}
        self._events: list[Event] = []
        self._findings: list[Finding] = []
        self._readers: dict[str, Callable[[Event], None]] = {
            event_records.REQUEST_SENT: self._request_sent,
            event_records.REQUEST_ACCEPTED: self._request_accepted,
            event_records.REQUEST_ANSWERED: self._request_answered,
            event_records.CLIENT_DISCONNECTED: self._client_disconnected,
            event_records.ATTEMPT_ARRIVED: self._attempt_arrived,
            event_records.ATTEMPT_ENDED: self._attempt_ended,
            event_records.ATTEMPT_CLOSED: self._attempt_closed,
            event_records.ENDPOINT_NOTIFIED: self._dispatcher_notified,
            event_records.WORKER_STARTED: self._worker_started,
            event_records.WORKER_OVERLOADED: self._worker_overloaded,
            event_records.DISPATCHER_KILLED: self._dispatcher_killed,
            event_records.DISPATCHER_STARTED: self._dispatcher_started,
        }

    def audit(self, events: Iterable[Event]) -> list[Finding]:
        """The findings in order of time."""
        self._events = list(events)
        for event in self._events:
            reader = self._readers.get(event.kind)
            if reader is not None:
                reader(event)
        for request in self._requests.values():
            for rule, at, text in self._rules.check(request):
                finding_event = Event(at, "found", request.id, request.job)
                self._add_finding(rule, finding_event, f"{request.id}: {text}")
        self._findings.sort(key=lambda finding: finding.at)
        return self._findings

    # ---- Requests ----

    def _request_sent(self, event: Event) -> None:
        sent = RequestSent(*event.detail)
        self._requests[event.request_id] = ObservedRequest(
            event.request_id, event.job, event.dispatcher, sent.request_class, sent.deadline
        )

    def _request_accepted(self, event: Event) -> None:
        self._requests[event.request_id].accepted_at = event.at

    def _request_answered(self, event: Event) -> None:
        self._requests[event.request_id].answers.append(Answer(event.at, event.detail))

    def _client_disconnected(self, event: Event) -> None:
        self._requests[event.request_id].disconnected_at = event.at

    # ---- Attempts ----

    def _attempt_arrived(self, event: Event) -> None:
        request = self._requests.get(event.request_id)
        if request is None:
            text = f"{event.worker} was sent {event.request_id!r}, which no client sent"
            self._add_finding(Rule.ONE_ANSWER, event, text)
            return
        request.attempts.append(ObservedAttempt(event.at, event.worker, event.detail, event.dispatcher))
        unready_since = self._unready_since.get((event.dispatcher, event.worker))
        allowed = self._experiment.rules.drain_grace + self._tolerance
        if unready_since is not None and event.at > unready_since + allowed:
            late_by = format_duration(event.at - unready_since)
            text = f"sent to {event.worker} {late_by} after it was reported not to be ready"
            self._add_finding(Rule.DRAINING, event, text)

    def _find_attempt(self, event: Event, serial: int) -> ObservedAttempt | None:
        request = self._requests.get(event.request_id)
        return request.find_attempt(event.worker, serial) if request is not None else None

    def _attempt_ended(self, event: Event) -> None:
        serial, end = event.detail
        attempt = self._find_attempt(event, serial)
        if attempt is not None and attempt.end is None:
            attempt.end = ExecutionEnd(end)
            if attempt.open_until < 0:
                attempt.open_until = event.at

    def _attempt_closed(self, event: Event) -> None:
        attempt = self._find_attempt(event, event.detail)
        if attempt is not None and (attempt.open_until < 0 or attempt.open_until > event.at):
            attempt.open_until = event.at

    # ---- Workers and dispatchers ----

    def _dispatcher_notified(self, event: Event) -> None:
        key = (event.dispatcher, event.worker)
        if event.detail == READY:
            self._unready_since.pop(key, None)
            self._ready_notified_at[key] = event.at
        else:
            self._unready_since.setdefault(key, event.at)

    def _worker_started(self, event: Event) -> None:
        self._worker_started_at[event.worker] = event.at

    def _worker_overloaded(self, event: Event) -> None:
        overload = WorkerOverloaded(*event.detail)
        started_at = self._worker_started_at.get(event.worker, 0)
        informed = sum(
            work
            for dispatcher, work in overload.work_by_dispatcher.items()
            if self._ready_notified_at.get((int(dispatcher), event.worker), -1) >= started_at
        )
        if informed >= INFORMED_SHARE * overload.arrived_work:
            share = overload.arrived_work / overload.work_limit
            text = f"{event.worker} was overloaded while warming up: sent {share:.2f} of what it bears"
            self._add_finding(Rule.SLOW_START, event, text)

    def _dispatcher_killed(self, event: Event) -> None:
        self._kills[event.dispatcher].append(event.at)

    def _dispatcher_started(self, event: Event) -> None:
        for key in [key for key in self._unready_since if key[0] == event.dispatcher]:
            del self._unready_since[key]

    # ---- Findings ----

    def _add_finding(self, rule: Rule, event: Event, text: str) -> None:
        timeline = self._timeline(event) if len(self._findings) < MAX_TIMELINES else []
        self._findings.append(Finding(rule, event.at, event.request_id, event.worker, text, timeline))

    def _timeline(self, event: Event) -> list[str]:
        """The events of the same job, or of the same worker if the event has no job."""
        if event.job >= 0:
            related = [other for other in self._events if other.job == event.job]
        else:
            kinds = (
                event_records.WORKER_STARTED,
                event_records.WORKER_DIED,
                event_records.WORKER_OVERLOADED,
                event_records.ENDPOINT_NOTIFIED,
            )
            related = [e for e in self._events if e.worker == event.worker and e.kind in kinds]
        return [describe_event(other, self._experiment) for other in related[:MAX_TIMELINE_EVENTS]]


def describe_event(event: Event, experiment: Experiment) -> str:
    """One line of a timeline."""
    detail = event.detail
    if event.kind == event_records.REQUEST_SENT:
        request_class = experiment.request_classes[detail[0]]
        detail = f"{request_class.name} ({request_class.idempotency.value}), try {detail[1] + 1}"
    elif isinstance(detail, tuple):
        detail = list(detail)
    dispatcher = f" d{event.dispatcher}" if event.dispatcher >= 0 else ""
    seconds = event.at / SECOND
    return f"{seconds:11.6f} s  {event.request_id:10}{dispatcher:5} {event.worker:5} {event.kind}: {detail}"


def audit_requests(experiment: Experiment, events: Iterable[Event], tolerance: int) -> list[Finding]:
    """Audit the events of one run, which are in order of time; `tolerance` is in ns."""
    places = WorkerPlaces({}, {})
    for workers in experiment.workers:
        for _ in range(workers.count):
            number = len(places.racks)
            name = f"w{number}"
            places.racks[name] = number + FIRST_IMPLICIT_RACK if workers.rack is None else workers.rack
            places.zones[name] = experiment.zones().index(workers.zone)
    return RequestAuditor(experiment, tolerance, places).audit(events)
