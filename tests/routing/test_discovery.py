"""Discovery that drains workers, is down, sends malformed lists or stops responding."""

import asyncio

import pytest

from tests.decisions.harness import SETTINGS
from tests.routing.harness import ServiceHarness, run_script
from tests.routing.race_harness import Clock


@pytest.mark.parametrize(("mode", "keep_alive"), [("ask", True), ("push", True), ("ask", False)])
def test_draining_worker_gets_no_request_and_a_malformed_list_is_requested_again(
    mode: str, keep_alive: bool
) -> None:
    # Guards against this failure: with pushed changes no watch was opened on sockets.
    async def script(harness: ServiceHarness) -> None:
        harness.discovery_keeps_alive = keep_alive
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
        host, port = harness.stop_discovery()
        await asyncio.sleep(0.1)
        calls_before = harness.watch_count
        assert (await harness.exchange(harness.request("r")))[0] == 200
        await asyncio.sleep(1.2)  # calls to an address without a listener
        harness.version, harness.entries = 7, harness.entries[1:]
        await harness.restart_discovery(host, port)
        for _ in range(300):
            await asyncio.sleep(0.02)
            if harness.service.router.endpoints.watch.version == 7:
                break
        assert harness.service.router.endpoints.watch.version == 7 and harness.watch_count - calls_before < 4
        harness.sent.clear()
        Clock(harness.service.deadlines).hold()  # the only worker is not late, however busy the machine is
        for number in range(6):
            assert (await harness.exchange(harness.request(f"s{number}")))[0] == 200
        assert {worker for worker, _ in harness.sent} == {"w1"}

    run_script(script)


def test_silent_discovery_is_called_again() -> None:
    # A network partition leaves the watch open, and no response arrives after the allowed wait.
    async def script(harness: ServiceHarness) -> None:
        harness.answers_waiting_calls, calls_before = False, harness.watch_count
        await asyncio.sleep(2.6)
        assert harness.watch_count > calls_before and len(harness.discovery_connections) > 1
        harness.version, harness.entries = 2, harness.entries[:1]
        harness.list_changed.set()
        await asyncio.sleep(0.3)
        assert harness.service.router.endpoints.watch.version == 2

    run_script(script, Invariants={**SETTINGS["Invariants"], "MustAskInUs": 100_000})
