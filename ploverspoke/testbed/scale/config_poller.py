"""Polls all dispatchers, from outside, until a change of configuration is applied there.

`python -m ploverspoke.testbed.scale.config_poller` takes `PollTargets`, then a `ConfigChange` for each change
that is made, and answers each with `ChangeApplied` once the request class that it adds is known at all
dispatchers, or polling is given up. A request class is known where a GET to it is a wrong method (405) and
not an unknown target (404).
"""

import asyncio
import time
from collections import deque
from typing import cast

import msgspec
import uvloop

from ..fakes.http_wire import HttpReader, HttpSyntaxError
from ..processes.pipe_messages import input_lines, send_message

POLL_INTERVAL = 0.05  # seconds, at each dispatcher; the resolution of the times
POLL_TIMEOUT = 30.0  # seconds
NOT_FOUND = 404
NEVER_APPLIED = -1  # in place of a time


class PollTargets(msgspec.Struct, tag="targets"):
    """The dispatchers to poll."""

    addresses: list[str]


class ConfigChange(msgspec.Struct, tag="change"):
    """A change is being made that adds a request class."""

    number: int
    request_class: str


class ChangeApplied(msgspec.Struct, tag="applied"):
    """When a change was applied."""

    number: int
    delays: list[int]  # ns by dispatcher, or NEVER_APPLIED


class _PendingChange:
    """A change that is not known at all dispatchers yet."""

    def __init__(self, change: ConfigChange, targets: int) -> None:
        self.number = change.number
        self.request = f"GET /{change.request_class} HTTP/1.1\r\nHost: testbed\r\n\r\n".encode()
        self.made_at = time.monotonic_ns()
        self.delays = [NEVER_APPLIED] * targets
        self.missing = targets


class _TargetPoller(asyncio.Protocol):
    """Polls one dispatcher for the oldest change that it does not know; this implies the earlier ones."""

    def __init__(self, poller: "ConfigPoller", number: int, address: str) -> None:
        self._poller = poller
        self._number = number
        self._address = address
        self._reader = HttpReader()
        self._transport: asyncio.Transport | None = None
        self._asked: _PendingChange | None = None  # and not answered yet
        self._task: asyncio.Task[None] | None = None
        self.unknown: deque[_PendingChange] = deque()

    def add(self, change: _PendingChange) -> None:
        """Poll for one more change."""
        self.unknown.append(change)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._poll())

    async def _poll(self) -> None:
        while self.unknown:
            if self._transport is None:
                await self._connect()
            self._ask()
            await asyncio.sleep(POLL_INTERVAL)

    async def _connect(self) -> None:
        host, _, port = self._address.rpartition(":")
        try:
            await asyncio.get_running_loop().create_connection(lambda: self, host, int(port))
        except OSError:
            return

    def _ask(self) -> None:
        if self._transport is not None and self._asked is None and self.unknown:
            self._asked = self.unknown[0]
            self._transport.write(self._asked.request)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the connection for all requests."""
        self._transport = cast(asyncio.Transport, transport)
        self._reader = HttpReader()

    def data_received(self, data: bytes) -> None:
        """Read answers; a malformed one closes the connection."""
        try:
            for message in self._reader.feed(data):
                self._on_answer(message.status)
        except HttpSyntaxError:
            if self._transport is not None:
                self._transport.abort()

    def _on_answer(self, status: int) -> None:
        change, self._asked = self._asked, None
        if change is None or status == NOT_FOUND:
            return
        if self.unknown and self.unknown[0] is change:
            self.unknown.popleft()
            self._poller.on_known(change, self._number)
            self._ask()

    def connection_lost(self, exc: Exception | None) -> None:
        """Connect again with the next poll."""
        self._transport = self._asked = None


class ConfigPoller:
    """Polls all dispatchers for all pending changes."""

    def __init__(self, addresses: list[str]) -> None:
        """`addresses` are those for clients of the dispatchers."""
        self._targets = [_TargetPoller(self, number, address) for number, address in enumerate(addresses)]
        self._pending: dict[int, _PendingChange] = {}

    def add(self, change: ConfigChange) -> None:
        """Poll for a change that is made now."""
        pending = self._pending[change.number] = _PendingChange(change, len(self._targets))
        for target in self._targets:
            target.add(pending)
        asyncio.get_running_loop().call_later(POLL_TIMEOUT, self._give_up, pending)

    def on_known(self, change: _PendingChange, target: int) -> None:
        """A dispatcher knows the change."""
        change.delays[target] = time.monotonic_ns() - change.made_at
        change.missing -= 1
        if not change.missing:
            self._report(change)

    def _give_up(self, change: _PendingChange) -> None:
        for target in self._targets:
            if change in target.unknown:
                target.unknown.remove(change)
        self._report(change)

    def _report(self, change: _PendingChange) -> None:
        if self._pending.pop(change.number, None) is not None:
            send_message(ChangeApplied(change.number, change.delays))


async def serve() -> None:
    """Poll until the input ends."""
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
