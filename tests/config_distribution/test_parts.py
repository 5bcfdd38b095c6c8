"""ConfigStateMachine, overlays, parcels, the feed and the watch: event by event, on virtual time, with
failures."""

import heapq
import json
import random
import zlib
from collections.abc import Callable
from typing import Any

import pytest

from ploverspoke.config_distribution.broadcaster import (
    AT_A_TURN,
    MOST_SEEN,
    PUSH_AGAIN,
    PUSH_EVERY,
    SILENT,
    VersionBroadcaster,
)
from ploverspoke.config_distribution.messages import (
    Heartbeat,
    Message,
    VersionRejectedError,
    WatchStatus,
    pack,
    read_greeting,
    read_heartbeat,
    read_watch_status,
    unpack,
)
from ploverspoke.config_distribution.overlay import (
    LONGEST_BODY,
    apply_overlay,
    canonical,
    merge_patch,
    read_body,
)
from ploverspoke.config_distribution.state_machine import (
    KEPT,
    ConfigStateMachine,
    Version,
    digest_of,
    publish_command,
)
from ploverspoke.config_distribution.watcher import AppliedVersion, ConfigWatcher
from ploverspoke.service.config_reader import ConfigError

MS = 1_000_000
S = 1000 * MS
NOBODY = WatchStatus(0, b"", 0, "", False)


def body(number: int) -> str:
    return json.dumps({"settings": {"Number": number, "Same": list(range(400))}})


def version(number: int) -> Version:
    text = body(number)
    return Version(number, text, digest_of(text), digest_of(canonical(json.loads(text))), "me", f"id{number}")


def has(number: int) -> WatchStatus:
    return WatchStatus(number, version(number).digest, number, "", False)


# ---- Overlays ----


def test_a_body_is_laid_on_as_a_merge_patch_the_zones_part_last() -> None:
    own = {
        "name": "n7",
        "discovery": "a:1",
        "settings": {
            "SlotNo": 7,
            "Zone": 1,
            "Localities": ["a", "b"],
            "Limits": {"MaxOpen": 5, "Cancel": True},
        },
    }
    told = {
        "settings": {"Limits": {"MaxOpen": 9, "Cancel": None}, "Round": [1, 2]},
        "zones": {
            "a": {"discovery": "x:1"},
            "b": {"discovery": "b:1", "settings": {"Limits": {"MaxOpen": 3}}},
        },
    }
    laid = apply_overlay(own, read_body(json.dumps(told)))
    assert laid["settings"] == {
        **{"SlotNo": 7, "Zone": 1, "Localities": ["a", "b"]},
        **{"Limits": {"MaxOpen": 3}, "Round": [1, 2]},
    }
    assert (laid["name"], laid["discovery"], own["discovery"]) == ("n7", "b:1", "a:1")
    assert apply_overlay({**own, "settings": {"Zone": 5}}, told)["discovery"] == "a:1"
    # Of RFC 7386, appendix A.
    for target, patch, result in (
        ({"a": "b"}, {"a": None}, {}),
        ({"a": [{"b": "c"}]}, {"a": [1]}, {"a": [1]}),
        ({"e": None}, {"a": 1}, {"e": None, "a": 1}),
        ([1, 2], {"a": "b", "c": None}, {"a": "b"}),
        ({}, {"a": {"bb": {"ccc": None}}}, {"a": {"bb": {}}}),
    ):
        assert merge_patch(target, patch) == result


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ('{"name": "n1"}', "name: a dispatcher's own"),
        ('{"limits": {}}', "limits: a dispatcher's own"),
        ('{"settings": {"SlotNo": 1}}', "settings.SlotNo"),
        ('{"zones": {"a": {"settings": {"Zone": 1}}}}', "zones.a.settings.Zone"),
        ('{"zones": {"a": {"peers": []}}}', "zones.a.peers"),
        ('{"zones": {"a": 1}}', "zones.a: expected an object"),
        ('{"settings": []}', "settings: expected an object"),
        ('{"settings": null}', "settings: expected an object"),
        ('{"discovery": 1}', "discovery: expected a text"),
        ('{"settings": {"A": 1, "A": 2}}', "A: twice"),
        ('{"settings": {"A": NaN}}', "NaN"),
        ("[]", "expected an object"),
        ("{", "no JSON"),
        ("[" * 100_000, "no JSON"),
        ('{"settings": ' + '{"a":' * 40 + "1" + "}" * 41, "levels"),
        ('{"settings": {"a": "' + "x" * LONGEST_BODY + '"}}', "bytes at the most"),
    ],
)
def test_what_no_version_may_say_is_refused_and_the_key_is_named(text: str, says: str) -> None:
    with pytest.raises(ConfigError, match=says):
        read_body(text)


# ---- ConfigStateMachine ----


def publish(state: ConfigStateMachine, text: str, expect: int, request: str) -> tuple[bool, int, str]:
    state.apply(0, publish_command(text, digest_of(canonical(json.loads(text))), expect, "me", request))
    answer = state.answers[request]
    return answer.done, answer.version, answer.why


def test_a_version_is_published_once_and_only_in_the_place_of_the_one_that_was_seen() -> None:
    state, seen = ConfigStateMachine(), []
    state.on_version = lambda one: seen.append(one.number)
    assert publish(state, body(1), 0, "a") == (True, 1, "")
    assert publish(state, body(2), 0, "b") == (False, 1, "version 1 is in force, and 0 was expected")
    assert publish(state, body(2), 1, "c") == (True, 2, "")
    assert publish(state, body(2), 1, "c") == (True, 2, "")  # asked again: the same answer, no new version
    assert publish(state, body(2), 1, "b")[0] is False  # also of a refusal
    same = json.dumps(json.loads(body(2)), indent=3)
    assert publish(state, same, 2, "d") == (True, 2, "version 2 says the same")
    state.apply(0, b"\x91\xa4what")  # a verb of a later release
    assert seen == [1, 2]
    other = ConfigStateMachine()
    other.restore_snapshot(state.take_snapshot())
    assert other.rows() == state.rows() and other.answers == state.answers
    for number in range(3, 2 * KEPT):
        assert publish(other, body(number), number - 1, f"n{number}")[1] == number
    assert [row[0] for row in other.rows()] == list(range(KEPT, 2 * KEPT))
    large = [json.dumps({"settings": {"x": f"{n}" * 900_000}}) for n in range(9)]
    for at, text in enumerate(large):
        publish(other, text, 2 * KEPT - 1 + at, f"l{at}")
    assert 2 <= len(other.kept) <= 6 and other.number() == 2 * KEPT - 1 + len(large)


# ---- Parcels ----


def test_a_parcel_is_small_against_what_the_watcher_has_and_whole_where_it_has_nothing() -> None:
    delta, whole = pack("fleet", version(2), body(1)), pack("fleet", version(2), None)
    assert unpack(delta, "fleet", body(1)) == unpack(whole, "fleet", "") == (2, version(2).digest, body(2))
    assert len(delta["z"]) < 60 and len(whole["z"]) > 500


def harmed(**other: Any) -> Message:
    return {**pack("fleet", version(2), None), **other}


@pytest.mark.parametrize(
    ("message", "says"),
    [
        (harmed(v=2), "format version 2"),
        (harmed(v=None), "format version None"),
        (harmed(c="other"), "cluster 'other'"),
        (harmed(n=True), "none"),
        (harmed(n=-1), "none"),
        (harmed(d=b"short"), "none"),
        (harmed(d=digest_of("")), "wrong digest"),
        (harmed(z="text"), "none"),
        (harmed(z=b"garbage"), "cannot be unpacked"),
        (harmed(z=pack("fleet", version(2), None)["z"][:-3]), "cut off"),
        (harmed(z=pack("fleet", version(2), None)["z"] + b"x"), "something behind"),
        (harmed(z=zlib.compress(b"x" * 50 * LONGEST_BODY)), "over 1048576 bytes"),
        (harmed(z=zlib.compress(b"\xff\xfe")), "cannot be unpacked"),
        (pack("fleet", version(2), body(7)), "not ours"),
    ],
)
def test_a_parcel_that_is_harmed_or_foreign_is_refused(message: Message, says: str) -> None:
    with pytest.raises(VersionRejectedError, match=says):
        unpack(message, "fleet", body(1))


def test_what_the_two_sides_say_is_read_strictly() -> None:
    whole = WatchStatus(3, digest_of("x"), 2, "settings.X is missing", True)
    assert read_watch_status(whole.message()) == whole and read_heartbeat(
        Heartbeat(4, True).message()
    ) == Heartbeat(4, True)
    good = has(1).message()
    bad = [None, [], {}, {**good, "k": "beat"}, {**good, "n": "1"}, {**good, "f": -1}, {**good, "w": None}]
    for message in [*bad, {**good, "d": "text"}, {**good, "d": b"x"}, {**good, "n": 1 << 60}]:
        with pytest.raises(VersionRejectedError):
            read_watch_status(message)
    with pytest.raises(VersionRejectedError):
        read_heartbeat({"k": "beat", "n": 1, "l": 1})
    greets = {"id": "n1", "store": "", "watch": 1, "cluster": "fleet"}
    assert read_greeting(greets, "fleet") == "n1"
    for other in ({"id": ""}, {"id": 7}, {"id": "a\nb"}, {"id": "n" * 200}, {"watch": 2}, {"cluster": "x"}):
        with pytest.raises(VersionRejectedError):
            read_greeting({**greets, **other}, "fleet")


# ---- The feed ----


class BroadcasterEnvironment:
    def __init__(self, most: int = 2000, bytes_a_second: int = 4_000_000, size: int = 200) -> None:
        self.clock = 100 * S
        self.size = size
        self.sent: list[tuple[str, Message]] = []
        self.dropped: list[str] = []
        self.feed = VersionBroadcaster(self, "fleet", most, bytes_a_second)

    def now(self) -> int:
        return self.clock

    def is_fresh(self) -> bool:
        return True

    def send(self, name: str, message: Message) -> int:
        self.sent.append((name, message))
        return self.size

    def drop(self, name: str, why: str) -> None:
        self.dropped.append(name)

    def pushes(self, span: int = 0) -> list[tuple[str, Message]]:
        """What went out in that time, the clock moved on by what the feed asks for; heartbeats left out."""
        self.sent.clear()
        until = self.clock + span
        self.feed.tick()
        while self.feed.next_wake <= until:
            self.clock = max(self.clock, self.feed.next_wake)
            self.feed.tick()
        self.clock = until
        return [(name, message) for name, message in self.sent if message["k"] == "push"]


def test_one_parcel_at_a_time_and_a_watcher_that_is_behind_gets_the_latest_alone() -> None:
    host = BroadcasterEnvironment()
    host.feed.offer(version(1))
    host.feed.said("n1", has(1))
    assert not host.pushes(100 * MS)
    for number in range(2, 30):
        host.feed.offer(version(number))
    ((_, first),) = host.pushes(100 * MS)
    assert (first["n"], first["b"]) == (29, version(1).digest)
    host.feed.offer(version(30))
    assert not host.pushes(PUSH_EVERY)  # nothing was said to the first one yet
    host.feed.said("n1", has(29))
    ((_, second),) = host.pushes(10 * MS)
    assert (second["n"], second["b"]) == (30, version(29).digest)
    host.feed.said("n1", has(30))
    host.feed.offer(version(31))
    assert not host.pushes(PUSH_EVERY - 20 * MS) and len(host.pushes(20 * MS)) == 1  # paced
    host.feed.said("n1", WatchStatus(31, version(31).digest, 30, "settings.X", False))
    host.feed.offer(version(31))
    assert not host.pushes(2 * S)  # what it refuses is not sent again
    assert host.feed.rows()[0][:4] == ["n1", 30, 31, "settings.X"]


def test_where_nothing_is_said_to_a_parcel_it_goes_again_whole_and_who_is_silent_is_let_go() -> None:
    host = BroadcasterEnvironment()
    host.feed.offer(version(1))
    host.feed.said("n1", has(1))
    host.feed.offer(version(2))
    again = host.pushes(2 * PUSH_AGAIN + 50 * MS)
    assert [m["b"] is None for _, m in again] == [False, True, True]
    host.pushes(SILENT)
    assert host.dropped == ["n1"] and not host.feed.watchers and host.feed.rows()[0][5] is False
    host.feed.said("n1", has(1))
    ((_, message),) = host.pushes(100 * MS)
    assert message["b"] is not None and host.feed.rows()[0][5] is True


def test_a_base_that_the_server_does_not_have_gets_the_whole() -> None:
    host = BroadcasterEnvironment()
    host.feed.offer(version(3))
    host.feed.offer(version(5))
    host.feed.said("n0", WatchStatus(3, digest_of("another"), 3, "", False))
    host.feed.said("n1", WatchStatus(4, version(4).digest, 4, "", False))
    host.feed.said("n2", WatchStatus(5, digest_of("another"), 5, "", False))
    host.feed.said("n3", WatchStatus(9, digest_of("later"), 9, "", False))
    host.feed.said("n4", WatchStatus(2, b"", 0, "", True))
    assert [(name, m["b"]) for name, m in host.pushes(100 * MS)] == [("n0", None), ("n1", None), ("n4", None)]
    told = {row[0]: row[3] for row in host.feed.rows()}
    assert "another version 5" in told["n2"] and not told["n3"]


def test_a_change_goes_out_a_few_at_a_turn_and_within_the_bytes_of_a_server() -> None:
    host = BroadcasterEnvironment(bytes_a_second=400_000, size=1000)
    host.feed.offer(version(1))
    for number in range(400):
        host.feed.said(f"n{number}", has(1))
    host.feed.offer(version(2))
    host.feed.tick()
    assert len(host.sent) == AT_A_TURN
    got = {name for name, _ in host.pushes(100 * MS)}
    assert len(got) < 160
    got |= {name for name, _ in host.pushes(900 * MS)}
    assert len(got) == 400 - AT_A_TURN


def test_a_server_takes_as_many_watchers_as_it_may_and_remembers_a_bounded_number_of_names() -> None:
    host = BroadcasterEnvironment(most=2)
    for name in ("n1", "n2"):
        assert host.feed.has_room_for(name)
        host.feed.said(name, NOBODY)
    assert not host.feed.has_room_for("n3") and host.feed.has_room_for("n2")
    host.feed.gone("n1")
    assert host.feed.has_room_for("n3")
    for number in range(MOST_SEEN + 50):
        host.feed.said(f"x{number}", NOBODY)
        host.feed.gone(f"x{number}")
    assert len(host.feed.seen) == MOST_SEEN and "n2" in host.feed.seen  # who is connected stays


# ---- Watches and feeds together ----


class World:
    """Feeds and watches in one virtual time; what comes over a link that is cut is lost."""

    def __init__(self, servers: int, watchers: int, near: Callable[[int], list[int]], seed: int = 1) -> None:
        self.clock = 100 * S
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.count = 0
        self.seed = seed
        self.cuts: set[tuple[str, str]] = set()
        self.names = [f"s{n}" for n in range(servers)]
        self.servers = {name: Server(self, name) for name in self.names}
        self.watchers = [Watcher(self, n, [f"s{m}" for m in near(n)]) for n in range(watchers)]

    def after(self, span: int, what: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.events, (self.clock + span, self.count, what))

    def run(self, span: int) -> None:
        until = self.clock + span
        while self.events and self.events[0][0] <= until:
            self.clock, _, what = heapq.heappop(self.events)
            what()
        self.clock = until

    def offer(self, number: int, to: list[str] | None = None) -> None:
        for name in to or self.names:
            if self.servers[name].up:
                self.servers[name].feed.offer(version(number))
                self.servers[name].arm()

    def cut(self, one: str, other: str) -> None:
        self.cuts |= {(one, other), (other, one)}

    def in_force(self) -> list[int]:
        return [watcher.watch.in_force for watcher in self.watchers]

    def dials(self) -> int:
        return sum(len(watcher.dialled) for watcher in self.watchers)


class Server:
    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        self.up = self.fresh = True
        self.start()

    def start(self) -> None:
        self.up = True
        self.links: dict[str, tuple[Watcher, int]] = {}
        self.feed = VersionBroadcaster(self, "fleet", 1000, 4_000_000)
        self.armed = 0

    def now(self) -> int:
        return self.world.clock

    def is_fresh(self) -> bool:
        return self.fresh

    def send(self, name: str, message: Message) -> int:
        watcher, link = self.links[name]
        self.world.after(MS, lambda: watcher.heard(link, self, message))
        return 200

    def drop(self, name: str, why: str) -> None:
        watcher, link = self.links.pop(name)
        self.world.after(MS, lambda: watcher.ended(link, self))

    def arm(self) -> None:
        feed = self.feed
        if feed.next_wake < (self.armed or 1 << 62):
            self.armed = feed.next_wake
            self.world.after(max(0, feed.next_wake - self.world.clock), lambda: self.ring(feed))

    def ring(self, feed: VersionBroadcaster) -> None:
        if feed is self.feed and self.up:
            self.armed = 0
            feed.tick()
            self.arm()

    def crash(self) -> None:
        """The process is gone: its connections end, and who dials is refused."""
        self.up = False
        for watcher, link in self.links.values():
            self.world.after(MS, lambda w=watcher, x=link: w.ended(x, self))  # type: ignore[misc]


class Watcher:
    def __init__(self, world: World, number: int, near: list[str]) -> None:
        self.world, self.name = world, f"n{number}"
        self.chance = random.Random(world.seed * 1000 + number)
        self.watch = ConfigWatcher(self, "fleet", world.names, near)
        self.open: dict[int, str] = {}
        self.dialled: list[tuple[int, str]] = []
        self.refuses: set[int] = set()
        self.said: list[str] = []
        self.taken: list[int] = []
        self.watch.begin()
        self.arm()

    def now(self) -> int:
        return self.world.clock

    def fraction(self) -> float:
        return self.chance.random()

    def log(self, line: str) -> None:
        self.said.append(line)

    def take(self, number: int, digest: bytes, body: str) -> str:
        if number in self.refuses:
            return f"settings.Number is {number}"
        self.taken.append(number)
        return ""

    def reaches(self, where: str, back: bool = False) -> bool:
        return ((where, self.name) if back else (self.name, where)) not in self.world.cuts

    def dial(self, link: int, where: str) -> None:
        self.dialled.append((self.world.clock, where))
        self.open[link] = where
        if self.reaches(where) and self.reaches(where, back=True):
            self.world.after(2 * MS, lambda: self.answered(link, where))

    def answered(self, link: int, where: str) -> None:
        server = self.world.servers[where]
        if link not in self.open:
            return
        if not server.up:
            self.ended(link, server)
            return
        self.watch.greeted(link)
        if link in self.open:
            self.heard(link, server, server.feed.beat())

    def hang_up(self, link: int) -> None:
        where = self.open.pop(link)
        server = self.world.servers[where]
        if server.links.get(self.name) == (self, link) and self.reaches(where):
            del server.links[self.name]
            server.feed.gone(self.name)

    def send(self, link: int, message: Message) -> None:
        if self.reaches(self.open[link]):
            server = self.world.servers[self.open[link]]
            self.world.after(MS, lambda: self.arrives(link, server, message))

    def arrives(self, link: int, server: Server, message: Message) -> None:
        if server.up and link in self.open:
            server.links[self.name] = (self, link)
            server.feed.said(self.name, read_watch_status(message))
            server.arm()

    def heard(self, link: int, server: Server, message: Message) -> None:
        if link in self.open and server.up and self.reaches(server.name, back=True):
            self.watch.told(link, message)
            self.arm()

    def ended(self, link: int, server: Server) -> None:
        if link in self.open and self.reaches(server.name, back=True):
            del self.open[link]
            self.watch.lost(link)
            self.arm()

    def arm(self) -> None:
        at = self.watch.wake()
        if at < 1 << 60:
            self.world.after(max(0, at - self.world.clock), lambda: self.ring(at))

    def ring(self, at: int) -> None:
        if self.watch.wake() <= self.world.clock:
            self.watch.tick()
            self.arm()


def near_by_half(number: int) -> list[int]:
    return [0, 1, 2] if number % 2 else [3, 4]


def test_a_change_is_everywhere_and_watchers_spread_over_their_near_servers() -> None:
    world = World(5, 100, near_by_half)
    world.run(2 * S)
    watching = [len(world.servers[name].links) for name in world.names]
    assert sum(watching) == 100 and min(watching) >= 8 and sum(watching[:3]) == 50
    for number in range(1, 6):
        world.offer(number)
        world.run(S)
        assert set(world.in_force()) == {number}
    assert world.dials() == 100
    assert sum(server.feed.whole_pushes for server in world.servers.values()) == 100  # the first; then deltas


FAULTS: dict[str, Callable[[World], None]] = {
    "a server's machine is gone": lambda w: [w.cut(x.name, "s0") for x in w.watchers] and None,
    "a server dies": lambda w: w.servers["s0"].crash(),
    "two servers die": lambda w: [w.servers[name].crash() for name in ("s0", "s3")] and None,
    "four servers are gone": lambda w: [w.cut(x.name, f"s{n}") for x in w.watchers for n in range(4)]
    and None,
    "nothing comes from a server": lambda w: w.cuts.update(("s0", x.name) for x in w.watchers),
    "nothing comes to a server": lambda w: w.cuts.update((x.name, "s0") for x in w.watchers),
}


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("seed", [1, 2])
def test_what_is_published_right_after_a_fault_is_in_force_everywhere_within_ten_seconds(
    fault: str, seed: int
) -> None:
    world = World(5, 40, near_by_half, seed)
    world.offer(1)
    world.run(8 * S)
    FAULTS[fault](world)
    world.offer(2)
    world.run(10 * S)
    assert set(world.in_force()) == {2}, fault


def test_watchers_of_a_server_that_is_cut_from_the_majority_go_on_to_others() -> None:
    world = World(5, 60, near_by_half)
    world.offer(1)
    world.run(8 * S)
    world.servers["s0"].fresh = world.servers["s3"].fresh = False
    world.offer(2, ["s1", "s2", "s4"])
    world.run(10 * S)
    assert set(world.in_force()) == {2}
    assert not world.servers["s0"].links and not world.servers["s3"].links


def test_a_region_that_is_cut_off_keeps_its_watches_and_catches_up() -> None:
    world = World(5, 20, near_by_half)
    world.offer(1)
    world.run(8 * S)
    cut_off = [watcher for watcher in world.watchers if watcher.watch.near == {"s3", "s4"}]
    for watcher in world.watchers:
        for name in ("s0", "s1", "s2") if watcher in cut_off else ("s3", "s4"):
            world.cut(watcher.name, name)
    world.servers["s3"].fresh = world.servers["s4"].fresh = False
    before = [watcher.watch.link for watcher in world.watchers]
    world.offer(2, ["s0", "s1", "s2"])
    world.run(600 * S)
    dials = [len(watcher.dialled) for watcher in cut_off]
    assert [w.watch.link for w in world.watchers] == before and not any(w.watch.changes for w in cut_off)
    assert max(dials) <= 600 / 8 + 10  # trials go on, ever more rarely
    assert {w.watch.in_force for w in cut_off} == {1} and {w.watch.in_force for w in world.watchers} == {1, 2}
    world.cuts.clear()
    for name in ("s3", "s4"):
        world.servers[name].fresh = True
        world.offer(2, [name])
    world.run(5 * S)
    assert set(world.in_force()) == {2}


@pytest.mark.parametrize("down", [S, 3 * S])
def test_when_all_servers_start_again_their_watchers_do_not_come_in_one_moment(down: int) -> None:
    world = World(5, 100, near_by_half)
    world.offer(1)
    world.run(8 * S)
    for server in world.servers.values():
        server.crash()
    world.run(down)
    back_at = world.clock
    for server in world.servers.values():
        server.start()
    world.offer(2)
    world.run(10 * S)
    assert set(world.in_force()) == {2}
    came = sorted(watcher.dialled[-1][0] - back_at for watcher in world.watchers)
    most = max(sum(1 for at in came if begin <= at < begin + 100 * MS) for begin in came)
    assert most < 50 and came[-1] < 4 * S


def test_who_watches_a_far_server_goes_home_when_a_near_one_is_back() -> None:
    world = World(3, 30, lambda n: [0])
    world.servers["s0"].crash()
    world.run(10 * S)
    assert not any(w.watch.link and w.watch.link.where == "s0" for w in world.watchers)
    world.servers["s0"].start()
    world.run(120 * S)
    assert len(world.servers["s0"].links) == 30 and all(w.watch.changes == 1 for w in world.watchers)


# ---- One watch ----


def one_watcher() -> tuple[World, Watcher, int]:
    world = World(2, 1, lambda n: [0])
    world.offer(1)
    world.run(2 * S)
    (watcher,) = world.watchers
    assert watcher.watch.in_force == 1 and watcher.watch.link is not None
    return world, watcher, watcher.watch.link.number


def test_a_refused_version_changes_nothing_and_the_next_one_rests_on_it() -> None:
    world, watcher, _ = one_watcher()
    watcher.refuses = {2}
    world.offer(2)
    world.run(S)
    assert watcher.taken == [1] and watcher.said[-1] == "config: version 2 refused: settings.Number is 2"
    (row,) = world.servers["s0"].feed.rows()
    assert row[:4] == ["n0", 1, 2, "settings.Number is 2"] and row[5]
    world.offer(3)
    world.run(S)
    assert watcher.taken == [1, 3] and watcher.watch.reason == ""
    assert world.servers["s0"].feed.whole_pushes == 1  # the very first


def test_what_was_skipped_for_a_version_that_is_refused_is_given_the_latest_good_one_first() -> None:
    world, watcher, _ = one_watcher()
    watcher.refuses = {4, 5, 7}
    for number in (2, 3, 4, 5):
        world.offer(number)  # all at once: 5 is what goes out
    world.run(2 * S)
    assert watcher.taken == [1, 3] and watcher.watch.in_force == 3
    (row,) = world.servers["s0"].feed.rows()
    assert row[:4] == ["n0", 3, 5, "settings.Number is 5"]
    assert not world.servers["s0"].feed.behind
    for number in (6, 7):
        world.offer(number)
    world.run(2 * S)
    assert watcher.taken == [1, 3, 6] and watcher.watch.reason == "settings.Number is 7"
    world.offer(8)
    world.run(S)
    assert watcher.watch.in_force == 8 and watcher.watch.reason == ""
    assert sum(server.feed.whole_pushes for server in world.servers.values()) == 1


def test_an_older_version_after_a_newer_one_changes_nothing_and_is_said() -> None:
    world, watcher, link = one_watcher()
    world.offer(3)
    world.run(S)
    watcher.watch.told(link, pack("fleet", version(2), None))
    assert watcher.watch.in_force == 3 and watcher.taken == [1, 3]
    assert watcher.said[-1] == "config: a message is refused: version 2 is older than 3"
    before = len(watcher.said)
    watcher.watch.told(link, pack("fleet", version(3), None))  # sent twice
    assert len(watcher.said) == before and watcher.watch.link is not None


@pytest.mark.parametrize(
    "message",
    [
        {**pack("fleet", version(2), None), "d": digest_of("")},
        {**pack("fleet", version(2), None), "v": 9},
        pack("other", version(2), None),
        {"k": "beat", "n": "x", "l": True},
        {"k": "refused", "w": "no\nmore"},
        {"k": "what"},
        ["push"],
        None,
    ],
)
def test_a_server_that_says_what_it_should_not_is_left_and_the_version_stays(message: Any) -> None:
    world, watcher, link = one_watcher()
    watcher.watch.told(link, message)
    assert watcher.watch.in_force == 1 and watcher.said[-1].startswith("config: a message is refused: ")
    assert "\n" not in watcher.said[-1] and link not in watcher.open
    world.offer(2)
    world.run(3 * S)
    assert watcher.watch.in_force == 2
    # After a parcel that could not be read it wants the whole, whatever it has.
    harmed = isinstance(message, dict) and message["k"] == "push"
    assert sum(server.feed.whole_pushes for server in world.servers.values()) == 1 + harmed


def test_what_a_check_stumbles_over_is_a_reason_and_no_end() -> None:
    world, watcher, _ = one_watcher()

    def take(number: int, digest: bytes, body: str) -> str:
        raise OverflowError("too\nlarge")

    watcher.take = take  # type: ignore[method-assign]
    world.offer(2)
    world.run(S)
    assert watcher.watch.reason == "OverflowError: too\\nlarge" and watcher.watch.in_force == 1


def test_a_server_that_is_full_sends_on_and_one_from_a_cache_needs_no_whole_body() -> None:
    world, watcher, link = one_watcher()
    watcher.watch.told(link, {"k": "elsewhere"})
    world.run(S)
    assert watcher.watch.link is not None and watcher.watch.link.number != link
    world.offer(2)
    again = Watcher(world, 7, [])
    again.watch = ConfigWatcher(
        again, "fleet", world.names, [], AppliedVersion(1, version(1).digest, body(1))
    )
    again.watch.begin()
    again.arm()
    before = sum(server.feed.whole_pushes for server in world.servers.values())
    world.run(2 * S)
    assert again.watch.in_force == 2
    assert sum(server.feed.whole_pushes for server in world.servers.values()) == before
