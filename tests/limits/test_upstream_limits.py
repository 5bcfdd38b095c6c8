"""Workers and discovery that send much or nonsense neither exhaust memory nor hold up the process."""

import asyncio
import itertools
import json
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.limits.crowd_harness import CrowdedDispatcher
from tests.routing.harness import endpoint_entry, run_on_loop
from tests.routing.http_messages import Headers, chunk

OPEN_REQUESTS = 150
MEMORY_MB = 48
FAULTY_S = 4.0
MAX_STATUS_S = 0.5  # for the dispatcher's own status
KIBIBYTE = 1024


async def send_long_line(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, headers: Headers, body: bytes
) -> None:
    """A response of one line that is nearly as long as allowed, and does not end."""
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    part = b"x" * KIBIBYTE
    for _ in range(66):
        writer.write(b"%x\r\n%b\r\n" % (len(part), part))
        await writer.drain()
    await asyncio.sleep(FAULTY_S)


async def send_progress_without_end(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, headers: Headers, body: bytes
) -> None:
    """Progress lines at full speed, and no result."""
    load = b"Server-Load: " + b"[" * (8 * KIBIBYTE) + b"\r\n"
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n%b\r\n" % load)
    line = chunk({"id": headers["request-id"], "from": "w", "state": "running", "share": 0.5})
    while not writer.is_closing():
        writer.write(line * 100)
        await writer.drain()


async def status_times(dispatcher: CrowdedDispatcher) -> list[float]:
    """How long the dispatcher took for its own status, asked for again and again."""
    loop, times = asyncio.get_running_loop(), []
    began = loop.time()
    while loop.time() < began + FAULTY_S:
        asked_at = loop.time()
        assert (await dispatcher.harness.exchange(b"GET /-/ready HTTP/1.1\r\n\r\n"))[0] == 200
        times.append(loop.time() - asked_at)
        await asyncio.sleep(0.05)
    return times


async def check(dispatcher: CrowdedDispatcher) -> None:
    times = await status_times(dispatcher)
    assert dispatcher.process.returncode is None, dispatcher.log.read_text()
    assert dispatcher.resident_mb(peak=True) <= MEMORY_MB
    assert max(times) <= MAX_STATUS_S


@pytest.mark.parametrize("behaviour", [send_long_line, send_progress_without_end])
def test_responses_without_end_stay_within_the_memory_limit(behaviour, tmp_path: Path) -> None:  # type: ignore[no-untyped-def]
    async def run() -> None:
        dispatcher = CrowdedDispatcher(tmp_path, MEMORY_MB, descriptors=1024)
        await dispatcher.start()
        dispatcher.harness.behaviours = dict.fromkeys(("w0", "w1", "w2"), behaviour)
        requests = [
            asyncio.ensure_future(
                dispatcher.harness.exchange(dispatcher.harness.request(f"r{number}", "book", b"x" * 9000))
            )
            for number in range(OPEN_REQUESTS)
        ]
        try:
            await check(dispatcher)
            answers = await asyncio.gather(*requests)
            assert {status for status, _, _ in answers} <= {503, 504}
        finally:
            await dispatcher.stop()

    run_on_loop(run)


def ever_new_workers() -> Iterator[bytes]:
    """Lists of ever new workers, as long as allowed."""
    for version in itertools.count(2):
        entries = [endpoint_entry(f"v{version}-{number}", 9) for number in range(1200)]
        yield json.dumps({"version": version, "full": True, "servers": entries}).encode()


def ever_more_workers() -> Iterator[bytes]:
    """Changes that only ever add workers."""
    for version in itertools.count(2):
        entries = [endpoint_entry(f"v{version}-{number}", 9) for number in range(1000)]
        yield json.dumps({"version": version, "full": False, "servers": entries}).encode()


def workers_with_long_names() -> Iterator[bytes]:
    """Changes that add workers whose names and addresses are long."""
    for version in itertools.count(2):
        entries = [endpoint_entry(f"v{version}-{number}-" + "x" * 10_000, 9) for number in range(20)]
        yield json.dumps({"version": version, "full": False, "servers": entries}).encode()


def nested_values() -> Iterator[bytes]:
    """Lists that take far more memory than bytes."""
    for version in itertools.count(2):
        values = b"[" + b"{}," * 340_000 + b"{}]"
        yield b'{"version":%d,"full":true,"servers":%b}' % (version, values)


@pytest.mark.parametrize(
    "lists", [ever_new_workers, ever_more_workers, workers_with_long_names, nested_values]
)
def test_lists_of_any_size_and_content_stay_within_the_memory_limit(lists, tmp_path: Path) -> None:  # type: ignore[no-untyped-def]
    async def run() -> None:
        dispatcher = CrowdedDispatcher(tmp_path, MEMORY_MB, descriptors=1024)
        await dispatcher.start()
        bodies = lists()

        async def change_lists() -> None:
            while True:
                dispatcher.harness.next_list_body = next(bodies)
                dispatcher.harness.version += 1
                dispatcher.harness.list_changed.set()
                await asyncio.sleep(0.02)

        changes = asyncio.ensure_future(change_lists())
        try:
            await check(dispatcher)
        finally:
            changes.cancel()
            await dispatcher.stop()

    run_on_loop(run)
