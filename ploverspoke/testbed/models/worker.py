"""One worker, without I/O: slots, a waiting room, warm-up, and what troubles do to it.

The driver calls `take`, `cancel` and `report`; the worker tells each run's listener what the wire would
carry.
Work is counted in nanoseconds of one slot at speed 1 and is done at the worker's present rate; when that
changes, what runs is settled up and goes on at the new one.
"""

from collections import OrderedDict, deque
from typing import Any, Protocol

from ..experiment_files.experiment import Experiment
from ..experiment_files.tables import WorkerGroup
from . import event_records
from .event_records import Event, EventLog
from .random_streams import RandomDraws
from .request_schedule import ScheduledRequest
from .shared_store import SharedStore
from .virtual_clock import AnyTimer, Clock

WARM_STEPS = 10  # in which a cold worker's rate rises
QUICK = 1_000_000  # ns that a quick error takes


class RunListener(Protocol):
    def run_started(self, run: "Execution") -> None: ...

    def run_progressed(self, run: "Execution", share: float) -> None: ...

    def run_ended(self, run: "Execution", how: str) -> None:
        """Done, failed, returned (never started) or lost; said at most once, and not after a cancel."""


class Execution:
    """One hand-off at a worker."""

    __slots__ = (
        "begun",
        "dispatcher",
        "fetch",
        "fetching",
        "followers",
        "job",
        "label",
        "left",
        "listener",
        "over",
        "progress",
        "rate",
        "serial",
        "settled_at",
        "submission",
        "timer",
        "waits_on",
    )

    def __init__(
        self, submission: str, job: ScheduledRequest, dispatcher: int, listener: RunListener, label: str = ""
    ) -> None:
        self.submission = submission
        self.job = job
        self.dispatcher = dispatcher
        self.listener = listener
        self.label = label  # by which its rack knows a repeat; "": not labelled
        self.serial = 0
        self.begun = False
        self.over = False
        self.left = float(job.work)
        self.rate = 0.0
        self.settled_at = 0
        self.timer: AnyTimer | None = None
        self.progress: AnyTimer | None = None
        self.fetching = False
        self.fetch: Any = None  # at the store
        self.waits_on: Execution | None = None  # the run that this one repeats
        self.followers: list[Execution] = []


class Rack:
    """Workers that know of one another's labelled jobs: repeats of one are dropped for the window."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.runs: dict[
            str, tuple[int, Execution, bool]
        ] = {}  # by label: since when, the run, whether it is done

    def repeated(self, label: str, window: int) -> Execution | None:
        since, run, _ = self.runs.get(label, (-1, None, False))
        return run if run is not None and self.clock.now() - since < window else None

    def remembers(self, run: Execution) -> None:
        self.runs[run.label] = (self.clock.now(), run, False)

    def forgets(self, run: Execution) -> None:
        """It was lost before its effect."""
        if run.label in self.runs and self.runs[run.label][1] is run:
            del self.runs[run.label]


class Worker:
    def __init__(
        self,
        name: str,
        told: WorkerGroup,
        e: Experiment,
        clock: Clock,
        records_: EventLog,
        racks: dict[int, Rack],
        draws: RandomDraws,
    ) -> None:
        self.name = name
        self.zone = e.zones().index(told.zone)
        self.kind = e.kinds().index(told.machine_kind)
        self.slots = told.slots
        self.speed = told.speed
        self.most_waiting = told.queue_limit
        self.rules = e.worker_rules
        self.request_classes = e.request_classes
        self.clock = clock
        self.records = records_
        self.racks = racks  # by labelled grade
        self.draws = draws
        self.store: SharedStore | None = None
        self.up = True
        self.started_at = 0  # 0: long past
        self.warm_at = 0
        self.serial = 0
        self.free = float(told.slots)
        self.waiting: deque[Execution] = deque()
        self.running: dict[Execution, None] = {}
        self.held: OrderedDict[str, None] = OrderedDict()  # subjects, the latest last
        self.arrived_work: deque[tuple[int, float, int]] = deque()
        self.work_in = 0.0
        self.rate = self.speed
        # What troubles do, by their number, so that they may end in any order.
        self.frozen: set[int] = set()
        self.slowed: dict[int, float] = {}
        self.failing: dict[int, float] = {}
        self.reports_late: dict[int, int] = {}
        self.while_frozen: list[tuple[Any, ...]] = []
        self.last_reports: deque[tuple[int, dict[str, float]]] = deque()
        self.on_fall: Any = None  # told when it was pushed over
        self.on_empty: Any = None

    # ---- What the driver says ----

    def take(self, run: Execution) -> None:
        """A request's last byte has come."""
        self.serial += 1
        run.serial = self.serial
        self._note(event_records.ATTEMPT_ARRIVED, run, run.serial)
        if self.frozen:
            self.while_frozen.append((self._admit, run))
        else:
            self._admit(run)

    def _admit(self, run: Execution) -> None:
        now, job = self.clock.now(), run.job
        if self.warm_at > now and self._tips(run, now):
            return
        if self.failing and self.draws.happens(max(self.failing.values())):
            run.timer = self.clock.at(now + QUICK, self._finish, run, "failed")
            run.begun = True
            self._note(event_records.ATTEMPT_STARTED, run, run.serial)
            self.running[run] = None
            self.free -= job.slots
            return
        self.waiting.append(run)
        self._start_some()
        if len(self.waiting) > self.most_waiting and self.waiting[-1] is run:
            self.waiting.pop()
            self._end(run, "returned")

    def cancel(self, run: Execution) -> None:
        """The dispatcher has closed the connection."""
        if self.frozen:
            self.while_frozen.append((self.cancel, run))
            return
        if run.over or not self.rules.cancel_stops_work:
            return
        if not run.begun and run.waits_on is None and run in self.waiting:
            # Nobody waits for it any more, so it need not begin; it is not known outside that it did not.
            self.waiting.remove(run)
            self._end(run, "recalled")
        elif not run.followers:
            self._finish(run, "recalled")

    def report(self) -> dict[str, float]:
        """The load as it is told: as old and as wrong as the settings and troubles make it."""
        now = self.clock.now()
        age = self.rules.report_age + max(self.reports_late.values(), default=0)
        told = {"backlog": float(len(self.waiting)), "x0": max(0.0, self.free)}
        if age:
            self.last_reports.append((now, told))
            while len(self.last_reports) > 1 and self.last_reports[1][0] <= now - age:
                self.last_reports.popleft()
            told = self.last_reports[0][1]
        if self.rules.report_noise:
            told = {
                k: max(0.0, v * (1 + self.rules.report_noise * self.draws.normal())) for k, v in told.items()
            }
        return told

    def load(self) -> float:
        """Slots in use and waited for, as a share of the slots: the truth, for baselines and plots."""
        return (self.slots - self.free + sum(r.job.slots for r in self.waiting)) / self.slots

    def is_empty(self) -> bool:
        return not self.running and not self.waiting

    # ---- What troubles do ----

    def freeze(self, trouble: int) -> None:
        self.frozen.add(trouble)
        self.change_rate()

    def thaw(self, trouble: int) -> None:
        self.frozen.discard(trouble)
        if self.frozen:
            return
        self.change_rate()
        late, self.while_frozen = self.while_frozen, []
        for call, *what in late:
            call(*what)

    def slow(self, trouble: int, factor: float) -> None:
        self.slowed[trouble] = factor
        self.change_rate()

    def recover(self, trouble: int) -> None:
        """From being slow, failing or late with reports."""
        self.slowed.pop(trouble, None)
        self.failing.pop(trouble, None)
        self.reports_late.pop(trouble, None)
        self.change_rate()

    def die(self) -> None:
        """The process is gone, and with it all that it had."""
        if not self.up:
            return
        self.up = False
        self.frozen.clear()
        late, self.while_frozen = self.while_frozen, []
        self.records.add(Event(self.clock.now(), event_records.WORKER_DIED, worker=self.name))
        for call, run in late:
            if call == self._admit:
                self._end(run, "lost")
        for run in [*self.running, *self.waiting]:
            self._stop(run)
            if run.label and run.begun:
                self.racks[run.job.request_class].forgets(run)
            self._end(run, "lost")
        self.running.clear()
        self.waiting.clear()
        self.free = float(self.slots)

    def start(self) -> None:
        """A fresh process: cold, with an empty cache."""
        now = self.clock.now()
        self.up = True
        self.started_at = max(1, now)
        self.warm_at = now + self.rules.warmup_period
        self.held.clear()
        self.arrived_work.clear()
        self.work_in = 0.0
        self.last_reports.clear()
        self.records.add(Event(now, event_records.WORKER_STARTED, worker=self.name))
        for step in range(1, WARM_STEPS + 1):
            self.clock.at(now + self.rules.warmup_period * step // WARM_STEPS, self.change_rate)
        self.change_rate()

    def warmth(self) -> float:
        """Its share of what it can do."""
        left = self.warm_at - self.clock.now()
        if left <= 0:
            return 1.0
        return self.rules.warmup_share + (1 - self.rules.warmup_share) * (1 - left / self.rules.warmup_period)

    def change_rate(self) -> None:
        rate = 0.0 if self.frozen else self.speed * self.warmth()
        for factor in self.slowed.values():
            rate /= factor
        if rate == self.rate:
            return
        self.rate = rate
        for run in self.running:
            if not run.fetching and run.waits_on is None and run.rate >= 0:
                self._go_on(run)

    # ---- Inside ----

    def _tips(self, run: Execution, now: int) -> bool:
        """Whether all together have sent more than a cold worker bears: rule four's own figure."""
        span, work = self.rules.overload_window, run.job.work * run.job.slots
        self.arrived_work.append((now, work, run.dispatcher))
        self.work_in += work
        while self.arrived_work[0][0] < now - span:
            self.work_in -= self.arrived_work.popleft()[1]
        bears = self.rules.overload_multiple * self.warmth() * self.speed * self.slots * span
        if self.work_in <= bears or len(self.arrived_work) < 2:
            return False
        sent: dict[str, int] = {}  # work, by dispatcher
        for _, part, dispatcher in self.arrived_work:
            sent[str(dispatcher)] = sent.get(str(dispatcher), 0) + int(part)
        self.records.add(
            Event(
                now,
                event_records.WORKER_OVERLOADED,
                worker=self.name,
                detail=[int(self.work_in), int(bears), sent],
            )
        )
        if self.on_fall is not None:
            self.on_fall(self)
        return True

    def _start_some(self) -> None:
        any_fits = self.rules.queue_order == "any that fits"
        at = 0
        while at < len(self.waiting):
            run = self.waiting[at]
            if run.job.slots <= self.free:
                del self.waiting[at]
                self._begin(run)
            elif any_fits:
                at += 1
            else:
                return

    def _begin(self, run: Execution) -> None:
        job, grade = run.job, self.request_classes[run.job.request_class]
        if run.label:
            earlier = self.racks[job.request_class].repeated(run.label, grade.retry_window)
            if earlier is not None and earlier is not run:
                self._follow(run, earlier)
                return
            self.racks[job.request_class].remembers(run)
        self.free -= job.slots
        self.running[run] = None
        run.begun = True
        self._note(event_records.ATTEMPT_STARTED, run, run.serial)
        if self.rules.reports_start:
            run.listener.run_started(run)
            if not run.over:
                run.progress = self.clock.at(
                    self.clock.now() + self.rules.progress_interval, self._progress, run
                )
        if run.over:
            return
        if job.affinity_key and self.store is not None and not self._holds(job.affinity_key):
            run.fetching = True
            run.fetch = self.store.fetch(self._fetched, run)
        else:
            self._go_on(run)

    def _follow(self, run: Execution, earlier: Execution) -> None:
        """A repeat is not run: it gets the end of the first one."""
        run.waits_on = earlier
        if earlier.over:
            self._tell_end(run, "done")
            return
        earlier.followers.append(run)

    def _fetched(self, run: Execution) -> None:
        run.fetching = False
        run.fetch = None
        if run.over or not self.up:
            return
        self.held[run.job.affinity_key] = None
        if len(self.held) > self.rules.cached_keys:
            self.held.popitem(last=False)
        self._go_on(run)

    def _holds(self, subject: str) -> bool:
        if subject not in self.held:
            return False
        self.held.move_to_end(subject)
        return True

    def _go_on(self, run: Execution) -> None:
        """Settle up what was done at the old rate; go on at the present one."""
        now = self.clock.now()
        run.left = max(0.0, run.left - (now - run.settled_at) * run.rate) if run.rate > 0 else run.left
        run.settled_at = now
        run.rate = self.rate
        if run.timer is not None:
            run.timer.call_off()
            run.timer = None
        if self.rate > 0:
            run.timer = self.clock.at(now + int(run.left / self.rate), self._finish, run, "done")

    def _progress(self, run: Execution) -> None:
        if run.over:
            return
        if not self.frozen:
            done = 0.0 if run.fetching else 1 - run.left / run.job.work
            run.listener.run_progressed(run, round(done, 3))
        run.progress = self.clock.at(self.clock.now() + self.rules.progress_interval, self._progress, run)

    def _finish(self, run: Execution, how: str) -> None:
        self._stop(run)
        if run in self.running:
            del self.running[run]
            self.free += run.job.slots
        if run.label and how != "done":
            self.racks[run.job.request_class].forgets(run)
        if run.waits_on is not None and run in run.waits_on.followers:
            run.waits_on.followers.remove(run)
        self._end(run, how)
        self._start_some()
        if self.on_empty is not None and self.is_empty():
            self.on_empty(self)

    def _stop(self, run: Execution) -> None:
        for timer in (run.timer, run.progress):
            if timer is not None:
                timer.call_off()
        if run.fetch is not None and self.store is not None:
            self.store.call_off(run.fetch)
            run.fetch = None

    def _end(self, run: Execution, how: str) -> None:
        if run.over:
            return
        if run.waits_on is None:
            self._note(event_records.ATTEMPT_ENDED, run, [run.serial, how])
        self._tell_end(run, how)
        for follower in run.followers:
            # The first has not had its effect: what stood in for it does not count as done either.
            self._tell_end(follower, how if how == "done" else "lost")
        run.followers.clear()

    def _tell_end(self, run: Execution, how: str) -> None:
        if run.over:
            return
        run.over = True
        if run.waits_on is not None:
            self._note(
                event_records.ATTEMPT_ENDED, run, [run.serial, "repeat dropped" if how == "done" else how]
            )
        if how != "recalled":
            run.listener.run_ended(run, how)

    def _note(self, what: str, run: Execution, detail: Any) -> None:
        self.records.add(
            Event(self.clock.now(), what, run.submission, run.job.number, run.dispatcher, self.name, detail)
        )
