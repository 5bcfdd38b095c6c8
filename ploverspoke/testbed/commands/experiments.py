"""`ploverspoke testbed`: run, compare, bench."""

import sys
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any, NoReturn

import click
import msgspec
from rich.progress import Progress

from ..experiment_files.experiment import Experiment, ExperimentError, read_experiment
from ..reports.comparison import compare_results
from ..reports.scores import RunScore
from ..reports.tables import console, differences_table, result_table, verdict
from ..scenarios.experiment_runner import Driver, Result, read_result, run_experiment
from .capacity import capacity
from .measure_costs import slopes

WRONG_CALL = 2


@click.group()
def testbed() -> None:
    """A world to prove the dispatcher in: experiments on virtual time or on sockets."""


def _read(path: Path, seeds: tuple[int, ...], policies: tuple[str, ...]) -> Experiment:
    try:
        e = read_experiment(path)
    except ExperimentError as error:
        raise click.UsageError(str(error)) from None
    changes: dict[str, object] = {}
    if seeds:
        changes["seeds"] = list(seeds)
    if policies:
        changes["policies"] = list(policies)
    return msgspec.structs.replace(e, **changes)


@testbed.command()
@click.argument("experiment", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--sockets", is_flag=True, help="Play the real program on loopback sockets, in real time.")
@click.option(
    "--seed", "seeds", type=int, multiple=True, help="In place of the file's seeds; may be repeated."
)
@click.option("--policy", "policies", multiple=True, help="In place of the file's policies; may be repeated.")
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    help="The folder where result, histograms and plots go; of a fleet file, the JSON file of its plays.",
)
@click.option("--events/--no-events", default=False, help="Keep every event seen, too, one JSON line each.")
@click.option("--play", "plays", multiple=True, help="Of a fleet file: only this play; may be repeated.")
def run(
    experiment: Path,
    sockets: bool,
    seeds: tuple[int, ...],
    policies: tuple[str, ...],
    out: Path | None,
    events: bool,
    plays: tuple[str, ...],
) -> None:
    """Run an EXPERIMENT file and judge it. Kinds "leases" and "distribution" are played by real processes,
    one of kind "fleet" by hollow ones; of that, --out is a JSON file.

    Exit 0: all that must hold held. 1: something did not, and is named. 2: the file or the call is wrong.
    """
    told = _kind(experiment)
    if told.get("kind") == "fleet":
        _run_fleet(experiment, plays, out, events)
    if out is not None and out.is_file():
        raise click.UsageError(f"--out: {out} is a file, a folder is wanted")
    if told.get("kind") in ("leases", "distribution"):
        _run_processes(told, seeds, out)
    e = _read(experiment, seeds, policies)
    # Neither replicas nor links among dispatchers are played on virtual time.
    sockets = sockets or e.dispatchers.store or e.dispatchers.talk or bool(e.timeline)
    if sockets and not policies:
        e = msgspec.structs.replace(e, policies=["ours"])
    driver: Driver = "sockets" if sockets else "virtual"
    show = console()
    total = len(e.seeds) * (1 if sockets else len(e.policies))
    try:
        if show.is_terminal:
            with Progress(console=show) as progress:
                task = progress.add_task(f"{e.name} ({driver})", total=total)
                result = run_experiment(e, driver, out if events else None, lambda _: progress.advance(task))
        else:
            result = run_experiment(e, driver, out if events else None, _say)
    except ExperimentError as error:
        raise click.UsageError(str(error)) from None
    show.print(result_table(result))
    for line in verdict(result):
        show.print(line, markup=False, highlight=False, soft_wrap=True)
    if out is not None:
        leave(result, out)
        show.print(f"result, histograms and plots: {out}", markup=False, highlight=False, soft_wrap=True)
    sys.exit(1 if result.failed else 0)


def _kind(path: Path) -> dict[str, Any]:
    """What the file says, where it is TOML at all."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError):
        return {}


def _run_processes(told: dict[str, Any], seeds: tuple[int, ...], out: Path | None) -> NoReturn:
    """LeaseServers and contenders, or config servers and dispatchers, in real time; a void run is no green
    one."""
    from ..processes.fault_timeline import TimelineError
    from ..scenarios.distribution_scenario import read_distribution_experiment, run_distribution
    from ..scenarios.lease_scenario import read_lease_experiment, run_leases

    e: Any
    play: Callable[[Any, int], dict[str, Any]]
    try:
        if told["kind"] == "leases":
            e, play = read_lease_experiment(told), run_leases
        else:
            e, play = read_distribution_experiment(told), run_distribution
    except TimelineError as error:
        raise click.UsageError(str(error)) from None
    results = []
    for seed in seeds or e.seeds:
        found = play(e, seed)
        results.append(found)
        figures = {
            key: value for key, value in found.items() if key not in ("void", "failed", "shown", "looked")
        }
        print(f"{e.name}: " + "  ".join(f"{key}={value}" for key, value in figures.items()), flush=True)
        for row in found.get("looked", ()):
            print("  " + "  ".join(f"{key}={value}" for key, value in row.items()), flush=True)
        for line in found["shown"] or found["failed"]:
            print(line, flush=True)
        if found["void"]:
            print(f"void: {found['void']}", flush=True)
    if out is not None:
        out.mkdir(parents=True, exist_ok=True)
        (out / "result.json").write_bytes(msgspec.json.format(msgspec.json.encode(results)))
    sys.exit(1 if any(found["void"] or found["failed"] for found in results) else 0)


def _run_fleet(path: Path, plays: tuple[str, ...], out: Path | None, events: bool) -> NoReturn:
    """Many dispatchers in a few processes; a void run is no green one."""
    from ..capacity.fleet_size import FleetFileError, read_fleet
    from ..checkers.scale_checker import ScaleRow
    from ..scenarios.scale_test import run_fleet

    def say(row: ScaleRow) -> None:
        print(
            f"{row.play}: " + "  ".join(f"{key}={value:g}" for key, value in row.figures.items()), flush=True
        )
        for what, lines in (
            ("void", [row.void] * bool(row.void)),
            ("held", row.held),
            ("failed", row.failed),
        ):
            for line in lines:
                print(f"  {what}: {line}", flush=True)

    if out is not None and out.is_dir():
        raise click.UsageError(f"--out: {out} is a folder, a file is wanted")
    try:
        keep = out.parent if events and out is not None else None
        rows = run_fleet(read_fleet(path), plays, out, say, keep)
    except (FleetFileError, ExperimentError) as error:
        raise click.UsageError(str(error)) from None
    sys.exit(1 if any(row.void or row.failed for row in rows) else 0)


def _say(done: RunScore) -> None:
    broken = f", {done.broken_rules} broken rules" if done.broken_rules else ""
    print(
        f"{done.policy} seed {done.seed}: service {done.service:.4f}{broken}{', void' if done.void else ''}",
        flush=True,
    )


def leave(result: Result, out: Path) -> None:
    """All files of a result."""
    from ..reports.plots import write_histograms, write_plots
    from ..reports.scores import as_json

    out.mkdir(parents=True, exist_ok=True)
    (out / "result.json").write_bytes(as_json(result))
    write_plots(result, out)
    write_histograms(result, out)


@testbed.command(name="compare")
@click.argument("one", type=click.Path(exists=True, path_type=Path))
@click.argument("other", type=click.Path(exists=True, path_type=Path))
@click.option(
    "--policies", nargs=2, default=("ours", "ours"), help="The policy of each side.", show_default=True
)
def compare_(one: Path, other: Path, policies: tuple[str, str]) -> None:
    """Set two results side by side, pair by pair over the seeds."""
    try:
        rows = compare_results(read_result(one), read_result(other), *policies)
    except ExperimentError as error:
        raise click.UsageError(str(error)) from None
    if not rows:
        raise click.UsageError("no seed is in both results")
    console().print(differences_table(rows, (f"{one} {policies[0]}", f"{other} {policies[1]}")))


testbed.add_command(slopes)


@testbed.command()
@click.option("--quick", is_flag=True, help="Shorter, and fewer steps.")
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), help="A JSON file for the figures.")
@click.option(
    "--store", is_flag=True, help="What a store costs and how long a lost leader is missed, instead."
)
@click.option("--leases", is_flag=True, help="What keepers of leases bear and cost, instead.")
def bench(quick: bool, out: Path | None, store: bool, leases: bool) -> None:
    """Measure one dispatcher on one core against a bare relay, and the decisions' cost by fleet size."""
    from ..scenarios.dispatcher_bench import measure, tables
    from ..scenarios.lease_bench import lease_tables, measure_leases
    from ..scenarios.store_bench import measure_store, store_tables

    def say(text: str) -> None:
        print(text, flush=True)

    show = console()
    figures: object
    if store:
        figures = found = measure_store(quick, say)
        shown = store_tables(found)
    elif leases:
        figures = borne = measure_leases(quick, say)
        shown = lease_tables(borne)
    else:
        figures = measured = measure(quick, say)
        shown = tables(measured)
    for table in shown:
        show.print(table)
    if out is not None:
        out.write_bytes(msgspec.json.format(msgspec.json.encode(figures)))


testbed.add_command(capacity)
