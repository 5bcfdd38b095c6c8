"""Connections among replicas: each dials every other one and speaks on that; what comes in is heard only.

A connection that was lost is dialled again; what was to go meanwhile is dropped, since consensus says it
again.
"""

import asyncio
from collections.abc import Callable
from typing import Any, cast

from ploverspoke.transport.rate_limited_log import log_line

from .framing import FrameCodec, FrameError

DIAL_AGAIN = 0.1  # seconds
MOST_UNSENT = 8 * 1024 * 1024  # towards one that does not read
STUCK_FOR = 2.0  # seconds; then what waits unsent is stale, and would go out before anything new

Heard = Callable[[str, Any], None]


class Inbound(asyncio.Protocol):
    """One that another replica has dialled, or a tool that asks."""

    def __init__(self, links: "PeerLinks") -> None:
        self.links = links
        self.frames = FrameCodec(links.secret, links.greeting)
        self.transport: asyncio.Transport | None = None
        self.sender = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.links.inbound.add(self)
        self.transport.write(self.frames.greeting_frame())

    def connection_lost(self, exc: Exception | None) -> None:
        self.links.inbound.discard(self)
        self.transport = None

    def data_received(self, data: bytes) -> None:
        try:
            for message in self.frames.decode(data):
                if not self.sender:
                    self._greet()
                if self.sender == ADMIN_CLIENT_ID:
                    self.links.asked(message, self.reply)
                else:
                    self.links.heard(self.sender, message)
        except (FrameError, KeyError, TypeError) as error:
            self.links.refused += 1
            log_line(f"store: a connection is refused: {error}")
            self.close()

    def _greet(self) -> None:
        other = self.frames.peer_greeting
        assert other is not None
        if other["store"] != self.links.greeting["store"] and other["store"] != "":
            raise FrameError(f"{other['id']} belongs to another store, or was started with other replicas")
        self.sender = str(other["id"])

    def reply(self, message: Any) -> None:
        if self.transport is not None:
            self.transport.write(self.frames.encode(message))

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()


ADMIN_CLIENT_ID = "?"  # the id of a tool


class Outbound(asyncio.Protocol):
    """One that we dialled."""

    def __init__(self, links: "PeerLinks", to: str) -> None:
        self.links = links
        self.to = to
        self.frames = FrameCodec(links.secret, links.greeting)
        self.transport: asyncio.Transport | None = None
        self.ready = False
        self.over = asyncio.Event()
        self.written = 0  # bytes
        self.gone_out = 0  # of them, when that last grew
        self.gone_out_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.gone_out_at = asyncio.get_running_loop().time()
        self._write(self.frames.greeting_frame())

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.ready = False
        self.over.set()

    def data_received(self, data: bytes) -> None:
        try:
            self.frames.decode(data)
            other = self.frames.peer_greeting
            if other is not None and not self.ready:
                if other["store"] not in (self.links.greeting["store"], ""):
                    raise FrameError(
                        f"{self.to} belongs to another store, or was started with other replicas"
                    )
                self.ready = other["id"] == self.to
                if not self.ready:
                    raise FrameError(f"{other['id']} answers where {self.to} was")
        except (FrameError, KeyError) as error:
            self.links.refused += 1
            log_line(f"store: {error}")
            if self.transport is not None:
                self.transport.abort()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def write(self, message: Any) -> None:
        if not self.ready or self.transport is None:
            return
        unsent = self.transport.get_write_buffer_size()
        now = asyncio.get_running_loop().time()
        if not unsent or self.written - unsent > self.gone_out:
            self.gone_out, self.gone_out_at = self.written - unsent, now
        elif now - self.gone_out_at > STUCK_FOR:
            self.links.stuck += 1
            self.ready = False  # its end is told a turn later: until then nothing more is written, or counted
            self.transport.abort()
            return
        if unsent > MOST_UNSENT:
            self.links.dropped += 1
            return
        self._write(self.frames.encode(message))

    def _write(self, data: bytes) -> None:
        assert self.transport is not None
        self.written += len(data)
        self.transport.write(data)


class PeerLinks:
    def __init__(
        self,
        secret: bytes,
        greeting: dict[str, Any],
        heard: Heard,
        asked: Callable[[Any, Callable[[Any], None]], None],
    ) -> None:
        """The greeting holds "id" and "store"."""
        self.secret = secret
        self.greeting = greeting
        self.heard = heard
        self.asked = asked
        self.inbound: set[Inbound] = set()
        self.outbound: dict[str, Outbound] = {}
        self.dialling: dict[str, tuple[str, asyncio.Task[None]]] = {}
        self.server: asyncio.Server | None = None
        self.refused = 0
        self.dropped = 0
        self.stuck = 0  # connections that were given up, since nothing went out on them

    async def open(self, host: str, port: int) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Inbound(self), host, port)

    def set_peers(self, peers: dict[str, str]) -> None:
        """Addresses by id: others are dialled no more."""
        loop = asyncio.get_running_loop()
        for who, (where, task) in list(self.dialling.items()):
            if peers.get(who) != where:
                task.cancel()
                del self.dialling[who]
                link = self.outbound.pop(who, None)
                if link is not None:
                    link.close()
        for who, where in peers.items():
            if who not in self.dialling:
                self.dialling[who] = (where, loop.create_task(self._dial(who, where)))

    def send(self, to: str, message: Any) -> None:
        link = self.outbound.get(to)
        if link is not None:
            link.write(message)

    async def _dial(self, who: str, where: str) -> None:
        host, _, port = where.rpartition(":")
        loop = asyncio.get_running_loop()
        while True:
            link = Outbound(self, who)
            try:
                await loop.create_connection(lambda link=link: link, host.strip("[]"), int(port))  # type: ignore[misc]
                self.outbound[who] = link
                await link.over.wait()
            except OSError:
                pass
            await asyncio.sleep(DIAL_AGAIN)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for _, task in self.dialling.values():
            task.cancel()
        links: list[Inbound | Outbound] = [*self.inbound, *self.outbound.values()]
        for link in links:
            link.close()
