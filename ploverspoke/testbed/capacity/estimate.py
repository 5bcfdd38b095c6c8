"""One figure of one role at given sizes, from measured lines: its value, where that comes from, and how far
the lines were stretched.

    value = base + sum of slope x size, over the sizes along which the figure was measured

The base is what is left of a line's intercept once the other sizes that stood still while it was measured are
taken out; where lines differ on it, the largest counts. What was not measured is named, and never 0.
"""

from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from .measured_costs import CostPerUnit, MeasuredCosts
from .workload import ASSUMED, ASSUMPTIONS, Amount

PROGRESS = "progress"  # in `still` of a line: whether the tasks told their progress
VOTERS = ("keepers", "servers", "replicas")  # and how many of them there were
NOT_MEASURED = "not measured"
MOST_STRETCH = 10.0  # times the largest measured size; a stop further away is not told
COUNTS = 0.05  # an assumed size that makes up less than this of a figure does not make it assumed


class Figure(msgspec.Struct, frozen=True, kw_only=True):
    value: float | None  # None: not measured
    origin: str  # "measured", "worked out", "assumed", "not measured"
    stretched: list[str] = []  # lines that were used beyond what was measured
    contradicted: list[str] = []  # lines that their points contradict, and what was used in place of the fit
    off_by: float = 0.0  # what the lines miss their points by, each weighed by its part of the value
    without: list[str] = []  # what was not measured and is not in the value: "bytes_in by workers_listed"


class Slope(NamedTuple):
    """What is used of a line."""

    base: float
    each: float
    contradicted: str


def used(line: CostPerUnit) -> Slope:
    """The fit; where its points contradict it, the larger of the fit and the worst measured ratio.

    A fit that falls, of a figure that does not, is noise: then the highest point counts at every size.
    """
    if not line.contradicted and line.slope < 0:
        return Slope(max([line.intercept, *(value for _, value in line.points)]), 0.0, "")
    if not line.contradicted:
        return Slope(line.intercept, line.slope, "")
    base = max(0.0, line.intercept)
    ratios = [(value - base) / size for size, value in line.points if size > 0]
    worst = max([line.slope, *ratios])
    name = "the worst measured ratio" if worst > line.slope else "the fit, the larger of the two"
    told = f"{line.role}, {line.figure} by {line.size}: residual {line.residual:.0%}, {name} is used"
    return Slope(base, worst, told)


def lines_of(slopes: MeasuredCosts, role: str, figure: str, progress: bool) -> list[CostPerUnit]:
    """One line for each size. Of several the one with progress reports as asked for; then the one beside
    which most of all else stood: five keepers in place of three, 170 teams in place of one.
    """
    found: dict[str, CostPerUnit] = {}

    def fits(line: CostPerUnit) -> tuple[bool, float]:
        return line.still.get(PROGRESS, float(progress)) == progress, sum(line.still.values())

    for line in slopes.of(role, figure):
        if line.size not in found or fits(line) > fits(found[line.size]):
            found[line.size] = line
    return list(found.values())


def along(line: CostPerUnit, amount: Amount) -> Figure:
    """One line by itself, all else as it stood when it was measured."""
    alone = MeasuredCosts(
        format=0, at="", text="", machine="", lines=[msgspec.structs.replace(line, still={})]
    )
    return estimate(alone, line.role, line.figure, {line.size: amount})


def estimate(
    slopes: MeasuredCosts, role: str, figure: str, sizes: Mapping[str, Amount], progress: bool = True
) -> Figure:
    """`sizes` are what the role meets; a size of 0 need not have been measured."""
    lines = lines_of(slopes, role, figure, progress)
    if not lines:
        return Figure(value=None, origin=NOT_MEASURED)
    slope = {line.size: used(line) for line in lines}
    # What is not there adds nothing, neither does the world in which it was measured.
    counted = [line for line in lines if (met := sizes.get(line.size)) and met.value > 0] or lines
    base = 0.0
    for line in counted:
        others = sum(slope[size].each * at for size, at in line.still.items() if size in slope)
        base = max(base, slope[line.size].base - others)
    value, assumed, off = base, 0.0, 0.0
    stretched, known = [], False
    for line in counted:
        amount = sizes.get(line.size)
        if amount is None:
            continue  # told under `without`
        value += slope[line.size].each * amount.value
        assumed += slope[line.size].each * amount.value * (amount.origin == ASSUMED)
        off += slope[line.size].each * amount.value * line.residual * (not line.contradicted)
        if amount.value > line.measured_to:
            stretched.append(f"{line.size}: measured to {line.measured_to:g}, used at {amount.value:.4g}")
        for name in VOTERS:
            if (there := line.still.get(name)) is not None and there < ASSUMPTIONS["voters"].value:
                stretched.append(f"{name}: measured to {there:g}, used at {ASSUMPTIONS['voters'].value:g}")
        known = known or any(at == amount.value for at, _ in line.points)
    unknown = [size for size, amount in sizes.items() if amount.value > 0 and size not in slope]
    unknown += [f"{line.size}, which this table does not know" for line in lines if line.size not in sizes]
    without = [f"{figure} by {size}" for size in unknown]
    straight = len(counted) == 1 and known and not slope[counted[0].size].contradicted
    if straight:
        value = next(v for at, v in counted[0].points if at == sizes[counted[0].size].value)
    origin = "assumed" if value and assumed > COUNTS * value else "measured" if straight else "worked out"
    contradicted = [told for line in counted if (told := slope[line.size].contradicted)]
    return Figure(
        value=value,
        origin=origin,
        stretched=list(dict.fromkeys(stretched)),
        contradicted=contradicted,
        off_by=0.0 if straight or not value else off / value,
        without=without,
    )


def stops_at(
    slopes: MeasuredCosts,
    role: str,
    figure: str,
    sizes: Mapping[str, Amount],
    size: str,
    limit: float,
    progress: bool = True,
) -> float | None:
    """The size at which the figure reaches its limit, the others as given.

    None: not measured, or further than MOST_STRETCH times what was measured, of which nothing is known.
    """
    line = next((one for one in lines_of(slopes, role, figure, progress) if one.size == size), None)
    if line is None or (each := used(line).each) <= 0:
        return None
    rest = estimate(slopes, role, figure, {**sizes, size: Amount(0, ASSUMED)}, progress)
    stop = None if rest.value is None else max(0.0, (limit - rest.value) / each)
    return stop if stop is not None and stop <= MOST_STRETCH * line.measured_to else None


def total(parts: list[Figure]) -> Figure:
    """The sum of figures of one kind; what was not measured of one is named."""
    values = [one.value for one in parts if one.value is not None]
    order = ["measured", "worked out", "assumed"]
    origins = [one.origin for one in parts if one.value is not None]
    origin = "worked out" if len(values) > 1 else "measured"
    origin = max([origin, *origins], key=order.index) if values else NOT_MEASURED
    return Figure(
        value=sum(values) if values else None,
        origin=origin,
        stretched=sorted({text for one in parts for text in one.stretched}),
        contradicted=sorted({text for one in parts for text in one.contradicted}),
        off_by=max((one.off_by for one in parts), default=0.0),
        without=sorted({text for one in parts for text in one.without}),
    )
