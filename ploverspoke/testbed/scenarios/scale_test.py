"""Runs the scenarios of a fleet file in real time, after a comparison with real dispatchers."""

import asyncio
import platform
import subprocess
import tempfile
import time
from collections.abc import Callable, Sequence
from os import sched_getaffinity
from pathlib import Path
from typing import NamedTuple

import msgspec

from ..capacity.fleet_size import FleetSize
from ..capacity.scenario_results import FORMAT, ScenarioResult, ScenarioResults
from ..checkers.request_audit import SOCKETS_TOLERANCE, audit_requests
from ..checkers.scale_checker import check_bounded_by_length, check_scale_run
from ..checkers.scale_comparison import ALWAYS_VOID, METRIC_KINDS, compare_metrics, mark_void_metrics
from ..checkers.scale_metrics import Metrics, ScaleObservations, region_cut_metrics, scale_metrics
from ..experiment_files.errors import ExperimentError
from ..experiment_files.experiment import Experiment
from ..models.event_records import Event, merge_events, read_events, write_events
from ..processes.capacity_check import CapacityError, memory_backed_folder
from ..processes.running_process import ProcessStartError
from ..reports.experiment_result import OWN_POLICY
from ..reports.scores import score_run
from ..scale.scenario_file import ScaleScenario, ScaleScenarios, read_scale_scenarios
from .config_change_fleet import ConfigChangeFleet, WatchedConfigFleet
from .scale_experiment import COMPARISON, comparison_scenario, scale_experiment
from .scale_fleet import RealScaleFleet, ScaleFleet, SimulatedScaleFleet
from .scale_resources import ProcessCounts, total_memory

LENGTHS = "absences of two lengths"  # the row that compares cuts of a region
MAX_SHOWN_FINDINGS = 5
METRIC_DIGITS, RATIO_DIGITS = 6, 4  # after the point
FOLDER_PREFIX = "ploverspoke-fleet-"
GIBIBYTE_SHIFT = 30


def make_fleet(
    scenario: ScaleScenario, table: ScaleScenarios, experiment: Experiment, folder: Path, simulated: bool
) -> ScaleFleet:
    """Return the fleet that the scenario asks for; nothing is started yet."""
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
    """What one run has left."""

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
        parts = [read_events(path) for path in sorted(folder.glob("*.jsonl"))]
        events = merge_events([fleet.records.events, *parts])
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
    """Run and check one scenario; one that does not fit or start is void, with the reason."""
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
    """Return the result with what was measured and checked."""
    seen = _observe(recording, result.seed)
    metrics = _all_metrics(scenario, seen, recording.fleet)
    verdict = check_scale_run(fleet_size, scenario, seen, metrics, void_kinds)
    if scenario.kind == "changes" and len(seen.change_delays) < scenario.changes:
        text = f"{len(seen.change_delays)} of {scenario.changes} changes were seen to the end"
        verdict.check(False, text)
    marked = mark_void_metrics(metrics, void_kinds)
    shown = [text.splitlines()[0] for text in seen.score.findings[:MAX_SHOWN_FINDINGS]]
    return msgspec.structs.replace(
        result,
        void=seen.score.void,
        metrics={key: round(value, METRIC_DIGITS) for key, value in marked.items()},
        held=verdict.held,
        failed=[*verdict.failed, *shown],
        note=_note_void(void_kinds) if void_kinds else "",
    )


def _observe(recording: _Recording, seed: int) -> ScaleObservations:
    """Audit and score a run."""
    fleet, events = recording.fleet, recording.events
    findings = audit_requests(fleet.experiment, events, SOCKETS_TOLERANCE)
    score = score_run(fleet.experiment, OWN_POLICY, seed, events, findings, fleet.void_reason())
    delays = fleet.delays if isinstance(fleet, ConfigChangeFleet) else []
    return ScaleObservations(fleet.experiment, events, score, fleet.samples, delays, recording.log_lines)


def _all_metrics(scenario: ScaleScenario, seen: ScaleObservations, fleet: ScaleFleet) -> Metrics:
    metrics = scale_metrics(seen)
    if scenario.kind == "region cut":
        metrics |= region_cut_metrics(seen, scenario)
    if isinstance(fleet, ConfigChangeFleet):
        dispatchers = seen.experiment.dispatchers.count
        per_change = fleet.bytes_delivered / scenario.changes / dispatchers
        metrics["carried_bytes_a_change_a_dispatcher"] = per_change
    return metrics


class ComparisonResult(NamedTuple):
    """The rows of a comparison, and the kinds of metrics that are void by it."""

    rows: list[ScenarioResult]
    void_kinds: list[str]


def compare_with_real(fleet_size: FleetSize, table: ScaleScenarios) -> ComparisonResult:
    """Run one experiment with simulated and with real dispatchers, and compare."""
    scenario, comparison = comparison_scenario(table), table.comparison
    hosts = max(1, table.host_processes * comparison.dispatchers // table.dispatchers)
    table = msgspec.structs.replace(table, host_processes=hosts)
    simulated, real = (
        run_scenario(fleet_size, table, scenario, simulated=is_simulated) for is_simulated in (True, False)
    )
    rows = [
        msgspec.structs.replace(simulated, scenario=f"{COMPARISON}: hollow"),
        msgspec.structs.replace(real, scenario=f"{COMPARISON}: real"),
    ]
    void = next((f"one of the two is void: {row.void}" for row in rows if row.void), "")
    both = ScenarioResult(
        scenario=COMPARISON,
        seed=table.seed,
        dispatchers=comparison.dispatchers,
        processes=hosts,
        void=void,
        note="hollow figures as parts of the real ones; a kind is void where one is off by over "
        f"{comparison.max_difference:.0%}, memory a dispatcher always: it is shared",
    )
    if void:
        return ComparisonResult([*rows, both], [ALWAYS_VOID])
    found = compare_metrics(_known(simulated), _known(real), comparison.max_difference)
    both = msgspec.structs.replace(
        both,
        metrics={key: round(value, RATIO_DIGITS) for key, value in found.ratios.items()},
        held=[kind for kind in METRIC_KINDS if kind not in found.void_kinds],
        failed=[f"{kind}: hollow figures of it are void" for kind in found.void_kinds],
    )
    return ComparisonResult([*rows, both], [*found.void_kinds, ALWAYS_VOID])


def _known(result: ScenarioResult) -> Metrics:
    return {key: value for key, value in result.metrics.items() if value is not None}


def compare_lengths(table: ScaleScenarios, results: Sequence[ScenarioResult]) -> ScenarioResult | None:
    """Compare the shortest and the longest cut of a region that were run; None where there are not two."""
    cuts = {scenario.name: scenario for scenario in table.scenarios if scenario.kind == "region cut"}
    latest = {result.scenario: result for result in results if result.scenario in cuts}
    by_length = sorted(latest.values(), key=lambda result: cuts[result.scenario].fault_duration)
    if len(by_length) < 2:
        return None
    short, long = by_length[0], by_length[-1]
    ratio = cuts[long.scenario].fault_duration / cuts[short.scenario].fault_duration
    verdict = check_bounded_by_length(_known(short), _known(long), ratio)
    void = next((f"{row.scenario} is void: {row.void}" for row in (short, long) if row.void), "")
    return ScenarioResult(
        scenario=LENGTHS,
        seed=table.seed,
        dispatchers=long.dispatchers,
        processes=long.processes,
        void=void,
        held=verdict.held,
        failed=verdict.failed,
    )


class _ResultLog:
    """Results of this call and those that the file has; the file is written after each one."""

    def __init__(self, out: Path | None, on_result: Callable[[ScenarioResult], None]) -> None:
        self._out = out
        self._on_result = on_result
        self._stored = read_or_begin_results(out)
        self.fresh: list[ScenarioResult] = []

    @property
    def all(self) -> list[ScenarioResult]:
        return self._stored.runs

    def add(self, result: ScenarioResult) -> None:
        """Add a result of this call and write the file."""
        self.fresh.append(result)
        self._stored.runs.append(result)
        self._on_result(result)
        if self._out is not None:
            document = msgspec.json.format(msgspec.json.encode(self._stored))
            self._out.write_bytes(document + b"\n")

    def apply_void_kinds(self, void_kinds: Sequence[str]) -> None:
        """Mark results of earlier calls, which a new comparison binds as well."""
        self._stored.runs[:] = [mark_void_result(result, void_kinds) for result in self._stored.runs]


def run_fleet(
    fleet_size: FleetSize,
    names: Sequence[str],
    out: Path | None,
    on_result: Callable[[ScenarioResult], None],
    events_folder: Path | None = None,
) -> list[ScenarioResult]:
    """Run all scenarios or those named; results are added to the file `out` as they come.

    Raises FleetFileError where the table of scenarios is wrong, ExperimentError where a name is none of them.
    """
    table = read_scale_scenarios(fleet_size)
    _check_names(names, table)
    log = _ResultLog(out, on_result)
    void_kinds = void_kinds_of(log.all)
    if not names or COMPARISON in names:
        comparison = compare_with_real(fleet_size, table)
        void_kinds = comparison.void_kinds
        log.apply_void_kinds(void_kinds)
        for row in comparison.rows:
            log.add(row)
    scenarios = [scenario for scenario in table.scenarios if not names or scenario.name in names]
    for scenario in scenarios:
        path = _events_path(events_folder, scenario)
        log.add(run_scenario(fleet_size, table, scenario, void_kinds=void_kinds, events_path=path))
    if any(scenario.kind == "region cut" for scenario in scenarios):
        lengths = compare_lengths(table, log.all)
        if lengths is not None:
            log.add(lengths)
    return log.fresh


def _check_names(names: Sequence[str], table: ScaleScenarios) -> None:
    known = [COMPARISON, *(scenario.name for scenario in table.scenarios)]
    for name in names:
        if name not in known:
            raise ExperimentError(reason=f"{name!r} is none of {', '.join(known)}", location="--play")


def _events_path(folder: Path | None, scenario: ScaleScenario) -> Path | None:
    return None if folder is None else folder / f"events-{scenario.name.replace(' ', '-')}.jsonl"


def mark_void_result(result: ScenarioResult, void_kinds: Sequence[str]) -> ScenarioResult:
    """Mark the metrics of void kinds in a simulated run's result, and drop the checks that rest on them."""
    if not result.simulated or result.scenario.startswith(COMPARISON) or result.scenario == LENGTHS:
        return result
    # Metrics that were not measured are null in stored results and have nothing to mark.
    marked = mark_void_metrics(_known(result), void_kinds)
    unknown = {key: None for key, value in result.metrics.items() if value is None}
    result = msgspec.structs.replace(result, metrics={**marked, **unknown})
    openings = tuple(kind for kind in void_kinds if kind != ALWAYS_VOID)
    if not openings:
        return result
    return msgspec.structs.replace(
        result,
        held=[text for text in result.held if not text.startswith(openings)],
        failed=[text for text in result.failed if not text.startswith(openings)],
        note=_note_void(void_kinds),
    )


def _note_void(void_kinds: Sequence[str]) -> str:
    return f"void by kind, since hollow and real differ there: {', '.join(void_kinds)}"


def void_kinds_of(results: Sequence[ScenarioResult]) -> list[str]:
    """Return the kinds that are void by the last comparison that is not void itself."""
    comparisons = (row for row in reversed(results) if row.scenario == COMPARISON and not row.void)
    last = next(comparisons, None)
    kinds = [] if last is None else [text.partition(":")[0] for text in last.failed]
    return [*kinds, ALWAYS_VOID]


def read_or_begin_results(out: Path | None) -> ScenarioResults:
    """Return new results with the runs that the file has, if there is one. Raises ExperimentError."""
    today = time.strftime("%Y-%m-%d", time.gmtime())
    runs: list[ScenarioResult] = []
    if out is not None and out.exists():
        try:
            runs = msgspec.json.decode(out.read_bytes(), type=ScenarioResults).runs
        except (OSError, msgspec.DecodeError) as error:
            raise ExperimentError(reason=f"no results of plays: {error}", location=str(out)) from error
    return ScenarioResults(
        format=FORMAT, date=today, commit=_commit(), machine=_describe_machine(), runs=runs
    )


def _commit() -> str:
    """Return the commit that is run; unknown outside of a repository."""
    words = ["git", "rev-parse", "--short", "HEAD"]
    try:
        done = subprocess.run(words, capture_output=True, text=True, check=True, cwd=Path(__file__).parent)
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return done.stdout.strip()


def _describe_machine() -> str:
    cores, gibibytes = len(sched_getaffinity(0)), total_memory() >> GIBIBYTE_SHIFT
    return f"{cores} cores, {gibibytes} GiB, Python {platform.python_version()}"
