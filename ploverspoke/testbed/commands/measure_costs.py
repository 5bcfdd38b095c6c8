"""`ploverspoke testbed slopes`: measures what roles cost per unit of load and keeps the results in a file."""

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
    """A word on the command line names no role, or no load of a role."""

    def __init__(self, word: str) -> None:
        """`word` is as it was given."""
        super().__init__(word)
        self.word = word


def choose_measurements(words: Sequence[str], measurements: Sequence[Measurement]) -> list[Measurement]:
    """Return those of the named roles or `role/load`; all where none is named. Raises UnknownRoleError."""
    chosen: set[int] = set()
    for word in words:
        role, _, load = word.partition("/")
        matching = [
            number
            for number, measurement in enumerate(measurements)
            if role in measurement.roles and load in ("", measurement.load)
        ]
        if not matching:
            raise UnknownRoleError(word)
        chosen.update(matching)
    return [measurement for number, measurement in enumerate(measurements) if not words or number in chosen]


def merge_costs(old: MeasuredCosts | None, fresh: MeasuredCosts) -> MeasuredCosts:
    """Replace old costs of the same role and load by the fresh ones; the others stay."""
    if old is None:
        return fresh
    measured = {(line.role, line.load) for line in fresh.lines}
    kept = [line for line in old.lines if (line.role, line.load) not in measured]
    lines = sorted([*kept, *fresh.lines], key=lambda line: (line.role, line.load))
    return msgspec.structs.replace(fresh, lines=lines)


async def measure(measurements: Iterable[Measurement], request: MeasurementRequest) -> MeasurementResult:
    """Run the measurements one after another; one that does not fit on the machine is void."""
    lines: list[CostPerUnit] = []
    void: list[str] = []
    for measurement in measurements:
        machine_load = f"load of the machine at the start {os.getloadavg()[0]:.1f}"
        request.say(f"{measurement.name()}: {machine_load}")
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
    """Add the day, the commit and the machine to what was measured."""
    commit = subprocess.run(["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True)
    memory = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / GIBIBYTE
    return MeasuredCosts(
        format=FORMAT,
        date=datetime.date.today().isoformat(),
        commit=commit.stdout.strip() or "unknown",
        machine=f"{len(os.sched_getaffinity(0))} cores, {memory:.0f} GB",
        lines=lines,
    )


def _read_if_there(path: Path) -> MeasuredCosts | None:
    return read_measured_costs(path) if path.exists() else None


def _print_progress(text: str) -> None:
    click.echo(text, err=True)


@click.command()
@click.argument("roles", nargs=-1, metavar="[ROLE...]")
@click.option(
    "--out", type=click.Path(dir_okay=False, path_type=Path), required=True, help="The file of the costs."
)
@click.option("--quick", is_flag=True, help="Shorter intervals: for a look, not for the file that is kept.")
@click.option("--in-turn", is_flag=True, help="No fleets side by side: several times as long.")
@click.option("--json", "as_json", is_flag=True, help="For tools: the costs of this call.")
def slopes(roles: tuple[str, ...], out: Path, quick: bool, in_turn: bool, as_json: bool) -> None:
    """Measure what each ROLE costs per unit of load, and keep the costs in a file.

    Without a ROLE all are measured; ROLE/LOAD is one load of one. What the file has of other roles and
    loads stays. Exit 0: done. 1: a run was void or a fit is contradicted by its points, and it is named. 2:
    the call or the file is wrong.
    """
    try:
        measurements = choose_measurements(roles, MEASUREMENTS)
        _read_if_there(out)  # a wrong file ends the call before anything is measured
    except UnknownRoleError as error:
        known = ", ".join(dict.fromkeys(role for each in MEASUREMENTS for role in each.roles))
        message = f"{error.word!r} is no role; there are {known}"
        raise click.UsageError(message) from error
    except StoredFileError as error:
        raise click.UsageError(str(error)) from error
    request = MeasurementRequest(_print_progress, quick, not in_turn)
    result = asyncio.run(measure(measurements, request))
    fresh = describe_costs(result.lines)
    if result.lines:
        # Read again: another call may have measured another role meanwhile.
        write_measured_costs(merge_costs(_read_if_there(out), fresh), out)
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
