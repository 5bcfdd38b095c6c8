"""A config server on a disk and on sockets: a thin driver of `VersionBroadcaster` on a replica that keeps
`ConfigStateMachine`."""

import asyncio
from collections.abc import Callable
from typing import Any

from ploverspoke.consensus.node import ReplicaNode, Reply
from ploverspoke.consensus.storage import ReplicaStorage
from ploverspoke.service.config_reader import ConfigError
from ploverspoke.transport.rate_limited_log import log_line

from .broadcaster import NEVER, VersionBroadcaster
from .cluster_config import ConfigServerConfig
from .messages import Message, is_number
from .overlay import canonical, read_body
from .state_machine import ConfigStateMachine, Version, digest_of, publish_command

COMMITTED = "committed version"  # on this replica's disk, beside the log
FRESH_ELECTIONS = 3  # without a word of a leader for so many election time-outs a replica says so
LEAST_FRESH = 800_000_000  # ns
LONGEST_TEXT = 200  # of who publishes, and of a request's id


class ConfigServerNode(ReplicaNode):
    def __init__(self, orders: ConfigServerConfig, storage: ReplicaStorage | None = None) -> None:
        self.versions = ConfigStateMachine()
        super().__init__(orders.replica, self.versions, storage)
        replica = orders.replica
        self.feed = VersionBroadcaster(self, replica.cluster, orders.most_watchers, orders.bytes_a_second)
        self.send_watcher: Callable[[str, Message], int] = lambda name, message: 0
        self.drop_watcher: Callable[[str, str], None] = lambda name, why: None
        self.fresh_for = max(LEAST_FRESH, FRESH_ELECTIONS * replica.election_timeout)
        self.feeding: asyncio.TimerHandle | None = None
        self.feeding_at = NEVER
        self.kept_number = 0

    def on_storage_opened(self) -> None:
        """A log says only from a leader on what of it is committed; what was known to be still is."""
        self.versions.on_version = self._committed
        kept = self.storage.load_value(COMMITTED)
        if kept is not None:
            version = Version(*kept)
            self.kept_number = version.number
            self.feed.offer(version)
            self.feed_again()

    def _committed(self, version: Version) -> None:
        self.feed.offer(version)
        if version.number > self.kept_number and version is self.versions.latest():
            self.kept_number = version.number
            v = version
            self.save_value(COMMITTED, [v.number, v.body, v.digest, v.canonical, v.by, v.id])
            log_line(f"config: version {version.number} is committed ({version.says()})")
        self.feed_again()

    # ---- The feed's host ----

    def now(self) -> int:
        return self.clock.monotonic()

    def is_fresh(self) -> bool:
        return self.is_in_contact(self.fresh_for)

    def send(self, name: str, message: Message) -> int:
        return self.send_watcher(name, message)

    def drop(self, name: str, why: str) -> None:
        self.drop_watcher(name, why)

    def feed_again(self) -> None:
        """See when the feed wants time next."""
        at = self.feed.next_wake
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

    def state_status(self) -> dict[str, Any]:
        feed = self.feed
        return {
            "version": feed.latest.number if feed.latest is not None else 0,
            "fresh": self.is_fresh(),
            "watchers": len(feed.watchers),
            "watchers_behind": len(feed.behind),
            "pushes": feed.pushes,
            "whole_pushes": feed.whole_pushes,
            "pushed_bytes": feed.pushed_bytes,
            "silent": feed.silent,
            "sent_elsewhere": feed.sent_elsewhere,
        }

    def handle_state_request(self, request: dict[str, Any], reply: Reply) -> bool:
        verb = request.get("ask")
        if verb == "publish":
            self._publish(request, reply)
        elif verb == "versions":
            reply(self.versions.rows())
        elif verb == "version":
            found = self.versions.get(request["n"]) if request.get("n") else self.versions.latest()
            reply({"n": found.number, "body": found.body, "by": found.by} if found is not None else {"n": 0})
        elif verb == "watchers":
            reply(self.feed.rows())
        else:
            return False
        return True

    def _publish(self, question: dict[str, Any], reply: Reply) -> None:
        """Only a leader's answer with `version` counts; "unknown" where it may or may not be committed."""
        if not self.leads():
            reply({"done": False, "version": 0, "why": "this server does not lead", "leader": self._leader()})
            return
        try:
            body, expect, by, request = checked_request(question)
            same = digest_of(canonical(read_body(body)))
        except ConfigError as error:
            refusal = {"done": False, "version": self.versions.number(), "why": str(error), "bad": True}
            reply(refusal)
            return

        def told(yes: bool) -> None:
            answer = self.versions.answers.get(request)
            if answer is not None:
                reply({"done": answer.done, "version": answer.version, "why": answer.why})
            else:
                why = "it is not known whether this was committed; ask again with the same id"
                reply({"done": False, "version": 0, "why": why, "unknown": True})

        command = publish_command(body, same, expect, by, request)
        self.propose(command, told)  # bytes, so that consensus bounds its messages by them

    def _leader(self) -> str:
        leader = self.leader()
        return leader.peer_address if leader is not None and leader.name != self.config.name else ""

    async def close(self) -> None:
        if self.feeding is not None:
            self.feeding.cancel()
        await super().close()


def checked_request(question: dict[str, Any]) -> tuple[str, int, str, str]:
    """Body, expected version, by whom, and id of a publish request. Raises ConfigError."""
    body, expect = question.get("body"), question.get("expect")
    by, request = question.get("by"), question.get("id")
    if not isinstance(body, str):
        raise ConfigError("body: expected a text")
    if not is_number(expect):
        raise ConfigError("expect: expected the number of the version that is to be replaced, 0 for none")
    for key, value in (("by", by), ("id", request)):
        if not isinstance(value, str) or not 0 < len(value) <= LONGEST_TEXT:
            raise ConfigError(f"{key}: expected a text of 1 to {LONGEST_TEXT} characters")
    return body, expect, str(by), str(request)
