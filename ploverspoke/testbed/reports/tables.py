"""Results as tables: with colours on a terminal, plain lines elsewhere."""

from collections.abc import Iterable
from statistics import fmean

from rich.console import Console
from rich.table import Table

from ..scenarios.experiment_runner import Result
from .comparison import Difference


def result_table(result: Result) -> Table:
    grades = list(result.runs[0].grades)
    table = Table(
        title=f"{result.experiment['name']}, {result.driver}: means over the seeds", title_justify="left"
    )
    for heading in ("policy", "service", *grades, "p99 ms", "nacked", "hand-offs each", "broken rules"):
        table.add_column(heading, justify="left" if heading == "policy" else "right")
    for policy in result.policies():
        runs = result.of(policy)
        jobs = sum(g.jobs for r in runs for g in r.grades.values()) or 1
        table.add_row(
            policy,
            f"{fmean(r.service for r in runs):.4f}",
            *(f"{fmean(r.grades[g].service for r in runs):.4f}" for g in grades),
            " ".join(f"{fmean(r.grades[g].waits_ms['p99'] for r in runs):.0f}" for g in grades),
            f"{sum(g.nacks for r in runs for g in r.grades.values()) / jobs:.1%}",
            f"{sum(r.hand_offs for r in runs) / jobs:.3f}",
            str(sum(r.broken_rules for r in runs)),
        )
    return table


def verdict(result: Result) -> Iterable[str]:
    for text in result.held:
        yield f"held:   {text}"
    for text in result.failed:
        yield f"FAILED: {text}"
    for run in result.runs:
        if run.policy == "ours" and run.findings:
            yield f"seed {run.seed}, first finding: {run.findings[0]}"
            return


def differences_table(rows: Iterable[Difference], names: tuple[str, str]) -> Table:
    table = Table(title="pair by pair over the seeds; 95% interval of the difference", title_justify="left")
    for heading in ("", *names, "difference", "interval", "pairs", ""):
        table.add_column(heading, justify="right")
    for row in rows:
        low, high = row.by - row.margin, row.by + row.margin
        clear = "clear" if row.is_clear() else ""
        table.add_row(
            row.what, f"{row.one:.4g}", f"{row.other:.4g}", f"{row.by:+.4g}", f"{low:+.3g} to {high:+.3g}",
            str(row.pairs), clear,
        )  # fmt: skip
    return table


def console() -> Console:
    """As wide as the terminal; wide enough for any table where there is none."""
    found = Console()
    return found if found.is_terminal else Console(width=160, color_system=None)
