"""Builds Markdown tables and formats their cells."""

from collections.abc import Iterable, Sequence

from ...capacity.budgets import MEGABYTE
from ...capacity.estimate import Estimate
from ...capacity.requirement import KILOBYTE
from ...capacity.verdicts import NOT_MEASURED

ORIGIN_MARKS = {"measured": "m", "worked out": "w", "assumed": "a"}
# kind of estimate -> display factor, unit
UNITS = {
    "core": (100.0, "%"),
    "memory": (1 / MEGABYTE, " MB"),
    "bytes": (1 / KILOBYTE, " KB/s"),
    "messages": (1.0, ""),
    "growth": (1 / KILOBYTE, " KB/s"),
}
MIN_WHOLE_NUMBER = 999.5  # smaller values round to less than 1,000 with three digits


def format_digits(value: float) -> str:
    """Format with three significant digits, or as a whole number from 1,000 on."""
    return f"{value:,.0f}" if abs(value) >= MIN_WHOLE_NUMBER else f"{value:.3g}"


def format_estimate(estimate: Estimate, kind: str) -> str:
    """Format an estimate with its unit and the marks of the page's legend."""
    if estimate.value is None:
        return NOT_MEASURED
    factor, unit = UNITS[kind]
    marks = uncertainty_marks(estimate) + "+" * bool(estimate.missing)
    return f"{format_digits(estimate.value * factor)}{unit} {ORIGIN_MARKS[estimate.origin]}{marks}"


def uncertainty_marks(estimate: Estimate) -> str:
    """Return `*` if a cost was extrapolated and `!` if a cost is contradicted by its points."""
    return "*" * bool(estimate.extrapolated) + "!" * bool(estimate.contradicted)


def table_lines(heading: Sequence[str], rows: Iterable[Sequence[str]]) -> list[str]:
    """Return the lines of a Markdown table."""
    cells = [list(heading), ["---"] * len(heading), *(list(row) for row in rows)]
    return ["| " + " | ".join(cell.replace("|", "/") for cell in row) + " |" for row in cells]
