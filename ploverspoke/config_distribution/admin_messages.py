"""Requests of tools to config servers and the replies: wire format, parsing and validation.

A config server also answers the requests that every replica supports (`status`, `members` and others).
"""

import msgspec
from msgspec import UNSET, UnsetType

from ploverspoke.consensus.admin_messages import AdminRequest, WireMap
from ploverspoke.service.config_reader import ConfigError

from .messages import is_version_number

# Kinds of requests on the wire.
PUBLISH = "publish"
LIST_VERSIONS = "versions"
READ_VERSION = "version"
LIST_WATCHERS = "watchers"

NO_SUCH_VERSION = -1
MAX_AUTHOR_CHARACTERS = 200
MAX_REQUEST_ID_CHARACTERS = 200


class PublishRequest(AdminRequest, frozen=True, tag=PUBLISH):
    """Commit a body that replaces the latest version its author has seen."""

    body: str
    expected_version: int = msgspec.field(name="expect")  # 0: no version
    author: str = msgspec.field(name="by")
    request_id: str = msgspec.field(name="id")  # a repetition with the same id is not committed again


class VersionListRequest(AdminRequest, frozen=True, tag=LIST_VERSIONS):
    """List the kept versions; the reply is a list of `VersionRow`."""


class VersionRequest(AdminRequest, frozen=True, tag=READ_VERSION, omit_defaults=False):
    """Get the body of one version; the reply is a `VersionReply`."""

    number: int = msgspec.field(name="n", default=0)  # 0: the latest version


class WatcherListRequest(AdminRequest, frozen=True, tag=LIST_WATCHERS):
    """List the watchers of one server; the reply is a list of `WatcherRow`."""


class PublishReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """The result of a publish request, or the reason why there is no result yet."""

    accepted: bool = msgspec.field(name="done")
    version: int  # the published version, or the latest one that the server knows
    reason: str = msgspec.field(name="why")
    # Only set by a server that is not the leader: the peer address of the leader, empty if unknown.
    leader: str | UnsetType = UNSET
    is_unknown: bool = msgspec.field(name="unknown", default=False)  # the body may or may not be committed
    is_invalid: bool = msgspec.field(name="bad", default=False)  # no server accepts this body


class VersionReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """A version with its body."""

    number: int = msgspec.field(name="n")  # 0: the version does not exist or is no longer kept
    body: str = ""
    author: str = msgspec.field(name="by", default="")


class ConfigServerStatus(msgspec.Struct, frozen=True):
    """The fields that a config server adds to the replica status; counters start at 0 with the process."""

    version: int  # the latest version; 0: none
    has_recent_leader: bool = msgspec.field(name="fresh")  # it is the leader, or has recently heard from one
    watchers: int  # connected watchers
    watchers_behind: int
    versions_sent: int = msgspec.field(name="pushes")
    whole_versions_sent: int = msgspec.field(name="whole_pushes")
    version_bytes_sent: int = msgspec.field(name="pushed_bytes")
    silent_watchers: int = msgspec.field(name="silent")  # disconnected because they sent no status
    watchers_sent_elsewhere: int = msgspec.field(name="sent_elsewhere")  # because this server had no capacity


def read_version_request(message: WireMap) -> VersionRequest:
    """Parse a request for a version's body; an invalid number selects a version that does not exist."""
    number = message.get("n") or 0
    return VersionRequest(number if is_version_number(number) else NO_SUCH_VERSION)


def read_publish_request(message: WireMap) -> PublishRequest:
    """Parse a publish request. Raises ConfigError with the invalid key."""
    body, expected_version = message.get("body"), message.get("expect")
    if not isinstance(body, str):
        raise _error("body", "expected a text")
    if not is_version_number(expected_version):
        raise _error("expect", "expected the number of the version that is to be replaced, 0 for none")
    author = _read_text(message, "by", MAX_AUTHOR_CHARACTERS)
    request_id = _read_text(message, "id", MAX_REQUEST_ID_CHARACTERS)
    return PublishRequest(body, expected_version, author, request_id)


def _read_text(message: WireMap, key: str, max_characters: int) -> str:
    value = message.get(key)
    if not isinstance(value, str) or not 0 < len(value) <= max_characters:
        raise _error(key, f"expected a text of 1 to {max_characters} characters")
    return value


def _error(key: str, problem: str) -> ConfigError:
    return ConfigError(problem, key=key)
