"""Client functions for tools: query all config servers, publish through the leader, wait for the fleet."""

import itertools
import secrets
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Generic, NamedTuple, TypeVar

from msgspec import UNSET

from ploverspoke.consensus.admin_messages import AdminRequest, StatusRequest, StatusRow
from ploverspoke.consensus.framing import FrameError
from ploverspoke.consensus.replica_client import call_replica

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

RETRY_INTERVAL_S = 0.1  # between searches for a leader
POLL_INTERVAL_S = 0.2  # between queries of the fleet status
REQUEST_ID_BYTES = 12
ReplyT = TypeVar("ReplyT")


class ServerReply(NamedTuple, Generic[ReplyT]):
    """The reply of one server, or the error that prevented it."""

    server: str
    reply: ReplyT | None
    error: Exception | None


def ask_all(
    servers: ConfigServers, request: AdminRequest, reply_type: type[ReplyT]
) -> list[ServerReply[ReplyT]]:
    """Send a request to all servers in parallel; return the replies in the order of the servers file."""

    def ask(server: str) -> ServerReply[ReplyT]:
        """Return the reply of one server, or its error."""
        try:
            reply = call_replica(servers.peers[server], servers.secret, request, reply_type)
        except (OSError, FrameError) as error:
            return ServerReply(server, None, error)
        return ServerReply(server, reply, None)

    with ThreadPoolExecutor(len(servers.peers)) as threads:
        return list(threads.map(ask, servers.peers))


def _ask_available(
    servers: ConfigServers, request: AdminRequest, reply_type: type[ReplyT]
) -> dict[str, ReplyT]:
    """Return the replies of the available servers by name. Raises NoServerAvailableError if none replied."""
    results = ask_all(servers, request, reply_type)
    replies = {result.server: result.reply for result in results if result.reply is not None}
    if not replies:
        raise NoServerAvailableError({result.server: str(result.error) for result in results})
    return replies


# ---- Versions ----


def list_versions(servers: ConfigServers) -> list[VersionRow]:
    """Return the versions kept by the most up-to-date server. Raises NoServerAvailableError."""
    lists = _ask_available(servers, VersionListRequest(), list[VersionRow])
    return max(lists.values(), key=_latest_number)


def get_version(servers: ConfigServers, number: int = 0) -> VersionReply:
    """Return a version with its body; number 0 selects the latest. Raises NoServerAvailableError."""
    replies = _ask_available(servers, VersionRequest(number), VersionReply)
    return max(replies.values(), key=lambda version: version.number)


def _latest_number(rows: list[VersionRow]) -> int:
    return rows[-1].number if rows else 0


# ---- Publishing ----


def publish(
    servers: ConfigServers, body: str, expected_version: int | None, author: str, timeout: float
) -> PublishReply:
    """Ask the leader to commit a body that replaces `expected_version` (None: the latest version).

    If a reply is lost, the request is repeated with the same id, so it is committed at most once.
    `timeout` is in seconds. A reply with `is_unknown` means that the body may or may not be committed.

    Raises NoServerAvailableError if there was no leader before the timeout.
    """
    return _Publisher(servers, body, expected_version, author).run(timeout)


class LeaderSearch(NamedTuple):
    """The result of a search for the leader among all servers."""

    address: str  # the peer address of the leader; empty if there is none
    failures: dict[str, str]  # why each server is not usable, by server name; empty if there is a leader
    any_replied: bool


def find_leader(servers: ConfigServers) -> LeaderSearch:
    """Ask all servers for their status and return the one that leads."""
    results = ask_all(servers, StatusRequest(), StatusRow)
    for result in results:
        if result.reply is not None and result.reply.leads:
            return LeaderSearch(servers.peers[result.server], {}, any_replied=True)
    failures = {result.server: str(result.error or "does not lead") for result in results}
    return LeaderSearch("", failures, any(result.reply is not None for result in results))


class _Publisher:
    """Publishes one body, in as many attempts as needed."""

    def __init__(self, servers: ConfigServers, body: str, expected_version: int | None, author: str) -> None:
        self.servers = servers
        self.body = body
        self.expected_version = expected_version
        self.replaces_latest = expected_version is None
        self.author = author
        self.request_id = secrets.token_hex(REQUEST_ID_BYTES)
        self.unknown_reply: PublishReply | None = None  # set after an attempt that may have been committed

    def run(self, timeout: float) -> PublishReply:
        """Repeat attempts until a final reply, `timeout` seconds at most. Raises the errors of `publish`."""
        deadline = time.monotonic() + timeout
        while True:
            leader = find_leader(self.servers)
            if not leader.any_replied and self.unknown_reply is None:
                raise NoServerAvailableError(leader.failures)
            reply = self._attempt(leader.address) if leader.address else None
            if reply is not None:
                if reply.accepted or reply.is_invalid or not self.replaces_latest:
                    return reply
                if time.monotonic() > deadline:
                    return reply
                self._start_new_request()
                continue
            if time.monotonic() > deadline:
                if self.unknown_reply is not None:
                    return self.unknown_reply
                raise NoServerAvailableError(leader.failures, "the leader is changing")
            time.sleep(RETRY_INTERVAL_S)

    def _attempt(self, leader: str) -> PublishReply | None:
        """Return the final reply of the leader, or None if the attempt must be repeated."""
        try:
            if self.expected_version is None:
                versions = self._call(leader, VersionListRequest(), list[VersionRow])
                self.expected_version = _latest_number(versions)
            request = PublishRequest(self.body, self.expected_version, self.author, self.request_id)
            reply = self._call(leader, request, PublishReply)
        except (OSError, FrameError) as error:
            if self.expected_version is not None:
                self.unknown_reply = PublishReply(False, 0, f"no answer: {error}", is_unknown=True)
            return None
        if reply.is_unknown:
            self.unknown_reply = reply
        return reply if not reply.is_unknown and reply.leader is UNSET else None

    def _call(self, leader: str, request: AdminRequest, reply_type: type[ReplyT]) -> ReplyT:
        return call_replica(leader, self.servers.secret, request, reply_type)

    def _start_new_request(self) -> None:
        """Prepare a new request after another version was committed first, so this one cannot be."""
        self.expected_version, self.unknown_reply = None, None
        self.request_id = secrets.token_hex(REQUEST_ID_BYTES)


# ---- The fleet ----


def fleet_status(servers: ConfigServers, version: int = 0) -> FleetStatus:
    """Return which dispatchers have applied `version` or a later one (0: the latest known to any server).

    Raises NoServerAvailableError.
    """
    lists = _ask_available(servers, WatcherListRequest(), list[WatcherRow])
    silent_servers = [server for server in servers.peers if server not in lists]
    if not version:
        version = _latest_number(list_versions(servers))
    return group_watchers(version, itertools.chain.from_iterable(lists.values()), silent_servers)


def wait_until_applied(servers: ConfigServers, version: int, timeout: float) -> FleetStatus:
    """Wait up to `timeout` seconds until every connected dispatcher has applied or rejected a version.

    Raises NoServerAvailableError.
    """
    deadline = time.monotonic() + timeout
    while True:
        status = fleet_status(servers, version)
        if not status.behind or time.monotonic() > deadline:
            return status
        time.sleep(POLL_INTERVAL_S)
