"""The program from startup, through configuration changes, to shutdown."""

import asyncio
import contextlib
import json
import signal
from pathlib import Path

from tests.decisions.harness import SETTINGS
from tests.routing.harness import ServiceHarness, run_on_loop, run_script
from tests.routing.http_messages import Headers, read_message
from tests.routing.program_process import start_program
from tests.routing.worker_behaviours import stay_silent

# On a busy machine a start may be late, which counts as a full worker (docs/design.md), and the next request
# waits about a second for the worker's capacity: less than the queueing budget of this class.
PATIENT_LOOK = {"ExpectedTimeUs": 10_000_000, "AbandonTimeUs": 12_000_000}


async def start_ready_program(
    harness: ServiceHarness, path: Path
) -> tuple[asyncio.subprocess.Process, dict[str, object], Path]:
    """Start the program; returns its process once it is ready, its configuration, and its log file."""
    document = harness.config_document(await harness.start_workers_and_discovery(2))
    look, book = SETTINGS["ServiceGrades"]
    document["settings"] = {**SETTINGS, "ServiceGrades": [{**look, **PATIENT_LOOK}, book]}
    process = await start_program(path, document)
    for _ in range(500):
        with contextlib.suppress(ConnectionError):
            assert (await harness.exchange(b"GET /-/ready HTTP/1.1\r\n\r\n"))[0] == 200
            break
        await asyncio.sleep(0.02)
    return process, document, path.with_suffix(".log")


async def write_and_signal(
    process: asyncio.subprocess.Process, path: Path, text: str, *signals: signal.Signals
) -> None:
    """Write the configuration file and send the signals immediately after each other."""
    path.write_text(text)
    for number in signals:
        process.send_signal(number)
    await asyncio.sleep(0.3)


def test_new_configuration_moves_discovery_and_an_invalid_one_changes_nothing(tmp_path: Path) -> None:
    # SIGHUP ended the program, and the requests that it had admitted were lost.
    async def run() -> None:
        harness, new_discovery = ServiceHarness(), ServiceHarness()
        path = tmp_path / "config.json"
        process, document, log = await start_ready_program(harness, path)
        # Its list has the same version number as the list of the first discovery.
        address = await new_discovery.start_workers_and_discovery(0)
        new_discovery.entries = harness.entries[1:]
        kept, writer = await harness.connect()

        async def reload(text: str) -> None:
            await write_and_signal(process, path, text, signal.SIGHUP)

        harness.behaviours = {"w0": stay_silent, "w1": stay_silent}
        pending_response = asyncio.create_task(harness.exchange(harness.request("taken", "book")))
        await asyncio.sleep(0.05)
        harness.behaviours = {}
        for invalid in ("{", "[" * 100_000, json.dumps({**document, "discovery": "nowhere"})):
            await reload(invalid)
        assert new_discovery.watch_count == 0 and log.read_text().count("the active one stays") == 3
        await reload(json.dumps({**document, "discovery": address, "listen": "127.0.0.1:9"}))
        await reload(json.dumps({**document, "discovery": address}))
        assert new_discovery.watch_count == 2, "its whole list, and then the watch"
        assert "listen stays as it was" in log.read_text()
        assert (await pending_response)[0] == 504
        harness.sent.clear()
        for number in range(6):
            writer.write(harness.request(f"r{number}"))
            assert (await asyncio.wait_for(read_message(kept), 3))[0] == "HTTP/1.1 200 OK"
        assert harness.sent == [("w1", f"r{number}") for number in range(6)]
        writer.close()
        # Two reloads at once, and another beside the signal to terminate.
        signals = (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)
        await write_and_signal(process, path, json.dumps(document), *signals)
        assert await asyncio.wait_for(process.wait(), 4) == 0
        harness.close_servers()
        new_discovery.close_servers()

    run_on_loop(run)


def test_program_starts_serves_and_stops_on_sigterm(tmp_path: Path) -> None:
    # Clients continue over kept connections and, for a while, new ones; admitted requests must be answered.
    async def client(harness: ServiceHarness, name: str, until: float, statuses: list[int]) -> None:
        number, kept = 0, None
        while asyncio.get_running_loop().time() < until:
            number += 1
            for _ in range(2):  # a second time if the close crossed the request
                reader, writer = kept or await harness.connect()
                writer.write(harness.request(f"{name}-{number}"))
                try:
                    first, headers, _ = await asyncio.wait_for(read_message(reader), 3)
                except (asyncio.IncompleteReadError, ConnectionError) as error:
                    assert kept and not getattr(error, "partial", b""), "cut off while it was answered"
                    kept = None
                    continue
                statuses.append(int(first.split()[1]))
                kept = None if headers.get("connection") == "close" else (reader, writer)
                break
            await asyncio.sleep(0.01)

    async def run() -> tuple[int | None, list[int]]:
        harness, statuses = ServiceHarness(), list[int]()
        process, _, _ = await start_ready_program(harness, tmp_path / "config.json")
        end = asyncio.get_running_loop().time() + 0.8
        clients = asyncio.gather(*(client(harness, f"c{n}", end, statuses) for n in range(8)))
        await asyncio.sleep(0.4)
        process.send_signal(signal.SIGTERM)
        await clients
        code = await asyncio.wait_for(process.wait(), 4)
        harness.close_servers()
        return code, statuses

    code, statuses = run_on_loop(run)
    assert code == 0 and len(statuses) > 50 and set(statuses) == {200}


def test_shutdown_goes_on_serving_for_a_while_and_finishes_admitted_requests() -> None:
    async def script(harness: ServiceHarness) -> None:
        kept_reader, kept = await harness.connect()
        _, half = await harness.connect()
        half.write(harness.request("half")[:30])
        harness.service.shut_down()
        assert (await harness.exchange(b"GET /-/ready HTTP/1.1\r\n\r\n"))[0] == 503
        # When it closed at once, clients found no dispatcher if the other one was restarted as well.
        for number in range(6):
            await asyncio.sleep(0.2)
            kept.write(harness.request(f"r{number}"))
            first, headers, _ = await read_message(kept_reader)
            assert first == "HTTP/1.1 200 OK" and "connection" not in headers
        assert (await harness.exchange(harness.request("late")))[0] == 200
        harness.behaviours = {"w0": hang, "w1": hang}
        last = [
            asyncio.create_task(harness.exchange(harness.request(f"last-{g}", g))) for g in ("look", "book")
        ]
        assert (await asyncio.wait_for(kept_reader.read(), 1.5)) == b""  # closed between requests
        assert [(await answer)[0] for answer in last] == [503, 504]
        await asyncio.wait_for(harness.running, 2)  # even though one client has not sent a complete request
        half.close()
        kept.close()

    async def hang(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, headers: Headers, body: bytes
    ) -> None:
        await asyncio.sleep(5)

    run_script(script, ServiceGrades=[{**g, "AbandonTimeUs": 5_000_000} for g in SETTINGS["ServiceGrades"]])
