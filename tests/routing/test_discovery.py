"""Discovery that drains workers, is down, sends malformed lists or falls silent."""

import asyncio

import pytest

from tests.decisions.harness import SETTINGS
from tests.routing.harness import (
    ServiceHarness,
    run_script,
)


@pytest.mark.parametrize(("mode", "lasts"), [("ask", True), ("push", True), ("ask", False)])
def test_draining_worker_gets_nothing_and_a_malformed_list_is_asked_for_again(mode: str, lasts: bool) -> None:
    # Where changes are to come unprompted nobody asked for them on sockets.
    async def script(harness: ServiceHarness) -> None:
        harness.discovery_keeps_alive = lasts
        harness.next_list_body = b'{"version":"soon"}'
        await harness.change_list([{**harness.entries[0], "state": "Terminating"}, harness.entries[1]])
        await asyncio.sleep(1)
        assert harness.watch_count >= 3
        harness.sent.clear()
        for number in range(8):
            assert (await harness.exchange(harness.request(f"r{number}")))[0] == 200
        assert {worker for worker, _ in harness.sent} == {"w1"}

    run_script(script, Discovery=mode)


def test_discovery_may_be_down_and_come_back() -> None:
    async def script(harness: ServiceHarness) -> None:
        discovery = harness.servers[-1]
        host, port = discovery.sockets[0].getsockname()
        discovery.close()
        for _, writer in harness.discovery_connections:
            writer.transport.abort()
        harness.discovery_connections.clear()
        await asyncio.sleep(0.1)
        asked = harness.watch_count
        assert (await harness.exchange(harness.request("r")))[0] == 200
        await asyncio.sleep(1.2)  # calls to an address where nobody listens
        harness.version, harness.entries = 7, harness.entries[1:]
        harness.servers[-1] = await asyncio.start_server(harness._discovery, host, port)
        for _ in range(300):
            await asyncio.sleep(0.02)
            if harness.service.router.endpoints.watch.version == 7:
                break
        assert harness.service.router.endpoints.watch.version == 7 and harness.watch_count - asked < 4
        harness.sent.clear()
        for number in range(6):
            assert (await harness.exchange(harness.request(f"s{number}")))[0] == 200
        assert {worker for worker, _ in harness.sent} == {"w1"}

    run_script(script)


def test_silent_discovery_is_asked_again() -> None:
    # A cut network leaves the watch open for good: the wait that it was allowed is over, and nothing comes.
    async def script(harness: ServiceHarness) -> None:
        harness.answers_waiting_calls, first = False, harness.watch_count
        await asyncio.sleep(2.6)
        assert harness.watch_count > first and len(harness.discovery_connections) > 1
        harness.version, harness.entries = 2, harness.entries[:1]
        harness.list_changed.set()
        await asyncio.sleep(0.3)
        assert harness.service.router.endpoints.watch.version == 2

    run_script(script, Invariants={**SETTINGS["Invariants"], "MustAskInUs": 100_000})
