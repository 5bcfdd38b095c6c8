"""Runs config servers and dispatchers that watch them under faults, and checks their history."""

import asyncio
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from ..checkers.distribution_checker import DistributionVerdict, check_distribution_history
from ..checkers.history_finding import HistoryFinding
from ..experiment_files.durations import MILLISECOND, SECOND, Duration, format_duration
from ..experiment_files.fault_timeline import FaultStep, check_timeline
from ..processes.capacity_check import memory_backed_folder
from ..processes.history import HistoryEvent, monotonic_now
from ..processes.link_faults import LinkCounters
from ..processes.rig import Rig
from .distribution_experiment import DistributionDemands, DistributionExperiment, DistributionScenario
from .distribution_faults import ServerFaults
from .distribution_fleet import DistributionFleet, Replacements
from .distribution_growth import GrowthSample, growth_metrics, sample_usage
from .distribution_timeline import draw_distribution_timeline, region_steps

MAX_FINDINGS_SHOWN = 3
EVENTS_AROUND_FINDING = 60
FREQUENT_EVENTS = ("probe", "door")  # shown only if the finding names their dispatcher
MAX_LATENESS = 400 * MILLISECOND  # ns, of publishers and probers; if they are later, the run is void


class DistributionRunOutcome(NamedTuple):
    """The outcome of one run."""

    verdict: DistributionVerdict
    void: str  # why the run proves nothing; "" if it is valid
    errors: list[str]  # failures that no injected fault was meant to cause
    findings: list[str]  # of the checker, each with the events around it
    events: list[HistoryEvent]
    steps: list[FaultStep]
    links: LinkCounters
    samples: list[GrowthSample]


def run_distribution_scenario(
    scenario: DistributionScenario,
    seed: int,
    steps: list[FaultStep] | None = None,
    replacements: Replacements | None = None,
) -> DistributionRunOutcome:
    """Run once, in real time; `steps` replace the timeline that the seed draws."""
    if steps is None:
        steps = draw_distribution_timeline(scenario, seed)
    with tempfile.TemporaryDirectory(prefix="ploverspoke-distribution-", dir=memory_backed_folder()) as name:
        return asyncio.run(_run(scenario, seed, Path(name), steps, replacements or {}))


async def _run(
    scenario: DistributionScenario,
    seed: int,
    folder: Path,
    steps: list[FaultStep],
    replacements: Replacements,
) -> DistributionRunOutcome:
    samples: list[GrowthSample] = []
    async with Rig(folder, seed) as rig:
        fleet = DistributionFleet(rig, scenario, replacements)
        await fleet.start()
        timeline = check_timeline(steps, list(rig.addresses))
        await _run_timeline(fleet, timeline, samples)
        events = rig.read_events()
        verdict = check_distribution_history(events, scenario.within)
        shown_findings = verdict.findings[:MAX_FINDINGS_SHOWN]
        findings = [
            rig.describe_finding(
                finding.text, finding.at, _related_events(finding, events), EVENTS_AROUND_FINDING
            )
            for finding in shown_findings
        ]
    void, links = _void_reason(rig, fleet), rig.link_faults.counters.links
    return DistributionRunOutcome(verdict, void, rig.errors, findings, events, timeline, links, samples)


async def _run_timeline(
    fleet: DistributionFleet, timeline: list[FaultStep], samples: list[GrowthSample]
) -> None:
    """Publish, probe and inject all faults; at the end read the versions that the servers have."""
    rig, scenario, faults = fleet.rig, fleet.scenario, ServerFaults(fleet)
    await fleet.command_clients("start")
    starts_at = monotonic_now()
    rig.timeline.epoch = starts_at
    finite_tasks = [asyncio.create_task(_publish_last(fleet))]
    if scenario.empty_folder_interval:
        finite_tasks.append(asyncio.create_task(faults.empty_folders()))
    if scenario.leader_cut_interval:
        finite_tasks.append(asyncio.create_task(faults.cut_off_leaders()))
    endless_tasks = []
    if scenario.sample_interval:
        endless_tasks.append(asyncio.create_task(sample_usage(fleet, samples)))
    try:
        await rig.run_timeline(timeline, scenario.run_duration, starts_at)
        for task in finite_tasks:
            await task
    finally:
        for task in [*finite_tasks, *endless_tasks]:
            task.cancel()
    await fleet.command_clients("read servers")


async def _publish_last(fleet: DistributionFleet) -> None:
    """End publishing early enough that all published versions can be checked."""
    scenario, now = fleet.scenario, fleet.rig.timeline.now()
    await asyncio.sleep(max(0.0, (scenario.run_duration - scenario.calm_end_duration() - now) / SECOND))
    await fleet.command_clients("publish last")


def _void_reason(rig: Rig, fleet: DistributionFleet) -> str:
    void = rig.void_reason()
    if not void and fleet.clients_lateness > MAX_LATENESS:
        lateness = format_duration(fleet.clients_lateness)
        return f"the machine was too slow: publishers and probers were late by {lateness}"
    return void


def _related_events(finding: HistoryFinding, events: list[HistoryEvent]) -> list[HistoryEvent]:
    """Return the events that may be shown with a finding."""
    return [event for event in events if event.kind not in FREQUENT_EVENTS or event.detail[0] in finding.text]


# ---- Experiments ----


def run_distribution(experiment: DistributionExperiment, seed: int) -> dict[str, Any]:
    """Run one seed of an experiment, and return its entry in `result.json`."""
    scenario, steps = experiment.scenario, None
    if experiment.is_calm:
        scenario = msgspec.structs.replace(scenario, empty_folder_interval=Duration(0))
        steps = region_steps(scenario)
    outcome = run_distribution_scenario(scenario, seed, steps)
    verdict, demands = outcome.verdict, experiment.demands
    return {
        "seed": seed,
        "acknowledged": verdict.acknowledged,
        "versions": verdict.versions,
        "judged": verdict.checked_probes,
        "refusals": verdict.reported_rejections,
        "troubles": verdict.faults,
        "steps": len(outcome.steps),
        **_delay_metrics("calm", verdict.calm_delays),
        **_delay_metrics("troubled", verdict.delays_after_faults),
        **growth_metrics(experiment.scenario, outcome.samples),
        "void": outcome.void or verdict.void_reason(demands.versions, demands.faults),
        "failed": _failures(outcome, demands),
        "shown": outcome.findings,
        "looked": msgspec.to_builtins(outcome.samples),
    }


def _delay_metrics(name: str, delays: Sequence[float]) -> dict[str, float]:
    """Return the metrics of sorted delays, in seconds."""
    return {
        f"{name}_count": len(delays),
        f"{name}_p50_s": _percentile(delays, 0.5),
        f"{name}_p99_s": _percentile(delays, 0.99),
        f"{name}_most_s": round(delays[-1], 3) if delays else 0.0,
    }


def _percentile(delays: Sequence[float], share: float) -> float:
    return round(delays[min(len(delays) - 1, int(len(delays) * share))], 3) if delays else 0.0


def _failures(outcome: DistributionRunOutcome, demands: DistributionDemands) -> list[str]:
    """Return the findings, the errors, and the demands that are not met."""
    failures = [*(finding.text for finding in outcome.verdict.findings), *outcome.errors]
    delays = outcome.verdict.calm_delays
    if demands.max_calm_delay and delays and delays[-1] * SECOND > demands.max_calm_delay:
        failures.append(f"active only {delays[-1]:.2f} s after its acknowledgement, without faults")
    return failures
