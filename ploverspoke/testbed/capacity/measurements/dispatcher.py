"""The dispatcher's slopes: worlds that differ in one size, with one dispatcher that is looked at.

Sizes that chance has a part in (starts, running tasks, changes of the list) are taken as they were.
"""

import asyncio
import signal
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any, NamedTuple

from ...experiment_files import experiment as ex
from ...experiment_files.durations import SECOND
from ...models.deployment_settings import dispatcher_settings
from .measurement_fleet import Act, MeasurementFleet, Reading, rewrite, run_fleet
from .parts import MeasuredLoad, Measurement, MeasurementRequest, MeasurementResult, cost_lines

HOW = (
    "processor time of the scheduler's own count (schedstat), memory of /proc/PID/status, "
    "bytes and messages of the streams at the stand-ins, without TCP and IP heads"
)
PEERS_HOW = (
    "one zone, so that each tells all; bytes and datagrams at the relays between dispatchers; "
    "core_share is with the rig's starter, which costs time of its own"
)
SETTLED, STRETCH = 5, 12  # seconds
QUICK_SETTLED, QUICK_STRETCH = 3, 4
WORKERS = 100  # where they are not varied
SLOTS = 4
PEER_STARTS = 0.6  # a second and dispatcher: 120 over 200
LONG, SHORT = "600s", "200ms"
SEED = 1


class Planned(NamedTuple):
    size: float  # as it is meant; what is counted takes its place
    told: dict[str, Any]  # the experiment
    acts: Callable[[ex.Experiment], Sequence[tuple[int, Act]]] = lambda e: ()


class Stretch(NamedTuple):
    settled: int  # seconds
    lasts: int

    @property
    def end(self) -> int:
        return self.settled + self.lasts


def settled_interval(quick: bool) -> Stretch:
    return Stretch(QUICK_SETTLED, QUICK_STRETCH) if quick else Stretch(SETTLED, STRETCH)


def report_listener(
    over: Stretch, workers: int = WORKERS, work: str = SHORT, rate: float = 0.0, **more: Any
) -> dict[str, Any]:
    """An experiment of one kind of task that nothing hurries."""
    abandon = LONG if work == SHORT else "1800s"
    grade = {
        "name": "task",
        "expected_time": abandon,
        "abandon_time": abandon,
        "work": {"law": "fixed", "mean": work},
    }
    return {
        "name": "slopes",
        "lasts": f"{over.end}s",
        "grades": [grade],
        "workers": [{"count": workers, "slots": SLOTS}],
        "dispatchers": {"count": 1, "sockets": 4096},
        "traffic": [{"rate": rate}],
        **more,
    }


async def series(
    role: str,
    size: str,
    worlds: Sequence[Planned],
    asked: MeasurementRequest,
    still: dict[str, float],
    how: str = HOW,
) -> MeasurementResult:
    """All these worlds, side by side or in turn, and the lines through them."""
    over = settled_interval(asked.quick)

    async def one(planned: Planned) -> tuple[float, Reading]:
        e = ex.parse_experiment(planned.told)
        _, reading = await run_fleet(e, SEED, over.settled * SECOND, planned.acts(e))
        at = reading.sizes.get(size, planned.size)
        shown = "void: " + reading.void if reading.void else f"core {reading.figures['core_share']:.3%}"
        asked.say(f"{role}, {size} {at:g}: {shown}")
        return at, reading

    if asked.together:
        found = list(await asyncio.gather(*(one(planned) for planned in worlds)))
    else:
        found = [await one(planned) for planned in worlds]
    void = [f"{role}, {size} {at:g}: {reading.void}" for at, reading in found if reading.void]
    points = [(at, reading.figures) for at, reading in found if not reading.void]
    note = "; ".join(f"void: {text}" for text in void)
    return MeasurementResult(cost_lines(MeasuredLoad(role, size, how, still, note), points), void)


# ---- The parts ----


async def workers_listed(asked: MeasurementRequest) -> MeasurementResult:
    over = settled_interval(asked.quick)
    worlds = [Planned(count, report_listener(over, count)) for count in (100, 300, 980)]
    return await series("dispatcher", "workers_listed", worlds, asked, {})


async def tasks_running(asked: MeasurementRequest) -> MeasurementResult:
    over = settled_interval(asked.quick)
    found = MeasurementResult([], [])
    for progress in (1, 0):
        rules = {"progress_every": "1s" if progress else LONG}
        worlds = [
            Planned(
                count,
                report_listener(
                    over,
                    work="900s",
                    worker_rules=rules,
                    traffic=[{"rate": count / 1.0, "start": "0s", "end": "1s"}],
                ),
            )
            for count in (8, 24, 48, 96)
        ]
        still = {"progress": float(progress), "workers_listed": float(WORKERS)}
        one = await series("dispatcher", "tasks_running", worlds, asked, still)
        found = MeasurementResult([*found.lines, *one.lines], [*found.void, *one.void])
    return found


async def starts_a_second(asked: MeasurementRequest) -> MeasurementResult:
    over = settled_interval(asked.quick)
    worlds = [Planned(rate, report_listener(over, rate=rate)) for rate in (1.0, 3.0, 9.0, 27.0)]
    still = {"progress": 0.0, "workers_listed": float(WORKERS)}
    return await series("dispatcher", "starts_a_second", worlds, asked, still)


async def list_changes(asked: MeasurementRequest) -> MeasurementResult:
    """Workers drain and come back, each a change when it does: nothing runs there."""
    over, workers = settled_interval(asked.quick), 300

    def drains(a_second: float) -> list[dict[str, Any]]:
        each = 2.0 / a_second
        count = int((over.end - 3) / each)
        return [
            {"what": "drain", "at": f"{n * each:.3f}s", "lasts": "3s", "workers": [f"w{n % workers}"]}
            for n in range(count)
        ]

    worlds = [
        Planned(rate, report_listener(over, workers, troubles=drains(rate))) for rate in (1.0, 4.0, 16.0)
    ]
    return await series(
        "dispatcher", "list_changes_a_second", worlds, asked, {"workers_listed": float(workers)}
    )


async def reloads(asked: MeasurementRequest) -> MeasurementResult:
    over = settled_interval(asked.quick)
    found = MeasurementResult([], [])
    for teams in (1, 170):
        customers = [{"name": f"team-{n}"} for n in range(teams)]

        worlds = [
            Planned(float(rate), report_listener(over, customers=customers), partial(_reloads, over, rate))
            for rate in (15, 30, 60, 120)
        ]
        still = {"teams": float(teams), "workers_listed": float(WORKERS)}
        one = await series("dispatcher", "reloads_a_minute", worlds, asked, still)
        found = MeasurementResult([*found.lines, *one.lines], [*found.void, *one.void])
    return found


def _reloads(over: Stretch, a_minute: int, e: ex.Experiment) -> list[tuple[int, Act]]:
    count = a_minute * over.lasts // 60
    each = over.lasts * SECOND // count
    begin = int((over.settled + 0.3) * SECOND)
    return [(begin + n * each, reload(e, n)) for n in range(count)]


def reload(e: ex.Experiment, number: int) -> Act:
    """A file that differs from the one before, and SIGHUP; refused ones are a fault."""

    def act(world: MeasurementFleet) -> None:
        program = world.programs[0]
        config = world.configs[0]
        settings = dispatcher_settings(e, 0)
        settings["ServiceGrades"][0]["Benefit"] = 1.0 + 0.01 * (number + 1)
        rewrite(program, {**config, "settings": settings})
        program.signal(signal.SIGHUP)
        world.reloads += 1

    return act


async def peers_telling(asked: MeasurementRequest) -> MeasurementResult:
    over = settled_interval(asked.quick)
    worlds = [
        Planned(
            float(count - 1),
            report_listener(over, rate=PEER_STARTS * count, dispatchers={"count": count, "talk": True}),
        )
        for count in (4, 11, 32)
    ]
    still = {"starts_a_second": PEER_STARTS, "workers_listed": float(WORKERS)}
    return await series(
        "dispatcher", "peers_telling", worlds, asked._replace(together=False), still, how=PEERS_HOW
    )


MEASUREMENTS = [
    Measurement(("dispatcher",), "workers_listed", workers_listed),
    Measurement(("dispatcher",), "tasks_running", tasks_running),
    Measurement(("dispatcher",), "starts_a_second", starts_a_second),
    Measurement(("dispatcher",), "list_changes_a_second", list_changes),
    Measurement(("dispatcher",), "reloads_a_minute", reloads),
    Measurement(("dispatcher",), "peers_telling", peers_telling),
]
