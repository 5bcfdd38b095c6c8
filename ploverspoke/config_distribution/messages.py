"""Messages between config servers and watchers: wire format, parsing and validation. Without I/O.

This is the only module that knows the keys and values of the wire format (docs/distribution.md). A version is
sent as a delta, compressed by zlib with the watcher's current body as the dictionary, or as a whole body if
the watcher's body is not known. No part of a version is used before the digest of its body is verified.

A server sends the text of its `MessageRejectedError` to the watcher, so the text is part of the wire format.
"""

import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple, TypeAlias, TypeGuard

import msgspec

from .errors import MessageRejectedError
from .overlay import MAX_BODY_BYTES
from .state_machine import DIGEST_BYTES, Version, digest_of

WIRE_FORMAT = 1  # of version messages and greetings
MAX_NAME_CHARACTERS = 128
MAX_REASON_CHARACTERS = 300
VERSION_NUMBER_LIMIT = 1 << 53  # version numbers are below this
ZLIB_WINDOW_BITS = 15  # the maximum; zlib uses only the last 32 KiB of a longer dictionary
ZLIB_LEVEL = 6

# Reasons for rejecting messages.
NOT_FROM_SERVER = "not a message of a config server"
NOT_FROM_WATCHER = "not what a watcher says"
INVALID_VERSION_MESSAGE = "malformed version message"
INVALID_HEARTBEAT = "malformed heartbeat"
INVALID_STATUS_NUMBER = "what a watcher has is no number"
INVALID_STATUS_REASON = "a reason that is none"
INVALID_STATUS_DIGEST = "a digest that is none"
GREETING_WITHOUT_NAME = "a greeting without a name"


class WatchStatus(msgspec.Struct, frozen=True, tag="have", tag_field="k", omit_defaults=True):
    """The state that a watcher reports to its server."""

    received_version: int = msgspec.field(name="n")  # the latest version that arrived intact; 0: none
    received_digest: bytes = msgspec.field(name="d")  # empty if there is none
    applied_version: int = msgspec.field(name="f")  # 0: none
    rejection: str = msgspec.field(name="w")  # why the received version was not applied; empty if it was
    lowest_rejected: int = msgspec.field(name="r")  # since the last applied version; 0: none
    wants_full_body: bool = msgspec.field(name="all", default=False)  # the watcher cannot use a delta


class Heartbeat(msgspec.Struct, frozen=True, tag="beat", tag_field="k"):
    """The message that a server sends once a second."""

    latest_version: int = msgspec.field(name="n")  # 0: no version
    has_recent_leader: bool = msgspec.field(name="l")  # it is the leader, or has recently heard from one


class VersionMessage(msgspec.Struct, frozen=True, tag="push", tag_field="k"):
    """A version sent by a server to a watcher."""

    format: int = msgspec.field(name="v")
    cluster: str = msgspec.field(name="c")
    version: int = msgspec.field(name="n")
    digest: bytes = msgspec.field(name="d")  # of the uncompressed body
    base_digest: bytes | None = msgspec.field(name="b")  # of the zlib dictionary; None: whole body
    compressed_body: bytes = msgspec.field(name="z")


class WatchElsewhere(msgspec.Struct, frozen=True, tag="elsewhere", tag_field="k"):
    """The server has reached its maximum number of watchers; it closes the connection."""


class WatchRejected(msgspec.Struct, frozen=True, tag="refused", tag_field="k"):
    """The server rejects this watcher; it closes the connection."""

    reason: str = msgspec.field(name="w")


ServerMessage: TypeAlias = Heartbeat | VersionMessage | WatchElsewhere | WatchRejected


class VerifiedVersion(NamedTuple):
    """A version whose format, cluster, number and digest have been verified."""

    number: int  # 0: no version
    digest: bytes
    body: str


NO_VERSION = VerifiedVersion(0, b"", "")


# ---- Versions on the wire ----


def pack_version(cluster: str, version: Version, base_body: str | None) -> VersionMessage:
    """Compress a version; `base_body` is the watcher's current body, None: send the whole body."""
    if base_body is None:
        compressor = zlib.compressobj(ZLIB_LEVEL, zlib.DEFLATED, ZLIB_WINDOW_BITS)
    else:
        dictionary = base_body.encode()
        compressor = zlib.compressobj(ZLIB_LEVEL, zlib.DEFLATED, ZLIB_WINDOW_BITS, zdict=dictionary)
    compressed = compressor.compress(version.body.encode()) + compressor.flush()
    base_digest = None if base_body is None else digest_of(base_body)
    return VersionMessage(WIRE_FORMAT, cluster, version.number, version.digest, base_digest, compressed)


@dataclass(frozen=True)
class UnverifiedVersion:
    """A version message whose fields have not been validated."""

    format: object
    cluster: object
    version: object
    digest: object
    base_digest: object
    compressed_body: object

    def claimed_number(self) -> int | None:
        """Return the unverified version number, to skip old versions without unpacking; None: invalid."""
        return self.version if isinstance(self.version, int) and self.format else None

    def verify(self, cluster: str, base_body: str) -> VerifiedVersion:
        """Verify and unpack the version; `base_body` is the watcher's current body.

        Raises MessageRejectedError.
        """
        number, digest, compressed = self._checked_fields(cluster)
        if self.base_digest is not None and self.base_digest != digest_of(base_body):
            reason = f"version {number} is a delta to a body that this watcher does not have"
            raise MessageRejectedError(reason)
        body = _unpack(number, compressed, base_body if self.base_digest is not None else None)
        if digest_of(body) != digest:
            reason = f"version {number} has the wrong digest"
            raise MessageRejectedError(reason)
        return VerifiedVersion(number, digest, body)

    def _checked_fields(self, cluster: str) -> tuple[int, bytes, bytes]:
        if self.format != WIRE_FORMAT:
            reason = f"format version {self.format!r:.20}, this release reads {WIRE_FORMAT}"
            raise MessageRejectedError(reason)
        if self.cluster != cluster:
            reason = f"the version is for cluster {self.cluster!r:.60}, not for {cluster!r}"
            raise MessageRejectedError(reason)
        number, digest, compressed = self.version, self.digest, self.compressed_body
        if (
            not is_version_number(number)
            or not number
            or not _is_digest(digest)
            or not isinstance(compressed, bytes)
        ):
            raise MessageRejectedError(INVALID_VERSION_MESSAGE)
        return number, digest, compressed


def _unpack(number: int, compressed: bytes, dictionary: str | None) -> str:
    if dictionary is None:
        decompressor = zlib.decompressobj(ZLIB_WINDOW_BITS)
    else:
        decompressor = zlib.decompressobj(ZLIB_WINDOW_BITS, zdict=dictionary.encode())
    try:
        unpacked = decompressor.decompress(compressed, MAX_BODY_BYTES + 1)
        body = unpacked.decode() if len(unpacked) <= MAX_BODY_BYTES else ""
    except (zlib.error, UnicodeDecodeError) as error:
        reason = f"version {number} cannot be unpacked: {error}"
        raise MessageRejectedError(reason[:MAX_REASON_CHARACTERS]) from error
    if len(unpacked) > MAX_BODY_BYTES:
        reason = f"version {number} is over {MAX_BODY_BYTES} bytes"
        raise MessageRejectedError(reason)
    if not decompressor.eof or decompressor.unused_data:
        reason = f"version {number} is truncated or has trailing data"
        raise MessageRejectedError(reason)
    return body


# ---- Reading messages ----


def read_server_message(
    message: object,
) -> Heartbeat | UnverifiedVersion | WatchElsewhere | WatchRejected:
    """Parse a decoded message of a server. Raises MessageRejectedError."""
    if isinstance(message, dict):
        kind = message.get("k")
        if kind == "beat":
            return _read_heartbeat(message)
        if kind == "push":
            return UnverifiedVersion(*(message.get(key) for key in ("v", "c", "n", "d", "b", "z")))
        if kind == "elsewhere":
            return WatchElsewhere()
        if kind == "refused":
            return WatchRejected(str(message.get("w")))
    raise MessageRejectedError(NOT_FROM_SERVER)


def _read_heartbeat(message: Mapping[str, object]) -> Heartbeat:
    number, has_recent_leader = message.get("n"), message.get("l")
    if not is_version_number(number) or not isinstance(has_recent_leader, bool):
        raise MessageRejectedError(INVALID_HEARTBEAT)
    return Heartbeat(number, has_recent_leader)


def read_watch_status(message: object) -> WatchStatus:
    """Parse a decoded message of a watcher. Raises MessageRejectedError."""
    if not isinstance(message, dict) or message.get("k") != "have":
        raise MessageRejectedError(NOT_FROM_WATCHER)
    received, digest, applied = message.get("n"), message.get("d"), message.get("f")
    reason, lowest_rejected = message.get("w"), message.get("r")
    if (
        not is_version_number(received)
        or not is_version_number(applied)
        or not is_version_number(lowest_rejected)
    ):
        raise MessageRejectedError(INVALID_STATUS_NUMBER)
    if not isinstance(reason, str):
        raise MessageRejectedError(INVALID_STATUS_REASON)
    if not isinstance(digest, bytes) or len(digest) not in (0, DIGEST_BYTES):
        raise MessageRejectedError(INVALID_STATUS_DIGEST)
    wants_full_body = message.get("all", False) is True
    return WatchStatus(
        received, digest, applied, escape_untrusted_text(reason), lowest_rejected, wants_full_body
    )


# ---- Greetings ----


def watcher_greeting(name: str, cluster: str) -> dict[str, str | int]:
    """Return the fields that a watcher adds to the greeting of its connection."""
    return {"id": name, "store": "", "watch": WIRE_FORMAT, "cluster": cluster}


def read_watcher_greeting(greeting: Mapping[str, object], cluster: str) -> str:
    """Return the watcher's name from its greeting. Raises MessageRejectedError."""
    name, wire_format = greeting.get("id"), greeting.get("watch")
    if not is_watcher_name(name):
        raise MessageRejectedError(GREETING_WITHOUT_NAME)
    if wire_format != WIRE_FORMAT:
        reason = f"{name} speaks format version {wire_format!r}, this release {WIRE_FORMAT}"
        raise MessageRejectedError(reason[:MAX_REASON_CHARACTERS])
    if greeting.get("cluster") != cluster:
        reason = f"{name} watches cluster {greeting.get('cluster')!r}, not {cluster!r}"
        raise MessageRejectedError(reason[:MAX_REASON_CHARACTERS])
    return name


# ---- Checks of values ----


def is_version_number(value: object) -> TypeGuard[int]:
    """Whether a value is a valid version number, or 0 for no version."""
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value < VERSION_NUMBER_LIMIT


def is_watcher_name(value: object) -> TypeGuard[str]:
    """Whether a value is a valid name for a watching dispatcher."""
    return isinstance(value, str) and 0 < len(value) <= MAX_NAME_CHARACTERS and value.isprintable()


def escape_untrusted_text(text: str) -> str:
    """Escape and truncate a text of the peer for a log line or a reply to operators."""
    return text[:MAX_REASON_CHARACTERS].encode("unicode_escape").decode("ascii")[:MAX_REASON_CHARACTERS]


def _is_digest(value: object) -> TypeGuard[bytes]:
    return isinstance(value, bytes) and len(value) == DIGEST_BYTES
