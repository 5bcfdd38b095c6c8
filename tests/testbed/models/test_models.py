"""The fleet model against closed forms, its hard cases, and determinism to the byte."""

import math
from collections.abc import Callable
from typing import Any

import numpy as np
import pytest

from ploverspoke.testbed.checkers.request_audit import VIRTUAL_TOLERANCE, audit_requests
from ploverspoke.testbed.experiment_files.experiment import Experiment
from ploverspoke.testbed.experiment_files.tables import WorkerGroup
from ploverspoke.testbed.models import event_records
from ploverspoke.testbed.models.clients import ClientRequest, Clients
from ploverspoke.testbed.models.event_records import EventLog
from ploverspoke.testbed.models.random_streams import RandomStreams
from ploverspoke.testbed.models.request_schedule import ScheduledRequest, draw_schedule
from ploverspoke.testbed.models.virtual_clock import VirtualClock
from ploverspoke.testbed.models.virtual_run import run_virtual_time
from ploverspoke.testbed.models.worker import Execution, Worker
from tests.testbed.harness import MILLISECOND, SECOND, small_experiment


class Heard:
    """Listens to one run."""

    def __init__(self, clock: VirtualClock) -> None:
        self.clock = clock
        self.came = clock.now()
        self.started = -1
        self.end = ""
        self.ended_at = -1

    def run_started(self, run: Execution) -> None:
        self.started = self.clock.now()

    def run_progressed(self, run: Execution, share: float) -> None: ...

    def run_ended(self, run: Execution, how: str) -> None:
        assert not self.end, "an end is told once"
        self.end, self.ended_at = how, self.clock.now()


def one_worker(clock: VirtualClock, **changes: Any) -> Worker:
    rules = {k: changes.pop(k) for k in list(changes) if k in ("start", "cancel_stops_work", "report_age")}
    e = small_experiment(worker_rules=rules)
    return Worker(
        "w0", WorkerGroup(count=1, **changes), e, clock, EventLog(), {}, RandomStreams(1).draws("worker")
    )


def job(number: int, work: int, slots: float = 1.0) -> ScheduledRequest:
    return ScheduledRequest(number, 0, 0, slots, work, "", 0, 0, 0)


def take(
    worker: Worker, clock: VirtualClock, work: int, slots: float = 1.0, number: int = 0
) -> tuple[Execution, Heard]:
    heard = Heard(clock)
    run = Execution(f"{number:x}-0", job(number, work, slots), 0, heard)
    worker.take(run)
    return run, heard


def queue_of(servers: int, room: int, load: float, customers: int, seed: int) -> list[Heard]:
    """Poisson arrivals of exponential work at one worker; load is offered work for each server."""
    clock = VirtualClock()
    worker = one_worker(clock, slots=servers, queue_limit=room)
    generator = np.random.default_rng(seed)
    mean = 10 * MILLISECOND
    at = np.cumsum(generator.exponential(mean / load / servers, customers))
    work = generator.exponential(mean, customers)
    heard: list[Heard] = []
    for n in range(customers):
        clock.at(int(at[n]), lambda n=n: heard.append(take(worker, clock, max(1, int(work[n])), number=n)[1]))
    clock.run(int(at[-1]) + 100 * SECOND)
    return heard


def erlang_b(servers: int, offered: float) -> float:
    lost = 1.0
    for n in range(1, servers + 1):
        lost = offered * lost / (n + offered * lost)
    return lost


def interval(means: list[float]) -> tuple[float, float]:
    """99% of Student's t with 9 degrees of freedom, over independent runs."""
    margin = 3.250 * float(np.std(means, ddof=1)) / math.sqrt(len(means))
    return float(np.mean(means)) - margin, float(np.mean(means)) + margin


@pytest.mark.parametrize(("servers", "load"), [(1, 0.5), (4, 0.8)])
def test_waits_are_those_of_mmc(servers: int, load: float) -> None:
    waits = []
    for seed in range(10):
        heard = queue_of(servers, 10_000_000, load, 12_000, seed)[2000:]
        waits.append(float(np.mean([h.started - h.came for h in heard])))
    offered = servers * load
    b = erlang_b(servers, offered)
    must_wait = b / (1 - load * (1 - b))
    expected = must_wait * 10 * MILLISECOND / (servers * (1 - load))
    low, high = interval(waits)
    assert low <= expected <= high


def test_losses_are_erlangs() -> None:
    lost = [np.mean([h.end == "returned" for h in queue_of(5, 0, 0.8, 12_000, s)[2000:]]) for s in range(10)]
    low, high = interval([float(x) for x in lost])
    assert low <= erlang_b(5, 4.0) <= high


def test_a_worker_without_waiting_room_takes_what_fits() -> None:
    clock = VirtualClock()
    worker = one_worker(clock, slots=1, queue_limit=0)
    _, first = take(worker, clock, 10 * MILLISECOND)
    _, second = take(worker, clock, 10 * MILLISECOND, number=1)
    clock.run(SECOND)
    assert (first.end, second.end) == ("done", "returned")


@pytest.mark.parametrize(("start", "ends_first"), [("in order", False), ("any that fits", True)])
def test_a_large_job_blocks_the_queue_only_where_starts_are_in_order(start: str, ends_first: bool) -> None:
    clock = VirtualClock()
    worker = one_worker(clock, slots=2, start=start)
    take(worker, clock, 100 * MILLISECOND)
    _, large = take(worker, clock, 10 * MILLISECOND, slots=2.0, number=1)
    _, small = take(worker, clock, 10 * MILLISECOND, number=2)
    clock.run(SECOND)
    assert (small.ended_at < large.ended_at) == ends_first


def test_overlapping_troubles_end_in_any_order() -> None:
    clock = VirtualClock()
    worker = one_worker(clock)
    _, heard = take(worker, clock, 100 * MILLISECOND)
    clock.at(10 * MILLISECOND, worker.slow, 1, 2.0)
    clock.at(20 * MILLISECOND, worker.slow, 2, 5.0)
    clock.at(40 * MILLISECOND, worker.recover, 1)
    clock.at(60 * MILLISECOND, worker.recover, 2)
    clock.run(SECOND)
    # 10 ms whole, 10 at a half, 20 at a tenth, 20 at a fifth: 21 of 100 are done at 60 ms.
    assert heard.ended_at == pytest.approx(139 * MILLISECOND, abs=1000)


def test_a_hang_over_a_crash_does_not_wake_the_dead() -> None:
    clock = VirtualClock()
    worker = one_worker(clock)
    worker.freeze(1)
    _, heard = take(worker, clock, 10 * MILLISECOND)
    worker.die()
    worker.thaw(1)
    clock.run(SECOND)
    assert heard.end == "lost" and not worker.running


def test_a_worker_that_dies_at_the_instant_of_its_last_line_answers_once() -> None:
    for dies_first in (True, False):
        clock = VirtualClock()
        worker = one_worker(clock)
        if dies_first:
            clock.at(10 * MILLISECOND, worker.die)
        _, heard = take(worker, clock, 10 * MILLISECOND)
        if not dies_first:
            clock.at(10 * MILLISECOND, worker.die)
        clock.run(SECOND)
        assert heard.end == ("lost" if dies_first else "done")


def test_recalled_work_goes_on_where_workers_do_not_stop_it() -> None:
    for stops in (True, False):
        clock = VirtualClock()
        worker = one_worker(clock, cancel_stops_work=stops)
        run, _ = take(worker, clock, 100 * MILLISECOND)
        clock.at(10 * MILLISECOND, worker.cancel, run)
        clock.run(50 * MILLISECOND)
        assert (run in worker.running) != stops


def test_an_old_report_tells_the_past() -> None:
    clock = VirtualClock()
    worker = one_worker(clock, slots=1, report_age="200ms")
    worker.report()
    take(worker, clock, SECOND)
    assert worker.report()["x0"] == 1.0
    clock.run(250 * MILLISECOND)
    worker.report()
    clock.run(500 * MILLISECOND)
    assert worker.report()["x0"] == 0.0


def events_of(e: Experiment, seed: int, policy: str = "ours") -> str:
    return "\n".join(map(str, run_virtual_time(e, seed, policy)))


TROUBLED = [
    {"what": "crash", "at": "1s", "lasts": "2s", "workers": ["w1"]},
    {"what": "resets", "at": "1s", "lasts": "4s", "errors": 0.1},
    {"what": "dispatcher killed", "at": "3s", "lasts": "1s", "dispatchers": [0]},
]


@pytest.mark.parametrize("policy", ["ours", "two choices"])
def test_the_same_seed_gives_the_same_bytes(policy: str) -> None:
    e = small_experiment(troubles=TROUBLED, clients={"leave_early": 0.05})
    assert events_of(e, 3, policy) == events_of(e, 3, policy) != events_of(e, 4, policy)


def test_thousands_of_arrivals_at_one_instant_stay_deterministic() -> None:
    e = small_experiment(lasts="2s", traffic=[{"rate": 1000.0, "burst": 2000}])
    assert len({j.due_at for j in draw_schedule(e, 5)}) < 10
    assert events_of(e, 5) == events_of(e, 5)


def test_a_change_of_one_concern_shifts_no_other() -> None:
    plain = draw_schedule(small_experiment(), 1)
    longer = draw_schedule(
        small_experiment(clients={"leave_early": 0.5}, customers=[{"name": "a"}, {"name": "b"}]), 1
    )
    assert [(j.due_at, j.request_class, j.work) for j in plain] == [
        (j.due_at, j.request_class, j.work) for j in longer
    ]


class HeldUpClock(VirtualClock):
    """A loop that does nothing for a while, as a busy machine's."""

    def now(self) -> int:
        return self.time + (300 * MILLISECOND if SECOND < self.time < 2 * SECOND else 0)


def test_a_generator_that_falls_behind_says_so_and_counts_waits_from_when_they_were_due() -> None:
    e, clock, seen = small_experiment(), HeldUpClock(), EventLog()
    sent: list[ClientRequest] = []
    answer: Callable[[ClientRequest], None] = sent.append
    clients = Clients(e, 1, draw_schedule(e, 1), clock, seen, answer, lambda request: None)
    clients.start()
    clock.run(6 * SECOND)
    behind = [event for event in seen.events if event.kind == event_records.BEHIND_SCHEDULE]
    assert behind and clients.latest >= 300 * MILLISECOND
    late = next(r for r in sent if r.job.number == behind[-1].job)
    assert late.abandon_at == late.job.due_at + e.request_classes[late.job.request_class].deadline
    assert len(sent) >= len(draw_schedule(e, 1)), "the offered load is not slowed"


def test_a_paused_dispatcher_works_through_what_piled_up_and_is_none_the_worse_for_others() -> None:
    pause = {"what": "dispatcher paused", "at": "2s", "lasts": "500ms", "dispatchers": [0]}
    events = run_virtual_time(small_experiment(troubles=[pause]), 1, "ours")
    answered = [e for e in events if e.kind == event_records.REQUEST_ANSWERED]
    stopped = [e for e in answered if e.dispatcher == 0 and 2.001 * SECOND < e.at < 2.5 * SECOND]
    went_on = [e for e in answered if e.dispatcher == 1 and 2 * SECOND < e.at < 2.5 * SECOND]
    woke = [e for e in answered if e.dispatcher == 0 and 2.5 * SECOND <= e.at < 2.51 * SECOND]
    assert not stopped and went_on and len(woke) > 3
    assert audit_requests(small_experiment(), events, VIRTUAL_TOLERANCE) == []
