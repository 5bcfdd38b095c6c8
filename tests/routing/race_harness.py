"""Rare orders of events, forced on real sockets.

Nothing here waits for luck. Peers are plain sockets that the test writes to and closes while the event loop
stands still, a connection comes up when its gate opens, and the program's clock is moved by hand.
"""

import asyncio
import contextlib
import json
import socket
import struct
import time
from collections.abc import Callable, Coroutine
from typing import Any

import uvloop

from ploverspoke.routing.client_session import ClientSession
from ploverspoke.transport.connection_pool import ConnectionPool
from ploverspoke.transport.deadlines import Deadlines
from tests.decisions.harness import SETTINGS
from tests.routing.harness import (
    World,
    chunk,
)

MS, SECOND = 1_000_000, 1_000_000_000


# No probes: which worker is asked first is not what these tests are about. Nothing is late by itself.
CALM: dict[str, Any] = {
    "Limits": {"Cancel": True, "ConnectTimeoutUs": 20_000_000, "MaxHandOffs": 6, "IdleCloseUs": 60_000_000},
    "ServiceGrades": [
        {**request_class, "AbandonTimeUs": 30_000_000, "ExpectedTimeUs": 20_000_000}
        for request_class in SETTINGS["ServiceGrades"]
    ],
}


CLASS_NAMES = ("look", "book")  # idempotent, non-idempotent


async def turns(count: int = 30) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


async def until(so: Callable[[], Any], why: str = "") -> Any:
    for _ in range(400_000):
        found = so()
        if found:
            return found
        await asyncio.sleep(0)
    raise AssertionError(why or "it never came")


def wait_for_kernel(so: Callable[[], Any]) -> None:
    """Wait, with the loop standing still, until the kernel has it: on a busy machine that takes a moment."""
    end = time.monotonic() + 10
    while not so():
        assert time.monotonic() < end
        time.sleep(0)


class Clock:
    """The program's clock: real time, and what the test adds, or one moment held."""

    def __init__(self, deadlines: Deadlines) -> None:
        self.deadlines, self.real = deadlines, deadlines.now
        self.ahead, self.held_at = 0, 0
        deadlines.now = self.now  # type: ignore[method-assign]

    def now(self) -> int:
        return self.held_at or self.real() + self.ahead

    def hold(self) -> None:
        self.held_at = self.now()

    def go_on(self) -> None:
        self.ahead, self.held_at = self.held_at - self.real(), 0

    def wake_after(self, span: int) -> None:
        """As in a process that was stopped for so long: what is due goes before what lies in the kernel."""
        if self.held_at:
            self.held_at += span
        else:
            self.ahead += span
        self.deadlines._run_due()


class Gate:
    """Connections that are up are reported when it is opened."""

    def __init__(self, pool: ConnectionPool) -> None:
        self.loop, self.event, self.waiting = pool.loop, asyncio.Event(), 0
        pool.loop = self  # type: ignore[assignment]

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, *how: Any) -> Any:
        made = await self.loop.create_connection(*how)
        self.waiting += 1
        await self.event.wait()
        return made


class Peer:
    """One end of a connection, worked by hand."""

    def __init__(self, end: socket.socket) -> None:
        self.end, self.came, self.ended = end, b"", False
        end.setblocking(False)

    def read(self) -> bytes:
        """All that came until now."""
        with contextlib.suppress(BlockingIOError):
            while not self.ended:
                try:
                    part = self.end.recv(1 << 16)
                except ConnectionError:
                    part = b""
                self.came, self.ended = self.came + part, not part
        return self.came

    def has_ended(self) -> bool:
        self.read()
        return self.ended

    def status(self) -> int:
        """Of the answer that came whole, else 0."""
        head, blank, body = self.read().partition(b"\r\n\r\n")
        length = head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
        return int(head.split()[1]) if blank and len(body) >= int(length or 0) else 0

    def requests(self, body: bytes = b"x") -> int:
        """That came whole."""
        return self.read().count(b"\r\n\r\n" + body)

    def close(self) -> None:
        self.end.close()

    def reset(self) -> None:
        self.end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.end.close()


class HeldWorker:
    """A worker whose every byte the test writes."""

    def __init__(self) -> None:
        self.listening = socket.create_server(("127.0.0.1", 0))
        self.listening.setblocking(False)
        self.port = self.listening.getsockname()[1]
        self.peers: list[Peer] = []

    def called(self) -> list[Peer]:
        with contextlib.suppress(BlockingIOError):
            while True:
                self.peers.append(Peer(self.listening.accept()[0]))
        return self.peers

    def copies(self, request_id: str) -> int:
        mark = f"request-id: {request_id}\r\n".encode()
        return sum(p.read().count(mark) for p in self.called() if p.requests())


def success_response(request_id: str) -> bytes:
    done = {"id": request_id, "from": "h", "state": "done", "result": "r"}
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(done) + b"0\r\n\r\n"


def connect_to(port: int) -> Peer:
    return Peer(socket.create_connection(("127.0.0.1", port)))


def endpoint_list(*entries: dict[str, Any], version: int = 2, full: bool = True) -> bytes:
    return json.dumps({"version": version, "full": full, "servers": list(entries)}).encode()


def discovery_response(body: bytes, more: str = "") -> bytes:
    return f"HTTP/1.1 200 OK\r\n{more}Content-Length: {len(body)}\r\n\r\n".encode() + body


def deliver_list(world: World, *entries: dict[str, Any]) -> None:
    """The list changes, between two steps."""
    world.service.router.endpoints.receive_list(endpoint_list(*entries))


def newest_session(world: World) -> ClientSession:
    return list(world.service.client_server.sessions.values())[-1]


async def idle_client(world: World, class_name: str = "look", worker: HeldWorker | None = None) -> Peer:
    """A client that has had one answer, of that worker if one is named; both its connections are idle now."""
    client, request_id = connect_to(world.port), f"before-{class_name}"
    client.end.send(world.request(request_id, class_name))
    if worker is not None:
        await until(lambda: worker.copies(request_id))
        worker.peers[-1].end.send(success_response(request_id))
    assert await until(client.status) == 200
    await turns()
    client.came = b""
    return client


def run_on_loop(script: Callable[[], Coroutine[Any, Any, None]]) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(script())
