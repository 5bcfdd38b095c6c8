"""The answer at the head of the page: what holds, what does not, what is missing first."""

import textwrap
from collections.abc import Sequence

from ...capacity.requirement import BUDGET, FAILURE, ORDINARY_DAY
from ...capacity.table import CapacityTable, MissingMechanism
from ...capacity.verdicts import FAILS, HOLDS, LESSER, MISSING, NEAR, NOT_MEASURED, OVER

PAGE_WIDTH = 128
NOTHING = "nothing"
MAX_SHOWN_MISSING = 5
PRIORITIES = {
    ORDINARY_DAY: "breaks a promise on an ordinary day",
    BUDGET: "goes over a budget on one",
    FAILURE: "breaks in a failure of the list",
}


def answer_lines(table: CapacityTable) -> list[str]:
    """Return the answer, wrapped to the width of the page."""
    not_measured = "; ".join(each.line for each in table.requirements if each.verdict == NOT_MEASURED)
    bullets = {
        "Holds": _by_basis(table, (HOLDS,)),
        "Holds for less than asked": _by_basis(table, (LESSER,)),
        "Does not hold": _by_basis(table, (FAILS, OVER)),
        "Too close to call": _by_basis(table, (NEAR,)),
        "Missing": _by_basis(table, (MISSING,)),
        "Not measured": not_measured or NOTHING,
    }
    always = ("Holds", "Does not hold", "Missing")
    lines = [f"- **{name}**: {text}." for name, text in bullets.items() if text != NOTHING or name in always]
    lines += ["", _first_missing(table), "", *_missing_lines(table)[:MAX_SHOWN_MISSING]]
    return [part for line in lines for part in _wrap(line)]


def _by_basis(table: CapacityTable, verdicts: Sequence[str]) -> str:
    """Name the requirements with one of the verdicts, by what the verdict rests on."""
    by_basis: dict[str, list[str]] = {}
    for each in table.requirements:
        if each.verdict in verdicts:
            by_basis.setdefault(each.basis, []).append(each.line)
    return "; ".join(f"{'; '.join(lines)} ({basis})" for basis, lines in by_basis.items()) or NOTHING


def _needed_by(missing: MissingMechanism) -> str:
    return f"; needed by {', '.join(missing.needed_by)}" if missing.needed_by else ""


def _first_missing(table: CapacityTable) -> str:
    first = table.missing[0]
    requirement = table.requirement(first.row)
    return (
        f"Missing first was: {requirement.line} ({first.priority}{_needed_by(first)}). It is built; now: "
        f"{requirement.verdict}. Missing since then, in the order in which to build it:"
    )


def _missing_lines(table: CapacityTable) -> list[str]:
    lines = [
        f"{place}. {table.requirement(missing.row).line} "
        f"({missing.priority}: {PRIORITIES[missing.priority]}{_needed_by(missing)})"
        for place, missing in enumerate(table.missing_now, 1)
    ]
    return lines or ["Nothing is missing among what was measured."]


def _wrap(line: str) -> list[str]:
    indent = "  " if line[:1] in "-123456789" else ""
    return textwrap.wrap(line, PAGE_WIDTH, subsequent_indent=indent) or [""]
