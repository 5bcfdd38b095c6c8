"""`ploverspoke testbed bench`: benchmarks of one dispatcher, of a store and of lease servers."""

from pathlib import Path

import click
import msgspec
from rich.table import Table

from ..reports.tables import make_console


@click.command()
@click.option("--quick", is_flag=True, help="Run fewer measurements, each for a shorter time.")
@click.option(
    "--out", type=click.Path(dir_okay=False, path_type=Path), help="Write the metrics to this JSON file."
)
@click.option(
    "--store",
    is_flag=True,
    help="Measure the cost of a store and the outage after the loss of its leader instead.",
)
@click.option("--leases", is_flag=True, help="Measure the throughput and cost of lease servers instead.")
def bench(quick: bool, out: Path | None, store: bool, leases: bool) -> None:
    """Compare one dispatcher on one core with a bare relay; measure the decisions' cost by fleet size."""
    metrics, tables = _measure(quick, store, leases)
    console = make_console()
    for table in tables:
        console.print(table)
    if out is not None:
        out.write_bytes(msgspec.json.format(msgspec.json.encode(metrics)))


def _measure(quick: bool, store: bool, leases: bool) -> tuple[object, list[Table]]:
    """Run the chosen benchmark; return its metrics and the tables that show them."""
    from ..scenarios.dispatcher_bench import measure, tables
    from ..scenarios.lease_bench import lease_tables, measure_leases
    from ..scenarios.store_bench import measure_store, store_tables

    if store:
        store_metrics = measure_store(quick, _print_line)
        return store_metrics, store_tables(store_metrics)
    if leases:
        lease_metrics = measure_leases(quick, _print_line)
        return lease_metrics, lease_tables(lease_metrics)
    dispatcher_metrics = measure(quick, _print_line)
    return dispatcher_metrics, tables(dispatcher_metrics)


def _print_line(text: str) -> None:
    print(text, flush=True)
