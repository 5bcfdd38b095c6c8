"""Two results side by side: the difference for each seed that both have, and its interval."""

from math import sqrt
from statistics import fmean, stdev
from typing import NamedTuple

from ..scenarios.experiment_runner import Result

# Two-sided 95% of Student's t, by degrees of freedom; past the last the normal distribution's.
STUDENT = (
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
NORMAL = 1.96


class Difference(NamedTuple):
    what: str
    one: float
    other: float
    by: float  # other less one, the mean over the pairs
    margin: float  # half of the 95% interval; infinite with a single pair
    pairs: int

    def is_clear(self) -> bool:
        """Whether the interval leaves out no difference at all."""
        return abs(self.by) > self.margin


def difference(what: str, pairs: list[tuple[float, float]]) -> Difference:
    one, other = fmean(a for a, _ in pairs), fmean(b for _, b in pairs)
    margin = float("inf")
    if len(pairs) > 1:
        degrees = len(pairs) - 1
        factor = STUDENT[degrees - 1] if degrees <= len(STUDENT) else NORMAL
        margin = factor * stdev(b - a for a, b in pairs) / sqrt(len(pairs))
    return Difference(what, one, other, other - one, margin, len(pairs))


def compare_results(
    one: Result, other: Result, policy_one: str = "ours", policy_other: str = "ours"
) -> list[Difference]:
    """Service in all and by grade; empty where no seed is in both."""
    left = {r.seed: r for r in one.of(policy_one) if not r.void}
    right = {r.seed: r for r in other.of(policy_other) if not r.void}
    seeds = [s for s in left if s in right]
    if not seeds:
        return []
    rows = [difference("service", [(left[s].service, right[s].service) for s in seeds])]
    for grade in left[seeds[0]].grades:
        if grade in right[seeds[0]].grades:
            pairs = [(left[s].grades[grade].service, right[s].grades[grade].service) for s in seeds]
            rows.append(difference(f"service of {grade}", pairs))
            waits = [
                (left[s].grades[grade].waits_ms["p99"], right[s].grades[grade].waits_ms["p99"]) for s in seeds
            ]
            rows.append(difference(f"p99 wait of {grade}, ms", waits))
    rows.append(difference("broken rules", [(left[s].broken_rules, right[s].broken_rules) for s in seeds]))
    return rows
