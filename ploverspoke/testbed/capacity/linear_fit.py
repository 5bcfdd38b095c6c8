"""Weighted linear fits through measured points, with a check whether the points contradict the line."""

from collections.abc import Sequence
from typing import NamedTuple

import numpy as np

from .measured_costs import MAX_RESIDUAL

MIN_POINTS = 3  # a line through two points always fits


class TooFewPointsError(ValueError):
    """No fit is possible: fewer than MIN_POINTS different loads were measured."""

    def __init__(self, points: int) -> None:
        """`points` is the number of measured points."""
        super().__init__(f"{points} points; a fit needs {MIN_POINTS} different loads")
        self.points = points


class LinearFit(NamedTuple):
    """A line through points; the residual is the largest distance of a point, as a share of its value."""

    intercept: float
    slope: float
    residual: float
    contradicted: bool  # whether the residual is over MAX_RESIDUAL


def fit_line(points: Sequence[tuple[float, float]], resolution: float = 0.0) -> LinearFit:
    """Fit a line through (load, value) by least squares, each point weighted by the inverse of its value.

    A distance of up to `resolution` (in the unit of the value) counts as 0. A point of value 0 is weighted by
    the inverse of the largest value. Raises TooFewPointsError.
    """
    if len({load for load, _ in points}) < MIN_POINTS:
        raise TooFewPointsError(len(points))
    load_amounts, values = (np.array(column, dtype=float) for column in zip(*points, strict=True))
    largest = float(np.abs(values).max())
    if largest == 0.0:
        return LinearFit(0.0, 0.0, 0.0, False)
    scale = np.where(values == 0.0, largest, np.abs(values))
    columns = np.stack([np.ones_like(load_amounts), load_amounts], axis=1) / scale[:, None]
    (intercept, slope), *_ = np.linalg.lstsq(columns, values / scale, rcond=None)
    distances = np.abs(intercept + slope * load_amounts - values)
    distances[distances <= resolution] = 0.0
    residual = float((distances / scale).max())
    return LinearFit(float(intercept), float(slope), residual, residual > MAX_RESIDUAL)
