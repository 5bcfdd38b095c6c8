"""A config server's decisions about its watchers: which versions it sends, pacing, limits and timeouts."""

from ploverspoke.config_distribution.broadcaster import (
    MAX_REMEMBERED_WATCHERS,
    MAX_VERSIONS_PER_TURN,
    MIN_VERSION_INTERVAL_NS,
    RESEND_DELAY_NS,
    WATCHER_TIMEOUT_NS,
    VersionBroadcaster,
)
from ploverspoke.config_distribution.messages import ServerMessage, VersionMessage, WatchStatus
from ploverspoke.config_distribution.state_machine import digest_of
from ploverspoke.config_distribution.watcher_records import WatcherRow
from ploverspoke.transport.units import MILLISECOND, SECOND

from .samples import NO_STATUS, status, version


class FakeEnvironment:
    def __init__(self, max_watchers: int = 2000, bytes_per_second: int = 4_000_000, size: int = 200) -> None:
        self.clock = 100 * SECOND
        self.size = size
        self.sent: list[tuple[str, ServerMessage]] = []
        self.disconnected: list[str] = []
        self.broadcaster = VersionBroadcaster(self, "fleet", max_watchers, bytes_per_second)

    def now(self) -> int:
        return self.clock

    def has_recent_leader(self) -> bool:
        return True

    def send(self, name: str, message: ServerMessage) -> int:
        self.sent.append((name, message))
        return self.size

    def disconnect(self, name: str, reason: str) -> None:
        self.disconnected.append(name)

    def versions_sent(self, duration: int = 0) -> list[tuple[str, VersionMessage]]:
        """Return the versions sent in `duration`, advancing the clock to each `next_tick`."""
        self.sent.clear()
        until = self.clock + duration
        self.broadcaster.tick()
        while self.broadcaster.next_tick <= until:
            self.clock = max(self.clock, self.broadcaster.next_tick)
            self.broadcaster.tick()
        self.clock = until
        return [(name, message) for name, message in self.sent if isinstance(message, VersionMessage)]


def test_watcher_behind_gets_only_the_latest_version_one_message_at_a_time() -> None:
    environment = FakeEnvironment()
    broadcaster = environment.broadcaster
    broadcaster.add_version(version(1))
    broadcaster.on_watch_status("n1", status(1))
    assert not environment.versions_sent(100 * MILLISECOND)
    for number in range(2, 30):
        broadcaster.add_version(version(number))
    ((_, first),) = environment.versions_sent(100 * MILLISECOND)
    assert (first.version, first.base_digest) == (29, version(1).digest)
    broadcaster.add_version(version(30))
    assert not environment.versions_sent(MIN_VERSION_INTERVAL_NS)  # the first version is not yet acknowledged
    broadcaster.on_watch_status("n1", status(29))
    ((_, second),) = environment.versions_sent(10 * MILLISECOND)
    assert (second.version, second.base_digest) == (30, version(29).digest)
    broadcaster.on_watch_status("n1", status(30))
    broadcaster.add_version(version(31))
    assert not environment.versions_sent(MIN_VERSION_INTERVAL_NS - 20 * MILLISECOND)  # delayed by pacing
    assert len(environment.versions_sent(20 * MILLISECOND)) == 1
    broadcaster.on_watch_status("n1", WatchStatus(31, version(31).digest, 30, "settings.X", 0))
    broadcaster.add_version(version(31))
    assert not environment.versions_sent(2 * SECOND)  # a rejected version is not sent again
    assert broadcaster.watcher_rows()[0] == WatcherRow("n1", 30, 31, "settings.X", 2.0, True)


def test_unanswered_version_is_resent_whole_and_silent_watcher_is_disconnected() -> None:
    environment = FakeEnvironment()
    broadcaster = environment.broadcaster
    broadcaster.add_version(version(1))
    broadcaster.on_watch_status("n1", status(1))
    broadcaster.add_version(version(2))
    resent = environment.versions_sent(2 * RESEND_DELAY_NS + 50 * MILLISECOND)
    assert [message.base_digest is None for _, message in resent] == [False, True, True]
    environment.versions_sent(WATCHER_TIMEOUT_NS)
    assert environment.disconnected == ["n1"] and not broadcaster.watchers
    assert broadcaster.watcher_rows()[0].is_connected is False
    broadcaster.on_watch_status("n1", status(1))
    ((_, message),) = environment.versions_sent(100 * MILLISECOND)
    assert message.base_digest is not None and broadcaster.watcher_rows()[0].is_connected is True


def test_watcher_with_unknown_base_gets_the_whole_body() -> None:
    environment = FakeEnvironment()
    broadcaster = environment.broadcaster
    broadcaster.add_version(version(3))
    broadcaster.add_version(version(5))
    broadcaster.on_watch_status("n0", WatchStatus(3, digest_of("another"), 3, "", 0))
    broadcaster.on_watch_status("n1", WatchStatus(4, version(4).digest, 4, "", 0))
    broadcaster.on_watch_status("n2", WatchStatus(5, digest_of("another"), 5, "", 0))
    broadcaster.on_watch_status("n3", WatchStatus(9, digest_of("later"), 9, "", 0))
    broadcaster.on_watch_status("n4", WatchStatus(2, b"", 0, "", 0, True))
    sent = [(name, message.base_digest) for name, message in environment.versions_sent(100 * MILLISECOND)]
    assert sent == [("n0", None), ("n1", None), ("n4", None)]
    rejections = {row.name: row.rejection for row in broadcaster.watcher_rows()}
    assert "another version 5" in rejections["n2"] and not rejections["n3"]


def test_versions_per_turn_and_bytes_per_second_are_bounded() -> None:
    environment = FakeEnvironment(bytes_per_second=400_000, size=1000)
    broadcaster = environment.broadcaster
    broadcaster.add_version(version(1))
    for number in range(400):
        broadcaster.on_watch_status(f"n{number}", status(1))
    broadcaster.add_version(version(2))
    broadcaster.tick()
    assert len(environment.sent) == MAX_VERSIONS_PER_TURN
    served = {name for name, _ in environment.versions_sent(100 * MILLISECOND)}
    assert len(served) < 160
    served |= {name for name, _ in environment.versions_sent(900 * MILLISECOND)}
    assert len(served) == 400 - MAX_VERSIONS_PER_TURN


def test_watchers_and_remembered_names_are_bounded() -> None:
    environment = FakeEnvironment(max_watchers=2)
    broadcaster = environment.broadcaster
    for name in ("n1", "n2"):
        assert broadcaster.has_capacity_for(name)
        broadcaster.on_watch_status(name, NO_STATUS)
    assert not broadcaster.has_capacity_for("n3") and broadcaster.has_capacity_for("n2")
    broadcaster.on_disconnected("n1")
    assert broadcaster.has_capacity_for("n3")
    for number in range(MAX_REMEMBERED_WATCHERS + 50):
        broadcaster.on_watch_status(f"x{number}", NO_STATUS)
        broadcaster.on_disconnected(f"x{number}")
    assert len(broadcaster.remembered_watchers) == MAX_REMEMBERED_WATCHERS
    assert "n2" in broadcaster.remembered_watchers  # a connected watcher is not forgotten
