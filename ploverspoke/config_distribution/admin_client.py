"""What tools do with config servers: ask all of them, publish by the leader, wait for the fleet."""

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

RETRY_INTERVAL = 0.1  # seconds between two searches for a leader
POLL_INTERVAL = 0.2  # seconds between two looks at the fleet
REQUEST_ID_BYTES = 12
ReplyT = TypeVar("ReplyT")


class ServerReply(NamedTuple, Generic[ReplyT]):
    """What one server replied, or why it did not."""

    server: str
    reply: ReplyT | None
    error: Exception | None


def ask_all(
    servers: ConfigServers, request: AdminRequest, reply_type: type[ReplyT]
) -> list[ServerReply[ReplyT]]:
    """The replies of all servers, asked at once, in the order of the file."""

    def ask(server: str) -> ServerReply[ReplyT]:
        """Return the reply of one server, or the error in its place."""
        try:
            reply = call_replica(servers.peers[server], servers.secret, request, reply_type)
        except (OSError, FrameError) as error:
            return ServerReply(server, None, error)
        return ServerReply(server, reply, None)

    with ThreadPoolExecutor(len(servers.peers)) as threads:
        return list(threads.map(ask, servers.peers))


def _ask_any(servers: ConfigServers, request: AdminRequest, reply_type: type[ReplyT]) -> dict[str, ReplyT]:
    """The replies of those servers that replied, by name. Raises NoServerAvailableError where none did."""
    all_replies = ask_all(servers, request, reply_type)
    replies = {answer.server: answer.reply for answer in all_replies if answer.reply is not None}
    if not replies:
        raise NoServerAvailableError({answer.server: str(answer.error) for answer in all_replies})
    return replies


# ---- Versions ----


def list_versions(servers: ConfigServers) -> list[VersionRow]:
    """The kept versions of the server that knows the latest. Raises NoServerAvailableError."""
    lists = _ask_any(servers, VersionListRequest(), list[VersionRow])
    return max(lists.values(), key=_latest_number)


def get_version(servers: ConfigServers, number: int = 0) -> VersionReply:
    """The body of a version, 0: the latest. Raises NoServerAvailableError."""
    replies = _ask_any(servers, VersionRequest(number), VersionReply)
    return max(replies.values(), key=lambda version: version.number)


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
    answers = ask_all(servers, StatusRequest(), StatusRow)
    for answer in answers:
        if answer.reply is not None and answer.reply.leads:
            return LeaderSearch(servers.peers[answer.server], {}, any_replied=True)
    failures = {answer.server: str(answer.error or "does not lead") for answer in answers}
    return LeaderSearch("", failures, any(answer.reply is not None for answer in answers))


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
        """Attempt it until there is a final reply, or `timeout` seconds are over. Raises as `publish`."""
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
                versions = self._ask(leader, VersionListRequest(), list[VersionRow])
                self.expected_version = _latest_number(versions)
            request = PublishRequest(self.body, self.expected_version, self.author, self.request_id)
            reply = self._ask(leader, request, PublishReply)
        except (OSError, FrameError) as error:
            if self.expected_version is not None:
                self.unknown = PublishReply(False, 0, f"no answer: {error}", is_unknown=True)
            return None
        if reply.is_unknown:
            self.unknown = reply
        return reply if not reply.is_unknown and reply.leader is UNSET else None

    def _ask(self, leader: str, request: AdminRequest, reply_type: type[ReplyT]) -> ReplyT:
        return call_replica(leader, self.servers.secret, request, reply_type)

    def _begin_anew(self) -> None:
        """Another version came first: this request is known not to be committed."""
        self.expected_version, self.unknown = None, None
        self.request_id = secrets.token_hex(REQUEST_ID_BYTES)


# ---- The fleet ----


def fleet_status(servers: ConfigServers, version: int = 0) -> FleetStatus:
    """Which dispatchers have `version` or a later one applied (0: the latest that a server has).

    Raises NoServerAvailableError.
    """
    lists = _ask_any(servers, WatcherListRequest(), list[WatcherRow])
    silent_servers = [server for server in servers.peers if server not in lists]
    if not version:
        version = _latest_number(list_versions(servers))
    return group_watchers(version, itertools.chain.from_iterable(lists.values()), silent_servers)


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
