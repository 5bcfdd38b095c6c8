"""A config server's part towards those that watch it, without I/O: who has what, and what goes to whom when.

Every replica does this from what is committed, whether it leads or not. A watcher that is behind gets the
latest version alone, one parcel at a time: the next one goes when it has said what it has, or has said
nothing for a while. Where it refuses the latest one it gets what it was not given for it, the later ones
first: what is in force at a dispatcher is not to depend on how fast versions came. Many that are behind are
served a few at a turn, so that a change holds up nothing else.
"""

from collections import deque
from typing import Any, Protocol

from .messages import Heartbeat, Message, WatchStatus, pack
from .state_machine import Version, surplus

MILLISECOND = 1_000_000
SECOND = 1000 * MILLISECOND
BEAT_EVERY = SECOND
SILENT = 12 * SECOND  # who has said nothing for so long is not there; watchers speak every four seconds
PUSH_EVERY = 250 * MILLISECOND  # to one watcher at the most
PUSH_AGAIN = 2 * SECOND  # where no word came to a parcel; then whole, whatever the watcher has by now
WATCHER_BYTES = 8000  # a second to one watcher, on the average; its budget for all control is 11 KB
LONGEST_PACE = 2 * SECOND  # but a large version does not hold up the next one for longer
AT_A_TURN = 16  # parcels
BEATS_AT_A_TURN = 64
TURN = 4 * MILLISECOND
MOST_SEEN = 4096  # names that are remembered
NEVER = 1 << 62


class BroadcasterEnvironment(Protocol):
    def now(self) -> int:
        """ns of a monotonic clock."""

    def is_fresh(self) -> bool:
        """Whether this replica leads, or has heard from a leader lately."""

    def send(self, name: str, message: Message) -> int:
        """To that watcher; gives the bytes that it took."""

    def drop(self, name: str, why: str) -> None:
        """Close its connection; `gone` is not called for it."""


class ConnectedWatcher:
    """One that is connected and has said what it has."""

    def __init__(self, name: str, have: WatchStatus, now: int) -> None:
        self.name = name
        self.have = have
        self.heard_at = now
        self.sent_at = 0  # when a parcel went that nothing was said to since; 0: none is on its way
        self.sent_again = False
        self.next_push = 0


class Seen:
    """What a name was last known to have."""

    def __init__(self, have: WatchStatus, heard_at: int) -> None:
        self.have = have
        self.heard_at = heard_at
        self.connected = True


class VersionBroadcaster:
    def __init__(
        self, host: BroadcasterEnvironment, cluster: str, most_watchers: int, bytes_a_second: int
    ) -> None:
        self.host = host
        self.cluster = cluster
        self.most_watchers = most_watchers
        self.bytes_a_second = bytes_a_second
        self.known: dict[int, Version] = {}  # as many of the latest as are kept
        self.latest: Version | None = None
        self.packed: dict[
            tuple[int, int], Message
        ] = {}  # by version and the base that it rests on (0: whole)
        self.watchers: dict[str, ConnectedWatcher] = {}
        self.behind: dict[str, ConnectedWatcher] = {}
        self.beats: deque[tuple[int, ConnectedWatcher]] = deque()  # when each is due, in that order
        self.seen: dict[str, Seen] = {}
        self.may_send = float(bytes_a_second)
        self.filled_at = host.now()
        self.next_wake = NEVER
        self.pushes = self.whole_pushes = self.pushed_bytes = self.silent = self.sent_elsewhere = 0

    # ---- What can happen ----

    def offer(self, version: Version) -> None:
        """A version is committed. Told again, or late, it changes nothing."""
        if version.number in self.known:
            return
        self.known[version.number] = version
        kept = sorted(self.known.values(), key=lambda one: one.number)
        for old in kept[: surplus(kept)]:
            del self.known[old.number]
        if self.latest is not None and version.number < self.latest.number:
            return
        self.latest = version
        self.packed.clear()
        for watcher in self.watchers.values():
            self._look(watcher)
        self._wake_by(self.host.now())

    def has_room_for(self, name: str) -> bool:
        if name in self.watchers or len(self.watchers) < self.most_watchers:
            return True
        self.sent_elsewhere += 1
        return False

    def beat(self) -> Message:
        """What a connection hears first, and all of them every second."""
        return Heartbeat(self.latest.number if self.latest is not None else 0, self.host.is_fresh()).message()

    def said(self, name: str, have: WatchStatus) -> None:
        """A watcher says what it has: its first word makes it one."""
        now = self.host.now()
        watcher = self.watchers.get(name)
        if watcher is None:
            watcher = self.watchers[name] = ConnectedWatcher(name, have, now)
            self.beats.append((now + BEAT_EVERY, watcher))
            self._wake_by(now + BEAT_EVERY)
        watcher.have, watcher.heard_at = have, now
        watcher.sent_at, watcher.sent_again = 0, False
        self.seen.pop(name, None)
        self.seen[name] = Seen(have, now)
        self._forget()
        self._look(watcher)

    def gone(self, name: str) -> None:
        """Its connection is over."""
        self.watchers.pop(name, None)
        self.behind.pop(name, None)
        if name in self.seen:
            self.seen[name].connected = False

    def tick(self) -> None:
        """Time has passed. `next_wake` says when it is wanted again."""
        now = self.host.now()
        self.next_wake = NEVER
        self._push_some(now)
        self._beat_some(now)

    # ---- What is asked ----

    def rows(self) -> list[list[Any]]:
        """Name, version in force, version that came, why it is refused, seconds since heard, connected."""
        now = self.host.now()
        return [
            [
                name,
                seen.have.in_force,
                seen.have.number,
                self._reason(seen.have),
                round((now - seen.heard_at) / SECOND, 3),
                seen.connected,
            ]
            for name, seen in self.seen.items()
        ]

    def _reason(self, have: WatchStatus) -> str:
        ours = self.known.get(have.number)
        if ours is not None and ours.digest != have.digest:
            return f"it holds another version {have.number} than this server: it was fed by another set"
        return have.reason

    # ---- Inside ----

    def _wanted(self, have: WatchStatus) -> Version | None:
        """What a watcher is to be given; None where it has all that it can have."""
        if self.latest is None or have.number > self.latest.number:
            return None
        if have.number < self.latest.number:
            return self.latest
        number = max((n for n in self.known if have.in_force < n < have.refused), default=0)
        return self.known.get(number)

    def _look(self, watcher: ConnectedWatcher) -> None:
        if self._wanted(watcher.have) is not None:
            self.behind[watcher.name] = watcher
            self._wake_by(self.host.now())
        else:
            self.behind.pop(watcher.name, None)

    def _push_some(self, now: int) -> None:
        most = self.bytes_a_second / 4
        self.may_send = min(most, self.may_send + (now - self.filled_at) * self.bytes_a_second / SECOND)
        self.filled_at = now
        pushed = 0
        for watcher in list(self.behind.values()):
            ready_at = max(watcher.next_push, watcher.sent_at + PUSH_AGAIN if watcher.sent_at else 0)
            if ready_at > now:
                self._wake_by(ready_at)
            elif pushed == AT_A_TURN or self.may_send <= 0:
                self._wake_by(now + TURN)
                break
            else:
                pushed += 1
                # Behind those that wait for their first.
                del self.behind[watcher.name]
                self.behind[watcher.name] = watcher
                self._push(watcher, now)
                self._wake_by(watcher.sent_at + PUSH_AGAIN)

    def _push(self, watcher: ConnectedWatcher, now: int) -> None:
        version = self._wanted(watcher.have)
        assert version is not None
        if watcher.sent_at:
            watcher.sent_again = True
        base = self.known.get(watcher.have.number)
        if watcher.sent_again or watcher.have.whole or (base and base.digest != watcher.have.digest):
            base = None
        key = version.number, base.number if base is not None else 0
        if key not in self.packed:
            self.packed[key] = pack(self.cluster, version, base.body if base is not None else None)
        size = self.host.send(watcher.name, self.packed[key])
        watcher.sent_at = now
        watcher.next_push = now + max(PUSH_EVERY, min(LONGEST_PACE, size * SECOND // WATCHER_BYTES))
        self.may_send -= size
        self.pushes += 1
        self.whole_pushes += base is None
        self.pushed_bytes += size

    def _beat_some(self, now: int) -> None:
        beat = self.beat()
        for _ in range(BEATS_AT_A_TURN):
            if not self.beats or self.beats[0][0] > now:
                break
            _, watcher = self.beats.popleft()
            if self.watchers.get(watcher.name) is not watcher:
                continue
            if now - watcher.heard_at > SILENT:
                self.silent += 1
                self.gone(watcher.name)
                self.host.drop(watcher.name, "it has said nothing for a while")
                continue
            self.host.send(watcher.name, beat)
            self.beats.append((now + BEAT_EVERY, watcher))
        if self.beats:
            self._wake_by(max(self.beats[0][0], now + TURN))

    def _forget(self) -> None:
        if len(self.seen) > MOST_SEEN:
            away = next((name for name, seen in self.seen.items() if not seen.connected), None)
            if away is not None:
                del self.seen[away]

    def _wake_by(self, at: int) -> None:
        self.next_wake = min(self.next_wake, at)
