"""The answer at the head of the page: which requirements hold or fail, and what to build first."""

import textwrap
from collections.abc import Sequence

from ...capacity.requirement import PRIORITY_BUDGET, PRIORITY_FAILURE, PRIORITY_ORDINARY_DAY
from ...capacity.table import CapacityTable, MissingMechanism
from ...capacity.verdicts import FAILS, HOLDS, HOLDS_FOR_LESS, MISSING, NOT_MEASURED, OVER_BUDGET, TOO_CLOSE

PAGE_WIDTH = 128
NOTHING = "nothing"
MAX_LISTED_MISSING = 5
PRIORITIES = {
    PRIORITY_ORDINARY_DAY: "breaks a promise on an ordinary day",
    PRIORITY_BUDGET: "goes over a budget on one",
    PRIORITY_FAILURE: "breaks in a failure of the list",
}


def answer_lines(table: CapacityTable) -> list[str]:
    """Return the lines of the answer, wrapped to the width of the page."""
    not_measured = "; ".join(
        requirement.statement for requirement in table.requirements if requirement.verdict == NOT_MEASURED
    )
    bullets = {
        "Holds": _lines_by_basis(table, (HOLDS,)),
        "Holds for less than asked": _lines_by_basis(table, (HOLDS_FOR_LESS,)),
        "Does not hold": _lines_by_basis(table, (FAILS, OVER_BUDGET)),
        "Too close to call": _lines_by_basis(table, (TOO_CLOSE,)),
        "Missing": _lines_by_basis(table, (MISSING,)),
        "Not measured": not_measured or NOTHING,
    }
    always_shown = ("Holds", "Does not hold", "Missing")
    lines = [
        f"- **{name}**: {text}." for name, text in bullets.items() if text != NOTHING or name in always_shown
    ]
    lines += ["", _first_missing(table), "", *_missing_lines(table)[:MAX_LISTED_MISSING]]
    return [wrapped for line in lines for wrapped in _wrap(line)]


def _lines_by_basis(table: CapacityTable, verdicts: Sequence[str]) -> str:
    """Return the requirements with one of the verdicts, grouped by the basis of the verdict."""
    by_basis: dict[str, list[str]] = {}
    for requirement in table.requirements:
        if requirement.verdict in verdicts:
            by_basis.setdefault(requirement.basis, []).append(requirement.statement)
    return "; ".join(f"{'; '.join(lines)} ({basis})" for basis, lines in by_basis.items()) or NOTHING


def _needed_by(missing: MissingMechanism) -> str:
    return f"; needed by {', '.join(missing.needed_by)}" if missing.needed_by else ""


def _first_missing(table: CapacityTable) -> str:
    first = table.missing[0]
    requirement = table.requirement(first.requirement_key)
    return (
        f"Missing first was: {requirement.statement} ({first.priority}{_needed_by(first)}). It is built; "
        f"now: {requirement.verdict}. Missing since then, in the order in which to build it:"
    )


def _missing_lines(table: CapacityTable) -> list[str]:
    lines = [
        f"{rank}. {table.requirement(missing.requirement_key).statement} "
        f"({missing.priority}: {PRIORITIES[missing.priority]}{_needed_by(missing)})"
        for rank, missing in enumerate(table.missing_now, 1)
    ]
    return lines or ["Nothing is missing among what was measured."]


def _wrap(line: str) -> list[str]:
    indent = "  " if line[:1] in "-123456789" else ""
    return textwrap.wrap(line, PAGE_WIDTH, subsequent_indent=indent) or [""]
