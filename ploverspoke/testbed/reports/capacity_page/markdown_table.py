"""Markdown tables and the formats of their cells."""

from collections.abc import Iterable, Sequence

from ...capacity.budgets import MEGABYTE
from ...capacity.estimate import Estimate
from ...capacity.requirement import KILOBYTE
from ...capacity.verdicts import NOT_MEASURED

ORIGIN_MARKS = {"measured": "m", "worked out": "w", "assumed": "a"}
# Factor and unit of each kind of estimate.
UNITS = {
    "core": (100.0, "%"),
    "memory": (1 / MEGABYTE, " MB"),
    "bytes": (1 / KILOBYTE, " KB/s"),
    "messages": (1.0, ""),
    "growth": (1 / KILOBYTE, " KB/s"),
}
WHOLE_NUMBERS_FROM = 999.5  # with three digits a smaller value still rounds to less than a thousand


def format_digits(value: float) -> str:
    """Format with three digits; whole numbers from a thousand on."""
    return f"{value:,.0f}" if abs(value) >= WHOLE_NUMBERS_FROM else f"{value:.3g}"


def format_estimate(estimate: Estimate, kind: str) -> str:
    """Format an estimate with its unit and marks."""
    if estimate.value is None:
        return NOT_MEASURED
    factor, unit = UNITS[kind]
    marks = uncertainty_marks(estimate) + "+" * bool(estimate.missing)
    return f"{format_digits(estimate.value * factor)}{unit} {ORIGIN_MARKS[estimate.origin]}{marks}"


def uncertainty_marks(estimate: Estimate) -> str:
    """Return a mark each for costs that were extrapolated and for contradicted ones."""
    return "*" * bool(estimate.extrapolated) + "!" * bool(estimate.contradicted)


def table_lines(heading: Sequence[str], rows: Iterable[Sequence[str]]) -> list[str]:
    """Return the lines of a Markdown table."""
    cells = [list(heading), ["---"] * len(heading), *(list(row) for row in rows)]
    return ["| " + " | ".join(cell.replace("|", "/") for cell in row) + " |" for row in cells]
