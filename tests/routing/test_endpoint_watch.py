"""The watch on the endpoint list: timeouts, failures and restarts at any moment."""

import asyncio
import json
import socket

import pytest

from ploverspoke.protocol.discovery import EndpointList, read_endpoint_list
from ploverspoke.protocol.errors import EndpointListError
from ploverspoke.routing.endpoint_watch import EndpointWatch
from ploverspoke.routing.watch_journal import CallOutcome, WatchJournal
from ploverspoke.routing.watch_pace import WatchPace
from ploverspoke.service.settings import parse_names, parse_settings
from ploverspoke.transport.deadlines import Deadlines
from ploverspoke.transport.units import MILLISECOND as MS
from ploverspoke.transport.units import SECOND
from tests.decisions.harness import SETTINGS
from tests.routing.harness import ServiceHarness, run_on_loop, run_script
from tests.routing.race_harness import (
    LENIENT_SETTINGS,
    Clock,
    ManualWorker,
    Peer,
    discovery_response,
    endpoint_list,
    run_loop_turns,
    wait_until,
)


class ManualWatch:
    """A watch, its held clock, and a discovery whose responses the test writes."""

    def __init__(self, pushed: bool = False) -> None:
        loop = asyncio.get_running_loop()
        self.discovery, deadlines = ManualWorker(), Deadlines(loop)
        self.clock, self.lists, self.failures = Clock(deadlines), list[int](), list[bool]()
        self.clock.hold()
        address, journal = f"127.0.0.1:{self.discovery.port}", WatchJournal(deadlines.now)
        self.time_left: int | None = 5 * SECOND  # until the list expires
        self.confirmations = 0
        pace = WatchPace(0, 10 * SECOND)
        self.watch = EndpointWatch(deadlines, address, self, journal, pace, pushed)

    def list_confirmed(self, as_of: int) -> None:
        self.confirmations += 1

    def list_time_left(self) -> int | None:
        return self.time_left

    def call_timed_out(self, as_of: int) -> None:
        pass

    def watch_failed(self, outcome: CallOutcome) -> None:
        self.failures.append(outcome is CallOutcome.REJECTED)

    def receive_list(self, body: bytes) -> EndpointList:
        received = read_endpoint_list(body)
        self.lists.append(received.version)
        return received

    def calls(self) -> list[bytes]:
        """Return the calls received on all connections, in the order of connections."""
        return [c for p in self.discovery.accept_pending() for c in p.read().split(b"\r\n\r\n") if c]

    async def wait_for_calls(self, count: int) -> Peer:
        await wait_until(lambda: len(self.calls()) >= count, f"{count} calls")
        await run_loop_turns()
        assert len(self.calls()) == count
        return self.discovery.peers[-1]


async def start_manual_watch(pushed: bool = False) -> tuple[ManualWatch, Peer]:
    """Return a watch that has the whole list and has made its next call, and the connection of that call."""
    manual = ManualWatch(pushed)
    manual.watch.start()
    (await manual.wait_for_calls(1)).socket.send(discovery_response(endpoint_list(version=5)))
    return manual, await manual.wait_for_calls(2)


def test_silent_watch_is_restarted_before_missed_changes_are_binding() -> None:
    # Guards against this failure: the watch timed out just when missed changes became binding. The backoff,
    # the connection and the response took longer than the grace, so the next list came too late.
    async def script() -> None:
        manual = ManualWatch()
        manual.watch.start()
        peer = await manual.wait_for_calls(1)
        for silences in range(3):  # the call for the whole list, a watch, and the call after that
            if silences:
                peer.socket.send(
                    discovery_response(endpoint_list(version=40 + silences))
                    if silences == 1
                    else b"HTTP/1.1 200 O"
                )
                if silences == 1:
                    await manual.wait_for_calls(3)
            binding_after = 6 * SECOND if not silences else 12 * SECOND
            manual.clock.resume_after(binding_after - 3 * SECOND // 2)
            await run_loop_turns()
            manual.clock.resume_after(10 * MS)  # the timeout is extended once if data is unread
            peer = await manual.wait_for_calls(2 if not silences else 3 + silences)
            assert not manual.failures, "the watch restarts without a backoff"
        assert b"from=41&" in manual.calls()[-1]
        peer.socket.send(discovery_response(endpoint_list(version=42)))
        await manual.wait_for_calls(6)
        assert manual.lists == [41, 42] and manual.discovery.peers[0].has_ended()
        manual.watch.stop()

    run_on_loop(script)


def test_drain_missed_by_a_silent_watch_is_respected_within_the_grace_time() -> None:
    async def script(harness: ServiceHarness) -> None:
        clock, grace_ns = Clock(harness.service.deadlines), 500 * MS
        drained = [{**harness.entries[0], "state": "Terminating"}, harness.entries[1]]
        await wait_until(lambda: harness.watch_count)
        harness.entries, harness.version = drained, 2  # the open watch never reports this change
        for _ in range(240):  # 12 s: the wait of 10 s, and 2 s until the change is binding
            clock.resume_after(50 * MS)
            await asyncio.sleep(0.001)
        clock.resume_after(grace_ns - 50 * MS)
        await run_loop_turns(100)
        for number in range(8):
            assert (await harness.exchange(harness.request(f"r{number}")))[0] == 200
        assert {worker for worker, _ in harness.sent} == {"w1"}

    run_script(script, workers=2, **LENIENT_SETTINGS)


LIST_7 = discovery_response(endpoint_list(version=7))


@pytest.mark.parametrize(
    ("data", "lists", "failures", "calls"),
    [
        # Data received after the watch request; versions applied; whether each failure is a rejection; the
        # number of requests.
        (LIST_7, [7], [], 3),
        (discovery_response(endpoint_list(version=7), "Connection: close\r\n"), [7], [], 3),
        (
            LIST_7 + b"END",
            [7],
            [False],
            2,
        ),  # the connection ends right after the response
        (
            LIST_7 * 2,
            [7],
            [False],
            2,
        ),  # guards against two requests on one connection
        (LIST_7 + b"garbage", [7], [False], 2),
        (discovery_response(b'{"version":"soon"}'), [], [False], 2),
        (LIST_7[:-4] + b"END", [], [False], 2),
        (b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", [], [True], 2),
        (b"END", [], [False], 2),
    ],
)
def test_watch_has_one_request_at_a_time(
    data: bytes, lists: list[int], failures: list[bool], calls: int
) -> None:
    async def script() -> None:
        manual, peer = await start_manual_watch()
        peer.socket.send(data.removesuffix(b"END"))
        if data.endswith(b"END"):
            peer.socket.shutdown(socket.SHUT_WR)
        await wait_until(
            lambda: manual.lists[1:] == lists and (manual.failures or len(manual.calls()) == 3 or not lists)
        )
        await wait_until(lambda: len(manual.calls()) >= calls and len(manual.failures) >= len(failures))
        await run_loop_turns(100)
        open_now = [p for p in manual.discovery.accept_pending() if not p.has_ended()]
        if data.endswith(b"END") and lists and not manual.failures:
            await wait_until(lambda: manual.failures)
        assert manual.lists == [5, *lists] and manual.failures == failures
        assert len(open_now) == (0 if failures else 1)
        if failures:
            # The next watch makes one request: no state is left of the last call.
            manual.watch.start()
            manual.watch.start()
            peer = await manual.wait_for_calls(len(manual.calls()) + 1)
            peer.socket.send(discovery_response(endpoint_list(version=9)))
            await wait_until(lambda: manual.lists[-1] == 9)
            assert (
                manual.failures == failures
                and sum(not p.has_ended() for p in manual.discovery.accept_pending()) == 1
            )
        manual.watch.stop()

    run_on_loop(script)


def test_response_unread_at_the_timeout_is_read() -> None:
    # A suspended process resumes after its deadline, with the response still unread in the kernel.
    async def script() -> None:
        manual, peer = await start_manual_watch()
        peer.socket.send(discovery_response(endpoint_list(version=6)))
        manual.clock.resume_after(13 * SECOND)
        await manual.wait_for_calls(3)
        assert manual.lists == [5, 6] and len(manual.discovery.accept_pending()) == 1 and not manual.failures
        # A response that arrives byte by byte counts as a timeout.
        peer.socket.send(b"HTTP/1.1 200 O")
        manual.clock.resume_after(13 * SECOND)
        await run_loop_turns()
        peer.socket.send(b"K")
        manual.clock.resume_after(10 * MS)
        await wait_until(lambda: len(manual.discovery.accept_pending()) == 2)
        manual.watch.stop()

    run_on_loop(script)


def test_pushed_watch_that_breaks_is_restarted_without_backoff() -> None:
    # Guards against this failure: a change during the backoff became binding, and was received only after the
    # grace.
    async def script() -> None:
        manual, peer = await start_manual_watch(pushed=True)
        peer.reset()
        manual.discovery.peers.clear()
        peer = await manual.wait_for_calls(1)
        assert b"from=5&" in manual.calls()[0] and not manual.failures
        peer.reset()  # broken again at once: discovery is down, or ends each call
        await wait_until(lambda: manual.failures)
        assert manual.failures == [False]

    run_on_loop(script)


def test_change_of_the_discovery_mode_applies_to_the_open_watch() -> None:
    # Guards against this failure: after SIGHUP the watch continued with the settings of the process start.
    async def script(harness: ServiceHarness) -> None:
        clock, pushed = (
            Clock(harness.service.deadlines),
            {**SETTINGS, **LENIENT_SETTINGS, "Discovery": "push"},
        )
        await wait_until(lambda: harness.watch_count)
        harness.service.router.change_settings(parse_settings(pushed), parse_names(pushed))
        clock.hold()  # a backoff would never end
        calls_before = harness.watch_count
        harness.discovery_connections[-1][1].transport.abort()
        await wait_until(lambda: harness.watch_count > calls_before)

    run_script(script, workers=1, **LENIENT_SETTINGS)


def test_lower_versions_make_the_watch_request_the_whole_list() -> None:
    async def script() -> None:
        manual = ManualWatch()
        manual.watch.start()
        peer = await manual.wait_for_calls(1)
        for number, (version, full) in enumerate([(50, True), (3, False), (3, True), (4, False)]):
            peer.socket.send(discovery_response(endpoint_list(version=version, full=full)))
            peer = await manual.wait_for_calls(number + 2)
        requests_changes = [b"from=" in call for call in manual.calls()]
        assert requests_changes == [False, True, False, True, True]
        manual.watch.stop()
        peer.socket.send(discovery_response(endpoint_list(version=5)))
        await run_loop_turns(100)
        assert manual.lists[-1] == 4, "a stopped watch reports nothing"

    run_on_loop(script)


def test_entries_before_an_invalid_one_change_addresses_and_nothing_else() -> None:
    async def script(harness: ServiceHarness) -> None:
        endpoints, dispatcher = harness.service.router.endpoints, harness.service.router.dispatcher
        received, known = endpoints.lists_received, dict(dispatcher.workers)
        moved = {**harness.entries[0], "addr": "127.0.0.1:1"}
        new = {**harness.entries[0], "id": "new"}
        with pytest.raises(EndpointListError):
            endpoints.receive_list(
                json.dumps({"version": 9, "full": True, "servers": [moved, 3, new]}).encode()
            )
        assert endpoints.addresses["w0"] == "127.0.0.1:1" and "new" not in endpoints.addresses
        assert endpoints.lists_received == received and dispatcher.workers == known

    run_script(script)


def test_incomplete_lists_do_not_confirm_the_list() -> None:
    # Guards against this failure: a restarted discovery does not report earlier changes, but its response
    # counted as a confirmation of the list.
    async def script() -> None:
        manual, peer = await start_manual_watch()
        assert manual.confirmations == 1
        peer.socket.send(discovery_response(endpoint_list(version=3, full=False)))
        peer = await manual.wait_for_calls(3)
        assert manual.confirmations == 1 and b"from=" not in manual.calls()[-1]
        peer.socket.send(discovery_response(endpoint_list(version=4, full=False)))
        await wait_until(lambda: manual.failures)
        assert manual.confirmations == 1 and manual.failures == [False]
        manual.watch.stop()

    run_on_loop(script)
