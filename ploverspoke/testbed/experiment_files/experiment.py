"""Experiment files: TOML read into checked types.

`read_experiment` raises ExperimentError with one line that names the key: what is unknown, of a wrong unit or
kind, names what does not exist, or lies beyond the end.
"""

import math
import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import Any, ClassVar, Literal

import msgspec
import numpy as np

from ..models.random_streams import RandomStreams
from ..processes.fault_timeline import FaultStep, TimelineError, check_timeline
from .durations import MILLISECOND, SECOND, Duration, parse_duration


class ExperimentError(ValueError):
    """The file is no experiment; the text says where and why."""


class Part(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """What all tables of a file have in common: an unknown key is an error."""


# ---- Laws of size and time ----


class Fixed(Part, tag="fixed", tag_field="law", frozen=True, kw_only=True):
    mean: Duration

    def sample(self, generator: np.random.Generator, count: int) -> np.ndarray:
        return np.full(count, float(self.mean))


class Exponential(Part, tag="exponential", tag_field="law", frozen=True, kw_only=True):
    mean: Duration

    def sample(self, generator: np.random.Generator, count: int) -> np.ndarray:
        return generator.exponential(self.mean, count)


class Lognormal(Part, tag="lognormal", tag_field="law", frozen=True, kw_only=True):
    mean: Duration
    sigma: float = 0.5  # of the logarithm

    def sample(self, generator: np.random.Generator, count: int) -> np.ndarray:
        return generator.lognormal(math.log(self.mean) - self.sigma**2 / 2, self.sigma, count)


class Pareto(Part, tag="pareto", tag_field="law", frozen=True, kw_only=True, rename={"maximum": "at_most"}):
    """A heavy tail: chance of more than x falls with x to the power of -shape, from the least on."""

    mean: Duration
    shape: float = 2.5
    maximum: Duration = Duration(60 * SECOND)

    def __post_init__(self) -> None:
        if self.shape <= 1:
            raise ValueError("shape must be over 1: below there is no mean")

    def sample(self, generator: np.random.Generator, count: int) -> np.ndarray:
        least = self.mean * (self.shape - 1) / self.shape
        return np.minimum(least * (1 + generator.pareto(self.shape, count)), self.maximum)


Law = Fixed | Exponential | Lognormal | Pareto


# ---- The fleet ----


class RequestClass(
    Part,
    frozen=True,
    kw_only=True,
    rename={
        "machine_kind": "kind",
        "retry_scope": "group",
        "retry_window": "window",
        "slot_shares": "slots",
        "affinity_keys": "subjects",
        "idempotency": "repeat",
        "latency_objective": "expected_time",
        "deadline": "abandon_time",
        "weight": "benefit",
        "overdue_weight": "overdue_benefit",
    },
):
    """A request class (`[[grades]]`), with the work of its requests."""

    name: str
    idempotency: Literal["redoable", "labelled", "irreversible"] = "redoable"
    retry_scope: Literal["all", "zone", "rack"] = "all"  # within which repeats of labelled ones are dropped
    retry_window: Duration = Duration(10 * SECOND)  # for which they are
    latency_objective: Duration = Duration(300 * MILLISECOND)
    deadline: Duration = Duration(3 * SECOND)
    weight: float = 1.0
    overdue_weight: float = 0.0
    machine_kind: str = ""  # of machine that it needs
    work: Law = Lognormal(mean=Duration(30 * MILLISECOND))  # at speed 1
    share: float = 1.0  # of the submissions, beside the other grades
    slot_shares: dict[str, float] = {}  # slot counts and their shares; one slot where none are given
    affinity_keys: int = 0  # that its jobs are about, drawn with shares that fall as 1/rank; 0: none


class Tenant(Part, frozen=True, kw_only=True):
    name: str
    share: float = 1.0


class Workers(Part, frozen=True, kw_only=True, rename={"machine_kind": "kind", "queue_limit": "waiting"}):
    """Some workers alike."""

    count: int
    machine_kind: str = "plain"
    slots: int = 4
    speed: float = 1.0
    zone: str = "a"
    rack: int | None = None  # one each where none is given
    queue_limit: int = 50  # jobs that may wait there; more are returned unstarted


class WorkerRules(
    Part,
    frozen=True,
    kw_only=True,
    rename={
        "queue_order": "start",
        "reports_start": "tells_start",
        "progress_interval": "progress_every",
        "cached_keys": "subjects_kept",
        "warmup_share": "cold_share",
        "warmup_period": "warm_within",
        "overload_multiple": "tip_multiple",
        "overload_window": "fall_within",
        "overload_downtime": "down_after_fall",
    },
):
    """How all workers behave."""

    queue_order: Literal["in order", "any that fits"] = "in order"
    cancel_stops_work: bool = True
    reports_start: bool = True
    progress_interval: Duration = Duration(SECOND)
    report_age: Duration = Duration(0)  # a load report may be so old
    report_noise: float = 0.0  # standard deviation, in parts of the value
    cached_keys: int = 200
    warmup_share: float = 0.3
    warmup_period: Duration = Duration(8 * SECOND)
    overload_multiple: float = 3.0
    overload_window: Duration = Duration(2 * SECOND)
    overload_downtime: Duration = Duration(10 * SECOND)


class Store(Part, frozen=True, kw_only=True, rename={"max_concurrent": "at_once", "fetch_time": "takes"}):
    """Shared by all workers: what a job is about is fetched from it once for each worker."""

    max_concurrent: int = 50
    fetch_time: Law = Exponential(mean=Duration(5 * MILLISECOND))


class Dispatchers(
    Part,
    frozen=True,
    kw_only=True,
    rename={"gossip": "talk", "snapshot_interval": "snapshot_every", "max_sockets": "sockets"},
):
    count: int = 2
    store: bool = False  # they are the replicas of one store (on sockets only)
    gossip: bool = False  # they tell one another where they have slots in flight (on sockets only)
    snapshot_interval: int = 20_000  # entries, where there is a store
    memory_mb: int = 192
    max_sockets: int = 1024


class Discovery(
    Part,
    frozen=True,
    kw_only=True,
    rename={
        "max_notification_delay": "tells_within",
        "call_time": "call_takes",
        "failure_detection_time": "notices_death",
    },
):
    max_notification_delay: Duration = Duration(
        200 * MILLISECOND
    )  # a change is told a uniform part of it later
    call_time: Duration = Duration(MILLISECOND)  # calls are worked through in turn
    failure_detection_time: Duration = Duration(3 * SECOND)


class Network(
    Part,
    frozen=True,
    kw_only=True,
    rename={
        "same_zone": "near",
        "other_zone": "far",
        "other_region": "farther",
        "client_to_dispatcher": "client",
        "connect_timeout": "connect_time_out",
    },
):
    same_zone: Duration = Duration(200_000)  # one way, within a zone
    other_zone: Duration = Duration(2 * MILLISECOND)  # between zones
    other_region: Duration = Duration(0)  # between regions, where there are any
    regions: list[list[str]] = []  # the zones of each; discovery stands in the first
    client_to_dispatcher: Duration = Duration(100_000)  # between clients and dispatchers
    connect_timeout: Duration = Duration(150 * MILLISECOND)


class Rules(
    Part,
    frozen=True,
    kw_only=True,
    rename={
        "max_attempts": "most_hand_offs",
        "cancel": "recall",
        "retry_after": "come_back_advice",
        "max_retry_after": "longest_come_back",
        "drain_grace": "stop_sending_within",
        "discovery_polling": "asks_first",
    },
):
    """What dispatchers may do and must keep."""

    max_attempts: int = 6
    cancel: bool = True
    probing: bool = True
    retry_after: bool = True
    max_retry_after: Duration = Duration(2 * SECOND)
    drain_grace: Duration = Duration(500 * MILLISECOND)
    discovery_polling: bool = True  # the roster must be asked for


class Clients(
    Part,
    frozen=True,
    kw_only=True,
    rename={
        "max_attempts": "tries",
        "retry_timing": "retry",
        "retry_backoff": "retry_wait",
        "honors_retry_after": "heeds_advice",
        "failover_timeout": "elsewhere_after",
        "early_disconnect_share": "leave_early",
    },
):
    max_attempts: int = 3
    retry_timing: Literal["at once", "after a wait"] = "after a wait"
    retry_backoff: Law = Exponential(mean=Duration(200 * MILLISECOND))
    honors_retry_after: bool = True
    failover_timeout: Duration = Duration(
        0
    )  # where there is a store: one that is not answered asks another replica
    early_disconnect_share: float = 0.0  # share that leaves at a random part of its abandon time


class Traffic(
    Part,
    frozen=True,
    kw_only=True,
    rename={"end_rate": "to_rate", "wave_amplitude": "wave", "wave_period": "period", "burst_size": "burst"},
):
    """Open-loop arrivals in one stretch of time; stretches add up."""

    rate: float  # a second
    end_rate: float | None = None  # reached in a ramp at the stretch's end
    start: Duration = Duration(0)
    end: Duration | None = None  # that of the run where none is given
    wave_amplitude: float = 0.0  # part of the rate by which it swings
    wave_period: Duration = Duration(10 * SECOND)
    burst_size: int = 1  # submissions that come at one instant


class Fault(
    Part,
    tag_field="what",
    frozen=True,
    kw_only=True,
    rename={"start": "at", "duration": "lasts", "machine_kind": "kind"},
):
    """Begins at a time and ends after another; several may lie over one another."""

    affects_workers: ClassVar[bool] = True

    start: Duration
    duration: Duration
    workers: list[str] = []
    share: float = 0.0  # of the workers of that zone and kind, drawn from the seed
    zone: str = ""
    machine_kind: str = ""

    @property
    def name(self) -> str:
        return str(self.__struct_config__.tag)


class Crash(Fault, tag="crash", frozen=True, kw_only=True):
    """The process dies; it returns cold."""


class Drain(Fault, tag="drain", frozen=True, kw_only=True):
    """Told to end: finishes what it has, is gone, returns cold."""


class Hang(Fault, tag="hang", frozen=True, kw_only=True):
    """Says and does nothing; then goes on."""


class Pauses(Fault, tag="pauses", frozen=True, kw_only=True, rename={"interval": "every", "pause": "each"}):
    """Short hangs, again and again."""

    interval: Duration = Duration(SECOND)
    pause: Duration = Duration(100 * MILLISECOND)


class Slow(Fault, tag="slow", frozen=True, kw_only=True):
    factor: float = 4.0


class QuickErrors(Fault, tag="quick errors", frozen=True, kw_only=True, rename={"probability": "errors"}):
    probability: float = 1.0  # share of its jobs that fail at once


class LateReports(Fault, tag="late reports", frozen=True, kw_only=True, rename={"delay": "by"}):
    delay: Duration = Duration(2 * SECOND)


class Resets(Fault, tag="resets", frozen=True, kw_only=True, rename={"probability": "errors"}):
    """Connections of hand-offs break under way."""

    probability: float = 0.1


class Silences(Fault, tag="silences", frozen=True, kw_only=True, rename={"probability": "errors"}):
    """Connections of hand-offs stay open and say nothing more."""

    probability: float = 0.1


class DropsAtRest(Fault, tag="drops at rest", frozen=True, kw_only=True, rename={"probability": "errors"}):
    """Connections at rest are dropped unseen; the next request on one breaks."""

    probability: float = 0.1


class ZoneCut(Fault, tag="zone cut", frozen=True, kw_only=True):
    """Nothing passes between that zone and the others."""

    affects_workers = False


class RegionCut(Fault, tag="region cut", frozen=True, kw_only=True):
    """Nothing passes between that region and the others, nor between it and a discovery in another."""

    affects_workers = False
    region: int = 1  # its place in network.regions


class StoreJam(Fault, tag="store jam", frozen=True, kw_only=True):
    affects_workers = False
    factor: float = 10.0


class DiscoveryDown(Fault, tag="discovery down", frozen=True, kw_only=True):
    affects_workers = False


class DispatcherKilled(Fault, tag="dispatcher killed", frozen=True, kw_only=True):
    """SIGKILL; it starts again from nothing when this ends."""

    affects_workers = False
    dispatchers: list[int] = []


class DispatcherPaused(Fault, tag="dispatcher paused", frozen=True, kw_only=True):
    """SIGSTOP, and SIGCONT when this ends."""

    affects_workers = False
    dispatchers: list[int] = []


class KilledAtRandom(
    Fault,
    tag="killed at random",
    frozen=True,
    kw_only=True,
    rename={"interval": "every", "downtime": "down", "pause_share": "pauses"},
):
    """One dispatcher after the other is killed or paused, drawn from the seed, each back before the next."""

    affects_workers = False
    interval: Duration = Duration(6 * SECOND)
    downtime: Duration = Duration(2 * SECOND)
    pause_share: float = 0.3  # share that is paused in place of being killed


class DispatcherRestarted(Fault, tag="dispatcher restarted", frozen=True, kw_only=True):
    """SIGTERM, then a new start when this ends."""

    affects_workers = False
    dispatchers: list[int] = []


class DispatcherReplaced(Fault, tag="dispatcher replaced", frozen=True, kw_only=True):
    """A second process starts beside it at its address; once that serves, the first is told to end.

    It has until this ends; both are one dispatcher to the rules.
    """

    affects_workers = False
    dispatchers: list[int] = []


class SettingsChanged(
    Fault,
    tag="settings changed",
    frozen=True,
    kw_only=True,
    rename={"max_attempts": "most_hand_offs", "idempotency": "repeat"},
):
    """Other rules for what is taken while this lasts; what is open keeps those that it was taken under."""

    affects_workers = False
    idempotency: dict[str, Literal["redoable", "irreversible"]] = {}  # by grade
    max_attempts: int | None = None


AnyFault = (
    Crash
    | Drain
    | Hang
    | Pauses
    | Slow
    | QuickErrors
    | LateReports
    | Resets
    | Silences
    | DropsAtRest
    | ZoneCut
    | RegionCut
    | StoreJam
    | DiscoveryDown
    | DispatcherKilled
    | DispatcherPaused
    | DispatcherRestarted
    | DispatcherReplaced
    | SettingsChanged
    | KilledAtRandom
)


class MustHold(
    Part,
    frozen=True,
    kw_only=True,
    rename={
        "rules_hold": "rules",
        "min_service": "service",
        "min_service_by_class": "service_of_grade",
        "min_margin_over": "over",
    },
):
    """What makes the run a success; a figure is the mean over the seeds."""

    rules_hold: bool = True
    min_service: float = 0.0  # at the least
    min_service_by_class: dict[str, float] = {}
    min_margin_over: dict[str, float] = {}  # baseline -> by so much more service, at the least


class Experiment(
    Part,
    frozen=True,
    kw_only=True,
    rename={
        "description": "about",
        "duration": "lasts",
        "measured_from": "counted_from",
        "acceptance": "must_hold",
        "request_classes": "grades",
        "tenants": "customers",
        "faults": "troubles",
    },
):
    name: str
    description: str = ""
    duration: Duration
    measured_from: Duration = Duration(0)  # submissions before that time do not count for service
    seeds: list[int] = msgspec.field(default_factory=lambda: [1, 2, 3])
    policies: list[str] = msgspec.field(default_factory=lambda: ["ours"])
    request_classes: list[RequestClass]
    tenants: list[Tenant] = msgspec.field(default_factory=lambda: [Tenant(name="all")])
    workers: list[Workers]
    worker_rules: WorkerRules = WorkerRules()
    store: Store | None = None
    dispatchers: Dispatchers = Dispatchers()
    discovery: Discovery = Discovery()
    network: Network = Network()
    rules: Rules = Rules()
    clients: Clients = Clients()
    traffic: list[Traffic]
    faults: list[AnyFault] = []
    timeline: list[
        FaultStep
    ] = []  # on sockets only: faults on processes d0, d1... and the links between them
    acceptance: MustHold = MustHold()

    def rules_at(self, at: int) -> tuple[list[str], int]:
        """What binds a submission taken then: whether it may be repeated, by grade, and how often sent."""
        repeat, most = [g.idempotency for g in self.request_classes], self.rules.max_attempts
        for t in self.faults:
            if isinstance(t, SettingsChanged) and t.start <= at < t.start + t.duration:
                repeat = [
                    t.idempotency.get(g.name, r) for g, r in zip(self.request_classes, repeat, strict=True)
                ]
                most = most if t.max_attempts is None else t.max_attempts
        return list(repeat), most

    def zones(self) -> list[str]:
        return list(dict.fromkeys(w.zone for w in self.workers))

    def region(self, zone: int) -> int:
        """The number of its region; 0 where there are none."""
        name = self.zones()[zone]
        return next((n for n, zones in enumerate(self.network.regions) if name in zones), 0)

    def one_way(self, zone: int, other: int) -> int:
        """How long a message takes between two zones, in ns."""
        if zone == other:
            return self.network.same_zone
        apart = self.region(zone) != self.region(other)
        return self.network.other_region if apart else self.network.other_zone

    def kinds(self) -> list[str]:
        return list(dict.fromkeys(w.machine_kind for w in self.workers))

    def worker_names(self) -> list[str]:
        return [f"w{n}" for n in range(sum(w.count for w in self.workers))]


def read_experiment(path: Path) -> Experiment:
    try:
        told = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ExperimentError(f"{path}: {error.strerror}") from None
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ExperimentError(f"{path}: no TOML: {error}") from None
    try:
        return parse_experiment(told)
    except ExperimentError as error:
        raise ExperimentError(f"{path}: {error}") from None


def parse_experiment(told: dict[str, Any]) -> Experiment:
    try:
        experiment = msgspec.convert(told, Experiment, dec_hook=_span_hook)
    except msgspec.ValidationError as error:
        raise ExperimentError(str(error).replace("`$.", "`")) from None
    _check(experiment)
    return experiment


def experiment_from_builtins(told: dict[str, Any]) -> Experiment:
    """The other way of msgspec.to_builtins(experiment, enc_hook=int), where times are numbers of ns."""
    return msgspec.convert(told, Experiment, dec_hook=lambda kind, value: kind(value))


def _span_hook(kind: type, value: Any) -> Any:
    if kind is Duration:
        return value if isinstance(value, Duration) else parse_duration(value)
    raise NotImplementedError(kind)


def _check(e: Experiment) -> None:
    """What no type can tell."""

    def must(holds: bool, key: str, why: str) -> None:
        if not holds:
            raise ExperimentError(f"{key}: {why}")

    must(e.duration > 0, "lasts", "must be more than nothing")
    must(e.measured_from < e.duration, "counted_from", "lies beyond the end")
    for key, listed in (("seeds", e.seeds), ("policies", e.policies), ("grades", e.request_classes)):
        must(len(listed) > 0, key, "none is given")
    must(bool(e.workers), "workers", "none are given")
    must(bool(e.traffic), "traffic", "none is given")
    must(len({g.name for g in e.request_classes}) == len(e.request_classes), "grades", "two have one name")
    must(e.dispatchers.count > 0, "dispatchers.count", "must be 1 or more")
    for at, w in enumerate(e.workers):
        must(
            w.count > 0 and w.slots > 0 and w.speed > 0,
            f"workers[{at}]",
            "count, slots and speed must be over 0",
        )
    most = max(w.slots for w in e.workers)
    for at, g in enumerate(e.request_classes):
        must(
            not g.machine_kind or g.machine_kind in e.kinds(),
            f"grades[{at}].kind",
            f"no worker is a {g.machine_kind!r}",
        )
        must(g.share >= 0 and g.weight >= 0, f"grades[{at}]", "share and benefit must not be below 0")
        must(g.latency_objective <= g.deadline, f"grades[{at}].expected_time", "is beyond abandon_time")
        for slots in g.slot_shares:
            must(
                _is_number(slots) and 0 < float(slots) <= most,
                f"grades[{at}].slots",
                f"{slots!r} fits no worker",
            )
    for at, t in enumerate(e.traffic):
        end = e.duration if t.end is None else t.end
        must(t.start < end <= e.duration, f"traffic[{at}]", "its stretch is empty or lies beyond the end")
        must(
            t.rate >= 0 and 0 <= t.wave_amplitude <= 1 and t.burst_size > 0,
            f"traffic[{at}]",
            "rate, wave or burst out of range",
        )
    placed = [zone for region in e.network.regions for zone in region]
    if placed:
        must(sorted(placed) == sorted(e.zones()), "network.regions", "each zone has to be in one of them")
        must(e.network.other_region >= e.network.other_zone, "network.farther", "is less than far")
    _check_faults(e, must)
    try:
        check_timeline(e.timeline, [f"d{number}" for number in range(e.dispatchers.count)])
    except TimelineError as error:
        raise ExperimentError(str(error)) from None
    for grade in e.acceptance.min_service_by_class:
        must(
            any(g.name == grade for g in e.request_classes),
            f"must_hold.service_of_grade.{grade}",
            "no such grade",
        )
    for policy in e.acceptance.min_margin_over:
        must(policy in e.policies, f"must_hold.over.{policy}", "is not among the policies")


def _check_faults(e: Experiment, must: Any) -> None:
    names = set(e.worker_names())
    for at, t in enumerate(e.faults):
        key = f"troubles[{at}]"
        must(t.start + t.duration <= e.duration, key, f"{t.name!r} ends beyond the end of the run")
        must(set(t.workers) <= names, f"{key}.workers", f"unknown: {sorted(set(t.workers) - names)}")
        must(not t.zone or t.zone in e.zones(), f"{key}.zone", f"no worker is in {t.zone!r}")
        must(
            not t.machine_kind or t.machine_kind in e.kinds(),
            f"{key}.kind",
            f"no worker is a {t.machine_kind!r}",
        )
        must(0 <= t.share <= 1, f"{key}.share", "must lie between 0 and 1")
        if isinstance(t, ZoneCut):
            must(bool(t.zone), f"{key}.zone", "a cut needs the zone that is cut off")
        if isinstance(t, RegionCut):
            must(
                0 <= t.region < len(e.network.regions),
                f"{key}.region",
                "network.regions has none of that number",
            )
        if isinstance(t, SettingsChanged):
            must(
                set(t.idempotency) <= {g.name for g in e.request_classes},
                f"{key}.repeat",
                "names a grade that is none",
            )
            must(t.max_attempts is None or t.max_attempts > 0, f"{key}.most_hand_offs", "must be over 0")
        if isinstance(t, DispatcherKilled | DispatcherPaused | DispatcherRestarted | DispatcherReplaced):
            known = all(0 <= d < e.dispatchers.count for d in t.dispatchers)
            must(known and bool(t.dispatchers), f"{key}.dispatchers", "must name dispatchers, counted from 0")


def _is_number(text: str) -> bool:
    try:
        return math.isfinite(float(text))
    except ValueError:
        return False


def outages(e: Experiment, seed: int) -> list[tuple[int, int, int, str]]:
    """What happens to dispatchers: when, until when, which, and whether it is "killed", "paused", "restarted"
    or "replaced".
    """
    kinds = {
        DispatcherKilled: "killed",
        DispatcherPaused: "paused",
        DispatcherRestarted: "restarted",
        DispatcherReplaced: "replaced",
    }
    found: list[tuple[int, int, int, str]] = []
    for number, t in enumerate(e.faults):
        if isinstance(t, DispatcherKilled | DispatcherPaused | DispatcherRestarted | DispatcherReplaced):
            found += [(t.start, t.start + t.duration, d, kinds[type(t)]) for d in t.dispatchers]
        elif isinstance(t, KilledAtRandom):
            draw = RandomStreams(seed).draws(f"outages {number}")
            at: int = t.start
            while at + t.downtime <= t.start + t.duration:
                which = draw.below(e.dispatchers.count)
                begins = at + int(draw.fraction() * (t.interval - t.downtime))
                found.append(
                    (
                        begins,
                        begins + t.downtime,
                        which,
                        "paused" if draw.happens(t.pause_share) else "killed",
                    )
                )
                at += t.interval
    return sorted(found)


def shares(weights: Sequence[float] | np.ndarray) -> np.ndarray:
    """Shares that add up to 1."""
    given = np.asarray(weights, dtype=float)
    part: np.ndarray = given / given.sum()
    return part
