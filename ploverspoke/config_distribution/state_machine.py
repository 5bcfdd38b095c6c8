"""The replicated state of config servers: the versions in order, and the result of each publish request.

State of the consensus log, without I/O. A command is msgpack, a list that begins with its name. Applying a
command never fails: a publish request that no longer fits changes nothing, and its result says why.
"""

from collections.abc import Callable, Sequence
from hashlib import blake2b

import msgspec

SNAPSHOT_FORMAT = 1
MAX_VERSIONS = 64  # kept, the latest among them
MAX_VERSION_BYTES = 4 * 1024 * 1024  # of the bodies kept beside the latest
MAX_RESULTS = 4096  # of publish requests that are remembered
DIGEST_BYTES = 16
PUBLISH_COMMAND = "publish"  # the name of a command in the log
SHORT_DIGEST_CHARACTERS = 16


def digest_of(body: str) -> bytes:
    """BLAKE2b of the UTF-8 text, 16 bytes."""
    return blake2b(body.encode(), digest_size=DIGEST_BYTES).digest()


def short_digest(digest: bytes) -> str:
    """A digest as log lines show it."""
    return digest.hex()[:SHORT_DIGEST_CHARACTERS]


class Version(msgspec.Struct, array_like=True, frozen=True):
    """One committed version of the configuration."""

    number: int  # counted from 1
    body: str
    digest: bytes  # of the body as it was published
    canonical_digest: bytes  # of the canonical JSON: equal for bodies with the same values
    author: str
    request_id: str  # of the request that published it


class VersionRow(msgspec.Struct, array_like=True, frozen=True):
    """A version without its body, as tools list it."""

    number: int
    digest: str  # hexadecimal
    author: str
    request_id: str


class PublishResult(msgspec.Struct, array_like=True, frozen=True):
    """The result of one publish request; a repeated request gets the same one."""

    accepted: bool
    version: int  # the one it made, or the latest where it made none
    reason: str  # why it made none; empty where it made one


class PublishCommand(msgspec.Struct, array_like=True, frozen=True, tag=PUBLISH_COMMAND):
    """The log entry of one publish request."""

    body: str
    canonical_digest: bytes
    expected_version: int  # the latest version that its author has seen; 0: none
    author: str
    request_id: str

    def encode(self) -> bytes:
        """The bytes of the log entry."""
        return msgspec.msgpack.encode(self)


class ConfigSnapshot(msgspec.Struct, array_like=True):
    """The whole state, as snapshots hold it."""

    format: int
    versions: list[Version]  # the latest last
    results: dict[str, PublishResult]  # by request id, the oldest first


class _CommandHeader(msgspec.Struct, array_like=True):
    """The first element of a command of any kind."""

    name: str


def excess_versions(versions: Sequence[Version]) -> int:
    """How many of the oldest versions are over the limits; the latest two are always kept."""
    count, size = 0, sum(len(version.body) for version in versions[:-1])
    while len(versions) - count > 2 and (len(versions) - count > MAX_VERSIONS or size > MAX_VERSION_BYTES):
        size -= len(versions[count].body)
        count += 1
    return count


class ConfigStateMachine:
    """The state of the config servers' log."""

    def __init__(self) -> None:
        """An empty state; `on_version` is called with each version that is committed or restored."""
        self.versions: list[Version] = []  # the latest last
        self.results: dict[str, PublishResult] = {}  # by request id, the oldest first
        self.on_version: Callable[[Version], None] = lambda version: None

    # ---- The replicated log ----

    def apply(self, index: int, command: object) -> None:
        """Apply a committed log entry, bytes; a command that only a later release knows changes nothing."""
        assert isinstance(command, bytes)
        if msgspec.msgpack.decode(command, type=_CommandHeader).name == PUBLISH_COMMAND:
            self._publish(msgspec.msgpack.decode(command, type=PublishCommand))

    def take_snapshot(self) -> bytes:
        """The whole state, for a snapshot."""
        return msgspec.msgpack.encode(ConfigSnapshot(SNAPSHOT_FORMAT, self.versions, self.results))

    def restore_snapshot(self, data: bytes) -> None:
        """Replace the state by that of a snapshot; empty: begin with no versions."""
        snapshot = ConfigSnapshot(SNAPSHOT_FORMAT, [], {})
        if data:
            snapshot = msgspec.msgpack.decode(data, type=ConfigSnapshot)
        self.versions, self.results = snapshot.versions, snapshot.results
        for version in self.versions:
            self.on_version(version)

    # ---- Queries ----

    def latest(self) -> Version | None:
        """The latest version; None where none was published."""
        return self.versions[-1] if self.versions else None

    def latest_number(self) -> int:
        """The number of the latest version; 0 where none was published."""
        return self.versions[-1].number if self.versions else 0

    def get(self, number: int) -> Version | None:
        """The version of that number; None where it is not kept."""
        return next((version for version in self.versions if version.number == number), None)

    def version_rows(self) -> list[VersionRow]:
        """All kept versions without their bodies, the latest last."""
        return [
            VersionRow(version.number, version.digest.hex(), version.author, version.request_id)
            for version in self.versions
        ]

    # ---- Commands ----

    def _publish(self, command: PublishCommand) -> None:
        if command.request_id in self.results:
            return  # repeated after a lost reply
        self.results[command.request_id] = self._publish_result(command)
        while len(self.results) > MAX_RESULTS:
            del self.results[next(iter(self.results))]

    def _publish_result(self, command: PublishCommand) -> PublishResult:
        # The reasons are part of the replicated state: every release writes the same bytes.
        latest, number = self.latest(), self.latest_number()
        if latest is not None and latest.canonical_digest == command.canonical_digest:
            return PublishResult(True, number, f"version {number} says the same")
        if command.expected_version != number:
            reason = f"version {number} is in force, and {command.expected_version} was expected"
            return PublishResult(False, number, reason)
        version = Version(
            number + 1,
            command.body,
            digest_of(command.body),
            command.canonical_digest,
            command.author,
            command.request_id,
        )
        self.versions.append(version)
        del self.versions[: excess_versions(self.versions)]
        self.on_version(version)
        return PublishResult(True, version.number, "")
