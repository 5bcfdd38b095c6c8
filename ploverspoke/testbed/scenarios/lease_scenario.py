"""Runs lease servers and lease candidates under a drawn timeline of faults, and checks their history."""

import asyncio
import tempfile
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from ..checkers.lease_checker import LeaseVerdict, check_lease_history, takeover_gaps
from ..experiment_files.durations import MILLISECOND, SECOND, Duration, format_duration
from ..experiment_files.fault_timeline import FaultStep, check_timeline
from ..processes.capacity_check import memory_backed_folder
from ..processes.drawn_timeline import FaultWeight, draw_timeline
from ..processes.history import HistoryEvent
from ..processes.link_faults import LinkCounters
from ..processes.rig import Rig
from .lease_experiment import LeaseDemands, LeaseExperiment, LeaseScenario
from .lease_fleet import HOLDER_KILLED, LeaseFleet

CALM_END_DURATION = 6 * SECOND  # ns at the end of a run, without faults
MAX_FINDINGS_SHOWN = 3
WALL_CLOCK_JUMP_INTERVAL = Duration(5 * SECOND)
SHORT_FAULT = [Duration(100 * MILLISECOND), Duration(2 * SECOND)]  # shortest and longest duration
LONG_FAULT = [Duration(100 * MILLISECOND), Duration(10 * SECOND)]
INSTANT = [Duration(0), Duration(0)]


class LeaseRunOutcome(NamedTuple):
    """The outcome of one run."""

    verdict: LeaseVerdict
    void: str  # why the run proves nothing; "" if it is valid
    errors: list[str]  # failures that no injected fault was meant to cause
    findings: list[str]  # of the checker, each with the events around it
    events: list[HistoryEvent]
    steps: list[FaultStep]
    links: LinkCounters


class LeaseRunResult(
    msgspec.Struct,
    rename={"takeover_p50_s": "gap_p50_s", "takeover_p99_s": "gap_p99_s", "max_takeover_s": "gap_most_s"}
    | {"holder_changes": "changes", "findings": "shown"},
):
    """The entry of one run in `result.json`."""

    seed: int
    effects: int
    holder_changes: int
    refused_tokens: int
    lost: int  # leases that holders lost while they were alive
    steps: int
    holder_kills: int
    takeover_p50_s: float
    takeover_p99_s: float
    max_takeover_s: float
    void: str
    failed: list[str]
    findings: list[str]


def draw_lease_timeline(scenario: LeaseScenario, seed: int) -> list[FaultStep]:
    """Draw the faults of a run, which are determined by its seed."""
    servers = [f"k{number}" for number in range(scenario.servers)]
    candidates = [f"c{number}" for number in range(scenario.candidates)]
    processes, kills = [*servers, *candidates], scenario.kill_interval
    pauses, cuts, rough_links = scenario.pause_interval, scenario.cut_interval, scenario.rough_link_interval
    weights = [
        ("kill", candidates, kills, SHORT_FAULT),
        ("kill", servers, kills * 2, SHORT_FAULT),
        ("pause", candidates, pauses, LONG_FAULT),
        ("pause", servers, pauses * 3, SHORT_FAULT),
        ("cut", processes, cuts, SHORT_FAULT),
        ("cut", servers, cuts * 3, SHORT_FAULT),
        ("cut", [*candidates, "r"], cuts * 2, SHORT_FAULT),
        ("rough", [*processes, "r"], rough_links, SHORT_FAULT),
        ("wall jumps", servers, WALL_CLOCK_JUMP_INTERVAL, INSTANT),
        ("reset", candidates, rough_links, INSTANT),
    ]
    return draw_timeline(
        [
            FaultWeight(kind=kind, processes=targets, interval=Duration(interval), durations=durations)
            for kind, targets, interval, durations in weights
        ],
        scenario.run_duration,
        seed,
        calm=CALM_END_DURATION,
    )


def run_lease_scenario(
    scenario: LeaseScenario, seed: int, steps: list[FaultStep] | None = None
) -> LeaseRunOutcome:
    """Run once, in real time; `steps` replace the timeline that the seed draws."""
    with tempfile.TemporaryDirectory(prefix="ploverspoke-leases-", dir=memory_backed_folder()) as folder:
        return asyncio.run(_run(scenario, seed, Path(folder), steps))


async def _run(
    scenario: LeaseScenario, seed: int, folder: Path, steps: list[FaultStep] | None
) -> LeaseRunOutcome:
    async with Rig(folder, seed) as rig:
        fleet = LeaseFleet(rig, scenario)
        await fleet.start()
        drawn = draw_lease_timeline(scenario, seed) if steps is None else steps
        timeline = check_timeline(drawn, list(rig.addresses))
        kill_task = asyncio.create_task(fleet.kill_holders()) if scenario.holder_kill_interval else None
        await rig.run_timeline(timeline, scenario.run_duration)
        if kill_task is not None:
            kill_task.cancel()
        events = rig.read_events()
    verdict = check_lease_history(events, scenario.holders_by_lease())
    shown_findings = verdict.findings[:MAX_FINDINGS_SHOWN]
    findings = [rig.describe_finding(finding.text, finding.at, events) for finding in shown_findings]
    links = rig.link_faults.counters.links
    return LeaseRunOutcome(verdict, rig.void_reason(), rig.errors, findings, events, timeline, links)


# ---- Experiments ----


def run_leases(experiment: LeaseExperiment, seed: int) -> dict[str, Any]:
    """Run one seed of an experiment, and return its entry in `result.json`."""
    outcome = run_lease_scenario(experiment.scenario, seed, [] if experiment.is_calm else None)
    takeovers = takeover_gaps(outcome.events, HOLDER_KILLED)
    lost = [event for event in outcome.events if event.kind == "lost"]
    takeover_p99 = takeovers[int(len(takeovers) * 0.99) - 1] if len(takeovers) > 1 else 0.0
    result = LeaseRunResult(
        seed=seed,
        effects=outcome.verdict.checks,
        holder_changes=outcome.verdict.holder_changes,
        refused_tokens=outcome.verdict.rejected_effects,
        lost=len(lost),
        steps=len(outcome.steps),
        holder_kills=len(takeovers),
        takeover_p50_s=takeovers[len(takeovers) // 2] if takeovers else 0.0,
        takeover_p99_s=takeover_p99,
        max_takeover_s=takeovers[-1] if takeovers else 0.0,
        void=_void_reason(outcome, experiment.demands, len(takeovers)),
        failed=_failures(outcome, experiment.demands, takeover_p99, lost),
        findings=outcome.findings,
    )
    entry: dict[str, Any] = msgspec.to_builtins(result)
    return entry


def _void_reason(outcome: LeaseRunOutcome, demands: LeaseDemands, holder_kills: int) -> str:
    void = outcome.void or outcome.verdict.void_reason(demands.holder_changes)
    if not void and holder_kills < demands.holder_kills:
        return f"only {holder_kills} kills of a holder: that proves nothing"
    return void


def _failures(
    outcome: LeaseRunOutcome, demands: LeaseDemands, takeover_p99: float, lost: list[HistoryEvent]
) -> list[str]:
    """Return the findings, the errors, and the demands that are not met."""
    failures = [*(finding.text for finding in outcome.verdict.findings), *outcome.errors]
    if demands.max_takeover and takeover_p99 * SECOND > demands.max_takeover:
        limit = format_duration(demands.max_takeover)
        failures.append(f"takeover {takeover_p99:.2f} s after the kill of a holder, expected {limit} at most")
    if demands.no_lost_leases and lost:
        failures.append(f"{len(lost)} leases were lost by holders that live, the first: {lost[0].detail}")
    return failures
