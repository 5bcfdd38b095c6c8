"""Measurements of one role while one of its loads is varied; they yield costs and a list of void runs."""

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
# Prefixes of metrics whose unit is that of the metric named by the rest of the name.
INHERITED_UNIT_PREFIXES = ("follower_", "children_")
GROWTH_METRIC = "memory_growth_bytes"
GROWTH_RESOLUTION = 4096.0  # bytes a second; one page of memory
FOLDER_PREFIX = "ploverspoke-slopes-"  # prefix of the temporary folder of a run
SEED = 1
NOT_READY = "not ready in time"


class MeasurementResult(NamedTuple):
    """Measured costs, and a text for each void run."""

    lines: list[CostPerUnit]
    void: list[str]

    def plus(self, other: "MeasurementResult") -> "MeasurementResult":
        """Return a result that combines both."""
        return MeasurementResult([*self.lines, *other.lines], [*self.void, *other.void])


NO_RESULT = MeasurementResult([], [])


class MeasurementRequest(NamedTuple):
    """Options of a measurement."""

    report_progress: Callable[[str], None]
    quick: bool = False  # use shorter intervals
    in_parallel: bool = True  # run small fleets at the same time


class Measurement(NamedTuple):
    """A load of one role or of several, and the function that measures its costs."""

    roles: tuple[str, ...]  # the roles whose costs are measured
    load: str
    measure: Callable[[MeasurementRequest], Awaitable[MeasurementResult]]

    def name(self) -> str:
        """Return the name of the measurement on the command line."""
        return f"{self.roles[0]}/{self.load}"


class Interval(NamedTuple):
    """The interval of a run in which metrics are measured."""

    settling_s: int  # from the start of the run to the start of the interval
    duration_s: int

    @property
    def end_s(self) -> int:
        """The end of the interval, from the start of the run."""
        return self.settling_s + self.duration_s


class MeasuredLoad(NamedTuple):
    """The load that was varied, and the conditions of the measurement."""

    role: str
    load: str
    method: str  # how the metrics were read
    fixed_amounts: dict[str, float]  # the loads that were kept constant
    note: str = ""
    fleet: str = ""  # names the fleet in the texts of void runs, if there are several


class Point(NamedTuple):
    """One run: the observed amount of the load, and the metrics."""

    load: float
    metrics: dict[str, float]
    void: str = ""  # why the run is void; empty if it is valid


async def run_points(runs: Sequence[Awaitable[Point]], request: MeasurementRequest) -> list[Point]:
    """Run all points, in parallel or one after another, as the request says."""
    if request.in_parallel:
        return list(await asyncio.gather(*runs))
    return [await run for run in runs]


def make_result(measured: MeasuredLoad, points: Sequence[Point]) -> MeasurementResult:
    """Fit lines through the points that are not void.

    Void points are listed in the result, and in the notes of the lines.
    """
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
    """Fit a line for each metric with enough points; `points` are pairs of a load and its metrics."""
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
    for prefix in INHERITED_UNIT_PREFIXES:
        if metric.startswith(prefix):
            return unit_of(metric.removeprefix(prefix))
    return "messages a second" if "messages" in metric else "bytes a second"
