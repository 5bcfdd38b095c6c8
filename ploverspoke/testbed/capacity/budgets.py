"""Compares what a dispatcher spends on control with its budget, for several definitions of control."""

from typing import NamedTuple

import msgspec

from .estimate import Estimate, Limit, add_estimates, estimate, load_at_limit
from .fleet_size import Budget, FleetSize
from .measured_costs import MeasuredCosts
from .verdicts import HOLDS, NOT_MEASURED, OVER_BUDGET, TOO_CLOSE
from .workload import ORDINARY, PEAK, STATED, WORKED_OUT, Amount, gossip_peers, workload

MEGABYTE = 1_000_000
DISPATCHER, WATCHING = "dispatcher", "dispatcher watching configuration"  # roles
# The metrics that are summed for each kind of estimate. Traffic counts both directions.
METRICS = {
    "messages": ("messages_in", "messages_out"),
    "core": ("core_share",),
    "memory": ("memory_bytes",),
    "bytes": ("bytes_in", "bytes_out"),
    "growth": ("memory_growth_bytes",),
}
# Scopes: what is counted as control.
SCOPE_CONTROL = "control alone: the list, its changes, new settings; no task"
SCOPE_STARTS = "and starts and ends of tasks, without progress reports"
SCOPE_PROGRESS = "and progress reports, one a second of each task"
SCOPE_GOSSIP = "control alone, and tellings of all dispatchers of a zone"
SCOPE_WATCHED = "control alone, and configuration watched at config servers"
SCOPE_EVERYTHING = "starts, progress reports and configuration watched"
SCOPES = (SCOPE_CONTROL, SCOPE_STARTS, SCOPE_PROGRESS, SCOPE_GOSSIP, SCOPE_WATCHED, SCOPE_EVERYTHING)


class Spending(NamedTuple):
    """The resources that one dispatcher uses."""

    core: Estimate  # share of a core
    memory: Estimate  # bytes
    bytes: Estimate  # bytes a second


class BudgetRow(msgspec.Struct, frozen=True, kw_only=True, rename={"scope": "counted"}):
    """The resources that one dispatcher uses in one situation, compared with the budget."""

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
    """Estimate the sum of the metrics of one kind of METRICS for a role."""
    return add_estimates([estimate(costs, role, metric, load_amounts, progress) for metric in METRICS[kind]])


def scope_amounts(fleet: FleetSize, dispatchers: int, situation: str, scope: str) -> dict[str, Amount]:
    """Return the loads of a dispatcher within the scope."""
    load_amounts = dict(workload(fleet, dispatchers, situation)[DISPATCHER])
    if scope in (SCOPE_CONTROL, SCOPE_GOSSIP, SCOPE_WATCHED):
        load_amounts["tasks_running"] = load_amounts["starts_a_second"] = Amount(0, WORKED_OUT)
    if scope == SCOPE_GOSSIP:
        load_amounts["peers_telling"] = gossip_peers(fleet, dispatchers)
    return load_amounts


def estimate_watch_cost(costs: MeasuredCosts, kind: str, changes: Amount) -> Estimate:
    """Estimate the cost that watching the configuration adds to a dispatcher.

    It is the difference between a dispatcher with a watch and the same dispatcher without one.
    """
    with_watch = estimate_kind(costs, WATCHING, kind, {"changes_a_minute": changes})
    listed_workers = {
        line.fixed_amounts.get("workers_listed", 0.0) for line in costs.lines if line.role == WATCHING
    }
    load_amounts = {line.load: Amount(0, WORKED_OUT) for line in costs.lines if line.role == DISPATCHER}
    load_amounts["workers_listed"] = Amount(max(listed_workers, default=0.0), STATED)
    without_watch = estimate_kind(costs, DISPATCHER, kind, load_amounts)
    if with_watch.value is None or without_watch.value is None:
        return Estimate(value=None, origin=NOT_MEASURED)
    difference = max(0.0, with_watch.value - without_watch.value)
    return msgspec.structs.replace(
        add_estimates([with_watch, without_watch]), value=difference, origin=WORKED_OUT
    )


def estimate_spending(
    fleet: FleetSize, costs: MeasuredCosts, dispatchers: int, situation: str, scope: str
) -> Spending:
    """Estimate the resources that one dispatcher uses for the loads within the scope."""
    load_amounts = scope_amounts(fleet, dispatchers, situation, scope)
    progress = scope in (SCOPE_PROGRESS, SCOPE_EVERYTHING)
    if scope not in (SCOPE_WATCHED, SCOPE_EVERYTHING):
        return Spending(
            *(estimate_kind(costs, DISPATCHER, kind, load_amounts, progress) for kind in Spending._fields)
        )
    changes, load_amounts["reloads_a_minute"] = load_amounts["reloads_a_minute"], Amount(0, WORKED_OUT)
    estimates = []
    for kind in Spending._fields:
        summands = [
            estimate_kind(costs, DISPATCHER, kind, load_amounts, progress),
            estimate_watch_cost(costs, kind, changes),
        ]
        is_unknown = any(summand.value is None for summand in summands)
        estimates.append(Estimate(value=None, origin=NOT_MEASURED) if is_unknown else add_estimates(summands))
    return Spending(*estimates)


def budget_verdict(budget: Budget, spending: Spending) -> str:
    """Compare spending with the budget.

    The verdict is OVER_BUDGET if any estimate exceeds its limit, and TOO_CLOSE if one may exceed it within
    its relative error. Otherwise it is HOLDS if all estimates are based on measurements of all their loads,
    else NOT_MEASURED.
    """
    limits = (budget.core_share, budget.memory_mb * MEGABYTE, budget.bytes_a_second)
    shares = [(estimate.value or 0.0) / limit for estimate, limit in zip(spending, limits, strict=True)]
    if max(shares) > 1:
        return OVER_BUDGET
    if any(
        share * (1 + estimate.relative_error) > 1 for share, estimate in zip(shares, spending, strict=True)
    ):
        return TOO_CLOSE
    is_complete = all(estimate.value is not None and not estimate.missing for estimate in spending)
    return HOLDS if is_complete else NOT_MEASURED


def budget_rows(fleet: FleetSize, costs: MeasuredCosts) -> list[BudgetRow]:
    """Return a row for each scope, each number of dispatchers, and each situation without a failure."""
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
    """Estimate the core share of a dispatcher with `tasks` running tasks.

    The other loads are those of the peak, with the largest number of dispatchers.
    """
    load_amounts = scope_amounts(fleet, max(fleet.size.dispatchers), PEAK, scope)
    load_amounts["tasks_running"] = Amount(tasks, STATED)
    return estimate_kind(costs, DISPATCHER, "core", load_amounts, scope == SCOPE_PROGRESS).value


def dispatcher_load_at_limit(
    fleet: FleetSize, costs: MeasuredCosts, limit: Limit, scope: str
) -> float | None:
    """Return the load at which one dispatcher reaches the limit.

    The other loads are those of the peak, with the largest number of dispatchers.
    """
    load_amounts = scope_amounts(fleet, max(fleet.size.dispatchers), PEAK, scope)
    return load_at_limit(costs, DISPATCHER, limit, load_amounts, scope == SCOPE_PROGRESS)
