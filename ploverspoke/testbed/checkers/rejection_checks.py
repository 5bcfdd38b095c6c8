"""Checks rule 6: dispatchers report each version that they must reject, and servers list the reason."""

from .distribution_history import Acknowledgement, DistributionHistory, Publication, PublicationKind
from .finding_collector import FindingCollector
from .observed_reachability import ObservedReachability
from .time_intervals import Interval


class RejectionChecks:
    """Checks dispatchers one by one, and counts the rejections that they reported."""

    def __init__(
        self,
        history: DistributionHistory,
        reachability: ObservedReachability,
        findings: FindingCollector,
        time_limit: int,
    ) -> None:
        """`time_limit` is the time (ns) in which a dispatcher must report."""
        self._history = history
        self._reachability = reachability
        self._findings = findings
        self._time_limit = time_limit
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
        """The time by which the dispatcher must have reported the rejection; None if it need not."""
        # Once a later version may have been committed, the dispatcher need not look at this one.
        later_sent_at = [
            self._history.sent_at[committed.id]
            for version, committed in self._history.committed.items()
            if version > acknowledged.version and committed.id in self._history.sent_at
        ]
        replaced_at = min(later_sent_at, default=self._reachability.run.end)
        for interval in reachable:
            due_at = max(interval.start, acknowledged.at) + self._time_limit
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
        """Rows that servers list afterwards must name the key as well."""
        rows = [
            row for row in self._history.watcher_rows if row.at >= since and row.rejects(dispatcher, version)
        ]
        if rows and not any(publication.key in row.reason() for row in rows):
            text = f"servers do not list that {dispatcher} rejected version {version} for {publication.key}"
            self._findings.add("unlisted", dispatcher, f"{text}: {rows[0].row}", since)
