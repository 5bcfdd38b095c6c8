"""`ploverspoke testbed compare`: compares two results."""

from pathlib import Path

import click

from ..experiment_files.errors import ExperimentError
from ..reports.comparison import compare_results
from ..reports.experiment_result import read_result
from ..reports.tables import differences_table, make_console

NO_COMMON_SEED = "no seed is in both results"


@click.command()
@click.argument("first", metavar="ONE", type=click.Path(exists=True, path_type=Path))
@click.argument("second", metavar="OTHER", type=click.Path(exists=True, path_type=Path))
@click.option(
    "--policies",
    nargs=2,
    default=("ours", "ours"),
    help="The policy to compare from each result.",
    show_default=True,
)
def compare(first: Path, second: Path, policies: tuple[str, str]) -> None:
    """Compare two results, paired by the seeds that both have."""
    try:
        rows = compare_results(read_result(first), read_result(second), *policies)
    except ExperimentError as error:
        raise click.UsageError(str(error)) from None
    if not rows:
        raise click.UsageError(NO_COMMON_SEED)
    make_console().print(differences_table(rows, (f"{first} {policies[0]}", f"{second} {policies[1]}")))
