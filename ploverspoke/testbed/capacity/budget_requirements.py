"""Requirements on the budget of a dispatcher and on the machines for control."""

from math import ceil

from .budgets import EVERYTHING, PROGRESS, STARTS, WATCHING
from .machines import VOTERS, layout, losses
from .requirement import (
    BUDGET,
    CALCULATED,
    FROM_COSTS,
    KILOBYTE,
    PEAK_SCENARIO,
    Facts,
    Need,
    Requirement,
    assess_budget,
    assess_runs,
    limit_text,
)
from .verdicts import HOLDS, MISSING


def control(facts: Facts) -> Requirement:
    """The budget of a dispatcher, progress reports not counted."""
    budget = facts.fleet.budget
    assessment = assess_budget(facts, STARTS)
    limit = facts.load_at_limit("core_share", "starts_a_second", budget.core_share, STARTS)
    return Requirement(
        key="budget",
        line=f"a dispatcher within {100 * budget.core_share:g}% of a core, {budget.memory_mb:g} MB and "
        f"{budget.bytes_a_second / KILOBYTE:g} KB/s, progress reports not counted",
        demand="on an ordinary day and at its peak",
        design=assessment.text,
        mechanism="`limits` bound memory and descriptors (`docs/architecture.md`); nothing bounds the rest",
        verdict=assessment.verdict,
        basis=FROM_COSTS,
        priority=BUDGET,
        limit=limit_text(limit, "starts a second at one dispatcher") + ", by its share of a core",
    )


def control_with_progress(facts: Facts) -> Requirement:
    """The budget of a dispatcher, progress reports counted."""
    budget = facts.fleet.budget
    watches = facts.with_config_distribution and any(line.role == WATCHING for line in facts.costs.lines)
    assessment = assess_budget(facts, EVERYTHING if watches else PROGRESS)
    runs = assess_runs(facts, facts.runs(PEAK_SCENARIO), ("processor time", "bytes a second"))
    by_core = facts.load_at_limit("core_share", "tasks_running", budget.core_share, PROGRESS)
    by_bytes = facts.load_at_limit("bytes_in", "tasks_running", budget.bytes_a_second, PROGRESS)
    fewest = "" if by_core is None else f" ({ceil(facts.fleet.size.tasks_running / by_core)} dispatchers)"
    return Requirement(
        key="progress",
        line="a dispatcher within that, progress reports counted",
        demand=f"a report a second of each task that runs{', and configuration watched' * watches}",
        design=f"{assessment.text}; {runs.text}",
        mechanism="`ProgressUs`, one interval for all tasks (`service/settings.py`)",
        verdict=assessment.verdict,
        basis=FROM_COSTS,
        priority=BUDGET,
        limit=f"{limit_text(by_core, 'tasks running at one dispatcher')}{fewest}, by its share of a core; "
        f"{limit_text(by_bytes, 'tasks')}, by the bytes that come in",
        needs=[Need("changes", "workers and all dispatchers change the interval in step")],
    )


def control_machines(facts: Facts) -> Requirement:
    """The machines that are set aside for control, and which losses they survive."""
    fleet = facts.fleet
    machines = layout(fleet)
    by_name = {loss.what: loss for loss in losses(machines)}
    two_down = by_name["any two machines"]
    any_zone = all(loss.majority for what, loss in by_name.items() if what.startswith("zone "))
    return Requirement(
        key="machines",
        line=f"{fleet.budget.control_machines} machines for control",
        demand="all roles but dispatchers, discovery and workers; two machines down, or a zone gone",
        design=f"{VOTERS} voters of each kind in as many zones, {len(machines) - VOTERS} machines for "
        f"single tasks; two down: {two_down.note}; "
        f"{'any zone may go' if any_zone else 'not every zone may go'}",
        mechanism="`consensus/`, `docs/operating-leases.md`, `docs/operating-the-store.md`",
        verdict=HOLDS if two_down.majority and any_zone else MISSING,
        basis=CALCULATED,
        priority=BUDGET,
        limit=f"{VOTERS // 2 + 1} voters down",
    )
