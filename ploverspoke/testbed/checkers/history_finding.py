"""A violation that a checker found in a history."""

from typing import NamedTuple


class HistoryFinding(NamedTuple):
    """What was violated, and when."""

    text: str
    at: int  # ns of the machine's monotonic clock
