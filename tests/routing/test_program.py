"""The program from its start, through new configurations, to its shutdown."""

import asyncio
import contextlib
import json
import os
import signal
import sys
from pathlib import Path
from typing import Any

import uvloop

from tests.decisions.harness import SETTINGS
from tests.routing.harness import (
    World,
    message,
    play,
    say_nothing,
)


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


def test_new_configuration_moves_discovery_and_an_invalid_one_changes_nothing(tmp_path: Path) -> None:
    # The signal ended the program, and what it had taken was lost.
    async def run() -> None:
        world, moved = World(), World()
        path = tmp_path / "config.json"
        process, document, log = await started(world, path)
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
        for bad in ("{", "[" * 100_000, json.dumps({**document, "discovery": "nowhere"})):
            await signalled(bad)
        assert moved.watches == 0 and log.read_text().count("the active one stays") == 3
        await signalled(json.dumps({**document, "discovery": address, "listen": "127.0.0.1:9"}))
        await signalled(json.dumps({**document, "discovery": address}))
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
        await signalled(json.dumps(document), signal.SIGHUP, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)
        assert await asyncio.wait_for(process.wait(), 4) == 0
        for server in world.servers + moved.servers:
            server.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


def test_program_starts_serves_and_stops_on_sigterm(tmp_path: Path) -> None:
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


def test_shutdown_serves_on_for_a_while_and_finishes_admitted_requests() -> None:
    async def script(world: World) -> None:
        kept_reader, kept = await world.connect()
        _, half = await world.connect()
        half.write(world.request("half")[:30])
        world.service.shut_down()
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
