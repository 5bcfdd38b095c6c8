"""Every decision of one dispatcher.

A host builds one `Dispatcher` with itself, a seed and the settings, then calls one method for each thing that
happens, under "What can happen" below. The dispatcher acts by calling the host, whose interface is
`ploverspoke/decisions/interface.py`; `docs/design.md` says where each part comes from. Nothing here knows a
wire; two dispatchers share nothing but what they tell.
"""

from bisect import insort
from collections import defaultdict, deque
from collections.abc import Iterable, Mapping
from itertools import islice
from math import ceil, exp, log
from typing import Any
from zlib import crc32

from .interface import (
    AttemptOutcome,
    AttemptResult,
    DispatchActions,
    Endpoint,
    EndpointCondition,
    LoadGossip,
    LoadReport,
    never_ran,
)
from .random_numbers import RandomNumbers
from .settings import Idempotency, RetryScope, Settings

MILLISECOND = 1_000_000
SECOND = 1_000_000_000

TICKS_PER_ARRIVAL = 5  # the shared clock's rate, in our arrival rate
EPSILON = 0.5
FIRST_ROOM = 2.0  # slots a worker is believed to hold before it has taught us more
WAITS_TO_RETURN = 2  # a slot of a cut room returns in so many times the wait that cut it, at least
LONGEST_DRIFT = 30 * SECOND
PROMPT_START = 3  # a start is prompt within this many times the zone's quickest start note...
PROMPT_START_SLACK = 10 * MILLISECOND  # ...and this
PATIENCE = 0.5  # share of its slack that a submission may wait here
NEAR_HEAD = 16  # how far from its head a queue is searched for a subject that saves a fetch
SUBJECTS_KEPT = 2000  # whose order of workers is kept
SET_ASIDE = 8 * SECOND  # plus a random part of up to half of it
ERRORS_KEPT, ERRORS_BAD = 8, 2  # so many errors among a worker's last ends set it aside
ASIDE_SHARE = 3  # at most one in so many workers is set aside at once
COLD_PART = 0.5  # of what a cold worker can bear
LOST_AFTER = 3  # mean running times after which a hand-off without a start no longer speaks of a full worker
WAIT_OVER_LATEST = 2  # a wait so many times as long as any of the latest starts took is read as silence
LOOK_AT_ALL_EVERY = 20 * MILLISECOND
LOOK_AGAIN = 100 * MILLISECOND  # at a hand-off that has not started
PACES_OF_KIND = 1  # weight of its kind's pace beside a worker's own samples
ASKING_COST = 0.006  # points of service that asking before hand-offs may cost
MOST_ASKED = 8.0  # probes for one submission on average, whatever their price
ASK_ROUNDS = 3  # for one submission, while nobody answers that it has room
SAVED_ASKING = 4  # submissions' worth of probes, and of hand-offs taken back, that can be saved up
RECALLING_COST = 0.02  # points of service that hand-offs taken back may cost, should they run all the same
PROMPT_ANSWER = 50 * MILLISECOND  # to a probe, while no answer was seen
KNOWN = SECOND  # workers heard of since then need not be asked
FRESH = 300 * MILLISECOND  # a report that arrived since then need not be asked for again
REPORT_AGE = SECOND  # a report may be so old: what we sent since may not be in it
TICKS_IN_EXPECTED = 4  # the clock's least rate: so many ticks in the shortest expected time
ROSTER_CALL, LONGEST_PAUSE = 125 * MILLISECOND, 3 * SECOND  # the roster's time for a call; ours between two
MOST_REFUSED = 0.9  # chance of a refusal on arrival
LATENESS_BORNE = 0.3  # the mean wait of starts, in parts of what can be borne, up to which none is refused
LATE_STARTS = 16  # of which that mean is taken
SHARE_KNOWN = 150  # arrivals after which a subject's share of them is believed
HOME_LOAD = 0.75  # of a mean worker's load that one home of a subject takes
MORE_HOMES = 2  # where the homes have no room
TELL_AFTER = 40 * MILLISECOND  # a change, so that those of one moment are told together
TELL_AGAIN = 2 * SECOND  # where nothing changes
TOLD_FADES = 5 * SECOND
TELLING_COST = 0.02  # points of service that tellings may cost
MUCH_LESS = 0.5  # late than our own zone another must be to be sent to
FAR_TOLD = 2  # dispatchers of other zones, drawn by chance, that hear each telling too
TELLING_PART = 16 / 256  # of a full message, for a submission and receiver


class Worker:
    """What this dispatcher knows of one worker."""

    def __init__(self, listing: Endpoint) -> None:
        self.name = listing.worker
        self.endpoint = listing
        self.ready = False
        self.drained = False  # shown draining since it was last ready
        self.in_flight = 0.0  # slots of ours
        self.others = 0.0  # slots that other dispatchers told of
        self.room = FIRST_ROOM
        self.room_before_cut = FIRST_ROOM
        self.room_at = 0  # when the room last drifted
        self.drift_time = 1.0 * SECOND  # in which it drifts by one slot
        self.out: dict[int, Request] = {}  # our hand-offs there, by submission
        self.unstarted: dict[int, int] = {}  # those of which no start is known, and when they were sent
        self.started_sent_at = 0  # when the latest of ours that has started was sent
        self.running = 0.0  # slots of ours known to have started
        self.placeholders: deque[tuple[JobType, int]] = deque()  # type and end
        self.ejected = False
        self.proven = False  # set aside not by a guess: it could not be reached
        self.trial_until = 0  # back from being set aside, with no start seen since
        self.heard_at = 0  # its last word on any hand-off of ours
        self.errors: deque[bool] = deque(maxlen=ERRORS_KEPT)  # whether our last hand-offs ended in an error
        self.paces: deque[float] = deque(maxlen=8)  # running times there over the grade's mean
        self.warm_at = 0
        self.cold_credit = 0.0  # slots times nanoseconds that it may get while it is cold
        self.cold_credit_at = 0
        self.probed_for = ""  # "room", "return" or "life" while a probe of ours is out
        self.waiting = self.free = 0.0  # as last reported
        self.reported_at = 0


class JobType:
    """The first-come queue of one slot count and worker kind."""

    def __init__(self, slots: float, machine_kind: int) -> None:
        self.slots = slots
        self.machine_kind = machine_kind
        self.queue: deque[Request] = deque()
        self.running_times: deque[int] = deque(maxlen=16)
        self.barren_until = 0  # no worker was roomy for it a moment ago
        self.asked: list[Worker] = []  # who was asked for room for the head
        self.asked_until = 0

    def mean_running_time(self) -> int:
        return sum(self.running_times) // len(self.running_times) if self.running_times else 0


class Request:
    """One submission taken and not yet answered."""

    def __init__(self, number: int, grade: int, job_type: JobType, arrived: int, abandon_at: int) -> None:
        self.id = number
        self.grade = grade
        self.type = job_type
        self.arrived = arrived
        self.abandon_at = abandon_at
        self.subject = ""
        self.timely_until = abandon_at  # started later it is expected to be overdue
        self.last_start = abandon_at  # the patience with which it waits for that
        self.last_chance = abandon_at  # nothing is sent from here on; a bound repeat must be sent before it
        self.attempts = 0
        self.at: Worker | None = None  # where it is out now
        self.back_from: Worker | None = None  # where its last hand-off failed
        self.sent_at = 0
        self.started_at = 0
        self.recalled = False
        self.waited_too_long = False  # longer for its start than it could afford
        self.heard_at = 0  # its worker's last word on it
        self.look_at = 0  # when it is next looked after
        self.rounds = 0  # in which workers were asked for it
        self.far = False  # others wait already where it was asked for: other zones may be drawn too
        self.in_use = 0.0  # our slots on its worker when it was sent, with its own
        self.group: tuple[str, int] | None = None  # a repeat must stay in here


class Dispatcher:
    def __init__(self, host: DispatchActions, seed: int, settings: Settings) -> None:
        self.host = host
        self._apply_settings(settings)
        self.random = RandomNumbers(seed)
        self.workers: dict[str, Worker] = {}
        self.types: dict[tuple[float, int], JobType] = {}
        self.open_requests: dict[int, Request] = {}
        # Hand-offs spent, where it may have run, since when.
        self.resumed: dict[int, tuple[int, str, int]] = {}
        self.warm_load = 0.0  # slots of ours running on a warm worker, on average
        self.warm_load_at = -SECOND
        self.mean_running_time = 0  # 0: to be worked out anew
        self.arrivals: deque[int] = deque(maxlen=32)
        self.grade_running_times: dict[int, deque[int]] = defaultdict(lambda: deque(maxlen=32))
        self.calm: dict[int, int] = {}  # the shortest mean running time seen
        self.asked_times: dict[int, deque[int]] = defaultdict(lambda: deque(maxlen=32))
        self.start_lags: dict[int, deque[int]] = defaultdict(lambda: deque(maxlen=32))
        self.late_starts: deque[float] = deque(maxlen=LATE_STARTS)  # waits over the wait that can be borne
        self.subjects: deque[str] = deque(maxlen=512)  # of our latest arrivals
        self.clock_runs = False
        self.lines_left = 40  # for the person on call; a flood would hide what matters
        self.roster_failures = 0
        self.answer_times: dict[int, deque[int]] = defaultdict(lambda: deque(maxlen=32))
        self.kind_paces: dict[int, deque[float]] = defaultdict(lambda: deque(maxlen=64))
        # Slots free at once, as reported, by machine kind.
        self.most_free: dict[int, float] = defaultdict(float)
        # Probes that may be sent before hand-offs; hand-offs that may be taken back from sound workers.
        self.may_ask, self.may_recall = 0.0, 1.0
        self.asked_at = 0
        self.tiers: dict[Any, list[list[Worker]]] = {}  # who can be drawn, kept until readiness changes
        # The last telling of each dispatcher, oldest first: number, time, who was named, lateness.
        self.told_by: dict[int, tuple[int, int, list[Worker], float, int]] = {}  # and zone
        self.near: list[int] = []  # dispatchers of our zone, in order
        self.far: list[int] = []  # and of the others
        self.busy: dict[str, Worker] = {}  # workers where we have slots in flight
        self.told = 0  # our own tellings
        self.last_telling: list[str] = []
        self.told_at = -TELL_AGAIN
        self.telling_at = 0  # when the next is due; 0: none is
        self.due: dict[int, Request | Worker | JobType | str] = {}
        self.next_token = 1

    def _apply_settings(self, settings: Settings) -> None:
        """With what follows from them; grades that are no longer in force have no part in that."""
        self.settings = settings
        in_force = settings.active_classes
        self.highest_weight = max(self.settings.classes[g].priority_weight for g in in_force) or 1.0
        self.shortest_expected_time = max(
            MILLISECOND, min(self.settings.classes[g].latency_objective for g in in_force)
        )
        self.needed_kinds = {self.settings.classes[g].machine_kind for g in in_force}
        self.never_ran = never_ran(self.settings.full_may_have_run)
        self.any_idempotent = any(
            self.settings.classes[g].idempotency is not Idempotency.NON_IDEMPOTENT for g in in_force
        )
        # Each receiver is paid for: a telling goes to so many next ones in the ring of our zone's
        # dispatchers, and the others' slots are taken for as many times those that are heard of.
        self.tells = max(1, int(TELLING_COST / max(1e-6, TELLING_PART * self.settings.gossip_cost)))
        self.asks_each = min(MOST_ASKED, ASKING_COST / max(1e-9, self.settings.probe_cost))  # submission
        self.recalls_each = RECALLING_COST / max(1e-9, self.settings.waste_cost)  # submission

    # ---- What can happen ----

    def started(self) -> None:
        """All that is known at the start has been told; from now on the roster is followed.

        Who knows of workers calls at a random moment: dispatchers that were started together would find
        one another in the roster's queue, and a call that is turned away there has taken its time too.
        """
        if self.settings.gossip_allowed:
            self._tell(self.host.now(), to_all=True)
            self._wake("tell all", self.host.now() + TELL_AGAIN)
        if self.settings.discovery_polling and self.workers:
            self._wake("watch", self.host.now() + int(self.random.fraction() * self._calls_of_all()))
        elif self.settings.discovery_polling:
            self.host.watch_endpoints()

    def settings_changed(self, settings: Settings, takes_over: Mapping[int, int]) -> None:
        """They bind what arrives from now on; a new grade number may take over the times known of another."""
        for grade in set(settings.active_classes) - set(self.settings.active_classes):
            known = self.grade_running_times[takes_over[grade]] if grade in takes_over else ()
            self.grade_running_times[grade] = deque(known, maxlen=32)
            self.asked_times.pop(grade, None)
            self.calm.pop(grade, None)
        self._apply_settings(settings)
        self.tiers.clear()

    def request_arrived(
        self,
        request_id: int,
        request_class: int,
        slots: float,
        deadline: int,
        work_hint: int,
        affinity_key: str,
    ) -> None:
        """The ordinary path, from top to bottom."""
        grade, abandon_at, subject = request_class, deadline, affinity_key
        now = self.host.now()
        self.arrivals.append(now)
        self._fade(now)
        self.may_ask = min(self.may_ask + self.asks_each, SAVED_ASKING * self.asks_each)
        self.may_recall = min(self.may_recall + self.recalls_each, SAVED_ASKING * (1 + self.recalls_each))
        job_type = self._job_type(slots, self.settings.classes[grade].machine_kind)
        job = Request(request_id, grade, job_type, now, abandon_at)
        job.subject = subject
        if subject:
            self.subjects.append(subject)
        job.last_chance = abandon_at - self.settings.batch_interval
        job.last_start = self._last_timely_start(job, now, work_hint)
        self.open_requests[request_id] = job
        if request_id in self.resumed:
            self._resume(job, *self.resumed.pop(request_id))
        if now >= job.last_chance or self._refuses(job, now):
            self._finish_unsatisfied(job)
            return
        # A placeholder of ours of this type gives up its place.
        drawn = self._worker_with_placeholder(job_type, now)
        # A type without backlog takes a tick at once.
        if not drawn and not job_type.queue:
            drawn = self._draw_two(job_type, now, job)
        asks = self._asks(job, drawn, now)
        if drawn and not asks:
            self._hand_off(job, self._better(drawn, job), now)
            return
        # Else it waits its turn; answers, ticks and replacements draw from the queue's head.
        job_type.queue.append(job)
        if asks:
            self._ask(job, drawn, now)
        elif now >= job.last_start and self._gives_way(job):
            self._give_up_waiting(job)
            return
        self._wake(job, min(job.last_start, job.last_chance) if now < job.last_start else job.last_chance)
        self._run_clock(now)

    def request_resumed(self, request_id: int, attempts: int, may_have_run_on: str, sent_at: int) -> None:
        """The one that arrives next under this id was another's before, which handed it off so many times;
        `may_have_run_on` is the first worker that may have run it, "" where none may."""
        self.resumed[request_id] = (attempts, may_have_run_on, sent_at)

    def attempt_started(self, request_id: int, attempt: int) -> None:
        job = self.open_requests.get(request_id)
        if job is None or job.at is None or job.started_at or attempt != job.attempts - 1:
            return
        now = self.host.now()
        job.started_at = job.heard_at = now
        worker, wait = job.at, now - job.sent_at
        worker.heard_at = now
        worker.trial_until = 0
        # Workers have waiting rooms, so a full answer comes long after jobs stopped starting at once. A late
        # start is read as full: the room was what we had there without this job.
        if wait <= self._prompt_start(worker):
            worker.drift_time = max(MILLISECOND, worker.drift_time / 2)
            self._accepted(worker, job.in_use)
        else:
            job.waited_too_long = wait > job.last_start - job.arrived
            away = WAITS_TO_RETURN * wait if job.waited_too_long else 0
            self._cut_room(worker, worker.running + self._others(worker), away, now)
        worker.running += job.type.slots
        worker.started_sent_at = max(worker.started_sent_at, job.sent_at)
        worker.unstarted.pop(request_id, None)
        self.start_lags[worker.endpoint.zone].append(wait)
        self.late_starts.append(min(1.0, wait / self._shortest_slack()))

    def attempt_progressed(self, request_id: int, attempt: int, share_done: float) -> None:
        job = self.open_requests.get(request_id)
        if job is not None and job.at is not None and attempt == job.attempts - 1:
            job.heard_at = job.at.heard_at = self.host.now()

    def attempt_ended(self, request_id: int, attempt: int, result: AttemptResult) -> None:
        now = self.host.now()
        worker, outcome = self.workers[result.worker], result.outcome
        job = worker.out.pop(request_id, None)
        if job is None:
            return
        if outcome in (AttemptOutcome.SUCCEEDED, AttemptOutcome.WORKER_ERROR, AttemptOutcome.FULL):
            worker.heard_at = now
        worker.in_flight -= job.type.slots
        if not worker.out:
            self.busy.pop(worker.name, None)
        self._news(now)
        if job.started_at:
            worker.running -= job.type.slots
        worker.unstarted.pop(request_id, None)
        job.at = None
        if outcome is AttemptOutcome.SUCCEEDED:
            running_time = now - job.started_at if job.started_at else result.elapsed
            job.type.running_times.append(running_time)
            self.mean_running_time = 0
            if job.started_at:
                pace = min(4.0, running_time / (self._grade_running_time(job.grade) or running_time or 1))
                worker.paces.append(pace)
                self.kind_paces[worker.endpoint.machine_kind].append(pace)
                self.grade_running_times[job.grade].append(running_time)
            else:
                self._accepted(worker, job.in_use)
        elif outcome is AttemptOutcome.FULL:
            self._cut_room(worker, worker.in_flight + self._others(worker), 2 * worker.drift_time, now)
        elif outcome is AttemptOutcome.CANCELLED and not job.started_at and self._bound_to(job, worker):
            # It must stay in its group: its worker, as full as it was, got a copy of it again and again.
            self._cut_room(worker, worker.running, 0, now)
        elif outcome in (AttemptOutcome.UNREACHABLE, AttemptOutcome.BROKEN_OFF):
            self._doubt(worker, now)
        if outcome in (AttemptOutcome.SUCCEEDED, AttemptOutcome.WORKER_ERROR):
            worker.errors.append(outcome is AttemptOutcome.WORKER_ERROR)
        if outcome is AttemptOutcome.WORKER_ERROR and sum(worker.errors) >= ERRORS_BAD:
            self._set_aside(worker, now)
        if result.is_closed:
            self.open_requests.pop(request_id, None)
        if request_id in self.open_requests:
            self._decide_again(job, worker, outcome, now)
        # Where many dispatchers each keep one waiting, replacement would keep the queue long for good.
        if outcome is AttemptOutcome.SUCCEEDED and not job.waited_too_long:
            self._replace(job.type, worker, now)

    def client_disconnected(self, request_id: int) -> None:
        job = self.open_requests.pop(request_id, None)
        if job is not None and job.at is None and job in job.type.queue:
            job.type.queue.remove(job)

    def endpoint_list_received(self, listings: Iterable[Endpoint]) -> None:
        listings = list(listings)
        self.endpoints_changed(listings)
        shown = {listing.worker for listing in listings}
        absent = [w.endpoint for w in self.listed_workers() if w.name not in shown]
        self.endpoints_changed([listing._replace(condition=EndpointCondition.GONE) for listing in absent])

    def endpoints_changed(self, listings: Iterable[Endpoint]) -> None:
        self.roster_failures = 0
        for listing in listings:
            self._list(listing)

    def endpoint_watch_failed(self, is_rejected: bool = False) -> None:
        """Watch again after a wait that grows; after a rejection it leaves time for the calls of all."""
        self.roster_failures += 1
        self._say(f"roster lost, {self.roster_failures} in a row; asking again")
        lost, longest = min(self.roster_failures, 5), self.settings.discovery_poll_interval
        all_in = self._calls_of_all() if is_rejected else 0
        wait = max(min(250 * MILLISECOND << lost, longest // 4), min(all_in << lost - 1, longest * 2 // 3))
        wait = max(all_in, min(wait, LONGEST_PAUSE))
        self._wake("watch", self.host.now() + int(wait * (0.5 + self.random.fraction())))

    def _calls_of_all(self) -> int:
        """In which the roster can work through one call of each dispatcher."""
        return int(
            min(self.settings.dispatcher_count * ROSTER_CALL, self.settings.discovery_poll_interval // 2)
        )

    def probe_completed(
        self, worker_name: str, outcome: AttemptOutcome, elapsed: int, load: LoadReport | None
    ) -> None:
        now = self.host.now()
        worker = self.workers[worker_name]
        probed_for, worker.probed_for = worker.probed_for, ""
        if outcome is AttemptOutcome.SUCCEEDED and load:
            self._reported(worker, load, now)
        elif outcome is AttemptOutcome.SUCCEEDED:
            worker.heard_at = now
        if probed_for == "room":
            self._answered(worker, outcome, elapsed, now)
        elif probed_for == "life" and outcome in (
            AttemptOutcome.UNREACHABLE,
            AttemptOutcome.BROKEN_OFF,
            AttemptOutcome.TIMED_OUT,
        ):
            self._set_aside(worker, now, bounded=outcome is AttemptOutcome.TIMED_OUT)
            self._rescue(list(worker.out.values()), worker, worker.ejected, now)
        elif worker.ejected and outcome is AttemptOutcome.SUCCEEDED:
            self._take_back(worker)
        elif worker.ejected:
            self._wake(worker, now + self._aside_time())

    def timer_fired(self, token: int) -> None:
        what = self.due.pop(token, None)
        if what == "watch":
            self.host.watch_endpoints()
        elif what in ("tell", "tell all"):
            self._tell(self.host.now(), to_all=what == "tell all")
        elif what == "tick":
            self.clock_runs = False
            self._tick(self.host.now())
        elif isinstance(what, JobType):
            # Some that were asked have not answered in time, or none had to be asked again.
            if what.asked and self.host.now() >= what.asked_until:
                self._settle(what, self.host.now())
        elif isinstance(what, Worker) and what.ejected:
            # Set aside long enough: a probe, where permitted, spares the first job sent there again.
            if self.settings.probing_allowed and what.ready:
                what.probed_for = "return"
                self.host.probe(what.name)
            else:
                self._take_back(what)
        elif isinstance(what, Request) and what.id in self.open_requests:
            now = self.host.now()
            if what.at is not None:
                self._look_after(what, what.at, now)
            elif what.type.asked and now < what.last_chance:
                # The answers come first: they take no longer than a few round trips.
                self._wake(what, min(what.type.asked_until + MILLISECOND, what.last_chance))
            elif now >= what.last_chance or (now >= what.last_start and self._gives_way(what)):
                self._give_up_waiting(what)
            else:
                self._wake(what, what.last_chance)

    def gossip_received(self, peer: int, gossip: LoadGossip) -> None:
        """Another dispatcher tells where it has slots in flight, each named once: a hint and no more."""
        teller, zone, number, lateness, held = peer, *gossip
        now = self.host.now()
        known = self.told_by.get(teller)
        if not self.settings.gossip_allowed or teller == self.settings.dispatcher_index:
            return
        # Late ones and those that come twice: 0 is the first after a start, 255 is followed by 1.
        if known is not None and number and not 0 < (number - known[0]) % 255 < 128:
            return
        self._forget(teller)
        named = [self.workers[name] for name in held if name in self.workers]
        for worker in named:
            worker.others += 1
        self.told_by[teller] = number, now, named, lateness, zone
        seen = self.near if zone == self.settings.zone else self.far
        if teller not in seen:
            insort(seen, teller)
        if not number and teller in self.near:
            self.told_at = -TELL_AGAIN
            self._news(now)

    # ---- What can be asked ----

    def listed_workers(self) -> list[Worker]:
        """Those that the roster shows, ready or draining."""
        return [w for w in self.workers.values() if w.endpoint.condition is not EndpointCondition.GONE]

    def is_out_of_rotation(self, worker: Worker) -> bool:
        """Whether nothing would be handed to it now, had it room."""
        return not worker.ready or worker.ejected

    # ---- The mechanism ----

    def _tick(self, now: int) -> None:
        """Draw a type by exp(w); its head goes to a roomy worker, or an idle type leaves a placeholder."""
        weights = self._weights()
        shares = [exp(w) for w in weights]
        draw, drawn = self.random.fraction() * sum(shares), 0
        while drawn < len(shares) - 1 and draw >= shares[drawn]:
            draw -= shares[drawn]
            drawn += 1
        job_type = list(self.types.values())[drawn]
        if job_type.queue:
            self._serve(job_type, now)
        else:
            pair = self._draw_two(job_type, now, None)
            if pair:
                until = now + job_type.mean_running_time()
                self._better(pair, None).placeholders.append((job_type, until))
        self._run_clock(now)

    def _serve(self, job_type: JobType, now: int) -> None:
        """The head goes to the better of two drawn, or both are asked for it first."""
        if job_type.asked or now < job_type.barren_until:
            return
        # A head bound to its rack must not block those behind it when the rack has no room.
        for job in self._heads(job_type):
            drawn = self._draw_two(job_type, now, job)
            if drawn and self._asks(job, drawn, now):
                self._ask(job, drawn, now)
                return
            if drawn:
                job_type.queue.remove(job)
                self._hand_off(job, self._better(drawn, job), now)
                return
        job_type.barren_until = now + LOOK_AT_ALL_EVERY

    def _heads(self, job_type: JobType) -> list[Request]:
        """The head of a queue: those bound to a rack, up to the first that may go anywhere."""
        heads = []
        for job in islice(job_type.queue, NEAR_HEAD):
            heads.append(job)
            if job.group is None and not job.subject:
                break
        return heads

    def _run_clock(self, now: int) -> None:
        """The clock stands still while nothing waits: a tick could then only leave placeholders."""
        if self.clock_runs or not any(t.queue for t in self.types.values()):
            return
        self.clock_runs = True
        # With a submission every few seconds the arrivals alone would set a clock too slow for any of them.
        least = TICKS_IN_EXPECTED * SECOND / self.shortest_expected_time
        rate = max(TICKS_PER_ARRIVAL * self._arrival_rate(now), least)
        gap = -log(1.0 - self.random.fraction()) / rate
        self._wake("tick", now + min(int(gap * SECOND), SECOND))

    def _weights(self) -> list[float]:
        longest = max(len(t.queue) for t in self.types.values())
        smallest = min(t.slots for t in self.types.values()) or 1.0
        most_jobs = max(1.0, max((w.room for w in self.workers.values()), default=1.0) / smallest)
        least = EPSILON / (8 * most_jobs) * log(1 + longest)
        return [max(log(1 + len(t.queue)), least) for t in self.types.values()]

    def _replace(self, job_type: JobType, worker: Worker, now: int) -> None:
        """Our job was served: another of its type takes the place with chance 1 - exp(-w)."""
        if not worker.ready or worker.ejected or not any(t.queue for t in self.types.values()):
            return
        weight = self._weights()[list(self.types.values()).index(job_type)]
        if self.random.fraction() >= 1 - exp(-weight):
            return
        if not job_type.queue:
            worker.placeholders.append((job_type, now + job_type.mean_running_time()))
            return
        if self._has_waiting(worker, now):
            return
        # In a backlog most places are filled here; one whose subject is held here saves a fetch.
        nearest = list(islice(job_type.queue, NEAR_HEAD))
        fitting = [j for j in nearest if j.subject and worker in self._tiers(job_type.machine_kind, j)[0]]
        for job in fitting + self._heads(job_type):
            if self._allowed(worker, job_type, now, job):
                job_type.queue.remove(job)
                self._hand_off(job, worker, now)
                return

    def _draw_two(self, job_type: JobType, now: int, job: Request | None) -> list[Worker]:
        """Two drawn at random among the roomy of the first tier that has any; one, if it has no more."""
        # A look at a large fleet that found none is not repeated at once: in a backlog that was most work.
        bound = job is not None and (job.group is not None or job.subject != "")
        if now < job_type.barren_until and not bound:
            return []
        for tier in self._tiers(job_type.machine_kind, job):
            found: list[Worker] = []
            if self.settings.gossip_allowed:
                # Other zones' queues are not told to us: one is better only where starts are far less late.
                most = MUCH_LESS * self._zone_lateness(self.settings.zone, now)
                zones = {w.endpoint.zone for w in tier}
                less = {z for z in zones if z == self.settings.zone or self._zone_lateness(z, now) < most}
                tier = [w for w in tier if w.endpoint.zone in less]
            # Drawing until two are roomy gives the same pairs as a list of all the roomy, for less work.
            left = list(tier)
            while left and len(found) < 2:
                worker = left.pop(self.random.below(len(left)))
                if self._is_roomy(worker, job_type, now, job):
                    found.append(worker)
            if found:
                return found
        if not bound:
            job_type.barren_until = now + LOOK_AT_ALL_EVERY
        return []

    def _homes(self, subject: str) -> int:
        """How many workers are to hold what it needs: as many as its share of our arrivals would fill."""
        if not subject:
            return 0
        share = max(0, self.subjects.count(subject) - 1) / max(SHARE_KNOWN, len(self.subjects))
        return max(1, ceil(share * len(self.workers) / HOME_LOAD - 0.3))

    def _tiers(self, machine_kind: int, job: Request | None) -> list[list[Worker]]:
        """Those that may be drawn, best first.

        Machines that some grade cannot do without are left to it while others have room; crossing zones has a
        price, so the own zone comes first, but not again once workers asked for the job there had no room.
        """
        subject = job.subject if job is not None else ""
        near = bool(self.settings.cross_zone_cost) and not subject and (job is None or not job.far)
        homes = self._homes(subject)
        found = self.tiers.get((machine_kind, near, subject, homes))
        if found is None:
            sought = self.needed_kinds
            tiers: dict[tuple[bool, bool], list[Worker]] = defaultdict(list)
            for w in self.workers.values():
                if w.ready and not w.ejected and machine_kind in (-1, w.endpoint.machine_kind):
                    spare = machine_kind == -1 and w.endpoint.machine_kind in sought
                    tiers[spare, near and w.endpoint.zone != self.settings.zone].append(w)
            found = [tiers[key] for key in sorted(tiers)]
            if subject:
                # What it needs is fetched where it is not kept: by the hash each dispatcher sends it to the
                # same few, and to the next few where these have no room.
                for tier in found:
                    tier.sort(key=lambda w: crc32((subject + w.name).encode()))
                found = [part for t in found for part in (t[:homes], t[homes : homes + MORE_HOMES])]
            if len(self.tiers) > SUBJECTS_KEPT:
                self.tiers.clear()
            self.tiers[machine_kind, near, subject, homes] = found
        return found

    def _better(self, drawn: list[Worker], job: Request | None) -> Worker:
        """The one with fewer of our slots in flight; of equals the faster, or the first by the hash.

        Not the one that it comes back from, though: that one may break whatever it is sent.
        """
        back_from = None if job is None else job.back_from
        return min(drawn, key=lambda w: (w is back_from, w.in_flight + self._others(w), self._pace(w)))

    def _is_roomy(self, worker: Worker, job_type: JobType, now: int, job: Request | None) -> bool:
        if job is not None and job.group is not None and job.group != self._group_of(job, worker):
            return False
        return (
            not worker.probed_for
            and self._free(worker, now) >= job_type.slots
            and not self._has_waiting(worker, now)
            and self._allowed(worker, job_type, now, job)
        )

    # ---- Refusing ----

    def _refuses(self, job: Request, now: int) -> bool:
        """Whether it is refused on arrival, by chance alike for all grades, as no worker tells its queue."""
        if self.settings.probing_allowed or job.group is not None:
            return False
        chance = min(MOST_REFUSED, self._zone_lateness(self.settings.zone, now) - LATENESS_BORNE)
        return chance > 0 and self.random.fraction() < chance

    def _zone_lateness(self, zone: int, now: int) -> float:
        """As told by its dispatchers; of a zone that nothing is heard of the worst is believed."""
        late = [told[3] for told in self.told_by.values() if told[4] == zone]
        late += [self._lateness(now)] if zone == self.settings.zone else []
        return sum(late) / len(late) if late else 1.0

    def _lateness(self, now: int) -> float:
        """What our latest starts waited, and those to come until now, in parts of what can be borne."""
        slack = self._shortest_slack()
        waits = [
            min(1.0, (now - j.sent_at) / slack)
            for j in self.open_requests.values()
            if j.at and not j.started_at
        ]
        return (sum(waits) + sum(self.late_starts)) / max(LATE_STARTS, len(waits) + len(self.late_starts))

    def _shortest_slack(self) -> int:
        """The wait that a mean job of the most hurried grade can bear."""
        classes = self.settings.classes
        slacks = (
            classes[g].latency_objective + int((classes[g].latency_stretch - 1) * self.calm.get(g, 0))
            for g in self.settings.active_classes
        )
        return int(max(MILLISECOND, min(slacks)))

    # ---- Asking ----

    def _asks(self, job: Request, drawn: list[Worker], now: int) -> bool:
        """Whether the workers drawn are asked for room before the job goes to one.

        Among many dispatchers each meets a worker so seldom that nought against nought slots in flight says
        nothing. One that can be taken back from a queue finds out by trying; an irreversible one can not, so
        workers not heard of lately are probed first. So for a labelled one where "full" is no proof.
        """
        if not drawn or not self.settings.probing_allowed or job.subject:
            return False
        bound = {Idempotency.NON_IDEMPOTENT}
        if self.settings.full_may_have_run:
            bound.add(Idempotency.IDEMPOTENT_WITH_KEY)
        if self.settings.classes[job.grade].idempotency not in bound and self.settings.cancel_allowed:
            return False
        # One whose last word was an error answers quickly, and is no better known for that.
        unknown = any(now - w.heard_at >= KNOWN or (w.errors and w.errors[-1]) for w in drawn)
        return self.asks_each >= len(drawn) and unknown

    def _ask(self, job: Request, drawn: list[Worker], now: int) -> bool:
        """Ask them, as far as the credit goes that comes with submissions and with time."""
        since, self.asked_at = now - self.asked_at, now
        self.may_ask = min(self.may_ask + self.asks_each * since / SECOND, SAVED_ASKING * self.asks_each)
        stale = [w for w in drawn if now - w.reported_at > FRESH]
        if self.may_ask < len(stale):
            return False
        job.rounds += 1
        self.may_ask -= len(stale)
        job.type.asked = drawn
        for worker in stale:
            worker.probed_for = "room"
            self.host.probe(worker.name)
        # By a wake even when none is stale: with many fresh reports a long queue would nest too deep.
        prompt = [self._prompt(self.answer_times[w.endpoint.zone], PROMPT_ANSWER) for w in stale]
        job.type.asked_until = now + max(prompt, default=0)
        self._wake(job.type, job.type.asked_until)
        return True

    def _reported(self, worker: Worker, load: LoadReport, now: int) -> None:
        worker.reported_at = now
        worker.free = load.get("free_slots", 0.0)
        kind = worker.endpoint.machine_kind
        self.most_free[kind] = max(self.most_free[kind], worker.free, 1.0)
        worker.waiting = load.get("waiting", max(0.0, load.get("in_hand", 0.0) - self.most_free[kind]))

    def _answered(self, worker: Worker, outcome: AttemptOutcome, took: int, now: int) -> None:
        if outcome is AttemptOutcome.SUCCEEDED:
            self.answer_times[worker.endpoint.zone].append(took)
        elif outcome in (AttemptOutcome.UNREACHABLE, AttemptOutcome.BROKEN_OFF):
            self._set_aside(worker, now, bounded=False)
        else:
            self._cut_room(worker, worker.running, 0, now)
            if outcome is AttemptOutcome.WORKER_ERROR:
                # Its own word that it is not well, or that it drains, long before the roster tells us.
                self._set_aside(worker, now)
        for job_type in self.types.values():
            if worker in job_type.asked and not any(w.probed_for for w in job_type.asked):
                self._settle(job_type, now)

    def _settle(self, job_type: JobType, now: int) -> None:
        """The head goes to the better of those that answered, or to none where all may wait too long."""
        there = [w for w in job_type.asked if not w.probed_for and not w.ejected]
        answered = [w for w in there if now - w.reported_at <= FRESH]
        # A worker that has just started has no report yet. Asked on and on, the head would block its queue.
        silent_on_load = [] if answered else [w for w in there if now - w.heard_at < KNOWN]
        job_type.asked = []
        for job in self._heads(job_type):
            roomy = [w for w in silent_on_load if self._is_roomy(w, job_type, now, job)]
            if roomy:
                job_type.queue.remove(job)
                self._hand_off(job, self._better(roomy, job), now)
                break
            fit = [w for w in answered if self._allowed(w, job_type, now, job)]
            if not fit:
                continue
            weighed = [(self._pace(w) * (2 + self._load(w, now) / self._slots_of(w)), w) for w in fit]
            best = min(weighed, key=lambda pair: (pair[1] is job.back_from, pair[0]))[1]
            job.far = True
            if job.rounds < ASK_ROUNDS and self._load(best, now) + job_type.slots > 0:
                more = [w for w in self._draw_two(job_type, now, job) if w not in fit]
                if more and self._ask(job, [best, *more], now):
                    return
            # A report is late, so all that read it must not decide alike: the longer the wait beside what
            # the job can bear, the fewer go. One that is late by now goes only where it need not wait.
            wait = self._expected_wait(best, job_type, now)
            if wait and wait >= self.random.fraction() * max(0, job.timely_until - now):
                for worker in fit:
                    self._cut_room(worker, worker.running, 0, now)
                return
            job_type.queue.remove(job)
            self._hand_off(job, best, now)
            break
        if job_type.queue:
            self._serve(job_type, now)

    def _expected_wait(self, worker: Worker, job_type: JobType, now: int) -> int:
        beyond = max(0.0, self._load(worker, now) + job_type.slots) / self._slots_of(worker)
        return int(beyond * self._mean_running_time() * self._pace(worker))

    def _slots_of(self, worker: Worker) -> float:
        return self.most_free[worker.endpoint.machine_kind] or 1.0

    def _load(self, worker: Worker, now: int) -> float:
        """Slots wanted there over those it has, as reported and with what we sent since."""
        ours = sum(job.type.slots for job in worker.out.values() if job.sent_at > now - REPORT_AGE)
        return worker.waiting - worker.free + ours

    def _pace(self, worker: Worker) -> float:
        """Running times there over the grade's mean: its own few, and those of its kind beside them."""
        kind = self.kind_paces[worker.endpoint.machine_kind]
        usual = sum(kind) / len(kind) if kind else 1.0
        return (sum(worker.paces) + PACES_OF_KIND * usual) / (len(worker.paces) + PACES_OF_KIND)

    # ---- Telling ----

    def _news(self, now: int) -> None:
        """What we have in flight has changed: the dispatchers of our zone are told soon."""
        if self.settings.gossip_allowed and not now < self.telling_at <= now + TELL_AFTER:
            self.telling_at = now + TELL_AFTER
            self._wake("tell", self.telling_at)

    def _tell(self, now: int, to_all: bool = False) -> None:
        """Twice to all after the start, as the first may be lost; then to the next in the ring."""
        if now < self.telling_at and not to_all:
            return
        held = [w.name for w in self.busy.values() for _ in range(ceil(w.in_flight))]
        if to_all or held != self.last_telling or now - self.told_at >= TELL_AGAIN:
            own = self.settings.dispatcher_index
            ring = [*(n for n in self.near if n > own), *(n for n in self.near if n < own)]
            drawn = [self.far[self.random.below(len(self.far))] for _ in range(FAR_TOLD) if self.far]
            to = None if to_all else ring[: self.tells] + drawn
            gossip = LoadGossip(self.settings.zone, self.told, self._lateness(now), held)
            self.host.send_gossip(to, gossip)
            self.last_telling, self.told_at, self.told = held, now, self.told % 255 + 1
        self.telling_at = self.told_at + TELL_AGAIN if held else 0
        if held:
            self._wake("tell", self.telling_at)

    def _others(self, worker: Worker) -> float:
        """Slots that other dispatchers are taken to have there."""
        return worker.others * max(1.0, len(self.near) / self.tells) if worker.others else 0.0

    def _forget(self, teller: int) -> None:
        for worker in self.told_by.pop(teller, (0, 0, [], 0.0, 0))[2]:
            worker.others -= 1

    def _fade(self, now: int) -> None:
        while self.told_by and now - next(iter(self.told_by.values()))[1] > TOLD_FADES:
            self._forget(next(iter(self.told_by)))

    # ---- Room ----

    def _has_waiting(self, worker: Worker, now: int) -> bool:
        """Whether a job of ours has not started there at once: then it is full, whatever we have there."""
        if not worker.unstarted or not self.settings.workers_report_start:
            return False
        now_due = now - self._prompt_start(worker)
        # One that a later one has overtaken, or that waits on and on, may be lost: no sign of a full worker.
        given_up = max(worker.started_sent_at, now - LOST_AFTER * self._mean_running_time())
        return any(given_up < sent_at < now_due for sent_at in worker.unstarted.values())

    def _prompt_start(self, worker: Worker) -> int:
        return self._prompt(self.start_lags[worker.endpoint.zone], SECOND)

    def _prompt(self, times: deque[int], unknown: int) -> int:
        return PROMPT_START * min(times) + PROMPT_START_SLACK if times else unknown

    def _worker_with_placeholder(self, job_type: JobType, now: int) -> list[Worker]:
        for worker in self.workers.values():
            if worker.placeholders and worker.ready and not worker.ejected:
                self._expire_placeholders(worker, now)
                for held in worker.placeholders:
                    if held[0] is job_type and self._allowed(worker, job_type, now, None):
                        worker.placeholders.remove(held)
                        return [worker]
        return []

    def _free(self, worker: Worker, now: int) -> float:
        """Believed free slots; placeholders count only beside real jobs of ours."""
        if worker.room < worker.room_before_cut:
            drift = (now - worker.room_at) / worker.drift_time
            worker.room = min(worker.room_before_cut, worker.room + drift)
            worker.room_at = now
        free = worker.room - worker.in_flight - self._others(worker)
        if worker.placeholders and worker.in_flight:
            self._expire_placeholders(worker, now)
            free -= sum(held[0].slots for held in worker.placeholders)
        return free

    def _expire_placeholders(self, worker: Worker, now: int) -> None:
        while worker.placeholders and worker.placeholders[0][1] <= now:
            worker.placeholders.popleft()

    def _accepted(self, worker: Worker, in_use: float) -> None:
        """One more slot for an accepted send, but no more than one beyond what has been in use at once."""
        worker.room = max(worker.room, min(worker.room + 1, in_use + 1))
        worker.room_before_cut = max(worker.room, worker.room_before_cut)

    def _cut_room(self, worker: Worker, room: float, drift_time: float, now: int) -> None:
        """Less room, which drifts back by a slot in a mean running time, or longer after too long a wait.

        With many dispatchers one waiting job of each is a long queue: then each stays away for a while.
        """
        if room < worker.room:
            worker.room_before_cut = max(room + 1, FIRST_ROOM)
            worker.room = room
            worker.room_at = now
            between = int(len(self.workers) * SECOND / self._arrival_rate(now))
            worker.drift_time = min(max(self._mean_running_time(), drift_time, between), LONGEST_DRIFT)

    # ---- Hand-offs and answers ----

    def _allowed(self, worker: Worker, job_type: JobType, now: int, job: Request | None) -> bool:
        """Whether the rules and the job's needs let it go there."""
        listing = worker.endpoint
        if not worker.ready or job_type.machine_kind not in (-1, listing.machine_kind):
            return False
        if worker.trial_until > now and self._must_not_repeat(job):
            return False
        if worker.warm_at > now and not self._cold_budget_allows(worker, job_type, now):
            return False
        if job is not None and job.group is not None:
            return now < job.last_chance and job.group == self._group_of(job, worker)
        return True

    def _must_not_repeat(self, job: Request | None) -> bool:
        """An irreversible one is lost with its worker, so others try a worker that has just returned."""
        return (
            job is not None
            and self.any_idempotent
            and self.settings.classes[job.grade].idempotency is Idempotency.NON_IDEMPOTENT
        )

    def _hand_off(self, job: Request, worker: Worker, now: int) -> None:
        job.attempts += 1
        job.at = worker
        job.sent_at = now
        job.started_at = 0
        job.recalled = job.waited_too_long = False
        worker.out[job.id] = job
        worker.unstarted[job.id] = now
        worker.in_flight += job.type.slots
        self.busy[worker.name] = worker
        while self._free(worker, now) < 0 and worker.placeholders:
            worker.placeholders.popleft()  # taken over: the job does not fit beside it
        job.in_use = worker.in_flight + self._others(worker)
        self._news(now)
        if worker.warm_at > now:
            worker.cold_credit -= self._cost(job.type)
        self.host.start_attempt(
            job.id, worker.name, max(1, job.abandon_at - self.settings.batch_interval - now)
        )
        job.look_at = now + 1 + min(self._allowance(job, worker), self.settings.progress_interval * 3 // 2)
        if self.settings.progress_interval:
            self._wake(job, job.look_at)

    def _decide_again(self, job: Request, worker: Worker, outcome: AttemptOutcome, now: int) -> None:
        """A hand-off ended without satisfying: try again where the grade and the time left allow it."""
        if outcome not in self.never_ran and job.group is None:
            job.group = self._bound_to(job, worker)
            if job.group is not None:
                # Its rack forgets it: past that time a repeat would run again.
                window = self.settings.classes[job.grade].retry_window if job.group[0] != "none" else 0
                job.last_chance = min(job.last_chance, job.sent_at + window)
        if now >= job.last_chance or job.attempts >= self.settings.classes[job.grade].max_attempts:
            self._finish_unsatisfied(job)
            return
        job.back_from = worker
        job.type.queue.appendleft(job)
        self._wake(job, job.last_chance)
        self._run_clock(now)

    def _resume(self, job: Request, hand_offs: int, ran_at: str, sent_at: int) -> None:
        job.attempts = hand_offs
        if hand_offs >= self.settings.classes[job.grade].max_attempts:
            job.last_chance = 0  # none is left
        if ran_at and self.settings.classes[job.grade].idempotency is not Idempotency.IDEMPOTENT:
            worker = self.workers.get(ran_at)
            # Of a worker that nobody shows any more the group is not known: it goes nowhere.
            job.group = ("none", 0) if worker is None else self._bound_to(job, worker)
            window = self.settings.classes[job.grade].retry_window if job.group != ("none", 0) else 0
            job.last_chance = min(job.last_chance, sent_at + window)

    def _last_timely_start(self, job: Request, now: int, work_hint: int) -> int:
        """When it must start to be answered within its expected time, counted from the client's first try."""
        asked = self.asked_times[job.grade]
        asked.append(job.abandon_at - now)
        first_asked = job.abandon_at - max(asked)
        running_time = self._grade_running_time(job.grade)
        # The stretch counts the job's own work, so running times that a jam has drawn out shorten the wait.
        calm = self.calm[job.grade] = min(self.calm.get(job.grade) or running_time, running_time)
        if work_hint:
            calm = running_time = work_hint
        stretch = self.settings.classes[job.grade].latency_stretch
        slack = self.settings.classes[job.grade].latency_objective + stretch * calm - running_time
        # When not all can be in time, those of little benefit make way first: they wait for less.
        rank = self.settings.classes[job.grade].priority_weight / self.highest_weight
        job.timely_until = int(first_asked + max(0, slack))
        return int(first_asked + PATIENCE * rank * max(0, slack))

    def _gives_way(self, job: Request) -> bool:
        """Whether a waiting submission past its last timely start should be answered at once.

        After a burst a first-come queue would go on serving everybody late; those that can no longer be in
        time give way to those that can. One that nobody waits behind may still earn an overdue benefit.
        """
        if job.group is not None and job.group[0] != "none":
            return False
        if not self.settings.classes[job.grade].overdue_weight:
            return True
        return any(len(t.queue) > (t is job.type) for t in self.types.values())

    def _give_up_waiting(self, job: Request) -> None:
        job.type.queue.remove(job)
        self._finish_unsatisfied(job)

    def _finish_unsatisfied(self, job: Request) -> None:
        del self.open_requests[job.id]
        redoable = self.settings.classes[job.grade].idempotency is Idempotency.IDEMPOTENT
        if redoable or job.group is None or job.group == ("all", 0):
            advice = self.settings.max_retry_after if self.settings.send_retry_after else 0
            self.host.reject(job.id, advice)
        else:
            self.host.fail(job.id)

    def _group_of(self, job: Request, worker: Worker) -> tuple[str, int]:
        scope = self.settings.classes[job.grade].retry_scope
        if scope is RetryScope.ZONE:
            return "zone", worker.endpoint.zone
        return ("rack", worker.endpoint.rack) if scope is RetryScope.RACK else ("all", 0)

    # ---- Health ----

    def _look_after(self, job: Request, worker: Worker, now: int) -> None:
        """See whether the worker has gone silent on the job, and rescue what may run again."""
        if now < job.look_at:
            return
        silence = self.settings.progress_interval * 3 // 2
        # A started job owes word at each interval. Where none has started, no word at all is the sign.
        heard = job.heard_at if job.started_at else max(worker.heard_at, job.sent_at)
        if not job.started_at:
            # In a jam starts come late everywhere: only one far later than the others' tells a hung worker.
            silence = max(silence, WAIT_OVER_LATEST * max(self.start_lags[worker.endpoint.zone], default=0))
        silent = now - heard >= silence
        if silent and self.settings.probing_allowed:
            # Silence on one connection may be that connection's: a probe tells whether it is the worker's.
            self._doubt(worker, now)
        elif silent:
            self._set_aside(worker, now)
        self._rescue(list(worker.out.values()) if worker.ejected else [job], worker, silent, now)
        job.look_at = now + silence if silent else heard + silence
        if not job.started_at and self._may_rescue(job):
            # In a jam all wait long: looks grow rarer with the wait, or they alone would use up our CPU.
            job.look_at = min(job.look_at, now + max(LOOK_AGAIN, (now - job.sent_at) // 4))
        self._wake(job, job.look_at)

    def _rescue(self, jobs: list[Request], worker: Worker, silent: bool, now: int) -> None:
        for job in jobs:
            if self._rescuable(job, worker, silent, now):
                self.host.cancel_attempt(job.id, job.attempts - 1)
                job.recalled = True

    def _may_rescue(self, job: Request) -> bool:
        return (
            self.settings.cancel_allowed
            and not job.recalled
            and job.id in self.open_requests
            and self.settings.classes[job.grade].idempotency is not Idempotency.NON_IDEMPOTENT
            and job.attempts < self.settings.classes[job.grade].max_attempts
        )

    def _allowance(self, job: Request, worker: Worker) -> int:
        """How long it may wait for its start before it is taken back."""
        if not self._may_rescue(job):
            return LONGEST_DRIFT
        allowance = max(self._prompt_start(worker), int((job.last_start - job.arrived) * PATIENCE))
        # One that must stay in its group comes back to workers as full, and may run twice there.
        bound = (self._bound_to(job, worker) or ("all", 0)) != ("all", 0)
        return max(allowance, self._grade_running_time(job.grade)) if bound else allowance

    def _rescuable(self, job: Request, worker: Worker, silent: bool, now: int) -> bool:
        """Whether to take a submission back from a worker that does not get on with it."""
        may = self._may_rescue(job)
        if silent or not may:
            return may
        if job.started_at or now - job.sent_at <= self._allowance(job, worker):
            return False
        # One that merely waits is moved only where there is room, and not often: it may run all the same.
        held, job.group = job.group, self._bound_to(job, worker)
        takes = self.may_recall >= 1 and bool(self._draw_two(job.type, now, job))
        job.group, self.may_recall = held, self.may_recall - takes
        return takes

    def _bound_to(self, job: Request, worker: Worker) -> tuple[str, int] | None:
        """Where a repeat must stay after a hand-off there that may have run."""
        repeat = self.settings.classes[job.grade].idempotency
        if job.group is not None or repeat is Idempotency.IDEMPOTENT:
            return job.group
        return ("none", 0) if repeat is Idempotency.NON_IDEMPOTENT else self._group_of(job, worker)

    def _doubt(self, worker: Worker, now: int) -> None:
        """A connection to it broke, did not come up or fell silent.

        One break is no proof: where connections are reset now and then, each set a good worker aside until
        none was left. A probe tells, and until its answer nothing goes there; else a second break does.
        """
        if self.settings.probing_allowed:
            if not worker.ejected and not worker.probed_for:
                worker.probed_for = "life"
                self.host.probe(worker.name)
            return
        worker.errors.append(True)
        if sum(worker.errors) >= ERRORS_BAD:
            # Proof, not a guess: when a whole zone is cut off, no bound may keep us sending there.
            self._set_aside(worker, now, bounded=False)

    def _set_aside(self, worker: Worker, now: int, bounded: bool = True) -> None:
        """Send nothing there for a while. Where many look bad at once, the reading is usually wrong."""
        # Of a lost zone nothing is guessed: it must not use up the bound on guesses among the others.
        left = [w.ejected for w in self.workers.values() if w.ready and not (w.ejected and w.proven)]
        crowded = (sum(left) + 1) * ASIDE_SHARE > len(left)
        if worker.ejected or (bounded and crowded):
            return
        worker.ejected, worker.proven = True, not bounded
        self.tiers.clear()
        aside = sum(w.ejected for w in self.workers.values() if w.ready)
        self._say(f"{worker.name} set aside: {'suspected' if bounded else 'unreachable'}; {aside} are now")
        worker.placeholders.clear()
        self._wake(worker, now + self._aside_time())

    def _take_back(self, worker: Worker) -> None:
        """A worker returns with room for little, and one more error sets it aside again."""
        worker.ejected = False
        self.tiers.clear()
        worker.trial_until = self.host.now() + SET_ASIDE
        worker.room = worker.room_before_cut = 1.0

    def _aside_time(self) -> int:
        return int(SET_ASIDE * (1 + self.random.fraction() / 2))

    # ---- Workers and the roster ----

    def _list(self, listing: Endpoint) -> None:
        worker = self.workers.get(listing.worker)
        if worker is None:
            worker = self.workers[listing.worker] = Worker(listing)
        if listing.started_at > worker.endpoint.started_at or (listing.started_at and not worker.warm_at):
            worker.warm_at = listing.started_at + self.settings.warmup_period
            worker.room = worker.room_before_cut = FIRST_ROOM
            # What was held against the one before it is nothing to the one that has started.
            worker.ejected = False
            worker.errors.clear()
            self.tiers.clear()
            # From a random part of one job on, the first jobs of many dispatchers come spread over time.
            worker.cold_credit = self.random.fraction() * self._mean_running_time()
            worker.cold_credit_at = self.host.now()
        gone = listing.condition is EndpointCondition.GONE
        worker.drained = listing.condition is EndpointCondition.DRAINING or (worker.drained and gone)
        # Where only a drain binds, the list does not tell who is up: one that is called gone is asked.
        asked = gone and not worker.drained and self.settings.only_draining_is_binding
        ready = listing.condition is EndpointCondition.READY or asked
        if ready != worker.ready or listing[1:3] != worker.endpoint[1:3]:
            self.tiers.clear()
        worker.endpoint = listing
        worker.ready = ready
        if asked:
            self._doubt(worker, self.host.now())

    def _cold_budget_allows(self, worker: Worker, job_type: JobType, now: int) -> bool:
        """A cold worker gets credit with time: a part of what our warm workers bear of us, by its warmth.

        What all dispatchers give it adds up to the same part of what they give a warm one, however many they
        are. It starts at a random part of a job, so that they do not all send their first one at once.
        """
        span = self.settings.warmup_period
        warmth = min(1.0, max(0.0, 1 - (worker.warm_at - now) / span))
        share = self.settings.warmup_share + (1 - self.settings.warmup_share) * warmth
        if now - self.warm_load_at > LOOK_AT_ALL_EVERY:
            warm = [w for w in self.workers.values() if w.ready and w.warm_at <= now]
            self.warm_load = (
                sum(w.running for w in warm) / len(warm) if warm else 1 / self.settings.dispatcher_count
            )
            self.warm_load_at = now
        rate = COLD_PART * self.settings.overload_multiple * share * self.warm_load
        cost = self._cost(job_type)
        worker.cold_credit += rate * (now - worker.cold_credit_at)
        worker.cold_credit = min(worker.cold_credit, max(cost, rate * self.settings.overload_window))
        worker.cold_credit_at = now
        return worker.cold_credit >= cost

    def _cost(self, job_type: JobType) -> float:
        return job_type.slots * (job_type.mean_running_time() or SECOND)

    # ---- Small helpers ----

    def _job_type(self, slots: float, machine_kind: int) -> JobType:
        found = self.types.get((slots, machine_kind))
        if found is None:
            found = self.types[slots, machine_kind] = JobType(slots, machine_kind)
        return found

    def _arrival_rate(self, now: int) -> float:
        """Our arrivals a second, from the last few."""
        return len(self.arrivals) * SECOND / max(now - self.arrivals[0], 100 * MILLISECOND)

    def _mean_running_time(self) -> int:
        if not self.mean_running_time:
            known = [t.mean_running_time() for t in self.types.values() if t.running_times]
            self.mean_running_time = max(1, sum(known) // len(known)) if known else SECOND
        return self.mean_running_time

    def _grade_running_time(self, grade: int) -> int:
        known = self.grade_running_times[grade]
        return sum(known) // len(known) if len(known) >= 8 else 0

    def _say(self, line: str) -> None:
        if self.lines_left:
            self.lines_left -= 1
            self.host.log(line)

    def _wake(self, what: Request | Worker | JobType | str, when: int) -> None:
        self.due[self.next_token] = what
        self.host.wake_at(self.next_token, when)
        self.next_token += 1
