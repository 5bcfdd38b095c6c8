"""What a play showed, from outside: figures, what of the fleet's promises held, and what failed."""

from collections.abc import Callable, Sequence
from statistics import fmean
from typing import NamedTuple

import msgspec
import numpy as np

from ..capacity.fleet_size import FleetSize
from ..experiment_files.durations import MILLISECOND, SECOND
from ..experiment_files.experiment import Experiment
from ..models import event_records
from ..models.dispatcher_outages import dispatcher_outages
from ..models.event_records import Event
from ..reports.scores import RunScore
from ..scenarios.scale_fleet import UsageSample
from ..scenarios.scale_phases import URGENT, ScaleScenario

FORMAT = 1
AFTER_HEALING = 10 * SECOND  # in which what waited for the region comes
GROWS = 1.25  # past that, what is kept has grown with the time
NETWORK = ("workers", "discovery")  # stand-ins over the network; clients are beside their dispatchers


class ScaleRow(msgspec.Struct, kw_only=True):
    """One play's row in the results."""

    play: str
    seed: int
    dispatchers: int
    processes: int
    hollow: bool
    void: str
    figures: dict[str, float]
    held: list[str] = []
    failed: list[str] = []
    note: str = ""


class ScaleResults(msgspec.Struct, kw_only=True):
    format: int
    at: str
    text: str
    machine: str
    runs: list[ScaleRow] = []


class ScaleObservations(NamedTuple):
    """What there is of a run to judge it by."""

    e: Experiment
    events: Sequence[Event]
    score: RunScore
    samples: Sequence[UsageSample]
    changes: Sequence[Sequence[int]]  # ns until each was in force, by dispatcher; -1: it never was
    log_lines: int


def scale_metrics(seen: ScaleObservations) -> dict[str, float]:
    e = seen.e
    begin, end = e.measured_from, e.duration
    count = e.dispatchers.count
    found: dict[str, float] = {}
    inside = [sample for sample in seen.samples if begin <= sample.at <= end]
    if len(inside) >= 2:
        found |= _used(inside, count)
    began = [
        event
        for event in seen.events
        if event.kind == event_records.ATTEMPT_STARTED and begin <= event.at < end
    ]
    found["starts_a_second"] = len(began) / ((end - begin) / SECOND)
    found |= _urgent(seen)
    found["service"] = seen.score.service
    for name, grade in seen.score.request_classes.items():
        found[f"service_of_{name}"] = grade.service
        found[f"jobs_{name}"] = grade.requests
        found[f"nacks_{name}"] = grade.rejected
        found[f"abandoned_{name}"] = grade.failed
        found[f"broken_{name}"] = grade.broken
    found["broken_rules"] = seen.score.broken_rules
    found["fell_over"] = sum(event.kind == event_records.WORKER_OVERLOADED for event in seen.events)
    found["log_lines_a_dispatcher"] = seen.log_lines / count
    found |= _changes(seen.changes)
    return found


def _used(inside: Sequence[UsageSample], count: int) -> dict[str, float]:
    first, last = inside[0], inside[-1]
    took = (last.at - first.at) / SECOND * count
    found = {
        "core_share": (last.used.cpu_ns - first.used.cpu_ns) / SECOND / took,
        "resident_mb_a_dispatcher": last.used.resident / count / 1e6,
        "resident_growth_bytes_a_second": _slope([(s.at, s.used.resident) for s in inside]) / count,
        "descriptors_most": max(s.used.descriptors for s in inside),
        "tasks_running": fmean(s.running for s in inside),
        "serving_fewest": min(s.used.serving for s in inside),
    }
    for key in last.used.inside:
        found[f"inside_{key}_most"] = max(s.used.inside.get(key, 0) for s in inside) / count
    for kind, told in last.traffic.items():
        if kind not in first.traffic:
            continue
        for key in told:
            if key != "connections":
                found[f"{kind}_{key}"] = (told[key] - first.traffic[kind][key]) / took
            else:
                found[f"{kind}_{key}"] = told[key] / count
    for key in ("bytes_in", "bytes_out", "messages_in", "messages_out"):
        found[f"network_{key}"] = sum(found.get(f"{kind}_{key}", 0.0) for kind in NETWORK)
    found["bytes_a_second"] = found["network_bytes_in"] + found["network_bytes_out"]
    return found


def _slope(points: Sequence[tuple[int, int]]) -> float:
    """A second, by the line through all of them."""
    at, value = (np.array(column, dtype=float) for column in zip(*points, strict=True))
    return float(np.polyfit((at - at[0]) / SECOND, value, 1)[0])


def urgent_waits(e: Experiment, events: Sequence[Event]) -> list[int]:
    """Of each urgent job of the counted time: ns from when it was due until it began; -1: never."""
    grade = next((number for number, g in enumerate(e.request_classes) if g.name == URGENT), -1)
    due: dict[int, int] = {}
    began: dict[int, int] = {}
    for event in events:
        if event.kind == event_records.REQUEST_SENT and event.detail[0] == grade and event.detail[1] == 0:
            if e.measured_from <= event.detail[3] < e.duration:
                due[event.job] = event.detail[3]
        elif event.kind == event_records.ATTEMPT_STARTED and event.job in due:
            began.setdefault(event.job, event.at)
    return [began[job] - at if job in began else -1 for job, at in due.items()]


def _urgent(seen: ScaleObservations) -> dict[str, float]:
    waits = urgent_waits(seen.e, seen.events)
    done = [wait for wait in waits if wait >= 0]
    if not done:
        return {"urgent_jobs": len(waits), "urgent_never_begun": len(waits)}
    p50, p99 = np.percentile(done, (50, 99))
    return {
        "urgent_jobs": len(waits),
        "urgent_never_begun": len(waits) - len(done),
        "urgent_begin_p50_ms": float(p50) / MILLISECOND,
        "urgent_begin_p99_ms": float(p99) / MILLISECOND,
        "urgent_begin_max_ms": max(done) / MILLISECOND,
    }


def _changes(changes: Sequence[Sequence[int]]) -> dict[str, float]:
    if not changes:
        return {}
    took = [one for change in changes for one in change if one >= 0]
    found: dict[str, float] = {
        "changes": len(changes),
        "changes_never_in_force": sum(one < 0 for change in changes for one in change),
    }
    if took:
        p50, p99 = np.percentile(took, (50, 99))
        found["in_force_p50_ms"] = float(p50) / MILLISECOND
        found["in_force_p99_ms"] = float(p99) / MILLISECOND
        found["in_force_at_the_last_ms"] = max(took) / MILLISECOND
    return found


# ---- What has to hold ----


class Verdict:
    def __init__(self) -> None:
        self.held: list[str] = []
        self.failed: list[str] = []

    def demand(self, holds: bool, text: str) -> None:
        (self.held if holds else self.failed).append(text)


def check_scale_run(
    fleet: FleetSize,
    play: ScaleScenario,
    seen: ScaleObservations,
    figures: dict[str, float],
    void_kinds: Sequence[str],
) -> Verdict:
    """Figures of a kind in which hollow and real differ are no ground for any of it."""
    v = Verdict()
    broken = int(figures["broken_rules"])
    v.demand(not broken, f"no broken rule ({broken} found)")
    within = fleet.size.urgent_starts_within / MILLISECOND
    late = [wait for wait in urgent_waits(seen.e, seen.events) if wait < 0 or wait / MILLISECOND > within]
    jobs = int(figures["urgent_jobs"])
    worst = figures.get("urgent_begin_max_ms", 0.0)
    v.demand(
        jobs > 0 and not late,
        f"urgent work begun within {within:.0f} ms: {len(late)} of {jobs} not, the longest {worst:.0f} ms",
    )
    if "core_share" in figures and "processor time" not in void_kinds:
        share, may = figures["core_share"], fleet.budget.core_share
        v.demand(share <= may, f"processor time {share:.2%} of a core a dispatcher, {may:.2%} allowed")
    if "bytes_a_second" in figures and "bytes" not in void_kinds:
        octets, most = figures["bytes_a_second"], fleet.budget.bytes_a_second
        v.demand(octets <= most, f"bytes a second a dispatcher {octets:.0f}, {most:.0f} allowed")
    for text, holds in _bounded(seen):
        v.demand(holds, text)
    if play.what == "restart":
        lost = sum(
            int(figures[f"{how}_{grade.name}"])
            for how in ("abandoned", "broken")
            for grade in seen.e.request_classes
        )
        v.demand(not lost, f"running tasks live through a restart of their dispatcher ({lost} did not)")
    if seen.changes:
        within = fleet.size.config_applied_within / MILLISECOND
        never, last = int(figures["changes_never_in_force"]), figures.get("in_force_at_the_last_ms", 0.0)
        v.demand(
            not never and last <= within,
            f"changes in force at the last dispatcher within {within:.0f} ms: "
            f"the longest took {last:.0f} ms, {never} never were",
        )
    return v


def _bounded(seen: ScaleObservations) -> list[tuple[str, bool]]:
    """Of the counted time's last third against its second: what is kept has come to rest."""
    begin, end = seen.e.measured_from, seen.e.duration
    third = (end - begin) // 3
    parts = [
        [s for s in seen.samples if begin + n * third <= s.at < begin + (n + 1) * third] for n in range(3)
    ]
    if not all(parts):
        return [("too little was seen to say whether anything grows", False)]
    kept: dict[str, Callable[[UsageSample], int]] = {
        "memory of the processes": lambda s: s.used.resident,
        "descriptors": lambda s: s.used.descriptors,
        "deadlines kept": lambda s: s.used.inside.get("deadlines", 0),
    }
    found = []
    if dispatcher_outages(seen.e, 0):
        # What a dispatcher held that has ended is freed late in a process that goes on: no sign of a leak.
        del kept["memory of the processes"]
    for what, value in kept.items():
        before, after = (max(value(s) for s in part) for part in parts[1:])
        if before:
            text = f"{what} came to rest: {after / before:.2f} of a third earlier"
            found.append((text, after <= GROWS * before))
    return found


def healing(seen: ScaleObservations, play: ScaleScenario) -> dict[str, float]:
    """What a region's absence has gathered by its end, and what came at once when it was back."""
    begin = seen.e.measured_from + play.at
    end = begin + play.away
    before = [s for s in seen.samples if s.at <= begin]
    away = [s for s in seen.samples if begin < s.at <= end]
    after = [s for s in seen.samples if end < s.at <= end + AFTER_HEALING]
    if not before or not away or len(after) < 2:
        return {}
    count = seen.e.dispatchers.count
    found = {
        "away_resident_mb": max(s.used.resident for s in away) / 1e6,
        "away_descriptors": max(s.used.descriptors for s in away),
        "away_log_lines_a_second": (
            away[-1].used.inside.get("said", 0) - before[-1].used.inside.get("said", 0)
        )
        / (play.away / SECOND),
    }
    for key in ("open", "deadlines", "connections"):
        found[f"away_{key}"] = max(s.used.inside.get(key, 0) for s in away) / count
    took = (after[-1].at - away[-1].at) / SECOND
    octets = [
        sum(s.traffic[kind][key] for kind in NETWORK for key in ("bytes_in", "bytes_out"))
        for s in (away[-1], after[-1])
    ]
    found["healing_bytes_a_second"] = (octets[1] - octets[0]) / took / count
    return found


def bounded_by_length(short: dict[str, float], long: dict[str, float], times: float) -> Verdict:
    """Two absences, one so many times as long: what was kept must not be as many times as much."""
    v = Verdict()
    for key in short:
        if key.startswith(("away_", "healing_")):
            ratio = long.get(key, 0.0) / short[key] if short[key] else 1.0
            v.demand(
                ratio <= GROWS, f"{key} {ratio:.2f} times as much in an absence {times:.1f} times as long"
            )
    return v


# ---- Hollow against real ----

# Over the network, each way. Calls of discovery alone are so few that where a stretch begins decides.
METRIC_KINDS: dict[str, Sequence[str]] = {
    "bytes": ("network_bytes_in", "network_bytes_out", "clients_bytes_in", "clients_bytes_out"),
    "messages": (
        "network_messages_in",
        "network_messages_out",
        "clients_messages_in",
        "clients_messages_out",
    ),
    "processor time": ("core_share",),
}
BY_NATURE = "memory"  # void whatever it is: hollow dispatchers share one interpreter with its modules
MEMORY = "resident_mb_a_dispatcher"
OF_KIND = {
    "bytes": ("bytes_",),
    "messages": ("messages_",),
    "processor time": ("core_share",),
    "memory": ("resident_",),
}


def compare_metrics(
    hollow: dict[str, float], real: dict[str, float], differ_at_most: float
) -> tuple[dict[str, float], list[str]]:
    """Hollow beside real, figure by figure, and the kinds of which hollow figures are void."""
    ratios = {MEMORY: hollow.get(MEMORY, 0.0) / real[MEMORY]} if real.get(MEMORY) else {}
    void = []
    for kind, keys in METRIC_KINDS.items():
        for key in keys:
            if real.get(key):
                ratios[key] = hollow.get(key, 0.0) / real[key]
        if any(abs(ratios[key] - 1) > differ_at_most for key in keys if key in ratios):
            void.append(kind)
    return ratios, void


def mark_void_metrics(figures: dict[str, float], void_kinds: Sequence[str]) -> dict[str, float]:
    """Figures of a void kind keep their value and lose their standing: their name says so."""
    found = {}
    for name, value in figures.items():
        void = "(void)" not in name and any(part in name for kind in void_kinds for part in OF_KIND[kind])
        found[f"{name} (void)" if void else name] = value
    return found
