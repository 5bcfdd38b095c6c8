"""A config server on a disk and on sockets: a thin driver of `VersionBroadcaster` on a replica that keeps
`ConfigStateMachine`."""

import asyncio
from collections.abc import Callable
from typing import Any, cast

from ploverspoke.consensus.membership import PEERS
from ploverspoke.consensus.node import ReplicaNode, Reply
from ploverspoke.consensus.storage import ReplicaStorage
from ploverspoke.service.config_reader import ConfigError
from ploverspoke.transport.rate_limited_log import log_line

from .admin_messages import VersionReply, read_publish_request
from .broadcaster import VersionBroadcaster
from .clock_units import NEVER
from .cluster_config import ConfigServerConfig
from .messages import ServerMessage
from .overlay import canonical_json, read_body
from .state_machine import ConfigStateMachine, PublishCommand, Version, digest_of, short_digest

COMMITTED = "committed version"  # on this replica's disk, beside the log
FRESH_ELECTIONS = 3  # without a word of a leader for so many election time-outs a replica says so
LEAST_FRESH = 800_000_000  # ns


class ConfigServerNode(ReplicaNode):
    def __init__(self, orders: ConfigServerConfig, disk: ReplicaStorage | None = None) -> None:
        self.versions = ConfigStateMachine()
        super().__init__(orders.replica, self.versions, disk)
        replica = orders.replica
        self.feed = VersionBroadcaster(self, replica.cluster, orders.max_watchers, orders.bytes_per_second)
        self.send_watcher: Callable[[str, ServerMessage], int] = lambda name, message: 0
        self.drop_watcher: Callable[[str, str], None] = lambda name, why: None
        self.fresh_for = max(LEAST_FRESH, FRESH_ELECTIONS * replica.election)
        self.feeding: asyncio.TimerHandle | None = None
        self.feeding_at = NEVER
        self.kept_number = 0

    def opened(self) -> None:
        """A log says only from a leader on what of it is committed; what was known to be still is."""
        self.versions.on_version = self._committed
        kept = self.disk.kept(COMMITTED)
        if kept is not None:
            version = Version(*kept)
            self.kept_number = version.number
            self.feed.add_version(version)
            self.feed_again()

    def _committed(self, version: Version) -> None:
        self.feed.add_version(version)
        if version.number > self.kept_number and version is self.versions.latest():
            self.kept_number = version.number
            v = version
            self.keep(COMMITTED, [v.number, v.body, v.digest, v.canonical_digest, v.author, v.request_id])
            log_line(f"config: version {version.number} is committed ({short_digest(version.digest)})")
        self.feed_again()

    # ---- The feed's host ----

    def now(self) -> int:
        return self.clock.monotonic()

    def has_recent_leader(self) -> bool:
        replica = self.replica
        if replica is None:
            return False
        if replica.raft.role == "leader":
            return replica.leads()
        return bool(replica.raft.leader) and self.now() - replica.raft.heard_leader_at < self.fresh_for

    def send(self, name: str, message: ServerMessage) -> int:
        return self.send_watcher(name, message)

    def disconnect(self, name: str, reason: str) -> None:
        self.drop_watcher(name, reason)

    def feed_again(self) -> None:
        """See when the feed wants time next."""
        at = self.feed.next_tick
        if self.closed or at >= self.feeding_at:
            return
        if self.feeding is not None:
            self.feeding.cancel()
        self.feeding_at = at
        self.feeding = self.loop.call_later(max(0, at - self.now()) / 1e9, self._feed)

    def _feed(self) -> None:
        self.feeding, self.feeding_at = None, NEVER
        if not self.closed:
            self.feed.tick()
            self.feed_again()

    # ---- What tools ask ----

    def status_of_state(self) -> dict[str, Any]:
        feed = self.feed
        return {
            "version": feed.latest_number(),
            "fresh": self.has_recent_leader(),
            "watchers": len(feed.watchers),
            "watchers_behind": len(feed.watchers_behind),
            "pushes": feed.counters.versions_sent,
            "whole_pushes": feed.counters.whole_versions_sent,
            "pushed_bytes": feed.counters.version_bytes_sent,
            "silent": feed.counters.silent_watchers,
            "sent_elsewhere": feed.counters.watchers_sent_elsewhere,
        }

    def asked_of_state(self, question: dict[str, Any], reply: Reply) -> bool:
        verb = question.get("ask")
        if verb == "publish":
            self._publish(question, reply)
        elif verb == "versions":
            reply(self.versions.version_rows())
        elif verb == "version":
            found = self.versions.get(question["n"]) if question.get("n") else self.versions.latest()
            version = VersionReply(0)
            if found is not None:
                version = VersionReply(found.number, found.body, found.author)
            reply(version)
        elif verb == "watchers":
            reply(self.feed.watcher_rows())
        else:
            return False
        return True

    def _publish(self, question: dict[str, Any], reply: Reply) -> None:
        """Only a leader's answer with `version` counts; "unknown" where it may or may not be committed."""
        if not self.leads():
            reply({"done": False, "version": 0, "why": "this server does not lead", "leader": self._leader()})
            return
        try:
            asked = read_publish_request(question)
            canonical_digest = digest_of(canonical_json(read_body(asked.body)))
        except ConfigError as error:
            latest = self.versions.latest_number()
            refusal = {"done": False, "version": latest, "why": str(error), "bad": True}
            reply(refusal)
            return

        def told(yes: bool) -> None:
            answer = self.versions.results.get(asked.request_id)
            if answer is not None:
                reply({"done": answer.accepted, "version": answer.version, "why": answer.reason})
            else:
                why = "it is not known whether this was committed; ask again with the same id"
                reply({"done": False, "version": 0, "why": why, "unknown": True})

        command = PublishCommand(
            asked.body, canonical_digest, asked.expected_version, asked.author, asked.request_id
        ).encode()
        self.propose(cast(list[Any], command), told)  # bytes, so that consensus bounds its messages by them

    def _leader(self) -> str:
        raft = self.replica.raft if self.replica is not None else None
        told = raft.members().get(raft.leader) if raft is not None else None
        return str(told[PEERS]) if told is not None and raft is not None and raft.leader != self.me else ""

    async def close(self) -> None:
        if self.feeding is not None:
            self.feeding.cancel()
        await super().close()
