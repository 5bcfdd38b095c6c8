"""`ploverspoke testbed compare`: two results side by side."""

from pathlib import Path

import click

from ..experiment_files.errors import ExperimentError
from ..reports.comparison import compare_results
from ..reports.experiment_result import read_result
from ..reports.tables import differences_table, make_console

NO_COMMON_SEED = "no seed is in both results"


@click.command()
@click.argument("one", type=click.Path(exists=True, path_type=Path))
@click.argument("other", type=click.Path(exists=True, path_type=Path))
@click.option(
    "--policies", nargs=2, default=("ours", "ours"), help="The policy of each side.", show_default=True
)
def compare(one: Path, other: Path, policies: tuple[str, str]) -> None:
    """Set two results side by side, pair by pair over the seeds."""
    try:
        rows = compare_results(read_result(one), read_result(other), *policies)
    except ExperimentError as error:
        raise click.UsageError(str(error)) from None
    if not rows:
        raise click.UsageError(NO_COMMON_SEED)
    make_console().print(differences_table(rows, (f"{one} {policies[0]}", f"{other} {policies[1]}")))
