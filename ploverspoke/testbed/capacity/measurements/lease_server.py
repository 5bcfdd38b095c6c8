"""What keepers of leases cost: the one that leads, and the others on average.

Real keepers on the rig, with the relays between them and before them, where bytes are counted; holders are
the product's own client, all in the measuring process.
"""

import asyncio
import contextlib
import tempfile
import time
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import numpy as np

from ploverspoke.consensus.admin_messages import StatusRequest, StatusRow
from ploverspoke.consensus.replica_client import call_replica
from ploverspoke.leases.client import LeaseClient
from ploverspoke.leases.config import LeaseServers, read_lease_servers

from ...experiment_files.durations import SECOND, Duration
from ...processes.capacity_check import memory_backed_folder
from ...processes.resource_usage import ResourceUsage, read_resource_usage
from ...processes.rig import Rig
from ...processes.running_process import ProcessStartError
from ...processes.tcp_proxy import OUTSIDE
from ...scenarios.lease_experiment import LeaseScenario
from ...scenarios.lease_fleet import LeaseFleet
from .measurement_fleet import growth
from .parts import MeasuredLoad, Measurement, MeasurementRequest, MeasurementResult, cost_lines

SIZES = (3, 5)  # keepers
DURATION = 10  # s, of a lease
SETTLED, STRETCH = 4, 15  # s
QUICK_SETTLED, QUICK_STRETCH = 1, 4
NAMES_BY, CHANGES_BY = 20, 50  # holders, where names and changes are varied
HELD_WITHIN = 20.0
LOOKS_EVERY = 0.5
HOW = (
    "the keeper that leads, the others as follower_*; schedstat and /proc/PID/status, bytes at relays; "
    "keepers have the rig's starter"
)

Count = Callable[[], float]


class Seen(NamedTuple):
    size: float
    figures: dict[str, float]
    void: str


class Load(NamedTuple):
    """Holders as they are wanted, and what they do meanwhile."""

    clients: list[LeaseClient]
    names: int  # that each keeps
    changes: float = 0.0  # a second


async def _leader(leases: LeaseFleet, secret: bytes) -> str:
    """Its name. Raises ProcessStartError where none leads in time."""
    until = time.monotonic() + HELD_WITHIN
    while time.monotonic() < until:
        for place in leases.servers:
            with contextlib.suppress(OSError):
                told = await asyncio.to_thread(
                    call_replica, place.endpoint("peers"), secret, StatusRequest(), StatusRow
                )
                if told.fields.get("leading"):
                    return place.name
        await asyncio.sleep(0.1)
    raise ProcessStartError("no keeper leads")


async def _changes(load: Load, until: float, done: list[float]) -> None:
    """One client gives a name back and another one gets it, so often."""
    names = [f"team-c{n}" for n in range(len(load.clients))]
    at = {name: n for n, name in enumerate(names)}
    due, n = time.monotonic(), 0
    while due < until:
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        name = names[n % len(names)]
        load.clients[at[name]].release(name)
        at[name] = (at[name] + 1) % len(load.clients)
        load.clients[at[name]].want(name, DURATION * SECOND)
        done.append(time.monotonic())
        due, n = due + 1 / load.changes, n + 1


def _octets(counts: dict[str, int], name: str, others: str) -> tuple[int, int]:
    """In and out of one keeper: all of it, or from `others` only."""
    into = sum(octets for ends, octets in counts.items() if ends.endswith(f">{name}"))
    out = sum(octets for ends, octets in counts.items() if ends.startswith(f"{name}>"))
    if not others:
        return into, out
    return counts.get(f"{others}>{name}", 0), counts.get(f"{name}>{others}", 0)


async def _world(
    size: int, value: float, load_of: Callable[[LeaseServers], Load], asked: MeasurementRequest
) -> Seen:
    with tempfile.TemporaryDirectory(prefix="ploverspoke-slopes-", dir=memory_backed_folder()) as name:
        try:
            async with Rig(Path(name), 1) as rig:
                return await _measure(rig, size, value, load_of, asked)
        except (ProcessStartError, OSError, TimeoutError) as error:
            return Seen(value, {}, str(error) or "not ready in time")


async def _measure(
    rig: Rig, size: int, value: float, load_of: Callable[[LeaseServers], Load], asked: MeasurementRequest
) -> Seen:
    settled, stretch = (QUICK_SETTLED, QUICK_STRETCH) if asked.quick else (SETTLED, STRETCH)
    leases = LeaseFleet(
        rig,
        LeaseScenario(
            servers=size, candidates=0, leases={"team-*": 1}, lease_duration=Duration(DURATION * SECOND)
        ),
    )
    await leases.start()
    secret = read_lease_servers(leases.file).secret
    leader = await _leader(leases, secret)
    place = rig.addresses[leader]
    load = load_of(LeaseServers({}, [place.proxied_endpoint("clients")], secret))
    for n, client in enumerate(load.clients):
        for k in range(load.names):
            client.want(f"team-h{n}-{k}", DURATION * SECOND)
    try:
        for n, client in enumerate(load.clients):
            for k in range(load.names):
                if not await client.wait_until_held(f"team-h{n}-{k}", HELD_WITHIN):
                    return Seen(value, {}, f"team-h{n}-{k} was not granted in time")
        begin = time.monotonic() + settled
        changed: list[float] = []
        changing = asyncio.create_task(_changes(load, begin + stretch, changed)) if load.changes else None
        await asyncio.sleep(settled)
        looks, counts = await _look_on(rig, leases, stretch)
        if changing is not None:
            changing.cancel()
        lost = sum(client.holder.lost for client in load.clients)
        if lost or await _leader(leases, secret) != leader:
            return Seen(value, {}, f"{lost} leases were lost, or another keeper leads now")
    finally:
        await asyncio.gather(*(client.close() for client in load.clients))
    if load.changes:
        value = sum(begin <= at <= begin + stretch for at in changed) / stretch
    return Seen(value, _figures(leader, looks, counts), rig.void_reason())


Looks = dict[str, list[tuple[int, ResourceUsage]]]


async def _look_on(
    rig: Rig, leases: LeaseFleet, stretch: float
) -> tuple[Looks, list[tuple[float, dict[str, int]]]]:
    looks: Looks = {place.name: [] for place in leases.servers}
    counts = []
    until = time.monotonic() + stretch
    await rig.link_faults.read_counters(by_link=True)
    counts.append((time.monotonic(), rig.link_faults.counters.bytes_by_link))
    while time.monotonic() < until:
        for name, seen in looks.items():
            process = rig.processes[name].process
            if process is not None:
                seen.append((time.monotonic_ns(), read_resource_usage(process.pid)))
        await asyncio.sleep(LOOKS_EVERY)
    await rig.link_faults.read_counters(by_link=True)
    counts.append((time.monotonic(), rig.link_faults.counters.bytes_by_link))
    return looks, counts


def _figures(leader: str, looks: Looks, counts: list[tuple[float, dict[str, int]]]) -> dict[str, float]:
    (begin, first), (end, last) = counts

    def rates(name: str, others: str = "") -> tuple[float, float]:
        now, before = _octets(last, name, others), _octets(first, name, others)
        return (now[0] - before[0]) / (end - begin), (now[1] - before[1]) / (end - begin)

    def core(name: str) -> float:
        (first_at, before), (last_at, now) = looks[name][0], looks[name][-1]
        return (now.processor - before.processor) / (last_at - first_at)

    others = [name for name in looks if name != leader]
    found = {
        "core_share": core(leader),
        "memory_bytes": float(looks[leader][-1][1].memory),
        "memory_growth_bytes": growth([(at / SECOND, float(seen.memory)) for at, seen in looks[leader]]),
    }
    found["bytes_in"], found["bytes_out"] = rates(leader)
    found["bytes_in_holders"], found["bytes_out_holders"] = rates(leader, OUTSIDE)
    found["follower_core_share"] = float(np.mean([core(name) for name in others]))
    found["follower_memory_bytes"] = float(np.mean([looks[name][-1][1].memory for name in others]))
    found["follower_bytes_in"] = float(np.mean([rates(name)[0] for name in others]))
    found["follower_bytes_out"] = float(np.mean([rates(name)[1] for name in others]))
    return found


async def _series(
    size: str,
    values: tuple[float, ...],
    load_of: Callable[[LeaseServers, float], Load],
    asked: MeasurementRequest,
    still: Any,
) -> MeasurementResult:
    found = MeasurementResult([], [])
    for keepers in SIZES:
        worlds: list[Awaitable[Seen]] = [
            _world(keepers, value, partial(_loaded, load_of, value), asked) for value in values
        ]
        seen = await asyncio.gather(*worlds) if asked.together else [await world for world in worlds]
        void = [f"keeper, {size} {one.size:g}, {keepers} keepers: {one.void}" for one in seen if one.void]
        for one in seen:
            told = one.void or f"core {one.figures['core_share']:.2%}"
            asked.say(f"{keepers} keepers, {size} {one.size:g}: {told}")
        points = [(one.size, one.figures) for one in seen if not one.void]
        note = "; ".join(f"void: {text}" for text in void)
        lines = cost_lines(
            MeasuredLoad("keeper", size, HOW, {"keepers": float(keepers), **still}, note), points
        )
        found = MeasurementResult([*found.lines, *lines], [*found.void, *void])
    return found


def _loaded(load_of: Callable[[LeaseServers, float], Load], value: float, keepers: LeaseServers) -> Load:
    return load_of(keepers, value)


def _clients(keepers: LeaseServers, count: int) -> list[LeaseClient]:
    return [LeaseClient(keepers, f"h{number}") for number in range(count)]


async def holders(asked: MeasurementRequest) -> MeasurementResult:
    def load(keepers: LeaseServers, value: float) -> Load:
        return Load(_clients(keepers, int(value)), 1)

    return await _series("holders", (50, 150, 300, 980), load, asked, {"names_each": 1.0})


async def names(asked: MeasurementRequest) -> MeasurementResult:
    def load(keepers: LeaseServers, value: float) -> Load:
        return Load(_clients(keepers, NAMES_BY), int(value) // NAMES_BY)

    return await _series("names", (100, 400, 1000), load, asked, {"holders": float(NAMES_BY)})


async def changes(asked: MeasurementRequest) -> MeasurementResult:
    def load(keepers: LeaseServers, value: float) -> Load:
        return Load(_clients(keepers, CHANGES_BY), 1, value)

    still = {"holders": float(CHANGES_BY), "names_each": 1.0}
    return await _series("changes_of_holder_a_second", (5, 20, 80), load, asked, still)


MEASUREMENTS = [
    Measurement(("keeper",), "holders", holders),
    Measurement(("keeper",), "names", names),
    Measurement(("keeper",), "changes_of_holder_a_second", changes),
]
