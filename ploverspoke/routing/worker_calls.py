"""Worker calls: one request to a worker each, from the wait for a connection to its one outcome."""

from typing import Protocol

from ploverspoke.protocol.errors import HttpSyntaxError
from ploverspoke.protocol.workers import LoadReport, ResponseListener, ResponseReader
from ploverspoke.transport.connection_pool import ConnectionPool, PendingConnection
from ploverspoke.transport.connections import Connection
from ploverspoke.transport.outcomes import ExchangeOutcome
from ploverspoke.transport.units import MILLISECOND

RESPONSE_END_TIMEOUT = 500 * MILLISECOND  # for the rest of a response whose outcome is known
# A worker that has dropped a connection, or wants no new one, shows it this soon after the first bytes.
LAST_BYTE_DELAY = 2 * MILLISECOND


class WorkerCallUser(Protocol):
    """The user of a worker call: gives the request to send, and is notified of progress and outcome."""

    def encode_request(self, time_left: int) -> bytes:
        """The bytes to send, where `time_left` ns remain for the call."""

    def make_reader(self, listener: ResponseListener) -> ResponseReader:
        """A reader for the response, which reports to `listener`."""

    def may_send(self) -> bool:
        """Whether the call may still be written.

        Called just before the first byte and again before the last: the connection may have come up late,
        and this process may have been suspended.
        """

    def on_written(self) -> None:
        """The last byte was accepted by the kernel."""

    def on_started(self) -> None:
        """The worker has begun the request."""

    def on_progress(self, fraction_done: float) -> None:
        """The worker has done that part of the request, 0 to 1."""

    def on_ended(self, outcome: ExchangeOutcome, result: str, load: LoadReport | None) -> None:
        """The call has ended; called exactly once, and never from inside a call of the user's."""


class WorkerCall:
    """Owner of the connection to a worker while one request is exchanged on it."""

    def __init__(
        self,
        pool: ConnectionPool,
        address: str,
        timeout: int,
        user: WorkerCallUser,
        delay_last_byte: bool = False,
        use_new_connection: bool = False,
    ) -> None:
        """Begin the call, which may take `timeout` ns.

        With `delay_last_byte` the last byte is written `LAST_BYTE_DELAY` after the others: a worker begins
        a request when it has all of it, so a connection that breaks before has certainly not run it.
        """
        self.pool = pool
        self.deadlines = pool.deadlines
        self.user: WorkerCallUser | None = user  # None: it was notified of the end
        self.reader = user.make_reader(self)
        self.connection: Connection | None = None
        self.pending_connection: PendingConnection | None = None
        self.abort_outcome: ExchangeOutcome | None = None  # why this side closed the connection
        self.is_reusable = False  # the connection, after the response
        self.delay_last_byte = delay_last_byte
        self.last_byte: bytes | None = None  # not written yet
        self.ends_at = self.deadlines.now() + timeout
        self.deadline = self.deadlines.schedule(self.ends_at, self._on_timeout)
        max_idle_time = pool.safe_idle_time() if delay_last_byte else None
        self.pending_connection = pool.acquire(address, self, 0 if use_new_connection else max_idle_time)

    def cancel(self) -> None:
        """Stop waiting: the connection is closed, and what was not sent yet is not sent."""
        self._stop(ExchangeOutcome.CANCELLED, ExchangeOutcome.NOT_SENT)

    def withhold(self) -> None:
        """Do not send the request if it is not sent completely; else wait on for its outcome."""
        if self.connection is None or self.last_byte is not None:
            self._stop(ExchangeOutcome.NOT_SENT, ExchangeOutcome.NOT_SENT)

    # ---- Events of the connection ----

    def on_connected(self, connection: Connection) -> None:
        """Write the request, unless it may not be sent any more."""
        self.pending_connection = None
        user = self.user
        if user is None or not self._may_still_send(user):
            self.pool.release(connection, unused=True)
            self._end(ExchangeOutcome.NOT_SENT)
            return
        self.connection = connection
        message = user.encode_request(self.ends_at - self.deadlines.now())
        if not self.delay_last_byte:
            self._write_to_end(connection, message)
            return
        self.last_byte = message[-1:]
        connection.write(message[:-1])
        self.deadlines.schedule(self.deadlines.now() + LAST_BYTE_DELAY, self._write_last_byte)

    def on_connect_failed(self, outcome: ExchangeOutcome) -> None:
        """End the call."""
        self.pending_connection = None
        self._end(outcome)

    def on_data_available(self) -> None:
        """Read the response; after its last byte the connection is released or closed."""
        if self.connection is None:
            return
        if self.last_byte is not None and self.connection.idle_time is not None:
            # The worker has not received the whole request: this is a second response to the previous one.
            self._stop(ExchangeOutcome.SEND_INCOMPLETE, ExchangeOutcome.SEND_INCOMPLETE)
            return
        try:
            self.connection.feed(self.reader)
        except HttpSyntaxError:
            self.abort_outcome = ExchangeOutcome.MALFORMED_RESPONSE
        if self.abort_outcome is not None:
            self.connection.abort()
        elif self.reader.is_complete:
            connection, self.connection = self.connection, None
            self.deadlines.cancel(self.deadline)
            if self.is_reusable and not connection.has_unsent_data:
                self.pool.release(connection)
            else:
                connection.user = None
                connection.close()

    def on_disconnected(self) -> None:
        """End the call."""
        if self.connection is None:
            return
        has_status = bool(self.reader.status)
        # Only a request of which a part is certainly still in this process has certainly not run.
        is_incomplete = self.last_byte is not None or (self.connection.has_unsent_data and not has_status)
        if self.abort_outcome is None and not has_status:
            self.pool.record_break(self.connection)
        self.connection = self.last_byte = None
        outcome = ExchangeOutcome.SEND_INCOMPLETE if is_incomplete else ExchangeOutcome.CONNECTION_LOST
        self._end(self.abort_outcome or outcome)

    def on_write_drained(self) -> None:
        """Report that the request is written, if it is complete."""
        if self.last_byte is None and self.abort_outcome is None and self.user is not None:
            self.user.on_written()

    def _write_last_byte(self) -> None:
        if self.last_byte is None or self.connection is None:
            return
        if self.connection.has_unread_data():
            # The worker's end, or a response to what it has not got completely: that is read first.
            self.deadlines.schedule(self.deadlines.now(), self._write_last_byte)
            return
        if self.user is None or not self._may_still_send(self.user):
            self._stop(ExchangeOutcome.NOT_SENT, ExchangeOutcome.NOT_SENT)
            return
        last_byte, self.last_byte = self.last_byte, None
        self._write_to_end(self.connection, last_byte)

    def _write_to_end(self, connection: Connection, data: bytes) -> None:
        connection.write(data)
        if connection.is_open and not connection.has_unsent_data and self.user is not None:
            self.user.on_written()

    def _may_still_send(self, user: WorkerCallUser) -> bool:
        """A process that was suspended resumes with its deadlines past and its state outdated."""
        return self.deadlines.now() < self.ends_at and user.may_send()

    # ---- Events of the response ----

    def on_started(self) -> None:
        """Pass on that the worker has begun the request."""
        if self.user is not None and self.abort_outcome is None:
            self.user.on_started()

    def on_progress(self, fraction_done: float) -> None:
        """Pass on the worker's progress."""
        if self.user is not None and self.abort_outcome is None:
            self.user.on_progress(fraction_done)

    def on_outcome(self, outcome: ExchangeOutcome, result: str, load: LoadReport | None) -> None:
        """End the call; what is left of the response is still read."""
        if outcome is ExchangeOutcome.MALFORMED_RESPONSE or self.last_byte is not None:
            # A response before the request was complete: the rest of that is not written any more.
            self.abort_outcome, self.last_byte = outcome, None
        self._end(outcome, result, load)

    def on_response_complete(self, reusable: bool) -> None:
        """Note whether the connection can carry another request."""
        self.is_reusable = reusable

    # ---- The end of the call ----

    def _on_timeout(self) -> None:
        # With little time left a connection that is not up yet says nothing of its worker.
        self._stop(ExchangeOutcome.TIMED_OUT, ExchangeOutcome.NOT_SENT)

    def _stop(self, if_sent: ExchangeOutcome, if_not_sent: ExchangeOutcome) -> None:
        if self.connection is not None:
            # The end is reported when the connection is closed: until then no second copy may be sent.
            self.abort_outcome = self.abort_outcome or (if_sent if self.last_byte is None else if_not_sent)
            self.last_byte = None
            self.connection.abort()
        elif self.user is not None:
            if self.pending_connection is not None:
                self.pending_connection.cancel()
                self.pending_connection = None
            self._end(if_not_sent)

    def _end(self, outcome: ExchangeOutcome, result: str = "", load: LoadReport | None = None) -> None:
        user, self.user = self.user, None
        if user is None:
            return
        self.deadlines.cancel(self.deadline)
        if self.connection is not None:
            self.deadline = self.deadlines.schedule(
                self.deadlines.now() + RESPONSE_END_TIMEOUT, self._on_timeout
            )
        self.pool.loop.call_soon(user.on_ended, outcome, result, load)
