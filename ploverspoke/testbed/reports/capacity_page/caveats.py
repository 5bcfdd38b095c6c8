"""Caveats of the estimates: extrapolated, contradicted, unmeasured and assumed values."""

from ...capacity.measured_costs import MeasuredCosts
from ...capacity.table import CapacityTable, RoleRow
from ...capacity.workload import ASSUMPTIONS
from .markdown_table import table_lines


class _Caveats:
    """Caveats of the estimates of all roles, without duplicates."""

    def __init__(self) -> None:
        self.extrapolated: dict[str, str] = {}  # role and load -> largest amount used
        self.contradicted: set[str] = set()
        self.missing: dict[str, set[str]] = {}  # role -> unmeasured loads and kinds

    def add(self, row: RoleRow) -> None:
        """Add the caveats of the estimates of one row."""
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


def caveat_lines(table: CapacityTable) -> list[str]:
    """Return lists of the extrapolated, contradicted and unmeasured costs."""
    caveats = _Caveats()
    for row in table.roles:
        caveats.add(row)
    extrapolated = (f"{name}, used up to {used}" for name, used in caveats.extrapolated.items())
    missing = [f"{role}: {', '.join(sorted(texts))}" for role, texts in caveats.missing.items()]
    sections = {
        "Stretched": sorted(extrapolated),
        "Contradicted by their points": sorted(caveats.contradicted),
        "Not measured, and so in no figure above": missing,
    }
    lines: list[str] = []
    for heading, texts in sections.items():
        lines += [f"{heading}:", "", *(f"- {text}" for text in texts or ["nothing"]), ""]
    return lines


def note_lines(costs: MeasuredCosts) -> list[str]:
    """Return each note of the measured costs once per role, with the loads that have it."""
    loads_by_note: dict[tuple[str, str], set[str]] = {}
    for line in costs.lines:
        if line.note:
            loads_by_note.setdefault((line.role, line.note), set()).add(line.load)
    notes = [
        f"- {role} along {', '.join(sorted(loads))}: {note}" for (role, note), loads in loads_by_note.items()
    ]
    return ["What the slopes file says of its lines:", "", *(notes or ["- nothing"]), ""]


def assumption_table() -> list[str]:
    """Return a table with a row for each assumption."""
    rows = (
        (assumption.description, f"{assumption.value:g}", assumption.question or "-")
        for assumption in ASSUMPTIONS.values()
    )
    return table_lines(("assumed", "value", "what would replace it"), rows)
