"""The whole table: rows of the size, budgets, what each role costs, and which mechanism is missing first.

Without I/O. The rows are worked out twice: as they were without the distribution of configuration, by which
it was chosen, and as they are with it.
"""

from collections.abc import Sequence

import msgspec

from .budgets import FIGURES, WATCHING, BudgetRow, budget_rows, figure_of
from .estimate import Figure, along
from .fleet_size import FleetSize
from .measured_costs import CostPerUnit, MeasuredCosts
from .rows import Facts, Row, size_rows
from .scenario_results import ScenarioResults
from .verdicts import HOLDS, UNMET
from .workload import PEAK, SITUATIONS, Amount, aside, workload

SERVER = "config server"
MOVES = 0.05  # a figure that changes by no more than this over all that was measured does not go by that size
# Who carries each role: module and page.
ROLES = {
    "dispatcher": "`routing/`, `decisions/` (`docs/architecture.md`)",
    WATCHING: "`config_distribution/watcher.py` (`docs/distribution.md`); a whole one, idle",
    "discovery": "the platform's; `routing/endpoint_watch.py` asks it (`docs/architecture.md`)",
    "worker": "the platform's; `routing/worker_calls.py` asks it (`docs/architecture.md`)",
    "keeper": "`leases/manager.py` (`docs/leases.md`)",
    "store replica": "`store/node.py` (`docs/store.md`)",
    SERVER: "`config_distribution/broadcaster.py` (`docs/distribution.md`)",
    "configuration publisher": (
        "`config_distribution/commands.py` (`docs/distribution.md`), `leases/fleet_tasks.py`"
    ),
    "fleet summary": "`leases/fleet_tasks.py`, `summarise` (`docs/operating-leases.md`)",
    "rolling restart": "`leases/commands.py`, `restart` (`docs/operating-leases.md`)",
    "supervisor": "`supervisor/supervisor.py` (`docs/processes.md`)",
}


class RoleRow(msgspec.Struct, frozen=True, kw_only=True):
    role: str
    dispatchers: int
    situations: list[str]  # in which it meets these sizes
    state: str
    figures: dict[str, Figure]  # by "messages", "core", "memory", "bytes", "growth"


class Further(msgspec.Struct, frozen=True, kw_only=True):
    """A figure that only some roles have, along one size, at the peak."""

    role: str
    figure: str
    unit: str
    size: str
    still: dict[str, float]
    at: dict[int, Figure]  # by dispatchers


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    row: str
    letter: str
    needed_by: list[str]


class Table(msgspec.Struct, frozen=True, kw_only=True):
    fleet: FleetSize
    before: list[Row]  # without the distribution of configuration
    rows: list[Row]
    budget: list[BudgetRow]
    roles: list[RoleRow]
    further: list[Further]
    missing: list[Choice]  # of `before`, the first first
    missing_now: list[Choice]

    def row(self, key: str) -> Row:
        return next(row for row in self.rows if row.key == key)

    def wanting(self) -> list[Row]:
        """What does not hold, or was not measured."""
        return [row for row in self.rows if row.verdict != HOLDS]


def choose(rows: Sequence[Row]) -> list[Choice]:
    """The rows that do not hold, first the one to mend first: a before b before c, then by how many others
    need its mechanism, then as they stand. What was not measured is none of them; the page names it.
    """
    needed = {row.key: [other.key for other in rows if row.key in dict(other.needs)] for row in rows}
    unmet = [row for row in rows if row.verdict in UNMET]
    unmet.sort(key=lambda row: (row.letter, -len(needed[row.key])))
    return [Choice(row=row.key, letter=row.letter, needed_by=needed[row.key]) for row in unmet]


def role_rows(fleet: FleetSize, slopes: MeasuredCosts) -> list[RoleRow]:
    """Situations in which a role meets the same sizes share a row; sizes that were measured, at least."""
    found = []
    for role in ROLES:
        for dispatchers in fleet.size.dispatchers:
            situations: dict[str, list[str]] = {}
            sizes: dict[str, dict[str, Amount]] = {}
            for situation in SITUATIONS:
                met = workload(fleet, dispatchers, situation)[role]
                known = {line.size for line in slopes.lines if line.role == role}
                told = (f"{of.value:.4g} {name}" for name, of in met.items() if of.value and name in known)
                state = ", ".join(told)
                situations.setdefault(state, []).append(situation)
                sizes[state] = met
            found += [
                RoleRow(
                    role=role,
                    dispatchers=dispatchers,
                    situations=situations[state],
                    state=state.replace("_", " "),
                    figures={kind: figure_of(slopes, role, kind, sizes[state]) for kind in FIGURES},
                )
                for state in situations
            ]
    return found


def further_rows(fleet: FleetSize, slopes: MeasuredCosts) -> list[Further]:
    """Those that are no figure of all roles; in the worst second of a failure, for one."""
    common = {name for names in FIGURES.values() for name in names}
    lines: dict[tuple[str, ...], CostPerUnit] = {}
    for line in slopes.lines:
        most = max(abs(value) for _, value in line.points)
        if line.figure in common or abs(line.slope * line.measured_to) <= MOVES * most:
            continue
        # Of lines that differ in how much stood beside them only: five keepers in place of three.
        beside = (line.role, line.figure, line.size, *sorted(line.still))
        if beside not in lines or sum(line.still.values()) > sum(lines[beside].still.values()):
            lines[beside] = line
    found = []
    for line in lines.values():
        at = {}
        for dispatchers in fleet.size.dispatchers:
            met = {**aside(fleet), **workload(fleet, dispatchers, PEAK).get(line.role, {})}
            if (amount := met.get(line.size)) is not None:
                at[dispatchers] = along(line, amount)
        row = {"role": line.role, "figure": line.figure, "unit": line.unit, "size": line.size}
        found.append(Further(**row, still=line.still, at=at))
    return found


def make_table(fleet: FleetSize, slopes: MeasuredCosts, plays: ScenarioResults) -> Table:
    budget = budget_rows(fleet, slopes)
    before = size_rows(Facts(fleet, slopes, plays, budget, False))
    rows = size_rows(Facts(fleet, slopes, plays, budget, True))
    return Table(
        fleet=fleet,
        before=before,
        rows=rows,
        budget=budget,
        roles=role_rows(fleet, slopes),
        further=further_rows(fleet, slopes),
        missing=choose(before),
        missing_now=choose(rows),
    )
