"""A run of keepers and contenders under a drawn timeline: `play` starts, troubles, ends and judges them."""

import asyncio
import tempfile
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from ..checkers.lease_checker import MIN_HOLDER_CHANGES, LeaseVerdict, check_lease_history, takeover_gaps
from ..experiment_files.durations import MILLISECOND, SECOND, Duration, format_duration, parse_duration
from ..experiment_files.fault_timeline import FaultStep, TimelineError, check_timeline
from ..fakes.lease_candidate import LeaseCandidateSpec
from ..processes.addresses import ProcessAddress
from ..processes.capacity_check import memory_backed_folder
from ..processes.child_process import ChildProcess
from ..processes.drawn_timeline import FaultWeight, draw_timeline
from ..processes.history import HistoryEvent, read_history
from ..processes.link_faults import LinkCounters
from ..processes.readiness import accepts_connections
from ..processes.rig import Rig
from ..processes.running_process import RunningProcess

HOLDER_KILLED = "holder killed"
CALM = 6 * SECOND  # at the end, without troubles
MODULE = "ploverspoke.testbed.fakes"
SECRET = "a secret of the testbed's own"


class LeaseScenario(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What is played. Times of troubles are means."""

    keepers: int = 5
    contenders: int = 20
    names: dict[str, int] = msgspec.field(
        default_factory=lambda: {"one": 1, "two": 1, "three": 3}
    )  # and places
    lasts: Duration = Duration(60 * SECOND)
    duration: Duration = Duration(SECOND)
    election: Duration = Duration(100 * MILLISECOND)
    kills: Duration = Duration(3 * SECOND)
    pauses: Duration = Duration(2 * SECOND)
    cuts: Duration = Duration(2 * SECOND)
    rough: Duration = Duration(4 * SECOND)
    many: int = 0  # further names, of one place each
    each: int = 0  # so many of those each contender wants, and none of `names`; 0: all
    rest: Duration = Duration(20 * MILLISECOND)  # between two effects under a lease
    drifting: bool = True
    fenced: bool = True
    outlasts: bool = False  # a planted fault, for tests of the checker: see `LeaseCandidateSpec`
    keeps: float = 0.05  # chance that a contender goes on for good
    holder_killed: Duration = Duration(0)  # so often the holder of the first name is killed; 0: never

    def places(self) -> dict[str, int]:
        return {**self.names, **{f"n{number}": 1 for number in range(self.many)}}

    def wanted(self, contender: int) -> list[str]:
        """By that contender; with `each`, a name is wanted by contenders far apart."""
        if not self.each:
            return list(self.places())
        return [f"n{(contender * self.each + k) % self.many}" for k in range(self.each)]


class MustHold(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    changes: int = MIN_HOLDER_CHANGES  # of holder, over all names; with fewer a run is void
    gap: Duration = Duration(0)  # from a kill of the holder to another's first look, at the 99th percentile
    kills: int = 0  # of holders, with fewer a run is void
    none_lost: bool = False  # no lease is lost by one that lives


class LeaseExperiment(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A file with `kind = "leases"`."""

    kind: str
    name: str
    about: str = ""
    seeds: list[int]
    calm: bool = False  # nothing is done to anybody, but for kills of holders
    plan: LeaseScenario = LeaseScenario()
    must_hold: MustHold = MustHold()


class Outcome(NamedTuple):
    verdict: LeaseVerdict
    void: str
    faults: list[str]  # what went wrong by itself
    shown: list[str]  # findings, each with what happened round it
    events: list[HistoryEvent]
    steps: list[FaultStep]
    links: LinkCounters


def timeline(plan: LeaseScenario, seed: int) -> list[FaultStep]:
    """The troubles of a run, by its seed."""
    keepers = [f"k{n}" for n in range(plan.keepers)]
    contenders = [f"c{n}" for n in range(plan.contenders)]
    longest = [Duration(100 * MILLISECOND), Duration(10 * SECOND)]
    short = [Duration(100 * MILLISECOND), Duration(2 * SECOND)]
    weights = [
        FaultWeight(kind="kill", processes=contenders, interval=plan.kills, durations=short),
        FaultWeight(kind="kill", processes=keepers, interval=Duration(plan.kills * 2), durations=short),
        FaultWeight(kind="pause", processes=contenders, interval=plan.pauses, durations=longest),
        FaultWeight(kind="pause", processes=keepers, interval=Duration(plan.pauses * 3), durations=short),
        FaultWeight(kind="cut", processes=[*keepers, *contenders], interval=plan.cuts, durations=short),
        FaultWeight(kind="cut", processes=keepers, interval=Duration(plan.cuts * 3), durations=short),
        FaultWeight(
            kind="cut", processes=[*contenders, "r"], interval=Duration(plan.cuts * 2), durations=short
        ),
        FaultWeight(
            kind="rough", processes=[*keepers, *contenders, "r"], interval=plan.rough, durations=short
        ),
        FaultWeight(
            kind="wall jumps",
            processes=keepers,
            interval=Duration(5 * SECOND),
            durations=[Duration(0), Duration(0)],
        ),
        FaultWeight(
            kind="reset", processes=contenders, interval=plan.rough, durations=[Duration(0), Duration(0)]
        ),
    ]
    return draw_timeline(weights, plan.lasts, seed, calm=CALM)


class LeaseFleet:
    """The processes of one run on a rig."""

    def __init__(self, rig: Rig, plan: LeaseScenario) -> None:
        self.rig, self.plan = rig, plan
        self.keepers: list[ProcessAddress] = []
        self.contenders: list[RunningProcess] = []
        self.resource: ChildProcess | None = None
        self.file = rig.folder / "keepers.json"

    async def start(self) -> None:
        rig, plan = self.rig, self.plan
        (rig.folder / "secret").write_text(SECRET)
        self.keepers = [rig.allocate_address(f"k{n}", ["peers", "clients"]) for n in range(plan.keepers)]
        replicas = {
            p.name: {"peers": p.proxied_endpoint("peers"), "clients": p.proxied_endpoint("clients")}
            for p in self.keepers
        }
        common: dict[str, Any] = {
            "cluster": "testbed",
            "secret_file": "secret",
            "replicas": replicas,
            "election_ms": plan.election // MILLISECOND,
            "snapshot_every": 200,
            "leases": {
                name: {"places": places, "longest_ms": plan.duration * 3 // MILLISECOND}
                for name, places in plan.places().items()
            },
        }
        self.file.write_bytes(msgspec.json.encode(common))
        for place in self.keepers:
            own = rig.folder / f"{place.name}.json"
            own.write_bytes(msgspec.json.encode({**common, "name": place.name, "folder": place.name}))
            keeper = rig.add_process(place, "ploverspoke", ["lease-server", str(own)])
            keeper.ready = accepts_connections(place.host, place.ports["clients"])
        resource = rig.allocate_address("r", ["act"])
        for number in range(plan.contenders):
            place = rig.allocate_address(f"c{number}")
            spec = rig.folder / f"{place.name}.spec.json"
            told = LeaseCandidateSpec(
                place.name,
                rig.seed,
                str(self.file),
                resource.proxied_endpoint("act"),
                str(rig.folder / f"{place.name}.acts.history"),
                plan.wanted(number),
                int(plan.duration),
                plan.duration // 5,
                plan.rest / SECOND,
                plan.keeps,
                plan.outlasts,
            )
            spec.write_bytes(msgspec.json.encode(told))
            running = rig.add_process(place, f"{MODULE}.lease_candidate", [str(spec)])
            if plan.drifting:
                running.clock_rate = (0.95, 1.0, 1.05)[number % 3]
            self.contenders.append(running)
        await rig.open_proxy()
        history = str(rig.folder / "resource.history")
        # Where several may hold a lease, no order of tokens says whose is old.
        fenced = [name for name, places in plan.places().items() if places == 1 and plan.fenced]
        words = [resource.host, str(resource.ports["act"]), history, *fenced]
        self.resource = await rig.start_child(f"{MODULE}.protected_resource", words)
        await self.resource.receive()
        await rig.start_processes([place.name for place in self.keepers], ["--new"])
        await rig.start_processes([running.name for running in self.contenders])

    async def kill_holders(self) -> None:
        """The one whose effects came last on the first name is killed, and started again a while later."""
        name, every = next(iter(self.plan.names)), self.plan.holder_killed / SECOND
        by_address = {self.rig.addresses[running.name].host: running for running in self.contenders}
        history = self.rig.folder / "resource.history"
        while True:
            await asyncio.sleep(every)
            effects = [e.detail for e in read_history(history) if e.kind == "effect" and e.detail[0] == name]
            holder = by_address[effects[-1][4]] if effects else None
            if holder is not None and holder.is_running():
                self.rig.history.add(HOLDER_KILLED, [holder.name, name])
                await holder.kill()
                await asyncio.sleep(every / 4)
                await holder.start()


async def _play(plan: LeaseScenario, seed: int, folder: Path, steps: list[FaultStep] | None) -> Outcome:
    async with Rig(folder, seed) as rig:
        leases = LeaseFleet(rig, plan)
        await leases.start()
        names = list(rig.addresses)
        played = check_timeline(timeline(plan, seed) if steps is None else steps, names)
        killing = asyncio.create_task(leases.kill_holders()) if plan.holder_killed else None
        await rig.run_timeline(played, plan.lasts)
        if killing is not None:
            killing.cancel()
        events = rig.read_events()
    verdict = check_lease_history(events, plan.places())
    shown = [rig.describe_finding(what, at) for what, at in verdict.findings[:3]]
    return Outcome(
        verdict, rig.void_reason(), rig.errors, shown, events, played, rig.link_faults.counters.links
    )


def read_lease_experiment(told: dict[str, Any]) -> LeaseExperiment:
    """Raises TimelineError, naming the key."""
    try:
        found = msgspec.convert(told, LeaseExperiment, dec_hook=lambda kind, value: parse_duration(value))
    except msgspec.ValidationError as error:
        raise TimelineError(str(error)) from None
    except ValueError as error:
        raise TimelineError(f"plan: {error}") from None
    if not found.plan.names or min(found.plan.names.values()) < 1:
        raise TimelineError("plan.names: expected names, each with 1 place or more")
    if found.plan.each > found.plan.many:
        raise TimelineError("plan.each: expected at most plan.many")
    if found.plan.keepers not in (1, 3, 5) or found.plan.contenders < 1:
        raise TimelineError("plan.keepers: expected 1, 3 or 5, and plan.contenders 1 or more")
    return found


def run_leases(e: LeaseExperiment, seed: int) -> dict[str, Any]:
    """One seed: figures, `void`, what `failed`, and findings with what happened round them."""
    outcome = run_lease_scenario(e.plan, seed, [] if e.calm else None)
    verdict, must = outcome.verdict, e.must_hold
    waits = takeover_gaps(outcome.events, HOLDER_KILLED)
    lost = [event for event in outcome.events if event.kind == "lost"]
    p99 = waits[int(len(waits) * 0.99) - 1] if len(waits) > 1 else 0.0
    void = outcome.void or verdict.void_reason(must.changes)
    if not void and len(waits) < must.kills:
        void = f"only {len(waits)} kills of a holder: that proves nothing"
    failed = [*(what for what, _ in verdict.findings), *outcome.faults]
    if must.gap and p99 * SECOND > must.gap:
        failed.append(
            f"another acts {p99:.2f} s after a kill, {format_duration(must.gap)} at the most were wanted"
        )
    if must.none_lost and lost:
        failed.append(f"{len(lost)} leases were lost by holders that live, the first: {lost[0].detail}")
    figures = {
        "seed": seed,
        "effects": verdict.checks,
        "changes": verdict.holder_changes,
        "refused_tokens": verdict.rejected_effects,
        "lost": len(lost),
        "steps": len(outcome.steps),
        "holder_kills": len(waits),
        "gap_p50_s": waits[len(waits) // 2] if waits else 0.0,
        "gap_p99_s": p99,
        "gap_most_s": waits[-1] if waits else 0.0,
    }
    return {**figures, "void": void, "failed": failed, "shown": outcome.shown}


def run_lease_scenario(plan: LeaseScenario, seed: int, steps: list[FaultStep] | None = None) -> Outcome:
    """One run, in real time; `steps` in place of the timeline that the seed draws."""
    with tempfile.TemporaryDirectory(prefix="ploverspoke-leases-", dir=memory_backed_folder()) as name:
        return asyncio.run(_play(plan, seed, Path(name), steps))
