"""The host of the decisions on real sockets: their actions become errands and answers, ends become events."""

import asyncio
import time
import traceback
from collections import deque
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import replace
from functools import partial
from typing import Any

from ploverspoke.decisions.dispatcher import Dispatcher
from ploverspoke.decisions.interface import AttemptResult, Endpoint, EndpointCondition, LoadGossip
from ploverspoke.decisions.settings import DeploymentNames, Idempotency, LoadReporting, Settings
from ploverspoke.protocol import clients, discovery, workers
from ploverspoke.protocol.errors import (
    HttpSyntaxError,
    MethodNotAllowedError,
    RequestIdInUseError,
    UnknownRequestClassError,
)
from ploverspoke.protocol.wire_names import ENDPOINT_STATES
from ploverspoke.protocol.workers import LoadReport
from ploverspoke.transport.connection_pool import ConnectionPool
from ploverspoke.transport.deadlines import Deadlines
from ploverspoke.transport.outcomes import ExchangeOutcome
from ploverspoke.transport.rate_limited_log import log_line
from ploverspoke.transport.slot_table import SlotTable
from ploverspoke.transport.units import MILLISECOND, SECOND

from .answers import Client, FinalAnswer, RecordedAnswer
from .counters import Counters, RequestEnd, UnansweredEnd
from .endpoint_watch import EndpointWatch
from .load_gossip import GossipSocket
from .outcomes import OUTCOMES
from .request_classes import RequestClassTable
from .request_log import PendingAttempt, PreviousOutcome, RequestLog, WaitingClients
from .requests import Request
from .worker_calls import WorkerCall

PROBE_TIME_OUT = 250 * MILLISECOND
IDS_KEPT = 4096  # of the latest submissions
LONGEST_HOLD = 20 * SECOND  # of one call of the watch
ANSWER_EARLY = 20 * MILLISECOND  # than the client gives up

Event = Callable[..., None]


def x0_in(settings: Settings) -> str:
    """What this deployment's reports mean by x0."""
    return "free_slots" if "free_slots" in settings.load_fields else "x0"


def hold_in(settings: Settings) -> int:
    return min(LONGEST_HOLD, int(settings.discovery_poll_interval))


def is_pushed(settings: Settings) -> bool:
    """Whether changes of the roster count as told without being asked for."""
    return not settings.discovery_polling


class AttemptCall:
    """Tells the router what becomes of one hand-off."""

    def __init__(self, router: "Router", submission: Request, index: int, worker: str) -> None:
        self.router = router
        self.submission = submission
        self.index = index
        self.worker = worker
        self.sent_at = router.now()

    def errand_written(self) -> None:
        self.router.counters.count_attempt(self.router.rows.names[self.submission.grade])

    def errand_started(self) -> None:
        self.router.tell(self.router.dispatcher.attempt_started, self.submission.number, self.index)

    def errand_progressed(self, share_done: float) -> None:
        event = self.router.dispatcher.attempt_progressed
        self.router.tell(event, self.submission.number, self.index, share_done)

    def errand_ended(self, end: ExchangeOutcome, result: str, load: LoadReport | None) -> None:
        self.router.attempt_ended(self, end, result, load)


class HealthCheckCall:
    """Tells the router what becomes of one probe."""

    def __init__(self, router: "Router", worker: str) -> None:
        self.router = router
        self.worker = worker
        self.sent_at = router.now()
        self.repeated = False

    def errand_written(self) -> None:
        pass

    def errand_started(self) -> None:
        pass

    def errand_progressed(self, share_done: float) -> None:
        pass

    def errand_ended(self, end: ExchangeOutcome, result: str, load: LoadReport | None) -> None:
        if end in (ExchangeOutcome.CONNECTION_LOST, ExchangeOutcome.SEND_INCOMPLETE) and not self.repeated:
            # A connection that breaks says little of its worker, and a probe may be sent twice.
            self.repeated = True
            self.router.send_probe(self)
            return
        took = self.router.now() - self.sent_at
        event = self.router.dispatcher.probe_completed
        self.router.tell(event, self.worker, OUTCOMES[end], took, load)


class Router:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        deadlines: Deadlines,
        pool: ConnectionPool,
        discovery_address: str,
        seed: int,
        settings: Settings,
        names: DeploymentNames,
        scribe: RequestLog | None = None,
    ) -> None:
        self.deadlines = deadlines
        self.pool = pool
        self.settings = settings
        self.scribe = scribe
        self.on_roster: Callable[[bytes], None] | None = None  # told what discovery told
        self.by_id: dict[str, Request] = {}  # those in flight, where there is a store
        self.rows = RequestClassTable(names.request_classes)
        self.counters = Counters()
        self.counters.show(names.request_classes)
        self.zones = {name: number for number, name in enumerate(names.zones)}
        self.machine_kinds = {name: number for number, name in enumerate(names.machine_kinds)}
        self.x0 = x0_in(settings)
        # Workers' starts are told in Unix time; one difference, taken once, puts them all on our clock.
        self.clock_ahead = time.time_ns() - time.monotonic_ns()
        self.addresses: dict[str, str] = {}
        self.submissions: SlotTable[Request] = SlotTable()
        self.body_bytes = 0
        self.ids: set[str] = set()
        self.latest_ids: deque[str] = deque()
        self.events: deque[tuple[Event, tuple[Any, ...]]] = deque()
        self.telling = False
        self.lists_told = 0  # by discovery, since the start
        self.peers: GossipSocket | None = None  # the other dispatchers, where there are addresses for them
        self.loop = loop
        self.roster = self._watch_on(discovery_address)
        self.dispatcher = Dispatcher(self, seed, settings)

    def begin(self, known: Any = None, from_known: bool = True) -> None:
        """Follow the roster, from the list as we last had it, if any; it was checked where it was read.

        From the known list on discovery says only what is newer, when that comes; else at once all it has.
        """
        if known is not None:
            found = discovery.parse_endpoint_list(known)
            self.roster.version = found.version if from_known else None
            self._roster_changed([self._enter(entry) for entry in found.entries], True)
        self.tell(self.dispatcher.started)
        if is_pushed(self.settings):
            # Where changes are to come unprompted, nothing but this watch makes them come on sockets.
            self.roster.start()

    def settings_changed(self, settings: Settings, names: DeploymentNames) -> None:
        """Other settings, checked: they bind what is taken from now on; what is open keeps its rules."""
        zone = settings.zone
        if zone < len(names.zones):
            zone = self.zones.setdefault(names.zones[zone], len(self.zones))
        classes = tuple(
            replace(each, machine_kind=self._machine_kind(each.machine_kind, names.machine_kinds))
            for each in settings.classes
        )
        translated = replace(settings, zone=zone, classes=classes)
        in_use = {submission.grade for submission in self.submissions}
        self.settings, takes_over = self.rows.apply(self.settings, translated, names.request_classes, in_use)
        self.counters.show(names.request_classes)
        self.x0 = x0_in(self.settings)
        self.roster.hold, self.roster.pushed = hold_in(self.settings), is_pushed(self.settings)
        self.tell(self.dispatcher.settings_changed, self.settings, takes_over)

    def _machine_kind(self, kind: int, names: Sequence[str]) -> int:
        """The number by which workers of that kind are known here, whatever place its name has now."""
        if not 0 <= kind < len(names):
            return kind
        return self.machine_kinds.setdefault(names[kind], len(self.machine_kinds))

    # ---- From clients ----

    def check(self, method: str, target: str, headers: dict[str, str]) -> None:
        """Whether a request with this head can be taken at all. Raises HttpSyntaxError."""
        if clients.request_class_name(target) not in self.rows.numbers:
            raise UnknownRequestClassError("no such service grade")
        if method != "POST":
            raise MethodNotAllowedError("submissions come by POST")
        if not headers.get("request-id"):
            raise HttpSyntaxError("request-id is missing")
        self._must_be_new(headers["request-id"])
        for read in (clients.request_timeout, clients.requested_slots, clients.work_hint):
            read(headers)

    def take(
        self, client: Client, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> Request | None:
        """Take a submission whose head was checked; None where there is no room for it. Raises
        HttpSyntaxError."""
        # Once more, since another with its id may have been taken while its body came.
        self._must_be_new(headers["request-id"])
        grade = self.rows.numbers.get(clients.request_class_name(target))
        if grade is None:
            raise UnknownRequestClassError("no such service grade")  # dropped while the body came
        longest: int = self.settings.classes[grade].deadline
        stated = clients.request_timeout(headers)
        patience = longest if stated is None else min(stated, longest)
        slots, hint = clients.requested_slots(headers), clients.work_hint(headers)
        if self.scribe is not None:
            known = self._known(self.scribe, client, method, target, headers, body)
            if known is not None:
                return known
        if len(self.submissions) >= self.settings.max_open_requests:
            self.counters.count_turned_away(self.rows.names[grade])
            return None
        # What waited for us to be read, and the way back, are time that the client has not.
        abandon_at = self.now() + patience - min(ANSWER_EARLY, patience // 10)
        submission = Request(client, grade, method, target, headers, body, abandon_at)
        submission.number = self.submissions.add(submission)
        self.counters.count_admitted()
        self.body_bytes += len(body)
        self._remember(submission.request_id)
        # The decisions answer in time; this guards the client against a fault in them.
        submission.last_answer = self.deadlines.schedule(abandon_at, partial(self._overdue, submission))
        arrived = partial(
            self.tell,
            self.dispatcher.request_arrived,
            submission.number,
            grade,
            slots,
            abandon_at,
            hint,
            headers.get("affinity-key", ""),
        )
        if self.scribe is None:
            arrived()
        else:
            self._write_down(self.scribe, submission, client, arrived)
        return submission

    # ---- Where there is a store ----

    def elsewhere(self) -> str | None:
        """Where clients are to go; None: here, "" nowhere yet."""
        if self.scribe is None or self.scribe.is_leader():
            return None
        return self.scribe.leader_address()

    def _known(
        self,
        scribe: RequestLog,
        client: Client,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
    ) -> Request | None:
        """An id that was here before: its client waits with the others, or gets the same answer again."""
        request_id, digest = headers["request-id"], scribe.digest(method, target, body)
        flying, past = self.by_id.get(request_id), scribe.previous_outcome(request_id)
        told = flying.digest if flying is not None else past.digest if past is not None else digest
        if told != digest:
            raise RequestIdInUseError("request-id is in use")
        if flying is not None and flying.waiters is not None:
            # Also while its answer is on its way to be committed: taken for a new one it was handed off
            # again.
            flying.waiters.clients.append(client)
            return flying
        if past is not None and past.answer is not None:
            answered = Request(client, 0, method, target, headers, b"", 0)
            client.answer(past.answer.answer, past.answer.result)
            return answered
        return None

    def _write_down(
        self, scribe: RequestLog, submission: Request, client: Client, arrived: Callable[[], None]
    ) -> None:
        """The decisions hear of it when it is committed that we have it; redoable ones need not wait for
        that.
        """
        submission.digest = scribe.digest(submission.method, submission.target, submission.body)
        submission.client = submission.waiters = WaitingClients(client)
        self.by_id[submission.request_id] = submission
        if self.settings.classes[submission.grade].idempotency is Idempotency.IDEMPOTENT:
            arrived()
            return
        past = scribe.previous_outcome(submission.request_id)
        if past is not None:
            self._resume(submission, past)
            arrived()
            return

        def committed(yes: bool) -> None:
            if submission.client is None:
                return
            if yes:
                arrived()
            else:
                # It may be written down all the same: whoever leads now says what becomes of it.
                self._drop(submission)

        left = submission.abandon_at - self.now()
        scribe.record_request(submission.request_id, submission.grade, submission.digest, left, committed)

    def _resume(self, submission: Request, past: PreviousOutcome) -> None:
        """Another replica had it: its hand-offs count, and it is bound by the first that may have run."""
        submission.hand_offs = [None] * past.attempt_count
        submission.sent = past.attempt_count > 0
        sent_at = self.now() - past.time_since_bound
        number = submission.number
        self.tell(self.dispatcher.request_resumed, number, past.attempt_count, past.bound_worker, sent_at)

    def _intend(self, scribe: RequestLog, hand_off: AttemptCall, time_out: int) -> None:
        """Nothing that must not run twice leaves before it is committed that it may."""
        submission, index, until = hand_off.submission, hand_off.index, self.now() + time_out
        pending = submission.hand_offs[index] = PendingAttempt()

        def committed(yes: bool) -> None:
            if submission.hand_offs[index] is not pending:
                return
            left = until - self.now()
            if yes and left > 0 and not pending.cancelled:
                self._send(hand_off, left)
            else:
                self.attempt_ended(hand_off, ExchangeOutcome.NOT_SENT, "", None)

        scribe.record_attempt(submission.request_id, hand_off.worker, index, committed)

    def lead_no_more(self) -> None:
        """Another replica answers from now on; what is out goes on, and its ends are no business of ours."""
        for submission in self.submissions:
            if submission.client is not None:
                self._drop(submission)
                self.tell(self.dispatcher.client_disconnected, submission.number)

    def _drop(self, submission: Request) -> None:
        """Its answer is another replica's to give."""
        client = submission.client
        if client is not None:
            self._close(submission, UnansweredEnd.LEFT_TO_LEADER)
        self.by_id.pop(submission.request_id, None)
        if client is not None:
            client.disconnect()
        self._forget(submission)

    def _must_be_new(self, request_id: str) -> None:
        if request_id in self.ids and self.scribe is None:
            raise RequestIdInUseError("request-id is in use")

    def _remember(self, request_id: str) -> None:
        """Of those that have ended, too: a copy may come when the first is just answered."""
        self.ids.add(request_id)
        self.latest_ids.append(request_id)
        if len(self.latest_ids) > IDS_KEPT and len(self.latest_ids) > 2 * len(self.submissions):
            self.ids.discard(self.latest_ids.popleft())

    def turned_away(self, target: str) -> None:
        """The door had no room for this request; where its grade is none of ours it is no job."""
        grade = clients.request_class_name(target)
        if grade in self.rows.numbers:
            self.counters.count_turned_away(grade)

    def open_now(self) -> int:
        return sum(submission.client is not None for submission in self.submissions)

    def client_disconnected(self, submission: Request, client: Client) -> None:
        if submission.waiters is not None:
            # It may come back for its answer, here or at another replica.
            if client in submission.waiters.clients:
                submission.waiters.clients.remove(client)
            self._end_unsent(submission)
        elif submission.client is not None:
            self._close(submission, UnansweredEnd.CLIENT_DISCONNECTED)
            self.tell(self.dispatcher.client_disconnected, submission.number)
            self._forget(submission)

    def _end_unsent(self, submission: Request) -> None:
        """Where the last that waited has left and no worker has had or may get it: who comes back hears
        that it has not run.
        """
        waiters = submission.waiters
        if waiters is None or waiters.clients or submission.sent or submission.out():
            return
        if submission.client is not None:
            self._answer(submission, FinalAnswer.REJECTED)
            self.tell(self.dispatcher.client_disconnected, submission.number)

    def answer_all(self) -> None:
        """The end of the program: nobody is left without an answer."""
        for submission in self.submissions:
            self._answer_for_decisions(submission)

    # ---- To the decisions ----

    def tell(self, event: Event, *what: Any) -> None:
        """Say that something happened; what happens inside of a call waits until that is over."""
        self.events.append((event, what))
        if self.telling:
            return
        self.telling = True
        while self.events:
            event, what = self.events.popleft()
            try:
                event(*what)
            except Exception:
                log_line(
                    f"a decision failed in {getattr(event, '__name__', event)}: {traceback.format_exc()}"
                )
                submission = self.submissions.get(what[0]) if what and isinstance(what[0], int) else None
                if submission is not None and event != self.dispatcher.timer_fired:
                    self._answer_for_decisions(submission)
        self.telling = False

    def attempt_ended(
        self, hand_off: AttemptCall, end: ExchangeOutcome, result: str, load: LoadReport | None
    ) -> None:
        submission = hand_off.submission
        submission.hand_offs[hand_off.index] = None
        self._end_unsent(submission)
        if self.scribe is not None and self._is_kept(submission):
            self.scribe.record_attempt_outcome(submission.request_id, hand_off.index, OUTCOMES[end].value)
        if end is ExchangeOutcome.SUCCEEDED:
            self._answer(submission, FinalAnswer.SUCCEEDED, result)
        elif end is ExchangeOutcome.REJECTED:
            # Sent to one worker after the other it set them aside, one by one.
            self._answer(submission, FinalAnswer.INVALID_REQUEST)
        self.tell(
            self.dispatcher.attempt_ended,
            submission.number,
            hand_off.index,
            AttemptResult(
                hand_off.worker,
                OUTCOMES[end],
                self.now() - hand_off.sent_at,
                submission.client is None,
                load,
            ),
        )
        self._forget(submission)

    def _roster_told(self, body: bytes) -> tuple[int, bool]:
        found = discovery.read_endpoint_list(body)
        self._roster_changed([self._enter(entry) for entry in found.entries], found.is_complete)
        self.lists_told += 1
        if self.on_roster is not None:
            self.on_roster(body)
        return found.version, found.is_complete

    def move_roster(self, address: str) -> None:
        """Discovery has another address: its versions are its own, so its whole list is asked for at once."""
        self.roster.stop()
        self.roster = self._watch_on(address)
        self.roster.start()

    def _watch_on(self, address: str) -> EndpointWatch:
        hold, pushed = hold_in(self.settings), is_pushed(self.settings)
        told, lost = self._roster_told, self._roster_lost
        return EndpointWatch(self.loop, self.deadlines, address, hold, told, lost, pushed)

    def _roster_changed(self, listings: list[Endpoint], whole: bool) -> None:
        dispatcher = self.dispatcher
        self.tell(dispatcher.endpoint_list_received if whole else dispatcher.endpoints_changed, listings)

    def _roster_lost(self, turned_away: bool) -> None:
        self.tell(self.dispatcher.endpoint_watch_failed, turned_away)

    def _enter(self, entry: discovery.EndpointEntry) -> Endpoint:
        # A state that we do not know is no invitation.
        condition = EndpointCondition(ENDPOINT_STATES.get(entry.state, "draining"))
        before = self.addresses.get(entry.name)
        if before is not None and (condition is EndpointCondition.GONE or entry.address != before):
            self.pool.retire_address(before)
        if entry.address:
            self.addresses[entry.name] = entry.address
        started = max(1, entry.started_ms * MILLISECOND - self.clock_ahead) if entry.started_ms else 0
        zone = self.zones.setdefault(entry.zone, len(self.zones))
        machine_kind = self.machine_kinds.setdefault(entry.machine_kind, len(self.machine_kinds))
        return Endpoint(entry.name, zone, machine_kind, entry.rack, condition, entry.weight, started)

    # ---- What the decisions ask for ----

    def now(self) -> int:
        return self.deadlines.now()

    def start_attempt(self, request_id: int, worker: str, timeout: int) -> None:
        submission, address = self.submissions.get(request_id), self.addresses.get(worker)
        if submission is None or submission.client is None or address is None:
            closed = submission is None or submission.client is None
            index = 0 if submission is None else len(submission.hand_offs)
            if submission is not None:
                submission.hand_offs.append(None)
            result = AttemptResult(worker, OUTCOMES[ExchangeOutcome.NOT_SENT], 0, closed)
            self.tell(self.dispatcher.attempt_ended, request_id, index, result)
            return
        hand_off = AttemptCall(self, submission, len(submission.hand_offs), worker)
        submission.hand_offs.append(None)
        if self.scribe is not None and self._is_kept(submission):
            self._intend(self.scribe, hand_off, timeout)
        else:
            self._send(hand_off, timeout)

    def _is_kept(self, submission: Request) -> bool:
        """Whether the store keeps its hand-offs: what may be run twice needs no keeping."""
        return bool(self.settings.classes[submission.grade].idempotency is not Idempotency.IDEMPOTENT)

    def _send(self, hand_off: AttemptCall, time_out: int) -> None:
        submission, address = hand_off.submission, self.addresses[hand_off.worker]
        submission.hand_offs[hand_off.index] = WorkerCall(
            self.pool,
            address,
            lambda left: workers.encode_attempt(
                submission.method,
                submission.target,
                submission.headers,
                submission.body,
                left,
                address,
            ),
            partial(workers.AttemptResponseReader, x0_name=self.x0, request_id=submission.request_id),
            time_out,
            hand_off,
            in_two=self.settings.classes[submission.grade].idempotency is Idempotency.NON_IDEMPOTENT,
            may_go=partial(self._lets_go, hand_off, address),
        )

    def _lets_go(self, hand_off: AttemptCall, address: str) -> bool:
        """Whether a hand-off may still be written. Every one passes here last, whatever it waited for since
        its worker was chosen: a connection, a commit, this process.
        """
        submission, worker = hand_off.submission, self.dispatcher.workers[hand_off.worker]
        may = (
            submission.client is not None
            and worker.ready  # else it was told to be draining or gone meanwhile
            and self.addresses.get(hand_off.worker) == address
            and (
                self.scribe is None or self.scribe.is_leader()
            )  # a leader that was paused may be none any more
            and not submission.client.has_disconnected()
        )
        submission.sent = submission.sent or may
        return may

    def cancel_attempt(self, request_id: int, attempt: int) -> None:
        submission = self.submissions.get(request_id)
        errand = submission.hand_offs[attempt] if submission is not None else None
        if errand is not None:
            errand.cancel()

    def reject(self, request_id: int, retry_after: int) -> None:
        self._answer(self.submissions.get(request_id), FinalAnswer.REJECTED, "", retry_after)

    def fail(self, request_id: int) -> None:
        self._answer(self.submissions.get(request_id), FinalAnswer.FAILED)

    def wake_at(self, token: int, when: int) -> None:
        self.deadlines.schedule(when, lambda: self.tell(self.dispatcher.timer_fired, token))

    def probe(self, worker: str) -> None:
        self.send_probe(HealthCheckCall(self, worker))

    def send_probe(self, probe: HealthCheckCall) -> None:
        address = self.addresses.get(probe.worker, "")
        with_load = self.settings.load_reporting is not LoadReporting.NONE
        WorkerCall(
            self.pool,
            address,
            lambda left: workers.encode_health_check(with_load, address),
            partial(workers.HealthCheckResponseReader, x0_name=self.x0),
            PROBE_TIME_OUT,
            probe,
            fresh=probe.repeated,
        )

    def send_gossip(self, peers: Iterable[int] | None, gossip: LoadGossip) -> None:
        if self.peers is not None:
            self.peers.send(peers, gossip.zone, gossip.sequence, gossip.lateness, gossip.workers)

    def heard(self, teller: int, zone: int, number: int, lateness: float, held: list[str]) -> None:
        self.tell(self.dispatcher.gossip_received, teller, LoadGossip(zone, number, lateness, held))

    def known_workers(self) -> Collection[str]:
        return self.dispatcher.workers

    def watch_endpoints(self) -> None:
        self.roster.start()

    def log(self, line: str) -> None:
        log_line(line)

    # ---- The life of a submission ----

    def _answer(
        self, submission: Request | None, how: FinalAnswer, result: str = "", come_back_after: int = 0
    ) -> None:
        """Its one final answer, unless it has had that or its client has left."""
        if submission is None or submission.client is None:
            return
        client = submission.client
        self._close(submission, how)
        if self.scribe is None:
            client.answer(how, result, come_back_after)
        else:
            # Whoever asks for it again, here or at another replica, must hear the same.
            def committed(yes: bool) -> None:
                self.by_id.pop(submission.request_id, None)
                if yes:
                    client.answer(how, result, come_back_after)
                else:
                    client.disconnect()

            answer = RecordedAnswer(how, result)
            self.scribe.record_answer(submission.request_id, answer, submission.digest, committed)
        self._forget(submission)

    def _close(self, submission: Request, how: RequestEnd) -> None:
        """It gets its answer now, or wants none any more: nothing is sent for it from here on."""
        submission.client = None
        self.counters.count_end(self.rows.names[submission.grade], how)
        self.deadlines.cancel(submission.last_answer)
        for errand in submission.hand_offs:
            if errand is not None:
                errand.withhold()

    def _forget(self, submission: Request) -> None:
        closed = submission.client is None and not submission.out()
        if closed and self.submissions.remove(submission.number) is not None:
            self.body_bytes -= len(submission.body)

    def _overdue(self, submission: Request) -> None:
        if submission.client is not None:
            log_line(f"submission {submission.request_id} was not answered in time by the decisions")
            self._answer_for_decisions(submission)

    def _answer_for_decisions(self, submission: Request) -> None:
        """A fault or the end: what was never handed off or is redoable is nacked, the rest abandoned."""
        if submission.client is None:
            return
        if (
            submission.hand_offs
            and self.settings.classes[submission.grade].idempotency is not Idempotency.IDEMPOTENT
        ):
            self.fail(submission.number)
        else:
            self.reject(submission.number, 0)
        self.tell(self.dispatcher.client_disconnected, submission.number)
