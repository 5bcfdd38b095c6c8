"""Requests of clients: served, refused, rejected at the limits; clients that stall or leave."""

import asyncio
import contextlib

import pytest

from ploverspoke.routing.close_reasons import CloseReason
from tests.routing.harness import (
    World,
    message,
    play,
    say_nothing,
)
from tests.routing.race_harness import until


def test_requests_are_served_over_reused_connections() -> None:
    async def script(world: World) -> None:
        reader, writer = await world.connect()
        for number in range(20):
            writer.write(world.request(f"r{number}", body=b"abc"))
            first, _headers, body = await message(reader)
            assert first == "HTTP/1.1 200 OK" and body == f"r{number}:abc".encode()
        assert world.service.pool.connection_count() <= 2
        writer.close()

    play(script)


def test_pipelined_requests_are_answered_in_order() -> None:
    async def script(world: World) -> None:
        reader, writer = await world.connect()
        writer.write(b"".join(world.request(f"p{n}", body=b"y" * 3000) for n in range(30)))
        for number in range(30):
            _, _, body = await message(reader)
            assert body.startswith(f"p{number}:".encode())
        writer.close()

    play(script)


@pytest.mark.parametrize(
    ("data", "status"),
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
def test_invalid_request_gets_its_status_and_disturbs_no_other(data: bytes, status: int) -> None:
    async def script(world: World) -> None:
        good = asyncio.create_task(world.ask(world.request("good")))
        assert (await world.ask(data))[0] == status
        assert (await good)[0] == 200

    play(script)


@pytest.mark.parametrize(
    ("data", "status"),
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
def test_invalid_request_is_refused_by_its_head_and_not_forwarded(data: bytes, status: int) -> None:
    async def script(world: World) -> None:
        world.behave = {"w0": say_nothing, "w1": say_nothing}
        first = asyncio.create_task(world.ask(world.request("taken")))
        await asyncio.sleep(0.05)
        assert (await asyncio.wait_for(world.ask(data), 1))[0] == status
        assert {request for _, request in world.sent} == {"taken"}
        await first

    play(script)


def test_silent_and_slow_clients_are_disconnected_and_served_ones_stay() -> None:
    # A new connection that sent nothing stayed for good, a started request for 10 s.
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
        for writer in (half_writer, drip_writer):
            writer.close()
        closes = world.service.router.request_journal.client_closes
        await until(lambda: closes[CloseReason.INVALID_REQUEST] == 2 and closes[CloseReason.CLIENT_LEFT] == 1)
        assert closes[CloseReason.NOTHING_SENT] == 2

    play(script)


def test_hundreds_of_silent_clients_evict_no_served_client() -> None:
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
        assert len(world.service.client_server.sessions) <= world.service.client_server.max_sessions * 8 // 7
        for _, writer in await asyncio.gather(*silent):
            writer.close()
        kept.close()

    play(script, sockets=128)


def test_requests_beyond_the_memory_limit_are_rejected() -> None:
    async def script(world: World) -> None:
        world.behave = {"w0": say_nothing, "w1": say_nothing}
        held = [asyncio.create_task(world.ask(world.request(f"r{n}", body=b"x" * 65536))) for n in range(80)]
        await asyncio.sleep(0.3)
        server = world.service.client_server
        assert server.buffered_bytes + server.router.requests.body_bytes <= server.max_buffered_bytes + 65536
        assert {status for status, _, _ in await asyncio.gather(*held)} == {503}
        assert not server.buffered_bytes and not server.router.requests.body_bytes

    play(script, memory_mb=32)


def test_pipeline_of_invalid_requests_ends_with_the_first() -> None:
    # Hundreds of them were answered one by one, with what came after them waiting.
    async def script(world: World) -> None:
        reader, writer = await world.connect()
        writer.write(world.request("a", "unknown") * 300 + world.request("b"))
        assert (await asyncio.wait_for(reader.read(), 2)).count(b"HTTP/1.1 404") == 1
        assert not world.sent
        writer.close()

    play(script)


def test_client_that_leaves_or_stalls_disturbs_no_other() -> None:
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


def test_clients_beyond_the_descriptor_limit_are_rejected_and_idle_ones_evicted() -> None:
    async def script(world: World) -> None:
        idle = [await world.connect() for _ in range(40)]
        assert (await world.ask(world.request("r")))[0] == 200
        assert len(world.service.client_server.sessions) <= world.service.client_server.max_sessions + 1
        for _, writer in idle:
            writer.close()
        await asyncio.sleep(0.05)
        # The newest was closed when it alone was idle: it came back at once, and was closed again.
        world.behave = {"w0": say_nothing, "w1": say_nothing}
        busy = [world.ask(world.request(f"b{n}", "book")) for n in range(40)]
        statuses = [status for status, _, _ in await asyncio.gather(*busy)]
        assert set(statuses) == {503, 504}

    play(script, sockets=64)
