"""Distributions of durations; the key `law` of the file selects one."""

import math

import numpy as np
import numpy.typing as npt

from .durations import SECOND, Duration
from .experiment_table import ExperimentTable

SHAPE_REASON = "shape must be more than 1; otherwise the distribution has no mean"
Samples = npt.NDArray[np.float64]


class Fixed(ExperimentTable, tag="fixed", tag_field="law", frozen=True, kw_only=True):
    """A constant duration."""

    mean: Duration

    def sample(self, generator: np.random.Generator, count: int) -> Samples:
        """Return `count` durations in ns."""
        return np.full(count, float(self.mean))


class Exponential(ExperimentTable, tag="exponential", tag_field="law", frozen=True, kw_only=True):
    """Exponentially distributed durations."""

    mean: Duration

    def sample(self, generator: np.random.Generator, count: int) -> Samples:
        """Draw `count` durations in ns."""
        return generator.exponential(self.mean, count)


class Lognormal(ExperimentTable, tag="lognormal", tag_field="law", frozen=True, kw_only=True):
    """Durations whose logarithm is normally distributed."""

    mean: Duration
    sigma: float = 0.5  # standard deviation of the logarithm

    def sample(self, generator: np.random.Generator, count: int) -> Samples:
        """Draw `count` durations in ns."""
        return generator.lognormal(math.log(self.mean) - self.sigma**2 / 2, self.sigma, count)


class Pareto(
    ExperimentTable,
    tag="pareto",
    tag_field="law",
    frozen=True,
    kw_only=True,
    rename={"maximum": "at_most"},
):
    """Heavy-tailed durations: P(X > x) falls as x to the power of -shape for x above the minimum."""

    mean: Duration  # before samples are capped at the maximum
    shape: float = 2.5
    maximum: Duration = Duration(60 * SECOND)

    def __post_init__(self) -> None:
        """Check that the distribution has a mean."""
        if self.shape <= 1:
            raise ValueError(SHAPE_REASON)

    def sample(self, generator: np.random.Generator, count: int) -> Samples:
        """Draw `count` durations in ns."""
        minimum = self.mean * (self.shape - 1) / self.shape
        return np.minimum(minimum * (1 + generator.pareto(self.shape, count)), self.maximum)


Distribution = Fixed | Exponential | Lognormal | Pareto
