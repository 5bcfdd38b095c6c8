"""Measurements: one load of one role is varied; the results are costs and the runs that were void."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

from ..linear_fit import TooFewPointsError, fit_line
from ..measured_costs import CostPerUnit

UNITS = {
    "core_share": "cores",
    "memory_bytes": "bytes",
    "memory_growth_bytes": "bytes a second",
    "connections": "connections",
    "connections_made": "connections a second",
    "probes": "probes a second",
    "seconds": "seconds",
    "snapshot_seconds": "seconds",
    "load_seconds": "seconds",
    "disk_bytes": "bytes",
    "processor_seconds": "seconds",
    "memory_peak_bytes": "bytes",
    "bytes_sent": "bytes",
    "messages_after_restart": "messages",
    "bytes_after_restart": "bytes",
}
PREFIXES = ("follower_", "children_")  # of metrics that have the unit of the rest of their name
GROWTH_METRIC = "memory_growth_bytes"
GROWTH_RESOLUTION = 4096.0  # bytes a second: a page of memory
FOLDER_PREFIX = "ploverspoke-slopes-"  # of the temporary folder of a run
SEED = 1
NOT_READY = "not ready in time"


class MeasurementResult(NamedTuple):
    """Costs, and a line for each run that was void."""

    lines: list[CostPerUnit]
    void: list[str]

    def plus(self, other: "MeasurementResult") -> "MeasurementResult":
        """Return both results as one."""
        return MeasurementResult([*self.lines, *other.lines], [*self.void, *other.void])


NO_RESULT = MeasurementResult([], [])


class MeasurementRequest(NamedTuple):
    """How to measure."""

    say: Callable[[str], None]  # reports progress
    quick: bool = False
    together: bool = True  # small fleets side by side


class Measurement(NamedTuple):
    """One load of one role, and how its costs are measured."""

    roles: tuple[str, ...]  # that the results are about
    load: str
    measure: Callable[[MeasurementRequest], Awaitable[MeasurementResult]]

    def name(self) -> str:
        """Return the name that the command line takes."""
        return f"{self.roles[0]}/{self.load}"


class Interval(NamedTuple):
    """The time of a run in which is measured, in seconds."""

    settled: int  # until it begins
    lasts: int

    @property
    def end(self) -> int:
        """When it ends, from the start of the run."""
        return self.settled + self.lasts


class MeasuredLoad(NamedTuple):
    """What was varied, and what was not."""

    role: str
    load: str
    method: str  # how the metrics were read
    fixed_amounts: dict[str, float]
    note: str = ""
    fleet: str = ""  # in which of several fleets, for the lines of void runs


class Point(NamedTuple):
    """One run: the load as it was, and the metrics."""

    load: float
    metrics: dict[str, float]
    void: str = ""  # why the run proves nothing; empty where it does


async def run_points(runs: Sequence[Awaitable[Point]], request: MeasurementRequest) -> list[Point]:
    """Run side by side or in turn, as the request says."""
    if request.together:
        return list(await asyncio.gather(*runs))
    return [await run for run in runs]


def result_of(measured: MeasuredLoad, points: Sequence[Point]) -> MeasurementResult:
    """Fit lines through the points that are not void; void ones are named, in the notes of the lines too."""
    fleet = f", {measured.fleet}" if measured.fleet else ""
    void = [
        f"{measured.role}, {measured.load} {point.load:g}{fleet}: {point.void}"
        for point in points
        if point.void
    ]
    note = "; ".join(text for text in (*(f"void: {text}" for text in void), measured.note) if text)
    values = [(point.load, point.metrics) for point in points if not point.void]
    return MeasurementResult(cost_lines(measured._replace(note=note), values), void)


def cost_lines(measured: MeasuredLoad, points: Sequence[tuple[float, dict[str, float]]]) -> list[CostPerUnit]:
    """Fit a line for each metric with enough points; `points` are loads with their metrics."""
    names = dict.fromkeys(name for _, metrics in points for name in metrics)
    lines = []
    for name in names:
        values = [(load, metrics[name]) for load, metrics in points if name in metrics]
        try:
            lines.append(_cost_line(measured, name, values))
        except TooFewPointsError:
            continue
    return lines


def _cost_line(measured: MeasuredLoad, metric: str, points: list[tuple[float, float]]) -> CostPerUnit:
    fit = fit_line(points, GROWTH_RESOLUTION if metric == GROWTH_METRIC else 0.0)
    return CostPerUnit(
        role=measured.role,
        metric=metric,
        load=measured.load,
        unit=unit_of(metric),
        points=points,
        intercept=fit.intercept,
        slope=fit.slope,
        residual=fit.residual,
        contradicted=fit.contradicted,
        max_load=max(load for load, _ in points),
        fixed_amounts=measured.fixed_amounts,
        method=measured.method,
        note=measured.note,
    )


def unit_of(metric: str) -> str:
    """Return the unit of a metric."""
    if metric in UNITS:
        return UNITS[metric]
    for prefix in PREFIXES:
        if metric.startswith(prefix):
            return unit_of(metric.removeprefix(prefix))
    return "messages a second" if "messages" in metric else "bytes a second"
