"""The watch on the endpoint list: silences, failures and restarts at any moment."""

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


class HeldWatch:
    """A watch, and a discovery that the test works by hand."""

    def __init__(self, pushed: bool = False) -> None:
        loop = asyncio.get_running_loop()
        self.discovery, deadlines = ManualWorker(), Deadlines(loop)
        self.clock, self.lists, self.lost = Clock(deadlines), list[int](), list[bool]()
        self.clock.hold()
        address, journal = f"127.0.0.1:{self.discovery.port}", WatchJournal(deadlines.now)
        self.time_left: int | None = 5 * SECOND
        self.confirmations = 0
        pace = WatchPace(0, 10 * SECOND)
        self.watch = EndpointWatch(deadlines, address, self, journal, pace, pushed)

    def list_confirmed(self, as_of: int) -> None:
        self.confirmations += 1

    def list_time_left(self) -> int | None:
        return self.time_left

    def call_was_silent(self, as_of: int) -> None:
        pass

    def watch_failed(self, outcome: CallOutcome) -> None:
        self.lost.append(outcome is CallOutcome.REJECTED)

    def receive_list(self, body: bytes) -> EndpointList:
        received = read_endpoint_list(body)
        self.lists.append(received.version)
        return received

    def calls(self) -> list[bytes]:
        """Each call on each connection, in the order of connections."""
        return [c for p in self.discovery.accept_pending() for c in p.read().split(b"\r\n\r\n") if c]

    async def wait_for_calls(self, count: int) -> Peer:
        await wait_until(lambda: len(self.calls()) >= count, f"{count} calls")
        await run_loop_turns()
        assert len(self.calls()) == count
        return self.discovery.peers[-1]


async def watching(pushed: bool = False) -> tuple[HeldWatch, Peer]:
    """A watch that has had the whole list and made its next call, and the connection that this came over."""
    held = HeldWatch(pushed)
    held.watch.start()
    (await held.wait_for_calls(1)).socket.send(discovery_response(endpoint_list(version=5)))
    return held, await held.wait_for_calls(2)


def test_silent_watch_is_restarted_before_missed_changes_are_binding() -> None:
    # It was given up just when missed changes became binding; with the backoff, the connection and the answer
    # the next list came after the grace.
    async def script() -> None:
        held = HeldWatch()
        held.watch.start()
        peer = await held.wait_for_calls(1)
        for silences in range(3):  # the whole list, a watch, and the same once more
            if silences:
                peer.socket.send(
                    discovery_response(endpoint_list(version=40 + silences))
                    if silences == 1
                    else b"HTTP/1.1 200 O"
                )
                if silences == 1:
                    await held.wait_for_calls(3)
            counts_as_told = 6 * SECOND if not silences else 12 * SECOND
            held.clock.resume_after(counts_as_told - 3 * SECOND // 2)
            await run_loop_turns()
            held.clock.resume_after(10 * MS)  # once more, after what lay unread
            peer = await held.wait_for_calls(2 if not silences else 3 + silences)
            assert not held.lost, "no pause is asked for"
        assert b"from=41&" in held.calls()[-1]
        peer.socket.send(discovery_response(endpoint_list(version=42)))
        await held.wait_for_calls(6)
        assert held.lists == [41, 42] and held.discovery.peers[0].has_ended()
        held.watch.stop()

    run_on_loop(script)


def test_drain_missed_by_a_silent_watch_is_respected_within_the_grace_time() -> None:
    async def script(harness: ServiceHarness) -> None:
        clock, grace = Clock(harness.service.deadlines), 500 * MS
        drained = [{**harness.entries[0], "state": "Terminating"}, harness.entries[1]]
        await wait_until(lambda: harness.watch_count)
        harness.entries, harness.version = drained, 2  # the watch that is open never reports it
        for _ in range(240):  # 12 s: the wait of 10 s, and 2 s until it binds
            clock.resume_after(50 * MS)
            await asyncio.sleep(0.001)
        clock.resume_after(grace - 50 * MS)
        await run_loop_turns(100)
        for number in range(8):
            assert (await harness.exchange(harness.request(f"r{number}")))[0] == 200
        assert {worker for worker, _ in harness.sent} == {"w1"}

    run_script(script, workers=2, **LENIENT_SETTINGS)


LIST_7 = discovery_response(endpoint_list(version=7))


@pytest.mark.parametrize(
    ("data", "lists", "lost", "calls"),
    [
        # What is received after the watch request; versions taken, failures, and the number of requests.
        (LIST_7, [7], [], 3),
        (discovery_response(endpoint_list(version=7), "Connection: close\r\n"), [7], [], 3),
        (
            LIST_7 + b"END",
            [7],
            [False],
            2,
        ),  # its end right behind the answer
        (
            LIST_7 * 2,
            [7],
            [False],
            2,
        ),  # twice: two calls went out on one connection
        (LIST_7 + b"garbage", [7], [False], 2),
        (discovery_response(b'{"version":"soon"}'), [], [False], 2),
        (LIST_7[:-4] + b"END", [], [False], 2),
        (b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", [], [True], 2),
        (b"END", [], [False], 2),
    ],
)
def test_watch_has_one_request_at_a_time(data: bytes, lists: list[int], lost: list[bool], calls: int) -> None:
    async def script() -> None:
        held, peer = await watching()
        peer.socket.send(data.removesuffix(b"END"))
        if data.endswith(b"END"):
            peer.socket.shutdown(socket.SHUT_WR)
        await wait_until(
            lambda: held.lists[1:] == lists and (held.lost or len(held.calls()) == 3 or not lists)
        )
        await wait_until(lambda: len(held.calls()) >= calls and len(held.lost) >= len(lost))
        await run_loop_turns(100)
        open_now = [p for p in held.discovery.accept_pending() if not p.has_ended()]
        if data.endswith(b"END") and lists and not held.lost:
            await wait_until(lambda: held.lost)
        assert held.lists == [5, *lists] and held.lost == lost
        assert len(open_now) == (0 if lost else 1)
        if lost:
            # The next watch has one request: nothing is left of the last call.
            held.watch.start()
            held.watch.start()
            peer = await held.wait_for_calls(len(held.calls()) + 1)
            peer.socket.send(discovery_response(endpoint_list(version=9)))
            await wait_until(lambda: held.lists[-1] == 9)
            assert held.lost == lost and sum(not p.has_ended() for p in held.discovery.accept_pending()) == 1
        held.watch.stop()

    run_on_loop(script)


def test_response_unread_at_the_timeout_is_read() -> None:
    # A process that was suspended resumes with its deadline past, and with the answer unread in the kernel.
    async def script() -> None:
        held, peer = await watching()
        peer.socket.send(discovery_response(endpoint_list(version=6)))
        held.clock.resume_after(13 * SECOND)
        await held.wait_for_calls(3)
        assert held.lists == [5, 6] and len(held.discovery.accept_pending()) == 1 and not held.lost
        # A response that comes byte by byte counts as silence.
        peer.socket.send(b"HTTP/1.1 200 O")
        held.clock.resume_after(13 * SECOND)
        await run_loop_turns()
        peer.socket.send(b"K")
        held.clock.resume_after(10 * MS)
        await wait_until(lambda: len(held.discovery.accept_pending()) == 2)
        held.watch.stop()

    run_on_loop(script)


def test_pushed_watch_that_breaks_is_restarted_without_backoff() -> None:
    # A change during the backoff became binding, and the grace was over before it was received.
    async def script() -> None:
        held, peer = await watching(pushed=True)
        peer.reset()
        held.discovery.peers.clear()
        peer = await held.wait_for_calls(1)
        assert b"from=5&" in held.calls()[0] and not held.lost
        peer.reset()  # again at once: it is down, or ends each call
        await wait_until(lambda: held.lost)
        assert held.lost == [False]

    run_on_loop(script)


def test_change_of_the_discovery_mode_applies_to_the_open_watch() -> None:
    # After SIGHUP the watch went on with the settings of the start.
    async def script(harness: ServiceHarness) -> None:
        clock, pushed = (
            Clock(harness.service.deadlines),
            {**SETTINGS, **LENIENT_SETTINGS, "Discovery": "push"},
        )
        await wait_until(lambda: harness.watch_count)
        harness.service.router.change_settings(parse_settings(pushed), parse_names(pushed))
        clock.hold()  # a pause never ends now
        asked = harness.watch_count
        harness.discovery_connections[-1][1].transport.abort()
        await wait_until(lambda: harness.watch_count > asked)

    run_script(script, workers=1, **LENIENT_SETTINGS)


def test_lower_versions_make_the_watch_request_the_whole_list() -> None:
    async def script() -> None:
        held = HeldWatch()
        held.watch.start()
        peer = await held.wait_for_calls(1)
        for number, (version, full) in enumerate([(50, True), (3, False), (3, True), (4, False)]):
            peer.socket.send(discovery_response(endpoint_list(version=version, full=full)))
            peer = await held.wait_for_calls(number + 2)
        asked = [b"from=" in call for call in held.calls()]
        assert asked == [False, True, False, True, True]
        held.watch.stop()
        peer.socket.send(discovery_response(endpoint_list(version=5)))
        await run_loop_turns(100)
        assert held.lists[-1] == 4, "a watch that was stopped reports nothing"

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
    # A restarted discovery does not report earlier changes, and its answer counted as a confirmation.
    async def script() -> None:
        held, peer = await watching()
        assert held.confirmations == 1
        peer.socket.send(discovery_response(endpoint_list(version=3, full=False)))
        peer = await held.wait_for_calls(3)
        assert held.confirmations == 1 and b"from=" not in held.calls()[-1]
        peer.socket.send(discovery_response(endpoint_list(version=4, full=False)))
        await wait_until(lambda: held.lost)
        assert held.confirmations == 1 and held.lost == [False]
        held.watch.stop()

    run_on_loop(script)
