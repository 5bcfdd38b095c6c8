"""Compares two results by paired differences of the seeds that both have, with confidence intervals."""

from math import sqrt
from statistics import fmean, stdev
from typing import NamedTuple

from .experiment_result import OWN_POLICY, Result

# Two-sided 95% quantiles of Student's t distribution, for 1 to 15 degrees of freedom.
STUDENT_T_95 = (
    12.706,
    4.303,
    3.182,
    2.776,
    2.571,
    2.447,
    2.365,
    2.306,
    2.262,
    2.228,
    2.201,
    2.179,
    2.160,
    2.145,
    2.131,
)
NORMAL_95 = 1.96  # quantile of the normal distribution, used for more degrees of freedom


class Difference(NamedTuple):
    """One metric of two results: both means, and the mean of second minus first with its interval."""

    metric: str
    first: float
    second: float
    mean: float
    margin: float  # half of the 95% interval; infinite with a single pair
    pairs: int

    def is_clear(self) -> bool:
        """Whether the interval excludes zero."""
        return abs(self.mean) > self.margin


def paired_difference(metric: str, pairs: list[tuple[float, float]]) -> Difference:
    """Estimate the mean difference of paired samples (Student's paired t interval)."""
    first, second = fmean(a for a, _ in pairs), fmean(b for _, b in pairs)
    margin = float("inf")
    if len(pairs) > 1:
        degrees = len(pairs) - 1
        quantile = STUDENT_T_95[degrees - 1] if degrees <= len(STUDENT_T_95) else NORMAL_95
        margin = quantile * stdev(b - a for a, b in pairs) / sqrt(len(pairs))
    return Difference(metric, first, second, second - first, margin, len(pairs))


def compare_results(
    first: Result, second: Result, first_policy: str = OWN_POLICY, second_policy: str = OWN_POLICY
) -> list[Difference]:
    """Compare service (total and by class), p99 latency and broken rules; empty without common seeds."""
    first_runs = {run.seed: run for run in first.runs_of(first_policy) if not run.void}
    second_runs = {run.seed: run for run in second.runs_of(second_policy) if not run.void}
    pairs = [(first_runs[seed], second_runs[seed]) for seed in first_runs if seed in second_runs]
    if not pairs:
        return []
    rows = [paired_difference("service", [(a.service, b.service) for a, b in pairs])]
    for name in pairs[0][0].request_classes:
        if name not in pairs[0][1].request_classes:
            continue
        scores = [(a.request_classes[name], b.request_classes[name]) for a, b in pairs]
        rows.append(paired_difference(f"service of {name}", [(a.service, b.service) for a, b in scores]))
        latencies = [(a.latencies_ms["p99"], b.latencies_ms["p99"]) for a, b in scores]
        rows.append(paired_difference(f"p99 latency of {name}, ms", latencies))
    rows.append(paired_difference("broken rules", [(a.broken_rules, b.broken_rules) for a, b in pairs]))
    return rows
