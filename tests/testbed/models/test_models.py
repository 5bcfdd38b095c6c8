"""The fleet models: agreement with queueing theory, edge cases, and byte-identical results for one seed."""

import math
from typing import Any

import numpy as np
import pytest

from ploverspoke.testbed.checkers.request_audit import VIRTUAL_TOLERANCE, audit_requests
from ploverspoke.testbed.experiment_files.durations import MILLISECOND, SECOND
from ploverspoke.testbed.experiment_files.experiment import Experiment
from ploverspoke.testbed.experiment_files.tables import WorkerGroup
from ploverspoke.testbed.models import event_records
from ploverspoke.testbed.models.clients import ClientRequest, Clients
from ploverspoke.testbed.models.event_records import EventLog, ExecutionEnd
from ploverspoke.testbed.models.execution import Execution
from ploverspoke.testbed.models.request_schedule import ScheduledRequest, draw_schedule
from ploverspoke.testbed.models.run_context import RunContext
from ploverspoke.testbed.models.virtual_clock import VirtualClock
from ploverspoke.testbed.models.virtual_run import run_virtual_time
from ploverspoke.testbed.models.worker import Worker
from tests.testbed.harness import small_experiment


class RecordingListener:
    """Records when one execution arrived, started and ended."""

    def __init__(self, clock: VirtualClock) -> None:
        self.clock = clock
        self.arrived_at = clock.now()
        self.started_at = -1
        self.end = ""
        self.ended_at = -1

    def execution_started(self, execution: Execution) -> None:
        self.started_at = self.clock.now()

    def execution_progressed(self, execution: Execution, share: float) -> None: ...

    def execution_ended(self, execution: Execution, end: ExecutionEnd) -> None:
        assert not self.end, "an end is reported once"
        self.end, self.ended_at = end, self.clock.now()


def one_worker(clock: VirtualClock, **changes: Any) -> Worker:
    worker_rules = {
        key: changes.pop(key) for key in list(changes) if key in ("start", "cancel_stops_work", "report_age")
    }
    context = RunContext(small_experiment(worker_rules=worker_rules), 1, clock, EventLog())
    return Worker("w0", WorkerGroup(count=1, **changes), context, {})


def job(number: int, work: int, slots: float = 1.0) -> ScheduledRequest:
    return ScheduledRequest(number, 0, 0, slots, work, "", 0, 0, 0)


def send(
    worker: Worker, clock: VirtualClock, work: int, slots: float = 1.0, number: int = 0
) -> tuple[Execution, RecordingListener]:
    listener = RecordingListener(clock)
    execution = Execution(f"{number:x}-0", job(number, work, slots), 0, listener)
    worker.accept(execution)
    return execution, listener


def run_queue(servers: int, queue_limit: int, load: float, count: int, seed: int) -> list[RecordingListener]:
    """Send Poisson arrivals with exponential work to one worker; `load` is the offered load per server."""
    clock = VirtualClock()
    worker = one_worker(clock, slots=servers, queue_limit=queue_limit)
    generator = np.random.default_rng(seed)
    mean_work = 10 * MILLISECOND
    arrival_times = np.cumsum(generator.exponential(mean_work / load / servers, count))
    work = generator.exponential(mean_work, count)
    listeners: list[RecordingListener] = []

    def arrive(number: int) -> None:
        _, listener = send(worker, clock, max(1, int(work[number])), number=number)
        listeners.append(listener)

    for number in range(count):
        clock.call_at(int(arrival_times[number]), arrive, number)
    clock.run(int(arrival_times[-1]) + 100 * SECOND)
    return listeners


def erlang_b(servers: int, offered: float) -> float:
    blocking_probability = 1.0
    for n in range(1, servers + 1):
        blocking_probability = offered * blocking_probability / (n + offered * blocking_probability)
    return blocking_probability


def confidence_interval(means: list[float]) -> tuple[float, float]:
    """The 99% confidence interval of ten independent runs: Student's t with 9 degrees of freedom."""
    margin = 3.250 * float(np.std(means, ddof=1)) / math.sqrt(len(means))
    return float(np.mean(means)) - margin, float(np.mean(means)) + margin


@pytest.mark.parametrize(("servers", "load"), [(1, 0.5), (4, 0.8)])
def test_waiting_times_match_mmc(servers: int, load: float) -> None:
    waits = []
    for seed in range(10):
        listeners = run_queue(servers, 10_000_000, load, 12_000, seed)[2000:]
        waits.append(float(np.mean([listener.started_at - listener.arrived_at for listener in listeners])))
    offered = servers * load
    blocking_probability = erlang_b(servers, offered)
    wait_probability = blocking_probability / (1 - load * (1 - blocking_probability))
    expected = wait_probability * 10 * MILLISECOND / (servers * (1 - load))
    low, high = confidence_interval(waits)
    assert low <= expected <= high


def test_losses_match_erlang_b() -> None:
    lost_shares = [
        np.mean([listener.end == "returned" for listener in run_queue(5, 0, 0.8, 12_000, seed)[2000:]])
        for seed in range(10)
    ]
    low, high = confidence_interval([float(share) for share in lost_shares])
    assert low <= erlang_b(5, 4.0) <= high


def test_a_worker_without_a_queue_accepts_what_fits() -> None:
    clock = VirtualClock()
    worker = one_worker(clock, slots=1, queue_limit=0)
    _, first = send(worker, clock, 10 * MILLISECOND)
    _, second = send(worker, clock, 10 * MILLISECOND, number=1)
    clock.run(SECOND)
    assert (first.end, second.end) == ("done", "returned")


@pytest.mark.parametrize(("start", "ends_first"), [("in order", False), ("any that fits", True)])
def test_a_large_job_blocks_the_queue_only_where_starts_are_in_order(start: str, ends_first: bool) -> None:
    clock = VirtualClock()
    worker = one_worker(clock, slots=2, start=start)
    send(worker, clock, 100 * MILLISECOND)
    _, large = send(worker, clock, 10 * MILLISECOND, slots=2.0, number=1)
    _, small = send(worker, clock, 10 * MILLISECOND, number=2)
    clock.run(SECOND)
    assert (small.ended_at < large.ended_at) == ends_first


def test_overlapping_faults_end_in_any_order() -> None:
    clock = VirtualClock()
    worker = one_worker(clock)
    _, listener = send(worker, clock, 100 * MILLISECOND)
    clock.call_at(10 * MILLISECOND, worker.start_slowdown, 1, 2.0)
    clock.call_at(20 * MILLISECOND, worker.start_slowdown, 2, 5.0)
    clock.call_at(40 * MILLISECOND, worker.clear_fault, 1)
    clock.call_at(60 * MILLISECOND, worker.clear_fault, 2)
    clock.run(SECOND)
    # 10 ms at full speed, 10 ms at a half, 20 ms at a tenth and 20 ms at a fifth of it: at 60 ms, 21 of the
    # 100 ms of work are done.
    assert listener.ended_at == pytest.approx(139 * MILLISECOND, abs=1000)


def test_the_end_of_a_hang_does_not_revive_a_dead_worker() -> None:
    clock = VirtualClock()
    worker = one_worker(clock)
    worker.start_hang(1)
    _, listener = send(worker, clock, 10 * MILLISECOND)
    worker.die()
    worker.end_hang(1)
    clock.run(SECOND)
    assert listener.end == "lost" and not worker.executor.running


def test_a_worker_that_dies_at_the_instant_of_an_end_reports_one_end() -> None:
    for dies_first in (True, False):
        clock = VirtualClock()
        worker = one_worker(clock)
        if dies_first:
            clock.call_at(10 * MILLISECOND, worker.die)
        _, listener = send(worker, clock, 10 * MILLISECOND)
        if not dies_first:
            clock.call_at(10 * MILLISECOND, worker.die)
        clock.run(SECOND)
        assert listener.end == ("lost" if dies_first else "done")


def test_cancelled_work_goes_on_where_workers_do_not_stop_it() -> None:
    for stops in (True, False):
        clock = VirtualClock()
        worker = one_worker(clock, cancel_stops_work=stops)
        execution, _ = send(worker, clock, 100 * MILLISECOND)
        clock.call_at(10 * MILLISECOND, worker.cancel, execution)
        clock.run(50 * MILLISECOND)
        assert (execution in worker.executor.running) != stops


def test_a_delayed_report_has_the_load_of_the_past() -> None:
    clock = VirtualClock()
    worker = one_worker(clock, slots=1, report_age="200ms")
    worker.report()
    send(worker, clock, SECOND)
    assert worker.report().free_slots == 1.0
    clock.run(250 * MILLISECOND)
    worker.report()
    clock.run(500 * MILLISECOND)
    assert worker.report().free_slots == 0.0


def events_of(experiment: Experiment, seed: int, policy: str = "ours") -> str:
    return "\n".join(map(str, run_virtual_time(experiment, seed, policy)))


FAULTS = [
    {"what": "crash", "at": "1s", "lasts": "2s", "workers": ["w1"]},
    {"what": "resets", "at": "1s", "lasts": "4s", "errors": 0.1},
    {"what": "dispatcher killed", "at": "3s", "lasts": "1s", "dispatchers": [0]},
]


@pytest.mark.parametrize("policy", ["ours", "two choices"])
def test_the_same_seed_gives_the_same_bytes(policy: str) -> None:
    experiment = small_experiment(troubles=FAULTS, clients={"leave_early": 0.05})
    first, second = events_of(experiment, 3, policy), events_of(experiment, 3, policy)
    assert first == second != events_of(experiment, 4, policy)


def test_thousands_of_arrivals_at_one_instant_stay_deterministic() -> None:
    experiment = small_experiment(lasts="2s", traffic=[{"rate": 1000.0, "burst": 2000}])
    assert len({request.due_at for request in draw_schedule(experiment, 5)}) < 10
    assert events_of(experiment, 5) == events_of(experiment, 5)


def test_a_change_of_one_concern_shifts_no_other() -> None:
    plain = draw_schedule(small_experiment(), 1)
    changed = draw_schedule(
        small_experiment(clients={"leave_early": 0.5}, customers=[{"name": "a"}, {"name": "b"}]), 1
    )
    assert [(request.due_at, request.request_class, request.work) for request in plain] == [
        (request.due_at, request.request_class, request.work) for request in changed
    ]


class DelayedClock(VirtualClock):
    """A clock whose event loop is delayed by 300 ms for one second, as on a busy machine."""

    def now(self) -> int:
        return self.time + (300 * MILLISECOND if SECOND < self.time < 2 * SECOND else 0)


class RecordingConnections:
    """Records all requests and answers none."""

    def __init__(self) -> None:
        self.sent: list[ClientRequest] = []

    def send(self, request: ClientRequest) -> None:
        self.sent.append(request)

    def close(self, request: ClientRequest) -> None:
        pass


def test_a_late_load_generator_records_it_and_deadlines_count_from_when_requests_were_due() -> None:
    experiment, clock, event_log = small_experiment(), DelayedClock(), EventLog()
    connections = RecordingConnections()
    context = RunContext(experiment, 1, clock, event_log)
    clients = Clients(context, draw_schedule(experiment, 1), connections)
    clients.start()
    clock.run(6 * SECOND)
    behind = [event for event in event_log.events if event.kind == event_records.BEHIND_SCHEDULE]
    assert behind and clients.max_lateness >= 300 * MILLISECOND
    late = next(request for request in connections.sent if request.job.number == behind[-1].job)
    assert late.deadline == late.job.due_at + experiment.request_classes[late.job.request_class].deadline
    assert len(connections.sent) >= len(draw_schedule(experiment, 1)), "the offered load is not reduced"


def test_a_paused_dispatcher_handles_what_came_meanwhile_and_the_others_go_on() -> None:
    pause = {"what": "dispatcher paused", "at": "2s", "lasts": "500ms", "dispatchers": [0]}
    events = run_virtual_time(small_experiment(troubles=[pause]), 1, "ours")
    answered = [event for event in events if event.kind == event_records.REQUEST_ANSWERED]
    during_pause = [
        event for event in answered if event.dispatcher == 0 and 2.001 * SECOND < event.at < 2.5 * SECOND
    ]
    by_other = [event for event in answered if event.dispatcher == 1 and 2 * SECOND < event.at < 2.5 * SECOND]
    after_resume = [
        event for event in answered if event.dispatcher == 0 and 2.5 * SECOND <= event.at < 2.51 * SECOND
    ]
    assert not during_pause and by_other and len(after_resume) > 3
    assert audit_requests(small_experiment(), events, VIRTUAL_TOLERANCE) == []
