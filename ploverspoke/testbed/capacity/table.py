"""The capacity table: requirements, budgets, costs of each role, and unmet requirements in order.

The requirements are assessed twice: without the distribution of configuration, and with it. By the first
assessment the distribution of configuration was chosen as the mechanism to build first.
"""

from collections.abc import Sequence

import msgspec

from .budgets import METRICS, WATCHING, BudgetRow, budget_rows, estimate_kind
from .estimate import Estimate, estimate_line
from .fleet_size import FleetSize
from .measured_costs import CostPerUnit, MeasuredCosts
from .requirement import AssessmentContext, Requirement
from .requirements import assess_requirements
from .scenario_results import ScenarioResults
from .verdicts import HOLDS, UNMET
from .workload import PEAK, SITUATIONS, Amount, temporary_amounts, workload

# A metric that changes by a smaller share over the measured range is treated as independent of the load.
MIN_RELATIVE_CHANGE = 0.05
# The modules that implement each role, and its page of the documentation.
ROLE_MECHANISMS = {
    "dispatcher": "`routing/`, `decisions/` (`docs/architecture.md`)",
    WATCHING: "`config_distribution/watcher.py` (`docs/distribution.md`); a whole one, idle",
    "discovery": "the platform's; `routing/endpoint_watch.py` calls it (`docs/architecture.md`)",
    "worker": "the platform's; `routing/worker_calls.py` calls it (`docs/architecture.md`)",
    "keeper": "`leases/manager.py` (`docs/leases.md`)",
    "store replica": "`store/node.py` (`docs/store.md`)",
    "config server": "`config_distribution/broadcaster.py` (`docs/distribution.md`)",
    "configuration publisher": (
        "`config_distribution/commands.py` (`docs/distribution.md`), `leases/fleet_tasks.py`"
    ),
    "fleet summary": "`leases/fleet_tasks.py`, `summarise` (`docs/operating-leases.md`)",
    "rolling restart": "`leases/commands.py`, `restart` (`docs/operating-leases.md`)",
    "supervisor": "`supervisor/supervisor.py` (`docs/processes.md`)",
}


class RoleRow(
    msgspec.Struct, frozen=True, kw_only=True, rename={"load_amounts": "state", "estimates": "figures"}
):
    """The costs of one role in situations with the same loads."""

    role: str
    dispatchers: int
    situations: list[str]  # the situations with these loads
    load_amounts: str  # formatted as text
    estimates: dict[str, Estimate]  # by the kinds of METRICS


class RoleMetric(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={"metric": "figure", "load": "size", "fixed_amounts": "still", "estimates": "at"},
):
    """A metric that only some roles have, estimated at the peak for one load."""

    role: str
    metric: str
    unit: str
    load: str
    fixed_amounts: dict[str, float]
    estimates: dict[int, Estimate]  # by the number of dispatchers


class MissingMechanism(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={"requirement_key": "row", "priority": "letter"},
):
    """An unmet requirement, whose mechanism has to be built or improved."""

    requirement_key: str
    priority: str
    needed_by: list[str]  # the keys of requirements that need its mechanism


class CapacityTable(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={"requirements": "rows", "role_metrics": "further"},
):
    """The whole content of the page. The encoded names are those of the command's JSON output."""

    fleet: FleetSize
    before: list[Requirement]  # without the distribution of configuration
    requirements: list[Requirement]
    budget: list[BudgetRow]
    roles: list[RoleRow]
    role_metrics: list[RoleMetric]
    missing: list[MissingMechanism]  # unmet requirements of `before`, in the order in which to build them
    missing_now: list[MissingMechanism]  # unmet requirements of `requirements`, in the same order

    def requirement(self, key: str) -> Requirement:
        """Return the requirement with that key."""
        return next(requirement for requirement in self.requirements if requirement.key == key)

    def unmet(self) -> list[Requirement]:
        """Return the requirements that do not hold or were not measured."""
        return [requirement for requirement in self.requirements if requirement.verdict != HOLDS]


def order_missing(requirements: Sequence[Requirement]) -> list[MissingMechanism]:
    """Return the requirements that do not hold, in the order in which to build their mechanisms.

    They are sorted by priority, then by how many others need their mechanism; otherwise they keep their
    order. Requirements that were not measured are left out; the page lists them separately.
    """
    needed_by = {
        requirement.key: [other.key for other in requirements if requirement.key in dict(other.needs)]
        for requirement in requirements
    }
    unmet = [requirement for requirement in requirements if requirement.verdict in UNMET]
    unmet.sort(key=lambda requirement: (requirement.priority, -len(needed_by[requirement.key])))
    return [
        MissingMechanism(
            requirement_key=requirement.key,
            priority=requirement.priority,
            needed_by=needed_by[requirement.key],
        )
        for requirement in unmet
    ]


def role_rows(fleet: FleetSize, costs: MeasuredCosts) -> list[RoleRow]:
    """Return the costs of each role, with one row for all situations that have the same measured loads."""
    rows = []
    for role in ROLE_MECHANISMS:
        measured = {line.load for line in costs.lines if line.role == role}
        for dispatchers in fleet.size.dispatchers:
            situations: dict[str, list[str]] = {}
            load_amounts: dict[str, dict[str, Amount]] = {}
            for situation in SITUATIONS:
                amounts = workload(fleet, dispatchers, situation)[role]
                text = _describe_amounts(amounts, measured)
                situations.setdefault(text, []).append(situation)
                load_amounts[text] = amounts
            rows += [
                RoleRow(
                    role=role,
                    dispatchers=dispatchers,
                    situations=situations[text],
                    load_amounts=text.replace("_", " "),
                    estimates={
                        kind: estimate_kind(costs, role, kind, load_amounts[text]) for kind in METRICS
                    },
                )
                for text in situations
            ]
    return rows


def _describe_amounts(amounts: dict[str, Amount], measured: set[str]) -> str:
    texts = (
        f"{amount.value:.4g} {name}" for name, amount in amounts.items() if amount.value and name in measured
    )
    return ", ".join(texts)


def role_metrics(fleet: FleetSize, costs: MeasuredCosts) -> list[RoleMetric]:
    """Return the metrics that not all roles have, such as those of the worst second of a failure."""
    rows = []
    for line in _role_metric_lines(costs):
        estimates = {}
        for dispatchers in fleet.size.dispatchers:
            load_amounts = {
                **temporary_amounts(fleet),
                **workload(fleet, dispatchers, PEAK).get(line.role, {}),
            }
            if line.load in load_amounts:
                estimates[dispatchers] = estimate_line(line, load_amounts[line.load])
        rows.append(
            RoleMetric(
                role=line.role,
                metric=line.metric,
                unit=line.unit,
                load=line.load,
                fixed_amounts=line.fixed_amounts,
                estimates=estimates,
            )
        )
    return rows


def _role_metric_lines(costs: MeasuredCosts) -> list[CostPerUnit]:
    """Choose the lines of metrics that only some roles have and that depend on their load.

    Of lines that differ only in the amounts of their fixed loads, the one with the largest amounts is chosen.
    """
    common_metrics = {name for names in METRICS.values() for name in names}
    chosen: dict[tuple[str, ...], CostPerUnit] = {}
    for line in costs.lines:
        largest = max(abs(value) for _, value in line.points)
        if line.metric in common_metrics or abs(line.slope * line.max_load) <= MIN_RELATIVE_CHANGE * largest:
            continue
        key = (line.role, line.metric, line.load, *sorted(line.fixed_amounts))
        if key not in chosen or sum(line.fixed_amounts.values()) > sum(chosen[key].fixed_amounts.values()):
            chosen[key] = line
    return list(chosen.values())


def make_table(fleet: FleetSize, costs: MeasuredCosts, results: ScenarioResults) -> CapacityTable:
    """Assess a fleet by measured costs and by the results of scenarios."""
    budget = budget_rows(fleet, costs)
    before = assess_requirements(AssessmentContext(fleet, costs, results, budget, False))
    requirements = assess_requirements(AssessmentContext(fleet, costs, results, budget, True))
    return CapacityTable(
        fleet=fleet,
        before=before,
        requirements=requirements,
        budget=budget,
        roles=role_rows(fleet, costs),
        role_metrics=role_metrics(fleet, costs),
        missing=order_missing(before),
        missing_now=order_missing(requirements),
    )
