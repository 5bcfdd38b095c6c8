"""What tools do with config servers: ask all of them, publish by the leader, wait for the fleet."""

import contextlib
import secrets
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple, TypeVar

import msgspec
from msgspec import UNSET

from ploverspoke.consensus.framing import FrameError
from ploverspoke.consensus.replica_client import send_admin_request

from .admin_messages import (
    PublishReply,
    PublishRequest,
    VersionListRequest,
    VersionReply,
    VersionRequest,
    WatcherListRequest,
)
from .cluster_config import ConfigServers
from .errors import NoServerAvailableError
from .fleet_status import FleetStatus, group_watchers
from .state_machine import VersionRow
from .watcher_records import WatcherRow

RETRY_INTERVAL = 0.1  # seconds between two searches for a leader
POLL_INTERVAL = 0.2  # seconds between two looks at the fleet
REQUEST_ID_BYTES = 12
ReplyType = TypeVar("ReplyType")
REQUEST_ERRORS = (OSError, FrameError, msgspec.ValidationError)


class ServerReply(NamedTuple):
    """What one server replied."""

    server: str
    reply: Any  # decoded; None where there is an error
    error: Exception | None


def ask_all(servers: ConfigServers, request: Any) -> list[ServerReply]:
    """The replies of all servers, asked at once, in the order of their names in the file."""

    def ask(server: str) -> ServerReply:
        try:
            reply = send_admin_request(servers.peers[server], servers.secret, request)
        except (OSError, FrameError) as error:
            return ServerReply(server, None, error)
        return ServerReply(server, reply, None)

    with ThreadPoolExecutor(len(servers.peers)) as threads:
        return list(threads.map(ask, servers.peers))


def _ask_any(servers: ConfigServers, request: Any) -> list[ServerReply]:
    """The replies of those servers that replied. Raises NoServerAvailableError where none did."""
    replies = ask_all(servers, request)
    successful = [reply for reply in replies if reply.error is None]
    if not successful:
        raise NoServerAvailableError({reply.server: str(reply.error) for reply in replies})
    return successful


def _converted(replies: list[ServerReply], reply_type: type[ReplyType]) -> list[ReplyType]:
    """The replies of that type; a server of another release may reply something else."""
    converted = []
    for reply in replies:
        with contextlib.suppress(msgspec.ValidationError):
            converted.append(msgspec.convert(reply.reply, reply_type))
    return converted


# ---- Versions ----


def list_versions(servers: ConfigServers) -> list[VersionRow]:
    """The kept versions of the server that knows the latest. Raises NoServerAvailableError."""
    replies = _ask_any(servers, VersionListRequest())
    return max(_converted(replies, list[VersionRow]), key=_latest_number, default=[])


def get_version(servers: ConfigServers, number: int = 0) -> VersionReply:
    """The body of a version, 0: the latest. Raises NoServerAvailableError."""
    replies = _ask_any(servers, VersionRequest(number))
    found = _converted(replies, VersionReply)
    return max(found, key=lambda version: version.number, default=VersionReply(0))


def _latest_number(rows: list[VersionRow]) -> int:
    return rows[-1].number if rows else 0


# ---- Publishing ----


def publish(
    servers: ConfigServers, body: str, expected_version: int | None, author: str, timeout: float
) -> PublishReply:
    """Ask the leader to commit a body in the place of a version (None: of whichever is the latest).

    The same request is repeated where a reply is lost, with the same id: it is committed once at most.
    `timeout` is in seconds. A reply with `is_unknown` says that it may be committed or not.

    Raises NoServerAvailableError where no server led in time.
    """
    return _Publisher(servers, body, expected_version, author).run(timeout)


class LeaderSearch(NamedTuple):
    """The result of asking all servers whether they lead."""

    address: str  # for peers; empty where none leads
    failures: dict[str, str]  # why each server is of no use, by its name, where none leads
    any_replied: bool


def find_leader(servers: ConfigServers) -> LeaderSearch:
    """The server that leads."""
    replies = ask_all(servers, {"ask": "status"})
    for reply in replies:
        if isinstance(reply.reply, dict) and reply.reply.get("leads"):
            return LeaderSearch(servers.peers[reply.server], {}, any_replied=True)
    failures = {
        reply.server: str(reply.error) if reply.error is not None else "does not lead" for reply in replies
    }
    return LeaderSearch("", failures, any(reply.error is None for reply in replies))


class _Publisher:
    """One body on its way to be committed, over any number of attempts."""

    def __init__(self, servers: ConfigServers, body: str, expected_version: int | None, author: str) -> None:
        self.servers = servers
        self.body = body
        self.expected_version = expected_version
        self.replaces_any = expected_version is None
        self.author = author
        self.request_id = secrets.token_hex(REQUEST_ID_BYTES)
        self.unknown: PublishReply | None = None  # an attempt may have been committed

    def run(self, timeout: float) -> PublishReply:
        deadline = time.monotonic() + timeout
        while True:
            leader = find_leader(self.servers)
            if not leader.any_replied and self.unknown is None:
                raise NoServerAvailableError(leader.failures)
            reply = self._attempt(leader.address) if leader.address else None
            if reply is not None:
                if reply.accepted or reply.is_invalid or not self.replaces_any:
                    return reply
                if time.monotonic() > deadline:
                    return reply
                self._begin_anew()
                continue
            if time.monotonic() > deadline:
                if self.unknown is not None:
                    return self.unknown
                raise NoServerAvailableError(leader.failures, "the leader changes")
            time.sleep(RETRY_INTERVAL)

    def _attempt(self, leader: str) -> PublishReply | None:
        """The final reply of the leader; None: it has to be repeated."""
        try:
            if self.expected_version is None:
                rows = self._ask(leader, VersionListRequest())
                self.expected_version = _latest_number(msgspec.convert(rows, list[VersionRow]))
            request = PublishRequest(self.body, self.expected_version, self.author, self.request_id)
            raw = self._ask(leader, request)
            reply = msgspec.convert(raw, PublishReply)
        except REQUEST_ERRORS as error:
            if self.expected_version is not None:
                self.unknown = PublishReply(False, 0, f"no answer: {error}", is_unknown=True)
            return None
        if reply.is_unknown:
            self.unknown = reply
        return reply if not reply.is_unknown and reply.leader is UNSET else None

    def _ask(self, leader: str, request: msgspec.Struct) -> Any:
        return send_admin_request(leader, self.servers.secret, msgspec.to_builtins(request))

    def _begin_anew(self) -> None:
        """Another version came first: this request is known not to be committed."""
        self.expected_version, self.unknown = None, None
        self.request_id = secrets.token_hex(REQUEST_ID_BYTES)


# ---- The fleet ----


def fleet_status(servers: ConfigServers, version: int = 0) -> FleetStatus:
    """Which dispatchers have `version` or a later one applied (0: the latest that a server has).

    Raises NoServerAvailableError.
    """
    replies = _ask_any(servers, WatcherListRequest())
    replied = {reply.server for reply in replies}
    silent_servers = [server for server in servers.peers if server not in replied]
    if not version:
        version = _latest_number(list_versions(servers))
    rows = [row for rows in _converted(replies, list[WatcherRow]) for row in rows]
    return group_watchers(version, rows, silent_servers)


def wait_until_applied(servers: ConfigServers, version: int, timeout: float) -> FleetStatus:
    """Wait until every connected dispatcher has applied or rejected a version, `timeout` seconds at most.

    Raises NoServerAvailableError.
    """
    deadline = time.monotonic() + timeout
    while True:
        status = fleet_status(servers, version)
        if not status.behind or time.monotonic() > deadline:
            return status
        time.sleep(POLL_INTERVAL)
