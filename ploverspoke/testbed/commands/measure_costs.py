"""`ploverspoke testbed slopes`: measures the costs of roles per unit of load and stores them in a file."""

import asyncio
import datetime
import os
import subprocess
import sys
from collections.abc import Iterable, Sequence
from pathlib import Path

import click
import msgspec

from ..capacity.measured_costs import (
    FORMAT,
    CostPerUnit,
    MeasuredCosts,
    read_measured_costs,
    write_measured_costs,
)
from ..capacity.measurements import (
    command_costs,
    config_server,
    discovery_and_workers,
    dispatcher,
    lease_server,
    store_replica,
    watching_dispatcher,
)
from ..capacity.measurements.measurement import Measurement, MeasurementRequest, MeasurementResult
from ..capacity.stored_file import StoredFileError
from ..processes.capacity_check import CapacityError
from ..reports.cost_tables import cost_tables
from ..reports.tables import make_console

GIBIBYTE = 1 << 30
MEASUREMENTS: list[Measurement] = [
    *dispatcher.MEASUREMENTS,
    *discovery_and_workers.MEASUREMENTS,
    *lease_server.MEASUREMENTS,
    *store_replica.MEASUREMENTS,
    *config_server.MEASUREMENTS,
    *watching_dispatcher.MEASUREMENTS,
    *command_costs.MEASUREMENTS,
]


class UnknownRoleError(KeyError):
    """An argument of the command names an unknown role, or an unknown load of a role."""

    def __init__(self, argument: str) -> None:
        """`argument` is the text from the command line."""
        super().__init__(argument)
        self.argument = argument


def choose_measurements(arguments: Sequence[str], measurements: Sequence[Measurement]) -> list[Measurement]:
    """Return the measurements of each `role` or `role/load`, by default all. Raises UnknownRoleError."""
    chosen: set[int] = set()
    for argument in arguments:
        role, _, load = argument.partition("/")
        matching = [
            number
            for number, measurement in enumerate(measurements)
            if role in measurement.roles and load in ("", measurement.load)
        ]
        if not matching:
            raise UnknownRoleError(argument)
        chosen.update(matching)
    return [
        measurement for number, measurement in enumerate(measurements) if not arguments or number in chosen
    ]


def merge_costs(old: MeasuredCosts | None, fresh: MeasuredCosts) -> MeasuredCosts:
    """Replace the old costs of each measured role and load with the fresh ones; keep the others."""
    if old is None:
        return fresh
    measured = {(line.role, line.load) for line in fresh.lines}
    kept = [line for line in old.lines if (line.role, line.load) not in measured]
    lines = sorted([*kept, *fresh.lines], key=lambda line: (line.role, line.load))
    return msgspec.structs.replace(fresh, lines=lines)


async def measure(measurements: Iterable[Measurement], request: MeasurementRequest) -> MeasurementResult:
    """Run the measurements one after another; a measurement that exceeds the machine's capacity is void."""
    lines: list[CostPerUnit] = []
    void: list[str] = []
    for measurement in measurements:
        machine_load = f"load of the machine at the start {os.getloadavg()[0]:.1f}"
        request.report_progress(f"{measurement.name()}: {machine_load}")
        try:
            result = await measurement.measure(request)
        except CapacityError as error:
            result = MeasurementResult([], [f"{measurement.name()}: {error}"])
        for line in result.lines:
            note = "; ".join(text for text in (line.note, machine_load) if text)
            lines.append(msgspec.structs.replace(line, note=note))
        void += result.void
    return MeasurementResult(lines, void)


def describe_costs(lines: list[CostPerUnit]) -> MeasuredCosts:
    """Add the date, the commit and the machine to the measured costs."""
    commit = subprocess.run(["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True)
    memory = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / GIBIBYTE
    return MeasuredCosts(
        format=FORMAT,
        date=datetime.date.today().isoformat(),
        commit=commit.stdout.strip() or "unknown",
        machine=f"{len(os.sched_getaffinity(0))} cores, {memory:.0f} GB",
        lines=lines,
    )


def _read_if_exists(path: Path) -> MeasuredCosts | None:
    return read_measured_costs(path) if path.exists() else None


def _print_progress(text: str) -> None:
    click.echo(text, err=True)


@click.command()
@click.argument("roles", nargs=-1, metavar="[ROLE...]")
@click.option(
    "--out",
    type=click.Path(dir_okay=False, path_type=Path),
    required=True,
    help="The file that stores the costs.",
)
@click.option("--quick", is_flag=True, help="Use shorter intervals; not accurate enough for the stored file.")
@click.option("--in-turn", is_flag=True, help="Run one fleet at a time; takes several times as long.")
@click.option("--json", "as_json", is_flag=True, help="Print the costs of this run as JSON.")
def slopes(roles: tuple[str, ...], out: Path, quick: bool, in_turn: bool, as_json: bool) -> None:
    """Measure the cost of each ROLE per unit of load, and store the costs in a file.

    Without a ROLE all roles are measured; ROLE/LOAD measures one load of a role. Costs of other roles and
    loads in the file are kept. Exit code 0: done. 1: a run was void, or a fit is contradicted by its points;
    it is printed. 2: the arguments or the file are invalid.
    """
    try:
        measurements = choose_measurements(roles, MEASUREMENTS)
        _read_if_exists(out)  # an invalid file is reported before anything is measured
    except UnknownRoleError as error:
        known = ", ".join(dict.fromkeys(role for measurement in MEASUREMENTS for role in measurement.roles))
        message = f"{error.argument!r} is not a known role; known roles: {known}"
        raise click.UsageError(message) from error
    except StoredFileError as error:
        raise click.UsageError(str(error)) from error
    request = MeasurementRequest(_print_progress, quick, not in_turn)
    result = asyncio.run(measure(measurements, request))
    fresh = describe_costs(result.lines)
    if result.lines:
        # Read again: another process may have stored the costs of other roles in the meantime.
        write_measured_costs(merge_costs(_read_if_exists(out), fresh), out)
    contradicted = [_describe_contradicted(line) for line in result.lines if line.contradicted]
    _print_costs(fresh, result.void, contradicted, as_json)
    sys.exit(1 if result.void or contradicted else 0)


def _describe_contradicted(line: CostPerUnit) -> str:
    return f"{line.role}, {line.metric} against {line.load}: residual {line.residual:.0%}"


def _print_costs(fresh: MeasuredCosts, void: list[str], contradicted: list[str], as_json: bool) -> None:
    if as_json:
        document = {**msgspec.to_builtins(fresh), "void": void, "contradicted": contradicted}
        click.echo(msgspec.json.format(msgspec.json.encode(document)).decode())
        return
    for table in cost_tables(fresh.lines):
        make_console().print(table)
    for text in void:
        click.echo(f"void: {text}")
    for text in contradicted:
        click.echo(f"CONTRADICTED: {text}")
