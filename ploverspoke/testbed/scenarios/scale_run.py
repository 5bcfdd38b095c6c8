"""Runs one scenario of a fleet file in real time and checks the result."""

import asyncio
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import msgspec

from ..capacity.fleet_size import FleetSize
from ..capacity.scenario_results import ScenarioResult
from ..checkers.request_audit import SOCKETS_TOLERANCE, audit_requests
from ..checkers.scale_checker import check_scale_run
from ..checkers.scale_comparison import mark_void_metrics
from ..checkers.scale_metrics import Metrics, ScaleObservations, region_cut_metrics, scale_metrics
from ..experiment_files.experiment import Experiment
from ..models.event_records import Event, merge_events, read_events, write_events
from ..processes.capacity_check import CapacityError, memory_backed_folder
from ..processes.running_process import ProcessStartError
from ..reports.experiment_result import OWN_POLICY
from ..reports.scores import score_run
from ..scale.scenario_file import ScaleScenario, ScaleScenarios
from .config_change_fleet import ConfigChangeFleet, WatchedConfigFleet
from .scale_experiment import scale_experiment
from .scale_fleet import RealScaleFleet, ScaleFleet, SimulatedScaleFleet
from .scale_resources import ProcessCounts
from .scale_results import void_note

MAX_SHOWN_FINDINGS = 5
METRIC_DIGITS = 6  # after the decimal point
FOLDER_PREFIX = "ploverspoke-fleet-"


def make_fleet(
    scenario: ScaleScenario, table: ScaleScenarios, experiment: Experiment, folder: Path, simulated: bool
) -> ScaleFleet:
    """Return the fleet for a scenario; nothing is started yet."""
    counts = ProcessCounts(table.host_processes, table.worker_processes, table.client_processes)
    if not simulated:
        return RealScaleFleet(experiment, table.seed, folder, counts._replace(hosts=0))
    if scenario.kind != "changes":
        return SimulatedScaleFleet(experiment, table.seed, folder, counts)
    fleet_class = WatchedConfigFleet if scenario.delivery == "watch" else ConfigChangeFleet
    return fleet_class(experiment, table.seed, folder, counts, scenario)


async def _run_and_close(fleet: ScaleFleet) -> None:
    try:
        await fleet.run()
    finally:
        await fleet.close()


class _Recording(NamedTuple):
    """The fleet of a finished run, and what the run recorded."""

    fleet: ScaleFleet
    events: list[Event]
    log_lines: int


def _record(
    scenario: ScaleScenario, table: ScaleScenarios, experiment: Experiment, simulated: bool
) -> _Recording:
    """Run a scenario. Raises CapacityError, ProcessStartError and TimeoutError."""
    with tempfile.TemporaryDirectory(prefix=FOLDER_PREFIX, dir=memory_backed_folder()) as name:
        folder = Path(name)
        fleet = make_fleet(scenario, table, experiment, folder, simulated)
        asyncio.run(_run_and_close(fleet))
        fake_records = [read_events(path) for path in sorted(folder.glob("*.jsonl"))]
        events = merge_events([fleet.records.events, *fake_records])
        log_lines = sum(path.read_bytes().count(b"\n") for path in folder.glob("d*.log"))
    return _Recording(fleet, events, log_lines)


def run_scenario(
    fleet_size: FleetSize,
    table: ScaleScenarios,
    scenario: ScaleScenario,
    *,
    simulated: bool = True,
    void_kinds: Sequence[str] = (),
    events_path: Path | None = None,
) -> ScenarioResult:
    """Run and check one scenario; the result is void, with the reason, if it does not fit or start."""
    experiment = scale_experiment(fleet_size, table, scenario)
    dispatchers = experiment.dispatchers.count
    result = ScenarioResult(
        scenario=scenario.name,
        seed=table.seed,
        dispatchers=dispatchers,
        processes=table.host_processes if simulated else dispatchers,
        simulated=simulated,
    )
    try:
        recording = _record(scenario, table, experiment, simulated)
    except (CapacityError, ProcessStartError, TimeoutError) as error:
        return msgspec.structs.replace(result, void=str(error) or "a process was not ready in time")
    if events_path is not None:
        write_events(recording.events, events_path)
    return _check_recording(fleet_size, scenario, result, recording, void_kinds)


def _check_recording(
    fleet_size: FleetSize,
    scenario: ScaleScenario,
    result: ScenarioResult,
    recording: _Recording,
    void_kinds: Sequence[str],
) -> ScenarioResult:
    """Return the result with its metrics and checks."""
    observations = _observe(recording, result.seed)
    metrics = _all_metrics(scenario, observations, recording.fleet)
    verdict = check_scale_run(fleet_size, scenario, observations, metrics, void_kinds)
    if scenario.kind == "changes" and len(observations.change_delays) < scenario.changes:
        text = f"{len(observations.change_delays)} of {scenario.changes} changes were seen to the end"
        verdict.check(False, text)
    marked = mark_void_metrics(metrics, void_kinds)
    shown_findings = [text.splitlines()[0] for text in observations.score.findings[:MAX_SHOWN_FINDINGS]]
    return msgspec.structs.replace(
        result,
        void=observations.score.void,
        metrics={key: round(value, METRIC_DIGITS) for key, value in marked.items()},
        held=verdict.passed,
        failed=[*verdict.failed, *shown_findings],
        note=void_note(void_kinds) if void_kinds else "",
    )


def _observe(recording: _Recording, seed: int) -> ScaleObservations:
    """Audit and score a run."""
    fleet, events = recording.fleet, recording.events
    findings = audit_requests(fleet.experiment, events, SOCKETS_TOLERANCE)
    score = score_run(fleet.experiment, OWN_POLICY, seed, events, findings, fleet.void_reason())
    delays = fleet.delays if isinstance(fleet, ConfigChangeFleet) else []
    return ScaleObservations(fleet.experiment, events, score, fleet.samples, delays, recording.log_lines)


def _all_metrics(scenario: ScaleScenario, observations: ScaleObservations, fleet: ScaleFleet) -> Metrics:
    metrics = scale_metrics(observations)
    if scenario.kind == "region cut":
        metrics |= region_cut_metrics(observations, scenario)
    if isinstance(fleet, ConfigChangeFleet):
        dispatchers = observations.experiment.dispatchers.count
        bytes_per_change = fleet.bytes_delivered / scenario.changes / dispatchers
        metrics["carried_bytes_a_change_a_dispatcher"] = bytes_per_change
    return metrics
