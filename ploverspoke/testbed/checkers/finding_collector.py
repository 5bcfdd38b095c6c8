"""Collects findings, and keeps only the first of each kind about each process or publication."""

from .history_finding import HistoryFinding


class FindingCollector:
    """Keeps the first finding of each kind about each subject."""

    def __init__(self) -> None:
        """Start without findings."""
        self._findings: dict[tuple[str, str], HistoryFinding] = {}

    def add(self, kind: str, subject: str, text: str, at: int) -> None:
        """Add a finding about `subject`, a process or publication, at `at` (ns)."""
        self._findings.setdefault((kind, subject), HistoryFinding(text, at))

    def sorted(self) -> list[HistoryFinding]:
        """The findings in order of time."""
        return sorted(self._findings.values(), key=lambda finding: finding.at)
