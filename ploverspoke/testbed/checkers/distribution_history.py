"""Parses the history of a config distribution run into typed records.

A *tag* belongs to one publication: its body has the request classes gTAGa and gTAGb, and no others. Tag 0
stands for the dispatcher's own configuration file.

Details of the events, by kind: `roles` {servers, dispatchers}; `wants` a Publication; `sends` [id, server];
`answer` a PublishReply; `versions` [server, rows of ListedVersion, is final]; `probe` [dispatcher, asked at,
names of known classes, names of unknown classes]; `door` [dispatcher, asked at, line of the admin address];
`watchers` [server, rows]; `serves empty` the server's name. Dispatchers' log lines are `log` events.
"""

import re
from collections import defaultdict
from collections.abc import Iterable, Sequence
from enum import StrEnum
from typing import Any, NamedTuple

import msgspec

from ..processes.history import HistoryEvent

NO_EXPECTED_VERSION = -1  # in a publication that states none
CLASS_NAME = re.compile(r"g(\d+)([ab])")
COMPLETE = "ab"  # both classes of a tag
REJECTION_LINE = re.compile(r"config: version (\d+) rejected: (.*)")
APPLIED_LINE = re.compile(r"\+OK version (\d+) applied")


class PublicationKind(StrEnum):
    """Kinds of publications, by the processes that must reject their body."""

    VALID = "good"
    REJECTED_BY_DISPATCHERS = "refusable"
    REJECTED_BY_SERVERS = "unacceptable"


class Publication(NamedTuple):
    """A version that a publisher wants to publish."""

    id: str
    tag: int
    kind: PublicationKind
    key: str  # the configuration key that a rejection must name
    expected_version: int


class PublishReply(NamedTuple):
    """The detail of an `answer` event."""

    id: str
    server: str
    is_done: bool
    version: int
    reason: str
    is_certain: bool  # whether the server knows if it was committed


class Acknowledgement(NamedTuple):
    """The first reply that a publication is committed."""

    at: int  # ns
    version: int


class ListedVersion(NamedTuple):
    """A version as a server lists it."""

    version: int
    digest: str
    publisher: str
    id: str


class CommittedVersion(NamedTuple):
    """The publication that was committed under a version number."""

    digest: str
    id: str


class ProbeRound(NamedTuple):
    """One round of probes at a dispatcher: which classes of each tag it knows ("a", "b" or "ab")."""

    asked_at: int  # ns
    answered_at: int
    known: dict[int, str]  # by tag
    unknown: dict[int, str]  # by tag, the classes that it does not know
    incarnation: int  # of the dispatcher; -1 during a restart


class Rejection(NamedTuple):
    """A dispatcher's log line that it rejected a version."""

    at: int  # ns
    version: int
    reason: str


class AdminReply(NamedTuple):
    """The version that a dispatcher's admin address named."""

    asked_at: int  # ns
    answered_at: int
    version: int


class WatcherRow(NamedTuple):
    """A server's entry for a dispatcher that watches its configuration."""

    at: int  # ns
    row: list[Any]  # name, applied version, rejected version, reason, ...

    def rejects(self, dispatcher: str, version: int) -> bool:
        """Whether the row says that the dispatcher rejected the version."""
        return bool(self.row[0] == dispatcher and self.row[2] == version)

    def reason(self) -> str:
        """Why it rejected the version."""
        return str(self.row[3])


def classes_by_tag(class_names: Iterable[str]) -> dict[int, str]:
    """By tag, the letters of its classes that are among the names."""
    tags: dict[int, str] = {}
    for name in sorted(class_names):
        match = CLASS_NAME.fullmatch(name)
        if match is not None:
            tag = int(match[1])
            tags[tag] = tags.get(tag, "") + match[2]
    return tags


class DistributionHistory:
    """The records of publishers, probers and dispatchers."""

    def __init__(self, events: Sequence[HistoryEvent]) -> None:
        """Read the events, which are in order of time."""
        self.publications: dict[str, Publication] = {}  # by id
        self.sent_at: dict[str, int] = {}  # ns of the first attempt, by id
        self.replies: list[tuple[int, PublishReply]] = []  # with their times, ns
        self.acknowledged: dict[str, Acknowledgement] = {}  # by id
        self.listings: list[tuple[int, str, list[ListedVersion]]] = []  # time (ns), server
        self.final_listings: dict[str, dict[int, str]] = {}  # by server: publication ids by version
        self.committed: dict[int, CommittedVersion] = {}  # by version, as first listed
        self.probes: dict[str, list[HistoryEvent]] = defaultdict(list)  # by dispatcher
        self.rejections: dict[str, list[Rejection]] = defaultdict(list)  # by dispatcher
        self.admin_replies: dict[str, list[AdminReply]] = defaultdict(list)  # by dispatcher
        self.watcher_rows: list[WatcherRow] = []
        self.empty_starts: list[tuple[int, str]] = []  # time (ns), server
        readers = {
            "wants": self._read_publication,
            "sends": self._read_attempt,
            "answer": self._read_reply,
            "versions": self._read_listing,
            "probe": self._read_probe,
            "door": self._read_admin_reply,
            "watchers": self._read_watchers,
            "log": self._read_log_line,
            "serves empty": self._read_empty_start,
        }
        for event in events:
            reader = readers.get(event.kind)
            if reader is not None:
                reader(event)

    def _read_publication(self, event: HistoryEvent) -> None:
        publication = msgspec.convert(event.detail, Publication)
        self.publications[publication.id] = publication

    def _read_attempt(self, event: HistoryEvent) -> None:
        publication_id, _ = event.detail
        self.sent_at.setdefault(publication_id, event.at)

    def _read_reply(self, event: HistoryEvent) -> None:
        reply = PublishReply(*event.detail)
        self.replies.append((event.at, reply))
        if reply.is_done:
            self.acknowledged.setdefault(reply.id, Acknowledgement(event.at, reply.version))

    def _read_listing(self, event: HistoryEvent) -> None:
        server, rows, is_final = event.detail
        listed = [ListedVersion(*row) for row in rows]
        self.listings.append((event.at, server, listed))
        for row in listed:
            self.committed.setdefault(row.version, CommittedVersion(row.digest, row.id))
        if is_final:
            self.final_listings[server] = {row.version: row.id for row in listed}

    def _read_probe(self, event: HistoryEvent) -> None:
        self.probes[event.detail[0]].append(event)

    def _read_admin_reply(self, event: HistoryEvent) -> None:
        dispatcher, asked_at, line = event.detail
        applied = APPLIED_LINE.match(line)
        if applied is not None:
            self.admin_replies[dispatcher].append(AdminReply(asked_at, event.at, int(applied[1])))

    def _read_watchers(self, event: HistoryEvent) -> None:
        _, rows = event.detail
        self.watcher_rows += [WatcherRow(event.at, row) for row in rows]

    def _read_log_line(self, event: HistoryEvent) -> None:
        rejected = REJECTION_LINE.search(str(event.detail))
        if rejected is not None:
            self.rejections[event.source].append(Rejection(event.at, int(rejected[1]), rejected[2]))

    def _read_empty_start(self, event: HistoryEvent) -> None:
        self.empty_starts.append((event.at, event.detail))
