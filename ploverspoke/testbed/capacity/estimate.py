"""Estimates one metric of one role at given loads from measured costs, with the origin of the value.

    value = base + sum of slope x load, over the loads that were varied while the metric was measured

The base is a line's intercept minus the contributions of the loads that were fixed during its measurement.
If the lines give different bases, the largest is used. Costs that were not measured are reported by name and
never counted as 0.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

import msgspec

from .measured_costs import CostPerUnit, MeasuredCosts
from .workload import ASSUMED, ASSUMPTIONS, WORKED_OUT, Amount

PROGRESS_KEY = "progress"  # in `fixed_amounts`: 1 if tasks reported their progress, else 0
VOTER_COUNT_KEYS = ("keepers", "servers", "replicas")  # in `fixed_amounts`: the number of voters
MEASURED = "measured"
NOT_MEASURED = "not measured"
ORIGINS = (MEASURED, WORKED_OUT, ASSUMED)  # the most reliable first
MAX_EXTRAPOLATION = 10.0  # multiple of the largest measured load; a limit beyond it is not reported
MIN_ASSUMED_SHARE = 0.05  # a value is not marked as assumed if assumed loads have a smaller share of it


class Estimate(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={"extrapolated": "stretched", "relative_error": "off_by", "missing": "without"},
):
    """The estimated value of a metric, its origin and its reservations."""

    value: float | None  # None: not measured
    origin: str  # one of ORIGINS, or NOT_MEASURED
    extrapolated: list[str] = []  # costs that were used beyond the largest measured load
    contradicted: list[str] = []  # costs whose points contradict the fit, and the value that was used instead
    relative_error: float = 0.0  # of the fits: their residuals, weighted by their shares of the value
    missing: list[str] = []  # unmeasured costs that it leaves out, such as "bytes_in by workers_listed"


class EffectiveCost(NamedTuple):
    """The base and the slope that estimates use for a measured cost."""

    base: float
    per_unit: float
    contradicted: str  # describes what is used instead of a contradicted fit; empty if it is not contradicted


def effective_cost(line: CostPerUnit) -> EffectiveCost:
    """Return the base and slope of the fit, or a safer slope if its points contradict the fit.

    For a contradicted fit the slope is the larger of the fitted one and the worst measured ratio. These
    metrics do not fall with a growing load, so a falling fit is noise: the highest of its intercept and its
    points is used at every load.
    """
    if not line.contradicted and line.slope < 0:
        return EffectiveCost(max([line.intercept, *(value for _, value in line.points)]), 0.0, "")
    if not line.contradicted:
        return EffectiveCost(line.intercept, line.slope, "")
    base = max(0.0, line.intercept)
    ratios = [(value - base) / load for load, value in line.points if load > 0]
    slope = max([line.slope, *ratios])
    choice = "the worst measured ratio" if slope > line.slope else "the fit, the larger of the two"
    text = f"{line.role}, {line.metric} by {line.load}: residual {line.residual:.0%}, {choice} is used"
    return EffectiveCost(base, slope, text)


def choose_lines(costs: MeasuredCosts, role: str, metric: str, progress: bool) -> list[CostPerUnit]:
    """Return one line for each load.

    If a load has several lines, those measured with or without progress reports, as `progress` says, are
    preferred; among these, the one with the largest fixed loads, such as five lease servers instead of three,
    or 170 teams instead of one.
    """

    def preference(line: CostPerUnit) -> tuple[bool, float]:
        """Return a sort key; the line with the largest key is chosen."""
        fixed = line.fixed_amounts
        return fixed.get(PROGRESS_KEY, float(progress)) == progress, sum(fixed.values())

    chosen: dict[str, CostPerUnit] = {}
    for line in costs.lines_of(role, metric):
        if line.load not in chosen or preference(line) > preference(chosen[line.load]):
            chosen[line.load] = line
    return list(chosen.values())


def estimate_line(line: CostPerUnit, amount: Amount) -> Estimate:
    """Estimate from one line, with all other loads as they were during its measurement."""
    lines = [msgspec.structs.replace(line, fixed_amounts={})]
    costs = MeasuredCosts(format=0, date="", commit="", machine="", lines=lines)
    return estimate(costs, line.role, line.metric, {line.load: amount})


def estimate(
    costs: MeasuredCosts, role: str, metric: str, load_amounts: Mapping[str, Amount], progress: bool = True
) -> Estimate:
    """Estimate a metric at the given loads of the role; loads of 0 do not need a measurement."""
    lines = choose_lines(costs, role, metric, progress)
    if not lines:
        return Estimate(value=None, origin=NOT_MEASURED)
    effective = {line.load: effective_cost(line) for line in lines}
    # The line of an absent load contributes neither its slope nor the base of the fleet it was measured in.
    counted = [
        line for line in lines if line.load in load_amounts and load_amounts[line.load].value > 0
    ] or lines
    if _is_measured_point(counted, effective, load_amounts):
        value, origin, error = _point_value(counted[0], load_amounts), MEASURED, 0.0
        if _is_assumed(counted, effective, load_amounts, value):
            origin = ASSUMED
    else:
        load_costs = _load_costs(counted, effective, load_amounts)
        value = sum(load_costs.values(), _base(counted, effective))
        origin = ASSUMED if _is_assumed(counted, effective, load_amounts, value) else WORKED_OUT
        error = _relative_error(counted, effective, load_amounts, value)
    return Estimate(
        value=value,
        origin=origin,
        extrapolated=_extrapolated(counted, load_amounts),
        contradicted=[text for line in counted if (text := effective[line.load].contradicted)],
        relative_error=error,
        missing=[f"{metric} by {load}" for load in _unmeasured_loads(lines, load_amounts)],
    )


def _is_measured_point(
    counted: Sequence[CostPerUnit], effective: Mapping[str, EffectiveCost], load_amounts: Mapping[str, Amount]
) -> bool:
    """Whether only one load counts and a point was measured at exactly its amount."""
    line = counted[0]
    if len(counted) != 1 or line.load not in load_amounts or effective[line.load].contradicted:
        return False
    return any(load == load_amounts[line.load].value for load, _ in line.points)


def _point_value(line: CostPerUnit, load_amounts: Mapping[str, Amount]) -> float:
    return next(value for load, value in line.points if load == load_amounts[line.load].value)


def _base(counted: Sequence[CostPerUnit], effective: Mapping[str, EffectiveCost]) -> float:
    base = 0.0
    for line in counted:
        fixed_cost = sum(
            effective[load].per_unit * amount
            for load, amount in line.fixed_amounts.items()
            if load in effective
        )
        base = max(base, effective[line.load].base - fixed_cost)
    return base


def _load_costs(
    counted: Sequence[CostPerUnit], effective: Mapping[str, EffectiveCost], load_amounts: Mapping[str, Amount]
) -> dict[str, float]:
    """Return the cost of each load beyond the base; loads without an amount are reported as missing."""
    return {
        line.load: effective[line.load].per_unit * load_amounts[line.load].value
        for line in counted
        if line.load in load_amounts
    }


def _is_assumed(
    counted: Sequence[CostPerUnit],
    effective: Mapping[str, EffectiveCost],
    load_amounts: Mapping[str, Amount],
    value: float,
) -> bool:
    """Whether assumed loads make up more than MIN_ASSUMED_SHARE of the value."""
    load_costs = _load_costs(counted, effective, load_amounts)
    assumed = sum(cost for load, cost in load_costs.items() if load_amounts[load].origin == ASSUMED)
    return bool(value) and assumed > MIN_ASSUMED_SHARE * value


def _relative_error(
    counted: Sequence[CostPerUnit],
    effective: Mapping[str, EffectiveCost],
    load_amounts: Mapping[str, Amount],
    value: float,
) -> float:
    """Return the sum of the residuals of the lines, weighted by their shares of the value."""
    if not value:
        return 0.0
    load_costs = _load_costs(counted, effective, load_amounts)
    errors = (
        load_costs[line.load] * line.residual
        for line in counted
        if line.load in load_costs and not line.contradicted
    )
    return sum(errors) / value


def _extrapolated(counted: Sequence[CostPerUnit], load_amounts: Mapping[str, Amount]) -> list[str]:
    """Return a text for each load beyond its measured range, and for measurements with fewer voters."""
    voters = ASSUMPTIONS["voters"].value
    texts = []
    for line in counted:
        amount = load_amounts.get(line.load)
        if amount is None:
            continue
        if amount.value > line.max_load:
            texts.append(f"{line.load}: measured to {line.max_load:g}, used at {amount.value:.4g}")
        for name in VOTER_COUNT_KEYS:
            if name in line.fixed_amounts and line.fixed_amounts[name] < voters:
                texts.append(f"{name}: measured to {line.fixed_amounts[name]:g}, used at {voters:g}")
    return list(dict.fromkeys(texts))


def _unmeasured_loads(lines: Sequence[CostPerUnit], load_amounts: Mapping[str, Amount]) -> list[str]:
    """Return the loads that were not measured, and measured loads without an amount."""
    measured = {line.load for line in lines}
    names = [load for load, amount in load_amounts.items() if amount.value > 0 and load not in measured]
    names += [
        f"{line.load}, which this table does not know" for line in lines if line.load not in load_amounts
    ]
    return names


class Limit(NamedTuple):
    """A limit on a metric that is reached as one load grows."""

    metric: str
    load: str
    value: float


def load_at_limit(
    costs: MeasuredCosts, role: str, limit: Limit, load_amounts: Mapping[str, Amount], progress: bool = True
) -> float | None:
    """Return the load at which the metric reaches its limit, with the other loads as given.

    Returns None if the cost was not measured, or if the limit lies beyond MAX_EXTRAPOLATION times the largest
    measured load, where the fit says nothing.
    """
    lines = choose_lines(costs, role, limit.metric, progress)
    line = next((candidate for candidate in lines if candidate.load == limit.load), None)
    if line is None or (per_unit := effective_cost(line).per_unit) <= 0:
        return None
    others = {**load_amounts, limit.load: Amount(0, ASSUMED)}
    at_zero_load = estimate(costs, role, limit.metric, others, progress)
    if at_zero_load.value is None:
        return None
    at_limit = max(0.0, (limit.value - at_zero_load.value) / per_unit)
    return at_limit if at_limit <= MAX_EXTRAPOLATION * line.max_load else None


def add_estimates(estimates: Sequence[Estimate]) -> Estimate:
    """Add estimates in the same unit, and combine their reservations."""
    values = [estimate.value for estimate in estimates if estimate.value is not None]
    origins = [estimate.origin for estimate in estimates if estimate.value is not None]
    origin = WORKED_OUT if len(values) > 1 else MEASURED
    return Estimate(
        value=sum(values) if values else None,
        origin=max([origin, *origins], key=ORIGINS.index) if values else NOT_MEASURED,
        extrapolated=sorted({text for estimate in estimates for text in estimate.extrapolated}),
        contradicted=sorted({text for estimate in estimates for text in estimate.contradicted}),
        relative_error=max((estimate.relative_error for estimate in estimates), default=0.0),
        missing=sorted({text for estimate in estimates for text in estimate.missing}),
    )
