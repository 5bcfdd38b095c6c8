"""Simulates the decisions of config servers and watchers on one virtual clock, without sockets."""

import heapq
import random
from collections.abc import Callable
from functools import partial

from ploverspoke.config_distribution.broadcaster import VersionBroadcaster
from ploverspoke.config_distribution.errors import VersionRejectedError
from ploverspoke.config_distribution.messages import (
    ServerMessage,
    VerifiedVersion,
    WatchStatus,
    read_watch_status,
)
from ploverspoke.config_distribution.watcher import ConfigWatcher
from ploverspoke.transport.units import MILLISECOND, SECOND

from .samples import decoded, version


class VirtualFleet:
    """Servers and watchers on one virtual clock; messages over a cut link are lost."""

    def __init__(self, servers: int, watchers: int, local: Callable[[int], list[int]], seed: int = 1) -> None:
        self.clock = 100 * SECOND
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.event_count = 0
        self.seed = seed
        self.cuts: set[tuple[str, str]] = set()
        self.names = [f"s{number}" for number in range(servers)]
        self.servers = {name: FakeServer(self, name) for name in self.names}
        self.watchers = [
            FakeWatcher(self, number, [f"s{server}" for server in local(number)])
            for number in range(watchers)
        ]

    def call_later(self, delay: int, action: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (self.clock + delay, self.event_count, action))

    def run(self, duration: int) -> None:
        until = self.clock + duration
        while self.events and self.events[0][0] <= until:
            self.clock, _, action = heapq.heappop(self.events)
            action()
        self.clock = until

    def add_version(self, number: int, to: list[str] | None = None) -> None:
        for name in to or self.names:
            if self.servers[name].is_up:
                self.servers[name].broadcaster.add_version(version(number))
                self.servers[name].schedule_tick()

    def cut(self, name: str, other: str) -> None:
        self.cuts |= {(name, other), (other, name)}

    def applied_versions(self) -> list[int]:
        return [watcher.applied_version() for watcher in self.watchers]

    def whole_versions_sent(self) -> int:
        """Return the number of versions sent whole by all servers since their start."""
        return sum(server.broadcaster.counters.whole_versions_sent for server in self.servers.values())

    def dials(self) -> int:
        return sum(len(watcher.dialed) for watcher in self.watchers)


class FakeServer:
    """A simulated config server; `has_leader`: whether its replica is in contact with a leader."""

    def __init__(self, fleet: VirtualFleet, name: str) -> None:
        self.fleet, self.name = fleet, name
        self.is_up = self.has_leader = True
        self.start()

    def start(self) -> None:
        self.is_up = True
        self.links: dict[str, tuple[FakeWatcher, int]] = {}
        self.broadcaster = VersionBroadcaster(self, "fleet", 1000, 4_000_000)
        self.scheduled_tick_at = 0

    def now(self) -> int:
        return self.fleet.clock

    def has_recent_leader(self) -> bool:
        return self.has_leader

    def send(self, name: str, message: ServerMessage) -> int:
        watcher, link = self.links[name]
        self.fleet.call_later(MILLISECOND, lambda: watcher.on_message(link, self, decoded(message)))
        return 200

    def disconnect(self, name: str, reason: str) -> None:
        watcher, link = self.links.pop(name)
        self.fleet.call_later(MILLISECOND, lambda: watcher.on_disconnected(link, self))

    def schedule_tick(self) -> None:
        broadcaster = self.broadcaster
        if broadcaster.next_tick < (self.scheduled_tick_at or 1 << 62):
            self.scheduled_tick_at = broadcaster.next_tick
            delay = max(0, broadcaster.next_tick - self.fleet.clock)
            self.fleet.call_later(delay, lambda: self.on_timer(broadcaster))

    def on_timer(self, broadcaster: VersionBroadcaster) -> None:
        if broadcaster is self.broadcaster and self.is_up:
            self.scheduled_tick_at = 0
            broadcaster.tick()
            self.schedule_tick()

    def crash(self) -> None:
        """End the process: its connections end, and new ones are refused."""
        self.is_up = False
        for watcher, link in self.links.values():
            self.fleet.call_later(MILLISECOND, partial(watcher.on_disconnected, link, self))


class FakeWatcher:
    """A simulated watcher that rejects the versions in `rejected_numbers`."""

    def __init__(self, fleet: VirtualFleet, number: int, local_servers: list[str]) -> None:
        self.fleet, self.name = fleet, f"n{number}"
        self.random = random.Random(fleet.seed * 1000 + number)
        self.watcher = ConfigWatcher(self, "fleet", fleet.names, local_servers)
        self.open: dict[int, str] = {}
        self.dialed: list[tuple[int, str]] = []
        self.rejected_numbers: set[int] = set()
        self.log_lines: list[str] = []
        self.applied: list[int] = []
        self.watcher.start()
        self.schedule_tick()

    def now(self) -> int:
        return self.fleet.clock

    def random_fraction(self) -> float:
        return self.random.random()

    def log(self, line: str) -> None:
        self.log_lines.append(line)

    def apply_version(self, version: VerifiedVersion) -> None:
        if version.number in self.rejected_numbers:
            raise VersionRejectedError(version.number, f"settings.Number is {version.number}")
        self.applied.append(version.number)

    def applied_version(self) -> int:
        return self.watcher.versions.applied_version

    def server_changes(self) -> int:
        return self.watcher.counters.server_changes

    def reaches(self, address: str, back: bool = False) -> bool:
        return ((address, self.name) if back else (self.name, address)) not in self.fleet.cuts

    def dial(self, link: int, address: str) -> None:
        self.dialed.append((self.fleet.clock, address))
        self.open[link] = address
        if self.reaches(address) and self.reaches(address, back=True):
            self.fleet.call_later(2 * MILLISECOND, lambda: self.on_connected(link, address))

    def on_connected(self, link: int, address: str) -> None:
        server = self.fleet.servers[address]
        if link not in self.open:
            return
        if not server.is_up:
            self.on_disconnected(link, server)
            return
        self.watcher.on_greeting(link)
        if link in self.open:
            self.on_message(link, server, decoded(server.broadcaster.heartbeat()))

    def close_connection(self, link: int) -> None:
        address = self.open.pop(link)
        server = self.fleet.servers[address]
        if server.links.get(self.name) == (self, link) and self.reaches(address):
            del server.links[self.name]
            server.broadcaster.on_disconnected(self.name)

    def send(self, link: int, status: WatchStatus) -> None:
        if self.reaches(self.open[link]):
            server = self.fleet.servers[self.open[link]]
            self.fleet.call_later(MILLISECOND, lambda: self.on_status(link, server, status))

    def on_status(self, link: int, server: FakeServer, status: WatchStatus) -> None:
        if server.is_up and link in self.open:
            server.links[self.name] = (self, link)
            server.broadcaster.on_watch_status(self.name, read_watch_status(decoded(status)))
            server.schedule_tick()

    def on_message(self, link: int, server: FakeServer, message: object) -> None:
        if link in self.open and server.is_up and self.reaches(server.name, back=True):
            self.watcher.on_message(link, message)
            self.schedule_tick()

    def on_disconnected(self, link: int, server: FakeServer) -> None:
        if link in self.open and self.reaches(server.name, back=True):
            del self.open[link]
            self.watcher.on_disconnected(link)
            self.schedule_tick()

    def schedule_tick(self) -> None:
        at = self.watcher.next_tick()
        if at < 1 << 60:
            self.fleet.call_later(max(0, at - self.fleet.clock), lambda: self.on_timer(at))

    def on_timer(self, at: int) -> None:
        if self.watcher.next_tick() <= self.fleet.clock:
            self.watcher.tick()
            self.schedule_tick()
