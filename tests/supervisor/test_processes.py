"""Real children under load: killed, replaced because of a new configuration, and shut down."""

import asyncio
import json
import os
import signal
import time
from pathlib import Path

import uvloop

from tests.polling import until
from tests.routing.harness import ServiceHarness
from tests.routing.http_messages import read_message

from .harness import SupervisedDispatchers

EVENT_TIMEOUT = 20  # seconds
CONNECTION_LOST = 0  # in place of a status: the client got no answer


async def send_requests(harness: ServiceHarness, port: int, name: str, statuses: list[int]) -> None:
    for number in range(10_000):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(harness.request(f"{name}-{number}", "look-up"))
            status_line, _, _ = await asyncio.wait_for(read_message(reader), 5)
            statuses.append(int(status_line.split()[1]))
            writer.close()
        except (ConnectionError, asyncio.IncompleteReadError):
            statuses.append(CONNECTION_LOST)
        await asyncio.sleep(0.005)


async def kill_children(dispatchers: SupervisedDispatchers) -> None:
    await until(lambda: dispatchers.count_logged(" serves at") == 3, EVENT_TIMEOUT)
    os.kill(dispatchers.children()[0], signal.SIGKILL)
    await until(lambda: dispatchers.count_logged(" serves at") == 4, EVENT_TIMEOUT)
    for pid in dispatchers.children():
        os.kill(pid, signal.SIGKILL)
    await until(lambda: dispatchers.count_logged(" serves at") == 7, EVENT_TIMEOUT)


async def reload_config(dispatchers: SupervisedDispatchers) -> None:
    """Reload an invalid file first, then a valid one."""
    dispatchers.config_path.write_text("{")
    dispatchers.process.send_signal(signal.SIGHUP)
    await until(lambda: dispatchers.count_logged("new configuration rejected") > 0, EVENT_TIMEOUT)
    dispatchers.config_path.write_text(json.dumps({**dispatchers.document, "seed": "77"}))
    dispatchers.process.send_signal(signal.SIGHUP)
    await until(lambda: dispatchers.count_logged(" serves at") == 10, EVENT_TIMEOUT)


async def kill_reload_and_shut_down_under_load(folder: Path) -> None:
    harness = ServiceHarness()
    dispatchers = SupervisedDispatchers(folder, harness, await harness.start_workers_and_discovery(2), 3)
    statuses: list[int] = []
    try:
        await until(lambda: dispatchers.count_logged(" serves at") == 3, EVENT_TIMEOUT)
        clients = [
            asyncio.create_task(send_requests(harness, dispatchers.port, f"c{number}", statuses))
            for number in range(4)
        ]
        await until(lambda: len(statuses) > 100, EVENT_TIMEOUT)
        await kill_children(dispatchers)
        lost = statuses.count(CONNECTION_LOST)
        await reload_config(dispatchers)
        before = len(statuses)
        await until(lambda: len(statuses) > before + 100, EVENT_TIMEOUT)
        # A planned replacement loses no connection; the connections of a killed child are lost.
        assert statuses.count(CONNECTION_LOST) == lost and lost < 50
        assert set(statuses) <= {CONNECTION_LOST, 200, 503}
        for client in clients:
            client.cancel()
        dispatchers.process.send_signal(signal.SIGTERM)
        await until(lambda: dispatchers.process.poll() is not None, EVENT_TIMEOUT)
        assert dispatchers.process.returncode == 0
    finally:
        if dispatchers.process.poll() is None:
            for pid in dispatchers.children():
                os.kill(pid, signal.SIGKILL)
            dispatchers.process.kill()
        for server in harness.servers:
            server.close()


def test_requests_are_answered_while_children_are_killed_replaced_and_shut_down(tmp_path: Path) -> None:
    started_at = time.monotonic()
    uvloop.run(asyncio.wait_for(kill_reload_and_shut_down_under_load(tmp_path), 60))
    assert time.monotonic() - started_at < 60
