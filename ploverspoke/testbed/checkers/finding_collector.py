"""Collects findings, the first of each kind at each place."""

from .history_finding import HistoryFinding


class FindingCollector:
    """Keeps a finding unless there is one of its kind at its place already."""

    def __init__(self) -> None:
        """Start without findings."""
        self._findings: dict[tuple[str, str], HistoryFinding] = {}

    def add(self, kind: str, place: str, text: str, at: int) -> None:
        """Add a finding; `place` is the process or publication that it is about, `at` in ns."""
        self._findings.setdefault((kind, place), HistoryFinding(text, at))

    def sorted(self) -> list[HistoryFinding]:
        """The findings in order of time."""
        return sorted(self._findings.values(), key=lambda finding: finding.at)
