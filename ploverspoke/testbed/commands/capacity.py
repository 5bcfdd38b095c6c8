"""`testbed capacity`: estimates the cost of a fleet of a given size from measured costs per unit of load."""

import sys
from pathlib import Path

import click
import msgspec

from ..capacity.fleet_size import FleetFileError, read_fleet
from ..capacity.measured_costs import read_measured_costs
from ..capacity.scenario_results import NO_RESULTS, read_scenario_results
from ..capacity.stored_file import StoredFileError
from ..capacity.table import make_table
from ..reports.capacity_page.page import (
    CapacityPageError,
    render_markdown,
    render_plain,
    replace_between_markers,
)

FILE_PATH = click.Path(exists=True, dir_okay=False, path_type=Path)
DEFAULT_FLEET_FILE = Path("experiments/fleet-ahead.toml")


@click.command()
@click.argument("costs_file", metavar="SLOPES", type=FILE_PATH)
@click.option("--size", type=FILE_PATH, default=DEFAULT_FLEET_FILE, show_default=True, help="The fleet file.")
@click.option("--plays", "results_file", type=FILE_PATH, help="The results of the scale tests.")
@click.option("--json", "as_json", is_flag=True, help="Print all rows and estimates as JSON.")
@click.option("--markdown", "as_markdown", is_flag=True, help="Print Markdown, as the page shows it.")
@click.option("--write", "page", type=FILE_PATH, help="Insert the Markdown between the markers of this page.")
def capacity(
    costs_file: Path,
    size: Path,
    results_file: Path | None,
    as_json: bool,
    as_markdown: bool,
    page: Path | None,
) -> None:
    """Estimate the load of a fleet on each role from the measured SLOPES, and check its requirements.

    Exit code 0: all requirements hold. 1: some do not hold or were not measured; they are printed. 2: the
    arguments or a file are invalid; the error names the key.
    """
    try:
        fleet, costs = read_fleet(size), read_measured_costs(costs_file)
        results = read_scenario_results(results_file) if results_file is not None else NO_RESULTS
        table = make_table(fleet, costs, results)
        markdown = render_markdown(table, costs, results)
        if page is not None:
            text = replace_between_markers(page.read_text(encoding="utf-8"), markdown)
            page.write_text(text, encoding="utf-8")
    except (FleetFileError, StoredFileError) as error:
        raise click.UsageError(str(error)) from error
    except CapacityPageError as error:
        message = f"{page}: {error}"
        raise click.UsageError(message) from error
    if as_json:  # a Duration is a whole number of nanoseconds
        click.echo(msgspec.json.format(msgspec.json.encode(table, enc_hook=int)).decode())
    elif as_markdown:
        click.echo(markdown, nl=False)
    else:
        click.echo(render_plain(table))
    unmet = table.unmet()
    if unmet:
        click.echo(
            f"does not hold, or was not measured: {', '.join(requirement.key for requirement in unmet)}",
            err=True,
        )
    sys.exit(1 if unmet else 0)
