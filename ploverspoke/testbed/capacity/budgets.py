"""What a dispatcher spends on control, by what is counted as control, against the budget. Without I/O."""

import msgspec

from .estimate import Figure, estimate, stops_at, total
from .fleet_size import Budget, FleetSize
from .measured_costs import MeasuredCosts
from .verdicts import HOLDS, NEAR, NOT_MEASURED, OVER
from .workload import ORDINARY, PEAK, STATED, WORKED_OUT, Amount, telling, workload

MB = 1_000_000
DISPATCHER, WATCHING = "dispatcher", "dispatcher watching configuration"
FIGURES = {
    "messages": ("messages_in", "messages_out"),
    "core": ("core_share",),
    "memory": ("memory_bytes",),
    "bytes": ("bytes_in", "bytes_out"),
    "growth": ("memory_growth_bytes",),
}
CONTROL = "control alone: the list, its changes, new settings; no task"
STARTS = "and starts and ends of tasks, without progress reports"
PROGRESS = "and progress reports, one a second of each task"
TELLINGS = "control alone, and tellings of all dispatchers of a zone"
WATCHED = "control alone, and configuration watched at config servers"
EVERYTHING = "starts, progress reports and configuration watched"
COUNTED = (CONTROL, STARTS, PROGRESS, TELLINGS, WATCHED, EVERYTHING)


class BudgetRow(msgspec.Struct, frozen=True, kw_only=True):
    counted: str  # what counts as control
    dispatchers: int
    situation: str
    core: Figure
    memory: Figure
    bytes: Figure
    verdict: str


def figure_of(
    slopes: MeasuredCosts, role: str, kind: str, sizes: dict[str, Amount], progress: bool = True
) -> Figure:
    """Both ways together, of what goes two ways."""
    return total([estimate(slopes, role, name, sizes, progress) for name in FIGURES[kind]])


def counted_sizes(fleet: FleetSize, dispatchers: int, situation: str, counted: str) -> dict[str, Amount]:
    sizes = dict(workload(fleet, dispatchers, situation)[DISPATCHER])
    if counted in (CONTROL, TELLINGS, WATCHED):
        sizes["tasks_running"] = sizes["starts_a_second"] = Amount(0, WORKED_OUT)
    if counted == TELLINGS:
        sizes["peers_telling"] = telling(fleet, dispatchers)
    return sizes


def watching(slopes: MeasuredCosts, kind: str, changes: Amount) -> Figure:
    """What a watch adds to a dispatcher: one that has it, less the same one that has none."""
    whole = figure_of(slopes, WATCHING, kind, {"changes_a_minute": changes})
    listed = {line.still.get("workers_listed", 0.0) for line in slopes.lines if line.role == WATCHING}
    sizes = {line.size: Amount(0, WORKED_OUT) for line in slopes.lines if line.role == DISPATCHER}
    sizes["workers_listed"] = Amount(max(listed, default=0.0), STATED)
    idle = figure_of(slopes, DISPATCHER, kind, sizes)
    if whole.value is None or idle.value is None:
        return Figure(value=None, origin=NOT_MEASURED)
    more = {"value": max(0.0, whole.value - idle.value), "origin": "worked out"}
    return msgspec.structs.replace(total([whole, idle]), **more)


def figures_of(
    fleet: FleetSize, slopes: MeasuredCosts, dispatchers: int, situation: str, counted: str
) -> list[Figure]:
    """Share of a core, memory, bytes."""
    sizes = counted_sizes(fleet, dispatchers, situation, counted)
    kinds = ("core", "memory", "bytes")
    progress = counted in (PROGRESS, EVERYTHING)
    if counted not in (WATCHED, EVERYTHING):
        return [figure_of(slopes, DISPATCHER, kind, sizes, progress) for kind in kinds]
    changes, sizes["reloads_a_minute"] = sizes["reloads_a_minute"], Amount(0, WORKED_OUT)
    found = []
    for kind in kinds:
        parts = [figure_of(slopes, DISPATCHER, kind, sizes, progress), watching(slopes, kind, changes)]
        unknown = any(part.value is None for part in parts)
        found.append(Figure(value=None, origin=NOT_MEASURED) if unknown else total(parts))
    return found


def within(budget: Budget, core: Figure, memory: Figure, octets: Figure) -> str:
    """Over where any figure is, near where it may be by what its lines miss their points by; else it holds
    where all were measured along all that is met.
    """
    figures = (core, memory, octets)
    limits = (budget.core_share, budget.memory_mb * MB, budget.bytes_a_second)
    parts = [(one.value or 0.0) / limit for one, limit in zip(figures, limits, strict=True)]
    if max(parts) > 1:
        return OVER
    if any(part * (1 + one.off_by) > 1 for part, one in zip(parts, figures, strict=True)):
        return NEAR
    return HOLDS if all(one.value is not None and not one.without for one in figures) else NOT_MEASURED


def budget_rows(fleet: FleetSize, slopes: MeasuredCosts) -> list[BudgetRow]:
    found = []
    for counted in COUNTED:
        for dispatchers in fleet.size.dispatchers:
            for situation in (ORDINARY, PEAK):
                core, memory, octets = figures_of(fleet, slopes, dispatchers, situation, counted)
                found.append(
                    BudgetRow(
                        counted=counted,
                        dispatchers=dispatchers,
                        situation=situation,
                        core=core,
                        memory=memory,
                        bytes=octets,
                        verdict=within(fleet.budget, core, memory, octets),
                    )
                )
    return found


def core_with(fleet: FleetSize, slopes: MeasuredCosts, tasks: int, counted: str) -> float | None:
    """The share of a core of one dispatcher with so many tasks running, at the peak of the largest fleet."""
    sizes = counted_sizes(fleet, max(fleet.size.dispatchers), PEAK, counted)
    sizes["tasks_running"] = Amount(tasks, STATED)
    return figure_of(slopes, DISPATCHER, "core", sizes, counted == PROGRESS).value


def stop_of(
    fleet: FleetSize, slopes: MeasuredCosts, figure: str, size: str, limit: float, counted: str
) -> float | None:
    """The size at which one dispatcher reaches the limit, at the peak of the largest fleet."""
    sizes = counted_sizes(fleet, max(fleet.size.dispatchers), PEAK, counted)
    return stops_at(slopes, DISPATCHER, figure, sizes, size, limit, counted == PROGRESS)
