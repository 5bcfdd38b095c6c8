"""The replicated state machine of config servers: the versions in order, and the results of publish requests.

It is driven by the consensus log and does no I/O. A command is a msgpack list that starts with the command's
name. Applying a command never fails: a publish request that expects another version than the latest changes
nothing, and its result contains the reason.
"""

from collections.abc import Callable, Sequence
from hashlib import blake2b

import msgspec

from ploverspoke.consensus.log import MalformedEntryError

SNAPSHOT_FORMAT = 1
MAX_VERSIONS = 64  # kept, including the latest
MAX_VERSION_BYTES = 4 * 1024 * 1024  # total size of the kept bodies without the latest
MAX_RESULTS = 4096  # publish results kept to answer repeated requests
DIGEST_BYTES = 16
PUBLISH_COMMAND = "publish"  # the name of a command in the log
SHORT_DIGEST_CHARACTERS = 16
NOT_BYTES = "a command is not bytes"


def digest_of(body: str) -> bytes:
    """Return the 16-byte BLAKE2b digest of the UTF-8 text."""
    return blake2b(body.encode(), digest_size=DIGEST_BYTES).digest()


def short_digest(digest: bytes) -> str:
    """Return the abbreviated digest for log lines."""
    return digest.hex()[:SHORT_DIGEST_CHARACTERS]


class Version(msgspec.Struct, array_like=True, frozen=True):
    """One committed version of the configuration."""

    number: int  # starts at 1
    body: str
    digest: bytes  # of the published body
    canonical_digest: bytes  # of the canonical JSON; equal for bodies with equal values
    author: str
    request_id: str  # of the request that published it


class VersionRow(msgspec.Struct, array_like=True, frozen=True):
    """A version without its body, for lists in tools."""

    number: int
    digest: str  # hexadecimal
    author: str
    request_id: str


class PublishResult(msgspec.Struct, array_like=True, frozen=True):
    """The result of one publish request; a repeated request gets the same result."""

    accepted: bool
    version: int  # the published version, or the latest one if none was published
    reason: str  # why no version was published; empty if one was


class PublishCommand(msgspec.Struct, array_like=True, frozen=True, tag=PUBLISH_COMMAND):
    """The log entry of one publish request."""

    body: str
    canonical_digest: bytes
    expected_version: int  # the latest version that the author has seen; 0: none
    author: str
    request_id: str

    def encode(self) -> bytes:
        """Return the encoded log entry."""
        return msgspec.msgpack.encode(self)


class ConfigSnapshot(msgspec.Struct, array_like=True):
    """The whole state, in the format of a snapshot."""

    format: int
    versions: list[Version]  # the latest last
    results: dict[str, PublishResult]  # by request id, the oldest first


class _CommandHeader(msgspec.Struct, array_like=True):
    """The first element of a command of any kind."""

    name: str


def count_excess_versions(versions: Sequence[Version]) -> int:
    """Return how many of the oldest versions exceed the limits; the latest two are always kept."""
    count, size = 0, sum(len(version.body) for version in versions[:-1])
    while len(versions) - count > 2 and (len(versions) - count > MAX_VERSIONS or size > MAX_VERSION_BYTES):
        size -= len(versions[count].body)
        count += 1
    return count


class ConfigStateMachine:
    """The versions and publish results, as replicated by the config servers' log."""

    def __init__(self) -> None:
        """Create an empty state; `on_version` is called with each version that is committed or restored."""
        self.versions: list[Version] = []  # the latest last
        self.results: dict[str, PublishResult] = {}  # by request id, the oldest first
        self.on_version: Callable[[Version], None] = lambda version: None

    # ---- The replicated log ----

    def apply(self, index: int, command: object) -> None:
        """Apply a committed log entry; an unknown command, written by a later release, changes nothing.

        Raises MalformedEntryError.
        """
        if not isinstance(command, bytes):
            raise MalformedEntryError(NOT_BYTES)
        try:
            header: _CommandHeader = msgspec.msgpack.decode(command, type=_CommandHeader)
            if header.name != PUBLISH_COMMAND:
                return
            publish: PublishCommand = msgspec.msgpack.decode(command, type=PublishCommand)
        except msgspec.DecodeError as error:
            raise MalformedEntryError(str(error)) from error
        self._publish(publish)

    def take_snapshot(self) -> bytes:
        """Return the whole state, encoded for a snapshot."""
        return msgspec.msgpack.encode(ConfigSnapshot(SNAPSHOT_FORMAT, self.versions, self.results))

    def restore_snapshot(self, data: bytes) -> None:
        """Replace the state by a snapshot; empty data means a state without versions."""
        snapshot = ConfigSnapshot(SNAPSHOT_FORMAT, [], {})
        if data:
            snapshot = msgspec.msgpack.decode(data, type=ConfigSnapshot)
        self.versions, self.results = snapshot.versions, snapshot.results
        for version in self.versions:
            self.on_version(version)

    # ---- Queries ----

    def latest(self) -> Version | None:
        """Return the latest version; None if none was published."""
        return self.versions[-1] if self.versions else None

    def latest_number(self) -> int:
        """Return the number of the latest version; 0 if none was published."""
        return self.versions[-1].number if self.versions else 0

    def get(self, number: int) -> Version | None:
        """Return the version with this number; None if it is not kept."""
        return next((version for version in self.versions if version.number == number), None)

    def version_rows(self) -> list[VersionRow]:
        """Return all kept versions without their bodies, the latest last."""
        return [
            VersionRow(version.number, version.digest.hex(), version.author, version.request_id)
            for version in self.versions
        ]

    # ---- Commands ----

    def _publish(self, command: PublishCommand) -> None:
        if command.request_id in self.results:
            return  # the request was repeated after a lost reply
        self.results[command.request_id] = self._publish_result(command)
        while len(self.results) > MAX_RESULTS:
            del self.results[next(iter(self.results))]

    def _publish_result(self, command: PublishCommand) -> PublishResult:
        # The reasons are part of the replicated state, so every release must write the same bytes.
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
        del self.versions[: count_excess_versions(self.versions)]
        self.on_version(version)
        return PublishResult(True, version.number, "")
