"""Decides what a config server sends to which of its watchers, and when. Without I/O.

Every replica does this from what is committed, whether it leads or not. A watcher that is behind gets the
latest version alone, one message at a time: the next one goes when it has reported its status, or has been
silent for a while. Where it rejects the latest version it gets those that were skipped for it, the later ones
first, so that what is active at a dispatcher does not depend on how fast versions were published. Many
watchers that are behind are served a few a turn, so that a change holds up nothing else.

Times are nanoseconds of a monotonic clock.
"""

from collections import deque
from typing import Protocol

from ploverspoke.transport.units import MILLISECOND, NEVER, SECOND

from .messages import Heartbeat, ServerMessage, VersionMessage, WatchStatus, pack_version
from .state_machine import Version, excess_versions
from .watcher_records import BroadcastCounters, ConnectedWatcher, RememberedWatcher, WatcherRow

HEARTBEAT_INTERVAL = SECOND
WATCHER_TIMEOUT = 12 * SECOND  # without a status; watchers send one every four seconds
MIN_VERSION_INTERVAL = 250 * MILLISECOND  # between two versions to one watcher
RESEND_AFTER = 2 * SECOND  # where no status answers a version; then whole, whatever the watcher has by now
WATCHER_BYTES_PER_SECOND = 8000  # to one watcher on average; its budget for all control traffic is 11 KB
MAX_VERSION_INTERVAL = 2 * SECOND  # a large version does not hold up the next one for longer
MAX_VERSIONS_PER_TURN = 16
MAX_HEARTBEATS_PER_TURN = 64
TURN = 4 * MILLISECOND
MAX_REMEMBERED_WATCHERS = 4096
BURST_FRACTION = 4  # a server may send a quarter of a second's bytes at once


class BroadcasterEnvironment(Protocol):
    """What a broadcaster needs of its driver."""

    def now(self) -> int:
        """The monotonic clock, ns."""

    def has_recent_leader(self) -> bool:
        """Whether this replica leads, or has lately received something from one."""

    def send(self, name: str, message: ServerMessage) -> int:
        """Send to that watcher; the bytes that it takes on the wire."""

    def disconnect(self, name: str, reason: str) -> None:
        """Close a watcher's connection; `on_disconnected` is not called for it."""


class VersionBroadcaster:
    """The decisions of one config server towards its watchers; a driver calls it at `next_tick`."""

    def __init__(
        self,
        environment: BroadcasterEnvironment,
        cluster: str,
        max_watchers: int,
        bytes_per_second: int,
    ) -> None:
        """`bytes_per_second` bounds what is sent to all watchers together."""
        self.environment = environment
        self.cluster = cluster
        self.max_watchers = max_watchers
        self.bytes_per_second = bytes_per_second
        self.versions: dict[int, Version] = {}  # by number, as many of the latest as are kept
        self.latest: Version | None = None
        # By the numbers of the version and of its base (0: whole).
        self.packed: dict[tuple[int, int], VersionMessage] = {}
        self.watchers: dict[str, ConnectedWatcher] = {}
        self.watchers_behind: dict[str, ConnectedWatcher] = {}  # in the order in which they are served
        self.heartbeats_due: deque[tuple[int, ConnectedWatcher]] = deque()  # the earliest first
        self.remembered: dict[str, RememberedWatcher] = {}  # in the order of their latest status
        self.byte_budget = float(bytes_per_second)
        self.budget_updated_at = environment.now()
        self.next_tick = NEVER
        self.counters = BroadcastCounters()

    # ---- Events ----

    def add_version(self, version: Version) -> None:
        """A version is committed. A repeated one changes nothing, an older one only fills a gap."""
        if version.number in self.versions:
            return
        self.versions[version.number] = version
        kept = sorted(self.versions.values(), key=lambda kept_version: kept_version.number)
        for old in kept[: excess_versions(kept)]:
            del self.versions[old.number]
        if self.latest is not None and version.number < self.latest.number:
            return
        self.latest = version
        self.packed.clear()
        for watcher in self.watchers.values():
            self._update_behind(watcher)
        self._tick_by(self.environment.now())

    def has_capacity_for(self, name: str) -> bool:
        """Whether a watcher of that name may be served here; counts those that may not."""
        if name in self.watchers or len(self.watchers) < self.max_watchers:
            return True
        self.counters.watchers_sent_elsewhere += 1
        return False

    def on_watch_status(self, name: str, status: WatchStatus) -> None:
        """A watcher reports its status; the first one makes it a connected watcher."""
        now = self.environment.now()
        watcher = self.watchers.get(name)
        if watcher is None:
            watcher = self.watchers[name] = ConnectedWatcher(name, status, now)
            self.heartbeats_due.append((now + HEARTBEAT_INTERVAL, watcher))
            self._tick_by(now + HEARTBEAT_INTERVAL)
        watcher.status, watcher.last_received_at = status, now
        watcher.sent_at, watcher.was_resent = 0, False
        self.remembered.pop(name, None)
        self.remembered[name] = RememberedWatcher(status, now)
        self._limit_remembered()
        self._update_behind(watcher)

    def on_disconnected(self, name: str) -> None:
        """A watcher's connection ended."""
        self.watchers.pop(name, None)
        self.watchers_behind.pop(name, None)
        if name in self.remembered:
            self.remembered[name].is_connected = False

    def tick(self) -> None:
        """Time has passed, `next_tick` at the earliest."""
        now = self.environment.now()
        self.next_tick = NEVER
        self._send_versions(now)
        self._send_heartbeats(now)

    # ---- Queries ----

    def latest_number(self) -> int:
        """The number of the latest version; 0 where there is none."""
        return self.latest.number if self.latest is not None else 0

    def heartbeat(self) -> Heartbeat:
        """What a new connection is sent first, and every watcher once a second."""
        return Heartbeat(self.latest_number(), self.environment.has_recent_leader())

    def watcher_rows(self) -> list[WatcherRow]:
        """What is known of each watcher that has sent a status, also of those not connected now."""
        now = self.environment.now()
        return [
            WatcherRow(
                name,
                watcher.status.applied_version,
                watcher.status.received_version,
                self._rejection(watcher.status),
                round((now - watcher.last_received_at) / SECOND, 3),
                watcher.is_connected,
            )
            for name, watcher in self.remembered.items()
        ]

    def _rejection(self, status: WatchStatus) -> str:
        number = status.received_version
        own = self.versions.get(number)
        if own is not None and own.digest != status.received_digest:
            # Part of the wire: tools of other releases show it.
            return f"it holds another version {number} than this server: it was fed by another set"
        return status.rejection

    # ---- Versions ----

    def _version_for(self, status: WatchStatus) -> Version | None:
        """The version to send to a watcher; None where it has all that it can have."""
        if self.latest is None or status.received_version > self.latest.number:
            return None
        if status.received_version < self.latest.number:
            return self.latest
        skipped = (n for n in self.versions if status.applied_version < n < status.lowest_rejected)
        return self.versions.get(max(skipped, default=0))

    def _update_behind(self, watcher: ConnectedWatcher) -> None:
        if self._version_for(watcher.status) is not None:
            self.watchers_behind[watcher.name] = watcher
            self._tick_by(self.environment.now())
        else:
            self.watchers_behind.pop(watcher.name, None)

    def _send_versions(self, now: int) -> None:
        self._refill_budget(now)
        sent = 0
        for watcher in list(self.watchers_behind.values()):
            resend_at = watcher.sent_at + RESEND_AFTER if watcher.sent_at else 0
            ready_at = max(watcher.next_version_at, resend_at)
            if ready_at > now:
                self._tick_by(ready_at)
            elif sent == MAX_VERSIONS_PER_TURN or self.byte_budget <= 0:
                self._tick_by(now + TURN)
                break
            else:
                sent += 1
                # Behind those that wait for their first message.
                del self.watchers_behind[watcher.name]
                self.watchers_behind[watcher.name] = watcher
                self._send_version(watcher, now)
                self._tick_by(watcher.sent_at + RESEND_AFTER)

    def _refill_budget(self, now: int) -> None:
        earned = (now - self.budget_updated_at) * self.bytes_per_second / SECOND
        self.byte_budget = min(self.bytes_per_second / BURST_FRACTION, self.byte_budget + earned)
        self.budget_updated_at = now

    def _send_version(self, watcher: ConnectedWatcher, now: int) -> None:
        version = self._version_for(watcher.status)
        assert version is not None  # it stands among those behind
        if watcher.sent_at:
            watcher.was_resent = True
        base = self._base_for(watcher)
        key = version.number, base.number if base is not None else 0
        if key not in self.packed:
            base_body = base.body if base is not None else None
            self.packed[key] = pack_version(self.cluster, version, base_body)
        size = self.environment.send(watcher.name, self.packed[key])
        pace = min(MAX_VERSION_INTERVAL, size * SECOND // WATCHER_BYTES_PER_SECOND)
        watcher.sent_at = now
        watcher.next_version_at = now + max(MIN_VERSION_INTERVAL, pace)
        self.byte_budget -= size
        self.counters.versions_sent += 1
        self.counters.whole_versions_sent += base is None
        self.counters.version_bytes_sent += size

    def _base_for(self, watcher: ConnectedWatcher) -> Version | None:
        """The version that the watcher holds, as base of a delta; None where it needs the whole body."""
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
                continue  # it is no longer connected
            if now - watcher.last_received_at > WATCHER_TIMEOUT:
                self.counters.silent_watchers += 1
                self.on_disconnected(watcher.name)
                self.environment.disconnect(watcher.name, "it sent no status in time")
                continue
            self.environment.send(watcher.name, heartbeat)
            self.heartbeats_due.append((now + HEARTBEAT_INTERVAL, watcher))
        if self.heartbeats_due:
            self._tick_by(max(self.heartbeats_due[0][0], now + TURN))

    def _limit_remembered(self) -> None:
        """Forget the watcher whose latest status is the oldest, but none that is connected."""
        if len(self.remembered) > MAX_REMEMBERED_WATCHERS:
            disconnected = (n for n, watcher in self.remembered.items() if not watcher.is_connected)
            oldest = next(disconnected, None)
            if oldest is not None:
                del self.remembered[oldest]

    def _tick_by(self, time: int) -> None:
        self.next_tick = min(self.next_tick, time)
