"""Measures the CPU, memory and traffic of one dispatcher, in fleets that differ in one load.

For loads with a random part (starts, running tasks, changes of the list) the observed amounts are used.
"""

import signal
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any, NamedTuple

from ...experiment_files.durations import SECOND
from ...experiment_files.experiment import Experiment
from ...experiment_files.reader import parse_experiment
from ...models.deployment_settings import dispatcher_settings
from ..time_units import SECONDS_PER_MINUTE
from .measurement import (
    NO_RESULT,
    SEED,
    Interval,
    MeasuredLoad,
    Measurement,
    MeasurementRequest,
    MeasurementResult,
    Point,
    make_result,
    run_points,
)
from .measurement_fleet import Action, MeasurementFleet, replace_config, run_fleet

ROLE = "dispatcher"
METHOD = (
    "processor time of the scheduler's own count (schedstat), memory of /proc/PID/status, "
    "bytes and messages of the streams at the fakes, without TCP and IP heads"
)
GOSSIP_METHOD = (
    "one zone, so that each sends to all; bytes and datagrams at the proxy between dispatchers; "
    "core_share is with the rig's launcher, which costs time of its own"
)
INTERVAL, QUICK_INTERVAL = Interval(5, 12), Interval(3, 4)
WORKERS = 100  # unless their number is varied
LIST_CHANGE_WORKERS = 300
SLOTS = 4
STARTS_PER_DISPATCHER = 0.6  # a second, in fleets of several dispatchers: 120 a second over 200 dispatchers
LONG_WORK, SHORT_WORK = "600s", "200ms"
ENDLESS_WORK, ENDLESS_DEADLINE = "900s", "1800s"  # longer than any run
MAX_SOCKETS = 4096
# The amounts of the varied loads.
WORKER_COUNTS = (100, 300, 980)
TASK_COUNTS = (8, 24, 48, 96)
START_RATES = (1.0, 3.0, 9.0, 27.0)  # a second
LIST_CHANGE_RATES = (1.0, 4.0, 16.0)  # a second
RELOAD_RATES = (15, 30, 60, 120)  # a minute
TEAM_COUNTS = (1, 170)
GOSSIPING_DISPATCHERS = (4, 11, 32)
DRAIN_SECONDS = 3
RELOAD_OFFSET = 0.3  # seconds from the start of the interval to the first reload


class PlannedRun(NamedTuple):
    """A fleet to measure, with its load and its actions."""

    load: float  # the planned amount; replaced by the observed one if that can be counted
    document: dict[str, Any]  # the experiment
    actions: Callable[[Experiment], Sequence[tuple[int, Action]]] = lambda _: ()


def measurement_interval(quick: bool) -> Interval:
    """Return the interval of the run in which a dispatcher is measured."""
    return QUICK_INTERVAL if quick else INTERVAL


def dispatcher_experiment(
    interval: Interval, workers: int = WORKERS, work: str = SHORT_WORK, rate: float = 0.0, **extra: Any
) -> dict[str, Any]:
    """Return an experiment with one dispatcher and one request class with a loose latency objective."""
    deadline = LONG_WORK if work == SHORT_WORK else ENDLESS_DEADLINE
    request_class = {
        "name": "task",
        "expected_time": deadline,
        "abandon_time": deadline,
        "work": {"law": "fixed", "mean": work},
    }
    return {
        "name": "slopes",
        "lasts": f"{interval.end_s}s",
        "grades": [request_class],
        "workers": [{"count": workers, "slots": SLOTS}],
        "dispatchers": {"count": 1, "sockets": MAX_SOCKETS},
        "traffic": [{"rate": rate}],
        **extra,
    }


async def _run_planned(load: str, run: PlannedRun, request: MeasurementRequest) -> Point:
    interval = measurement_interval(request.quick)
    experiment = parse_experiment(run.document)
    actions = run.actions(experiment)
    _, reading = await run_fleet(experiment, SEED, interval.settling_s * SECOND, actions)
    point = Point(reading.load_amounts.get(load, run.load), reading.metrics, reading.void)
    text = f"void: {point.void}" if point.void else f"core {point.metrics['core_share']:.3%}"
    request.report_progress(f"{ROLE}, {load} {point.load:g}: {text}")
    return point


async def _measure_runs(
    measured: MeasuredLoad, runs: Sequence[PlannedRun], request: MeasurementRequest
) -> MeasurementResult:
    points = await run_points([_run_planned(measured.load, run, request) for run in runs], request)
    return make_result(measured, points)


async def measure_workers_listed(request: MeasurementRequest) -> MeasurementResult:
    """Vary the number of workers in the endpoint list."""
    interval = measurement_interval(request.quick)
    runs = [PlannedRun(count, dispatcher_experiment(interval, count)) for count in WORKER_COUNTS]
    return await _measure_runs(MeasuredLoad(ROLE, "workers_listed", METHOD, {}), runs, request)


async def measure_tasks_running(request: MeasurementRequest) -> MeasurementResult:
    """Vary the number of running tasks, with and without progress reports."""
    interval = measurement_interval(request.quick)
    result = NO_RESULT
    for progress in (1, 0):
        rules = {"progress_every": "1s" if progress else LONG_WORK}
        runs = [
            PlannedRun(
                count,
                dispatcher_experiment(
                    interval,
                    work=ENDLESS_WORK,
                    worker_rules=rules,
                    traffic=[{"rate": count / 1.0, "start": "0s", "end": "1s"}],
                ),
            )
            for count in TASK_COUNTS
        ]
        fixed = {"progress": float(progress), "workers_listed": float(WORKERS)}
        measured = MeasuredLoad(ROLE, "tasks_running", METHOD, fixed)
        result = result.plus(await _measure_runs(measured, runs, request))
    return result


async def measure_starts(request: MeasurementRequest) -> MeasurementResult:
    """Vary the rate of task starts."""
    interval = measurement_interval(request.quick)
    runs = [PlannedRun(rate, dispatcher_experiment(interval, rate=rate)) for rate in START_RATES]
    fixed = {"progress": 0.0, "workers_listed": float(WORKERS)}
    return await _measure_runs(MeasuredLoad(ROLE, "starts_a_second", METHOD, fixed), runs, request)


async def measure_list_changes(request: MeasurementRequest) -> MeasurementResult:
    """Vary the rate of endpoint list changes: idle workers drain and come back, each of which is a change."""
    interval = measurement_interval(request.quick)
    runs = [
        PlannedRun(
            rate,
            dispatcher_experiment(interval, LIST_CHANGE_WORKERS, troubles=_drain_faults(interval, rate)),
        )
        for rate in LIST_CHANGE_RATES
    ]
    fixed = {"workers_listed": float(LIST_CHANGE_WORKERS)}
    return await _measure_runs(MeasuredLoad(ROLE, "list_changes_a_second", METHOD, fixed), runs, request)


def _drain_faults(interval: Interval, changes_a_second: float) -> list[dict[str, Any]]:
    drain_interval_s = 2.0 / changes_a_second  # a drain makes two changes
    count = int((interval.end_s - DRAIN_SECONDS) / drain_interval_s)
    return [
        {
            "what": "drain",
            "at": f"{number * drain_interval_s:.3f}s",
            "lasts": f"{DRAIN_SECONDS}s",
            "workers": [f"w{number % LIST_CHANGE_WORKERS}"],
        }
        for number in range(count)
    ]


async def measure_reloads(request: MeasurementRequest) -> MeasurementResult:
    """Vary the rate of configuration reloads, with one team and with many teams in the file."""
    interval = measurement_interval(request.quick)
    result = NO_RESULT
    for teams in TEAM_COUNTS:
        tenants = [{"name": f"team-{number}"} for number in range(teams)]
        runs = [
            PlannedRun(
                float(rate),
                dispatcher_experiment(interval, customers=tenants),
                partial(_reload_actions, interval, rate),
            )
            for rate in RELOAD_RATES
        ]
        fixed = {"teams": float(teams), "workers_listed": float(WORKERS)}
        measured = MeasuredLoad(ROLE, "reloads_a_minute", METHOD, fixed)
        result = result.plus(await _measure_runs(measured, runs, request))
    return result


def _reload_actions(
    interval: Interval, reloads_a_minute: int, experiment: Experiment
) -> list[tuple[int, Action]]:
    count = reloads_a_minute * interval.duration_s // SECONDS_PER_MINUTE
    reload_interval_ns = interval.duration_s * SECOND // count
    first_reload_ns = int((interval.settling_s + RELOAD_OFFSET) * SECOND)
    return [
        (first_reload_ns + number * reload_interval_ns, reload_action(experiment, number))
        for number in range(count)
    ]


def reload_action(experiment: Experiment, number: int) -> Action:
    """Return an action that changes the configuration file and sends SIGHUP."""

    def reload(fleet: MeasurementFleet) -> None:
        """Change the weight of the request class; each number gives another weight."""
        program = fleet.programs[0]
        settings = dispatcher_settings(experiment, 0)
        settings["ServiceGrades"][0]["Benefit"] = 1.0 + 0.01 * (number + 1)
        replace_config(program, {**fleet.dispatcher_configs[0], "settings": settings})
        program.signal(signal.SIGHUP)
        fleet.expected_reloads += 1

    return reload


async def measure_gossip(request: MeasurementRequest) -> MeasurementResult:
    """Vary the number of peers that gossip to a dispatcher."""
    interval = measurement_interval(request.quick)
    runs = [
        PlannedRun(
            float(count - 1),
            dispatcher_experiment(
                interval, rate=STARTS_PER_DISPATCHER * count, dispatchers={"count": count, "talk": True}
            ),
        )
        for count in GOSSIPING_DISPATCHERS
    ]
    fixed = {"starts_a_second": STARTS_PER_DISPATCHER, "workers_listed": float(WORKERS)}
    measured = MeasuredLoad(ROLE, "peers_telling", GOSSIP_METHOD, fixed)
    return await _measure_runs(measured, runs, request._replace(in_parallel=False))


MEASUREMENTS = [
    Measurement((ROLE,), "workers_listed", measure_workers_listed),
    Measurement((ROLE,), "tasks_running", measure_tasks_running),
    Measurement((ROLE,), "starts_a_second", measure_starts),
    Measurement((ROLE,), "list_changes_a_second", measure_list_changes),
    Measurement((ROLE,), "reloads_a_minute", measure_reloads),
    Measurement((ROLE,), "peers_telling", measure_gossip),
]
