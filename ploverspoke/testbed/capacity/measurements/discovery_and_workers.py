"""Measures what all dispatchers together ask of discovery and bring to one worker, on their side.

In ordinary time, while a zone is lost and comes back, and at a restart of all, with 980 workers in 7 zones.
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
    result_of,
    run_points,
)
from .measurement_fleet import MeasurementFleet, run_fleet

ZONES, WORKERS_PER_ZONE = 7, 140
WORKERS = ZONES * WORKERS_PER_ZONE
DISPATCHER_COUNTS, QUICK_DISPATCHER_COUNTS = (5, 10, 20, 40), (5, 10, 20)
RESTARTED_COUNTS = (3, 6, 12, 20)
INTERVAL, QUICK_SETTLED = Interval(26, 16), 4  # seconds; an idle connection is kept for 21 s
ZONE_LOST_AT, ZONE_LOST_FOR = 44, 8  # seconds, with INTERVAL
DEATH_NOTICED_AFTER = 3  # seconds, by discovery
WORST_WITHIN = 4  # seconds after a loss, and after its end
RESTARTED_AT, RESTART_LASTS, RESTART_SETTLED = 5, 9, 2  # seconds
METHOD = "streams at the fakes, without TCP and IP heads; the dispatchers have the rig's launcher"
# A dispatcher's direction of traffic, from the other side.
REVERSED = {
    "bytes_in": "bytes_out",
    "bytes_out": "bytes_in",
    "messages_in": "messages_out",
    "messages_out": "messages_in",
}


def _experiment(count: int, seconds: int, **more: Any) -> dict[str, Any]:
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
        **more,
    }


def _zone_loss(settled: int) -> list[dict[str, Any]]:
    """Return the faults: the last zone's workers die within a second, and come back."""
    generator = random.Random(SEED)
    first = (ZONES - 1) * WORKERS_PER_ZONE
    at = ZONE_LOST_AT - (INTERVAL.settled - settled)
    return [
        {
            "what": "crash",
            "at": f"{at + generator.random():.3f}s",
            "lasts": f"{ZONE_LOST_FOR}s",
            "workers": [f"w{number}"],
        }
        for number in range(first, first + WORKERS_PER_ZONE)
    ]


class _OrdinaryPoints(NamedTuple):
    """The points of one fleet: at discovery, ordinarily and in the worst second, and at a worker."""

    at_discovery: Point
    zone_lost: Point
    zone_back: Point
    at_worker: Point


async def _run_ordinary(count: int, request: MeasurementRequest) -> _OrdinaryPoints:
    settled = QUICK_SETTLED if request.quick else INTERVAL.settled
    lasts = settled + (ZONE_LOST_AT - INTERVAL.settled) + ZONE_LOST_FOR + WORST_WITHIN
    experiment = parse_experiment(_experiment(count, lasts, troubles=_zone_loss(settled)))
    ends = (settled + INTERVAL.lasts) * SECOND
    fleet, reading = await run_fleet(experiment, SEED, settled * SECOND, ends=ends)
    request.say(f"discovery and workers, {count} dispatchers: {reading.void or 'seen'}")
    if reading.void:
        void = Point(count, {}, reading.void)
        return _OrdinaryPoints(void, void, void, void)
    shift = settled - INTERVAL.settled
    lost = ZONE_LOST_AT + DEATH_NOTICED_AFTER + shift
    back = ZONE_LOST_AT + ZONE_LOST_FOR + shift
    return _OrdinaryPoints(
        at_discovery=Point(count, _at_discovery(fleet)),
        zone_lost=Point(count, _worst_second(fleet, lost, lost + WORST_WITHIN)),
        zone_back=Point(count, _worst_second(fleet, back, back + WORST_WITHIN)),
        at_worker=Point(count, _at_worker(fleet)),
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
    for role, more, points in (
        ("discovery", {}, [run.at_discovery for run in runs]),
        ("discovery", {"zone_lost_workers": float(WORKERS_PER_ZONE)}, [run.zone_lost for run in runs]),
        ("discovery", {"zone_back_workers": float(WORKERS_PER_ZONE)}, [run.zone_back for run in runs]),
        ("worker", {}, [run.at_worker for run in runs]),
    ):
        measured = MeasuredLoad(role, "dispatchers", METHOD, {**fixed, **more}, note)
        values = [(point.load, point.metrics) for point in points if not point.void]
        lines += cost_lines(measured, values)
    return MeasurementResult(lines, void)


async def _run_all_ordinary(counts: tuple[int, ...], request: MeasurementRequest) -> list[_OrdinaryPoints]:
    if request.together:
        return list(await asyncio.gather(*(_run_ordinary(count, request) for count in counts)))
    return [await _run_ordinary(count, request) for count in counts]


async def _run_restart(count: int, request: MeasurementRequest) -> Point:
    """Kill all dispatchers at one moment; a second later all start again, as fast as this machine does it."""
    fault = {
        "what": "dispatcher killed",
        "at": f"{RESTARTED_AT}s",
        "lasts": "1s",
        "dispatchers": list(range(count)),
    }
    end = RESTARTED_AT + RESTART_LASTS
    document = _experiment(count, end, troubles=[fault], traffic=[{"rate": 0.0}])
    fleet, reading = await run_fleet(
        parse_experiment(document), SEED, RESTART_SETTLED * SECOND, ends=(RESTARTED_AT - 1) * SECOND
    )
    request.say(f"discovery, {count} dispatchers all restarted: {reading.void or 'seen'}")
    if reading.void:
        return Point(count, {}, reading.void)
    metrics = _worst_second(fleet, RESTARTED_AT, end) | _calls(fleet, RESTARTED_AT, end)
    return Point(count, metrics)


async def measure_restarts(request: MeasurementRequest) -> MeasurementResult:
    """Vary the dispatchers that restart at one moment; in turn, as each run needs the whole machine."""
    runs = [_run_restart(count, request) for count in RESTARTED_COUNTS]
    points = await run_points(runs, request._replace(together=False))
    fixed = {"workers_listed": float(WORKERS)}
    return result_of(MeasuredLoad("discovery", "dispatchers_restarted", METHOD, fixed), points)


def _at_discovery(fleet: MeasurementFleet) -> dict[str, float]:
    """Return the rates of all dispatchers together; in and out from discovery's side."""
    begin, end = fleet.settled, fleet.ends
    rates = fleet.reports.rates("discovery", TRAFFIC, begin, end)
    metrics = {REVERSED[key]: rate for key, rate in rates.items()}
    return {**metrics, "connections": fleet.reports.mean("discovery", "connections", begin, end)}


def _at_worker(fleet: MeasurementFleet) -> dict[str, float]:
    """Return one worker's part, on average; in and out from its side."""
    begin, end = fleet.settled, fleet.ends
    rates = fleet.reports.rates("workers", (*TRAFFIC, "connected", "probes"), begin, end)
    connected = rates.pop("connected")
    metrics = {REVERSED.get(key, key): rate / WORKERS for key, rate in rates.items()}
    connections = fleet.reports.mean("workers", "connections", begin, end)
    return {**metrics, "connections": connections / WORKERS, "connections_made": connected / WORKERS}


def _worst_second(fleet: MeasurementFleet, begin: int, end: int) -> dict[str, float]:
    """Return the most that came to discovery in any second; times in seconds of the run."""
    return {
        f"{REVERSED[key]}_worst_second": fleet.reports.worst_second(
            "discovery", key, begin * SECOND, end * SECOND
        )
        for key in ("messages_out", "bytes_in")
    }


def _calls(fleet: MeasurementFleet, begin: int, end: int) -> dict[str, float]:
    """Return what came to discovery in that time."""
    names = {"messages_out": "messages_after_restart", "bytes_in": "bytes_after_restart"}
    return {
        name: fleet.reports.increase("discovery", key, begin * SECOND, end * SECOND)
        for key, name in names.items()
    }


MEASUREMENTS = [
    Measurement(("discovery", "worker"), "dispatchers", measure_dispatchers),
    Measurement(("discovery",), "dispatchers_restarted", measure_restarts),
]
