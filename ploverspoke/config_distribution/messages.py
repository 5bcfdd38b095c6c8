"""What config servers and watchers send one another, read and checked. Without I/O.

A parcel carries one version: as a delta, zlib with the body that the watcher has as its dictionary, or whole
where that is not known. Nothing of it is believed before the digest of the unpacked body is right.
"""

import zlib
from collections.abc import Mapping
from typing import Any, NamedTuple, TypeGuard

from .overlay import LONGEST_BODY
from .state_machine import DIGEST, Version, digest_of

FORMAT = 1  # of parcels and of what is said around them
LONGEST_NAME = 128
LONGEST_REASON = 300
MOST_NUMBER = 1 << 53
WINDOW = 15  # zlib's largest: of a longer dictionary the last 32 KiB serve

Message = dict[str, Any]


class VersionRejectedError(ValueError):
    """A message that is not taken; says why."""


class WatchStatus(NamedTuple):
    """What a watcher says of itself."""

    number: int  # the latest version that came to it unharmed; 0: none
    digest: bytes
    in_force: int
    reason: str  # why `number` is not in force; "" where it is
    whole: bool  # it wants no delta
    refused: int = 0  # the lowest version that it has refused since it had `in_force`; 0: none

    def message(self) -> Message:
        told: Message = {"k": "have", "n": self.number, "d": self.digest, "f": self.in_force}
        told |= {"w": self.reason, "r": self.refused}
        return told | {"all": True} if self.whole else told


class Heartbeat(NamedTuple):
    """What a server says once a second: its latest version, and whether it has heard of a leader lately."""

    number: int
    fresh: bool

    def message(self) -> Message:
        return {"k": "beat", "n": self.number, "l": self.fresh}


# ---- Parcels ----


def pack(cluster: str, version: Version, base: str | None) -> Message:
    """`base` is the body that the watcher has; None: send it whole."""
    packer = (
        zlib.compressobj(6, zlib.DEFLATED, WINDOW)
        if base is None
        else zlib.compressobj(6, zlib.DEFLATED, WINDOW, zdict=base.encode())
    )
    data = packer.compress(version.body.encode()) + packer.flush()
    return {
        "k": "push",
        "v": FORMAT,
        "c": cluster,
        "n": version.number,
        "d": version.digest,
        "b": None if base is None else digest_of(base),
        "z": data,
    }


def unpack(message: Message, cluster: str, base: str) -> tuple[int, bytes, str]:
    """Number, digest and body of a parcel; `base` is the body that we have. Raises VersionRejectedError."""
    if message.get("v") != FORMAT:
        raise VersionRejectedError(f"format version {message.get('v')!r:.20}, this release reads {FORMAT}")
    if message.get("c") != cluster:
        raise VersionRejectedError(f"it is of cluster {message.get('c')!r:.60}, not of {cluster!r}")
    number, digest, data = message.get("n"), message.get("d"), message.get("z")
    if not is_number(number) or not number or not _is_digest(digest) or not isinstance(data, bytes):
        raise VersionRejectedError("a parcel that is none")
    wants = message.get("b")
    if wants is not None and wants != digest_of(base):
        raise VersionRejectedError(f"version {number} rests on a body that is not ours")
    unpacker = (
        zlib.decompressobj(WINDOW) if wants is None else zlib.decompressobj(WINDOW, zdict=base.encode())
    )
    try:
        told = unpacker.decompress(data, LONGEST_BODY + 1)
        if len(told) > LONGEST_BODY:
            raise VersionRejectedError(f"version {number} is over {LONGEST_BODY} bytes")
        body = told.decode()
    except (zlib.error, UnicodeDecodeError) as error:
        raise VersionRejectedError(f"version {number} cannot be unpacked: {error}"[:LONGEST_REASON]) from None
    if not unpacker.eof or unpacker.unused_data:
        raise VersionRejectedError(f"version {number} is cut off, or has something behind it")
    if digest_of(body) != digest:
        raise VersionRejectedError(f"version {number} has the wrong digest")
    return number, digest, body


# ---- Checks ----


def is_number(value: Any) -> TypeGuard[int]:
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value < MOST_NUMBER


def _is_digest(value: Any) -> TypeGuard[bytes]:
    return isinstance(value, bytes) and len(value) == DIGEST


def printable(text: str) -> str:
    """For a log line or an operators' answer, whatever came."""
    return text.encode("unicode_escape").decode("ascii")[:LONGEST_REASON]


def is_name(value: Any) -> TypeGuard[str]:
    """Whether a dispatcher may be called so."""
    return isinstance(value, str) and 0 < len(value) <= LONGEST_NAME and value.isprintable()


def read_watch_status(message: Any) -> WatchStatus:
    """Raises VersionRejectedError."""
    if not isinstance(message, dict) or message.get("k") != "have":
        raise VersionRejectedError("not what a watcher says")
    number, digest, in_force = message.get("n"), message.get("d"), message.get("f")
    reason, refused, whole = message.get("w"), message.get("r"), message.get("all", False)
    if not is_number(number) or not is_number(in_force) or not is_number(refused):
        raise VersionRejectedError("what a watcher has is no number")
    if not isinstance(reason, str):
        raise VersionRejectedError("a reason that is none")
    if not isinstance(digest, bytes) or len(digest) not in (0, DIGEST):
        raise VersionRejectedError("a digest that is none")
    return WatchStatus(number, digest, in_force, printable(reason), whole is True, refused)


def read_heartbeat(message: Message) -> Heartbeat:
    """Raises VersionRejectedError."""
    number, fresh = message.get("n"), message.get("l")
    if not is_number(number) or not isinstance(fresh, bool):
        raise VersionRejectedError("a heartbeat that is none")
    return Heartbeat(number, fresh)


def greeting(name: str, cluster: str) -> Message:
    """A watcher's, beside what all frames greet with."""
    return {"id": name, "store": "", "watch": FORMAT, "cluster": cluster}


def read_greeting(other: Mapping[str, Any], cluster: str) -> str:
    """The name of who watches. Raises VersionRejectedError."""
    name, told = other.get("id"), other.get("watch")
    if not is_name(name):
        raise VersionRejectedError("a greeting without a name")
    if told != FORMAT:
        raise VersionRejectedError(
            f"{name} speaks format version {told!r}, this release {FORMAT}"[:LONGEST_REASON]
        )
    if other.get("cluster") != cluster:
        raise VersionRejectedError(
            f"{name} watches cluster {other.get('cluster')!r}, not {cluster!r}"[:LONGEST_REASON]
        )
    return name
