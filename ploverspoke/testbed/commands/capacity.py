"""`testbed capacity`: what a fleet of a given size costs, from measured slopes."""

import sys
from pathlib import Path

import click
import msgspec

from ..capacity.fleet_size import FleetFileError, read_fleet
from ..capacity.measured_costs import CostFileError, read_measured_costs
from ..capacity.scenario_results import NONE, ScenarioResultsError, read_scenario_results
from ..capacity.table import make_table
from ..reports.capacity_table import CapacityPageError, markdown, plain, put_in

FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
DEFAULT_SIZE = Path("experiments/fleet-ahead.toml")


@click.command()
@click.argument("slopes_file", metavar="SLOPES", type=FILE)
@click.option("--size", type=FILE, default=DEFAULT_SIZE, show_default=True, help="The fleet's file.")
@click.option("--plays", "plays_file", type=FILE, help="What the scale tests found.")
@click.option("--json", "as_json", is_flag=True, help="All rows and figures.")
@click.option("--markdown", "as_markdown", is_flag=True, help="As the page shows it.")
@click.option("--write", type=FILE, help="Put it between the markers of this page.")
def capacity(
    slopes_file: Path,
    size: Path,
    plays_file: Path | None,
    as_json: bool,
    as_markdown: bool,
    write: Path | None,
) -> None:
    """What a fleet of some size asks of each role, by measured SLOPES, and what carries it.

    Exit 0: all rows hold. 1: some do not, or were not measured; they are named. 2: the call or a file is
    wrong, and the key is named.
    """
    try:
        fleet, slopes = read_fleet(size), read_measured_costs(slopes_file)
        plays = read_scenario_results(plays_file) if plays_file is not None else NONE
        table = make_table(fleet, slopes, plays)
        text = markdown(table, slopes, plays)
        if write is not None:
            write.write_text(put_in(write.read_text(encoding="utf-8"), text), encoding="utf-8")
    except (FleetFileError, CostFileError, ScenarioResultsError) as error:
        raise click.UsageError(str(error)) from None
    except CapacityPageError as error:
        message = f"{write}: {error}"
        raise click.UsageError(message) from error
    if as_json:  # a Duration is a whole number of nanoseconds
        click.echo(msgspec.json.format(msgspec.json.encode(table, enc_hook=int)).decode())
    elif as_markdown:
        click.echo(text, nl=False)
    else:
        click.echo(plain(table))
    wanting = table.wanting()
    if wanting:
        click.echo(f"does not hold, or was not measured: {', '.join(row.key for row in wanting)}", err=True)
    sys.exit(1 if wanting else 0)
