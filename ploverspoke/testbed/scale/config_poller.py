"""Polls all dispatchers from outside until a change of configuration is applied there.

`python -m ploverspoke.testbed.scale.config_poller` reads `PollTargets`, then a `ConfigChange` per change. It
answers each change with `ChangeApplied` once the request class that the change adds is known at all
dispatchers, or once polling times out. A dispatcher knows a request class if it answers a GET to it with 405
(wrong method) instead of 404 (unknown target).
"""

import asyncio
import time
from collections import deque
from typing import cast

import msgspec
import uvloop

from ..fakes.http_wire import HttpReader, HttpSyntaxError
from ..processes.pipe_messages import input_lines, send_message

POLL_INTERVAL_S = 0.05  # for each dispatcher; this is the resolution of the measured delays
POLL_TIMEOUT_S = 30.0
NOT_FOUND = 404
NEVER_APPLIED = -1  # in place of a delay


class PollTargets(msgspec.Struct, tag="targets"):
    """The dispatchers to poll."""

    addresses: list[str]


class ConfigChange(msgspec.Struct, tag="change"):
    """A change is being made that adds a request class."""

    number: int
    request_class: str


class ChangeApplied(msgspec.Struct, tag="applied"):
    """The delays until a change was applied."""

    number: int
    delays: list[int]  # ns for each dispatcher, or NEVER_APPLIED


class _PendingChange:
    """A change that is not yet known at all dispatchers."""

    def __init__(self, change: ConfigChange, target_count: int) -> None:
        self.number = change.number
        self.request = f"GET /{change.request_class} HTTP/1.1\r\nHost: testbed\r\n\r\n".encode()
        self.made_at = time.monotonic_ns()
        self.delays = [NEVER_APPLIED] * target_count
        self.unapplied_count = target_count


class _TargetPoller(asyncio.Protocol):
    """Polls one dispatcher for its oldest unapplied change; an applied change implies the earlier ones."""

    def __init__(self, poller: "ConfigPoller", number: int, address: str) -> None:
        self._poller = poller
        self._number = number
        self._address = address
        self._reader = HttpReader()
        self._transport: asyncio.Transport | None = None
        self._requested: _PendingChange | None = None  # in the request that is not answered yet
        self._task: asyncio.Task[None] | None = None
        self.unapplied: deque[_PendingChange] = deque()

    def add(self, change: _PendingChange) -> None:
        """Poll for another change."""
        self.unapplied.append(change)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._poll())

    async def _poll(self) -> None:
        while self.unapplied:
            if self._transport is None:
                await self._connect()
            self._send_request()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _connect(self) -> None:
        host, _, port = self._address.rpartition(":")
        try:
            await asyncio.get_running_loop().create_connection(lambda: self, host, int(port))
        except OSError:
            return

    def _send_request(self) -> None:
        if self._transport is not None and self._requested is None and self.unapplied:
            self._requested = self.unapplied[0]
            self._transport.write(self._requested.request)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the connection for all requests."""
        self._transport = cast(asyncio.Transport, transport)
        self._reader = HttpReader()

    def data_received(self, data: bytes) -> None:
        """Read responses; a malformed response closes the connection."""
        try:
            for message in self._reader.feed(data):
                self._on_response(message.status)
        except HttpSyntaxError:
            if self._transport is not None:
                self._transport.abort()

    def _on_response(self, status: int) -> None:
        change, self._requested = self._requested, None
        if change is None or status == NOT_FOUND:
            return
        if self.unapplied and self.unapplied[0] is change:
            self.unapplied.popleft()
            self._poller.on_applied(change, self._number)
            self._send_request()

    def connection_lost(self, exc: Exception | None) -> None:
        """Reset the state; the next poll connects again."""
        self._transport = self._requested = None


class ConfigPoller:
    """Polls all dispatchers for all pending changes."""

    def __init__(self, addresses: list[str]) -> None:
        """`addresses` are the client addresses of the dispatchers."""
        self._targets = [_TargetPoller(self, number, address) for number, address in enumerate(addresses)]
        self._pending: dict[int, _PendingChange] = {}

    def add(self, change: ConfigChange) -> None:
        """Poll for a change that is being made now."""
        pending = self._pending[change.number] = _PendingChange(change, len(self._targets))
        for target in self._targets:
            target.add(pending)
        asyncio.get_running_loop().call_later(POLL_TIMEOUT_S, self._give_up, pending)

    def on_applied(self, change: _PendingChange, target: int) -> None:
        """Record that a dispatcher has applied the change."""
        change.delays[target] = time.monotonic_ns() - change.made_at
        change.unapplied_count -= 1
        if not change.unapplied_count:
            self._report(change)

    def _give_up(self, change: _PendingChange) -> None:
        for target in self._targets:
            if change in target.unapplied:
                target.unapplied.remove(change)
        self._report(change)

    def _report(self, change: _PendingChange) -> None:
        if self._pending.pop(change.number, None) is not None:
            send_message(ChangeApplied(change.number, change.delays))


async def serve() -> None:
    """Process messages until the input ends."""
    decoder: msgspec.json.Decoder[PollTargets | ConfigChange] = msgspec.json.Decoder(
        PollTargets | ConfigChange
    )
    poller: ConfigPoller | None = None
    async for line in input_lines():
        message = decoder.decode(line)
        if isinstance(message, PollTargets):
            poller = ConfigPoller(message.addresses)
        elif poller is not None:
            poller.add(message)


if __name__ == "__main__":
    uvloop.run(serve())
