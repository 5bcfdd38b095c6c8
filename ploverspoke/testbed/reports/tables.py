"""Tables of results: coloured on a terminal, plain text elsewhere."""

from collections.abc import Iterable, Sequence
from statistics import fmean

from rich.console import Console
from rich.table import Table

from .comparison import Difference
from .experiment_result import OWN_POLICY, Result
from .scores import RequestClassScore, RunScore

PLAIN_WIDTH = 160  # columns of the output without a terminal; wide enough for every table


def result_table(result: Result) -> Table:
    """Build the table of an experiment: a row for each policy, with means over the seeds."""
    classes = list(result.runs[0].request_classes)
    title = f"{result.experiment['name']}, {result.driver}: means over the seeds"
    table = Table(title=title, title_justify="left")
    for heading in ("policy", "service", *classes, "p99 ms", "rejected", "attempts each", "broken rules"):
        table.add_column(heading, justify="left" if heading == "policy" else "right")
    for policy in result.policies():
        table.add_row(policy, *_policy_cells(result.runs_of(policy), classes))
    return table


def _policy_cells(runs: Sequence[RunScore], classes: Sequence[str]) -> list[str]:
    scores: list[RequestClassScore] = [score for run in runs for score in run.request_classes.values()]
    requests = sum(score.requests for score in scores) or 1
    p99 = [fmean(run.request_classes[name].latencies_ms["p99"] for run in runs) for name in classes]
    return [
        f"{fmean(run.service for run in runs):.4f}",
        *(f"{fmean(run.request_classes[name].service for run in runs):.4f}" for name in classes),
        " ".join(f"{latency:.0f}" for latency in p99),
        f"{sum(score.rejected for score in scores) / requests:.1%}",
        f"{sum(run.attempts for run in runs) / requests:.3f}",
        str(sum(run.broken_rules for run in runs)),
    ]


def verdict_lines(result: Result) -> Iterable[str]:
    """Yield a line for each acceptance criterion that held or failed, and the first finding of the audit."""
    for text in result.held:
        yield f"held:   {text}"
    for text in result.failed:
        yield f"FAILED: {text}"
    for run in result.runs:
        if run.policy == OWN_POLICY and run.findings:
            yield f"seed {run.seed}, first finding: {run.findings[0]}"
            return


def differences_table(rows: Iterable[Difference], names: tuple[str, str]) -> Table:
    """Build the table of a comparison; `names` are the headings of its two sides."""
    table = Table(title="pair by pair over the seeds; 95% interval of the difference", title_justify="left")
    for heading in ("", *names, "difference", "interval", "pairs", ""):
        table.add_column(heading, justify="right")
    for row in rows:
        low, high = row.mean - row.margin, row.mean + row.margin
        table.add_row(
            row.metric,
            f"{row.first:.4g}",
            f"{row.second:.4g}",
            f"{row.mean:+.4g}",
            f"{low:+.3g} to {high:+.3g}",
            str(row.pairs),
            "clear" if row.is_clear() else "",
        )
    return table


def make_console() -> Console:
    """Return a console as wide as the terminal; without a terminal, it is wide enough for every table."""
    console = Console()
    return console if console.is_terminal else Console(width=PLAIN_WIDTH, color_system=None)
