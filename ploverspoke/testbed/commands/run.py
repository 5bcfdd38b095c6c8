"""`ploverspoke testbed run`: runs an experiment file of any kind and checks its acceptance criteria."""

import sys
import tomllib
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, NoReturn, TypedDict, Unpack

import click
import msgspec
from rich.console import Console
from rich.progress import Progress

from ..experiment_files.errors import ExperimentError
from ..experiment_files.experiment import Experiment
from ..experiment_files.reader import read_experiment
from ..reports.experiment_result import OWN_POLICY, Driver, Result
from ..reports.scores import RunScore
from ..reports.tables import make_console, result_table, verdict_lines
from ..scenarios.experiment_runner import run_experiment
from .result_files import print_plain, write_result

OUT_IS_FILE = "--out: {} is a file; expected a folder"
OUT_IS_FOLDER = "--out: {} is a folder; expected a file"
# Keys in the result of a process run that are printed on separate lines.
NON_METRIC_KEYS = (
    "void",
    "failed",
    "shown",
    "looked",
)


class RunOptions(TypedDict):
    """The options of the command, as click passes them."""

    sockets: bool
    seeds: tuple[int, ...]
    policies: tuple[str, ...]
    out: Path | None
    events: bool
    scenarios: tuple[str, ...]


@click.command()
@click.argument("experiment", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--sockets", is_flag=True, help="Run the real program on loopback sockets, in real time.")
@click.option(
    "--seed", "seeds", type=int, multiple=True, help="Replaces the seeds of the file; may be repeated."
)
@click.option(
    "--policy", "policies", multiple=True, help="Replaces the policies of the file; may be repeated."
)
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    help="The folder for result, histograms and plots; for a fleet file, the JSON file for its results.",
)
@click.option(
    "--events/--no-events", default=False, help="Also write every recorded event, one JSON line each."
)
@click.option(
    "--play", "scenarios", multiple=True, help="For a fleet file: run only this scenario; may be repeated."
)
def run(experiment: Path, **options: Unpack[RunOptions]) -> None:
    """Run an EXPERIMENT file and check its acceptance criteria.

    The kinds "leases" and "distribution" run real processes; the kind "fleet" runs simulated dispatchers, and
    its --out is a JSON file.

    Exit code 0: all criteria held. 1: a criterion failed or a run was void; it is printed. 2: the file or the
    arguments are invalid.
    """
    document = _read_document(experiment)
    kind, out = document.get("kind"), options["out"]
    if kind == "fleet":
        _run_fleet(experiment, options["scenarios"], out, options["events"])
    if out is not None and out.is_file():
        raise click.UsageError(OUT_IS_FILE.format(out))
    if kind in ("leases", "distribution"):
        _run_processes(document, options["seeds"], out)
    policies = options["policies"]
    loaded = _read_experiment(experiment, options["seeds"], policies)
    # Virtual time simulates neither replicas nor links between dispatchers.
    needs_sockets = loaded.dispatchers.store or loaded.dispatchers.gossip or bool(loaded.timeline)
    driver: Driver = "sockets" if options["sockets"] or needs_sockets else "virtual"
    if driver == "sockets" and not policies:
        loaded = msgspec.structs.replace(loaded, policies=[OWN_POLICY])
    _run_and_report(loaded, driver, out, options["events"])


def _run_and_report(experiment: Experiment, driver: Driver, out: Path | None, events: bool) -> NoReturn:
    console = make_console()
    try:
        result = _run_with_progress(experiment, driver, out if events else None, console)
    except ExperimentError as error:
        raise click.UsageError(str(error)) from None
    console.print(result_table(result))
    for line in verdict_lines(result):
        print_plain(console, line)
    if out is not None:
        write_result(result, out)
        print_plain(console, f"result, histograms and plots: {out}")
    sys.exit(1 if result.failed else 0)


def _run_with_progress(
    experiment: Experiment, driver: Driver, folder: Path | None, console: Console
) -> Result:
    """Run it with a progress bar on a terminal, or else with a printed line for each run."""
    if not console.is_terminal:
        return run_experiment(experiment, driver, folder, _print_run)
    total = len(experiment.seeds) * (1 if driver == "sockets" else len(experiment.policies))
    with Progress(console=console) as progress:
        task = progress.add_task(f"{experiment.name} ({driver})", total=total)
        return run_experiment(experiment, driver, folder, lambda _: progress.advance(task))


def _print_run(score: RunScore) -> None:
    broken = f", {score.broken_rules} broken rules" if score.broken_rules else ""
    void = ", void" if score.void else ""
    print(f"{score.policy} seed {score.seed}: service {score.service:.4f}{broken}{void}", flush=True)


def _read_document(path: Path) -> dict[str, Any]:
    """Return the TOML document, or an empty one if the file is invalid, which its reader reports later."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError):
        return {}


def _read_experiment(path: Path, seeds: tuple[int, ...], policies: tuple[str, ...]) -> Experiment:
    try:
        experiment = read_experiment(path)
    except ExperimentError as error:
        raise click.UsageError(str(error)) from None
    changes: dict[str, object] = {}
    if seeds:
        changes["seeds"] = list(seeds)
    if policies:
        changes["policies"] = list(policies)
    return msgspec.structs.replace(experiment, **changes)


def _run_processes(document: dict[str, Any], seeds: tuple[int, ...], out: Path | None) -> NoReturn:
    """Run lease servers and candidates, or config servers and dispatchers; a void run exits with 1."""
    from ..experiment_files.fault_timeline import TimelineError
    from ..scenarios.distribution_experiment import read_distribution_experiment
    from ..scenarios.distribution_scenario import run_distribution
    from ..scenarios.lease_experiment import read_lease_experiment
    from ..scenarios.lease_scenario import run_leases

    scenario: Any
    run_scenario: Callable[[Any, int], dict[str, Any]]
    try:
        if document["kind"] == "leases":
            scenario, run_scenario = read_lease_experiment(document), run_leases
        else:
            scenario, run_scenario = read_distribution_experiment(document), run_distribution
    except TimelineError as error:
        raise click.UsageError(str(error)) from None
    results = []
    for seed in seeds or scenario.seeds:
        result = run_scenario(scenario, seed)
        _print_process_result(scenario.name, result)
        results.append(result)
    if out is not None:
        out.mkdir(parents=True, exist_ok=True)
        (out / "result.json").write_bytes(msgspec.json.format(msgspec.json.encode(results)))
    sys.exit(1 if any(result["void"] or result["failed"] for result in results) else 0)


def _print_process_result(name: str, result: Mapping[str, Any]) -> None:
    metrics = {key: value for key, value in result.items() if key not in NON_METRIC_KEYS}
    print(f"{name}: {_key_value_pairs(metrics)}", flush=True)
    for sample in result.get("looked", ()):
        print(f"  {_key_value_pairs(sample)}", flush=True)
    for line in result["shown"] or result["failed"]:
        print(line, flush=True)
    if result["void"]:
        print(f"void: {result['void']}", flush=True)


def _key_value_pairs(values: Mapping[str, object]) -> str:
    return "  ".join(f"{key}={value}" for key, value in values.items())


def _run_fleet(path: Path, scenarios: tuple[str, ...], out: Path | None, events: bool) -> NoReturn:
    """Run the scale scenarios of a fleet file; a void run exits with 1."""
    from ..capacity.fleet_size import FleetFileError, read_fleet
    from ..capacity.scenario_results import ScenarioResult
    from ..scenarios.scale_test import run_fleet

    def print_row(row: ScenarioResult) -> None:
        """Print the result of one scenario."""
        metrics = {key: f"{value:g}" for key, value in row.metrics.items() if value is not None}
        print(f"{row.scenario}: {_key_value_pairs(metrics)}", flush=True)
        if row.void:
            print(f"  void: {row.void}", flush=True)
        for label, lines in (("held", row.held), ("failed", row.failed)):
            for line in lines:
                print(f"  {label}: {line}", flush=True)

    if out is not None and out.is_dir():
        raise click.UsageError(OUT_IS_FOLDER.format(out))
    events_folder = out.parent if events and out is not None else None
    try:
        rows = run_fleet(read_fleet(path), scenarios, out, print_row, events_folder)
    except (FleetFileError, ExperimentError) as error:
        raise click.UsageError(str(error)) from None
    sys.exit(1 if any(row.void or row.failed for row in rows) else 0)
