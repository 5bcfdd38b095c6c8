"""What all dispatchers together ask of discovery and bring to one worker, seen from there.

Ordinary time, a zone lost and back, and a whole restart, with 980 workers in 7 zones.
"""

import asyncio
import random
from collections.abc import Sequence
from typing import Any

from ...experiment_files import experiment as ex
from ...experiment_files.durations import SECOND
from ..measured_costs import CostPerUnit
from .dispatcher import PEER_STARTS, SEED
from .measurement_fleet import TRAFFIC, MeasurementFleet, run_fleet
from .parts import MeasuredLoad, Measurement, MeasurementRequest, MeasurementResult, cost_lines

ZONES, EACH = 7, 140
WORKERS = ZONES * EACH
SIZES = (5, 10, 20, 40)  # dispatchers
RESTARTED = (3, 6, 12, 20)
SETTLED, ORDINARY = 26, 16  # s; a connection that rests is kept for 21 s
LOST_AT, LOST_FOR = 44, 8  # s
NOTICED = 3  # s after a death, by discovery
RESTARTED_AT, STARTING = 5, 9  # s
HOW = "streams at the stand-ins, without TCP and IP heads; the dispatchers have the rig's starter"


def _told(count: int, lasts: int, **more: Any) -> dict[str, Any]:
    return {
        "name": "slopes",
        "lasts": f"{lasts}s",
        "grades": [
            {
                "name": "task",
                "expected_time": "30s",
                "abandon_time": "60s",
                "work": {"law": "fixed", "mean": "500ms"},
            }
        ],
        "workers": [{"count": EACH, "slots": 4, "zone": f"z{zone}"} for zone in range(ZONES)],
        "dispatchers": {"count": count},
        "traffic": [{"rate": PEER_STARTS * count}],
        **more,
    }


def _zone_lost(quick: bool) -> list[dict[str, Any]]:
    """Its workers die within a second, and come back."""
    draw = random.Random(SEED)
    first = (ZONES - 1) * EACH
    at = LOST_AT - (SETTLED - 4 if quick else 0)
    return [
        {"what": "crash", "at": f"{at + draw.random():.3f}s", "lasts": f"{LOST_FOR}s", "workers": [f"w{n}"]}
        for n in range(first, first + EACH)
    ]


async def _ordinary(count: int, asked: MeasurementRequest) -> tuple[MeasurementFleet, str]:
    settled = 4 if asked.quick else SETTLED
    end = settled + ORDINARY
    lasts = settled + (LOST_AT - SETTLED) + LOST_FOR + 4
    e = ex.parse_experiment(_told(count, lasts, troubles=_zone_lost(asked.quick)))
    world, reading = await run_fleet(e, SEED, settled * SECOND, ends=end * SECOND)
    asked.say(f"discovery and workers, {count} dispatchers: {reading.void or 'seen'}")
    return world, reading.void


async def _restart(count: int, asked: MeasurementRequest) -> tuple[MeasurementFleet, str]:
    """All are killed at one moment and start again a second later, as fast as this machine does it."""
    trouble = {
        "what": "dispatcher killed",
        "at": f"{RESTARTED_AT}s",
        "lasts": "1s",
        "dispatchers": list(range(count)),
    }
    told = _told(count, RESTARTED_AT + STARTING, troubles=[trouble], traffic=[{"rate": 0.0}])
    world, reading = await run_fleet(
        ex.parse_experiment(told), SEED, 2 * SECOND, ends=(RESTARTED_AT - 1) * SECOND
    )
    asked.say(f"discovery, {count} dispatchers all restarted: {reading.void or 'seen'}")
    return world, reading.void


async def dispatchers(asked: MeasurementRequest) -> MeasurementResult:
    sizes = SIZES[:3] if asked.quick else SIZES
    void: list[str] = []
    ordinary: list[tuple[float, dict[str, float]]] = []
    lost: list[tuple[float, dict[str, float]]] = []
    back: list[tuple[float, dict[str, float]]] = []
    at_worker: list[tuple[float, dict[str, float]]] = []
    if asked.together:
        seen = await asyncio.gather(*(_ordinary(count, asked) for count in sizes))
    else:
        seen = [await _ordinary(count, asked) for count in sizes]
    for count, (world, why) in zip(sizes, seen, strict=True):
        if why:
            void.append(f"discovery and worker, dispatchers {count}: {why}")
            continue
        ordinary.append((count, _at_discovery(world)))
        at_worker.append((count, _at_worker(world)))
        shift = world.settled // SECOND - SETTLED
        gone, returned = LOST_AT + NOTICED + shift, LOST_AT + LOST_FOR + shift
        lost.append((count, _worst(world, gone, gone + 4)))
        back.append((count, _worst(world, returned, returned + 4)))
    still = {"workers_listed": float(WORKERS), "starts_a_second": PEER_STARTS}
    lines: list[CostPerUnit] = []
    for role, found, more in (
        ("discovery", ordinary, {}),
        ("discovery", lost, {"zone_lost_workers": float(EACH)}),
        ("discovery", back, {"zone_back_workers": float(EACH)}),
        ("worker", at_worker, {}),
    ):
        lines += cost_lines(
            MeasuredLoad(role, "dispatchers", HOW, {**still, **more}, _note(void, role)), found
        )
    return MeasurementResult(lines, void)


async def dispatchers_restarted(asked: MeasurementRequest) -> MeasurementResult:
    """In turn: a restart is all that this machine has."""
    void: list[str] = []
    points: list[tuple[float, dict[str, float]]] = []
    for count in RESTARTED:
        world, why = await _restart(count, asked)
        if why:
            void.append(f"discovery, dispatchers_restarted {count}: {why}")
        else:
            span = RESTARTED_AT, RESTARTED_AT + STARTING
            points.append((count, _worst(world, *span) | _calls(world, *span)))
    still = {"workers_listed": float(WORKERS)}
    note = _note(void, "discovery")
    return MeasurementResult(
        cost_lines(MeasuredLoad("discovery", "dispatchers_restarted", HOW, still, note), points), void
    )


def _note(void: Sequence[str], role: str) -> str:
    return "; ".join(f"void: {text}" for text in void if role in text.split(",")[0])


TURNED = {"bytes_in": "bytes_out", "bytes_out": "bytes_in"}
TURNED |= {"messages_in": "messages_out", "messages_out": "messages_in"}


def _at_discovery(world: MeasurementFleet) -> dict[str, float]:
    """All dispatchers together; in and out from discovery's side."""
    begin, end = world.settled, world.ends
    rates = world.rates("discovery", TRAFFIC, begin, end)
    found = {TURNED[key]: rate for key, rate in rates.items()}
    return {**found, "connections": world.mean("discovery", "connections", begin, end)}


def _at_worker(world: MeasurementFleet) -> dict[str, float]:
    """One worker's part, on average; in and out from its side."""
    begin, end = world.settled, world.ends
    rates = world.rates("workers", (*TRAFFIC, "connected", "probes"), begin, end)
    made = rates.pop("connected")
    found = {TURNED.get(key, key): rate / WORKERS for key, rate in rates.items()}
    open_ = world.mean("workers", "connections", begin, end)
    return {**found, "connections": open_ / WORKERS, "connections_made": made / WORKERS}


def _worst(world: MeasurementFleet, begin: int, end: int) -> dict[str, float]:
    return {
        f"{TURNED[key]}_worst_second": world.worst("discovery", key, begin * SECOND, end * SECOND)
        for key in ("messages_out", "bytes_in")
    }


def _calls(world: MeasurementFleet, begin: int, end: int) -> dict[str, float]:
    names = {"messages_out": "messages_after_restart", "bytes_in": "bytes_after_restart"}
    span = begin * SECOND, end * SECOND
    return {name: world.gained("discovery", key, *span) for key, name in names.items()}


MEASUREMENTS = [
    Measurement(("discovery", "worker"), "dispatchers", dispatchers),
    Measurement(("discovery",), "dispatchers_restarted", dispatchers_restarted),
]
