"""Runs the scenarios of a fleet file in real time, after a comparison with real dispatchers."""

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import NamedTuple

import msgspec

from ..capacity.fleet_size import FleetSize
from ..capacity.scenario_results import ScenarioResult
from ..checkers.scale_checker import check_bounded_by_length
from ..checkers.scale_comparison import ALWAYS_VOID, METRIC_KINDS, compare_metrics
from ..experiment_files.errors import ExperimentError
from ..scale.scenario_file import ScaleScenario, ScaleScenarios, read_scale_scenarios
from .scale_experiment import COMPARISON, comparison_scenario
from .scale_results import LENGTH_COMPARISON, ResultLog, last_void_kinds, measured_metrics
from .scale_run import run_scenario

RATIO_DIGITS = 4  # after the decimal point


class ComparisonResult(NamedTuple):
    """The rows of a comparison, and the kinds of metrics that it makes void."""

    rows: list[ScenarioResult]
    void_kinds: list[str]


def compare_with_real(fleet_size: FleetSize, table: ScaleScenarios) -> ComparisonResult:
    """Run one experiment with simulated and with real dispatchers, and compare the metrics."""
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
    summary = ScenarioResult(
        scenario=COMPARISON,
        seed=table.seed,
        dispatchers=comparison.dispatchers,
        processes=hosts,
        void=void,
        note="simulated metrics as shares of the real ones; a kind is void where one is off by over "
        f"{comparison.max_difference:.0%}, memory a dispatcher always: it is shared",
    )
    if void:
        return ComparisonResult([*rows, summary], [ALWAYS_VOID])
    simulated_metrics, real_metrics = measured_metrics(simulated), measured_metrics(real)
    differences = compare_metrics(simulated_metrics, real_metrics, comparison.max_difference)
    summary = msgspec.structs.replace(
        summary,
        metrics={key: round(value, RATIO_DIGITS) for key, value in differences.ratios.items()},
        held=[kind for kind in METRIC_KINDS if kind not in differences.void_kinds],
        failed=[f"{kind}: simulated metrics of it are void" for kind in differences.void_kinds],
    )
    return ComparisonResult([*rows, summary], [*differences.void_kinds, ALWAYS_VOID])


def compare_lengths(table: ScaleScenarios, results: Sequence[ScenarioResult]) -> ScenarioResult | None:
    """Compare the shortest and the longest region cut that were run; None if fewer than two were run."""
    cuts = {scenario.name: scenario for scenario in table.scenarios if scenario.kind == "region cut"}
    latest = {result.scenario: result for result in results if result.scenario in cuts}
    by_length = sorted(latest.values(), key=lambda result: cuts[result.scenario].fault_duration)
    if len(by_length) < 2:
        return None
    short, long = by_length[0], by_length[-1]
    ratio = cuts[long.scenario].fault_duration / cuts[short.scenario].fault_duration
    verdict = check_bounded_by_length(measured_metrics(short), measured_metrics(long), ratio)
    void = next((f"{row.scenario} is void: {row.void}" for row in (short, long) if row.void), "")
    return ScenarioResult(
        scenario=LENGTH_COMPARISON,
        seed=table.seed,
        dispatchers=long.dispatchers,
        processes=long.processes,
        void=void,
        held=verdict.passed,
        failed=verdict.failed,
    )


def run_fleet(
    fleet_size: FleetSize,
    names: Sequence[str],
    out: Path | None,
    on_result: Callable[[ScenarioResult], None],
    events_folder: Path | None = None,
) -> list[ScenarioResult]:
    """Run all scenarios or those in `names`; each result is added to the file `out` as soon as it is there.

    Raises FleetFileError if the table of scenarios is invalid, and ExperimentError if a name is unknown.
    """
    table = read_scale_scenarios(fleet_size)
    _check_names(names, table)
    log = ResultLog(out, on_result)
    void_kinds = last_void_kinds(log.all_results)
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
        length_comparison = compare_lengths(table, log.all_results)
        if length_comparison is not None:
            log.add(length_comparison)
    return log.new_results


def _check_names(names: Sequence[str], table: ScaleScenarios) -> None:
    known = [COMPARISON, *(scenario.name for scenario in table.scenarios)]
    for name in names:
        if name not in known:
            raise ExperimentError(reason=f"{name!r} is none of {', '.join(known)}", location="--play")


def _events_path(folder: Path | None, scenario: ScaleScenario) -> Path | None:
    return None if folder is None else folder / f"events-{scenario.name.replace(' ', '-')}.jsonl"
