"""Verdicts on the requirements of a fleet."""

from collections.abc import Sequence
from typing import Final

HOLDS: Final = "holds"
OVER: Final = "over budget"
FAILS: Final = "fails"
LESSER: Final = "holds for less than asked"  # shown only below the load of the peak, or for a shorter time
# Within the limit, but by less than the error of the fits.
NEAR: Final = "too close to call"
MISSING: Final = "missing"
NOT_MEASURED: Final = "not measured"
WORST_FIRST = (MISSING, FAILS, OVER, NEAR, NOT_MEASURED, LESSER, HOLDS)
UNMET = (MISSING, FAILS, OVER)


def worst_verdict(verdicts: Sequence[str]) -> str:
    """Return the worst of the verdicts, or `NOT_MEASURED` if there are none."""
    return min(verdicts, key=WORST_FIRST.index) if verdicts else NOT_MEASURED
