"""Handles the messages of framed connections in turns, so that one that sends many does not delay others."""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import Protocol

from ploverspoke.transport.turn_queue import TurnQueue
from ploverspoke.transport.units import MILLISECOND

MAX_TIME_PER_READ = MILLISECOND  # for messages that are handled at once, before the rest takes turns
# From one connection, before the others: the event loop would read from it again up to 32 times.
MAX_BYTES_PER_READ_TURN = 64 * 1024

# A longer message takes milliseconds, as a request for many leases; the others do not wait for all of these.
MAX_SHORT_MESSAGE_BYTES = 4 * 1024


class ReadableTransport(Protocol):
    """The part of a transport that is used here."""

    def pause_reading(self) -> None:
        """Read nothing more until `resume_reading`."""

    def resume_reading(self) -> None:
        """Read again."""

    def is_closing(self) -> bool:
        """Whether the connection is closed or about to be."""


class MessageTurnQueue:
    """The turns of all connections of one server; those with a long message next wait for each other only."""

    def __init__(self) -> None:
        """Create a queue itself with the first message that has to wait, on the running event loop."""
        self._short: TurnQueue | None = None
        self._long: TurnQueue | None = None

    def is_empty_for(self, body: bytes) -> bool:
        """Whether no message waits that a message with this body would have to wait for."""
        turns = self._long if _is_long(body) else self._short
        return turns is None or not turns.waiting

    def add(self, messages: "ReceivedMessages") -> None:
        """Give a connection a turn, after all that wait, for its next message."""
        if _is_long(messages.waiting[0]):
            self._long = self._long or TurnQueue(asyncio.get_running_loop())
            self._long.add(messages)
        else:
            self._short = self._short or TurnQueue(asyncio.get_running_loop())
            self._short.add(messages)


def _is_long(body: bytes) -> bool:
    return len(body) > MAX_SHORT_MESSAGE_BYTES


class ReceivedMessages:
    """The messages that one connection has received, in their order; implements `TurnUser`.

    Nothing more is read while messages wait, so no more than those of one read are kept. After a number of
    bytes the other connections are read first.
    """

    def __init__(
        self,
        turns: MessageTurnQueue,
        handle: Callable[[bytes], None],
        on_failed: Callable[[], None],
    ) -> None:
        """`handle` is called with the body of each message, and handles the errors of its sender.

        `on_failed` is called after `handle` raised any other error, which was logged.
        """
        self.turns = turns
        self.handle = handle
        self.on_failed = on_failed
        self.waiting: deque[bytes] = deque()
        self.on_end: Callable[[], None] | None = None
        self.paused: ReadableTransport | None = None
        self.bytes_in_turn = 0  # received since other connections were let go first

    def receive(self, bodies: list[bytes], size: int, transport: ReadableTransport) -> None:
        """Handle messages at once while there is time and no other connection waits, the rest in turns.

        `bodies` are the messages that the last read of `size` bytes has completed.
        """
        self.bytes_in_turn += size
        self.waiting.extend(bodies)
        try:
            self._handle_some()
        except Exception:  # the event loop logs it and closes the connection
            self.drop()
            raise
        if self.paused is not None:
            return
        if self.waiting:
            self._pause(transport)
            self.turns.add(self)
        elif self.bytes_in_turn >= MAX_BYTES_PER_READ_TURN and not transport.is_closing():
            self._pause(transport)
            asyncio.get_running_loop().call_soon(self._on_all_handled)

    def _pause(self, transport: ReadableTransport) -> None:
        self.bytes_in_turn = 0
        self.paused = transport
        transport.pause_reading()

    def finish(self, on_end: Callable[[], None]) -> None:
        """Call `on_end` once all messages that were received are handled: nothing follows them."""
        self.paused = None
        if self.waiting:
            self.on_end = on_end
        else:
            on_end()

    def drop(self) -> None:
        """Handle no message that waits."""
        self.waiting.clear()

    def _handle_some(self) -> None:
        ends_at = time.monotonic_ns() + MAX_TIME_PER_READ
        while self._may_handle_next() and time.monotonic_ns() < ends_at:
            self.handle(self.waiting.popleft())

    def _may_handle_next(self) -> bool:
        return bool(self.waiting) and self.turns.is_empty_for(self.waiting[0])

    # ---- Turns ----

    def take_turn(self) -> bool:
        """Handle one message; the next one waits for its turn among those of its length."""
        if self.waiting:
            self.handle(self.waiting.popleft())
        if self.waiting:
            self.turns.add(self)
        else:
            self._on_all_handled()
        return False

    def on_turn_failed(self) -> None:
        """Drop what waits: the connection is closed."""
        self.drop()
        self.on_failed()
        self._on_all_handled()

    def _on_all_handled(self) -> None:
        paused, self.paused = self.paused, None
        on_end, self.on_end = self.on_end, None
        if on_end is not None:
            on_end()
        elif paused is not None and not paused.is_closing():
            paused.resume_reading()
