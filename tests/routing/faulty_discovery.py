"""A discovery with many kinds of faults, and a dispatcher that watches it on a clock that the test sets."""

import asyncio
import socket
from collections.abc import Callable
from typing import cast

from ploverspoke.routing.endpoint_watch import WatchRequest
from ploverspoke.testbed.processes.addresses import bind_without_listening
from ploverspoke.transport.units import MILLISECOND as MS
from ploverspoke.transport.units import SECOND
from tests.routing.harness import Entry, ServiceHarness
from tests.routing.race_harness import Clock, discovery_response, endpoint_list, run_loop_turns, wait_until

BINDING_DELAY_NS = 6 * SECOND
GRACE_NS = 500 * MS  # after the binding delay
HALF_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n{"version":'
RESPONSES = {
    "503": b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
    "503, closed": b"HTTP/1.1 503 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
    "429": b"HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n",
    "500": b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
    "garbage": b"\x00\xff garbage\r\n\r\n",
    "no list": discovery_response(b'{"version":"soon"}'),
    "half, then ends": HALF_RESPONSE,
    "half, then silent": HALF_RESPONSE,
    "ends": b"",
    "resets": b"",
    "silent": b"",
}
FAULTS = ["refuses", "never up", *RESPONSES]


class FaultyConnection(asyncio.Protocol):
    """One connection to a faulty discovery; `is_waiting`: it has a request without a response."""

    def __init__(self, discovery: "FaultyDiscovery") -> None:
        self.discovery, self.is_waiting, self.received = discovery, False, b""
        self.is_silent = False  # no response will follow

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.discovery.peers[transport.get_extra_info("peername")[1]] = self

    def connection_lost(self, exc: Exception | None) -> None:
        self.discovery.peers.pop(self.transport.get_extra_info("peername")[1], None)

    def data_received(self, data: bytes) -> None:
        self.received += data
        while b"\r\n\r\n" in self.received:
            call, _, self.received = self.received.partition(b"\r\n\r\n")
            self.discovery.on_call(self, call)


class FaultyDiscovery:
    """A discovery server whose fault the test sets."""

    def __init__(self, harness: ServiceHarness, port: int, clock: Clock) -> None:
        self.harness, self.port, self.clock, self.fault = harness, port, clock, "well"
        self.peers: dict[int, FaultyConnection] = {}
        self.server: asyncio.Server | None = None
        self.blockers: list[socket.socket] = []

    async def set_fault(self, fault: str) -> None:
        """Set the fault of later calls; those in flight are unchanged."""
        self.fault = fault
        if self.server is not None:
            self.server.close()
        for blocker in self.blockers:
            blocker.close()
        self.server, self.blockers = None, []
        if fault == "refuses":
            return
        listening = bind_without_listening("127.0.0.1", self.port)
        if fault == "never up":
            # The accept queue is full, so that no connection is established, as with an unreachable machine.
            listening.listen(0)
            self.blockers = [listening, *(socket.socket() for _ in range(4))]
            for filler in self.blockers[1:]:
                filler.setblocking(False)
                filler.connect_ex(("127.0.0.1", self.port))
            return
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: FaultyConnection(self), sock=listening)

    def on_call(self, peer: FaultyConnection, call: bytes) -> None:
        wait = int(call.partition(b"hold_ms=")[2].split(b" ")[0] or 0) * MS
        if self.fault == "well":
            if f"from={self.harness.version}&".encode() in call:
                peer.is_waiting = True
                when = self.clock.held_at + wait
                self.harness.service.deadlines.schedule(when, lambda: self.end_wait(peer))
            else:
                self.deliver_list(peer)
            return
        peer.transport.write(RESPONSES[self.fault])
        if self.fault in ("silent", "half, then silent"):
            peer.is_waiting = peer.is_silent = True
        elif self.fault == "resets":
            peer.transport.abort()
        elif self.fault.endswith(("ends", "closed")):
            peer.transport.close()

    def end_wait(self, peer: FaultyConnection) -> None:
        if peer.is_waiting and not peer.is_silent and not peer.transport.is_closing():
            peer.is_waiting = False
            peer.transport.write(discovery_response(endpoint_list(version=self.harness.version, full=False)))

    def deliver_list(self, peer: FaultyConnection) -> None:
        peer.is_waiting = False
        peer.transport.write(
            discovery_response(endpoint_list(*self.harness.entries, version=self.harness.version))
        )

    def change(self, *entries: Entry) -> None:
        """Change the list; waiting calls without a fault are answered with the new list."""
        self.harness.entries, self.harness.version = list(entries), self.harness.version + 1
        for peer in list(self.peers.values()):
            if peer.is_waiting and not peer.is_silent:
                self.deliver_list(peer)


class WatchHarness:
    """A dispatcher and its faulty discovery; time advances from deadline to deadline."""

    def __init__(self, harness: ServiceHarness) -> None:
        self.harness, self.router = harness, harness.service.router
        self.clock = Clock(harness.service.deadlines)
        self.clock.hold()
        self.discovery = FaultyDiscovery(harness, harness.servers[-1].sockets[0].getsockname()[1], self.clock)
        self.call_without_connection: WatchRequest | None = None  # could not connect before the fault changed
        self.failures, watch = 0, self.router.endpoints.watch
        watch.on_failed = self.counting_failures(watch.on_failed)  # type: ignore[method-assign]
        watch.on_timed_out = self.counting_failures(watch.on_timed_out)  # type: ignore[method-assign]
        # Each backoff gets the largest jitter.
        self.random_numbers = self.router.dispatcher.random
        self.original_fraction = self.random_numbers.fraction
        self.random_numbers.fraction = lambda: 1 - 1e-9  # type: ignore[method-assign]

    def counting_failures(self, report: Callable[..., None]) -> Callable[..., None]:
        def report_and_count(call: WatchRequest, **named: bool) -> None:
            self.failures += self.call() is call
            report(call, **named)

        return report_and_count

    async def replace_discovery(self) -> None:
        """Stop the discovery of the harness, which the faulty one replaces."""
        self.harness.stop_discovery()
        await wait_until(lambda: self.failures)

    def call(self) -> WatchRequest | None:
        return self.router.endpoints.watch.request

    def is_settled(self) -> bool:
        """Whether nothing happens before a deadline: there is no call, or it cannot connect, or it waits."""
        call = self.call()
        if call is None:
            return True
        if call.connection is None:
            # The kernel retries the connect after a second of real time, for which the test does not wait.
            return call.pending_connection is not None and (
                self.discovery.fault == "never up" or call is self.call_without_connection
            )
        transport = call.connection.transport
        assert transport is not None
        own_address = transport.get_extra_info("sockname")
        peer = self.discovery.peers.get(own_address[1]) if own_address else None
        return peer is not None and peer.is_waiting

    async def settle(self) -> None:
        for _ in range(3):  # a close or report is processed one turn of the event loop later
            await wait_until(self.is_settled, f"does not settle while discovery {self.discovery.fault}")
            await run_loop_turns(6)

    async def change_discovery(self, fault: str) -> None:
        call, previous_fault = self.call(), self.discovery.fault
        self.call_without_connection = (
            call if previous_fault == "never up" or call is self.call_without_connection else None
        )
        await self.discovery.set_fault(fault)

    async def pass_time(self, end: int, condition: Callable[[], object] = lambda: False) -> None:
        """Advance the clock to `end`, or until the condition is true."""
        deadlines, clock = self.harness.service.deadlines, self.clock
        await self.settle()
        while not condition() and clock.held_at < end:
            next_deadline = min((d.when for d in deadlines.heap if not d.is_done), default=end)
            clock.resume_after(max(0, min(next_deadline, end) - clock.held_at))
            await self.settle()

    async def fail_calls(self, fault: str, times: int) -> None:
        """Set the fault until `times` more calls have failed."""
        await self.change_discovery(fault)
        expected_failures = self.failures + times
        for _ in range(4 * times):  # no backoff or wait is longer than a minute
            await self.pass_time(self.clock.held_at + 60 * SECOND, lambda: self.failures >= expected_failures)
        assert self.failures >= expected_failures, f"calls do not fail while discovery {fault}"

    async def check_drain_is_respected(self) -> None:
        """Check that a drain is respected which begins at the moment when the fault of discovery ends."""
        harness, clock = self.harness, self.clock
        await self.change_discovery("well")
        binding_at = clock.held_at + BINDING_DELAY_NS
        first, second = harness.entries
        self.discovery.change({**first, "state": "Terminating"}, second)
        await self.pass_time(binding_at + GRACE_NS)
        self.random_numbers.fraction = self.original_fraction  # type: ignore[method-assign]
        harness.sent.clear()
        clock.release()
        for number in range(8):
            assert (await harness.exchange(harness.request(f"r{number}")))[0] == 200
        assert {worker for worker, _ in harness.sent} == {"w1"}
