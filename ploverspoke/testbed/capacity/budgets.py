"""What a dispatcher spends on control, for several definitions of control, against its budget."""

from typing import NamedTuple

import msgspec

from .estimate import Estimate, Limit, estimate, load_at_limit, total
from .fleet_size import Budget, FleetSize
from .measured_costs import MeasuredCosts
from .verdicts import HOLDS, NEAR, NOT_MEASURED, OVER
from .workload import ORDINARY, PEAK, STATED, WORKED_OUT, Amount, gossip_peers, workload

MEGABYTE = 1_000_000
DISPATCHER, WATCHING = "dispatcher", "dispatcher watching configuration"  # roles
# What each kind of estimate adds up; what goes two ways counts both.
METRICS = {
    "messages": ("messages_in", "messages_out"),
    "core": ("core_share",),
    "memory": ("memory_bytes",),
    "bytes": ("bytes_in", "bytes_out"),
    "growth": ("memory_growth_bytes",),
}
# What is counted as control.
CONTROL = "control alone: the list, its changes, new settings; no task"
STARTS = "and starts and ends of tasks, without progress reports"
PROGRESS = "and progress reports, one a second of each task"
GOSSIP = "control alone, and tellings of all dispatchers of a zone"
WATCHED = "control alone, and configuration watched at config servers"
EVERYTHING = "starts, progress reports and configuration watched"
SCOPES = (CONTROL, STARTS, PROGRESS, GOSSIP, WATCHED, EVERYTHING)


class Spending(NamedTuple):
    """What one dispatcher spends: a share of a core, bytes of memory, bytes a second."""

    core: Estimate
    memory: Estimate
    bytes: Estimate


class BudgetRow(msgspec.Struct, frozen=True, kw_only=True, rename={"scope": "counted"}):
    """What one dispatcher spends in one situation, against the budget."""

    scope: str  # what is counted as control, one of SCOPES
    dispatchers: int
    situation: str
    core: Estimate
    memory: Estimate
    bytes: Estimate
    verdict: str


def estimate_kind(
    costs: MeasuredCosts, role: str, kind: str, load_amounts: dict[str, Amount], progress: bool = True
) -> Estimate:
    """Estimate one kind of METRICS for a role."""
    return total([estimate(costs, role, metric, load_amounts, progress) for metric in METRICS[kind]])


def scope_amounts(fleet: FleetSize, dispatchers: int, situation: str, scope: str) -> dict[str, Amount]:
    """Return the loads of a dispatcher that the scope counts."""
    load_amounts = dict(workload(fleet, dispatchers, situation)[DISPATCHER])
    if scope in (CONTROL, GOSSIP, WATCHED):
        load_amounts["tasks_running"] = load_amounts["starts_a_second"] = Amount(0, WORKED_OUT)
    if scope == GOSSIP:
        load_amounts["peers_telling"] = gossip_peers(fleet, dispatchers)
    return load_amounts


def watch_cost(costs: MeasuredCosts, kind: str, changes: Amount) -> Estimate:
    """Estimate what a watch adds: a dispatcher that has one, less the same dispatcher without."""
    whole = estimate_kind(costs, WATCHING, kind, {"changes_a_minute": changes})
    listed = {line.fixed_amounts.get("workers_listed", 0.0) for line in costs.lines if line.role == WATCHING}
    load_amounts = {line.load: Amount(0, WORKED_OUT) for line in costs.lines if line.role == DISPATCHER}
    load_amounts["workers_listed"] = Amount(max(listed, default=0.0), STATED)
    idle = estimate_kind(costs, DISPATCHER, kind, load_amounts)
    if whole.value is None or idle.value is None:
        return Estimate(value=None, origin=NOT_MEASURED)
    difference = max(0.0, whole.value - idle.value)
    return msgspec.structs.replace(total([whole, idle]), value=difference, origin=WORKED_OUT)


def estimate_spending(
    fleet: FleetSize, costs: MeasuredCosts, dispatchers: int, situation: str, scope: str
) -> Spending:
    """Estimate what one dispatcher spends on what the scope counts."""
    load_amounts = scope_amounts(fleet, dispatchers, situation, scope)
    progress = scope in (PROGRESS, EVERYTHING)
    if scope not in (WATCHED, EVERYTHING):
        return Spending(
            *(estimate_kind(costs, DISPATCHER, kind, load_amounts, progress) for kind in Spending._fields)
        )
    changes, load_amounts["reloads_a_minute"] = load_amounts["reloads_a_minute"], Amount(0, WORKED_OUT)
    estimates = []
    for kind in Spending._fields:
        parts = [
            estimate_kind(costs, DISPATCHER, kind, load_amounts, progress),
            watch_cost(costs, kind, changes),
        ]
        is_unknown = any(part.value is None for part in parts)
        estimates.append(Estimate(value=None, origin=NOT_MEASURED) if is_unknown else total(parts))
    return Spending(*estimates)


def budget_verdict(budget: Budget, spending: Spending) -> str:
    """Compare spending with the budget.

    Over where any estimate is, near where one may be by its relative error; else it holds where all were
    measured along all their loads.
    """
    limits = (budget.core_share, budget.memory_mb * MEGABYTE, budget.bytes_a_second)
    shares = [(each.value or 0.0) / limit for each, limit in zip(spending, limits, strict=True)]
    if max(shares) > 1:
        return OVER
    if any(share * (1 + each.relative_error) > 1 for share, each in zip(shares, spending, strict=True)):
        return NEAR
    is_whole = all(each.value is not None and not each.missing for each in spending)
    return HOLDS if is_whole else NOT_MEASURED


def budget_rows(fleet: FleetSize, costs: MeasuredCosts) -> list[BudgetRow]:
    """Return a row for each scope, number of dispatchers, and situation without a failure."""
    rows = []
    for scope in SCOPES:
        for dispatchers in fleet.size.dispatchers:
            for situation in (ORDINARY, PEAK):
                spending = estimate_spending(fleet, costs, dispatchers, situation, scope)
                rows.append(
                    BudgetRow(
                        scope=scope,
                        dispatchers=dispatchers,
                        situation=situation,
                        core=spending.core,
                        memory=spending.memory,
                        bytes=spending.bytes,
                        verdict=budget_verdict(fleet.budget, spending),
                    )
                )
    return rows


def core_share_with_tasks(fleet: FleetSize, costs: MeasuredCosts, tasks: int, scope: str) -> float | None:
    """Estimate the core share of a dispatcher with so many running tasks, at the largest fleet's peak."""
    load_amounts = scope_amounts(fleet, max(fleet.size.dispatchers), PEAK, scope)
    load_amounts["tasks_running"] = Amount(tasks, STATED)
    return estimate_kind(costs, DISPATCHER, "core", load_amounts, scope == PROGRESS).value


def dispatcher_load_at_limit(
    fleet: FleetSize, costs: MeasuredCosts, limit: Limit, scope: str
) -> float | None:
    """Return the load at which one dispatcher reaches the limit, at the largest fleet's peak."""
    load_amounts = scope_amounts(fleet, max(fleet.size.dispatchers), PEAK, scope)
    return load_at_limit(costs, DISPATCHER, limit, load_amounts, scope == PROGRESS)
