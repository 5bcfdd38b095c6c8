"""Client requests that are served, refused or rejected at limits; clients that stall or disconnect."""

import asyncio
import contextlib

import pytest

from ploverspoke.routing.close_reasons import CloseReason
from ploverspoke.transport.memory_account import MemoryKind
from tests.routing.harness import ServiceHarness, run_script
from tests.routing.http_messages import read_message
from tests.routing.race_harness import wait_until
from tests.routing.worker_behaviours import stay_silent


def test_requests_are_served_over_reused_connections() -> None:
    async def script(harness: ServiceHarness) -> None:
        reader, writer = await harness.connect()
        for number in range(20):
            writer.write(harness.request(f"r{number}", body=b"abc"))
            first, _headers, body = await read_message(reader)
            assert first == "HTTP/1.1 200 OK" and body == f"r{number}:abc".encode()
        assert harness.service.pool.connection_count() <= 2
        writer.close()

    run_script(script)


def test_pipelined_requests_are_answered_in_order() -> None:
    async def script(harness: ServiceHarness) -> None:
        reader, writer = await harness.connect()
        writer.write(b"".join(harness.request(f"p{n}", body=b"y" * 3000) for n in range(30)))
        for number in range(30):
            _, _, body = await read_message(reader)
            assert body.startswith(f"p{number}:".encode())
        writer.close()

    run_script(script)


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
    async def script(harness: ServiceHarness) -> None:
        good = asyncio.create_task(harness.exchange(harness.request("good")))
        assert (await harness.exchange(data))[0] == status
        assert (await good)[0] == 200

    run_script(script)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        # The rest of each request is never sent, as its head is enough to refuse it.
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
        (b"POST /look HTTP/1.1\r\nA: " + b"b" * 300_000, 400),  # heads of any length were buffered
    ],
)
def test_invalid_request_is_refused_by_its_head_and_not_forwarded(data: bytes, status: int) -> None:
    async def script(harness: ServiceHarness) -> None:
        harness.behaviours = {"w0": stay_silent, "w1": stay_silent}
        first = asyncio.create_task(harness.exchange(harness.request("taken")))
        await asyncio.sleep(0.05)
        assert (await asyncio.wait_for(harness.exchange(data), 1))[0] == status
        assert {request for _, request in harness.sent} == {"taken"}
        await first

    run_script(script)


def test_silent_and_slow_clients_are_disconnected_and_served_ones_stay() -> None:
    # A new connection that sent nothing stayed open forever, and one with an incomplete request for 10 s.
    async def script(harness: ServiceHarness) -> None:
        kept_reader, kept = await harness.connect()
        kept.write(harness.request("first"))
        await read_message(kept_reader)
        silent, _ = await harness.connect()
        status_client, status_writer = await harness.connect()
        status_writer.write(b"GET /-/ready HTTP/1.1\r\n\r\n")
        partial, partial_writer = await harness.connect()
        slow, slow_writer = await harness.connect()
        partial_writer.write(harness.request("half")[:-1])
        started = asyncio.get_running_loop().time()
        for byte in b"POST /look HTTP/1.1\r\nRequest-Id":
            if slow.at_eof() or slow._buffer:  # type: ignore[attr-defined]
                break
            slow_writer.write(bytes([byte]))
            await asyncio.sleep(0.1)
        assert await asyncio.wait_for(silent.read(), 1) == b""
        with contextlib.suppress(ConnectionError):
            assert (await asyncio.wait_for(status_client.read(), 1)).count(b"HTTP/1.1") == 1, (
                "no answer unasked"
            )
        assert (await asyncio.wait_for(partial.read(), 1)).startswith(b"HTTP/1.1 408")
        assert (await asyncio.wait_for(slow.read(), 1)).startswith(b"HTTP/1.1 408")
        assert asyncio.get_running_loop().time() - started < 3
        kept.write(harness.request("second"))
        assert (await read_message(kept_reader))[0] == "HTTP/1.1 200 OK"
        kept.close()
        for writer in (partial_writer, slow_writer):
            writer.close()
        closes = harness.service.router.request_journal.client_closes
        await wait_until(
            lambda: closes[CloseReason.INVALID_REQUEST] == 2 and closes[CloseReason.CLIENT_LEFT] == 1
        )
        assert closes[CloseReason.NOTHING_SENT] == 2

    run_script(script)


def test_hundreds_of_silent_clients_evict_no_served_client() -> None:
    async def script(harness: ServiceHarness) -> None:
        kept_reader, kept = await harness.connect()
        kept.write(harness.request("first"))
        await read_message(kept_reader)
        silent = [asyncio.create_task(harness.connect()) for _ in range(300)]
        await asyncio.sleep(0.3)
        for _ in range(60):  # these check the status once and stay connected
            status_client = await harness.connect()
            silent.append(asyncio.create_task(asyncio.sleep(0, status_client)))
            status_client[1].write(b"GET /-/ready HTTP/1.1\r\n\r\n")
            assert (await read_message(status_client[0]))[0] == "HTTP/1.1 200 OK"
        assert (await harness.exchange(harness.request("new")))[0] == 200
        kept.write(harness.request("second"))
        assert (await read_message(kept_reader))[0] == "HTTP/1.1 200 OK"
        assert (
            len(harness.service.client_server.sessions) <= harness.service.client_server.max_sessions * 8 // 7
        )
        for _, writer in await asyncio.gather(*silent):
            writer.close()
        kept.close()

    run_script(script, sockets=128)


def test_requests_beyond_the_memory_limit_are_rejected() -> None:
    async def script(harness: ServiceHarness) -> None:
        harness.behaviours = {"w0": stay_silent, "w1": stay_silent}
        pending_responses = [
            asyncio.create_task(harness.exchange(harness.request(f"r{n}", body=b"x" * 65536)))
            for n in range(80)
        ]
        await asyncio.sleep(0.3)
        memory = harness.service.memory
        assert memory.peak <= memory.limit + 65536
        assert {status for status, _, _ in await asyncio.gather(*pending_responses)} == {503}
        assert not memory.held[MemoryKind.MESSAGES]
        assert not any(len(connection.buffer) for connection in harness.service.client_server.connections)
        assert not memory.held[MemoryKind.OPEN_REQUESTS]

    run_script(script, memory_mb=32)


def test_pipeline_of_invalid_requests_ends_with_the_first() -> None:
    # Hundreds of invalid requests were answered one by one while the valid requests after them waited.
    async def script(harness: ServiceHarness) -> None:
        reader, writer = await harness.connect()
        writer.write(harness.request("a", "unknown") * 300 + harness.request("b"))
        assert (await asyncio.wait_for(reader.read(), 2)).count(b"HTTP/1.1 404") == 1
        assert not harness.sent
        writer.close()

    run_script(script)


def test_client_that_leaves_or_stalls_disturbs_no_other() -> None:
    async def script(harness: ServiceHarness) -> None:
        harness.behaviours = {"w0": stay_silent, "w1": stay_silent}
        _, leaver = await harness.connect()
        leaver.write(harness.request("gone", "book"))
        _, slow = await harness.connect()
        slow.write(harness.request("slow")[:30])
        await asyncio.sleep(0.05)
        leaver.transport.abort()
        harness.behaviours = {}
        assert (await harness.exchange(harness.request("r")))[0] == 200
        await asyncio.sleep(1)
        slow.close()

    run_script(script)


def test_clients_beyond_the_descriptor_limit_are_rejected_and_idle_ones_evicted() -> None:
    async def script(harness: ServiceHarness) -> None:
        idle = [await harness.connect() for _ in range(40)]
        assert (await harness.exchange(harness.request("r")))[0] == 200
        assert len(harness.service.client_server.sessions) <= harness.service.client_server.max_sessions + 1
        for _, writer in idle:
            writer.close()
        await asyncio.sleep(0.05)
        # The newest connection was closed if it alone was idle; its client reconnected, and was closed again.
        harness.behaviours = {"w0": stay_silent, "w1": stay_silent}
        busy = [harness.exchange(harness.request(f"b{n}", "book")) for n in range(40)]
        statuses = [status for status, _, _ in await asyncio.gather(*busy)]
        assert set(statuses) == {503, 504}

    run_script(script, sockets=64)
