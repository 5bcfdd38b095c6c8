"""Verdicts on the requirements of a fleet."""

from collections.abc import Sequence
from typing import Final

HOLDS: Final = "holds"
OVER_BUDGET: Final = "over budget"
FAILS: Final = "fails"
# Shown only below the load of the peak, or for a shorter time.
HOLDS_FOR_LESS: Final = "holds for less than asked"
# Within the limit, but by less than the error of the fits.
TOO_CLOSE: Final = "too close to call"
MISSING: Final = "missing"
NOT_MEASURED: Final = "not measured"
WORST_FIRST = (MISSING, FAILS, OVER_BUDGET, TOO_CLOSE, NOT_MEASURED, HOLDS_FOR_LESS, HOLDS)
UNMET = (MISSING, FAILS, OVER_BUDGET)


def worst_verdict(verdicts: Sequence[str]) -> str:
    """Return the worst of the verdicts, or `NOT_MEASURED` if there are none."""
    return min(verdicts, key=WORST_FIRST.index) if verdicts else NOT_MEASURED
