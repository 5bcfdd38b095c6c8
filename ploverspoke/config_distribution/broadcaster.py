"""Decides what a config server sends to each of its watchers, and when. Without I/O.

Every replica sends the committed versions to its watchers, whether it is the leader or not. A watcher that is
behind receives only the latest version, and one message at a time: the next one is sent after the watcher has
reported its status, or after a timeout. If the watcher rejects the latest version, it receives the versions
that were skipped, the latest of them first, so that the active version of a dispatcher does not depend on how
fast versions were published. If many watchers are behind, each turn serves only a few of them, so that a new
version does not delay other work.

Times are nanoseconds of a monotonic clock.
"""

from collections import deque
from typing import Protocol

from ploverspoke.transport.units import MILLISECOND, NEVER, SECOND

from .messages import Heartbeat, ServerMessage, VersionMessage, WatchStatus, pack_version
from .state_machine import Version, count_excess_versions
from .watcher_records import BroadcastCounters, ConnectedWatcher, RememberedWatcher, WatcherRow

HEARTBEAT_INTERVAL_NS = SECOND
WATCHER_TIMEOUT_NS = 12 * SECOND  # since the last status; watchers send one every four seconds
MIN_VERSION_INTERVAL_NS = 250 * MILLISECOND  # between versions sent to the same watcher
# A version that no status has acknowledged by then is sent again, as a whole body instead of a delta.
RESEND_DELAY_NS = 2 * SECOND
WATCHER_BYTES_PER_SECOND = 8000  # average for one watcher, whose budget for all control traffic is 11 KB/s
MAX_VERSION_INTERVAL_NS = 2 * SECOND  # upper limit of the delay after a large version
MAX_VERSIONS_PER_TURN = 16
MAX_HEARTBEATS_PER_TURN = 64
TURN_INTERVAL_NS = 4 * MILLISECOND
MAX_REMEMBERED_WATCHERS = 4096
BURST_DIVISOR = 4  # a burst may send up to a quarter of one second's bytes


class BroadcasterEnvironment(Protocol):
    """The functions that a broadcaster needs from its driver."""

    def now(self) -> int:
        """Return the time of the monotonic clock, ns."""

    def has_recent_leader(self) -> bool:
        """Whether this replica is the leader, or has recently received a message from the leader."""

    def send(self, name: str, message: ServerMessage) -> int:
        """Send a message to the watcher; return its size on the wire, in bytes."""

    def disconnect(self, name: str, reason: str) -> None:
        """Close a watcher's connection; `on_disconnected` is not called for it."""


class VersionBroadcaster:
    """The decisions of one config server about its watchers; a driver calls `tick` at `next_tick`."""

    def __init__(
        self,
        environment: BroadcasterEnvironment,
        cluster: str,
        max_watchers: int,
        bytes_per_second: int,
    ) -> None:
        """`bytes_per_second` limits the traffic to all watchers together."""
        self.environment = environment
        self.cluster = cluster
        self.max_watchers = max_watchers
        self.bytes_per_second = bytes_per_second
        self.versions: dict[int, Version] = {}  # the kept versions, by number
        self.latest: Version | None = None
        # By the numbers of the version and of the delta base (0: whole body).
        self.packed_messages: dict[tuple[int, int], VersionMessage] = {}
        self.watchers: dict[str, ConnectedWatcher] = {}
        self.watchers_behind: dict[str, ConnectedWatcher] = {}  # in the order in which they are served
        self.heartbeats_due: deque[tuple[int, ConnectedWatcher]] = deque()  # earliest first
        self.remembered_watchers: dict[str, RememberedWatcher] = {}  # in the order of their last status
        self.byte_budget = float(bytes_per_second)
        self.budget_updated_at = environment.now()
        self.next_tick = NEVER
        self.counters = BroadcastCounters()

    # ---- Events ----

    def add_version(self, version: Version) -> None:
        """Add a committed version. A known one is ignored; one older than the latest only fills a gap."""
        if version.number in self.versions:
            return
        self.versions[version.number] = version
        kept = sorted(self.versions.values(), key=lambda kept_version: kept_version.number)
        for excess_version in kept[: count_excess_versions(kept)]:
            del self.versions[excess_version.number]
        if self.latest is not None and version.number < self.latest.number:
            return
        self.latest = version
        self.packed_messages.clear()
        for watcher in self.watchers.values():
            self._update_behind(watcher)
        self._schedule_tick_by(self.environment.now())

    def has_capacity_for(self, name: str) -> bool:
        """Whether the watcher may be served by this server; counts the watchers that may not."""
        if name in self.watchers or len(self.watchers) < self.max_watchers:
            return True
        self.counters.watchers_sent_elsewhere += 1
        return False

    def on_watch_status(self, name: str, status: WatchStatus) -> None:
        """Handle the status of a watcher; the first status makes it a connected watcher."""
        now = self.environment.now()
        watcher = self.watchers.get(name)
        if watcher is None:
            watcher = self.watchers[name] = ConnectedWatcher(name, status, now)
            self.heartbeats_due.append((now + HEARTBEAT_INTERVAL_NS, watcher))
            self._schedule_tick_by(now + HEARTBEAT_INTERVAL_NS)
        watcher.status, watcher.last_received_at = status, now
        watcher.sent_at, watcher.was_resent = 0, False
        self.remembered_watchers.pop(name, None)
        self.remembered_watchers[name] = RememberedWatcher(status, now)
        self._evict_remembered_watcher()
        self._update_behind(watcher)

    def on_disconnected(self, name: str) -> None:
        """Handle the end of a watcher's connection."""
        self.watchers.pop(name, None)
        self.watchers_behind.pop(name, None)
        if name in self.remembered_watchers:
            self.remembered_watchers[name].is_connected = False

    def tick(self) -> None:
        """Send all messages that are due; to be called at `next_tick`."""
        now = self.environment.now()
        self.next_tick = NEVER
        self._send_versions(now)
        self._send_heartbeats(now)

    # ---- Queries ----

    def latest_number(self) -> int:
        """Return the number of the latest version; 0 if there is none."""
        return self.latest.number if self.latest is not None else 0

    def heartbeat(self) -> Heartbeat:
        """Return the message that follows the greeting, and is sent to every watcher once a second."""
        return Heartbeat(self.latest_number(), self.environment.has_recent_leader())

    def watcher_rows(self) -> list[WatcherRow]:
        """Return the last known state of each watcher, including remembered disconnected ones."""
        now = self.environment.now()
        return [
            WatcherRow(
                name,
                watcher.status.applied_version,
                watcher.status.received_version,
                self._rejection_reason(watcher.status),
                round((now - watcher.last_received_at) / SECOND, 3),
                watcher.is_connected,
            )
            for name, watcher in self.remembered_watchers.items()
        ]

    def _rejection_reason(self, status: WatchStatus) -> str:
        number = status.received_version
        own_version = self.versions.get(number)
        if own_version is not None and own_version.digest != status.received_digest:
            # This text is part of the wire format: tools of other releases display it.
            return f"it holds another version {number} than this server: it was fed by another set"
        return status.rejection

    # ---- Versions ----

    def _version_for(self, status: WatchStatus) -> Version | None:
        """Return the next version to send to a watcher; None if the watcher is up to date."""
        if self.latest is None or status.received_version > self.latest.number:
            return None
        if status.received_version < self.latest.number:
            return self.latest
        skipped = (n for n in self.versions if status.applied_version < n < status.lowest_rejected)
        return self.versions.get(max(skipped, default=0))

    def _update_behind(self, watcher: ConnectedWatcher) -> None:
        if self._version_for(watcher.status) is not None:
            self.watchers_behind[watcher.name] = watcher
            self._schedule_tick_by(self.environment.now())
        else:
            self.watchers_behind.pop(watcher.name, None)

    def _send_versions(self, now: int) -> None:
        self._refill_byte_budget(now)
        sent = 0
        for watcher in list(self.watchers_behind.values()):
            resend_at = watcher.sent_at + RESEND_DELAY_NS if watcher.sent_at else 0
            ready_at = max(watcher.next_version_at, resend_at)
            if ready_at > now:
                self._schedule_tick_by(ready_at)
            elif sent == MAX_VERSIONS_PER_TURN or self.byte_budget <= 0:
                self._schedule_tick_by(now + TURN_INTERVAL_NS)
                break
            else:
                sent += 1
                # Move the watcher behind those that still wait for their first message.
                del self.watchers_behind[watcher.name]
                self.watchers_behind[watcher.name] = watcher
                self._send_version(watcher, now)
                self._schedule_tick_by(watcher.sent_at + RESEND_DELAY_NS)

    def _refill_byte_budget(self, now: int) -> None:
        refill = (now - self.budget_updated_at) * self.bytes_per_second / SECOND
        self.byte_budget = min(self.bytes_per_second / BURST_DIVISOR, self.byte_budget + refill)
        self.budget_updated_at = now

    def _send_version(self, watcher: ConnectedWatcher, now: int) -> None:
        version = self._version_for(watcher.status)
        assert version is not None  # because the watcher is in watchers_behind
        if watcher.sent_at:
            watcher.was_resent = True
        base = self._delta_base_for(watcher)
        key = version.number, base.number if base is not None else 0
        if key not in self.packed_messages:
            base_body = base.body if base is not None else None
            self.packed_messages[key] = pack_version(self.cluster, version, base_body)
        size = self.environment.send(watcher.name, self.packed_messages[key])
        pacing_delay = min(MAX_VERSION_INTERVAL_NS, size * SECOND // WATCHER_BYTES_PER_SECOND)
        watcher.sent_at = now
        watcher.next_version_at = now + max(MIN_VERSION_INTERVAL_NS, pacing_delay)
        self.byte_budget -= size
        self.counters.versions_sent += 1
        self.counters.whole_versions_sent += base is None
        self.counters.version_bytes_sent += size

    def _delta_base_for(self, watcher: ConnectedWatcher) -> Version | None:
        """Return the version that the watcher has, as the delta base; None if it needs the whole body."""
        status = watcher.status
        base = self.versions.get(status.received_version)
        if watcher.was_resent or status.wants_full_body:
            return None
        return base if base is not None and base.digest == status.received_digest else None

    # ---- Heartbeats ----

    def _send_heartbeats(self, now: int) -> None:
        heartbeat = self.heartbeat()
        for _ in range(MAX_HEARTBEATS_PER_TURN):
            if not self.heartbeats_due or self.heartbeats_due[0][0] > now:
                break
            _, watcher = self.heartbeats_due.popleft()
            if self.watchers.get(watcher.name) is not watcher:
                continue  # the watcher is no longer connected
            if now - watcher.last_received_at > WATCHER_TIMEOUT_NS:
                self.counters.silent_watchers += 1
                self.on_disconnected(watcher.name)
                self.environment.disconnect(watcher.name, "it sent no status in time")
                continue
            self.environment.send(watcher.name, heartbeat)
            self.heartbeats_due.append((now + HEARTBEAT_INTERVAL_NS, watcher))
        if self.heartbeats_due:
            self._schedule_tick_by(max(self.heartbeats_due[0][0], now + TURN_INTERVAL_NS))

    def _evict_remembered_watcher(self) -> None:
        """Above the limit, forget the disconnected watcher whose last status is the oldest."""
        if len(self.remembered_watchers) > MAX_REMEMBERED_WATCHERS:
            disconnected = (n for n, watcher in self.remembered_watchers.items() if not watcher.is_connected)
            oldest = next(disconnected, None)
            if oldest is not None:
                del self.remembered_watchers[oldest]

    def _schedule_tick_by(self, time: int) -> None:
        self.next_tick = min(self.next_tick, time)
