"""`ploverspoke testbed slopes`: measure roles, keep the lines in a file, show them."""

import asyncio
import datetime
import os
import subprocess
import sys
from collections.abc import Iterable, Sequence
from pathlib import Path

import click
import msgspec
from rich.table import Table

from ..capacity.measured_costs import (
    FORMAT,
    CostFileError,
    CostPerUnit,
    MeasuredCosts,
    read_measured_costs,
    write_measured_costs,
)
from ..capacity.measurements import config_server, dispatcher, fleet, lease_server, store_replica, tools
from ..capacity.measurements.parts import Measurement, MeasurementRequest, MeasurementResult
from ..processes.capacity_check import CapacityError
from ..reports.tables import make_console

PARTS: list[Measurement] = [
    *dispatcher.PARTS,
    *fleet.PARTS,
    *lease_server.PARTS,
    *store_replica.PARTS,
    *config_server.PARTS,
    *tools.PARTS,
]


def chosen(words: Sequence[str], parts: Sequence[Measurement]) -> list[Measurement]:
    """The parts of these roles, or `role/size` for one of them; all where none is named. Raises KeyError."""
    for word in words:
        role, _, size = word.partition("/")
        if not any(role in part.roles and size in ("", part.size) for part in parts):
            raise KeyError(word)
    named = [word.partition("/") for word in words]
    return [
        part
        for part in parts
        if not words or any(role in part.roles and size in ("", part.size) for role, _, size in named)
    ]


def merged(old: MeasuredCosts | None, fresh: MeasuredCosts) -> MeasuredCosts:
    """The fresh lines in place of the old ones of the same role and size; the others stay."""
    if old is None:
        return fresh
    done = {(line.role, line.size) for line in fresh.lines}
    kept = [line for line in old.lines if (line.role, line.size) not in done]
    lines = sorted([*kept, *fresh.lines], key=lambda line: (line.role, line.size))
    return msgspec.structs.replace(fresh, lines=lines)


async def measure(parts: Iterable[Measurement], asked: MeasurementRequest) -> MeasurementResult:
    lines: list[CostPerUnit] = []
    void: list[str] = []
    for part in parts:
        load = f"load of the machine at the start {os.getloadavg()[0]:.1f}"
        asked.say(f"{part.name()}: {load}")
        try:
            found = await part.measure(asked)
        except CapacityError as error:
            found = MeasurementResult([], [f"{part.name()}: {error}"])
        for line in found.lines:
            note = "; ".join(text for text in (line.note, load) if text)
            lines.append(msgspec.structs.replace(line, note=note))
        void += found.void
    return MeasurementResult(lines, void)


def slopes_of(lines: list[CostPerUnit]) -> MeasuredCosts:
    commit = subprocess.run(["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True)
    return MeasuredCosts(
        format=FORMAT,
        at=datetime.date.today().isoformat(),
        text=commit.stdout.strip() or "unknown",
        machine=f"{len(os.sched_getaffinity(0))} cores, {_memory_gib():.0f} GB",
        lines=lines,
    )


def _memory_gib() -> float:
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / (1 << 30)


def tables(lines: Sequence[CostPerUnit]) -> list[Table]:
    """One a role; figures that were 0 throughout are in the file only."""
    found = []
    for role in dict.fromkeys(line.role for line in lines):
        table = Table(title=role, title_justify="left")
        for heading in ("figure", "size", "still", "intercept", "slope", "residual", "measured to", ""):
            table.add_column(heading, justify="left" if heading in ("figure", "size", "still") else "right")
        for line in lines:
            if line.role == role and any(value for _, value in line.points):
                still = " ".join(f"{key}={value:g}" for key, value in line.still.items())
                table.add_row(
                    f"{line.figure} ({line.unit})", line.size, still, f"{line.intercept:.4g}",
                    f"{line.slope:.4g}", f"{line.residual:.1%}", f"{line.measured_to:g}",
                    "CONTRADICTED" if line.contradicted else "",
                )  # fmt: skip
        found.append(table)
    return found


def _read(out: Path) -> MeasuredCosts | None:
    """Raises CostFileError."""
    return read_measured_costs(out) if out.exists() else None


def _say(text: str) -> None:
    click.echo(text, err=True)


@click.command()
@click.argument("roles", nargs=-1, metavar="[ROLE...]")
@click.option(
    "--out", type=click.Path(dir_okay=False, path_type=Path), required=True, help="The slopes file."
)
@click.option("--quick", is_flag=True, help="Shorter stretches: for a look, not for the file that is kept.")
@click.option("--in-turn", is_flag=True, help="No worlds side by side: several times as long.")
@click.option("--json", "as_json", is_flag=True, help="For tools: the lines of this call.")
def slopes(roles: tuple[str, ...], out: Path, quick: bool, in_turn: bool, as_json: bool) -> None:
    """Measure what each ROLE costs against its sizes, and keep the lines in a file.

    Without a ROLE all are measured; ROLE/SIZE is one size of one. What the file has of other roles and
    sizes stays. Exit 0: done. 1: a world was void or a fit is contradicted by its points, and it is named.
    2: the call or the file is wrong.
    """
    try:
        parts = chosen(roles, PARTS)
    except KeyError as error:
        known = ", ".join(dict.fromkeys(role for part in PARTS for role in part.roles))
        raise click.UsageError(f"{error.args[0]!r} is no role; there are {known}") from None
    try:
        _read(out)
    except CostFileError as error:
        raise click.UsageError(str(error)) from None
    found = asyncio.run(measure(parts, MeasurementRequest(_say, quick, not in_turn)))
    fresh = slopes_of(found.lines)
    if found.lines:
        # Read again: another call may have measured another role meanwhile.
        write_measured_costs(merged(_read(out), fresh), out)
    against = [
        f"{line.role}, {line.figure} against {line.size}: residual {line.residual:.0%}"
        for line in found.lines
        if line.contradicted
    ]
    if as_json:
        told = {**msgspec.to_builtins(fresh), "void": found.void, "contradicted": against}
        click.echo(msgspec.json.format(msgspec.json.encode(told)).decode())
    else:
        for table in tables(found.lines):
            make_console().print(table)
        for text in found.void:
            click.echo(f"void: {text}")
        for text in against:
            click.echo(f"CONTRADICTED: {text}")
    sys.exit(1 if found.void or against else 0)
