"""Forces rare orders of events on real sockets.

Nothing here depends on timing: peers are plain sockets that the test writes to and closes while the event
loop does not run, a connect completes when its gate opens, and the test sets the program's clock.
"""

import asyncio
import contextlib
import json
import socket
import struct
import time
from collections.abc import Callable
from typing import Any

from ploverspoke.routing.client_session import ClientSession
from ploverspoke.transport.connection_pool import ConnectionPool
from ploverspoke.transport.deadlines import Deadlines
from tests.decisions.harness import SETTINGS
from tests.routing.harness import Entry, Result, ServiceHarness
from tests.routing.http_messages import chunk

# No probes, because these tests are not about the choice of a worker, and long deadlines.
LENIENT_SETTINGS: dict[str, object] = {
    "Limits": {"Cancel": True, "ConnectTimeoutUs": 20_000_000, "MaxHandOffs": 6, "IdleCloseUs": 60_000_000},
    "ServiceGrades": [
        {**request_class, "AbandonTimeUs": 30_000_000, "ExpectedTimeUs": 20_000_000}
        for request_class in SETTINGS["ServiceGrades"]
    ],
}


CLASS_NAMES = ("look", "book")  # idempotent, non-idempotent


async def run_loop_turns(count: int = 30) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


async def wait_until(condition: Callable[[], Result], description: str = "") -> Result:
    for _ in range(400_000):
        result = condition()
        if result:
            return result
        await asyncio.sleep(0)
    raise AssertionError(description or "the condition never held")


def wait_for_kernel(condition: Callable[[], object]) -> None:
    """Block the event loop until the condition holds: the kernel may need a moment on a busy machine."""
    end = time.monotonic() + 10
    while not condition():
        assert time.monotonic() < end
        time.sleep(0)


class Clock:
    """The program's clock: real time plus an offset that the test sets, or stopped at one moment."""

    def __init__(self, deadlines: Deadlines) -> None:
        self.deadlines, self.real = deadlines, deadlines.now
        self.offset, self.held_at = 0, 0
        deadlines.now = self.now  # type: ignore[method-assign]

    def now(self) -> int:
        return self.held_at or self.real() + self.offset

    def hold(self) -> None:
        self.held_at = self.now()

    def release(self) -> None:
        self.offset, self.held_at = self.held_at - self.real(), 0

    def resume_after(self, duration: int) -> None:
        """Advance the clock as in a process that was suspended: due timers run before unread data is read."""
        if self.held_at:
            self.held_at += duration
        else:
            self.offset += duration
        self.deadlines._run_due()


class Gate:
    """Delays the completion of connects until the test sets `event`."""

    def __init__(self, pool: ConnectionPool) -> None:
        self.loop, self.event, self.waiting = pool.loop, asyncio.Event(), 0
        pool.loop = self  # type: ignore[assignment]

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, *arguments: Any) -> Any:
        connected = await self.loop.create_connection(*arguments)
        self.waiting += 1
        await self.event.wait()
        return connected


class Peer:
    """One end of a connection, which the test reads and writes."""

    def __init__(self, own_socket: socket.socket) -> None:
        self.socket, self.received, self.ended = own_socket, b"", False
        own_socket.setblocking(False)

    def read(self) -> bytes:
        """Everything received until now."""
        with contextlib.suppress(BlockingIOError):
            while not self.ended:
                try:
                    data = self.socket.recv(1 << 16)
                except ConnectionError:
                    data = b""
                self.received, self.ended = self.received + data, not data
        return self.received

    def has_ended(self) -> bool:
        self.read()
        return self.ended

    def status(self) -> int:
        """The status of the response, 0 until it is complete."""
        head, blank, body = self.read().partition(b"\r\n\r\n")
        length = head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
        return int(head.split()[1]) if blank and len(body) >= int(length or 0) else 0

    def requests(self, body: bytes = b"x") -> int:
        """The number of complete requests received."""
        return self.read().count(b"\r\n\r\n" + body)

    def close(self) -> None:
        self.socket.close()

    def reset(self) -> None:
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()


class ManualWorker:
    """A worker whose responses the test writes."""

    def __init__(self) -> None:
        self.listening = socket.create_server(("127.0.0.1", 0))
        self.listening.setblocking(False)
        self.port = self.listening.getsockname()[1]
        self.peers: list[Peer] = []

    def accept_pending(self) -> list[Peer]:
        with contextlib.suppress(BlockingIOError):
            while True:
                self.peers.append(Peer(self.listening.accept()[0]))
        return self.peers

    def copies(self, request_id: str) -> int:
        marker = f"request-id: {request_id}\r\n".encode()
        return sum(peer.read().count(marker) for peer in self.accept_pending() if peer.requests())


def success_response(request_id: str) -> bytes:
    done = {"id": request_id, "from": "h", "state": "done", "result": "r"}
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(done) + b"0\r\n\r\n"


def connect_to(port: int) -> Peer:
    return Peer(socket.create_connection(("127.0.0.1", port)))


async def send_all(client: Peer, data: bytes) -> None:
    """Send all bytes, running the event loop while the kernel takes no more."""
    while data:
        with contextlib.suppress(BlockingIOError):
            data = data[client.socket.send(data) :]
        await asyncio.sleep(0)


def endpoint_list(*entries: Entry, version: int = 2, full: bool = True) -> bytes:
    return json.dumps({"version": version, "full": full, "servers": list(entries)}).encode()


def discovery_response(body: bytes, extra_headers: str = "") -> bytes:
    return f"HTTP/1.1 200 OK\r\n{extra_headers}Content-Length: {len(body)}\r\n\r\n".encode() + body


def deliver_list(harness: ServiceHarness, *entries: Entry) -> None:
    """Deliver an endpoint list to the router at once, without a turn of the event loop."""
    harness.service.router.endpoints.receive_list(endpoint_list(*entries))


def newest_session(harness: ServiceHarness) -> ClientSession:
    return list(harness.service.client_server.sessions.values())[-1]


async def idle_client(
    harness: ServiceHarness, class_name: str = "look", worker: ManualWorker | None = None
) -> Peer:
    """Connect a client and have it answered once, by `worker` if given; its connections are idle then."""
    client, request_id = connect_to(harness.port), f"before-{class_name}"
    client.socket.send(harness.request(request_id, class_name))
    if worker is not None:
        await wait_until(lambda: worker.copies(request_id))
        worker.peers[-1].socket.send(success_response(request_id))
    assert await wait_until(client.status) == 200
    await run_loop_turns()
    client.received = b""
    return client
