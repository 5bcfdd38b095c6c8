"""Worker calls: each sends one request to a worker and reports its single outcome."""

from functools import partial
from typing import Protocol

from ploverspoke.protocol.errors import HttpSyntaxError
from ploverspoke.protocol.workers import LoadReport, ResponseListener, ResponseReader
from ploverspoke.transport.connection_pool import ConnectionPool, PendingConnection
from ploverspoke.transport.connections import Connection
from ploverspoke.transport.memory_account import MemoryHolding, MemoryKind
from ploverspoke.transport.outcomes import ExchangeOutcome
from ploverspoke.transport.units import MILLISECOND

RESPONSE_END_TIMEOUT_NS = 500 * MILLISECOND  # to read the rest of a response whose outcome is known
# A worker that has closed the connection, or rejects it, is noticed within this time after the first bytes.
MEMORY_RETRY_DELAY_NS = 20 * MILLISECOND  # before a response is read on that there was no memory for
LAST_BYTE_DELAY_NS = 2 * MILLISECOND
# The timeout in the head is too long if the last byte is written later than this after it was due.
MAX_LAST_BYTE_LATENESS_NS = 100 * MILLISECOND
MAX_UNCHECKED_BYTES = 16 * 1024  # a longer request may stay unsent in part while a worker does not read


class WorkerCallUser(Protocol):
    """The user of a worker call: provides the request, and is notified of its progress and outcome."""

    def encode_request(self, time_left: int) -> bytes:
        """Return the bytes to send; `time_left` ns remain for the call."""

    def make_reader(self, listener: ResponseListener) -> ResponseReader:
        """Return a reader that reports the response to `listener`."""

    def may_send(self) -> bool:
        """Return whether the request may still be written.

        Called just before the first byte and again before the last, since the connection may have been
        established late, and this process may have been suspended.
        """

    def on_written(self) -> None:
        """The kernel has accepted the last byte of the request."""

    def on_started(self) -> None:
        """The worker has started to process the request."""

    def on_progress(self, fraction_done: float) -> None:
        """The worker has processed this fraction of the request, 0 to 1."""

    def on_ended(self, outcome: ExchangeOutcome, result: str, load: LoadReport | None) -> None:
        """The call has ended. Called exactly once, and never while the user is calling `WorkerCall`."""


class WorkerCall:
    """Owns a connection to a worker while one request is exchanged on it."""

    def __init__(
        self,
        pool: ConnectionPool,
        address: str,
        timeout: int,
        user: WorkerCallUser,
        delay_last_byte: bool = False,
        use_new_connection: bool = False,
    ) -> None:
        """Start the call, which may take `timeout` ns.

        With `delay_last_byte` the last byte is written `LAST_BYTE_DELAY_NS` after the others. A worker
        starts a request only when it has received all of it, so the request has certainly not run if the
        connection breaks before. The last byte of a long request is written once the kernel has the others:
        that may be late, and it is checked again whether the request may be sent.
        """
        self.pool = pool
        self.deadlines = pool.deadlines
        self.user: WorkerCallUser | None = user  # None: it was notified of the outcome
        self.reader = user.make_reader(self)
        self.connection: Connection | None = None
        self.pending_connection: PendingConnection | None = None
        self.response_held = MemoryHolding(pool.monitor.memory, MemoryKind.RESPONSES)
        self.abort_outcome: ExchangeOutcome | None = None  # why this side closed the connection
        self.is_reusable = False  # whether the connection can carry another request
        self.delay_last_byte = delay_last_byte
        self.last_byte: bytes | None = None  # if it is delayed and not written yet
        self.last_byte_due_at = 0  # ns; earliest time to write it
        self.ends_at = self.deadlines.now() + timeout
        self.deadline = self.deadlines.schedule(self.ends_at, self._on_timeout)
        max_idle_time = pool.safe_idle_time() if delay_last_byte else None
        self.pending_connection = pool.acquire(address, self, 0 if use_new_connection else max_idle_time)

    def cancel(self) -> None:
        """Stop the call: its connection is closed, and bytes not written yet are not sent."""
        self._stop(ExchangeOutcome.CANCELLED, ExchangeOutcome.NOT_SENT)

    def withhold(self) -> bool:
        """Stop the call unless its request is sent completely; otherwise keep waiting for its outcome.

        Returns whether the call is stopped.
        """
        is_unsent = self.user is not None and (self.connection is None or self.last_byte is not None)
        if is_unsent:
            self._stop(ExchangeOutcome.NOT_SENT, ExchangeOutcome.NOT_SENT)
        return is_unsent

    # ---- Events of the connection ----

    def on_connected(self, connection: Connection) -> None:
        """Write the request, unless it may no longer be sent."""
        self.pending_connection = None
        user = self.user
        if user is None or not self._may_still_send(user):
            self.pool.release(connection, unused=True)
            self._end(ExchangeOutcome.NOT_SENT)
            return
        self.connection = connection
        now = self.deadlines.now()
        message = user.encode_request(self.ends_at - now)
        if not self.delay_last_byte and len(message) <= MAX_UNCHECKED_BYTES:
            self._write_to_end(connection, message)
            return
        self.last_byte = message[-1:]
        self.last_byte_due_at = now + (LAST_BYTE_DELAY_NS if self.delay_last_byte else 0)
        connection.write(message[:-1])
        if self.delay_last_byte:
            self.deadlines.schedule(self.last_byte_due_at, self._write_last_byte)
        else:
            self._write_last_byte()

    def on_connect_failed(self, outcome: ExchangeOutcome) -> None:
        """End the call."""
        self.pending_connection = None
        self._end(outcome)

    def on_data_available(self) -> None:
        """Read the response; after its last byte the connection is released or closed."""
        if self.connection is None:
            return
        is_incomplete = self.delay_last_byte and self.last_byte is not None
        if is_incomplete and self.connection.idle_time is not None:
            # The worker has not received the whole request: this is a second response to the one before.
            self._stop(ExchangeOutcome.SEND_INCOMPLETE, ExchangeOutcome.SEND_INCOMPLETE)
            return
        if self.connection.monitor.memory.is_full():
            self._wait_for_memory(self.connection)
            return
        try:
            self.connection.feed(self.reader)
        except HttpSyntaxError:
            self.abort_outcome = ExchangeOutcome.MALFORMED_RESPONSE
        self.response_held.set(self.reader.held_bytes())
        if self.abort_outcome is not None:
            self.connection.abort()
        elif self.reader.is_complete:
            connection, self.connection = self.connection, None
            self._release_response()
            self.deadlines.cancel(self.deadline)
            if self.is_reusable and not connection.has_unsent_data:
                self.pool.release(connection)
            else:
                connection.user = None
                connection.close()

    def _wait_for_memory(self, connection: Connection) -> None:
        """Read no more of the response until there is memory for it; the call's deadline holds."""
        connection.set_reading_paused(True)
        retry_at = self.deadlines.now() + MEMORY_RETRY_DELAY_NS
        self.deadlines.schedule(retry_at, partial(self._read_after_wait, connection))

    def _read_after_wait(self, connection: Connection) -> None:
        if self.connection is connection:
            connection.set_reading_paused(False)
            self.on_data_available()

    def _release_response(self) -> None:
        self.response_held.set(0)
        self.reader.close()

    def on_disconnected(self) -> None:
        """End the call."""
        if self.connection is None:
            return
        has_status = bool(self.reader.status)
        self._release_response()
        # A request has certainly not run only if a part of it is certainly still in this process.
        is_incomplete = self.last_byte is not None or (self.connection.has_unsent_data and not has_status)
        if self.abort_outcome is None and not has_status:
            self.pool.record_break(self.connection)
        self.connection = self.last_byte = None
        outcome = ExchangeOutcome.SEND_INCOMPLETE if is_incomplete else ExchangeOutcome.CONNECTION_LOST
        self._end(self.abort_outcome or outcome)

    def on_write_drained(self) -> None:
        """Write the last byte if it is due, or report that the request is written."""
        if self.last_byte is not None:
            self._write_last_byte()
        elif self.abort_outcome is None and self.user is not None:
            self.user.on_written()

    def _write_last_byte(self) -> None:
        """Write the last byte, unless it is early, other bytes are unsent, or the request may not be sent."""
        now = self.deadlines.now()
        if self.last_byte is None or self.connection is None or self.connection.has_unsent_data:
            return
        if now < self.last_byte_due_at:
            return
        if self.connection.has_unread_data():
            # The worker closed the connection or responded to an incomplete request: that is read first.
            self.deadlines.schedule(now, self._write_last_byte)
            return
        is_outdated = now - self.last_byte_due_at > MAX_LAST_BYTE_LATENESS_NS
        if self.user is None or is_outdated or not self._may_still_send(self.user):
            self._stop(ExchangeOutcome.NOT_SENT, ExchangeOutcome.NOT_SENT)
            return
        last_byte, self.last_byte = self.last_byte, None
        self._write_to_end(self.connection, last_byte)

    def _write_to_end(self, connection: Connection, data: bytes) -> None:
        connection.write(data)
        if connection.is_open and not connection.has_unsent_data and self.user is not None:
            self.user.on_written()

    def _may_still_send(self, user: WorkerCallUser) -> bool:
        """Return whether the request may be written: a process may resume late, with outdated state."""
        return self.deadlines.now() < self.ends_at and user.may_send()

    # ---- Events of the response ----

    def on_started(self) -> None:
        """Report that the worker has started to process the request."""
        if self.user is not None and self.abort_outcome is None:
            self.user.on_started()

    def on_progress(self, fraction_done: float) -> None:
        """Report the worker's progress."""
        if self.user is not None and self.abort_outcome is None:
            self.user.on_progress(fraction_done)

    def on_outcome(self, outcome: ExchangeOutcome, result: str, load: LoadReport | None) -> None:
        """End the call; the rest of the response is still read."""
        if outcome is ExchangeOutcome.MALFORMED_RESPONSE or self.last_byte is not None:
            # The rest of the request is not written after a malformed or a premature response.
            self.abort_outcome, self.last_byte = outcome, None
        self._end(outcome, result, load)

    def on_response_complete(self, reusable: bool) -> None:
        """Record whether the connection can carry another request."""
        self.is_reusable = reusable

    # ---- The end of the call ----

    def _on_timeout(self) -> None:
        # A connection that was not established within a short remaining time says nothing about its worker.
        self._stop(ExchangeOutcome.TIMED_OUT, ExchangeOutcome.NOT_SENT)

    def _stop(self, outcome_if_sent: ExchangeOutcome, outcome_if_not_sent: ExchangeOutcome) -> None:
        if self.connection is not None:
            # The outcome is reported when the connection is closed: no second copy may be sent before.
            self.abort_outcome = self.abort_outcome or (
                outcome_if_sent if self.last_byte is None else outcome_if_not_sent
            )
            self.last_byte = None
            self.connection.abort()
        elif self.user is not None:
            if self.pending_connection is not None:
                self.pending_connection.cancel()
                self.pending_connection = None
            self._end(outcome_if_not_sent)

    def _end(self, outcome: ExchangeOutcome, result: str = "", load: LoadReport | None = None) -> None:
        user, self.user = self.user, None
        if user is None:
            return
        self.deadlines.cancel(self.deadline)
        if self.connection is not None:
            self.deadline = self.deadlines.schedule(
                self.deadlines.now() + RESPONSE_END_TIMEOUT_NS, self._on_timeout
            )
        self.pool.loop.call_soon(user.on_ended, outcome, result, load)
