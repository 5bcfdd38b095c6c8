"""Discovery that drains workers, is down, sends malformed lists or falls silent."""

import asyncio

import pytest

from tests.decisions.harness import SETTINGS
from tests.routing.harness import (
    World,
    play,
)


@pytest.mark.parametrize(("mode", "lasts"), [("ask", True), ("push", True), ("ask", False)])
def test_draining_worker_gets_nothing_and_a_malformed_list_is_asked_for_again(mode: str, lasts: bool) -> None:
    # Where changes are to come unprompted nobody asked for them on sockets.
    async def script(world: World) -> None:
        world.discovery_keeps_alive = lasts
        world.next_list_body = b'{"version":"soon"}'
        await world.change_list([{**world.entries[0], "state": "Terminating"}, world.entries[1]])
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
        for _, writer in world.discovery_connections:
            writer.transport.abort()
        world.discovery_connections.clear()
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


def test_silent_discovery_is_asked_again() -> None:
    # A cut network leaves the watch open for good: the wait that it was allowed is over, and nothing comes.
    async def script(world: World) -> None:
        world.answers_waits, first = False, world.watches
        await asyncio.sleep(2.6)
        assert world.watches > first and len(world.discovery_connections) > 1
        world.version, world.entries = 2, world.entries[:1]
        world.list_changed.set()
        await asyncio.sleep(0.3)
        assert world.service.router.endpoints.watch.version == 2

    play(script, Invariants={**SETTINGS["Invariants"], "MustAskInUs": 100_000})
