"""What the distribution of configuration costs: one config server by its watchers and by changes, and a
dispatcher that watches.

Three servers on the rig, with the relays before and between them, where bytes are counted. Light watchers are
the product's own client in the measuring process, all at the server that leads; the dispatcher is the program
as users start it.
"""

import asyncio
import contextlib
import json
import tempfile
import time
from collections.abc import Awaitable, Sequence
from functools import partial
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

from ploverspoke.config_distribution.admin_client import publish as publish_body
from ploverspoke.config_distribution.client import WatchClient
from ploverspoke.config_distribution.cluster_config import ConfigServers, WatchConfig
from ploverspoke.config_distribution.errors import NoServerAvailableError
from ploverspoke.config_distribution.messages import VerifiedVersion
from ploverspoke.consensus.admin_messages import StatusRequest, StatusRow
from ploverspoke.consensus.framing import FrameError
from ploverspoke.consensus.replica_client import call_replica

from ...experiment_files import experiment as ex
from ...experiment_files.durations import SECOND
from ...models.deployment_settings import dispatcher_settings
from ...processes.addresses import ProcessAddress
from ...processes.capacity_check import memory_backed_folder
from ...processes.readiness import accepts_connections
from ...processes.resource_usage import ResourceUsage, read_resource_usage
from ...processes.rig import Rig
from ...processes.running_process import ProcessStartError
from ...processes.tcp_proxy import OUTSIDE
from .dispatcher import SEED, WORKERS, report_listener, settled_interval
from .measurement_fleet import Act, MeasurementFleet, growth, run_fleet
from .parts import MeasuredLoad, Measurement, MeasurementRequest, MeasurementResult, cost_lines
from .tools import HOW as RUN_HOW
from .tools import run_command

SERVERS = 3
SECRET = "a secret of the testbed's own"
CLUSTER = "testbed"
BODIES = (4096, 16384)  # bytes
CHANGES = (0, 10, 30, 60)  # a minute
WATCHERS = (20, 60, 150)
PUBLISHED = (4096, 16384, 65536)  # bytes
LEADS_WITHIN = 20.0  # s
LOOKS_EVERY = 0.5
HOW = (
    "the server that leads and that all watch, the others as follower_*; schedstat and /proc/PID/status, "
    "bytes at relays; servers have the rig's starter"
)
WATCHING_HOW = (
    "schedstat and /proc/PID/status; bytes_*_config at a relay before the config servers, the others at the "
    "stand-ins"
)

Octets = dict[str, int]


def body_of(size: int, number: int) -> str:
    """Grades of which one is worth more with each number, and teams until it has about so many bytes."""
    settings = dispatcher_settings(ex.parse_experiment(report_listener(settled_interval(True))), 0)
    grades = settings["ServiceGrades"]
    grades[0]["Benefit"] = 1.0 + (number + 1) / 1000
    teams: list[dict[str, Any]] = []
    length = len(json.dumps({"settings": {"ServiceGrades": grades, "Tenants": teams}}))
    while length < size:
        teams.append({"Name": f"team-{len(teams)}", "Portion": 1.0})
        length += len(json.dumps(teams[-1])) + 2
    return json.dumps({"settings": {"ServiceGrades": grades, "Tenants": teams}})


class Servers:
    """Config servers on a rig of their own."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.places: list[ProcessAddress] = []
        self.number = 0

    async def start(self) -> None:
        rig = self.rig
        (rig.folder / "secret").write_text(SECRET)
        self.places = [rig.allocate_address(f"c{n}", ["peers", "clients"]) for n in range(SERVERS)]
        replicas = {
            p.name: {"peers": p.proxied_endpoint("peers"), "clients": p.proxied_endpoint("clients")}
            for p in self.places
        }
        for place in self.places:
            own = rig.folder / f"{place.name}.json"
            orders = {"cluster": CLUSTER, "secret_file": "secret", "replicas": replicas}
            own.write_bytes(msgspec.json.encode({**orders, "name": place.name, "folder": place.name}))
            server = rig.add_process(place, "ploverspoke", ["config", "serve", str(own)])
            server.ready = accepts_connections(place.host, place.ports["clients"])
        await rig.open_proxy()
        await rig.start_processes(None, ["--new"])

    async def leader(self) -> ProcessAddress:
        """Raises ProcessStartError where none leads in time."""
        until = time.monotonic() + LEADS_WITHIN
        while time.monotonic() < until:
            for place in self.places:
                with contextlib.suppress(OSError, FrameError):
                    said = await asyncio.to_thread(
                        call_replica, place.endpoint("peers"), SECRET.encode(), StatusRequest(), StatusRow
                    )
                    if said.leads:
                        return place
            await asyncio.sleep(0.1)
        raise ProcessStartError("no config server leads")

    async def publish(self, size: int) -> None:
        """The next version, of a body of so many bytes, as the command does it. Raises ProcessStartError."""
        servers = ConfigServers({p.name: p.endpoint("peers") for p in self.places}, SECRET.encode())
        body = body_of(size, self.number)
        self.number += 1
        try:
            said = await asyncio.to_thread(publish_body, servers, body, None, "slopes", 5.0)
        except NoServerAvailableError as error:
            raise ProcessStartError(f"a version could not be published: {error}") from None
        if not said.accepted:
            raise ProcessStartError(f"a version was not taken: {said.reason}")

    async def octets(self) -> tuple[float, Octets]:
        await self.rig.link_faults.read_counters(by_link=True)
        return time.monotonic(), self.rig.link_faults.counters.bytes_by_link

    def watch_file(self, place: ProcessAddress) -> Path:
        path = self.rig.folder / "watch.json"
        orders = {"cluster": CLUSTER, "servers": [place.proxied_endpoint("clients")], "secret_file": "secret"}
        path.write_bytes(msgspec.json.encode({**orders, "cache": "cache.json"}))
        return path


# ---- One server ----


async def _server(
    watchers: int, changes: int, body: int, asked: MeasurementRequest
) -> tuple[float, dict[str, float], str]:
    with tempfile.TemporaryDirectory(prefix="ploverspoke-slopes-", dir=memory_backed_folder()) as name:
        try:
            async with Rig(Path(name), SEED) as rig:
                found = await _measure(rig, watchers, changes, body, asked)
                void = rig.void_reason()
        except (ProcessStartError, OSError, FrameError) as error:
            found, void = {}, str(error) or "not ready in time"
    shown = void or f"core {found['core_share']:.2%}"
    asked.say(f"config server, {watchers} watchers, {changes} changes a minute of {body} bytes: {shown}")
    return float(watchers), found, void


async def _measure(
    rig: Rig, watchers: int, changes: int, body: int, asked: MeasurementRequest
) -> dict[str, float]:
    over, servers = settled_interval(asked.quick), Servers(rig)
    await servers.start()
    place = await servers.leader()
    await servers.publish(body)
    taken: list[int] = []

    def take(version: VerifiedVersion) -> None:
        taken.append(version.number)

    loop = asyncio.get_running_loop()
    clients = []
    for n in range(watchers):
        cache = rig.folder / f"cache-{n}.json"
        orders = WatchConfig(CLUSTER, [place.proxied_endpoint("clients")], [], SECRET.encode(), cache)
        clients.append(WatchClient(loop, orders, f"d{n}", take, seed=n))
    try:
        for client in clients:
            client.start()
        await asyncio.sleep(over.settled)
        if len(taken) != watchers:
            raise ProcessStartError(f"{len(taken)} of {watchers} watchers have the first version")
        looks: dict[str, list[tuple[int, ResourceUsage]]] = {p.name: [] for p in servers.places}
        before = await servers.octets()
        began, published, each = time.monotonic(), 0, 60 / changes if changes else 0.0
        while time.monotonic() < began + over.lasts:
            for name, seen in looks.items():
                process = rig.processes[name].process
                if process is not None:
                    seen.append((time.monotonic_ns(), read_resource_usage(process.pid)))
            if each and time.monotonic() >= began + 0.3 + published * each:
                await servers.publish(body)
                published += 1
            await asyncio.sleep(min(LOOKS_EVERY, max(0.05, each / 4)) if each else LOOKS_EVERY)
        after = await servers.octets()
        await asyncio.sleep(1.0)
        wanted = watchers * (1 + published)
        if len(taken) != wanted or (await servers.leader()).name != place.name:
            raise ProcessStartError(f"{len(taken)} versions came to watchers where {wanted} were sent")
    finally:
        for client in clients:
            client.close()
    return _figures(place.name, looks, before, after)


def _figures(
    leader: str, looks: dict[str, list[tuple[int, ResourceUsage]]], before: tuple[float, Octets],
    after: tuple[float, Octets],
) -> dict[str, float]:  # fmt: skip
    took = after[0] - before[0]

    def rate(ends: Sequence[str]) -> float:
        return sum(after[1].get(end, 0) - before[1].get(end, 0) for end in ends) / took

    def both(name: str) -> tuple[float, float]:
        into = rate([ends for ends in after[1] if ends.endswith(f">{name}")])
        return into, rate([ends for ends in after[1] if ends.startswith(f"{name}>")])

    def core(name: str) -> float:
        (first_at, first), (last_at, last) = looks[name][0], looks[name][-1]
        return (last.processor - first.processor) / (last_at - first_at)

    others = [name for name in looks if name != leader]
    into, out = both(leader)
    rest = [both(name) for name in others]
    return {
        "core_share": core(leader),
        "memory_bytes": float(looks[leader][-1][1].memory),
        "memory_growth_bytes": growth([(at / SECOND, float(seen.memory)) for at, seen in looks[leader]]),
        "bytes_in": into,
        "bytes_out": out,
        "bytes_in_watchers": rate([f"{OUTSIDE}>{leader}"]),
        "bytes_out_watchers": rate([f"{leader}>{OUTSIDE}"]),
        "follower_core_share": float(np.mean([core(name) for name in others])),
        "follower_memory_bytes": float(np.mean([looks[name][-1][1].memory for name in others])),
        "follower_bytes_in": float(np.mean([one[0] for one in rest])),
        "follower_bytes_out": float(np.mean([one[1] for one in rest])),
    }


async def _all(
    worlds: Sequence[Awaitable[tuple[float, dict[str, float], str]]], asked: MeasurementRequest
) -> list[tuple[float, dict[str, float], str]]:
    if asked.together:
        return list(await asyncio.gather(*worlds))
    return [await world for world in worlds]


def _found(
    role: str, size: str, seen: Sequence[tuple[float, dict[str, float], str]], how: str,
    still: dict[str, float], more: str = "",
) -> MeasurementResult:  # fmt: skip
    void = [f"{role}, {size} {at:g}: {why}" for at, _, why in seen if why]
    note = "; ".join([*(f"void: {text}" for text in void), *([more] if more else [])])
    points = [(at, figures) for at, figures, why in seen if not why]
    return MeasurementResult(cost_lines(MeasuredLoad(role, size, how, still, note), points), void)


async def watchers(asked: MeasurementRequest) -> MeasurementResult:
    seen = await _all([_server(count, 0, BODIES[0], asked) for count in WATCHERS], asked)
    still = {"changes_a_minute": 0.0, "servers": float(SERVERS)}
    return _found("config server", "watchers", seen, HOW, still)


async def changes_at_server(asked: MeasurementRequest) -> MeasurementResult:
    found, count = MeasurementResult([], []), WATCHERS[1]
    for body in BODIES:
        seen = await _all([_server(count, changes, body, asked) for changes in CHANGES], asked)
        sized = [(float(c), figures, why) for c, (_, figures, why) in zip(CHANGES, seen, strict=True)]
        still = {"watchers": float(count), "body_bytes": float(body), "servers": float(SERVERS)}
        one = _found("config server", "changes_a_minute", sized, HOW, still)
        found = MeasurementResult([*found.lines, *one.lines], [*found.void, *one.void])
    return found


# ---- A dispatcher that watches ----


async def _dispatcher(
    changes: int, body: int, asked: MeasurementRequest
) -> tuple[float, dict[str, float], str]:
    """`changes` below 0: without a watch."""
    over = settled_interval(asked.quick)
    e = ex.parse_experiment(report_listener(over))
    if changes < 0:
        _, reading = await run_fleet(e, SEED, over.settled * SECOND)
        return 0.0, reading.figures, reading.void
    octets: list[tuple[float, Octets]] = []
    with tempfile.TemporaryDirectory(prefix="ploverspoke-slopes-", dir=memory_backed_folder()) as name:
        try:
            async with Rig(Path(name), SEED) as rig:
                servers = Servers(rig)
                await servers.start()
                place = await servers.leader()
                acts: list[tuple[int, Act]] = [(SECOND, partial(_publish, servers, body))]
                acts.append((over.settled * SECOND, partial(_octets, servers, octets)))
                count = changes * over.lasts // 60
                for n in range(count):
                    at = (over.settled + 0.3 + n * over.lasts / count) * SECOND
                    acts.append((int(at), partial(_publish, servers, body)))
                acts.append((over.end * SECOND, partial(_octets, servers, octets)))
                watch = servers.watch_file(place)
                _, reading = await run_fleet(e, SEED, over.settled * SECOND, acts, watch=watch)
                void = reading.void or rig.void_reason()
        except (ProcessStartError, OSError, FrameError) as error:
            return float(changes), {}, str(error) or "not ready in time"
    if not void and len(octets) < 2:
        void = "too little was seen at the config servers"
    # What config servers say is counted in bytes only.
    figures = {key: value for key, value in reading.figures.items() if "messages" not in key}
    if not void:
        (begin, before), (end, after) = octets
        for key, ends in (("in", f"{place.name}>{OUTSIDE}"), ("out", f"{OUTSIDE}>{place.name}")):
            rate = (after.get(ends, 0) - before.get(ends, 0)) / (end - begin)
            figures[f"bytes_{key}_config"] = rate
            figures[f"bytes_{key}"] += rate
    shown = void or f"core {figures['core_share']:.3%}, {figures['bytes_in_config']:.0f} bytes a second in"
    asked.say(f"dispatcher watching configuration, {changes} changes a minute of {body} bytes: {shown}")
    return float(changes), figures, void


async def _publish(servers: Servers, body: int, world: MeasurementFleet) -> None:
    await servers.publish(body)
    world.reloads += 1


async def _octets(servers: Servers, octets: list[tuple[float, Octets]], world: MeasurementFleet) -> None:
    octets.append(await servers.octets())


async def changes_at_dispatcher(asked: MeasurementRequest) -> MeasurementResult:
    found = MeasurementResult([], [])
    for body in BODIES:
        worlds = [_dispatcher(changes, body, asked) for changes in (-1, *CHANGES)]
        without, *seen = await _all(worlds, asked)
        more = without[2] and f"without a watch: void: {without[2]}"
        if not more:
            figures = without[1]
            more = (
                f"without a watch, in the same call: core_share {figures['core_share']:.6f}, "
                f"memory_bytes {figures['memory_bytes']:.0f}"
            )
        still = {"body_bytes": float(body), "workers_listed": float(WORKERS)}
        role = "dispatcher watching configuration"
        one = _found(role, "changes_a_minute", seen, WATCHING_HOW, still, more)
        found = MeasurementResult([*found.lines, *one.lines], [*found.void, *one.void])
    return found


# ---- The command that publishes ----


async def publisher(asked: MeasurementRequest) -> MeasurementResult:
    """One run of `config publish`, from its start to the committed version."""
    seen = []
    for body in PUBLISHED:
        figures: dict[str, float] = {}
        with tempfile.TemporaryDirectory(prefix="ploverspoke-slopes-", dir=memory_backed_folder()) as name:
            try:
                async with Rig(Path(name), SEED) as rig:
                    servers = Servers(rig)
                    await servers.start()
                    place = await servers.leader()
                    path = rig.folder / "body.json"
                    path.write_text(body_of(body, 0))
                    words = ["config", "publish", str(rig.folder / f"{place.name}.json"), str(path)]
                    figures, void = await asyncio.to_thread(run_command, words), ""
            except (ProcessStartError, OSError, FrameError) as error:
                void = str(error) or "not ready in time"
        asked.say(f"configuration publisher, {body} bytes: {void or figures['processor_seconds']}")
        seen.append((float(body), figures, void))
    return _found("configuration publisher", "body_bytes", seen, RUN_HOW, {"servers": float(SERVERS)})


MEASUREMENTS = [
    Measurement(("config server",), "watchers", watchers),
    Measurement(("config server",), "changes_a_minute", changes_at_server),
    Measurement(("dispatcher watching configuration",), "changes_a_minute", changes_at_dispatcher),
    Measurement(("configuration publisher",), "body_bytes", publisher),
]
