"""The watch on one address of discovery by long polling: one request after the other, until one fails."""

from typing import Protocol

from ploverspoke.protocol import discovery
from ploverspoke.protocol.discovery import EndpointList
from ploverspoke.protocol.errors import HttpSyntaxError, WatchRejectedError
from ploverspoke.transport.connection_pool import ConnectionPool, PendingConnection
from ploverspoke.transport.connections import Connection
from ploverspoke.transport.deadlines import Deadline, Deadlines
from ploverspoke.transport.outcomes import ExchangeOutcome
from ploverspoke.transport.units import MILLISECOND, SECOND

from .watch_journal import CallOutcome, CallReason, WatchJournal
from .watch_pace import WatchPace

MAX_CONNECTIONS = 2  # the next request may need one before the last one's is closed completely
CONNECT_TIMEOUT = 2 * SECOND
# For connection and response, beyond the wait that discovery is allowed. Under overload discovery handles
# calls one by one and rejects those that have waited for over 2 s. After a call without a response the
# timeout doubles.
RESPONSE_TIMEOUT = 2250 * MILLISECOND
MAX_RESPONSE_TIMEOUT = 2 * RESPONSE_TIMEOUT
WAIT_TOLERANCE = 20 * MILLISECOND  # by which a wait may end early
MIN_IMMEDIATE_RETRY_INTERVAL = SECOND  # between restarts of a broken watch without a backoff


class WatchListener(Protocol):
    """Receives the lists and the failures of a watch."""

    def receive_list(self, body: bytes) -> EndpointList:
        """Take the body of a list. Raises EndpointListError."""

    def list_confirmed(self, as_of: int) -> None:
        """Everything that discovery had at that time (monotonic ns) has been received."""

    def list_time_left(self) -> int | None:
        """Time in ns until the list expires, less than 0 after that; None: it does not."""

    def call_was_silent(self, as_of: int) -> None:
        """A call that began at that time and requested an immediate response was not answered in time."""

    def watch_failed(self, outcome: CallOutcome) -> None:
        """The watch has ended."""


class WatchRequest:
    """One request, from its connection to its end; it is ignored once the watch has another one."""

    def __init__(self, watch: "EndpointWatch", reason: CallReason) -> None:
        """Request the changes after the version that the watch has."""
        self.watch = watch
        self.version = watch.version
        self.call = watch.journal.begin(reason, watch.address, watch.version)
        self.connection: Connection | None = None
        self.pending_connection: PendingConnection | None = None
        self.deadline: Deadline | None = None
        self.sent_at = 0
        self.max_wait = watch.wait_for(reason)  # that discovery is allowed
        self.received: EndpointList | None = None
        self.reader = discovery.EndpointListReader(self._on_complete)
        self.body: bytes | None = None  # of the response, when that is complete
        self.is_reusable = False  # the connection, after the response
        self.was_read_at_timeout = False  # bytes that were unread at the timeout

    def begin(self) -> None:
        """Get a connection, unless the watch has another request by now."""
        if self.watch.request is self:
            # One deadline for connection and response: a bound on each would not bound their sum.
            self._set_deadline(self.watch.response_timeout(self.max_wait))
            self.pending_connection = self.watch.pool.acquire(self.watch.address, self)

    def release(self) -> Connection | None:
        """End the request; returns its connection, if it has one, which is the caller's now."""
        self.watch.deadlines.cancel(self.deadline)
        if self.pending_connection is not None:
            self.pending_connection.cancel()
            self.pending_connection = None
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.user = None
        return connection

    def abort(self) -> None:
        """End the request and close its connection."""
        connection = self.release()
        if connection is not None:
            connection.abort()

    # ---- Events of the connection ----

    def on_connected(self, connection: Connection) -> None:
        """Send the request."""
        watch = self.watch
        self.pending_connection = None
        self.connection = connection
        connection.user = self
        self.sent_at = watch.deadlines.now()
        if self.deadline is None:
            self._set_deadline(watch.response_timeout(self.max_wait))
        connection.write(discovery.encode_watch_request(self.version, self.max_wait, watch.address))

    def on_connect_failed(self, outcome: ExchangeOutcome) -> None:
        """End the watch with a failure."""
        self.pending_connection = None
        is_refused = outcome is ExchangeOutcome.CONNECTION_REFUSED
        ended = CallOutcome.REFUSED if is_refused else CallOutcome.NOT_CONNECTED
        self.watch.on_failed(self, outcome=ended, detail=outcome.name.lower())

    def on_data_available(self) -> None:
        """Read the response; a complete list is taken, whatever follows it."""
        if self.connection is None:
            return
        outcome, detail = CallOutcome.ANSWERED, ""
        try:
            self.connection.feed(self.reader)
        except WatchRejectedError as error:
            outcome, detail = CallOutcome.REJECTED, error.reason
        except HttpSyntaxError as error:
            outcome, detail = CallOutcome.INVALID, error.reason
        problem = "" if self.body is None else self.watch.take_list(self)
        if problem and outcome is CallOutcome.ANSWERED:
            outcome, detail = CallOutcome.INVALID, problem
        if outcome is not CallOutcome.ANSWERED:
            self.watch.on_failed(self, outcome=outcome, detail=detail)
        elif self.body is not None:
            self.watch.on_answered(self)

    def on_disconnected(self) -> None:
        """End the watch with a failure."""
        self.connection = None
        self.watch.on_failed(self, outcome=CallOutcome.BROKEN)

    def on_write_drained(self) -> None:
        """Do nothing: a request is written at once."""

    def confirmed_at(self) -> int:
        """The time (monotonic ns) as of which the response is complete, which renews the list.

        A response without a change was written when the wait was over. Any other may have been written at
        any time since the request, and read late, as this process may have been suspended.
        """
        elapsed, received = self.watch.deadlines.now() - self.sent_at, self.received
        has_no_change = received is not None and not received.entries and received.version == self.version
        if has_no_change and elapsed >= self.max_wait - WAIT_TOLERANCE:
            return self.sent_at + min(elapsed, self.max_wait)
        return self.sent_at

    def _set_deadline(self, timeout: int) -> None:
        deadlines = self.watch.deadlines
        self.deadline = deadlines.schedule(deadlines.now() + timeout, self._on_timeout)

    def _on_complete(self, body: bytes, reusable: bool) -> None:
        if self.body is not None:
            self.reader.fail(HttpSyntaxError("more than one answer"))
        self.body, self.is_reusable = body, reusable

    def _on_timeout(self) -> None:
        has_unread_data = self.connection is not None and self.connection.has_unread_data()
        if has_unread_data and not self.was_read_at_timeout:
            # This process may have been suspended: what arrived in time is read first.
            self.was_read_at_timeout = True
            self._set_deadline(MILLISECOND)
        else:
            self.watch.on_silent(self)


class EndpointWatch:
    """Keeps one watch request open at discovery, and reports lists and failures."""

    def __init__(
        self,
        deadlines: Deadlines,
        address: str,
        listener: WatchListener,
        journal: WatchJournal,
        pace: WatchPace,
        is_pushed: bool = False,
    ) -> None:
        """`pace` sets how long discovery may wait for a change.

        With `is_pushed` an agent on this machine without other callers delivers changes, which are binding
        whether or not a watch is open: a watch that breaks is restarted without the backoff that spreads
        the requests of dispatchers.
        """
        self.deadlines = deadlines
        self.address = address
        self.listener = listener
        self.journal = journal
        self.pace = pace
        self.is_pushed = is_pushed
        self.immediate_retry_at = -MIN_IMMEDIATE_RETRY_INTERVAL  # when the last one was
        self.version: int | None = None  # of the latest list; None: the whole list is needed
        self.pool = ConnectionPool(
            deadlines.loop, deadlines, MAX_CONNECTIONS, CONNECT_TIMEOUT, CONNECT_TIMEOUT
        )
        self.consecutive_timeouts = 0  # of calls that requested an immediate response
        self.request: WatchRequest | None = None  # None: the watch is not running
        self.is_stopped = False

    def start(self, reason: CallReason = CallReason.DUE) -> None:
        """Begin to watch, unless the watch is running."""
        if self.request is None and not self.is_stopped:
            self.request = WatchRequest(self, reason)
            self.deadlines.loop.call_soon(self.request.begin)  # never from inside the call of the decisions

    def stop(self) -> None:
        """End the watch permanently: another one replaces it, and nothing more is reported here."""
        self.is_stopped = True
        request, self.request = self.request, None
        if request is not None:
            request.abort()
            self.journal.end(request.call, CallOutcome.ABANDONED)

    # ---- Called by requests, by each of them at most once ----

    def wait_for(self, reason: CallReason) -> int:
        """How long (ns) the next request lets discovery wait for a change."""
        if self.version is None:
            return 0  # the whole list is sent at once
        time_left = self.listener.list_time_left()
        return self.pace.wait(time_left, is_continued=reason is CallReason.ANSWERED)

    def response_timeout(self, max_wait: int) -> int:
        """The timeout (ns) of a request that lets discovery wait for `max_wait` ns."""
        if max_wait:
            return max_wait + self.pace.lateness_limit()
        if self.is_pushed:
            return RESPONSE_TIMEOUT  # the agent has no other callers
        return min(RESPONSE_TIMEOUT << self.consecutive_timeouts, MAX_RESPONSE_TIMEOUT)

    def take_list(self, request: WatchRequest) -> str:
        """Report the list of a response; returns why it could not be taken, "" where it was."""
        body, requested_version = request.body or b"", request.version
        try:
            request.received = received = self.listener.receive_list(body)
        except Exception as error:  # any fault in taking a list: the watch must go on
            return f"{type(error).__name__}: {error}"
        if requested_version is None and not received.is_complete:
            return "a part of the list, where all of it was requested"
        # Lower versions are those of a restarted discovery, which would omit the changes up to the version
        # that is known here.
        went_back = requested_version is not None and received.version < requested_version
        self.version = None if went_back and not received.is_complete else received.version
        return ""

    def on_answered(self, request: WatchRequest) -> None:
        """Send the next request at once, over the same connection if possible."""
        if self.request is not request:
            return  # taking the list has ended the watch
        connection = request.release()
        self.consecutive_timeouts = 0
        self.journal.end(request.call, CallOutcome.ANSWERED)
        self.pace.record(request.max_wait, self.deadlines.now() - request.sent_at)
        if self.version is not None:  # else the list is known to be incomplete
            self.listener.list_confirmed(request.confirmed_at())
        self.request = WatchRequest(self, CallReason.ANSWERED)
        if connection is not None and request.is_reusable:
            self.request.on_connected(connection)
        else:
            if connection is not None:
                connection.abort()
            self.request.begin()

    def on_silent(self, request: WatchRequest) -> None:
        """Send the next request at once: the connection alone may be at fault, and the wait was a backoff."""
        request.abort()
        if self.request is request:
            if not request.max_wait:
                self.consecutive_timeouts += 1
                self.listener.call_was_silent(request.call.began_at)
            self.journal.end(request.call, CallOutcome.TIMED_OUT)
            self.request = WatchRequest(self, CallReason.TIMED_OUT)
            self.request.begin()

    def on_failed(self, request: WatchRequest, outcome: CallOutcome, detail: str = "") -> None:
        """End the watch and report the failure; a pushed one is first restarted once."""
        request.abort()
        if self.request is not request:
            return
        self.request = None
        self.journal.end(request.call, outcome, detail)
        now = self.deadlines.now()
        may_retry = now - self.immediate_retry_at >= MIN_IMMEDIATE_RETRY_INTERVAL
        if self.is_pushed and outcome is not CallOutcome.REJECTED and may_retry:
            self.immediate_retry_at = now
            self.start(CallReason.BROKEN_PUSH)
        else:
            self.listener.watch_failed(outcome)
