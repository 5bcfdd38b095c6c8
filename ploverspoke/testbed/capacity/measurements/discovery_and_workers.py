"""Measures the load that all dispatchers together cause at discovery and at one worker.

The fleet has 980 workers in 7 zones. It is measured in normal operation, while a zone is lost and comes back,
and while all dispatchers restart.
"""

import asyncio
import random
from typing import Any, NamedTuple

from ...experiment_files.durations import SECOND
from ...experiment_files.reader import parse_experiment
from ..measured_costs import CostPerUnit
from .dispatcher import STARTS_PER_DISPATCHER
from .fake_reports import TRAFFIC
from .measurement import (
    SEED,
    Interval,
    MeasuredLoad,
    Measurement,
    MeasurementRequest,
    MeasurementResult,
    Point,
    cost_lines,
    make_result,
    run_points,
)
from .measurement_fleet import MeasurementFleet, run_fleet

ZONES, WORKERS_PER_ZONE = 7, 140
WORKERS = ZONES * WORKERS_PER_ZONE
DISPATCHER_COUNTS, QUICK_DISPATCHER_COUNTS = (5, 10, 20, 40), (5, 10, 20)
RESTARTED_COUNTS = (3, 6, 12, 20)
INTERVAL, QUICK_SETTLING_S = Interval(26, 16), 4  # seconds; idle connections are kept for 21 s
ZONE_LOST_AT, ZONE_LOST_FOR = 44, 8  # seconds, with INTERVAL
DEATH_NOTICED_AFTER = 3  # seconds until discovery notices the death of a worker
WORST_WITHIN = 4  # seconds after a loss, or after its end, in which the worst second is searched
RESTARTED_AT, RESTART_DURATION, RESTART_SETTLING_S = 5, 9, 2  # seconds
METHOD = "streams at the fakes, without TCP and IP heads; the dispatchers have the rig's launcher"
# Metrics of a dispatcher, and the names of the same traffic from the other side.
REVERSED = {
    "bytes_in": "bytes_out",
    "bytes_out": "bytes_in",
    "messages_in": "messages_out",
    "messages_out": "messages_in",
}


def _experiment(count: int, seconds: int, **extra: Any) -> dict[str, Any]:
    request_class = {
        "name": "task",
        "expected_time": "30s",
        "abandon_time": "60s",
        "work": {"law": "fixed", "mean": "500ms"},
    }
    return {
        "name": "slopes",
        "lasts": f"{seconds}s",
        "grades": [request_class],
        "workers": [{"count": WORKERS_PER_ZONE, "slots": 4, "zone": f"z{zone}"} for zone in range(ZONES)],
        "dispatchers": {"count": count},
        "traffic": [{"rate": STARTS_PER_DISPATCHER * count}],
        **extra,
    }


def _zone_loss(settling_s: int) -> list[dict[str, Any]]:
    """Return the faults: the workers of the last zone die within a second, and come back."""
    generator = random.Random(SEED)
    first = (ZONES - 1) * WORKERS_PER_ZONE
    start = ZONE_LOST_AT - (INTERVAL.settling_s - settling_s)
    return [
        {
            "what": "crash",
            "at": f"{start + generator.random():.3f}s",
            "lasts": f"{ZONE_LOST_FOR}s",
            "workers": [f"w{number}"],
        }
        for number in range(first, first + WORKERS_PER_ZONE)
    ]


class _OrdinaryPoints(NamedTuple):
    """The points of one fleet: at discovery in normal operation and in the worst second, and at a worker."""

    at_discovery: Point
    zone_lost: Point
    zone_back: Point
    at_worker: Point


async def _run_ordinary(count: int, request: MeasurementRequest) -> _OrdinaryPoints:
    settling_s = QUICK_SETTLING_S if request.quick else INTERVAL.settling_s
    run_s = settling_s + (ZONE_LOST_AT - INTERVAL.settling_s) + ZONE_LOST_FOR + WORST_WITHIN
    experiment = parse_experiment(_experiment(count, run_s, troubles=_zone_loss(settling_s)))
    interval_end = (settling_s + INTERVAL.duration_s) * SECOND
    fleet, reading = await run_fleet(experiment, SEED, settling_s * SECOND, interval_end=interval_end)
    request.report_progress(f"discovery and workers, {count} dispatchers: {reading.void or 'measured'}")
    if reading.void:
        void = Point(count, {}, reading.void)
        return _OrdinaryPoints(void, void, void, void)
    shift = settling_s - INTERVAL.settling_s
    lost_at = ZONE_LOST_AT + DEATH_NOTICED_AFTER + shift
    back_at = ZONE_LOST_AT + ZONE_LOST_FOR + shift
    return _OrdinaryPoints(
        at_discovery=Point(count, _discovery_metrics(fleet)),
        zone_lost=Point(count, _worst_second(fleet, lost_at, lost_at + WORST_WITHIN)),
        zone_back=Point(count, _worst_second(fleet, back_at, back_at + WORST_WITHIN)),
        at_worker=Point(count, _worker_metrics(fleet)),
    )


async def measure_dispatchers(request: MeasurementRequest) -> MeasurementResult:
    """Vary the number of dispatchers."""
    counts = QUICK_DISPATCHER_COUNTS if request.quick else DISPATCHER_COUNTS
    runs = await _run_all_ordinary(counts, request)
    void = [
        f"discovery and worker, dispatchers {run.at_discovery.load:g}: {run.at_discovery.void}"
        for run in runs
        if run.at_discovery.void
    ]
    fixed = {"workers_listed": float(WORKERS), "starts_a_second": STARTS_PER_DISPATCHER}
    note = "; ".join(f"void: {text}" for text in void)
    lines: list[CostPerUnit] = []
    for role, more_fixed, points in (
        ("discovery", {}, [run.at_discovery for run in runs]),
        ("discovery", {"zone_lost_workers": float(WORKERS_PER_ZONE)}, [run.zone_lost for run in runs]),
        ("discovery", {"zone_back_workers": float(WORKERS_PER_ZONE)}, [run.zone_back for run in runs]),
        ("worker", {}, [run.at_worker for run in runs]),
    ):
        measured = MeasuredLoad(role, "dispatchers", METHOD, {**fixed, **more_fixed}, note)
        values = [(point.load, point.metrics) for point in points if not point.void]
        lines += cost_lines(measured, values)
    return MeasurementResult(lines, void)


async def _run_all_ordinary(counts: tuple[int, ...], request: MeasurementRequest) -> list[_OrdinaryPoints]:
    if request.in_parallel:
        return list(await asyncio.gather(*(_run_ordinary(count, request) for count in counts)))
    return [await _run_ordinary(count, request) for count in counts]


async def _run_restart(count: int, request: MeasurementRequest) -> Point:
    """Kill all dispatchers at one moment; a second later all restart, as fast as this machine starts them."""
    fault = {
        "what": "dispatcher killed",
        "at": f"{RESTARTED_AT}s",
        "lasts": "1s",
        "dispatchers": list(range(count)),
    }
    end = RESTARTED_AT + RESTART_DURATION
    document = _experiment(count, end, troubles=[fault], traffic=[{"rate": 0.0}])
    fleet, reading = await run_fleet(
        parse_experiment(document),
        SEED,
        RESTART_SETTLING_S * SECOND,
        interval_end=(RESTARTED_AT - 1) * SECOND,
    )
    request.report_progress(f"discovery, {count} dispatchers all restarted: {reading.void or 'measured'}")
    if reading.void:
        return Point(count, {}, reading.void)
    metrics = _worst_second(fleet, RESTARTED_AT, end) | _calls_after_restart(fleet, RESTARTED_AT, end)
    return Point(count, metrics)


async def measure_restarts(request: MeasurementRequest) -> MeasurementResult:
    """Vary the number of dispatchers that restart at one moment.

    The runs are never in parallel, since each one needs the whole machine.
    """
    runs = [_run_restart(count, request) for count in RESTARTED_COUNTS]
    points = await run_points(runs, request._replace(in_parallel=False))
    fixed = {"workers_listed": float(WORKERS)}
    return make_result(MeasuredLoad("discovery", "dispatchers_restarted", METHOD, fixed), points)


def _discovery_metrics(fleet: MeasurementFleet) -> dict[str, float]:
    """Return the rates of all dispatchers together; in and out are as seen by discovery."""
    start, end = fleet.interval_start, fleet.interval_end
    rates = fleet.reports.rates("discovery", TRAFFIC, start, end)
    metrics = {REVERSED[key]: rate for key, rate in rates.items()}
    return {**metrics, "connections": fleet.reports.mean("discovery", "connections", start, end)}


def _worker_metrics(fleet: MeasurementFleet) -> dict[str, float]:
    """Return the mean rates of one worker; in and out are as seen by the worker."""
    start, end = fleet.interval_start, fleet.interval_end
    rates = fleet.reports.rates("workers", (*TRAFFIC, "connected", "probes"), start, end)
    connected_rate = rates.pop("connected")
    metrics = {REVERSED.get(key, key): rate / WORKERS for key, rate in rates.items()}
    connections = fleet.reports.mean("workers", "connections", start, end)
    return {**metrics, "connections": connections / WORKERS, "connections_made": connected_rate / WORKERS}


def _worst_second(fleet: MeasurementFleet, start: int, end: int) -> dict[str, float]:
    """Return the highest rates at which messages and bytes came to discovery in any second.

    `start` and `end` are in seconds from the start of the run.
    """
    return {
        f"{REVERSED[key]}_worst_second": fleet.reports.worst_second(
            "discovery", key, start * SECOND, end * SECOND
        )
        for key in ("messages_out", "bytes_in")
    }


def _calls_after_restart(fleet: MeasurementFleet, start: int, end: int) -> dict[str, float]:
    """Return the messages and bytes that came to discovery.

    `start` and `end` are in seconds from the start of the run.
    """
    names = {"messages_out": "messages_after_restart", "bytes_in": "bytes_after_restart"}
    return {
        name: fleet.reports.increase("discovery", key, start * SECOND, end * SECOND)
        for key, name in names.items()
    }


MEASUREMENTS = [
    Measurement(("discovery", "worker"), "dispatchers", measure_dispatchers),
    Measurement(("discovery",), "dispatchers_restarted", measure_restarts),
]
