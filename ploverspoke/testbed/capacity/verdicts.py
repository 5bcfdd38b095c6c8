"""Verdicts on the requirements of a fleet's size."""

from collections.abc import Sequence
from typing import Final

HOLDS: Final = "holds"
OVER: Final = "over budget"
FAILS: Final = "fails"
LESSER: Final = "holds for less than asked"  # with less load than the peak's, or for a shorter time
NEAR: Final = "too close to call"  # within the limit, but not by more than the costs miss their points by
MISSING: Final = "missing"
NOT_MEASURED: Final = "not measured"
WORST_FIRST = (MISSING, FAILS, OVER, NEAR, NOT_MEASURED, LESSER, HOLDS)
UNMET = (MISSING, FAILS, OVER)


def worst(verdicts: Sequence[str]) -> str:
    """Return the worst of the verdicts, `NOT_MEASURED` where there are none."""
    return min(verdicts, key=WORST_FIRST.index) if verdicts else NOT_MEASURED
