"""The reservations: what was extrapolated, contradicted, not measured and assumed."""

from ...capacity.measured_costs import MeasuredCosts
from ...capacity.table import CapacityTable, RoleRow
from ...capacity.workload import ASSUMPTIONS
from .markdown_table import table_lines


class _Reservations:
    """Reservations on the estimates of all roles, each once for all rows."""

    def __init__(self) -> None:
        self.extrapolated: dict[str, str] = {}  # the largest load used, by role and load
        self.contradicted: set[str] = set()
        self.missing: dict[str, set[str]] = {}  # by role

    def add(self, row: RoleRow) -> None:
        """Take over the reservations on the estimates of one row."""
        for kind, estimate in row.estimates.items():
            for text in estimate.extrapolated:
                self._add_extrapolated(row.role, text)
            self.contradicted.update(estimate.contradicted)
            for text in estimate.missing:
                self.missing.setdefault(row.role, set()).add(f"along {text.partition(' by ')[2]}")
            if estimate.value is None:
                self.missing.setdefault(row.role, set()).add(kind)

    def _add_extrapolated(self, role: str, text: str) -> None:
        load, _, amounts = text.partition(": measured to ")
        measured, _, used = amounts.partition(", used at ")
        name = f"{role}, {load}, measured to {measured}"
        if float(used) > float(self.extrapolated.get(name, "0")):
            self.extrapolated[name] = used


def reservation_lines(table: CapacityTable) -> list[str]:
    """Return what was extrapolated, contradicted and not measured."""
    reservations = _Reservations()
    for row in table.roles:
        reservations.add(row)
    extrapolated = (f"{name}, used up to {used}" for name, used in reservations.extrapolated.items())
    missing = [f"{role}: {', '.join(sorted(texts))}" for role, texts in reservations.missing.items()]
    parts = {
        "Stretched": sorted(extrapolated),
        "Contradicted by their points": sorted(reservations.contradicted),
        "Not measured, and so in no figure above": missing,
    }
    lines: list[str] = []
    for heading, texts in parts.items():
        lines += [f"{heading}:", "", *(f"- {text}" for text in texts or ["nothing"]), ""]
    return lines


def note_lines(costs: MeasuredCosts) -> list[str]:
    """Return the notes of measured costs, once for each role with the loads that they are about."""
    load_amounts: dict[tuple[str, str], set[str]] = {}
    for line in costs.lines:
        if line.note:
            load_amounts.setdefault((line.role, line.note), set()).add(line.load)
    notes = [
        f"- {role} along {', '.join(sorted(along))}: {note}" for (role, note), along in load_amounts.items()
    ]
    return ["What the slopes file says of its lines:", "", *(notes or ["- nothing"]), ""]


def assumption_table() -> list[str]:
    """Return a row for each assumption."""
    rows = (
        (assumption.what, f"{assumption.value:g}", assumption.question or "-")
        for assumption in ASSUMPTIONS.values()
    )
    return table_lines(("assumed", "value", "what would replace it"), rows)
