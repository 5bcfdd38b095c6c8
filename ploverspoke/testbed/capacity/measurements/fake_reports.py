"""Traffic counters reported by the fakes of a measured fleet, and their rates over an interval."""

from collections.abc import Sequence
from typing import Any

import numpy as np

from ...experiment_files.durations import MILLISECOND, SECOND

# Reports come four times a second; four report intervals may be this much shorter than a second.
SECOND_TOLERANCE = 20 * MILLISECOND
# Identifies the fake by a key that only its reports contain.
FAKE_BY_KEY = {"running": "workers", "answers": "clients", "version": "discovery"}
FAKES = tuple(FAKE_BY_KEY.values())
TRAFFIC = ("bytes_in", "bytes_out", "messages_in", "messages_out")

Report = dict[str, Any]  # one decoded JSON report of a fake process


class FakeReports:
    """The reports of workers, clients and discovery, in order of time.

    Times are ns from the start of the run.
    """

    def __init__(self) -> None:
        """Start without any reports."""
        self._reports: dict[str, list[Report]] = {fake: [] for fake in FAKES}

    def add(self, report: Report) -> None:
        """Store the counters of a report; reports without traffic are ignored."""
        if "traffic" not in report:
            return
        for key, fake in FAKE_BY_KEY.items():
            if key in report:
                keys = (key, "counted_at", "traffic", *(["sent"] if fake == "clients" else []))
                self._reports[fake].append({name: report[name] for name in keys})

    def latest(self, fake: str) -> Report:
        """Return the last report of these fakes. Raises IndexError if there is none."""
        return self._reports[fake][-1]

    def in_interval(self, fake: str, start: int, end: int) -> list[Report]:
        """Return the reports of these fakes from `start` to `end`."""
        return [report for report in self._reports[fake] if start <= report["counted_at"] <= end]

    def rates(self, fake: str, keys: Sequence[str], start: int, end: int) -> dict[str, float]:
        """Return the rates a second of counters, summed over all dispatchers."""
        reports = self.in_interval(fake, start, end)
        first, last = reports[0], reports[-1]
        seconds = (last["counted_at"] - first["counted_at"]) / SECOND
        return {key: (_total(last, key) - _total(first, key)) / seconds for key in keys}

    def increase(self, fake: str, key: str, start: int, end: int) -> float:
        """Return the increase of a counter, summed over all dispatchers."""
        reports = self.in_interval(fake, start, end)
        return _total(reports[-1], key) - _total(reports[0], key)

    def worst_second(self, fake: str, key: str, start: int, end: int) -> float:
        """Return the largest increase a second of a counter, summed over all dispatchers."""
        samples = [
            (report["counted_at"], _total(report, key)) for report in self.in_interval(fake, start, end)
        ]
        largest = 0.0
        for index, (at, count) in enumerate(samples):
            later = next(
                (sample for sample in samples[index:] if sample[0] - at >= SECOND - SECOND_TOLERANCE), None
            )
            if later is not None:
                largest = max(largest, (later[1] - count) * SECOND / (later[0] - at))
        return largest

    def mean(self, fake: str, key: str, start: int, end: int) -> float:
        """Return the mean of a value, summed over all dispatchers."""
        reports = self.in_interval(fake, start, end)
        return float(np.mean([_total(report, key) for report in reports]))


def increase_rate(reports: Sequence[Report], key: str) -> float:
    """Return the increase a second of a counter from the first report to the last."""
    first, last = reports[0], reports[-1]
    return float((last[key] - first[key]) / ((last["counted_at"] - first["counted_at"]) / SECOND))


def _total(report: Report, key: str) -> float:
    """Return the sum of a counter over all dispatchers."""
    return float(sum(traffic[key] for traffic in report["traffic"]))
