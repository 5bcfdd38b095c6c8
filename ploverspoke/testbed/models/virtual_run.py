"""Virtual time: any number of dispatchers' decisions before the models, to the byte the same for a seed."""

from collections.abc import Callable
from functools import partial, wraps
from typing import Any

from ploverspoke.decisions.interface import (
    AttemptOutcome,
    AttemptResult,
    Endpoint,
    EndpointCondition,
    EndReason,
)
from ploverspoke.decisions.settings import Settings
from ploverspoke.routing.request_classes import RequestClassTable
from ploverspoke.service.settings import parse_settings

from ..experiment_files.durations import MILLISECOND, SECOND
from ..experiment_files.errors import ExperimentError
from ..experiment_files.experiment import Experiment
from ..experiment_files.fault_tables import SettingsChange
from ..models.dispatcher_outages import dispatcher_outages
from . import event_records
from .baseline_policies import POLICIES
from .clients import ClientRequest, Clients
from .deployment_settings import dispatcher_settings
from .discovery import DiscoveryCall, DiscoveryModel, EndpointEntry
from .event_records import Event, EventLog
from .faults import ConnectionFaults, DiscoveryFaults, StoreFaults, WorkerFaults, ZoneCuts
from .random_streams import RandomDraws, RandomStreams
from .request_schedule import draw_schedule
from .virtual_clock import AnyTimer, VirtualClock
from .worker import Execution, Worker
from .worker_fleet import RESET_WITHIN, IgnoringListener, WorkerFleet

PROBE_TIME_OUT = 250 * MILLISECOND
HOLD = 10 * SECOND  # of one watch
ANSWER_EARLY = 20 * MILLISECOND  # than the client gives up
ENDS = {"done": "satisfied", "failed": "worker_error", "returned": "full", "lost": "broken_off"}
SAYS_YES = 500 * MILLISECOND  # after its start, with a list that discovery has told
FINAL_CALM = 2 * SECOND  # after the last abandon time


def _endpoint(entry: EndpointEntry) -> Endpoint:
    condition = EndpointCondition(entry.condition)
    return Endpoint(entry.worker, entry.zone, entry.kind, entry.rack, condition, 1.0, entry.started_at)


class HandOff:
    """One hand-off of one dispatcher, from the choice to its end."""

    __slots__ = ("dispatcher", "index", "open", "reached", "run", "sent_at", "submission", "timers", "worker")

    def __init__(
        self, dispatcher: "VirtualDispatcher", submission: "Taken", index: int, worker: Worker
    ) -> None:
        self.dispatcher = dispatcher
        self.submission = submission
        self.index = index
        self.worker = worker
        self.sent_at = dispatcher.clock.time
        self.open = True
        self.reached = False  # its last byte is on its way on a connection that is up
        self.run: Execution | None = None
        self.timers: list[AnyTimer] = []

    # What the worker tells travels back to the dispatcher.

    def run_started(self, run: Execution) -> None:
        self._back(self.dispatcher.started, self)

    def run_progressed(self, run: Execution, share: float) -> None:
        self._back(self.dispatcher.progressed, self, share)

    def run_ended(self, run: Execution, how: str) -> None:
        self._back(self.dispatcher.ended, self, ENDS[how])

    def _back(self, call: Callable[..., None], *what: Any) -> None:
        if self.open and not self.dispatcher.world.is_cut(self.dispatcher.zone, self.worker.zone):
            clock = self.dispatcher.clock
            clock.at(
                clock.time + self.dispatcher.world.one_way(self.dispatcher.zone, self.worker.zone),
                call,
                *what,
            )


class Taken:
    """A submission that a dispatcher has taken."""

    __slots__ = ("answered", "grade", "hand_offs", "number", "request")

    def __init__(self, number: int, grade: int, request: ClientRequest) -> None:
        self.number = number
        self.grade = grade  # its number with this dispatcher
        self.request = request
        self.hand_offs: list[HandOff | None] = []
        self.answered = False


def held_while_paused(method: Callable[..., None]) -> Callable[..., None]:
    """What comes to a stopped process waits in its buffers and its timers, and is worked through in order."""

    @wraps(method)
    def come(self: "VirtualDispatcher", *what: Any) -> None:
        if self.paused:
            self.held.append((method, what))
        else:
            method(self, *what)

    return come


class VirtualDispatcher:
    """The host of one dispatcher's decisions."""

    def __init__(self, world: "VirtualRun", number: int, policy: str, start: int) -> None:
        self.world = world
        self.clock = world.clock
        self.number = number
        self.zone = number % len(world.e.zones())
        self.alive = True
        self.leaving = False
        self.paused = 0  # by so many troubles
        self.held: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self.next = 1
        self.taken: dict[int, Taken] = {}
        self.resting: dict[str, int] = {}  # connections, by worker
        self.version: int | None = None
        self.draws: RandomDraws = world.streams.draws(f"network {number} {start}")
        seed = world.streams.seed * 1_000_003 + number * 7919 + start
        true_load = partial(world.true_load, self.zone) if policy == "all-seeing" else None
        self.settings = world.settings[self.zone]
        self.rows = RequestClassTable([g.name for g in world.e.request_classes])
        self.decisions = POLICIES[policy](self, seed, self.settings, true_load)
        self._tell_roster(world.first_list)
        self.decisions.started()

    def settings_changed(self, settings: Settings) -> None:
        names, in_use = [g.name for g in self.world.e.request_classes], {t.grade for t in self.taken.values()}
        self.settings, takes_over = self.rows.apply(self.settings, settings, names, in_use)
        self.decisions.settings_changed(self.settings, takes_over)

    # ---- From clients ----

    @held_while_paused
    def arrived(self, request: ClientRequest) -> None:
        job = request.job
        grade = self.rows.numbers[self.world.e.request_classes[job.request_class].name]
        taken = Taken(self.next, grade, request)
        self.next += 1
        self.taken[taken.number] = taken
        patience = request.abandon_at - self.clock.time
        abandon_at = request.abandon_at - min(ANSWER_EARLY, max(0, patience) // 10)
        self.decisions.request_arrived(taken.number, grade, job.slots, abandon_at, 0, job.affinity_key)

    @held_while_paused
    def left(self, request: ClientRequest) -> None:
        for taken in self.taken.values():
            if taken.request is request and not taken.answered:
                taken.answered = True
                self.decisions.client_disconnected(taken.number)
                self._forget(taken)
                return

    # ---- The host ----

    def now(self) -> int:
        return self.clock.time

    def start_attempt(self, submission_id: int, worker: str, time_out: int) -> None:
        taken = self.taken.get(submission_id)
        if taken is None or taken.answered:
            return
        there = self.world.fleet.workers[worker]
        hand_off = HandOff(self, taken, len(taken.hand_offs), there)
        taken.hand_offs.append(hand_off)
        clock, world = self.clock, self.world
        now = clock.time
        hand_off.timers.append(clock.at(now + time_out, self.ended, hand_off, "timed_out"))
        one_way = world.one_way(self.zone, there.zone)
        cut = world.is_cut(self.zone, there.zone)
        if self.resting.get(worker, 0) > 0:
            self.resting[worker] -= 1
            if world.shares(world.connections.drops, worker, self.draws):
                hand_off.timers.append(clock.at(now + 2 * one_way, self.ended, hand_off, "broken_off"))
            elif not cut:
                hand_off.timers.append(clock.at(now + one_way, self._reaches, hand_off))
        elif cut or there.frozen:
            hand_off.timers.append(
                clock.at(now + world.e.network.connect_timeout, self.ended, hand_off, "unreachable")
            )
        elif not there.up:
            hand_off.timers.append(clock.at(now + 2 * one_way, self.ended, hand_off, "unreachable"))
        else:
            hand_off.timers.append(clock.at(now + 3 * one_way, self._reaches, hand_off))

    def _reaches(self, hand_off: HandOff) -> None:
        world, worker = self.world, hand_off.worker
        if not hand_off.open or world.is_cut(self.zone, worker.zone):
            return
        if not worker.up:
            self.ended(hand_off, "unreachable")
            return
        request = hand_off.submission.request
        hand_off.reached = True
        run = hand_off.run = Execution(request.id, request.job, self.number, hand_off, request.label)
        if world.shares(world.connections.silences, worker.name, self.draws):
            run.listener = world.nobody
            if self.draws.happens(0.5):
                return
        elif world.shares(world.connections.resets, worker.name, self.draws):
            after = int(self.draws.fraction() * RESET_WITHIN)
            hand_off.timers.append(self.clock.at(self.clock.time + after, self._reset, hand_off))
        worker.take(run)

    def _reset(self, hand_off: HandOff) -> None:
        if hand_off.open:
            self._cancel_there(hand_off)
            self.ended(hand_off, "broken_off")

    def cancel_attempt(self, submission_id: int, hand_off: int) -> None:
        taken = self.taken.get(submission_id)
        out = taken.hand_offs[hand_off] if taken is not None else None
        if out is not None:
            self._close(out)
            self.clock.at(self.clock.time, self._tell_end, out, "recalled" if out.reached else "not_sent")

    def reject(
        self, submission_id: int, come_back_after: int, reason: EndReason = EndReason.NOT_STATED
    ) -> None:
        self._answer(submission_id, "nacked", come_back_after)

    def fail(self, submission_id: int, reason: EndReason = EndReason.NOT_STATED) -> None:
        self._answer(submission_id, "abandoned")

    def wake_at(self, token: int, when: int) -> None:
        self.clock.at(when, self._woken, token)

    @held_while_paused
    def _woken(self, token: int) -> None:
        if self.alive:
            self.decisions.timer_fired(token)

    def probe(self, worker: str) -> None:
        there = self.world.fleet.workers[worker]
        now, one_way = self.clock.time, self.world.one_way(self.zone, there.zone)
        silent = there.frozen or self.world.is_cut(self.zone, there.zone)
        if silent:
            self.clock.at(now + PROBE_TIME_OUT, self._probed, worker, "timed_out", now, False)
        elif not there.up:
            self.clock.at(now + 2 * one_way, self._probed, worker, "unreachable", now, False)
        else:
            self.clock.at(now + one_way, self._probe_there, there, now)

    def _probe_there(self, there: Worker, sent_at: int) -> None:
        back = self.clock.time + self.world.one_way(self.zone, there.zone)
        self.clock.at(back, self._probed, there.name, "satisfied", sent_at, True)

    @held_while_paused
    def _probed(self, worker: str, outcome: str, sent_at: int, reports: bool) -> None:
        if self.alive:
            told = self.world.fleet.workers[worker].report() if reports else None
            load = None if told is None else {"waiting": told["backlog"], "free_slots": told["x0"]}
            self.decisions.probe_completed(worker, AttemptOutcome(outcome), self.clock.time - sent_at, load)

    def watch_endpoints(self) -> None:
        self.clock.at(self.clock.time + self.world.e.network.same_zone, self._call_roster)

    @held_while_paused
    def _call_roster(self) -> None:
        if self.alive:
            # A look at the whole list starts each watch, as on sockets.
            self.world.roster.call(DiscoveryCall(self.number, self.version, self._roster_said), HOLD)

    def _roster_said(self, told: tuple[int, bool, list[EndpointEntry]] | None) -> None:
        self.clock.at(self.clock.time + self.world.e.network.same_zone, self._tell_roster, told)

    @held_while_paused
    def _tell_roster(self, told: tuple[int, bool, list[EndpointEntry]] | None) -> None:
        if not self.alive:
            return
        if told is None:
            self.version = None
            self.decisions.endpoint_watch_failed()
            return
        first = self.version is None and told is self.world.first_list
        self.version, whole, entries = told
        listings = [_endpoint(entry) for entry in entries]
        if whole:
            self.decisions.endpoint_list_received(listings)
        else:
            self.decisions.endpoints_changed(listings)
        if not first:
            self._call_roster()

    def log(self, line: str) -> None:
        pass

    # ---- What becomes of hand-offs ----

    @held_while_paused
    def started(self, hand_off: HandOff) -> None:
        if hand_off.open and self.alive:
            self.decisions.attempt_started(hand_off.submission.number, hand_off.index)

    @held_while_paused
    def progressed(self, hand_off: HandOff, share: float) -> None:
        if hand_off.open and self.alive:
            self.decisions.attempt_progressed(hand_off.submission.number, hand_off.index, share)

    @held_while_paused
    def ended(self, hand_off: HandOff, outcome: str) -> None:
        if not hand_off.open or not self.alive:
            return
        if outcome in ("satisfied", "worker_error", "full"):
            self.resting[hand_off.worker.name] = self.resting.get(hand_off.worker.name, 0) + 1
            hand_off.open = False
            for timer in hand_off.timers:
                timer.call_off()
        else:
            self._close(hand_off)
        self._tell_end(hand_off, outcome)

    @held_while_paused
    def _tell_end(self, hand_off: HandOff, outcome: str) -> None:
        taken = hand_off.submission
        if not self.alive or taken.hand_offs[hand_off.index] is None:
            return
        taken.hand_offs[hand_off.index] = None
        if outcome == "satisfied":
            self._answer(taken.number, "satisfied")
        elapsed = self.clock.time - hand_off.sent_at
        result = AttemptResult(hand_off.worker.name, AttemptOutcome(outcome), elapsed, taken.answered)
        self.decisions.attempt_ended(taken.number, hand_off.index, result)
        self._forget(taken)

    def _close(self, hand_off: HandOff) -> None:
        """Close its connection: the worker hears of it a little later."""
        if hand_off.open:
            hand_off.open = False
            for timer in hand_off.timers:
                timer.call_off()
            self._cancel_there(hand_off)

    def _cancel_there(self, hand_off: HandOff) -> None:
        run, worker = hand_off.run, hand_off.worker
        if run is None:
            return
        # The network's own word: a worker behind a cut sees no end of the connection.
        self.world.seen.add(
            Event(
                self.clock.time,
                event_records.ATTEMPT_CLOSED,
                run.submission,
                run.job.number,
                self.number,
                worker.name,
                run.serial,
            )
        )
        if not self.world.is_cut(self.zone, worker.zone):
            self.clock.at(
                self.clock.time + self.world.one_way(self.zone, worker.zone), self._cancelled, run, worker
            )

    @staticmethod
    def _cancelled(run: Execution, worker: Worker) -> None:
        if worker.up:
            worker.cancel(run)

    def _answer(self, number: int, how: str, come_back_after: int = 0) -> None:
        taken = self.taken.get(number)
        if taken is None or taken.answered:
            return
        taken.answered = True
        self.world.answer(taken.request, how, come_back_after)
        for hand_off in taken.hand_offs:
            if hand_off is not None and not hand_off.reached:
                self.cancel_attempt(number, hand_off.index)
        self._forget(taken)

    def _forget(self, taken: Taken) -> None:
        if taken.answered and not any(taken.hand_offs):
            self.taken.pop(taken.number, None)

    # ---- Pauses, and its own end ----

    def pause(self) -> None:
        self.paused += 1

    def resume(self) -> None:
        self.paused -= 1
        while self.held and not self.paused:
            method, what = self.held.pop(0)
            method(self, *what)

    def die(self) -> None:
        """SIGKILL: its connections are reset, to workers and to clients."""
        self.alive = False
        self.held.clear()
        for taken in self.taken.values():
            for hand_off in taken.hand_offs:
                if hand_off is not None:
                    self._close(hand_off)
            if not taken.answered:
                self.world.answer(taken.request, "broken", 0)
        self.taken.clear()


class VirtualRun:
    """One run of one experiment under one policy and one seed."""

    def __init__(self, e: Experiment, seed: int, policy: str) -> None:
        self.e = e
        self.policy = policy
        self.clock = VirtualClock()
        self.seen = EventLog()
        self.streams = RandomStreams(seed)
        zones = e.zones()
        self.fleet = WorkerFleet(e, seed, self.clock, self.seen)
        self.nobody = IgnoringListener()
        self.roster = DiscoveryModel(e.discovery, self.clock, self.seen, self.streams.draws("discovery"))
        for name, worker in self.fleet.workers.items():
            self.roster.enter(
                EndpointEntry(name, worker.zone, worker.kind, self.fleet.rack_of[name], "ready", 0)
            )
        self.first_list = (1, True, list(self.roster.entries.values()))
        self.connections = ConnectionFaults()
        self.cuts = ZoneCuts(e, self.clock)
        self.roster.unreached = lambda dispatcher: not self.cuts.reaches_discovery(dispatcher % len(zones))
        self.latency = [[e.one_way(a, b) for b in range(len(zones))] for a in range(len(zones))]
        self.settings = self._current_settings()
        for t in e.faults:
            if isinstance(t, SettingsChange):
                self.clock.at(t.start, self._change_settings)
                self.clock.at(t.start + t.duration, self._change_settings)
        workers = list(self.fleet.workers.values())
        if e.timeline or e.dispatchers.gossip:
            key = "timeline" if e.timeline else "dispatchers.talk"
            raise ExperimentError(f"{key}: played on sockets only")
        self.fleet_troubles = WorkerFaults(
            e, seed, self.clock, workers, self.connections, self._worker_died, _nothing
        )
        roster_troubles = DiscoveryFaults(e, seed, self.clock, self.roster)
        self.fleet_troubles.on_fall = roster_troubles.fell
        self.fleet_troubles.on_back = roster_troubles.back
        StoreFaults(e, self.clock, self.fleet.store)
        self.dispatchers = [VirtualDispatcher(self, n, policy, 0) for n in range(e.dispatchers.count)]
        self.outgoing: list[VirtualDispatcher] = []  # replaced, and not ended yet
        self.starts = [0] * e.dispatchers.count
        if e.dispatchers.store:
            raise ExperimentError("dispatchers.store: a store is played on sockets only")
        for begin, end, number, how in dispatcher_outages(e, seed):
            if how == "paused":
                self.clock.at(begin, self._pause, number, end)
                continue
            if how == "replaced":
                self.clock.at(begin, self._start_beside, number, end)
                continue
            self.clock.at(begin, self._leave if how == "restarted" else self._kill, number)
            self.clock.at(end, self._restart, number)
        self.clients = Clients(
            e, seed, draw_schedule(e, seed), self.clock, self.seen, self._send, self._client_closed
        )
        self.clients.start()

    def run(self, told: Callable[[int], None] | None = None) -> list[Event]:
        """To the end and until all that was taken must be answered; `told` hears the time once a second."""
        end = self.e.duration + max(g.deadline for g in self.e.request_classes) + FINAL_CALM
        for second in range(SECOND, end + SECOND, SECOND):
            self.clock.run(min(second, end))
            if told is not None:
                told(self.clock.time)
        return self.seen.events

    # ---- The network ----

    def one_way(self, one: int, other: int) -> int:
        return self.latency[one][other]

    def is_cut(self, one: int, other: int) -> bool:
        return bool(self.cuts.cut) and self.cuts.between(one, other)

    def shares(self, of: dict[str, dict[int, float]], worker: str, draws: RandomDraws) -> bool:
        return bool(of) and draws.happens(ConnectionFaults.share(of, worker))

    def true_load(self, zone: int, worker: str) -> float:
        """For the all-seeing baseline; what cannot be reached from that zone comes last."""
        there = self.fleet.workers[worker]
        reachable = there.up and not there.frozen and not self.is_cut(zone, there.zone)
        return there.load() / there.speed if reachable else 1e9

    # ---- Clients ----

    def _send(self, request: ClientRequest) -> None:
        dispatcher = self.dispatchers[request.dispatcher]
        if not dispatcher.alive or dispatcher.leaving:
            self.clock.at(
                self.clock.time + 2 * self.e.network.client_to_dispatcher, self.clients.never_taken, request
            )
        else:
            self.clock.at(
                self.clock.time + self.e.network.client_to_dispatcher, self._arrives, request, dispatcher
            )

    def _arrives(self, request: ClientRequest, dispatcher: VirtualDispatcher) -> None:
        if request.over:
            return
        if not dispatcher.alive:
            self.clients.never_taken(request)
            return
        self.clients.taken(request)
        dispatcher.arrived(request)

    def _client_closed(self, request: ClientRequest) -> None:
        for process in self._processes():
            if process.alive and process.number == request.dispatcher:
                self.clock.at(
                    self.clock.time + self.e.network.client_to_dispatcher, self._client_gone, request, process
                )

    def _client_gone(self, request: ClientRequest, dispatcher: VirtualDispatcher) -> None:
        if dispatcher.alive:
            dispatcher.left(request)

    def answer(self, request: ClientRequest, how: str, come_back_after: int) -> None:
        self.clock.at(
            self.clock.time + self.e.network.client_to_dispatcher,
            self._answered,
            request,
            how,
            come_back_after,
        )

    def _answered(self, request: ClientRequest, how: str, come_back_after: int) -> None:
        self.clients.answered(request, how, come_back_after)

    # ---- Troubles ----

    def _worker_died(self, worker: Worker) -> None:
        for process in self._processes():
            process.resting.pop(worker.name, None)

    def _pause(self, number: int, end: int) -> None:
        """SIGSTOP. One that is killed meanwhile, and its next process, hear nothing of the SIGCONT."""
        dispatcher = self.dispatchers[number]
        dispatcher.pause()
        self.clock.at(end, dispatcher.resume)

    def _kill(self, number: int) -> None:
        if self.dispatchers[number].alive:
            self.seen.add(Event(self.clock.time, event_records.DISPATCHER_KILLED, dispatcher=number))
            self.dispatchers[number].die()

    def _leave(self, number: int) -> None:
        """SIGTERM: no new connections; what was taken is finished, for as long as the longest abandon
        time.
        """
        dispatcher = self.dispatchers[number]
        if dispatcher.alive and not dispatcher.leaving:
            self.seen.add(Event(self.clock.time, event_records.DISPATCHER_TERMINATING, dispatcher=number))
            dispatcher.leaving = True

    def _processes(self) -> list[VirtualDispatcher]:
        return self.dispatchers + self.outgoing

    def _start_beside(self, number: int, until: int) -> None:
        """The second process begins; clients' connections are its own from when it says that it serves."""
        if self.dispatchers[number].alive:
            self.starts[number] += 1
            second = VirtualDispatcher(self, number, self.policy, self.starts[number])
            self.clock.at(self.clock.time + SAYS_YES, self._replace, number, second, until)

    def _replace(self, number: int, second: VirtualDispatcher, until: int) -> None:
        first, self.dispatchers[number] = self.dispatchers[number], second
        self.outgoing.append(first)
        self._end_replaced(first, until)

    def _end_replaced(self, first: VirtualDispatcher, until: int) -> None:
        waited_for = any(not t.answered for t in first.taken.values())
        if waited_for and self.clock.time < until:
            self.clock.at(self.clock.time + 20 * MILLISECOND, self._end_replaced, first, until)
            return
        self.outgoing.remove(first)
        first.die()

    def _current_settings(self) -> list[Settings]:
        told = range(min(len(self.e.zones()), self.e.dispatchers.count))
        return [parse_settings(dispatcher_settings(self.e, n, self.clock.time)) for n in told]

    def _change_settings(self) -> None:
        self.settings = self._current_settings()
        for process in self._processes():
            if process.alive:
                process.settings_changed(self.settings[process.zone])

    def _restart(self, number: int) -> None:
        old = self.dispatchers[number]
        if old.alive and old.leaving:
            if any(not t.answered for t in old.taken.values()):
                self.clock.at(self.clock.time + 100 * MILLISECOND, self._restart, number)
                return
            old.alive = False
        elif old.alive:
            return
        self.starts[number] += 1
        self.seen.add(Event(self.clock.time, event_records.DISPATCHER_STARTED, dispatcher=number))
        self.dispatchers[number] = VirtualDispatcher(self, number, self.policy, self.starts[number])


def _nothing(worker: Worker) -> None:
    pass


def run_virtual_time(
    e: Experiment, seed: int, policy: str, told: Callable[[int], None] | None = None
) -> list[Event]:
    return VirtualRun(e, seed, policy).run(told)
