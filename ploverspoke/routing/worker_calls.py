"""Errands: one request to a worker each, a hand-off or a probe, from the call for a connection to its end."""

from collections.abc import Callable
from typing import Protocol

from ploverspoke.protocol.errors import HttpSyntaxError
from ploverspoke.protocol.workers import LoadReport, ResponseListener, ResponseReader
from ploverspoke.transport.connection_pool import ConnectionPool, PendingConnection
from ploverspoke.transport.connections import Connection
from ploverspoke.transport.outcomes import ExchangeOutcome
from ploverspoke.transport.units import MILLISECOND

LINGER = 500 * MILLISECOND  # for the rest of an answer whose outcome is known
# A worker that has dropped a connection, or wants no new one, shows it this soon after the first bytes.
LAST_BYTE_AFTER = 2 * MILLISECOND


class Sender(Protocol):
    """Who sent the errand."""

    def errand_written(self) -> None:
        """The last byte has gone out."""

    def errand_started(self) -> None: ...

    def errand_progressed(self, share_done: float) -> None: ...

    def errand_ended(self, end: ExchangeOutcome, result: str, load: LoadReport | None) -> None:
        """Said exactly once, and never from inside a call of the sender's."""


class WorkerCall:
    def __init__(
        self,
        pool: ConnectionPool,
        address: str,
        message: Callable[[int], bytes],  # given the time left for it
        answer: Callable[[ResponseListener], ResponseReader],
        time_out: int,
        sender: Sender,
        in_two: bool = False,
        fresh: bool = False,
        may_go: Callable[[], bool] | None = None,
    ) -> None:
        """In two: the last byte is written a moment later, so that a dropped connection has not run it.

        `may_go` is asked just before the first byte and again before the last, whenever that is: the
        connection may have come up late, and this process may have been stopped for long.
        """
        self.pool = pool
        self.deadlines = pool.deadlines
        self.message = message
        self.answer = answer(self)
        self.sender: Sender | None = sender
        self.connection: Connection | None = None
        self.opening: PendingConnection | None = None
        self.cause: ExchangeOutcome | None = None  # why we closed the connection
        self.reusable = False
        self.in_two = in_two
        self.may_go = may_go
        self.last_byte: bytes | None = None  # not written yet
        self.until = self.deadlines.now() + time_out
        self.late = self.deadlines.schedule(self.until, self._too_late)
        self.opening = pool.acquire(address, self, 0 if fresh else pool.safe_idle_time() if in_two else None)

    def cancel(self) -> None:
        """Stop waiting: the connection is closed, and what was not sent yet is not sent."""
        self._stop(ExchangeOutcome.CANCELLED, ExchangeOutcome.NOT_SENT)

    def withhold(self) -> None:
        """Do not send it if it has not been sent whole; else wait on for its end."""
        if self.connection is None or self.last_byte is not None:
            self._stop(ExchangeOutcome.NOT_SENT, ExchangeOutcome.NOT_SENT)

    # ---- The connection ----

    def on_connected(self, connection: Connection) -> None:
        self.opening = None
        if not self._may_still_go():
            self.pool.release(connection, unused=True)
            self._end(ExchangeOutcome.NOT_SENT)
            return
        self.connection = connection
        message = self.message(self.until - self.deadlines.now())
        if not self.in_two:
            self._write_to_the_end(connection, message)
            return
        self.last_byte = message[-1:]
        connection.write(message[:-1])
        self.deadlines.schedule(self.deadlines.now() + LAST_BYTE_AFTER, self._write_last)

    def _write_last(self) -> None:
        if self.last_byte is None or self.connection is None:
            return
        if self.connection.has_unread_data():
            # The other side's end, or an answer to what it does not have yet: that is heard first.
            self.deadlines.schedule(self.deadlines.now(), self._write_last)
            return
        if not self._may_still_go():
            self._stop(ExchangeOutcome.NOT_SENT, ExchangeOutcome.NOT_SENT)
            return
        last, self.last_byte = self.last_byte, None
        self._write_to_the_end(self.connection, last)

    def _write_to_the_end(self, connection: Connection, data: bytes) -> None:
        connection.write(data)
        if connection.is_open and not connection.has_unsent_data and self.sender is not None:
            self.sender.errand_written()

    def _may_still_go(self) -> bool:
        """A process that was stopped wakes up with its deadlines past, and with much else changed."""
        return self.deadlines.now() < self.until and (self.may_go is None or self.may_go())

    def on_connect_failed(self, outcome: ExchangeOutcome) -> None:
        self.opening = None
        self._end(outcome)

    def on_data_available(self) -> None:
        if self.connection is None:
            return
        if self.last_byte is not None and self.connection.idle_time is not None:
            # It has no whole request of ours: this answers the one before, once more and late.
            self._stop(ExchangeOutcome.SEND_INCOMPLETE, ExchangeOutcome.SEND_INCOMPLETE)
            return
        try:
            self.connection.feed(self.answer)
        except HttpSyntaxError:
            self.cause = ExchangeOutcome.MALFORMED_RESPONSE
        if self.cause is not None:
            self.connection.abort()
        elif self.answer.is_complete:
            connection, self.connection = self.connection, None
            self.deadlines.cancel(self.late)
            if self.reusable and not connection.has_unsent_data:
                self.pool.release(connection)
            else:
                connection.user = None
                connection.close()

    def on_disconnected(self) -> None:
        if self.connection is None:
            return
        # Only what is certain to be still with us, in whole or in part, has certainly not run.
        unsent = self.last_byte is not None or (self.connection.has_unsent_data and not self.answer.status)
        if self.cause is None and not self.answer.status:
            self.pool.record_break(self.connection)
        self.connection = self.last_byte = None
        self._end(
            self.cause or (ExchangeOutcome.SEND_INCOMPLETE if unsent else ExchangeOutcome.CONNECTION_LOST)
        )

    def on_write_drained(self) -> None:
        if self.last_byte is None and self.cause is None and self.sender is not None:
            self.sender.errand_written()

    # ---- The answer ----

    def on_started(self) -> None:
        if self.sender is not None and self.cause is None:
            self.sender.errand_started()

    def on_progress(self, fraction_done: float) -> None:
        if self.sender is not None and self.cause is None:
            self.sender.errand_progressed(fraction_done)

    def on_outcome(self, outcome: ExchangeOutcome, result: str, load: LoadReport | None) -> None:
        if outcome is ExchangeOutcome.MALFORMED_RESPONSE or self.last_byte is not None:
            # Answered before it was whole: the rest is not written any more.
            self.cause, self.last_byte = outcome, None
        self._end(outcome, result, load)

    def on_response_complete(self, reusable: bool) -> None:
        self.reusable = reusable

    # ---- Its end ----

    def _too_late(self) -> None:
        # With little time left a connection that is not up yet says nothing of its worker.
        self._stop(ExchangeOutcome.TIMED_OUT, ExchangeOutcome.NOT_SENT)

    def _stop(self, sent: ExchangeOutcome, unsent: ExchangeOutcome) -> None:
        if self.connection is not None:
            # The end is told when the connection is closed: no second copy may be out beside an open one.
            self.cause = self.cause or (sent if self.last_byte is None else unsent)
            self.last_byte = None
            self.connection.abort()
        elif self.sender is not None:
            if self.opening is not None:
                self.opening.cancel()
                self.opening = None
            self._end(unsent)

    def _end(self, end: ExchangeOutcome, result: str = "", load: LoadReport | None = None) -> None:
        sender, self.sender = self.sender, None
        if sender is None:
            return
        self.deadlines.cancel(self.late)
        if self.connection is not None:
            self.late = self.deadlines.schedule(self.deadlines.now() + LINGER, self._too_late)
        self.pool.loop.call_soon(sender.errand_ended, end, result, load)
