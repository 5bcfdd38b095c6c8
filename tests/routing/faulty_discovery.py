"""A discovery that is at fault in many ways, and a dispatcher that watches it while time is moved by hand."""

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from ploverspoke.testbed.processes.addresses import bind_without_listening
from tests.routing.harness import World
from tests.routing.race_harness import Clock, discovery_response, endpoint_list, turns, until

MS, SECOND = 1_000_000, 1_000_000_000
BINDS_AFTER = 6 * SECOND
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
        self.silent = False  # for good

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
        listening = bind_without_listening("127.0.0.1", self.port)
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
        due = clock.held_at + BINDS_AFTER
        first, second = world.entries
        self.discovery.change({**first, "state": "Terminating"}, second)
        await self.pass_time(due + GRACE)
        self.chance.fraction = self.drawn  # type: ignore[method-assign]
        world.sent.clear()
        clock.go_on()
        for number in range(8):
            assert (await world.ask(world.request(f"r{number}")))[0] == 200
        assert {worker for worker, _ in world.sent} == {"w1"}
