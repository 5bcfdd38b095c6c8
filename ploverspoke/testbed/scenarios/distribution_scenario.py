"""A run of config servers and dispatchers that watch them, in two regions, under a drawn timeline: `play`
starts, troubles, ends and judges them.
"""

import asyncio
import os
import shutil
import tempfile
from collections.abc import Mapping, Sequence
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import msgspec

from ploverspoke.consensus.admin_messages import StatusRequest, StatusRow
from ploverspoke.consensus.framing import FrameError
from ploverspoke.consensus.replica_client import call_replica

from ..checkers.distribution_checker import (
    MIN_FAULTS,
    MIN_VERSIONS,
    DistributionVerdict,
    check_distribution_history,
)
from ..experiment_files.durations import MILLISECOND, SECOND, Duration, format_duration, parse_duration
from ..fakes.config_client_messages import (
    Action,
    ConfigClientsCommand,
    ConfigClientsOpened,
    ConfigClientsReply,
    ConfigClientsSpec,
    request_classes_of,
)
from ..processes.addresses import ProcessAddress
from ..processes.capacity_check import memory_backed_folder
from ..processes.child_process import ChildProcess
from ..processes.fault_timeline import FaultStep, FaultWeight, TimelineError, check_timeline, draw_timeline
from ..processes.history import HistoryEvent, events_around, monotonic_now
from ..processes.link_faults import LinkCounters, LinkFault
from ..processes.readiness import accepts_connections
from ..processes.rig import Rig
from ..processes.running_process import ProcessStartError, RunningProcess

MODULE = "ploverspoke.testbed.fakes"
SECRET = "a secret of the testbed's own"
REGIONS = ("a", "b")
QUIET = 2 * SECOND  # at the end, beyond `within`
COPIED_AT = 1500 * MILLISECOND  # folders of dispatchers, for a later start with an older one
FIRST = 2 * SECOND  # of what is done to dispatchers, then
SETTLED = 10 * SECOND  # after the regions lose each other, or find each other
SHOWN = 60  # events round a finding
MOST_LATE = 400 * MILLISECOND  # of publishers and probers
Instead = Mapping[str, Sequence[str]]  # modules and their first words, by process: for planted faults


class DistributionScenario(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What is played. Times of troubles are means; 0: none of that kind."""

    servers: int = 3
    dispatchers: int = 6
    lasts: Duration = Duration(25 * SECOND)
    within: Duration = Duration(10 * SECOND)  # of the promise
    publishers: int = 3
    every: Duration = Duration(600 * MILLISECOND)  # between two publications of one publisher
    stubborn: float = 0.75  # share of publications that are tried again where no answer came
    near_one: bool = False  # each dispatcher prefers one server, in turn, and not those of its region
    probe: Duration = Duration(150 * MILLISECOND)  # between two rounds at one dispatcher
    election: Duration = Duration(200 * MILLISECOND)
    snapshot_every: int = 100
    far: Duration = Duration(20 * MILLISECOND)  # from one region to the other
    kills: Duration = Duration(3 * SECOND)
    pauses: Duration = Duration(3 * SECOND)
    cuts: Duration = Duration(2 * SECOND)
    rough: Duration = Duration(3 * SECOND)
    emptied: Duration = Duration(8 * SECOND)  # a server's folder is lost, and found again
    leader_cut: Duration = Duration(
        0
    )  # so often whoever leads then is cut off from the other servers, nearly as long
    hushes: Duration = Duration(
        0
    )  # nothing is published behind one that is refused, for `within` and a second
    apart_at: Duration = Duration(0)  # the regions lose each other then
    apart: Duration = Duration(0)  # for so long
    seen_every: Duration = Duration(0)  # memory, log and bytes are looked at

    def region(self, number: int) -> str:
        return REGIONS[number % len(REGIONS)]

    def server_names(self) -> list[str]:
        return [f"{self.region(n)}-s{n}" for n in range(self.servers)]

    def dispatcher_names(self) -> list[str]:
        return [f"{self.region(n)}-d{n}" for n in range(self.dispatchers)]

    def calm(self) -> int:
        """How much of the end is without troubles and publications."""
        return self.within + QUIET


class MustHold(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    versions: int = MIN_VERSIONS  # seen in force; with fewer a run is void
    troubles: int = MIN_FAULTS
    calm: Duration = Duration(
        0
    )  # the longest from the acknowledgement until in force, where nothing is wrong


class DistributionExperiment(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A file with `kind = "distribution"`."""

    kind: str
    name: str
    about: str = ""
    seeds: list[int]
    calm: bool = False  # nothing is done to anybody
    plan: DistributionScenario = DistributionScenario()
    must_hold: MustHold = MustHold()


class Looked(NamedTuple):
    """What there is at one time; memory is of all of one kind in one region together, in bytes."""

    at: int  # ns from the start
    servers_a: int
    servers_b: int
    dispatchers_a: int
    dispatchers_b: int
    folders: int  # bytes that servers keep on disk
    octets: int  # that went through the relays so far


class Outcome(NamedTuple):
    verdict: DistributionVerdict
    void: str
    faults: list[str]  # what went wrong by itself
    shown: list[str]  # findings, each with what happened round it
    events: list[HistoryEvent]
    steps: list[FaultStep]
    links: LinkCounters
    looked: list[Looked]


def timeline(plan: DistributionScenario, seed: int) -> list[FaultStep]:
    """The troubles of a run, by its seed."""
    servers, dispatchers = plan.server_names(), plan.dispatcher_names()
    everyone = [*servers, *dispatchers]
    short = [Duration(100 * MILLISECOND), Duration(3 * SECOND)]
    longer = [Duration(100 * MILLISECOND), Duration(6 * SECOND)]
    once = [Duration(0), Duration(0)]
    weights = [
        ("kill", dispatchers, plan.kills, short),
        ("kill", servers, plan.kills * 2, short),
        ("restart", everyone, plan.kills * 3, once),
        ("empty", dispatchers, plan.kills * 3, short),
        ("older", dispatchers, plan.kills * 3, short),
        ("pause", dispatchers, plan.pauses, longer),
        ("pause", servers, plan.pauses * 2, short),
        ("cut", everyone, plan.cuts, longer),
        ("cut", servers, plan.cuts * 3, short),
        ("silent", dispatchers, plan.cuts * 3, short),
        ("rough", everyone, plan.rough, longer),
        ("reset", dispatchers, plan.rough * 2, once),
    ]
    steps = draw_timeline(
        [
            FaultWeight(kind=what, processes=who, interval=Duration(every), durations=lasts)
            for what, who, every, lasts in weights
            if every
        ],
        plan.lasts,
        seed,
        calm=plan.calm(),
    )
    if any(step.kind == "older" for step in steps):
        # Folders are copied first: then there is an older one to start with.
        steps = [step for step in steps if step.start >= FIRST or not set(step.processes) & set(dispatchers)]
        steps += [FaultStep(start=Duration(COPIED_AT), kind="copy", processes=[name]) for name in dispatchers]
    return [*steps, *regions(plan)]


def regions(plan: DistributionScenario) -> list[FaultStep]:
    """How far they are from one another, and when they are apart."""
    names = [*plan.server_names(), *plan.dispatcher_names()]
    one, other = ([name for name in names if name.startswith(region)] for region in REGIONS)
    steps = []
    if plan.far:
        jitter = Duration(plan.far // 4)
        steps.append(
            FaultStep(
                start=Duration(0),
                kind="delay",
                processes=one,
                peers=other,
                both_directions=True,
                delay=plan.far,
                jitter=jitter,
            )
        )
    if plan.apart:
        steps.append(
            FaultStep(
                start=plan.apart_at,
                kind="cut",
                processes=one,
                peers=other,
                both_directions=True,
                duration=plan.apart,
            )
        )
    return steps


class Distribution:
    """The processes of one run on a rig."""

    def __init__(self, rig: Rig, plan: DistributionScenario, instead: Instead) -> None:
        self.rig, self.plan, self.instead = rig, plan, instead
        self.servers: list[ProcessAddress] = []
        self.dispatchers: list[ProcessAddress] = []
        self.clients: ChildProcess | None = None
        self.looked: list[Looked] = []
        self.late = 0

    def add(self, place: ProcessAddress, words: list[str]) -> RunningProcess:
        module, *first = self.instead.get(place.name, ["ploverspoke"])
        return self.rig.add_process(place, module, [*first, *words])

    async def start(self) -> None:
        rig, plan = self.rig, self.plan
        rig.history.add("roles", {"servers": plan.server_names(), "dispatchers": plan.dispatcher_names()})
        (rig.folder / "secret").write_text(SECRET)
        self.servers = [rig.allocate_address(name, ["peers", "clients"]) for name in plan.server_names()]
        replicas = {
            p.name: {"peers": p.proxied_endpoint("peers"), "clients": p.proxied_endpoint("clients")}
            for p in self.servers
        }
        for place in self.servers:
            told = {
                "cluster": "testbed",
                "name": place.name,
                "folder": place.name,
                "secret_file": "secret",
                "replicas": replicas,
                "election_ms": plan.election // MILLISECOND,
                "snapshot_every": plan.snapshot_every,
            }
            path = rig.folder / f"{place.name}.json"
            path.write_bytes(msgspec.json.encode(told))
            server = self.add(place, ["config", "serve", str(path)])
            server.ready = accepts_connections(place.host, place.ports["clients"])
        self.dispatchers = [
            rig.allocate_address(name, direct=["submissions", "operators"])
            for name in plan.dispatcher_names()
        ]
        await rig.open_proxy()
        discovery = await self.start_clients()
        for number, place in enumerate(self.dispatchers):
            self.add_dispatcher(number, place, discovery)
        await rig.start_processes([place.name for place in self.servers], ["--new"])
        await rig.start_processes([place.name for place in self.dispatchers])

    def add_dispatcher(self, number: int, place: ProcessAddress, discovery: str) -> None:
        folder, region = self.rig.folder, self.plan.region(number)
        clients = {server.name: server.proxied_endpoint("clients") for server in self.servers}
        near = [where for name, where in clients.items() if name.startswith(region)]
        if self.plan.near_one:
            near = [list(clients.values())[number % len(clients)]]
        watch = {
            "cluster": "testbed",
            "servers": list(clients.values()),
            "near": near,
            "secret_file": "secret",
            "cache": f"{place.name}/cache.json",
        }
        own = {
            "name": place.name,
            "listen": place.endpoint("submissions"),
            "admin_addr": place.endpoint("operators"),
            "discovery": discovery,
            "settings": {
                "Discovery": "push",
                "Localities": list(REGIONS),
                "HostTypes": ["plain"],
                "Zone": number % len(REGIONS),
                "SlotNo": number,
                "PeersTotal": self.plan.dispatchers,
                "RoundUs": 2000,
                "Limits": {"MaxHandOffs": 2},
                "Invariants": {
                    "ColdShare": 0.3,
                    "WarmWithinUs": 1_000_000,
                    "TipMultiple": 3.0,
                    "FallUs": 2_000_000,
                },
                "ServiceGrades": request_classes_of(0),
            },
        }
        files = {"watch": watch, "own": own}
        for name, told in files.items():
            (folder / f"{place.name}.{name}.json").write_bytes(msgspec.json.encode(told))
        paths = {name: str(folder / f"{place.name}.{name}.json") for name in files}
        dispatcher = self.add(place, ["serve", paths["own"], "--watch", paths["watch"]])
        dispatcher.ready = accepts_connections(place.host, place.ports["submissions"])

    async def start_clients(self) -> str:
        """Gives the address of discovery."""
        rig, plan = self.rig, self.plan
        spec = ConfigClientsSpec(
            rig.seed,
            str(rig.folder / "clients.history"),
            SECRET,
            {place.name: place.endpoint("peers") for place in self.servers},
            {place.proxied_endpoint("peers"): place.name for place in self.servers},
            {
                place.name: [place.endpoint("submissions"), place.endpoint("operators")]
                for place in self.dispatchers
            },
            rig.block.fake_host(0),
            plan.publishers,
            int(plan.every),
            plan.stubborn,
            int(plan.probe),
            int(plan.hushes),
            plan.within + SECOND,
        )
        path = rig.folder / "clients.json"
        path.write_bytes(msgspec.json.encode(spec))
        self.clients = await rig.start_child(f"{MODULE}.config_clients", [str(path)])
        opened = await self.clients.receive_as(ConfigClientsOpened)
        if opened is None:
            raise ProcessStartError("publishers and probers ended at their start")
        return opened.discovery

    async def tell(self, action: Action) -> None:
        assert self.clients is not None
        self.clients.send(ConfigClientsCommand(action))
        reply = await self.clients.receive_as(ConfigClientsReply)
        if reply is None:
            raise ProcessStartError(f"publishers and probers ended before {action!r} was done")
        self.late = max(self.late, reply.lateness)

    # ---- While it is played ----

    async def empty_servers(self) -> None:
        """A server's folder is gone at its start, and it is told of no new set: it must not serve. Then the
        folder is found again.
        """
        chance = Random(f"{self.rig.seed} emptied")
        while self.rig.timeline.now() < self.plan.lasts - self.plan.calm() - self.plan.emptied // 2:
            await asyncio.sleep(self.plan.emptied * (0.5 + chance.random()) / SECOND / 1.5)
            running = self.rig.processes[chance.choice(self.servers).name]
            if running.name not in self.rig.timeline.busy and running.is_running():
                self.rig.timeline.busy.add(running.name)
                try:
                    await self.empty(running)
                finally:
                    self.rig.timeline.busy.discard(running.name)

    async def empty(self, running: RunningProcess) -> None:
        history, aside = self.rig.history, running.folder.with_suffix(".aside")
        history.add("empty", running.name)
        await running.kill()
        running.folder.rename(aside)
        running.folder.mkdir()
        try:
            await running.start()
            history.add("serves empty", running.name)
        except ProcessStartError:
            history.add("refuses", running.name)
        await running.kill()
        shutil.rmtree(running.folder)
        aside.rename(running.folder)
        await running.start()
        history.add("empty is over", running.name)

    async def leader(self) -> str:
        """ "" where none is sure to lead."""
        for place in self.servers:
            try:
                told = await asyncio.to_thread(
                    call_replica, place.endpoint("peers"), SECRET.encode(), StatusRequest(), StatusRow
                )
            except (OSError, FrameError):
                continue
            if told.leads:
                return place.name
        return ""

    async def cut_leaders_off(self) -> None:
        """From the other servers, and not from those that publish and watch."""
        every, rig = self.plan.leader_cut, self.rig
        while rig.timeline.now() < self.plan.lasts - self.plan.calm() - every:
            leader = await self.leader()
            if not leader:
                await asyncio.sleep(0.05)
                continue
            others = [place.name for place in self.servers if place.name != leader]
            ways = [([leader], others), (others, [leader])]
            numbers = [
                await rig.link_faults.add_fault(LinkFault(origin=one, target=other, cut=True))
                for one, other in ways
            ]
            await asyncio.sleep(every * 0.9 / SECOND)
            for number in numbers:
                await rig.link_faults.remove_fault(number)
            await asyncio.sleep(every * 0.1 / SECOND)

    async def look(self) -> None:
        while True:
            await self.rig.link_faults.read_counters()
            running = self.rig.processes
            held = {
                (kind, region): sum(
                    memory(running[place.name]) for place in places if place.name.startswith(region)
                )
                for kind, places in (("s", self.servers), ("d", self.dispatchers))
                for region in REGIONS
            }
            folders = sum(size(running[place.name].folder) for place in self.servers)
            octets = self.rig.link_faults.counters.links.bytes_passed
            self.looked.append(
                Looked(
                    self.rig.timeline.now(),
                    held["s", "a"],
                    held["s", "b"],
                    held["d", "a"],
                    held["d", "b"],
                    folders,
                    octets,
                )
            )
            await asyncio.sleep(self.plan.seen_every / SECOND)

    async def finish(self) -> None:
        """Publishers rest in time for what they did to be judged."""
        await asyncio.sleep(max(0.0, (self.plan.lasts - self.plan.calm() - self.rig.timeline.now()) / SECOND))
        await self.tell("publish last")


def memory(running: RunningProcess) -> int:
    """Bytes that are resident; 0 where it does not live."""
    try:
        assert running.process is not None
        pages = Path(f"/proc/{running.process.pid}/statm").read_text().split()[1]
    except OSError:
        return 0
    return int(pages) * os.sysconf("SC_PAGE_SIZE")


def size(folder: Path) -> int:
    found = 0
    for path in folder.rglob("*"):
        try:
            found += path.stat().st_size
        except OSError:
            continue  # it was replaced meanwhile
    return found


def shown_with(finding: str, at: int, seed: int, steps: list[FaultStep], events: list[HistoryEvent]) -> str:
    """A finding with what it takes to look into it; of the many probes, those that it speaks of."""
    near = [e for e in events if e.kind not in ("probe", "door") or e.detail[0] in finding]
    rows = [f"seed {seed}; timeline:", *(f"  {step.describe()}" for step in steps), "what happened round it:"]
    return "\n".join([finding, *rows, *(f"  {row}" for row in events_around(near, at, SHOWN))])


async def _play(
    plan: DistributionScenario, seed: int, folder: Path, steps: list[FaultStep] | None, instead: Instead
) -> Outcome:
    async with Rig(folder, seed) as rig:
        run = Distribution(rig, plan, instead)
        await run.start()
        played = check_timeline(timeline(plan, seed) if steps is None else steps, list(rig.addresses))
        await run.tell("start")
        begins = monotonic_now()
        rig.timeline.epoch = begins
        meanwhile = [asyncio.create_task(run.finish())]
        others = []
        if plan.emptied:
            meanwhile.append(asyncio.create_task(run.empty_servers()))
        if plan.leader_cut:
            meanwhile.append(asyncio.create_task(run.cut_leaders_off()))
        if plan.seen_every:
            others.append(asyncio.create_task(run.look()))
        try:
            await rig.run_timeline(played, plan.lasts, begins)
            for task in meanwhile:
                await task
        finally:
            for task in [*meanwhile, *others]:
                task.cancel()
        await run.tell("read servers")
        events = rig.read_events()
        verdict = check_distribution_history(events, plan.within)
        shown = [shown_with(what, at, seed, played, events) for what, at in verdict.findings[:3]]
    void = rig.void_reason()
    if not void and run.late > MOST_LATE:
        void = f"the machine was too slow: publishers and probers were late by {format_duration(run.late)}"
    links = rig.link_faults.counters.links
    return Outcome(verdict, void, rig.errors, shown, events, played, links, run.looked)


def run_distribution_scenario(
    plan: DistributionScenario,
    seed: int,
    steps: list[FaultStep] | None = None,
    instead: Instead | None = None,
) -> Outcome:
    """One run, in real time; `steps` in place of the timeline that the seed draws."""
    with tempfile.TemporaryDirectory(prefix="ploverspoke-distribution-", dir=memory_backed_folder()) as name:
        return asyncio.run(_play(plan, seed, Path(name), steps, instead or {}))


# ---- Experiments ----


def read_distribution_experiment(told: dict[str, Any]) -> DistributionExperiment:
    """Raises TimelineError, naming the key."""
    try:
        found = msgspec.convert(
            told, DistributionExperiment, dec_hook=lambda kind, value: parse_duration(value)
        )
    except msgspec.ValidationError as error:
        raise TimelineError(str(error)) from None
    except ValueError as error:
        raise TimelineError(f"plan: {error}") from None
    plan = found.plan
    if plan.servers not in (3, 5):
        raise TimelineError("plan.servers: expected 3 or 5")
    if not 1 <= plan.dispatchers <= 64 or not 1 <= plan.publishers <= 16:
        raise TimelineError("plan.dispatchers: expected 1 to 64, and plan.publishers 1 to 16")
    for key in ("every", "probe", "election", "within"):
        if getattr(plan, key) <= 0:
            raise TimelineError(f"plan.{key}: expected more than 0")
    if plan.lasts < 2 * plan.calm():
        raise TimelineError(
            f"plan.lasts: expected at least {format_duration(2 * plan.calm())}, twice plan.within and more"
        )
    if plan.apart and plan.apart_at + plan.apart + plan.calm() > plan.lasts:
        raise TimelineError("plan.apart: expected an end that leaves plan.within of plan.lasts")
    return found


def percentile(sorted_: Sequence[float], share: float) -> float:
    return round(sorted_[min(len(sorted_) - 1, int(len(sorted_) * share))], 3) if sorted_ else 0.0


def grown(plan: DistributionScenario, looked: list[Looked]) -> dict[str, Any]:
    """While the regions are apart, and when they are together again; nothing where they never are."""
    if not plan.apart or len(looked) < 2:
        return {}
    heals = plan.apart_at + plan.apart

    def at(when: int) -> Looked:
        return min(looked, key=lambda one: abs(one.at - when))

    begins, ends = at(plan.apart_at + SETTLED), at(heals - SETTLED // 2)
    parts = {
        f"apart_{key}_grow_bytes": getattr(ends, key) - getattr(begins, key)
        for key in ("servers_a", "servers_b", "dispatchers_a", "dispatchers_b", "folders")
    }
    for name, when in (("before", plan.apart_at - SETTLED), ("apart", heals - SETTLED), ("healing", heals)):
        one, other = at(when), at(when + SETTLED)
        parts[f"{name}_octets_a_second"] = round(
            (other.octets - one.octets) * SECOND / max(1, other.at - one.at)
        )
    return parts


def run_distribution(e: DistributionExperiment, seed: int) -> dict[str, Any]:
    """One seed: figures, `void`, what `failed`, and findings with what happened round them."""
    calm = msgspec.structs.replace(e.plan, emptied=Duration(0))
    outcome = (
        run_distribution_scenario(calm, seed, regions(calm))
        if e.calm
        else run_distribution_scenario(e.plan, seed)
    )
    verdict, must = outcome.verdict, e.must_hold
    void = outcome.void or verdict.void_reason(must.versions, must.troubles)
    failed = [*(what for what, _ in verdict.findings), *outcome.faults]
    if must.calm and verdict.calm_delays and verdict.calm_delays[-1] * SECOND > must.calm:
        failed.append(f"in force after {verdict.calm_delays[-1]:.2f} s where nothing was wrong")
    figures: dict[str, Any] = {
        "seed": seed,
        "acknowledged": verdict.acknowledged,
        "versions": verdict.versions,
        "judged": verdict.checked_probes,
        "refusals": verdict.reported_rejections,
        "troubles": verdict.faults,
        "steps": len(outcome.steps),
    }
    for name, row in (("calm", verdict.calm_delays), ("troubled", verdict.delays_after_faults)):
        figures |= {
            f"{name}_count": len(row),
            f"{name}_p50_s": percentile(row, 0.5),
            f"{name}_p99_s": percentile(row, 0.99),
            f"{name}_most_s": round(row[-1], 3) if row else 0.0,
        }
    figures |= grown(e.plan, outcome.looked)
    looked = [one._asdict() for one in outcome.looked]
    return {**figures, "void": void, "failed": failed, "shown": outcome.shown, "looked": looked}
