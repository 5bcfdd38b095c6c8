"""The whole dispatcher on loopback sockets, before stand-in workers and a stand-in discovery."""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest
import uvloop

from ploverspoke.routing import worker_calls
from ploverspoke.service.config import Config
from ploverspoke.service.service import Service
from ploverspoke.service.settings import parse_names, parse_settings
from ploverspoke.testbed.processes.addresses import held_ports
from tests.decisions.harness import SETTINGS

RUNS_LONG = True  # scheduled first: see tests/conftest.py

Told = Callable[[asyncio.StreamReader, asyncio.StreamWriter, dict[str, str], bytes], Awaitable[None]]


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
    """Workers, discovery and clients round one dispatcher."""

    def __init__(self) -> None:
        self.ran: Counter[str] = Counter()
        self.sent: list[tuple[str, str]] = []  # worker and request id
        self.entries: list[dict[str, Any]] = []
        self.version = 1
        self.news = asyncio.Event()
        self.behave: dict[str, Told] = {}
        self.watches = 0
        self.discovery_says = b""  # in place of the list, once
        self.discovery_lasts = True
        self.servers: list[asyncio.Server] = []
        self.told: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []  # who calls discovery

    async def start(
        self, workers: int, sockets: int = 256, memory_mb: int = 64, scribe: Any = None, **settings: Any
    ) -> None:
        discovery = await self.surround(workers)
        told = {**SETTINGS, **settings}
        self.service = Service(
            asyncio.get_running_loop(),
            Config(
                "n0",
                ("127.0.0.1", self.port),
                ("127.0.0.1", self.admin_port),
                discovery,
                1,
                sockets,
                memory_mb * 1024 * 1024,
                {"version": 1, "full": True, "servers": self.entries},
                parse_settings(told),
                parse_names(told),
            ),
            scribe,
        )
        self.running = asyncio.create_task(self.service.run())
        while self.service.door.listener.socket is None or not self.watches:
            if self.running.done():
                self.running.result()  # it did not start: says why
            await asyncio.sleep(0.001)

    async def surround(self, workers: int) -> str:
        """Start workers and discovery; gives the address of the latter."""
        for number in range(workers):
            name = f"w{number}"
            server = await asyncio.start_server(self._worker(name), "127.0.0.1", 0)
            self.servers.append(server)
            self.entries.append(listed(name, server.sockets[0].getsockname()[1]))
        discovery = await asyncio.start_server(self._discovery, "127.0.0.1", 0)
        self.servers.append(discovery)
        # One found free and let go was taken by a run beside this one.
        self.port, self.admin_port = held_ports(2)
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
                    await self.behave.get(name, self.serve)(reader, writer, headers, body)
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
        self.told.append((reader, writer))
        try:
            while True:
                first, _, _ = await message(reader)
                self.watches += 1
                if f"from={self.version}&" in first:
                    self.news.clear()
                    await self.news.wait()
                body = (
                    self.discovery_says
                    or json.dumps({"version": self.version, "full": True, "servers": self.entries}).encode()
                )
                self.discovery_says = b""
                more = b"" if self.discovery_lasts else b"Connection: close\r\n"
                writer.write(b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n" % (more, len(body)) + body)
                if not self.discovery_lasts:
                    writer.close()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def tell(self, entries: list[dict[str, Any]]) -> None:
        self.entries, self.version = entries, self.version + 1
        self.news.set()
        await asyncio.sleep(0.02)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.port)

    def request(self, request_id: str, grade: str = "look", body: bytes = b"x", more: str = "") -> bytes:
        head = f"POST /{grade}/1?a=b HTTP/1.1\r\nHost: app\r\nRequest-Id: {request_id}\r\nTenant: acme\r\n"
        return (head + more + f"Content-Length: {len(body)}\r\n\r\n").encode() + body

    async def ask(self, said: bytes) -> tuple[int, dict[str, str], bytes]:
        reader, writer = await self.connect()
        writer.write(said)
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
        assert not waiting, "every submission is answered"
        world.stop()
        return world

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run())


# ---- How workers can behave ----


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


WAYS = [turn_away, fail, break_off, babble, say_nothing, answer_for_another]


# ---- Plain cases ----


def test_a_submission_is_served_over_kept_connections() -> None:
    async def script(world: World) -> None:
        reader, writer = await world.connect()
        for number in range(20):
            writer.write(world.request(f"r{number}", body=b"abc"))
            first, headers, body = await message(reader)
            assert first == "HTTP/1.1 200 OK" and body == f"r{number}:abc".encode()
        assert world.service.pool.connection_count() <= 2
        writer.close()

    play(script)


def test_pipelined_requests_are_answered_in_turn() -> None:
    async def script(world: World) -> None:
        reader, writer = await world.connect()
        writer.write(b"".join(world.request(f"p{n}", body=b"y" * 3000) for n in range(30)))
        for number in range(30):
            _, _, body = await message(reader)
            assert body.startswith(f"p{number}:".encode())
        writer.close()

    play(script)


@pytest.mark.parametrize(
    ("said", "status"),
    [
        (b"NONSENSE\r\n\r\n", 400),
        (b"POST /look HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx", 400),  # no Request-Id
        (
            b"POST /look HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: soon\r\nContent-Length: 0\r\n\r\n",
            400,
        ),
        (
            b"POST /look HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Info: slots=nan\r\nContent-Length: 0\r\n\r\n",
            400,
        ),
        (b"POST /look HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Info: slots=0\r\nContent-Length: 0\r\n\r\n", 400),
        (b"POST /look HTTP/1.1\r\nRequest-Id: 1\r\nContent-Length: -4\r\n\r\n", 400),
        (b"POST /look HTTP/1.1\r\n" + b"A: " + b"b" * 20_000 + b"\r\n\r\n", 400),
        (b"POST /look HTTP/1.1\r\nRequest-Id: 1\r\nContent-Length: 65537\r\n\r\n" + b"x" * 65537, 413),
        (b"POST /unknown HTTP/1.1\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n", 404),
        (b"GET /look HTTP/1.1\r\nRequest-Id: 1\r\n\r\n", 405),
        (b"GET /-/ready HTTP/1.1\r\n\r\n", 200),
        (b"POST /look HTTP/1.1\r\nRequest-Id: 1\r\nContent-Length: 65536\r\n\r\n" + b"x" * 65536, 200),
    ],
)
def test_bad_input_gets_its_status_and_loses_no_other_answer(said: bytes, status: int) -> None:
    async def script(world: World) -> None:
        good = asyncio.create_task(world.ask(world.request("good")))
        assert (await world.ask(said))[0] == status
        assert (await good)[0] == 200

    play(script)


@pytest.mark.parametrize("way", WAYS)
def test_an_irreversible_one_is_sent_again_only_where_it_never_ran(way: Told) -> None:
    async def script(world: World) -> None:
        world.behave = {"w0": way, "w1": way}
        status = (await world.ask(world.request("a", "book")))[0]
        sends = len([s for s in world.sent if s[1] == "a"])
        assert (status == 503 and sends > 1) if way is turn_away else (status == 504 and sends == 1)

    play(script)


@pytest.mark.parametrize(
    ("said", "status"),
    [
        # The rest of each never comes: they are refused by their heads.
        (b"POST /look HTTP/1.1\r\nRequest-Id: 1\r\nContent-Length: 60000000\r\n\r\n" + b"x" * 70_000, 413),
        (b"POST /look HTTP/1.1\r\nRequest-Id: 1\r\nContent-Length: 99999999999999999999\r\n\r\n", 400),
        (b"POST /unknown HTTP/1.1\r\nRequest-Id: 1\r\nContent-Length: 9\r\n\r\n", 404),
        (b"POST /look HTTP/1.1\r\nContent-Length: 9\r\n\r\n", 400),
        (b"POST /look HTTP/1.1\r\nRequest-Id: taken\r\nContent-Length: 9\r\n\r\n", 409),
        (b"POST /look HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: x\r\nContent-Length: 9\r\n\r\n", 400),
        (
            b"POST /look HTTP/1.1\r\nContent-Length: 9\r\nTransfer-Encoding:chunked\r\nRequest-Id:1\r\n\r\n",
            400,
        ),
        (b"POST /look HTTP/1.1\r\nRequest-Id: 1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 400),
        (b"POST /look HTTP/1.1\r\nA: " + b"b" * 300_000, 400),  # was kept, as long as it came
    ],
)
def test_bad_requests_are_refused_early_and_nothing_is_sent_on(said: bytes, status: int) -> None:
    async def script(world: World) -> None:
        world.behave = {"w0": say_nothing, "w1": say_nothing}
        first = asyncio.create_task(world.ask(world.request("taken")))
        await asyncio.sleep(0.05)
        assert (await asyncio.wait_for(world.ask(said), 1))[0] == status
        assert {request for _, request in world.sent} == {"taken"}
        await first

    play(script)


def test_who_says_nothing_or_dawdles_is_sent_off_and_the_served_stay() -> None:
    # A new connection that said nothing stayed for good, a started request for 10 s.
    async def script(world: World) -> None:
        kept_reader, kept = await world.connect()
        kept.write(world.request("first"))
        await message(kept_reader)
        silent, _ = await world.connect()
        asker, asker_writer = await world.connect()
        asker_writer.write(b"GET /-/ready HTTP/1.1\r\n\r\n")
        half, half_writer = await world.connect()
        drip, drip_writer = await world.connect()
        half_writer.write(world.request("half")[:-1])
        started = asyncio.get_running_loop().time()
        for byte in b"POST /look HTTP/1.1\r\nRequest-Id":
            if drip.at_eof() or drip._buffer:  # type: ignore[attr-defined]
                break
            drip_writer.write(bytes([byte]))
            await asyncio.sleep(0.1)
        assert await asyncio.wait_for(silent.read(), 1) == b""
        with contextlib.suppress(ConnectionError):
            assert (await asyncio.wait_for(asker.read(), 1)).count(b"HTTP/1.1") == 1, "no answer unasked"
        assert (await asyncio.wait_for(half.read(), 1)).startswith(b"HTTP/1.1 408")
        assert (await asyncio.wait_for(drip.read(), 1)).startswith(b"HTTP/1.1 408")
        assert asyncio.get_running_loop().time() - started < 3
        kept.write(world.request("second"))
        assert (await message(kept_reader))[0] == "HTTP/1.1 200 OK"
        kept.close()

    play(script)


def test_hundreds_of_silent_clients_push_nobody_out() -> None:
    async def script(world: World) -> None:
        kept_reader, kept = await world.connect()
        kept.write(world.request("first"))
        await message(kept_reader)
        silent = [asyncio.create_task(world.connect()) for _ in range(300)]
        await asyncio.sleep(0.3)
        for _ in range(60):  # that ask once and stay
            asker = await world.connect()
            silent.append(asyncio.create_task(asyncio.sleep(0, asker)))
            asker[1].write(b"GET /-/ready HTTP/1.1\r\n\r\n")
            assert (await message(asker[0]))[0] == "HTTP/1.1 200 OK"
        assert (await world.ask(world.request("new")))[0] == 200
        kept.write(world.request("second"))
        assert (await message(kept_reader))[0] == "HTTP/1.1 200 OK"
        assert len(world.service.door.sessions) <= world.service.door.max_sessions * 8 // 7
        for _, writer in await asyncio.gather(*silent):
            writer.close()
        kept.close()

    play(script, sockets=128)


def test_bodies_beyond_the_memory_are_nacked() -> None:
    async def script(world: World) -> None:
        world.behave = {"w0": say_nothing, "w1": say_nothing}
        held = [asyncio.create_task(world.ask(world.request(f"r{n}", body=b"x" * 65536))) for n in range(80)]
        await asyncio.sleep(0.3)
        door = world.service.door
        assert door.buffered_bytes + door.router.requests.body_bytes <= door.max_buffered_bytes + 65536
        assert {status for status, _, _ in await asyncio.gather(*held)} == {503}
        assert not door.buffered_bytes and not door.router.requests.body_bytes

    play(script, memory_mb=32)


def test_what_a_worker_rejects_is_final_and_blames_no_worker() -> None:
    # Each sent such a job to one worker after the other, and their errors set them aside.
    async def script(world: World) -> None:
        async def reject(reader: Any, writer: Any, headers: dict[str, str], body: bytes) -> None:
            writer.write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")

        world.behave = {"w0": reject, "w1": reject}
        for number in range(6):
            status, headers, _ = await world.ask(world.request(f"r{number}"))
            assert status == 400 and headers["connection"] == "close"
        assert len(world.sent) == 6
        assert not any(w.ejected for w in world.service.router.dispatcher.workers.values())

    play(script)


def test_a_pipeline_of_useless_requests_ends_with_the_first() -> None:
    # Hundreds of them were answered one by one, with what came after them waiting.
    async def script(world: World) -> None:
        reader, writer = await world.connect()
        writer.write(world.request("a", "unknown") * 300 + world.request("b"))
        assert (await asyncio.wait_for(reader.read(), 2)).count(b"HTTP/1.1 404") == 1
        assert not world.sent
        writer.close()

    play(script)


def test_a_worker_that_is_not_there_has_not_run_it() -> None:
    async def script(world: World) -> None:
        world.servers[0].close()
        statuses = [(await world.ask(world.request(f"r{n}", "book")))[0] for n in range(6)]
        assert statuses == [200] * 6

    play(script)


def test_a_client_that_leaves_or_dawdles_disturbs_nobody() -> None:
    async def script(world: World) -> None:
        world.behave = {"w0": say_nothing, "w1": say_nothing}
        _, leaver = await world.connect()
        leaver.write(world.request("gone", "book"))
        _, slow = await world.connect()
        slow.write(world.request("slow")[:30])
        await asyncio.sleep(0.05)
        leaver.transport.abort()
        world.behave = {}
        assert (await world.ask(world.request("r")))[0] == 200
        await asyncio.sleep(1)
        slow.close()

    play(script)


@pytest.mark.parametrize(("mode", "lasts"), [("ask", True), ("push", True), ("ask", False)])
def test_drains_are_heard_and_a_lying_discovery_is_asked_again(mode: str, lasts: bool) -> None:
    # Where changes are to come unprompted nobody asked for them on sockets.
    async def script(world: World) -> None:
        world.discovery_lasts = lasts
        world.discovery_says = b'{"version":"soon"}'
        await world.tell([{**world.entries[0], "state": "Terminating"}, world.entries[1]])
        await asyncio.sleep(1)
        assert world.watches >= 3
        world.sent.clear()
        for number in range(8):
            assert (await world.ask(world.request(f"r{number}")))[0] == 200
        assert {worker for worker, _ in world.sent} == {"w1"}

    play(script, Discovery=mode)


def test_discovery_may_be_down_and_come_back() -> None:
    async def script(world: World) -> None:
        discovery = world.servers[-1]
        host, port = discovery.sockets[0].getsockname()
        discovery.close()
        for _, writer in world.told:
            writer.transport.abort()
        world.told.clear()
        await asyncio.sleep(0.1)
        asked = world.watches
        assert (await world.ask(world.request("r")))[0] == 200
        await asyncio.sleep(1.2)  # calls to an address where nobody listens
        world.version, world.entries = 7, world.entries[1:]
        world.servers[-1] = await asyncio.start_server(world._discovery, host, port)
        for _ in range(300):
            await asyncio.sleep(0.02)
            if world.service.router.endpoints.watch.version == 7:
                break
        assert world.service.router.endpoints.watch.version == 7 and world.watches - asked < 4
        world.sent.clear()
        for number in range(6):
            assert (await world.ask(world.request(f"s{number}")))[0] == 200
        assert {worker for worker, _ in world.sent} == {"w1"}

    play(script)


def test_a_discovery_that_falls_silent_is_called_anew() -> None:
    # A cut network leaves the watch open for good: the wait that it was allowed is over, and nothing comes.
    async def script(world: World) -> None:
        first = world.watches
        await asyncio.sleep(2.6)
        assert world.watches > first and len(world.told) > 1
        world.version, world.entries = 2, world.entries[:1]
        world.news.set()
        await asyncio.sleep(0.3)
        assert world.service.router.endpoints.watch.version == 2

    play(script, Invariants={**SETTINGS["Invariants"], "MustAskInUs": 100_000})


def test_a_connection_dropped_under_a_job_has_not_run_it(monkeypatch: pytest.MonkeyPatch) -> None:
    # Workers drop resting connections unseen, or reset new ones: irreversible jobs were lost with each.
    # The stand-in shares our loop: on a busy machine it may read what we wrote some ms later.
    monkeypatch.setattr(worker_calls, "LAST_BYTE_DELAY", 100_000_000)

    async def script(world: World) -> None:
        async def drop_jobs(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.readexactly(1) != b"P":
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\n{"queue":0,"x0":4}')
            dropped.append(writer)
            writer.transport.abort()

        dropped: list[asyncio.StreamWriter] = []
        server = await asyncio.start_server(drop_jobs, "127.0.0.1", 0)
        world.servers.append(server)
        port = server.sockets[0].getsockname()[1]
        await world.tell([{**world.entries[0], "addr": f"127.0.0.1:{port}"}, world.entries[1]])
        statuses = [(await world.ask(world.request(f"r{n}", "book")))[0] for n in range(12)]
        assert statuses == [200] * 12 and dropped and set(world.ran.values()) == {1}
        assert not world.service.router.dispatcher.workers["w0"].ejected, "its probes were answered"

    play(script)


def test_a_worker_that_takes_no_more_connections_has_not_run_it() -> None:
    # A full table of connections: new ones never come up, and say nothing.
    async def script(world: World) -> None:
        with socket.socket() as deaf, contextlib.ExitStack() as held:
            deaf.bind(("127.0.0.1", 0))
            deaf.listen(0)
            for _ in range(4):
                filler = held.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(deaf.getsockname())
            mute = {**world.entries[0], "addr": f"127.0.0.1:{deaf.getsockname()[1]}"}
            await world.tell([mute, world.entries[1]])
            answers = [world.ask(world.request(f"r{n}", "book")) for n in range(4)]
            assert [status for status, _, _ in await asyncio.gather(*answers)] == [200] * 4
            assert set(world.ran.values()) == {1} and world.service.router.dispatcher.workers["w0"].ejected

    play(script, Limits={**SETTINGS["Limits"], "Probing": False})


def test_a_failing_decision_is_logged_and_its_submission_answered(capsys: Any) -> None:
    async def script(world: World) -> None:
        def fault(*what: Any) -> None:
            raise ZeroDivisionError("a fault in the decisions")

        world.service.router.dispatcher.attempt_ended = fault  # type: ignore[method-assign]
        world.behave = {"w0": fail, "w1": fail}
        assert (await world.ask(world.request("r", "book")))[0] == 504
        assert (await world.ask(b"GET /-/ready HTTP/1.1\r\n\r\n"))[0] == 200

    play(script)
    assert "a fault in the decisions" in capsys.readouterr().err


def test_the_end_serves_on_for_a_while_and_finishes_what_was_taken() -> None:
    async def script(world: World) -> None:
        kept_reader, kept = await world.connect()
        _, half = await world.connect()
        half.write(world.request("half")[:30])
        world.service._leave()
        assert (await world.ask(b"GET /-/ready HTTP/1.1\r\n\r\n"))[0] == 503
        # Closed at once, clients found nobody where the other dispatcher was restarted as well.
        for number in range(6):
            await asyncio.sleep(0.2)
            kept.write(world.request(f"r{number}"))
            first, headers, _ = await message(kept_reader)
            assert first == "HTTP/1.1 200 OK" and "connection" not in headers
        assert (await world.ask(world.request("late")))[0] == 200
        world.behave = {"w0": hang, "w1": hang}
        last = [asyncio.create_task(world.ask(world.request(f"last-{g}", g))) for g in ("look", "book")]
        assert (await asyncio.wait_for(kept_reader.read(), 1.5)) == b""  # closed between requests
        assert [(await answer)[0] for answer in last] == [503, 504]
        await asyncio.wait_for(world.running, 2)  # whoever has not sent a request whole by then
        half.close()
        kept.close()

    async def hang(reader: Any, writer: Any, headers: dict[str, str], body: bytes) -> None:
        await asyncio.sleep(5)

    play(script, ServiceGrades=[{**g, "AbandonTimeUs": 5_000_000} for g in SETTINGS["ServiceGrades"]])


def test_beyond_its_sockets_clients_are_told_so_and_idle_ones_make_way() -> None:
    async def script(world: World) -> None:
        idle = [await world.connect() for _ in range(40)]
        assert (await world.ask(world.request("r")))[0] == 200
        assert len(world.service.door.sessions) <= world.service.door.max_sessions + 1
        for _, writer in idle:
            writer.close()
        await asyncio.sleep(0.05)
        # The newest was closed when it alone was idle: it came back at once, and was closed again.
        world.behave = {"w0": say_nothing, "w1": say_nothing}
        busy = [world.ask(world.request(f"b{n}", "book")) for n in range(40)]
        statuses = [status for status, _, _ in await asyncio.gather(*busy)]
        assert set(statuses) == {503, 504}

    play(script, sockets=64)


# ---- A seeded random run ----


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_random_trouble_keeps_the_rules(seed: int) -> None:
    chance = random.Random(seed)

    async def client(world: World, number: int) -> None:
        await asyncio.sleep(chance.random() * 1.5)
        request_id, grade = f"r{number}", chance.choice(["look", "book"])
        reader, writer = await world.connect()
        writer.write(world.request(request_id, grade))
        if chance.random() < 0.1:
            await asyncio.sleep(chance.random() / 10)
            writer.close()
            return
        started = asyncio.get_running_loop().time()
        first, _, body = await asyncio.wait_for(message(reader), 3)
        writer.close()
        status = int(first.split()[1])
        assert asyncio.get_running_loop().time() - started < 0.9 + 0.5, "in time, on a busy machine too"
        assert status in (200, 503, 504)
        runs, sends = world.ran[request_id], len([s for s in world.sent if s[1] == request_id])
        if status == 200:
            assert body == f"{request_id}:x".encode() and runs
        if grade == "book":
            assert runs <= 1, "no effect twice"
            assert status != 503 or not runs, "a nack promises that it never ran"
        await asyncio.sleep(0.3)
        assert sends == len([s for s in world.sent if s[1] == request_id]), "nothing after the answer"

    async def script(world: World) -> None:
        async def trouble() -> None:
            while True:
                await asyncio.sleep(0.1)
                name = f"w{chance.randrange(4)}"
                world.behave[name] = chance.choice([world.serve, world.serve, *WAYS])

        troubled = asyncio.create_task(trouble())
        await asyncio.gather(*(client(world, number) for number in range(80)))
        troubled.cancel()
        await asyncio.sleep(1)

    play(script, workers=4)


async def started(world: World, path: Path) -> tuple[asyncio.subprocess.Process, dict[str, Any], Path]:
    """The program itself, ready; its configuration, and the file of its log."""
    discovery = await world.surround(2)
    known = {"version": 1, "full": True, "servers": world.entries}
    config = {"listen": f"127.0.0.1:{world.port}", "discovery": discovery, "known": known}
    path.write_text(json.dumps({**config, "settings": SETTINGS}))
    log = path.with_suffix(".log")
    with log.open("wb") as file:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "ploverspoke", env={**os.environ, "RELAY_CONFIG": str(path)}, stderr=file
        )
    for _ in range(500):
        with contextlib.suppress(ConnectionError):
            assert (await world.ask(b"GET /-/ready HTTP/1.1\r\n\r\n"))[0] == 200
            break
        await asyncio.sleep(0.02)
    return process, {**config, "settings": SETTINGS}, log


def test_a_new_configuration_moves_discovery_and_a_bad_one_changes_nothing(tmp_path: Path) -> None:
    # The signal ended the program, and what it had taken was lost.
    async def run() -> None:
        world, moved = World(), World()
        path = tmp_path / "config.json"
        process, told, log = await started(world, path)
        address = await moved.surround(0)  # by chance its list has the number of the first one's
        moved.entries = world.entries[1:]
        kept, writer = await world.connect()

        async def signalled(text: str, *numbers: signal.Signals) -> None:
            path.write_text(text)
            for number in numbers or (signal.SIGHUP,):
                process.send_signal(number)
            await asyncio.sleep(0.3)

        world.behave = {"w0": say_nothing, "w1": say_nothing}
        waits = asyncio.create_task(world.ask(world.request("taken", "book")))
        await asyncio.sleep(0.05)
        world.behave = {}
        for bad in ("{", "[" * 100_000, json.dumps({**told, "discovery": "nowhere"})):
            await signalled(bad)
        assert moved.watches == 0 and log.read_text().count("the active one stays") == 3
        await signalled(json.dumps({**told, "discovery": address, "listen": "127.0.0.1:9"}))
        await signalled(json.dumps({**told, "discovery": address}))
        assert moved.watches == 2, "its whole list, and then the watch"
        assert "listen stays as it was" in log.read_text()
        assert (await waits)[0] == 504
        world.sent.clear()
        for number in range(6):
            writer.write(world.request(f"r{number}"))
            assert (await message(kept))[0] == "HTTP/1.1 200 OK"
        assert {worker for worker, _ in world.sent} == {"w1"}
        writer.close()
        # Twice at once, and beside the signal to end.
        await signalled(json.dumps(told), signal.SIGHUP, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)
        assert await asyncio.wait_for(process.wait(), 4) == 0
        for server in world.servers + moved.servers:
            server.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


def test_the_program_starts_serves_and_ends_by_its_signal(tmp_path: Path) -> None:
    # Clients go on over kept connections and, for a while, new ones; what was taken must be answered.
    async def client(world: World, name: str, until: float, statuses: list[int]) -> None:
        number, kept = 0, None
        while asyncio.get_running_loop().time() < until:
            number += 1
            for _ in range(2):  # once more where the close crossed the request
                reader, writer = kept or await world.connect()
                writer.write(world.request(f"{name}-{number}"))
                try:
                    first, headers, _ = await asyncio.wait_for(message(reader), 3)
                except (asyncio.IncompleteReadError, ConnectionError) as error:
                    assert kept and not getattr(error, "partial", b""), "cut off while it was answered"
                    kept = None
                    continue
                statuses.append(int(first.split()[1]))
                kept = None if headers.get("connection") == "close" else (reader, writer)
                break
            await asyncio.sleep(0.01)

    async def run() -> tuple[int | None, list[int]]:
        world, statuses = World(), list[int]()
        process, _, _ = await started(world, tmp_path / "config.json")
        end = asyncio.get_running_loop().time() + 0.8
        clients = asyncio.gather(*(client(world, f"c{n}", end, statuses) for n in range(8)))
        await asyncio.sleep(0.4)
        process.send_signal(signal.SIGTERM)
        await clients
        code = await asyncio.wait_for(process.wait(), 4)
        for server in world.servers:
            server.close()
        return code, statuses

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        code, statuses = runner.run(run())
    assert code == 0 and len(statuses) > 50 and set(statuses) == {200}
