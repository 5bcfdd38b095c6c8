"""Nothing that may have run is sent again when its id comes again, nor anything for a client that left."""

import asyncio
import os
import socket
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.limits.crowd_harness import CrowdedDispatcher
from tests.routing.harness import ServiceHarness, run_on_loop, run_script
from tests.routing.http_messages import Headers, chunk
from tests.routing.worker_behaviours import stay_silent
from tests.service.handover_harness import ReplacedDispatcher, exit_code
from tests.service.handover_harness import run_script as run_replacements

CLASS = "book"  # non-idempotent
OTHER_REQUESTS = 9000  # more than any table of recent ids held
AT_ONCE = 60
CLOSE_TOLERANCE_S = 0.1  # an attempt may begin this long after its client has closed


@pytest.fixture
def listening() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0), backlog=256) as listening_socket:
        yield listening_socket


async def send_and_leave(harness: ServiceHarness, request_id: str) -> None:
    """Send a request, wait until a worker has it, and close the connection."""
    _, writer = await harness.connect()
    writer.write(harness.request(request_id, CLASS))
    for _ in range(500):
        if harness.attempt_count(request_id):
            break
        await asyncio.sleep(0.01)
    writer.transport.abort()
    await asyncio.sleep(0.05)


async def status_of(harness: ServiceHarness, request_id: str) -> int:
    return (await harness.exchange(harness.request(request_id, CLASS)))[0]


def test_id_is_refused_behind_thousands_of_others_after_its_client_left() -> None:
    async def script(harness: ServiceHarness) -> None:
        async def send_others(number: int) -> None:
            for index in range(OTHER_REQUESTS // AT_ONCE):
                reader, writer = connections[number]
                writer.write(harness.request(f"other-{number}-{index}"))
                await reader.readuntil(b"\r\n\r\n")
                await asyncio.sleep(0)

        harness.behaviours = dict.fromkeys(("w0", "w1"), stay_silent)
        await send_and_leave(harness, "again")
        harness.behaviours = dict.fromkeys(("w0", "w1"), answer_at_once)
        connections = [await harness.connect() for _ in range(AT_ONCE)]
        await asyncio.gather(*map(send_others, range(AT_ONCE)))
        assert await status_of(harness, "again") == 409
        assert harness.attempt_count("again") == 1

    run_script(script, sockets=1024, memory_mb=192)


async def answer_at_once(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, headers: Headers, body: bytes
) -> None:
    done = chunk({"id": headers["request-id"], "from": "w", "state": "done", "result": ""})
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + done + b"0\r\n\r\n")


def test_successor_of_an_upgrade_refuses_an_id_that_its_predecessor_sent(
    listening: socket.socket, tmp_path: Path
) -> None:
    async def script(dispatcher: ReplacedDispatcher):  # type: ignore[no-untyped-def]
        harness = dispatcher.harness
        old, _ = await dispatcher.start()
        await send_and_leave(harness, "again")
        new, _ = await dispatcher.start()
        old.terminate()
        assert await exit_code(old) == 0
        assert await status_of(harness, "again") == 409
        assert await status_of(harness, "another") == 200
        assert harness.attempt_count("again") == 1
        return new

    run_replacements(listening, tmp_path, script)


def test_process_started_after_a_kill_refuses_an_id_that_was_sent_before(
    listening: socket.socket, tmp_path: Path
) -> None:
    async def script(dispatcher: ReplacedDispatcher):  # type: ignore[no-untyped-def]
        harness = dispatcher.harness
        old, _ = await dispatcher.start()
        await send_and_leave(harness, "again")
        old.kill()
        await exit_code(old)
        new, _ = await dispatcher.start()
        assert await status_of(harness, "again") == 409
        assert await status_of(harness, "another") == 200
        assert harness.attempt_count("again") == 1
        return new

    run_replacements(listening, tmp_path, script)


def test_restarted_program_with_the_same_folder_refuses_an_id_that_was_sent_before(tmp_path: Path) -> None:
    async def run() -> None:
        dispatcher = CrowdedDispatcher(tmp_path, 64, descriptors=256)
        await dispatcher.start()
        harness = dispatcher.harness
        try:
            await send_and_leave(harness, "again")
            dispatcher.process.kill()
            await dispatcher.process.wait()
            await dispatcher.start_program()
            assert await status_of(harness, "again") == 409
            assert await status_of(harness, "another") == 200
            assert harness.attempt_count("again") == 1
        finally:
            await dispatcher.stop()

    run_on_loop(run)


@pytest.mark.parametrize("unread_mib", [1, 12])
def test_nothing_is_sent_for_a_client_that_closed_with_much_unread(unread_mib: int) -> None:
    async def script(harness: ServiceHarness) -> None:
        requests = b"".join(harness.request(f"behind-{number}", CLASS) for number in range(4000))
        harness.behaviours = dict.fromkeys(("w0", "w1"), delayed_refusal)
        left_at = await asyncio.to_thread(write_and_close, harness.port, requests, unread_mib << 20)
        await asyncio.sleep(1.2)
        assert not [name for at, name in ARRIVALS if at > left_at + CLOSE_TOLERANCE_S]

    ARRIVALS.clear()
    run_script(script, memory_mb=192)


ARRIVALS: list[tuple[float, str]] = []


async def delayed_refusal(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, headers: Headers, body: bytes
) -> None:
    """Turn the request away unstarted, so that it would be sent again."""
    ARRIVALS.append((time.monotonic(), headers["request-id"]))
    await asyncio.sleep(0.2)
    writer.write(b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")


def write_and_close(port: int, requests: bytes, size: int) -> float:
    """Write the requests again and again for a while, and close; returns when."""
    with socket.create_connection(("127.0.0.1", port)) as client:
        client.settimeout(0.3)
        try:
            while size > 0:
                size -= client.send(requests)
        except (TimeoutError, OSError):
            os.sched_yield()
        return time.monotonic()
