"""A dispatcher on loopback sockets, among workers, a discovery and clients that the test controls."""

import asyncio
import contextlib
import json
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import uvloop

from ploverspoke.service.config import Config
from ploverspoke.service.config_reader import Address
from ploverspoke.service.service import Service
from ploverspoke.service.settings import parse_names, parse_settings
from ploverspoke.testbed.processes.addresses import reserve_ports
from tests.decisions.harness import SETTINGS

WorkerBehaviour = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter, dict[str, str], bytes], Awaitable[None]
]


async def message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """The first line, the headers and the body of one message."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines if line)}
    return first, headers, await reader.readexactly(int(headers.get("content-length", 0)))


def chunk(line: dict[str, Any]) -> bytes:
    text = json.dumps(line).encode() + b"\n"
    return f"{len(text):x}\r\n".encode() + text + b"\r\n"


def listed(worker: str, port: int, state: str = "Ready") -> dict[str, Any]:
    place = {"addr": f"127.0.0.1:{port}", "zone": "a", "kind": "plain", "cell": 0, "weight": 1.0}
    return {"id": worker, "state": state, "started_ms": 0, **place}


class World:
    """One dispatcher, with its workers, its discovery and its clients."""

    def __init__(self) -> None:
        self.ran: Counter[str] = Counter()
        self.sent: list[tuple[str, str]] = []  # worker and request id
        self.entries: list[dict[str, Any]] = []
        self.version = 1
        self.list_changed = asyncio.Event()
        self.behave: dict[str, WorkerBehaviour] = {}
        self.watches = 0
        self.next_list_body = b""  # in place of the list, once
        self.discovery_keeps_alive = True
        self.answers_waits = True  # False: what waits at discovery has fallen silent
        self.servers: list[asyncio.Server] = []
        self.discovery_connections: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def start(
        self, workers: int, sockets: int = 256, memory_mb: int = 64, request_log: Any = None, **settings: Any
    ) -> None:
        discovery = await self.surround(workers)
        document = {**SETTINGS, **settings}
        self.service = Service(
            asyncio.get_running_loop(),
            Config(
                "n0",
                Address("127.0.0.1", self.port),
                Address("127.0.0.1", self.admin_port),
                discovery,
                1,
                sockets,
                memory_mb * 1024 * 1024,
                {"version": 1, "full": True, "servers": self.entries},
                parse_settings(document),
                parse_names(document),
            ),
            request_log,
        )
        self.running = asyncio.create_task(self.service.run())
        while self.service.client_server.listener.socket is None or not self.watches:
            if self.running.done():
                self.running.result()  # it did not start: raises why
            await asyncio.sleep(0.001)

    async def surround(self, workers: int) -> str:
        """Start workers and discovery; returns the address of the latter."""
        for number in range(workers):
            name = f"w{number}"
            server = await asyncio.start_server(self._worker(name), "127.0.0.1", 0)
            self.servers.append(server)
            self.entries.append(listed(name, server.sockets[0].getsockname()[1]))
        discovery = await asyncio.start_server(self._discovery, "127.0.0.1", 0)
        self.servers.append(discovery)
        # Held until they are used: a port found free and released was taken by a run beside this one.
        self.port, self.admin_port = reserve_ports(2)
        return f"127.0.0.1:{discovery.sockets[0].getsockname()[1]}"

    def _worker(self, name: str) -> Callable[..., Coroutine[Any, Any, None]]:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                while True:
                    first, headers, body = await message(reader)
                    if first.startswith("GET /-/load"):
                        load = b'{"queue":0,"x0":4}'
                        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(load) + load)
                        continue
                    self.sent.append((name, headers["request-id"]))
                    behaviour: WorkerBehaviour = self.behave.get(name, self.serve)
                    await behaviour(reader, writer, headers, body)
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            finally:
                writer.close()

        return serve

    async def serve(self, reader: Any, writer: Any, headers: dict[str, str], body: bytes) -> None:
        request_id = headers["request-id"]
        self.ran[request_id] += 1
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(chunk({"id": request_id, "from": "w", "state": "started"}))
        await asyncio.sleep(0.005)
        done = {"id": request_id, "from": "w", "state": "done", "result": f"{request_id}:{body.decode()}"}
        writer.write(chunk(done) + b"0\r\n\r\n")

    async def _discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.discovery_connections.append((reader, writer))
        try:
            while True:
                first, _, _ = await message(reader)
                self.watches += 1
                wait_is_over = f"from={self.version}&" in first and not await self._changes_within(first)
                entries = [] if wait_is_over else self.entries
                shown = {"version": self.version, "full": not wait_is_over, "servers": entries}
                body = self.next_list_body or json.dumps(shown).encode()
                self.next_list_body = b""
                more = b"" if self.discovery_keeps_alive else b"Connection: close\r\n"
                writer.write(b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n" % (more, len(body)) + body)
                if not self.discovery_keeps_alive:
                    writer.close()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _changes_within(self, call: str) -> bool:
        """Whether the list changes within the wait of the call, by the clock of the dispatcher."""
        self.list_changed.clear()
        now = self.service.deadlines.now if hasattr(self, "service") else time.monotonic_ns
        until = now() + int(call.partition("hold_ms=")[2].split(" ")[0]) * 1_000_000
        while not self.list_changed.is_set() and (now() < until or not self.answers_waits):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.list_changed.wait(), 0.005)
        return self.list_changed.is_set()

    async def change_list(self, entries: list[dict[str, Any]]) -> None:
        self.entries, self.version = entries, self.version + 1
        self.list_changed.set()
        await asyncio.sleep(0.02)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.port)

    def request(self, request_id: str, class_name: str = "look", body: bytes = b"x", more: str = "") -> bytes:
        head = (
            f"POST /{class_name}/1?a=b HTTP/1.1\r\nHost: app\r\nRequest-Id: {request_id}\r\nTenant: acme\r\n"
        )
        return (head + more + f"Content-Length: {len(body)}\r\n\r\n").encode() + body

    async def ask(self, request: bytes) -> tuple[int, dict[str, str], bytes]:
        reader, writer = await self.connect()
        writer.write(request)
        first, headers, body = await asyncio.wait_for(message(reader), 5)
        writer.close()
        return int(first.split()[1]), headers, body

    def stop(self) -> None:
        self.running.cancel()
        for server in self.servers:
            server.close()


def play(script: Callable[[World], Coroutine[Any, Any, None]], workers: int = 2, **how: Any) -> World:
    async def run() -> World:
        world = World()
        await world.start(workers, **how)
        await script(world)
        waiting = [s for s in world.service.router.requests if s.client is not None]
        assert not waiting, "every request is answered"
        world.stop()
        return world

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run())


async def turn_away(reader: Any, writer: Any, headers: dict[str, str], body: bytes) -> None:
    writer.write(b"HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")


async def fail(reader: Any, writer: Any, headers: dict[str, str], body: bytes) -> None:
    writer.write(b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n")


async def break_off(reader: Any, writer: Any, headers: dict[str, str], body: bytes) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    raise ConnectionError


async def babble(reader: Any, writer: Any, headers: dict[str, str], body: bytes) -> None:
    writer.write(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n\x00\xff garbage"
    )


async def say_nothing(reader: Any, writer: Any, headers: dict[str, str], body: bytes) -> None:
    await asyncio.sleep(1.2)


async def answer_for_another(reader: Any, writer: Any, headers: dict[str, str], body: bytes) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    writer.write(chunk({"id": "other", "from": "w", "state": "done", "result": "not yours"}) + b"0\r\n\r\n")


FAULTY_BEHAVIOURS = [turn_away, fail, break_off, babble, say_nothing, answer_for_another]


# ---- What operators ask ----


async def admin_call(world: World, command: bytes = b"vars\n") -> str:
    reader, writer = await asyncio.open_connection("127.0.0.1", world.admin_port)
    writer.write(command)
    answer = await asyncio.wait_for(reader.read(), 1)
    writer.close()
    return answer.decode()


async def admin_counters(world: World) -> dict[str, int]:
    first, *lines, dot, end = (await admin_call(world)).split("\n")
    assert first == "+OK" and dot == "." and end == ""
    return {name: int(value) for name, _, value in (line.rpartition(" ") for line in lines)}


def operations_key(class_name: str, status: str) -> str:
    return f'dispatcher_operations{{priority="{class_name}",status="{status}"}}'
