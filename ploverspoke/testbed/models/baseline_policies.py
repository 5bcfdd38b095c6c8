"""Policies to compare with, behind the same DispatchActions as the decisions. Never in the product's path.

They share one frame: a submission goes to a worker at once, again where its grade allows that, and is
nacked or
abandoned when it may go nowhere. They differ in the choice of the worker only. The names stand in `POLICIES`.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

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
from ploverspoke.decisions.settings import Idempotency, RetryScope, Settings

SECOND = 1_000_000_000
TrueLoad = Callable[[str], float]


class Open:
    """One submission taken and not yet answered."""

    def __init__(self, submission: int, grade: int, slots: float, abandon_at: int) -> None:
        self.id = submission
        self.grade = grade
        self.slots = slots
        self.abandon_at = abandon_at
        self.hand_offs = 0
        self.at = ""
        self.may_have_run: str = ""  # where it first may have
        self.bound_until = 0
        self.failed_at: list[str] = []


class Baseline:
    """The frame; `choose` says which of the workers that may be sent to."""

    def __init__(
        self, host: DispatchActions, seed: int, settings: Settings, true_load: TrueLoad | None = None
    ) -> None:
        self.host = host
        self.settings = settings
        self.chance = RandomNumbers(seed)
        self.true_load = true_load
        self.workers: dict[str, Endpoint] = {}
        self.in_flight: dict[str, float] = {}
        self.open: dict[int, Open] = {}
        self.turn = 0
        self.failures = 0

    def settings_changed(self, settings: Settings, takes_over: Mapping[int, int]) -> None:
        self.settings = settings

    def started(self) -> None:
        if self.settings.discovery_polling:
            self.host.watch_endpoints()

    def choose(self, among: list[str]) -> str:
        raise NotImplementedError

    # ---- What can happen ----

    def request_arrived(
        self,
        request_id: int,
        request_class: int,
        slots: float,
        deadline: int,
        work_hint: int,
        affinity_key: str,
    ) -> None:
        job = self.open[request_id] = Open(request_id, request_class, slots, deadline)
        self.send(job)

    def attempt_started(self, request_id: int, attempt: int) -> None: ...

    def attempt_progressed(self, request_id: int, attempt: int, share_done: float) -> None: ...

    def attempt_ended(self, request_id: int, attempt: int, result: AttemptResult) -> None:
        worker_name = result.worker
        job = self.open.get(request_id)
        if job is None or attempt != job.hand_offs - 1:
            return
        self.in_flight[worker_name] -= job.slots
        if result.is_closed:
            del self.open[request_id]
            return
        job.failed_at.append(worker_name)
        if result.outcome not in NEVER_RAN and not job.may_have_run:
            job.may_have_run = worker_name
            job.bound_until = self.host.now() - result.elapsed + self.settings.classes[job.grade].retry_window
        self.send(job)

    def client_disconnected(self, request_id: int) -> None:
        job = self.open.get(request_id)
        if job is not None and not job.at:
            del self.open[request_id]

    def endpoint_list_received(self, listings: Iterable[Endpoint]) -> None:
        self.failures = 0
        self.workers.clear()
        self.endpoints_changed(listings)

    def endpoints_changed(self, listings: Iterable[Endpoint]) -> None:
        self.failures = 0
        for listing in listings:
            self.workers[listing.worker] = listing
            self.in_flight.setdefault(listing.worker, 0.0)

    def endpoint_watch_failed(self, is_rejected: bool = False) -> None:
        self.failures += 1
        self.host.wake_at(0, self.host.now() + SECOND // 4 * min(8, self.failures))

    def probe_completed(
        self, worker_name: str, outcome: AttemptOutcome, elapsed: int, load: LoadReport | None
    ) -> None: ...

    def timer_fired(self, token: int) -> None:
        self.host.watch_endpoints()

    # ---- Inside ----

    def send(self, job: Open) -> None:
        now = self.host.now()
        among = self._allowed(job, now)
        if not among or job.hand_offs >= self.settings.classes[job.grade].max_attempts:
            self._finish(job)
            return
        fresh = [w for w in among if w not in job.failed_at]
        worker = self.choose(fresh or among)
        job.hand_offs += 1
        job.at = worker
        self.in_flight[worker] += job.slots
        self.host.start_attempt(job.id, worker, job.abandon_at - self.settings.batch_interval - now)

    def _allowed(self, job: Open, now: int) -> list[str]:
        if now >= job.abandon_at - self.settings.batch_interval:
            return []
        kind = self.settings.classes[job.grade].machine_kind
        among = [
            w
            for w, shown in self.workers.items()
            if shown.condition is EndpointCondition.READY and kind in (-1, shown.machine_kind)
        ]
        repeat = self.settings.classes[job.grade].idempotency
        if not job.may_have_run or repeat is Idempotency.IDEMPOTENT:
            return among
        if repeat is Idempotency.NON_IDEMPOTENT or now >= job.bound_until:
            return []
        return [w for w in among if self._same_group(job, w)]

    def _same_group(self, job: Open, worker: str) -> bool:
        group = self.settings.classes[job.grade].retry_scope
        first, other = self.workers.get(job.may_have_run), self.workers[worker]
        if group is RetryScope.ALL:
            return True
        return first is not None and (
            first.zone == other.zone if group is RetryScope.ZONE else first.rack == other.rack
        )

    def _finish(self, job: Open) -> None:
        del self.open[job.id]
        redoable = self.settings.classes[job.grade].idempotency is Idempotency.IDEMPOTENT
        if redoable or not job.may_have_run:
            self.host.reject(job.id, 0)
        else:
            self.host.fail(job.id)


class RandomPick(Baseline):
    def choose(self, among: list[str]) -> str:
        return among[self.chance.below(len(among))]


class RoundRobin(Baseline):
    def choose(self, among: list[str]) -> str:
        self.turn += 1
        return among[self.turn % len(among)]


class TwoChoices(Baseline):
    """Of two drawn, the one with fewer of our slots in flight."""

    def choose(self, among: list[str]) -> str:
        one, other = among[self.chance.below(len(among))], among[self.chance.below(len(among))]
        return one if self.in_flight[one] <= self.in_flight[other] else other


class AllSeeing(Baseline):
    """Sees the true load of all workers at each choice, the dead and the hung among them: no dispatcher
    can.
    """

    def choose(self, among: list[str]) -> str:
        assert self.true_load is not None
        start = self.chance.below(len(among))
        return min(among[start:] + among[:start], key=self.true_load)


class Policy(Dispatcher):
    """The decisions themselves, which see no true load."""

    def __init__(
        self, host: DispatchActions, seed: int, settings: Settings, true_load: TrueLoad | None = None
    ) -> None:
        super().__init__(host, seed, settings)


POLICIES: dict[str, Callable[..., Any]] = {
    "ours": Policy,
    "random": RandomPick,
    "round robin": RoundRobin,
    "two choices": TwoChoices,
    "all-seeing": AllSeeing,
}
