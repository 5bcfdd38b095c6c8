"""What tools ask config servers, and the replies: their wire form, read and checked.

Beside these, a config server answers the requests of any replica (`status`, `members` and others).
"""

import msgspec
from msgspec import UNSET, UnsetType

from ploverspoke.consensus.admin_messages import AdminRequest, WireMap
from ploverspoke.service.config_reader import ConfigError

from .messages import is_version_number

# Kinds of requests, as they stand on the wire.
PUBLISH = "publish"
LIST_VERSIONS = "versions"
READ_VERSION = "version"
LIST_WATCHERS = "watchers"

NO_SUCH_VERSION = -1
MAX_AUTHOR_CHARACTERS = 200
MAX_REQUEST_ID_CHARACTERS = 200


class PublishRequest(AdminRequest, frozen=True, tag=PUBLISH):
    """Commit a body in the place of the version that its author has seen."""

    body: str
    expected_version: int = msgspec.field(name="expect")  # 0: none
    author: str = msgspec.field(name="by")
    request_id: str = msgspec.field(name="id")  # a repeated request with the same id commits nothing more


class VersionListRequest(AdminRequest, frozen=True, tag=LIST_VERSIONS):
    """List the kept versions; the reply is a list of `VersionRow`."""


class VersionRequest(AdminRequest, frozen=True, tag=READ_VERSION, omit_defaults=False):
    """Get the body of one version; the reply is a `VersionReply`."""

    number: int = msgspec.field(name="n", default=0)  # 0: the latest


class WatcherListRequest(AdminRequest, frozen=True, tag=LIST_WATCHERS):
    """List the watchers of one server; the reply is a list of `WatcherRow`."""


class PublishReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """The result of a publish request, or why there is none yet."""

    accepted: bool = msgspec.field(name="done")
    version: int  # the one it made, or the latest that the server knows
    reason: str = msgspec.field(name="why")
    # Only from a server that does not lead: the leader's address for peers, empty where it is not known.
    leader: str | UnsetType = UNSET
    is_unknown: bool = msgspec.field(name="unknown", default=False)  # it may be committed or not
    is_invalid: bool = msgspec.field(name="bad", default=False)  # no server will ever accept it


class VersionReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """A version's body."""

    number: int = msgspec.field(name="n")  # 0: the version is not kept
    body: str = ""
    author: str = msgspec.field(name="by", default="")


class ConfigServerStatus(msgspec.Struct, frozen=True):
    """The part of a status that only config servers have; counters begin with the process."""

    version: int  # the latest; 0: none
    has_recent_leader: bool = msgspec.field(name="fresh")  # it leads, or a leader has lately sent something
    watchers: int  # connected
    watchers_behind: int
    versions_sent: int = msgspec.field(name="pushes")
    whole_versions_sent: int = msgspec.field(name="whole_pushes")
    version_bytes_sent: int = msgspec.field(name="pushed_bytes")
    silent_watchers: int = msgspec.field(name="silent")  # disconnected for sending no status
    watchers_sent_elsewhere: int = msgspec.field(name="sent_elsewhere")  # for want of capacity


def read_version_request(message: WireMap) -> VersionRequest:
    """A decoded request for a version's body; a value that is no number names no version."""
    number = message.get("n") or 0
    return VersionRequest(number if is_version_number(number) else NO_SUCH_VERSION)


def read_publish_request(message: WireMap) -> PublishRequest:
    """A decoded publish request. Raises ConfigError with the key."""
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
