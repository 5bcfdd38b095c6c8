"""Measured costs of each role per unit of load, and the file that stores them.

    value of a metric = intercept + sum of slope x load, over the loads that were varied

The file stores the measured points together with each fit. A fit that its points contradict is kept and
marked. The encoded names are those of the file.
"""

from pathlib import Path

import msgspec

from .stored_file import read_stored_file

FORMAT = 1
MAX_RESIDUAL = 0.15  # share of the value at a point; with a larger residual the points contradict the fit


class CostPerUnit(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    rename={
        "metric": "figure",
        "load": "size",
        "max_load": "measured_to",
        "fixed_amounts": "still",
        "method": "how",
    },
):
    """One metric of one role against one load: the fit and its points."""

    role: str  # "dispatcher", "keeper", "store replica", "discovery", "worker", ...
    metric: str  # "core_share", "memory_bytes", "bytes_in", "bytes_out", "messages_in", "messages_out"
    load: str  # the load that was varied: "workers_listed", "tasks_running", "starts_a_second", ...
    unit: str  # of the metric: "cores", "bytes", "bytes a second", "messages a second"
    points: list[tuple[float, float]]  # (load, value), as measured
    intercept: float
    slope: float
    residual: float  # the largest distance of a point from the line, as a share of the measured value
    contradicted: bool  # whether the residual is over MAX_RESIDUAL
    max_load: float  # the largest load that was measured
    fixed_amounts: dict[str, float] = {}  # the other loads, constant while this one was varied
    method: str = ""  # a short description of how the metric was read
    note: str = ""  # caveats: other load on the machine, void runs


class MeasuredCosts(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    rename={"date": "at", "commit": "text"},
):
    """All measured costs, as stored in the file."""

    format: int
    date: str  # ISO 8601, such as 2026-12-02
    commit: str  # the commit that was measured
    machine: str  # number of cores and size of memory, no host name
    lines: list[CostPerUnit]

    def lines_of(self, role: str, metric: str) -> list[CostPerUnit]:
        """Return the costs of one metric of one role, one for each load that was varied."""
        return [line for line in self.lines if (line.role, line.metric) == (role, metric)]


def read_measured_costs(path: Path) -> MeasuredCosts:
    """Read a file of costs. Raises StoredFileError."""
    return read_stored_file(path, MeasuredCosts, "slopes", FORMAT)


def write_measured_costs(costs: MeasuredCosts, path: Path) -> None:
    """Write a file of costs."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(costs)) + b"\n")
