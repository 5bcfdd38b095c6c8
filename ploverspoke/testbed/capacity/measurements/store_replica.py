"""What replicas of the store cost: commits, kept state, and catching up after being away."""

import asyncio
import sys
import tempfile
import time
from collections.abc import Sequence
from functools import partial
from typing import Any

import msgspec
import numpy as np

from ploverspoke.consensus.admin_messages import StatusRequest, StatusRow
from ploverspoke.consensus.replica_client import call_replica

from ...experiment_files import experiment as ex
from ...experiment_files.durations import SECOND, Duration
from ...processes.capacity_check import memory_backed_folder
from ...processes.fault_timeline import FaultStep
from ...processes.resource_usage import ResourceUsage
from .dispatcher import SEED, settled_interval
from .measurement_fleet import Act, MeasurementFleet, growth, run_fleet
from .parts import MeasuredLoad, Measurement, MeasurementRequest, MeasurementResult, cost_lines

SIZES = (3, 5)  # replicas
SECRET = b"a secret of the testbed's own"  # the stage's
AWAY_RATE = 50.0  # submissions a second while one is away
CAUGHT_UP_WITHIN = 15.0  # s
WORKERS = 20
HOW = (
    "the replica that leads, the others as follower_*; schedstat and /proc/PID/status, bytes at the relays "
    "between replicas; they have the rig's starter"
)
KEPT_HOW = "a process that holds a ledger alone: its memory beyond the empty one, its snapshot on disk"
AWAY_HOW = "from the replica's own readiness on, bytes at the relays towards it"


def _told(rate: float, lasts: int, replicas: int, **more: Any) -> dict[str, Any]:
    return {
        "name": "slopes",
        "lasts": f"{lasts}s",
        "grades": [
            {
                "name": "book",
                "repeat": "irreversible",
                "expected_time": "10s",
                "abandon_time": "20s",
                "work": {"law": "fixed", "mean": "50ms"},
            }
        ],
        "workers": [{"count": WORKERS, "slots": 16}],
        "dispatchers": {"count": replicas, "store": True, **more},
        "traffic": [{"rate": rate}],
    }


class Mark:
    """The replicas at one moment: what each says of itself, and what has passed between them."""

    def __init__(self, at: float, status: dict[int, dict[str, Any]], octets: dict[str, int]) -> None:
        self.at, self.status, self.octets = at, status, octets

    def leader(self) -> int:
        return next((n for n, told in self.status.items() if told.get("leads")), -1)


async def _status(world: MeasurementFleet, number: int) -> dict[str, Any]:
    place = world.rig.addresses[f"d{number}"]
    status = await asyncio.to_thread(
        call_replica, place.endpoint("peers"), SECRET, StatusRequest(), StatusRow
    )
    return dict(status.fields)


async def _mark(world: MeasurementFleet) -> Mark:
    count = world.e.dispatchers.count
    status = {n: await _status(world, n) for n in range(count)}
    await world.rig.link_faults.read_counters(by_link=True)
    return Mark(time.monotonic(), status, world.rig.link_faults.counters.bytes_by_link)


async def _marked(marks: list[Mark], world: MeasurementFleet) -> None:
    marks.append(await _mark(world))


async def _commits(
    replicas: int, rate: float, asked: MeasurementRequest
) -> tuple[float, dict[str, float], str]:
    over, marks = settled_interval(asked.quick), list[Mark]()
    acts: Sequence[tuple[int, Act]] = [
        (over.settled * SECOND, partial(_marked, marks)),
        (over.end * SECOND, partial(_marked, marks)),
    ]
    e = ex.parse_experiment(_told(rate, over.end, replicas))
    world, reading = await run_fleet(e, SEED, over.settled * SECOND, acts)
    void, size, figures = reading.void, rate, dict[str, float]()
    if not void and (len(marks) < 2 or marks[0].leader() != marks[1].leader() or marks[0].leader() < 0):
        void = "no replica led throughout"
    if not void:
        leader = marks[0].leader()
        took = marks[1].at - marks[0].at
        ends = [mark.status[leader]["committed"] for mark in marks]
        size = (ends[1] - ends[0]) / took
        figures = _at_leader(world, leader, marks[0].octets, marks[1].octets, took)
    asked.say(
        f"{replicas} replicas, commits_a_second {size:.3g}: "
        + (f"void: {void}" if void else f"core {figures['core_share']:.2%}")
    )
    return size, figures, void


def _at_leader(
    world: MeasurementFleet, leader: int, before: dict[str, int], now: dict[str, int], took: float
) -> dict[str, float]:
    def rates(number: int) -> tuple[float, float]:
        name = f"d{number}"
        into = sum(n - before.get(ends, 0) for ends, n in now.items() if ends.endswith(f">{name}"))
        out = sum(n - before.get(ends, 0) for ends, n in now.items() if ends.startswith(f"{name}>"))
        return into / took, out / took

    def core(looks: list[tuple[int, ResourceUsage]]) -> float:
        return (looks[-1][1].processor - looks[0][1].processor) / (looks[-1][0] - looks[0][0])

    others = [n for n in range(len(world.looks)) if n != leader]
    seen = world.looks[leader]
    found = {
        "core_share": core(seen),
        "memory_bytes": float(seen[-1][1].memory),
        "memory_growth_bytes": growth([(at / SECOND, float(one.memory)) for at, one in seen]),
        "follower_core_share": float(np.mean([core(world.looks[n]) for n in others])),
        "follower_memory_bytes": float(np.mean([world.looks[n][-1][1].memory for n in others])),
    }
    found["bytes_in"], found["bytes_out"] = rates(leader)
    found["follower_bytes_in"] = float(np.mean([rates(n)[0] for n in others]))
    found["follower_bytes_out"] = float(np.mean([rates(n)[1] for n in others]))
    return found


async def commits(asked: MeasurementRequest) -> MeasurementResult:
    """Entries of the log; an irreversible submission makes four where its first hand-off ends it."""
    found = MeasurementResult([], [])
    for replicas in SIZES:
        worlds = [_commits(replicas, rate, asked) for rate in (2.0, 10.0, 50.0)]
        seen = await asyncio.gather(*worlds) if asked.together else [await world for world in worlds]
        void = [f"store replica, commits_a_second {size:g}: {why}" for size, _, why in seen if why]
        points = [(size, figures) for size, figures, why in seen if not why]
        still = {"replicas": float(replicas)}
        note = "; ".join(f"void: {text}" for text in void)
        lines = cost_lines(MeasuredLoad("store replica", "commits_a_second", HOW, still, note), points)
        found = MeasurementResult([*found.lines, *lines], [*found.void, *void])
    return found


async def kept_state(asked: MeasurementRequest) -> MeasurementResult:
    points, void = [], []
    for count in (5_000, 10_000, 20_000) if asked.quick else (10_000, 30_000, 100_000):
        with tempfile.TemporaryDirectory(prefix="ploverspoke-slopes-", dir=memory_backed_folder()) as folder:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "ploverspoke.testbed.capacity.measurements.stored_state",
                str(count),
                folder,
                stdout=asyncio.subprocess.PIPE,
            )  # fmt: skip
            said, _ = await process.communicate()
        if process.returncode:
            void.append(f"store replica, kept_state {count}: exit {process.returncode}")
            continue
        told: dict[str, float] = msgspec.json.decode(said)
        size = told.pop("kept")
        asked.say(f"store replica, kept_state {size:g}: {told['memory_bytes'] / 1e6:.1f} MB")
        points.append((float(size), {key: float(value) for key, value in told.items()}))
    note = "; ".join(f"void: {text}" for text in void)
    return MeasurementResult(
        cost_lines(MeasuredLoad("store replica", "kept_state", KEPT_HOW, {}, note), points), void
    )


async def _away(
    away: float, snapshot_every: int, asked: MeasurementRequest
) -> tuple[float, dict[str, float], str]:
    """One that does not lead is killed, and is back after so long."""
    settled = 2
    lasts = int(settled + away + 4 + CAUGHT_UP_WITHIN / 3)
    found: dict[str, float] = {}

    async def act(world: MeasurementFleet) -> None:
        before = await _mark(world)
        leader = before.leader()
        if leader < 0:
            return
        gone = (leader + 1) % world.e.dispatchers.count
        name = f"d{gone}"
        applied = before.status[gone]["applied"]
        step = FaultStep(
            start=Duration(0), kind="kill", processes=[name], duration=Duration(int(away * SECOND))
        )
        await world.rig.timeline.apply_to_process(step, name)  # back, and ready at its door
        began = time.monotonic()
        # What it had not when it was back at its replicas' port; the link counts from its death on.
        first = before.octets.get(f"d{leader}>{name}", 0)
        goal = (await _status(world, leader))["committed"]
        until = began + CAUGHT_UP_WITHIN
        while (told := await _status(world, gone))["applied"] < goal and time.monotonic() < until:
            await asyncio.sleep(0.005)
        if told["applied"] >= goal:
            now = await _mark(world)
            found["missed_entries"] = goal - applied
            found["seconds"] = time.monotonic() - began
            found["bytes_sent"] = now.octets.get(f"d{leader}>{name}", 0) - first

    e = ex.parse_experiment(_told(AWAY_RATE, lasts, 3, snapshot_every=snapshot_every))
    _, reading = await run_fleet(e, SEED, SECOND, [(settled * SECOND, act)], ends=settled * SECOND)
    void = reading.void or ("" if found else "it did not catch up while the world lasted")
    size = found.pop("missed_entries", away)
    shown = void or f"{found['seconds']:.3f} s, {found['bytes_sent']:,.0f} bytes"
    asked.say(f"store replica, missed_entries {size:g}: {shown}")
    return size, found, void


async def missed_entries(asked: MeasurementRequest) -> MeasurementResult:
    found = MeasurementResult([], [])
    for snapshot_every in (20_000, 200):
        worlds = [_away(away, snapshot_every, asked) for away in (1.0, 4.0, 10.0)]
        seen = await asyncio.gather(*worlds) if asked.together else [await world for world in worlds]
        void = [f"store replica, missed_entries {size:g}: {why}" for size, _, why in seen if why]
        points = [(size, figures) for size, figures, why in seen if not why]
        note = "; ".join(f"void: {text}" for text in void)
        still = {"replicas": 3.0, "snapshot_every": float(snapshot_every)}
        lines = cost_lines(MeasuredLoad("store replica", "missed_entries", AWAY_HOW, still, note), points)
        found = MeasurementResult([*found.lines, *lines], [*found.void, *void])
    return found


MEASUREMENTS = [
    Measurement(("store replica",), "commits_a_second", commits),
    Measurement(("store replica",), "kept_state", kept_state),
    Measurement(("store replica",), "missed_entries", missed_entries),
]
