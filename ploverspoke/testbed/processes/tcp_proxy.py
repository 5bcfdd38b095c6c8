"""The relays of a run, one process: they stand for each process at an address of its own, and pass on.

`python -m ploverspoke.testbed.processes.tcp_proxy SPEC`. Lines on its input lay faults on links, lift them
and reset streams; it answers each with a line when that is done. The end of the input ends it.

A sender is known by its own address. A datagram goes on from the address at which the relays stand for its
sender, since that is where the receiver believes it to be. A cut holds what is on its way in a stream, as a
network does whose packets are sent again, and a connection made through a cut is taken and silent. What a
closed connection has sent still arrives. Half-closed streams are closed.
"""

import asyncio
import random
import socket
import struct
import sys
from collections import deque
from pathlib import Path
from typing import Any, cast

import msgspec
import uvloop

from .history import monotonic_now
from .link_faults import Link, LinkFault, Links
from .pipe_messages import send_message

MOST_HELD = 1 << 20  # bytes on one way; its sender waits then
BACKLOG = 1024
OUTSIDE = "outside"  # whoever has no address of its own: tools and tests


class ProxiedProcess(msgspec.Struct):
    """One process, as the relays know it."""

    name: str
    own: str
    relayed: str
    streams: list[int] = []  # ports
    datagrams: list[int] = []


class ProxySpec(msgspec.Struct):
    seed: int
    processes: list[ProxiedProcess]


class Way:
    """One direction of a stream."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.queue: deque[tuple[int, bytes | None]] = deque()  # when, what; None: the end
        self.held = 0
        self.source: Side | None = None
        self.sink: Side | None = None
        self.last = 0
        self.timer: asyncio.TimerHandle | None = None

    def put(self, data: bytes | None) -> None:
        # The end takes no time of its own, but comes behind all that was sent.
        at = monotonic_now() if data is None else self.link.piece(monotonic_now(), len(data))
        self.last = max(self.last, at)
        self.queue.append((self.last, data))
        self.held += len(data or b"")
        if self.held > MOST_HELD and self.source is not None and self.source.transport is not None:
            self.source.transport.pause_reading()
        self.pump()

    def pump(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        sink = self.sink
        while self.queue and sink is not None and not self.link.now.cut:
            at, data = self.queue[0]
            left = at - monotonic_now()
            if left > 0:
                self.timer = asyncio.get_running_loop().call_later(left / 1e9, self.pump)
                return
            self.queue.popleft()
            if data is None:
                sink.end()
                return
            self.held -= len(data)
            if sink.transport is not None:
                sink.transport.write(data)
            if self.held <= MOST_HELD and self.source is not None and self.source.transport is not None:
                self.source.transport.resume_reading()


class Side(asyncio.Protocol):
    """A relay's end of a connection: `out` takes what comes from here, `into` brings what goes there."""

    def __init__(self, stream: "Stream", out: Way, into: Way) -> None:
        self.stream, self.out, self.into = stream, out, into
        self.transport: asyncio.Transport | None = None
        self.over = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.out.source = self
        self.into.sink = self
        self.into.pump()

    def data_received(self, data: bytes) -> None:
        if not self.stream.silent:
            self.out.put(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if not self.over:
            self.over = True
            if not self.stream.silent:
                self.out.put(None)
        self.stream.side_over()

    def end(self) -> None:
        self.over = True
        if self.transport is not None:
            self.transport.close()


class Stream:
    """A connection of two processes, in two."""

    def __init__(self, relays: "TcpProxy", origin: str, target: ProxiedProcess, port: int) -> None:
        self.relays = relays
        self.origin, self.target, self.port = origin, target, port
        self.there, self.back = relays.links.link(origin, target.name), relays.links.link(target.name, origin)
        self.silent = self.there.now.silent
        out, into = Way(self.there), Way(self.back)
        self.ways = (out, into)
        self.near, self.far = Side(self, out, into), Side(self, into, out)
        relays.streams.add(self)

    async def dial(self, source: str) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(
                lambda: self.far, self.target.own, self.port, local_addr=(source, 0) if source else None
            )
        except OSError:
            self.reset()

    def reset(self) -> None:
        for side in (self.near, self.far):
            side.over = True
            if side.transport is not None:
                # Closed without lingering: the other end reads a reset, not an end.
                taken = side.transport.get_extra_info("socket")
                taken.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                side.transport.abort()
        self.relays.streams.discard(self)

    def pump(self) -> None:
        for way in self.ways:
            way.pump()

    def side_over(self) -> None:
        if self.near.transport is None and self.far.transport is None:
            self.relays.streams.discard(self)


class Datagrams(asyncio.DatagramProtocol):
    """The relays' socket for one process and port."""

    def __init__(self, relays: "TcpProxy", stood: ProxiedProcess, port: int) -> None:
        self.relays, self.stood, self.port = relays, stood, port
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | int, ...]) -> None:
        sender = self.relays.by_own.get(str(addr[0]))
        stands = self.relays.sockets.get((sender.name, int(addr[1]))) if sender is not None else None
        if sender is None or stands is None:
            self.relays.strange += 1
            return
        now = monotonic_now()
        for at in self.relays.links.link(sender.name, self.stood.name).datagram(now, len(data)):
            if at <= now:
                stands.pass_on(data, self.stood.own, self.port)
            else:
                asyncio.get_running_loop().call_later(
                    (at - now) / 1e9, stands.pass_on, data, self.stood.own, self.port
                )

    def pass_on(self, data: bytes, host: str, port: int) -> None:
        if self.transport is not None:
            self.transport.sendto(data, (host, port))


class TcpProxy:
    def __init__(self, spec: ProxySpec) -> None:
        self.spec = spec
        self.links = Links(lambda name: random.Random(f"{spec.seed} {name}").random)
        self.by_own = {one.own: one for one in spec.processes}
        self.streams: set[Stream] = set()
        self.sockets: dict[tuple[str, int], Datagrams] = {}
        self.strange = 0  # datagrams from nobody we know
        self.taken = 0  # connections

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        for one in self.spec.processes:
            for port in one.streams:
                await loop.create_server(
                    lambda one=one, port=port: Waiting(self, one, port),  # type: ignore[misc]
                    one.relayed,
                    port,
                    backlog=BACKLOG,
                )
            for port in one.datagrams:
                stands = self.sockets[one.name, port] = Datagrams(self, one, port)
                await loop.create_datagram_endpoint(
                    lambda stands=stands: stands,  # type: ignore[misc]
                    local_addr=(one.relayed, port),
                )

    def heard(self, told: dict[str, Any]) -> dict[str, Any]:
        if "lay" in told:
            self.links.lay(told["lay"], msgspec.convert(told["fault"], LinkFault))
        elif "lift" in told:
            self.links.lift(told["lift"])
        elif "reset" in told:
            fault = msgspec.convert(told["reset"], LinkFault)
            for stream in list(self.streams):
                if fault.covers(stream.origin, stream.target.name):
                    stream.reset()
        for stream in list(self.streams):
            stream.pump()
        more = {"octets": self.links.octets()} if "by_link" in told else {}
        return {
            **more,
            "links": self.links.counts(),
            "streams": len(self.streams),
            "taken": self.taken,
            "strange": self.strange,
        }


class Waiting(asyncio.Protocol):
    """A connection of which it is not known yet from whom it is."""

    def __init__(self, relays: TcpProxy, target: ProxiedProcess, port: int) -> None:
        self.relays, self.target, self.port = relays, target, port

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        origin = self.relays.by_own.get(transport.get_extra_info("peername")[0])
        self.relays.taken += 1
        stream = Stream(self.relays, origin.name if origin is not None else OUTSIDE, self.target, self.port)
        transport.set_protocol(stream.near)
        stream.near.connection_made(transport)
        if not stream.silent:
            task = asyncio.get_running_loop().create_task(
                stream.dial(origin.own if origin is not None else "")
            )
            TASKS.add(task)
            task.add_done_callback(TASKS.discard)


TASKS: set[asyncio.Task[None]] = set()


async def live(spec: ProxySpec) -> None:
    relays = TcpProxy(spec)
    await relays.open()
    loop = asyncio.get_running_loop()
    lines = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    send_message({"open": len(spec.processes)})
    while line := await lines.readline():
        send_message(relays.heard(msgspec.json.decode(line)))


if __name__ == "__main__":
    uvloop.run(live(msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=ProxySpec)))
