"""Terms of the stricter acceptance, forced on real sockets and on fleets of many dispatchers."""

import asyncio
import contextlib
import itertools
import json
import math
import os
import socket
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
import uvloop

from ploverspoke.testbed.experiment import experiment_of
from ploverspoke.testbed.processes.addresses import bound, held_ports
from ploverspoke.testbed.records import CAME, UP
from ploverspoke.testbed.virtual import World as VirtualWorld
from ploverspoke.testbed.worker import Worker
from tests.decisions.harness import SETTINGS
from tests.routing.harness import World, listed, message, play
from tests.routing.race_harness import (
    CALM,
    CLASS_NAMES,
    Clock,
    Gate,
    HeldWorker,
    connect_to,
    deliver_list,
    discovery_response,
    endpoint_list,
    newest_session,
    turns,
    until,
    wait_for_kernel,
)

RUNS_LONG = True  # scheduled first: see tests/conftest.py
MS, SECOND = 1_000_000, 1_000_000_000

# ---- 1: a change binds 6 s after discovery had it and could be reached ----

BINDS_AFTER = 6 * SECOND
WAIT_OVER = 2 * SECOND  # what a silent request missed binds so long after its wait
GRACE = 500 * MS  # from then on
HALF = b'HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n{"version":'
RESPONSES = {
    "503": b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
    "503, closed": b"HTTP/1.1 503 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
    "429": b"HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n",
    "500": b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
    "garbage": b"\x00\xff garbage\r\n\r\n",
    "no list": discovery_response(b'{"version":"soon"}'),
    "half, then ends": HALF,
    "half, then silent": HALF,
    "ends": b"",
    "resets": b"",
    "silent": b"",
}
FAULTS = ["refuses", "never up", *RESPONSES]


class FaultyConnection(asyncio.Protocol):
    """One connection to a discovery that is with some fault; `waits`: it has a request without a response."""

    def __init__(self, discovery: "FaultyDiscovery") -> None:
        self.discovery, self.waits, self.came = discovery, False, b""
        self.silent, self.binds_at = False, 0  # for good; when what it misses binds

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.discovery.peers[transport.get_extra_info("peername")[1]] = self

    def connection_lost(self, exc: Exception | None) -> None:
        self.discovery.peers.pop(self.transport.get_extra_info("peername")[1], None)

    def data_received(self, data: bytes) -> None:
        self.came += data
        while b"\r\n\r\n" in self.came:
            call, _, self.came = self.came.partition(b"\r\n\r\n")
            self.discovery.asked(self, call)


class FaultyDiscovery:
    def __init__(self, world: World, port: int, clock: Clock) -> None:
        self.world, self.port, self.clock, self.way = world, port, clock, "well"
        self.peers: dict[int, FaultyConnection] = {}
        self.server: asyncio.Server | None = None
        self.held: list[socket.socket] = []

    async def is_now(self, way: str) -> None:
        """From now on; calls that are out already stay as they are."""
        self.way = way
        if self.server is not None:
            self.server.close()
        for held in self.held:
            held.close()
        self.server, self.held = None, []
        if way == "refuses":
            return
        listening = bound("127.0.0.1", self.port)
        if way == "never up":
            # Its queue is full, as that of a machine that was cut off: nothing answers a new connection.
            listening.listen(0)
            self.held = [listening, *(socket.socket() for _ in range(4))]
            for filler in self.held[1:]:
                filler.setblocking(False)
                filler.connect_ex(("127.0.0.1", self.port))
            return
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: FaultyConnection(self), sock=listening)

    def asked(self, peer: FaultyConnection, call: bytes) -> None:
        waits = int(call.partition(b"hold_ms=")[2].split(b" ")[0] or 0) * MS
        if self.way == "well":
            if f"from={self.world.version}&".encode() in call:
                peer.waits = True
                when = self.clock.held_at + waits
                self.world.service.deadlines.schedule(when, lambda: self.end_wait(peer))
            else:
                self.deliver_list(peer)
            return
        peer.transport.write(RESPONSES[self.way])
        if self.way in ("silent", "half, then silent"):
            peer.waits = peer.silent = True
            peer.binds_at = self.clock.held_at + waits + WAIT_OVER
        elif self.way == "resets":
            peer.transport.abort()
        elif self.way.endswith(("ends", "closed")):
            peer.transport.close()

    def end_wait(self, peer: FaultyConnection) -> None:
        if peer.waits and not peer.silent and not peer.transport.is_closing():
            peer.waits = False
            peer.transport.write(discovery_response(endpoint_list(version=self.world.version, full=False)))

    def deliver_list(self, peer: FaultyConnection) -> None:
        peer.waits = False
        peer.transport.write(
            discovery_response(endpoint_list(*self.world.entries, version=self.world.version))
        )

    def change(self, *entries: dict[str, Any]) -> None:
        """What it has from now on; those that wait on a sound call hear of it."""
        self.world.entries, self.world.version = list(entries), self.world.version + 1
        for peer in list(self.peers.values()):
            if peer.waits and not peer.silent:
                self.deliver_list(peer)


class Watched:
    """A dispatcher and its discovery; time passes from deadline to deadline, as fast as both can work."""

    def __init__(self, world: World) -> None:
        self.world, self.router = world, world.service.router
        self.clock = Clock(world.service.deadlines)
        self.clock.hold()
        self.discovery = FaultyDiscovery(world, world.servers[-1].sockets[0].getsockname()[1], self.clock)
        self.stale: Any = None  # a call that had no connection when discovery changed
        self.failures, watch = 0, self.router.endpoints.watch
        watch.on_failed = self.counted(watch.on_failed)  # type: ignore[method-assign]
        watch.on_silent = self.counted(watch.on_silent)  # type: ignore[method-assign]
        # The longest of all pauses that chance may give.
        self.chance = self.router.dispatcher.random
        self.drawn = self.chance.fraction
        self.chance.fraction = lambda: 1 - 1e-9  # type: ignore[method-assign]

    def counted(self, report: Callable[..., None]) -> Callable[..., None]:
        def counts(call: Any, **named: bool) -> None:
            self.failures += self.call() is call
            report(call, **named)

        return counts

    async def takes_over(self) -> None:
        """From the stand-in that every test has."""
        old = self.world.servers[-1]
        old.close()
        for _, writer in self.world.discovery_connections:
            writer.transport.abort()
        await until(lambda: self.failures)

    def call(self) -> Any:
        return self.router.endpoints.watch.request

    def is_settled(self) -> bool:
        """Nothing moves until a deadline: no call, one that comes up nowhere, or one that waits there."""
        call = self.call()
        if call is None:
            return True
        if call.connection is None:
            # The kernel tries again after a second of real time; nobody waits for that here.
            return call.pending_connection is not None and (
                self.discovery.way == "never up" or call is self.stale
            )
        taken = call.connection.transport.get_extra_info("sockname")
        peer = self.discovery.peers.get(taken[1]) if taken else None
        return peer is not None and peer.waits

    async def settle(self) -> None:
        for _ in range(3):  # what is closed or reported is noticed a turn later
            await until(self.is_settled, f"does not settle while discovery {self.discovery.way}")
            await turns(6)

    async def change_discovery(self, way: str) -> None:
        call, was = self.call(), self.discovery.way
        self.stale = call if was == "never up" or call is self.stale else None
        await self.discovery.is_now(way)

    async def pass_time(self, until_then: int, so: Callable[[], Any] = lambda: False) -> None:
        """Up to that time, or until it is so."""
        deadlines, clock = self.world.service.deadlines, self.clock
        await self.settle()
        while not so() and clock.held_at < until_then:
            due = min((d.when for d in deadlines.heap if not d.done), default=until_then)
            clock.wake_after(max(0, min(due, until_then) - clock.held_at))
            await self.settle()

    async def fails(self, way: str, times: int) -> None:
        """Discovery has that fault until so many requests have failed, up to that very moment."""
        await self.change_discovery(way)
        wanted = self.failures + times
        for _ in range(4 * times):  # no pause and no wait of a call is longer than a minute
            await self.pass_time(self.clock.held_at + 60 * SECOND, lambda: self.failures >= wanted)
        assert self.failures >= wanted, f"calls do not fail while discovery {way}"

    async def drain_is_heeded(self) -> None:
        """It is well again, and has a drain in that moment."""
        world, clock = self.world, self.clock
        await self.change_discovery("well")
        call, due = self.call(), clock.held_at + BINDS_AFTER
        if call is not None and call.connection is not None:
            # What a silent one misses binds 2 s after its wait, if that is later.
            due = max([due, *(peer.binds_at for peer in self.discovery.peers.values())])
        first, second = world.entries
        self.discovery.change({**first, "state": "Terminating"}, second)
        await self.pass_time(due + GRACE)
        self.chance.fraction = self.drawn  # type: ignore[method-assign]
        world.sent.clear()
        clock.go_on()
        for number in range(8):
            assert (await world.ask(world.request(f"r{number}")))[0] == 200
        assert {worker for worker, _ in world.sent} == {"w1"}


def play_faults(faults: list[tuple[str, int]], dispatchers: int, ask_within: int, mode: str) -> None:
    async def script(world: World) -> None:
        await until(lambda: world.watches)
        await turns()
        watched = Watched(world)
        await watched.takes_over()
        for way, times in faults:
            await watched.fails(way, times)
        await watched.drain_is_heeded()

    rules = {**SETTINGS["Invariants"], "MustAskInUs": ask_within // 1000}
    play(script, workers=2, **{**CALM, "Invariants": rules, "PeersTotal": dispatchers, "Discovery": mode})


MODES = pytest.mark.parametrize("mode", ["ask", "push"])
REJECTING = ("503", "503, closed", "429")
KINDS_OF_FAULT = ("refuses", "never up", "silent", "half, then ends", "garbage", "503")


@MODES
@pytest.mark.parametrize("times", [1, 8])
@pytest.mark.parametrize("way", [way for way in FAULTS if way not in REJECTING])
def test_drain_is_heeded_in_time_after_one_kind_of_failure(way: str, times: int, mode: str) -> None:
    play_faults([(way, times)], 1, 10 * SECOND, mode)


@pytest.mark.parametrize("order", list(itertools.permutations(KINDS_OF_FAULT, 2)))
def test_drain_is_heeded_in_time_after_two_kinds_of_failure(order: tuple[str, ...]) -> None:
    play_faults([(way, 2) for way in order], 1, 10 * SECOND, "ask")


@MODES
@pytest.mark.parametrize("first", range(len(KINDS_OF_FAULT)))
def test_drain_is_heeded_in_time_after_each_kind_of_failure(first: int, mode: str) -> None:
    play_faults([(way, 1) for way in KINDS_OF_FAULT[first:] + KINDS_OF_FAULT[:first]], 1, 10 * SECOND, mode)


@MODES
def test_drain_is_heeded_in_time_after_rejected_watches(mode: str) -> None:
    # One that is down may say so by 503: the pause after the last grew to 10 s.
    for way in REJECTING:
        play_faults([(way, 6)], 5, 10 * SECOND, mode)


def test_drain_is_heeded_in_time_where_the_list_is_polled_rarely() -> None:
    # The pause follows the time that the settings give for asking, up to 12 s.
    for way in ("refuses", "never up", "garbage", "silent"):
        play_faults([(way, 6)], 5, 60 * SECOND, "ask")


# ---- 2: no attempt, first or further, begins once its client has closed ----


@pytest.mark.parametrize("class_name", CLASS_NAMES)
@pytest.mark.parametrize("how", ["closed", "reset", "half closed", "queued behind", "while it comes up"])
@pytest.mark.parametrize("after", range(4))
def test_no_retry_begins_once_its_client_has_disconnected(after: int, how: str, class_name: str) -> None:
    # The first is returned unstarted, and its client leaves so many turns later, before the next is written.
    async def script(world: World) -> None:
        worker, other = HeldWorker(), world.entries[0]
        deliver_list(world, listed("h", worker.port))
        client = connect_to(world.port)
        client.end.send(world.request("r", class_name))
        await until(lambda: worker.copies("r"))
        if how == "queued behind":
            client.end.send(world.request("behind", class_name))
            await turns()
        out, connection = next(iter(world.service.pool.connections)), newest_session(world).connection
        deliver_list(world, {**listed("h", worker.port), "state": "Terminating"}, other)
        gate = Gate(world.service.pool) if how == "while it comes up" else None
        worker.peers[0].end.send(b"HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
        wait_for_kernel(out.has_unread_data)
        await turns(after)
        if gate is not None:
            await until(lambda: gate.waiting)
            await turns(after)
        if how == "reset":
            client.reset()
        elif how == "half closed":
            client.end.shutdown(socket.SHUT_WR)
        else:
            client.close()
        wait_for_kernel(connection.is_closed_by_peer)
        begun = len(world.sent)
        if gate is not None:
            gate.event.set()
        await turns(200)
        assert len(world.sent) == begun and not world.service.router.requests.open_count()

    play(script, workers=1, **CALM)


# ---- 3: a cold worker gets no more of all together than its budget and what is chance ----


def most_over(policy: str, seed: int) -> tuple[float, int]:
    """By how many requests cold workers got more than N + 2 root N + 2 in the time that the settings name,
    at the worst moment, N being what the settings allow then; and how many they got in all.
    """
    work, slots = 200 * MS, 2
    e = experiment_of(
        {
            "name": "cold",
            "lasts": "10s",
            "grades": [
                {
                    "name": "look",
                    "abandon_time": "3s",
                    "expected_time": "500ms",
                    "work": {"law": "exponential", "mean": "200ms"},
                }
            ],
            "workers": [{"count": 12, "slots": slots}],
            "traffic": [{"rate": 80.0}, {"rate": 60.0, "start": "3s", "end": "5s"}],
            "dispatchers": {"count": 30},
            "discovery": {"notices_death": "300ms"},
            "worker_rules": {"tip_multiple": 1.0, "warm_within": "5s"},
            "troubles": [{"what": "crash", "at": "1s", "lasts": "2500ms", "workers": ["w0", "w1", "w2"]}],
        }
    )
    rules, up, came = e.worker_rules, dict[str, int](), dict[str, list[int]]()
    most, in_all = -1e9, 0
    for event in VirtualWorld(e, seed, policy).run():
        if event.what == UP:
            up[event.worker], came[event.worker] = event.at, []
        elif event.what == CAME and event.at - up.get(event.worker, -rules.warm_within) < rules.warm_within:
            warmth = (event.at - up[event.worker]) / rules.warm_within
            share = rules.cold_share + (1 - rules.cold_share) * warmth
            allowed = rules.tip_multiple * share * slots * rules.fall_within / work
            came[event.worker].append(event.at)
            late = [at for at in came[event.worker] if at > event.at - rules.fall_within]
            most, in_all = max(most, len(late) - allowed - 2 * math.sqrt(allowed) - 2), in_all + 1
    return most, in_all


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_thirty_dispatchers_do_not_overload_a_worker_that_warms_up(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(Worker, "_tips", lambda *_: False)  # else it is down before the count is full
    over, got = most_over("ours", seed)
    assert over <= 0 and got > 20
    assert most_over("two choices", seed)[0] > 0, "who does not spare them goes over"


# ---- 4 and 5: the program itself, as a process ----


async def program(
    path: Path, config: dict[str, Any], descriptors: int | None = None
) -> asyncio.subprocess.Process:
    path.write_text(json.dumps({**config, "settings": SETTINGS}))
    words = [sys.executable, "-m", "ploverspoke"]
    if descriptors is not None:
        limit = f"import os, resource, sys; resource.setrlimit(resource.RLIMIT_NOFILE, ({descriptors},) * 2)"
        words = [sys.executable, "-c", f"{limit}; os.execv(sys.executable, sys.argv[1:])", *words]
    with path.with_suffix(".log").open("ab") as log:
        return await asyncio.create_subprocess_exec(
            *words, env={**os.environ, "RELAY_CONFIG": str(path)}, stderr=log
        )


async def ready(port: int, within: float) -> bool:
    end = time.monotonic() + within
    while time.monotonic() < end:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /-/ready HTTP/1.1\r\n\r\n")
            first = (await message(reader))[0]
            writer.close()
            if " 200 " in first:
                return True
        await asyncio.sleep(0.02)
    return False


def test_idle_clients_at_the_descriptor_limit_do_not_block_the_endpoint_list(tmp_path: Path) -> None:
    async def run() -> None:
        world, path, most = World(), tmp_path / "config.json", 128
        discovery = await world.surround(2)
        known = {"version": 1, "full": True, "servers": world.entries}
        config = {"listen": f"127.0.0.1:{world.port}", "discovery": discovery, "known": known}
        process = await program(path, config, most)
        assert await ready(world.port, 20)
        kept, writer = await world.connect()

        async def served(name: str) -> None:
            writer.write(world.request(name))
            assert (await asyncio.wait_for(message(kept), 5))[0] == "HTTP/1.1 200 OK"

        await served("first")
        async with asyncio.timeout(
            10
        ):  # the first call of discovery comes at a random moment after the start
            while not world.watches:
                await asyncio.sleep(0.01)
        host, port = world.servers[-1].sockets[0].getsockname()
        world.servers[-1].close()
        for _, connection in world.discovery_connections:
            connection.transport.abort()
        # Some say nothing, some ask once and stay, some have been served and stay: more than fit, all over.
        idle: list[asyncio.StreamWriter] = []
        most_held = 0
        for number in range(360):
            with contextlib.suppress(ConnectionError, TimeoutError, asyncio.IncompleteReadError):
                reader, client = await world.connect()
                idle.append(client)
                if number % 3:
                    asks = b"GET /-/ready HTTP/1.1\r\n\r\n"
                    client.write(world.request(f"i{number}") if number % 3 == 1 else asks)
                    await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)
            if number % 20 == 0:
                held = len(list(Path(f"/proc/{process.pid}/fd").iterdir()))
                most_held = max(most_held, held)
                await served(f"during-{number}")
        assert 48 < most_held <= most - 8, f"{most_held} of {most} descriptors"
        world.version, world.entries = 2, [{**world.entries[0], "state": "Terminating"}, world.entries[1]]
        world.servers[-1] = await asyncio.start_server(world._discovery, host, port)
        asked, world.watches = world.watches, 0
        end = time.monotonic() + 6
        while world.watches < 2 and time.monotonic() < end:  # what is newer, and the watch that goes on
            await asyncio.sleep(0.02)
        assert world.watches >= 2 and asked
        world.sent.clear()
        for number in range(8):
            await served(f"after-{number}")
        assert {worker for worker, _ in world.sent} == {"w1"}
        process.kill()
        await process.wait()
        for one in [writer, *idle]:
            one.close()
        for server in world.servers:
            server.close()

    uvloop.run(run())


def test_restarted_fleet_is_ready_soon_beside_an_overloaded_discovery(tmp_path: Path) -> None:
    # Nine in ten within 10 s; and none may wait for a discovery that has answered nobody yet.
    count, call_takes, turned_away_after = 20, 0.33, 1.0

    async def run() -> None:
        calls = 0
        free_at = 0.0
        loop = asyncio.get_running_loop()

        async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal calls, free_at
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                while await reader.readuntil(b"\r\n\r\n"):
                    calls += 1
                    free_at = max(free_at, loop.time()) + call_takes
                    await asyncio.sleep(min(turned_away_after, free_at - loop.time()))
                    writer.write(RESPONSES["503"])

        server = await asyncio.start_server(discovery, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        ports = held_ports(count)
        known = {"version": 1, "full": True, "servers": [listed("w0", 9)]}
        configs = [
            {"listen": f"127.0.0.1:{port}", "discovery": address, **({"known": known} if number % 2 else {})}
            for number, port in enumerate(ports)
        ]
        paths = [tmp_path / f"{number}.json" for number in range(count)]
        processes: list[asyncio.subprocess.Process] = []
        try:
            for within in (30, 10):
                for process in processes:
                    process.kill()
                await asyncio.gather(*(process.wait() for process in processes))
                processes = list(await asyncio.gather(*map(program, paths, configs)))
                came = await asyncio.gather(*(ready(port, within) for port in ports))
                assert sum(came) >= count * 9 // 10, f"{sum(came)} of {count} in {within} s"
                assert within == 10 or all(came)
            assert calls  # of which none was answered with a list
        finally:
            for process in processes:
                process.kill()
            await asyncio.gather(*(process.wait() for process in processes))
            server.close()

    uvloop.run(run())
