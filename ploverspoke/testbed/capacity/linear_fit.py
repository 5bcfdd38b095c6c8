"""A straight line through what was measured, and whether the points bear it out."""

from collections.abc import Sequence
from typing import NamedTuple

import numpy as np

from .measured_costs import MOST_RESIDUAL

FEWEST_POINTS = 3  # through two a line always goes


class TooFewPointsError(ValueError):
    """No fit: fewer than three sizes were measured."""


class Fit(NamedTuple):
    intercept: float
    slope: float
    residual: float  # the largest distance of a point from the line, as a part of its value
    contradicted: bool


def fit(points: Sequence[tuple[float, float]], resolution: float = 0.0) -> Fit:
    """The line of least squares through (size, value), each point weighed by one over its value, since it is
    parts of the value that are judged. Raises TooFewPointsError.

    A distance below `resolution` (in the value's unit) is none: nothing finer can be read. A point of value 0
    is set against the largest value.
    """
    if len({size for size, _ in points}) < FEWEST_POINTS:
        raise TooFewPointsError(f"{len(points)} points, {FEWEST_POINTS} different sizes are wanted")
    sizes, values = (np.array(column, dtype=float) for column in zip(*points, strict=True))
    most = float(np.abs(values).max())
    if most == 0.0:
        return Fit(0.0, 0.0, 0.0, False)
    against = np.where(values == 0.0, most, np.abs(values))
    columns = np.stack([np.ones_like(sizes), sizes], axis=1) / against[:, None]
    (intercept, slope), *_ = np.linalg.lstsq(columns, values / against, rcond=None)
    apart = np.abs(intercept + slope * sizes - values)
    apart[apart <= resolution] = 0.0
    residual = float((apart / against).max())
    return Fit(float(intercept), float(slope), residual, residual > MOST_RESIDUAL)
