"""Spans of time, and sets of them."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple


class Span(NamedTuple):
    """A time from `start` to `end`, in ns; both belong to it."""

    start: int
    end: int

    def contains(self, at: int) -> bool:
        """Whether the time is in it."""
        return self.start <= at <= self.end

    def length(self) -> int:
        """Its length in ns."""
        return self.end - self.start


def merge_spans(spans: Iterable[Span]) -> list[Span]:
    """The same times as disjoint spans, in order."""
    merged: list[Span] = []
    for span in sorted(spans):
        if merged and span.start <= merged[-1].end:
            merged[-1] = Span(merged[-1].start, max(merged[-1].end, span.end))
        else:
            merged.append(span)
    return merged


def subtract_spans(whole: Span, spans: Iterable[Span]) -> list[Span]:
    """The parts of `whole` that no span covers, in order."""
    uncovered, at = [], whole.start
    for span in merge_spans(spans):
        if span.start > at:
            uncovered.append(Span(at, min(span.start, whole.end)))
        at = max(at, span.end)
    if at < whole.end:
        uncovered.append(Span(at, whole.end))
    return [span for span in uncovered if span.length() > 0]


def find_span(spans: Sequence[Span], at: int) -> Span | None:
    """The first span that contains the time."""
    return next((span for span in spans if span.contains(at)), None)
