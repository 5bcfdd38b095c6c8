"""One config server: a replica of `ConfigStateMachine`, and the driver of `VersionBroadcaster`."""

from typing import Protocol

from ploverspoke.consensus.admin_messages import KIND_KEY, WireMap
from ploverspoke.consensus.node import ReplicaNode
from ploverspoke.consensus.peer_links import Reply
from ploverspoke.consensus.storage import ReplicaStorage
from ploverspoke.service.config_reader import ConfigError
from ploverspoke.transport.loop_timer import LoopTimer
from ploverspoke.transport.rate_limited_log import log_line
from ploverspoke.transport.units import MILLISECOND, NEVER

from .admin_messages import (
    LIST_VERSIONS,
    LIST_WATCHERS,
    PUBLISH,
    READ_VERSION,
    ConfigServerStatus,
    PublishReply,
    VersionReply,
    read_publish_request,
    read_version_request,
)
from .broadcaster import VersionBroadcaster
from .cluster_config import ConfigServerConfig
from .messages import ServerMessage
from .overlay import canonical_json, read_body
from .state_machine import ConfigStateMachine, PublishCommand, Version, digest_of, short_digest

COMMITTED_KEY = "committed version"  # of a value in this replica's storage, outside the log
# After this many election timeouts without a leader, a server reports the loss of contact to its watchers.
LEADER_CONTACT_ELECTION_TIMEOUTS = 3
MIN_LEADER_CONTACT_TIMEOUT_NS = 800 * MILLISECOND

# Reasons in replies; they are part of the wire format.
NOT_LEADER = "this server does not lead"
UNKNOWN_RESULT = "it is not known whether this was committed; ask again with the same id"


class WatcherConnections(Protocol):
    """The connections of the watchers, by watcher name."""

    def send(self, client_name: str, message: ServerMessage) -> int:
        """Send a message; return its size on the wire in bytes, 0 if it was not sent."""

    def disconnect(self, client_name: str, reason: str) -> None:
        """Close a watcher's connection."""


class ConfigServerNode(ReplicaNode):
    """The replica of one config server, which sends committed versions to its watchers in any role."""

    def __init__(self, server_config: ConfigServerConfig, storage: ReplicaStorage | None = None) -> None:
        """Without `storage`, the storage in the configured folder is used."""
        replica_config = server_config.replica
        self.versions = ConfigStateMachine()
        super().__init__(replica_config, self.versions, storage)
        self.broadcaster = VersionBroadcaster(
            self, replica_config.cluster, server_config.max_watchers, server_config.bytes_per_second
        )
        self.watcher_connections: WatcherConnections | None = None  # None: watchers are not served yet
        self.leader_contact_timeout = max(
            MIN_LEADER_CONTACT_TIMEOUT_NS, LEADER_CONTACT_ELECTION_TIMEOUTS * replica_config.election_timeout
        )
        self.tick_timer = LoopTimer(self._tick)
        self.stored_committed_number = 0  # number of the version stored under COMMITTED_KEY

    def on_storage_opened(self) -> None:
        """Serve the stored version that is known to be committed.

        Without a leader, the log alone does not show which of its entries are committed.
        """
        self.versions.on_version = self._on_committed
        version = self.storage.load_value(COMMITTED_KEY, Version)
        if version is not None:
            self.stored_committed_number = version.number
            self.broadcaster.add_version(version)
            self.schedule_tick()

    def _on_committed(self, version: Version) -> None:
        self.broadcaster.add_version(version)
        if version.number > self.stored_committed_number and version is self.versions.latest():
            self.stored_committed_number = version.number
            self.save_value(COMMITTED_KEY, version)
            log_line(f"config: version {version.number} is committed ({short_digest(version.digest)})")
        self.schedule_tick()

    # ---- Environment of the broadcaster ----

    def now(self) -> int:
        """Return the time of the monotonic clock, ns."""
        return self.clock.monotonic()

    def has_recent_leader(self) -> bool:
        """Whether this replica is the leader, or has recently received a message from the leader."""
        return self.has_leader_contact_within(self.leader_contact_timeout)

    def send(self, name: str, message: ServerMessage) -> int:
        """Send a message to the watcher; return its size on the wire, in bytes."""
        return self.watcher_connections.send(name, message) if self.watcher_connections is not None else 0

    def disconnect(self, name: str, reason: str) -> None:
        """Close a watcher's connection."""
        if self.watcher_connections is not None:
            self.watcher_connections.disconnect(name, reason)

    def schedule_tick(self) -> None:
        """Schedule the broadcaster's next `tick`; to be called after each of its events."""
        next_tick_at = self.broadcaster.next_tick
        if not self.closed and next_tick_at < NEVER:
            self.tick_timer.set_earlier(next_tick_at)

    def _tick(self) -> None:
        if not self.closed:
            self.broadcaster.tick()
            self.schedule_tick()

    # ---- Requests of tools ----

    def state_status(self) -> ConfigServerStatus:
        """Return the fields that a config server adds to the replica status."""
        counters = self.broadcaster.counters
        return ConfigServerStatus(
            version=self.broadcaster.latest_number(),
            has_recent_leader=self.has_recent_leader(),
            watchers=len(self.broadcaster.watchers),
            watchers_behind=len(self.broadcaster.watchers_behind),
            versions_sent=counters.versions_sent,
            whole_versions_sent=counters.whole_versions_sent,
            version_bytes_sent=counters.version_bytes_sent,
            silent_watchers=counters.silent_watchers,
            watchers_sent_elsewhere=counters.watchers_sent_elsewhere,
        )

    def handle_state_request(self, request: WireMap, reply: Reply) -> bool:
        """Reply to a tool's request; return False if it is not a request specific to config servers."""
        kind = request.get(KIND_KEY)
        if kind == PUBLISH:
            self._publish(request, reply)
        elif kind == LIST_VERSIONS:
            reply(self.versions.version_rows())
        elif kind == READ_VERSION:
            reply(self._version_reply(read_version_request(request).number))
        elif kind == LIST_WATCHERS:
            reply(self.broadcaster.watcher_rows())
        else:
            return False
        return True

    def _version_reply(self, number: int) -> VersionReply:
        version = self.versions.get(number) if number else self.versions.latest()
        if version is None:
            return VersionReply(0)
        return VersionReply(version.number, version.body, version.author)

    def _publish(self, message: WireMap, reply: Reply) -> None:
        """Propose a version; the reply is sent once it is committed or lost."""
        if not self.leads():
            reply(PublishReply(False, 0, NOT_LEADER, leader=self._leader_address()))
            return
        try:
            request = read_publish_request(message)
            canonical_digest = digest_of(canonical_json(read_body(request.body)))
        except ConfigError as error:
            reply(PublishReply(False, self.versions.latest_number(), str(error), is_invalid=True))
            return
        command = PublishCommand(
            request.body, canonical_digest, request.expected_version, request.author, request.request_id
        )
        # Encoded as bytes, so that consensus can limit its messages by their length.
        self.propose(command.encode(), lambda _: reply(self._publish_reply(request.request_id)))

    def _publish_reply(self, request_id: str) -> PublishReply:
        result = self.versions.results.get(request_id)
        if result is None:
            return PublishReply(False, 0, UNKNOWN_RESULT, is_unknown=True)
        return PublishReply(result.accepted, result.version, result.reason)

    def _leader_address(self) -> str:
        """Return the leader's peer address; empty if unknown or if this server is the leader."""
        leader = self.leader()
        return leader.peer_address if leader is not None and leader.name != self.config.name else ""

    async def close(self) -> None:
        """Stop the timer and the replica."""
        self.tick_timer.cancel()
        await super().close()
