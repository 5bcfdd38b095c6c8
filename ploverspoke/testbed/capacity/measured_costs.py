"""The slopes file: what was measured of each role, one line for each figure along one size.

    value of a figure = intercept + sum of slope x size, over the sizes that the figure was measured along

The points are kept beside the fit. A fit that its points contradict is kept and called so.
"""

from pathlib import Path

import msgspec

FORMAT = 1
MOST_RESIDUAL = 0.15  # of the value at a point; over that the fit is contradicted


class CostFileError(ValueError):
    """The file holds no slopes of this format; the text says why."""


class CostPerUnit(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One figure of one role against one size."""

    role: str  # "dispatcher", "keeper", "store replica", "discovery", "worker", ...
    figure: str  # "core_share", "memory_bytes", "bytes_in", "bytes_out", "messages_in", "messages_out"
    size: str  # what was varied: "workers_listed", "tasks_running", "starts_a_second", ...
    unit: str  # of the figure: "cores", "bytes", "bytes a second", "messages a second"
    points: list[tuple[float, float]]  # (size, figure), as measured
    intercept: float
    slope: float
    residual: float  # the largest, as a part of the measured value
    contradicted: bool  # residual over MOST_RESIDUAL
    measured_to: float  # the largest size that was measured
    still: dict[str, float] = {}  # the other sizes, while this one was varied
    how: str = ""  # where the figure was read, in a few words
    note: str = ""  # what is to be known of it: other load, failed tries


class MeasuredCosts(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    format: int
    at: str  # the day, as 2026-12-02
    text: str  # the commit that was measured
    machine: str  # cores and memory, no names
    lines: list[CostPerUnit]

    def of(self, role: str, figure: str) -> list[CostPerUnit]:
        return [line for line in self.lines if (line.role, line.figure) == (role, figure)]


def read_measured_costs(path: Path) -> MeasuredCosts:
    """Raises CostFileError."""
    try:
        found: MeasuredCosts = msgspec.json.decode(path.read_bytes(), type=MeasuredCosts)
    except OSError as error:
        raise CostFileError(f"{path}: {error.strerror}") from None
    except msgspec.DecodeError as error:
        raise CostFileError(f"{path}: no slopes: {error}") from None
    if found.format != FORMAT:
        raise CostFileError(f"{path}: format {found.format}, this version reads {FORMAT}")
    return found


def write_measured_costs(slopes: MeasuredCosts, path: Path) -> None:
    path.write_bytes(msgspec.json.format(msgspec.json.encode(slopes)) + b"\n")
