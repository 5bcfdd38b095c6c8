"""A part: one size of one role, varied; what it gives is lines, and the worlds that were void."""

from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

from ..linear_fit import TooFewPointsError, fit
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
GROWTH_RESOLUTION = 4096.0  # a page a second

Say = Callable[[str], None]


class MeasurementResult(NamedTuple):
    lines: list[CostPerUnit]
    void: list[str]  # a line each


class MeasurementRequest(NamedTuple):
    """How a part is to be measured."""

    say: Say
    quick: bool = False
    together: bool = True  # small worlds side by side


class Measurement(NamedTuple):
    roles: tuple[str, ...]  # that it gives lines of
    size: str
    measure: Callable[[MeasurementRequest], Awaitable[MeasurementResult]]

    def name(self) -> str:
        return f"{self.roles[0]}/{self.size}"


def unit_of(figure: str) -> str:
    if figure in UNITS:
        return UNITS[figure]
    for prefix in ("follower_", "children_"):
        if figure.startswith(prefix):
            return unit_of(figure.removeprefix(prefix))
    return "messages a second" if "messages" in figure else "bytes a second"


def cost_lines(
    role: str,
    size: str,
    found: Sequence[tuple[float, dict[str, float]]],
    how: str,
    still: dict[str, float],
    note: str = "",
) -> list[CostPerUnit]:
    """One line a figure, where there are points enough; none else."""
    lines = []
    for figure in dict.fromkeys(key for _, figures in found for key in figures):
        points = [(at, figures[figure]) for at, figures in found if figure in figures]
        try:
            line = fit(points, GROWTH_RESOLUTION if figure == "memory_growth_bytes" else 0.0)
        except TooFewPointsError:
            continue
        lines.append(
            CostPerUnit(
                role=role,
                figure=figure,
                size=size,
                unit=unit_of(figure),
                points=points,
                intercept=line.intercept,
                slope=line.slope,
                residual=line.residual,
                contradicted=line.contradicted,
                measured_to=max(at for at, _ in points),
                still=still,
                how=how,
                note=note,
            )
        )
    return lines
