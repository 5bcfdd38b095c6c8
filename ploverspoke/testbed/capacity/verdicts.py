"""What a row comes to."""

from collections.abc import Sequence
from typing import Final

HOLDS: Final = "holds"
OVER: Final = "over budget"
FAILS: Final = "fails"
LESSER: Final = "holds for less than asked"  # a lesser load than the peak's, or a shorter time
NEAR: Final = "too close to call"  # within, but for what its lines miss their points by
MISSING: Final = "missing"
NOT_MEASURED: Final = "not measured"
WORST_FIRST = (MISSING, FAILS, OVER, NEAR, NOT_MEASURED, LESSER, HOLDS)
UNMET = (MISSING, FAILS, OVER)


def worst(verdicts: Sequence[str]) -> str:
    return min(verdicts, key=WORST_FIRST.index) if verdicts else NOT_MEASURED
