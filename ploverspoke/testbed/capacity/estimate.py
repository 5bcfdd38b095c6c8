"""Estimates one metric of one role at given loads from measured costs, with the origin of the value.

    value = base + sum of slope x load, over the loads along which the metric was measured

The base is what is left of a line's intercept once the loads that were fixed while it was measured are taken
out; where lines differ on it, the largest counts. What was not measured is named, and never counted as 0.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

import msgspec

from .measured_costs import CostPerUnit, MeasuredCosts
from .workload import ASSUMED, ASSUMPTIONS, WORKED_OUT, Amount

PROGRESS = "progress"  # in `fixed_amounts`: 1 where tasks reported their progress, else 0
VOTERS = ("keepers", "servers", "replicas")  # in `fixed_amounts`: how many voters there were
MEASURED = "measured"
NOT_MEASURED = "not measured"
ORIGINS = (MEASURED, WORKED_OUT, ASSUMED)  # from the surest
MAX_EXTRAPOLATION = 10.0  # times the largest measured load; a limit further away is not reported
MIN_ASSUMED_SHARE = 0.05  # an assumed load with a smaller share of a value does not make it assumed


class Estimate(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={"extrapolated": "stretched", "relative_error": "off_by", "missing": "without"},
):
    """The value of a metric, and what it rests on."""

    value: float | None  # None: not measured
    origin: str  # one of ORIGINS, or NOT_MEASURED
    extrapolated: list[str] = []  # costs that were used beyond what was measured
    contradicted: list[str] = []  # costs that their points contradict, and what was used in place of the fit
    relative_error: float = 0.0  # what the costs miss their points by, each weighed by its part of the value
    missing: list[str] = []  # what was not measured and is not in the value: "bytes_in by workers_listed"


class EffectiveCost(NamedTuple):
    """What is used of a measured cost."""

    base: float
    per_unit: float
    contradicted: str  # what is used in place of the fit; empty: the fit


def effective_cost(line: CostPerUnit) -> EffectiveCost:
    """Return the fit; where its points contradict it, the larger of the fit and the worst measured ratio.

    A fit that falls, of a metric that does not, is noise: then the highest point counts at every load.
    """
    if not line.contradicted and line.slope < 0:
        return EffectiveCost(max([line.intercept, *(value for _, value in line.points)]), 0.0, "")
    if not line.contradicted:
        return EffectiveCost(line.intercept, line.slope, "")
    base = max(0.0, line.intercept)
    ratios = [(value - base) / load for load, value in line.points if load > 0]
    worst = max([line.slope, *ratios])
    choice = "the worst measured ratio" if worst > line.slope else "the fit, the larger of the two"
    text = f"{line.role}, {line.metric} by {line.load}: residual {line.residual:.0%}, {choice} is used"
    return EffectiveCost(base, worst, text)


def choose_lines(costs: MeasuredCosts, role: str, metric: str, progress: bool) -> list[CostPerUnit]:
    """Return one line for each load.

    Of several the one with progress reports as asked for; then the one with the largest fixed loads: five
    lease servers in place of three, 170 teams in place of one.
    """

    def preference(line: CostPerUnit) -> tuple[bool, float]:
        """Order lines of one load; the largest is taken."""
        fixed = line.fixed_amounts
        return fixed.get(PROGRESS, float(progress)) == progress, sum(fixed.values())

    chosen: dict[str, CostPerUnit] = {}
    for line in costs.of(role, metric):
        if line.load not in chosen or preference(line) > preference(chosen[line.load]):
            chosen[line.load] = line
    return list(chosen.values())


def estimate_line(line: CostPerUnit, amount: Amount) -> Estimate:
    """Estimate from one line by itself, all other loads as they were when it was measured."""
    lines = [msgspec.structs.replace(line, fixed_amounts={})]
    costs = MeasuredCosts(format=0, date="", commit="", machine="", lines=lines)
    return estimate(costs, line.role, line.metric, {line.load: amount})


def estimate(
    costs: MeasuredCosts, role: str, metric: str, load_amounts: Mapping[str, Amount], progress: bool = True
) -> Estimate:
    """Estimate a metric at the loads of the role; a load of 0 need not have been measured."""
    lines = choose_lines(costs, role, metric, progress)
    if not lines:
        return Estimate(value=None, origin=NOT_MEASURED)
    effective = {line.load: effective_cost(line) for line in lines}
    # A load that is not there adds nothing, neither does the fleet in which it was measured.
    counted = [
        line for line in lines if line.load in load_amounts and load_amounts[line.load].value > 0
    ] or lines
    if _is_measured_point(counted, effective, load_amounts):
        value, origin, error = _point_value(counted[0], load_amounts), MEASURED, 0.0
        if _is_assumed(counted, effective, load_amounts, value):
            origin = ASSUMED
    else:
        parts = _parts(counted, effective, load_amounts)
        value = sum(parts.values(), _base(counted, effective))
        origin = ASSUMED if _is_assumed(counted, effective, load_amounts, value) else WORKED_OUT
        error = _relative_error(counted, effective, load_amounts, value)
    return Estimate(
        value=value,
        origin=origin,
        extrapolated=_extrapolated(counted, load_amounts),
        contradicted=[text for line in counted if (text := effective[line.load].contradicted)],
        relative_error=error,
        missing=[f"{metric} by {load}" for load in _unmeasured_names(lines, load_amounts)],
    )


def _is_measured_point(
    counted: Sequence[CostPerUnit], effective: Mapping[str, EffectiveCost], load_amounts: Mapping[str, Amount]
) -> bool:
    """Whether a single load counts, and a point was measured at just its amount."""
    line = counted[0]
    if len(counted) != 1 or line.load not in load_amounts or effective[line.load].contradicted:
        return False
    return any(load == load_amounts[line.load].value for load, _ in line.points)


def _point_value(line: CostPerUnit, load_amounts: Mapping[str, Amount]) -> float:
    return next(value for load, value in line.points if load == load_amounts[line.load].value)


def _base(counted: Sequence[CostPerUnit], effective: Mapping[str, EffectiveCost]) -> float:
    base = 0.0
    for line in counted:
        others = sum(
            effective[load].per_unit * amount
            for load, amount in line.fixed_amounts.items()
            if load in effective
        )
        base = max(base, effective[line.load].base - others)
    return base


def _parts(
    counted: Sequence[CostPerUnit], effective: Mapping[str, EffectiveCost], load_amounts: Mapping[str, Amount]
) -> dict[str, float]:
    """Return what each load adds to the base; loads that the caller does not know are reported as missing."""
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
    """Whether assumed loads have more than a small share of the value."""
    parts = _parts(counted, effective, load_amounts)
    assumed = sum(part for load, part in parts.items() if load_amounts[load].origin == ASSUMED)
    return bool(value) and assumed > MIN_ASSUMED_SHARE * value


def _relative_error(
    counted: Sequence[CostPerUnit],
    effective: Mapping[str, EffectiveCost],
    load_amounts: Mapping[str, Amount],
    value: float,
) -> float:
    """Return the residuals of the lines, each weighed by its part of the value."""
    if not value:
        return 0.0
    parts = _parts(counted, effective, load_amounts)
    errors = (
        parts[line.load] * line.residual for line in counted if line.load in parts and not line.contradicted
    )
    return sum(errors) / value


def _extrapolated(counted: Sequence[CostPerUnit], load_amounts: Mapping[str, Amount]) -> list[str]:
    """Return a text for each load that is larger than what was measured, fewer voters included."""
    voters = ASSUMPTIONS["voters"].value
    texts = []
    for line in counted:
        amount = load_amounts.get(line.load)
        if amount is None:
            continue
        if amount.value > line.max_load:
            texts.append(f"{line.load}: measured to {line.max_load:g}, used at {amount.value:.4g}")
        for name in VOTERS:
            if name in line.fixed_amounts and line.fixed_amounts[name] < voters:
                texts.append(f"{name}: measured to {line.fixed_amounts[name]:g}, used at {voters:g}")
    return list(dict.fromkeys(texts))


def _unmeasured_names(lines: Sequence[CostPerUnit], load_amounts: Mapping[str, Amount]) -> list[str]:
    """Return the loads that were not measured, and measured ones that the caller does not know."""
    measured = {line.load for line in lines}
    unknown = [load for load, amount in load_amounts.items() if amount.value > 0 and load not in measured]
    unknown += [
        f"{line.load}, which this table does not know" for line in lines if line.load not in load_amounts
    ]
    return unknown


class Limit(NamedTuple):
    """A limit on a metric that is reached by one growing load."""

    metric: str
    load: str
    value: float


def load_at_limit(
    costs: MeasuredCosts, role: str, limit: Limit, load_amounts: Mapping[str, Amount], progress: bool = True
) -> float | None:
    """Return the load at which the metric reaches its limit, the other loads as given.

    None: not measured, or beyond MAX_EXTRAPOLATION times what was measured, where nothing is known.
    """
    lines = choose_lines(costs, role, limit.metric, progress)
    line = next((each for each in lines if each.load == limit.load), None)
    if line is None or (per_unit := effective_cost(line).per_unit) <= 0:
        return None
    others = {**load_amounts, limit.load: Amount(0, ASSUMED)}
    rest = estimate(costs, role, limit.metric, others, progress)
    if rest.value is None:
        return None
    at_limit = max(0.0, (limit.value - rest.value) / per_unit)
    return at_limit if at_limit <= MAX_EXTRAPOLATION * line.max_load else None


def total(parts: Sequence[Estimate]) -> Estimate:
    """Add estimates of one unit; what was not measured of one is named."""
    values = [part.value for part in parts if part.value is not None]
    origins = [part.origin for part in parts if part.value is not None]
    origin = WORKED_OUT if len(values) > 1 else MEASURED
    return Estimate(
        value=sum(values) if values else None,
        origin=max([origin, *origins], key=ORIGINS.index) if values else NOT_MEASURED,
        extrapolated=sorted({text for part in parts for text in part.extrapolated}),
        contradicted=sorted({text for part in parts for text in part.contradicted}),
        relative_error=max((part.relative_error for part in parts), default=0.0),
        missing=sorted({text for part in parts for text in part.missing}),
    )
