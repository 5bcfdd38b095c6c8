"""Assesses the requirements on the budget of a dispatcher and on the machines for control."""

from math import ceil

from .budgets import SCOPE_EVERYTHING, SCOPE_PROGRESS, SCOPE_STARTS, WATCHING
from .machines import VOTER_COUNT, assess_losses, place_machines
from .requirement import (
    CALCULATED,
    FROM_COSTS,
    KILOBYTE,
    PEAK_SCENARIO,
    PRIORITY_BUDGET,
    AssessmentContext,
    Need,
    Requirement,
    assess_budget,
    assess_runs,
    describe_limit,
)
from .verdicts import HOLDS, MISSING


def assess_budget_without_progress(context: AssessmentContext) -> Requirement:
    """Assess the budget of a dispatcher without the cost of progress reports."""
    budget = context.fleet.budget
    assessment = assess_budget(context, SCOPE_STARTS)
    limit = context.load_at_limit("core_share", "starts_a_second", budget.core_share, SCOPE_STARTS)
    return Requirement(
        key="budget",
        statement=f"a dispatcher within {100 * budget.core_share:g}% of a core, {budget.memory_mb:g} MB and "
        f"{budget.bytes_a_second / KILOBYTE:g} KB/s, progress reports not counted",
        demand="on an ordinary day and at its peak",
        design=assessment.text,
        mechanism="`limits` bound memory and descriptors (`docs/architecture.md`); nothing bounds the rest",
        verdict=assessment.verdict,
        basis=FROM_COSTS,
        priority=PRIORITY_BUDGET,
        limit=describe_limit(limit, "starts a second at one dispatcher") + ", by its share of a core",
    )


def assess_budget_with_progress(context: AssessmentContext) -> Requirement:
    """Assess the budget of a dispatcher with the cost of progress reports."""
    budget = context.fleet.budget
    has_watch = context.with_config_distribution and any(
        line.role == WATCHING for line in context.costs.lines
    )
    assessment = assess_budget(context, SCOPE_EVERYTHING if has_watch else SCOPE_PROGRESS)
    runs = assess_runs(context, context.find_runs(PEAK_SCENARIO), ("processor time", "bytes a second"))
    limit_by_core = context.load_at_limit("core_share", "tasks_running", budget.core_share, SCOPE_PROGRESS)
    limit_by_bytes = context.load_at_limit("bytes_in", "tasks_running", budget.bytes_a_second, SCOPE_PROGRESS)
    min_dispatchers = (
        ""
        if limit_by_core is None
        else f" ({ceil(context.fleet.size.tasks_running / limit_by_core)} dispatchers)"
    )
    return Requirement(
        key="progress",
        statement="a dispatcher within that, progress reports counted",
        demand=f"a report a second of each task that runs{', and configuration watched' * has_watch}",
        design=f"{assessment.text}; {runs.text}",
        mechanism="`ProgressUs`, one interval for all tasks (`service/settings.py`)",
        verdict=assessment.verdict,
        basis=FROM_COSTS,
        priority=PRIORITY_BUDGET,
        limit=f"{describe_limit(limit_by_core, 'tasks running at one dispatcher')}{min_dispatchers}, by its "
        f"share of a core; {describe_limit(limit_by_bytes, 'tasks')}, by the bytes that come in",
        needs=[Need("changes", "workers and all dispatchers change the interval in step")],
    )


def assess_control_machines(context: AssessmentContext) -> Requirement:
    """Assess which losses the machines reserved for control survive."""
    fleet = context.fleet
    machines = place_machines(fleet)
    losses_by_name = {loss.lost: loss for loss in assess_losses(machines)}
    two_machines_lost = losses_by_name["any two machines"]
    survives_any_zone = all(
        loss.has_majority for what, loss in losses_by_name.items() if what.startswith("zone ")
    )
    return Requirement(
        key="machines",
        statement=f"{fleet.budget.control_machines} machines for control",
        demand="all roles but dispatchers, discovery and workers; two machines down, or a zone gone",
        design=f"{VOTER_COUNT} voters of each kind in as many zones, {len(machines) - VOTER_COUNT} machines "
        f"for single tasks; two down: {two_machines_lost.note}; "
        f"{'any zone may go' if survives_any_zone else 'not every zone may go'}",
        mechanism="`consensus/`, `docs/operating-leases.md`, `docs/operating-the-store.md`",
        verdict=HOLDS if two_machines_lost.has_majority and survives_any_zone else MISSING,
        basis=CALCULATED,
        priority=PRIORITY_BUDGET,
        limit=f"{VOTER_COUNT // 2 + 1} voters down",
    )
