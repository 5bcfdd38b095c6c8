"""Checks what servers accepted and committed: rule 5, and what they must reject by rule 6."""

from bisect import bisect_left
from collections import defaultdict
from itertools import accumulate

from .distribution_history import (
    NO_EXPECTED_VERSION,
    DistributionHistory,
    ListedVersion,
    PublicationKind,
    PublishReply,
)
from .finding_collector import FindingCollector

SHOWN_DIGEST_LENGTH = 8  # characters


class CommittedVersionChecks:
    """The checks that do not depend on which faults were applied."""

    def __init__(self, history: DistributionHistory, findings: FindingCollector) -> None:
        """Add findings to the collector."""
        self._history = history
        self._findings = findings

    def check(self) -> None:
        """Run all checks."""
        for at, reply in self._history.replies:
            self._check_reply(at, reply)
        for at, server, listed in self._history.listings:
            self._check_listing(at, server, listed)
        for at, server in self._history.empty_starts:
            self._findings.add("empty", server, f"{server} serves with an empty folder, without --new", at)
        self._check_committed_twice()
        self._check_lost()
        self._check_increasing_numbers()
        self._check_expected_versions()
        self._check_rejected_and_committed()

    # ---- Replies and listings of servers ----

    def _check_reply(self, at: int, reply: PublishReply) -> None:
        publication = self._history.publications[reply.id]
        must_reject = publication.kind is PublicationKind.REJECTED_BY_SERVERS
        if reply.is_done:
            first = self._history.acknowledged[reply.id]
            if first.version != reply.version:
                text = f"{reply.id} was acknowledged as version {first.version} and as {reply.version}"
                self._findings.add("twice", reply.id, text, at)
            if must_reject:
                text = f"{reply.server} accepted {reply.id}, whose {publication.key} servers must reject"
                self._findings.add("accepted", reply.id, text, at)
        elif must_reject and reply.is_certain and publication.key not in reply.reason:
            text = f"{reply.server} rejects {reply.id} and does not name {publication.key}: {reply.reason!r}"
            self._findings.add("unnamed", reply.id, text, at)

    def _check_listing(self, at: int, server: str, listed: list[ListedVersion]) -> None:
        last = 0
        for version, digest, _, publication_id in listed:
            if version <= last:
                self._findings.add("order", server, f"{server} lists version {version} behind {last}", at)
            last = version
            first = self._history.committed[version]
            if (digest, publication_id) != first:
                text = (
                    f"{server} lists version {version} as {publication_id} ({digest[:SHOWN_DIGEST_LENGTH]}), "
                    f"and it was {first.id} ({first.digest[:SHOWN_DIGEST_LENGTH]})"
                )
                self._findings.add("changed", server, text, at)

    # ---- Committed versions ----

    def _check_committed_twice(self) -> None:
        versions: dict[str, list[int]] = defaultdict(list)
        for version, committed in sorted(self._history.committed.items()):
            versions[committed.id].append(version)
        for publication_id, numbers in versions.items():
            if len(numbers) > 1:
                text = f"{publication_id} was committed twice: versions {numbers}"
                self._findings.add("twice", publication_id, text, self._sent_at(publication_id))

    def _check_lost(self) -> None:
        for publication_id, (at, version) in self._history.acknowledged.items():
            for server, ids in self._history.final_listings.items():
                if ids and min(ids) <= version and ids.get(version) != publication_id:
                    text = (
                        f"{publication_id} was acknowledged as version {version} and is lost: "
                        f"{server} has {ids.get(version, 'nothing')} there"
                    )
                    self._findings.add("lost", publication_id, text, at)

    def _check_increasing_numbers(self) -> None:
        """A publication that was first sent after another was acknowledged must have a higher number."""
        by_time = sorted((at, version, id_) for id_, (at, version) in self._history.acknowledged.items())
        times = [at for at, _, _ in by_time]
        highest = list(accumulate(((version, id_) for _, version, id_ in by_time), max))
        for publication_id, (at, version) in self._history.acknowledged.items():
            before = bisect_left(times, self._history.sent_at.get(publication_id, at))
            if not before:
                continue
            earlier_version, earlier_id = highest[before - 1]
            if earlier_version >= version and earlier_id != publication_id:
                text = (
                    f"{publication_id} is version {version} and began when {earlier_id} was acknowledged "
                    f"as {earlier_version}"
                )
                self._findings.add("number", publication_id, text, at)

    def _check_expected_versions(self) -> None:
        """A publication with an expected version must directly follow it, as the only one."""
        followers: dict[int, list[str]] = defaultdict(list)
        previous = 0
        for position, (version, committed) in enumerate(sorted(self._history.committed.items())):
            publication = self._history.publications.get(committed.id)
            if publication is not None and publication.expected_version > NO_EXPECTED_VERSION:
                expected = publication.expected_version
                followers[expected].append(publication.id)
                # Servers list only the latest versions: the predecessor of the first listed one is unknown.
                if previous != expected and (position or version == 1):
                    text = f"{publication.id} expected version {expected} and follows {previous} as {version}"
                    self._findings.add("expected", publication.id, text, self._sent_at(publication.id))
            previous = version
        for expected, ids in followers.items():
            if len(ids) > 1:
                text = f"{' and '.join(ids)} expected version {expected}, and all were committed"
                self._findings.add("both", str(expected), text, self._sent_at(ids[1]))

    def _check_rejected_and_committed(self) -> None:
        versions = {committed.id: version for version, committed in self._history.committed.items()}
        for at, reply in self._history.replies:
            if reply.is_certain and not reply.is_done and reply.id in versions:
                text = f"{reply.id} was rejected ({reply.reason}) and is version {versions[reply.id]}"
                self._findings.add("rejected", reply.id, text, at)

    def _sent_at(self, publication_id: str) -> int:
        return self._history.sent_at.get(publication_id, 0)
