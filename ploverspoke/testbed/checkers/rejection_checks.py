"""Checks rule 6: dispatchers report each version that they must reject, and servers list the reason."""

from .distribution_history import Acknowledgement, DistributionHistory, Publication, PublicationKind
from .finding_collector import FindingCollector
from .observed_reachability import ObservedReachability
from .time_intervals import Interval


class RejectionChecks:
    """The checks of one dispatcher after another; counts the rejections that were reported."""

    def __init__(
        self,
        history: DistributionHistory,
        reachability: ObservedReachability,
        findings: FindingCollector,
        within: int,
    ) -> None:
        """`within` is the time (ns) in which a dispatcher must report."""
        self._history = history
        self._reachability = reachability
        self._findings = findings
        self._within = within
        self.reported = 0

    def check(self, dispatcher: str, reachable: list[Interval]) -> None:
        """Check one dispatcher; `reachable` are the intervals in which it could reach the configuration."""
        by_time = sorted(self._history.acknowledged.items(), key=lambda item: (item[1], item[0]))
        for publication_id, acknowledged in by_time:
            publication = self._history.publications[publication_id]
            if publication.kind is not PublicationKind.REJECTED_BY_DISPATCHERS:
                continue
            due_at = self._due_at(acknowledged, reachable)
            if due_at is not None:
                self._check_log(dispatcher, publication, acknowledged.version, due_at)
                self._check_server_lists(dispatcher, publication, acknowledged.version, due_at)

    def _due_at(self, acknowledged: Acknowledgement, reachable: list[Interval]) -> int | None:
        """By when the dispatcher must have reported it; None if it need not."""
        # Once a later version may have been committed, the dispatcher need not look at this one.
        later = [
            self._history.sent_at[committed.id]
            for version, committed in self._history.committed.items()
            if version > acknowledged.version and committed.id in self._history.sent_at
        ]
        replaced_at = min(later, default=self._reachability.run.end)
        for interval in reachable:
            due_at = max(interval.start, acknowledged.at) + self._within
            if due_at <= min(interval.end, replaced_at):
                return due_at
        return None

    def _check_log(self, dispatcher: str, publication: Publication, version: int, due_at: int) -> None:
        is_reported = any(
            rejection.version == version and rejection.at <= due_at and publication.key in rejection.reason
            for rejection in self._history.rejections[dispatcher]
        )
        if is_reported:
            self.reported += 1
        else:
            event = f"version {version} is rejected for {publication.key}"
            text = f"{dispatcher} did not report in time that {event}"
            self._findings.add("unreported", dispatcher, text, due_at)

    def _check_server_lists(
        self, dispatcher: str, publication: Publication, version: int, since: int
    ) -> None:
        """Servers that were asked afterwards name the key, too."""
        rows = [
            row for row in self._history.watcher_rows if row.at >= since and row.rejects(dispatcher, version)
        ]
        if rows and not any(publication.key in row.reason() for row in rows):
            text = f"servers do not list that {dispatcher} rejected version {version} for {publication.key}"
            self._findings.add("unlisted", dispatcher, f"{text}: {rows[0].row}", since)
