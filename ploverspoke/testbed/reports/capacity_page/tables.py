"""The tables of the page: requirements, budgets, roles, machines and scenarios."""

from collections.abc import Sequence

from ...capacity.budgets import estimate_kind
from ...capacity.estimate import Estimate, add_estimates
from ...capacity.machines import Machine, assess_losses, place_machines, region_splits
from ...capacity.measured_costs import MeasuredCosts
from ...capacity.requirement import KILOBYTE
from ...capacity.scenario_results import ScenarioResult, ScenarioResults
from ...capacity.table import ROLE_MECHANISMS, CapacityTable, RoleMetric, RoleRow
from ...capacity.verdicts import HOLDS
from ...capacity.workload import PEAK, Amount, workload
from .markdown_table import (
    ORIGIN_MARKS,
    format_digits,
    format_estimate,
    table_lines,
    uncertainty_marks,
)

# Prefixes of metrics that are only in the results file and not on the page.
OMITTED_METRIC_PREFIXES = (
    "inside_",
    "workers_",
    "clients_",
    "discovery_",
    "jobs_",
    "nacks_",
    "abandoned_",
    "broken_",
    "descriptors",
    "fell_over",
    "log_lines",
    "service_of_",
    "serving_",
    "urgent_jobs",
)
ROLE_KINDS = ("messages", "core", "memory", "bytes", "growth")


def requirement_table(table: CapacityTable) -> list[str]:
    """Return a row for each requirement, and a line for each whose mechanism has changed."""
    heading = ("the size", "what it asks", "what today's design gives", "carried by", "verdict", "stops at")
    rows = [
        (
            requirement.statement,
            requirement.demand,
            requirement.design,
            requirement.mechanism,
            f"**{requirement.verdict}**"
            + (f" ({requirement.priority})" if requirement.verdict != HOLDS else ""),
            requirement.limit,
        )
        for requirement in table.requirements
    ]
    lines = table_lines(heading, rows)
    for old in table.before:
        if old.mechanism != table.requirement(old.key).mechanism:
            text = f"Before, {old.statement}: {old.verdict}, carried by {old.mechanism}; {old.design}."
            lines += ["", text]
    return lines


def needs_table(table: CapacityTable) -> list[str]:
    """Return a row for each mechanism that a requirement needs from another."""
    rows = [
        (requirement.statement, table.requirement(need.requirement_key).statement, need.why)
        for requirement in table.before
        for need in requirement.needs
    ]
    return table_lines(("row", "needs the mechanism of", "why"), rows)


def budget_table(table: CapacityTable) -> list[str]:
    """Return the resource use of a dispatcher; situations with the same estimates share a row."""
    budget = table.fleet.budget
    heading = (
        "counted as control",
        "dispatchers",
        "when",
        f"core (of {100 * budget.core_share:g}%)",
        f"memory (of {budget.memory_mb:g} MB)",
        f"bytes (of {budget.bytes_a_second / KILOBYTE:g} KB/s)",
        "verdict",
    )
    situations: dict[tuple[str, ...], list[str]] = {}
    for row in table.budget:
        estimates = (
            format_estimate(row.core, "core"),
            format_estimate(row.memory, "memory"),
            format_estimate(row.bytes, "bytes"),
        )
        key = (row.scope, str(row.dispatchers), *estimates, row.verdict)
        situations.setdefault(key, []).append(row.situation)
    rows = [
        (scope, dispatchers, ", ".join(names), *cells)
        for (scope, dispatchers, *cells), names in situations.items()
    ]
    return table_lines(heading, rows)


def role_tables(table: CapacityTable) -> list[str]:
    """Return a headed table for each role."""
    lines: list[str] = []
    for role, carried_by in ROLE_MECHANISMS.items():
        rows = [row for row in table.roles if row.role == role]
        lines += [f"**{role}**, carried by {carried_by}", "", *_role_table(rows), ""]
    return lines


def _role_table(rows: Sequence[RoleRow]) -> list[str]:
    """Return the table of one role; fleet sizes with the same estimates share a row."""
    if all(estimate.value is None for row in rows for estimate in row.estimates.values()):
        return ["Not measured."]
    heading = (
        "dispatchers",
        "when",
        "state held and met",
        "messages a second",
        "core",
        "memory",
        "bytes",
        "memory grows by",
    )
    dispatchers: dict[tuple[str, ...], list[int]] = {}
    for row in rows:
        estimates = (format_estimate(row.estimates[kind], kind) for kind in ROLE_KINDS)
        key = (", ".join(row.situations), row.load_amounts or "-", *estimates)
        dispatchers.setdefault(key, []).append(row.dispatchers)
    cells = [(", ".join(map(str, numbers)), *key) for key, numbers in dispatchers.items()]
    return table_lines(heading, cells)


def role_metric_table(table: CapacityTable) -> list[str]:
    """Return a table of the metrics that only some roles have."""
    dispatchers = table.fleet.size.dispatchers
    rows = [
        _role_metric_cells(row, dispatchers)
        for row in table.role_metrics
        if any(estimate.value for estimate in row.estimates.values())
    ]
    counts = (f"{count} dispatchers" for count in dispatchers)
    heading = ("role", "figure", "unit", "along", "beside", *counts)
    return [*table_lines(heading, rows), ""] if rows else ["None was measured.", ""]


def _role_metric_cells(row: RoleMetric, dispatchers: Sequence[int]) -> tuple[str, ...]:
    fixed = ", ".join(f"{value:g} {name}" for name, value in row.fixed_amounts.items()).replace("_", " ")
    cells = [_role_metric_cell(row.estimates.get(count)) for count in dispatchers]
    return (row.role, row.metric.replace("_", " "), row.unit, row.load, fixed or "-", *cells)


def _role_metric_cell(estimate: Estimate | None) -> str:
    if estimate is None or estimate.value is None:
        return "-"
    marks = ORIGIN_MARKS[estimate.origin] + uncertainty_marks(estimate)
    return f"{format_digits(estimate.value)} {marks}"


def machine_tables(table: CapacityTable, costs: MeasuredCosts) -> list[str]:
    """Return tables of the control machines, their losses, and the splits of voters over two regions."""
    machines = place_machines(table.fleet)
    load_amounts = workload(table.fleet, max(table.fleet.size.dispatchers), PEAK)
    machine_rows = [_machine_cells(machine, costs, load_amounts) for machine in machines]
    loss_rows = [
        (
            loss.lost,
            str(loss.voters),
            "yes" if loss.has_majority else "**no**",
            str(loss.single_task_machines),
            loss.note,
        )
        for loss in assess_losses(machines)
    ]
    split_rows = [
        (
            f"{split.first} + {split.second}",
            "majority" if split.survives_first else "**none**",
            "majority" if split.survives_second else "**none**",
        )
        for split in region_splits()
    ]
    return [
        *table_lines(("machine", "region", "zone", "roles", "core at the peak", "memory"), machine_rows),
        "",
        "Core and memory of a voter are those of the one that leads; any of them may.",
        "",
        *table_lines(
            ("lost", "voters left of 5", "majority", "machines left for single tasks", ""), loss_rows
        ),
        "",
        *table_lines(("voters in the two regions", "the first is gone", "the second is gone"), split_rows),
    ]


def _machine_cells(
    machine: Machine, costs: MeasuredCosts, load_amounts: dict[str, dict[str, Amount]]
) -> tuple[str, ...]:
    core, memory = (
        add_estimates([estimate_kind(costs, role, kind, load_amounts[role]) for role in machine.roles])
        for kind in ("core", "memory")
    )
    unmeasured = [role for role in machine.roles if not costs.lines_of(role, "core_share")]
    without = f" without {', '.join(unmeasured)}" if unmeasured else ""
    return (
        machine.name,
        machine.region,
        machine.zone,
        ", ".join(machine.roles),
        format_estimate(core, "core") + without,
        format_estimate(memory, "memory") + without,
    )


def scenario_table(results: ScenarioResults) -> list[str]:
    """Return a row for each run of the scale tests."""
    if not results.runs:
        return ["No scale test was played."]
    heading = ("play", "seed", "dispatchers", "figures (m)", "what was found", "note")
    rows = [_run_cells(run) for run in results.runs]
    played = f"Played at {results.commit}, {results.date}, on {results.machine}."
    return [played, "", *table_lines(heading, rows)]


def _run_cells(run: ScenarioResult) -> tuple[str, ...]:
    metrics = ", ".join(
        f"{name.replace('_', ' ')} {format_digits(value)}"
        for name, value in run.metrics.items()
        if value is not None and not name.startswith(OMITTED_METRIC_PREFIXES)
    )
    simulated = " simulated" if run.simulated else ""
    return (
        run.scenario,
        f"{run.seed}",
        f"{run.dispatchers}{simulated}, {run.processes} processes",
        metrics or "-",
        _describe_run(run),
        run.note or "-",
    )


def _describe_run(run: ScenarioResult) -> str:
    if run.void:
        return f"void: {run.void}"
    if run.failed:
        return f"**failed**: {'; '.join(run.failed)}"
    return f"all of {len(run.held)} held" if run.held else "nothing judged"
