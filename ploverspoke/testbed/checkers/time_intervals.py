"""Intervals of time, and sets of them."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple


class Interval(NamedTuple):
    """The times from `start` to `end` (ns), both included."""

    start: int
    end: int

    def contains(self, at: int) -> bool:
        """Whether the time is in it."""
        return self.start <= at <= self.end

    def length(self) -> int:
        """Its length in ns."""
        return self.end - self.start


def merge_intervals(intervals: Iterable[Interval]) -> list[Interval]:
    """The union of the intervals as disjoint intervals, in order."""
    merged: list[Interval] = []
    for interval in sorted(intervals):
        if merged and interval.start <= merged[-1].end:
            merged[-1] = Interval(merged[-1].start, max(merged[-1].end, interval.end))
        else:
            merged.append(interval)
    return merged


def subtract_intervals(whole: Interval, intervals: Iterable[Interval]) -> list[Interval]:
    """The parts of `whole` that no interval covers, in order."""
    uncovered, at = [], whole.start
    for interval in merge_intervals(intervals):
        if interval.start > at:
            uncovered.append(Interval(at, min(interval.start, whole.end)))
        at = max(at, interval.end)
    if at < whole.end:
        uncovered.append(Interval(at, whole.end))
    return [interval for interval in uncovered if interval.length() > 0]


def find_interval(intervals: Sequence[Interval], at: int) -> Interval | None:
    """The first interval that contains the time."""
    return next((interval for interval in intervals if interval.contains(at)), None)
