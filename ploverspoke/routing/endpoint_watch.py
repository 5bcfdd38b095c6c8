"""A long-polling watch on one address of discovery: one request at a time, until a request fails."""

from ploverspoke.protocol import discovery
from ploverspoke.protocol.discovery import EndpointList
from ploverspoke.protocol.errors import HttpSyntaxError, WatchRejectedError
from ploverspoke.transport.connection_pool import ConnectionPool, PendingConnection
from ploverspoke.transport.connections import Connection
from ploverspoke.transport.deadlines import Deadline, Deadlines
from ploverspoke.transport.memory_account import MemoryHolding, MemoryKind
from ploverspoke.transport.outcomes import ExchangeOutcome
from ploverspoke.transport.units import MILLISECOND, SECOND

from .watch_journal import CallOutcome, CallReason, WatchJournal
from .watch_listener import WatchListener
from .watch_pace import WatchPace

MAX_CONNECTIONS = 2  # the next request may connect before the previous connection has closed completely
CONNECT_TIMEOUT_NS = 2 * SECOND
# Time to connect and to receive the response, in addition to the wait that discovery is allowed. Under
# overload discovery handles calls one by one and rejects those that have waited for over 2 s. The timeout
# doubles after a call without a response.
RESPONSE_TIMEOUT_NS = 2250 * MILLISECOND
MAX_RESPONSE_TIMEOUT_NS = 2 * RESPONSE_TIMEOUT_NS
WAIT_TOLERANCE_NS = 20 * MILLISECOND  # discovery may end a wait this much early
MIN_IMMEDIATE_RETRY_INTERVAL_NS = SECOND  # for restarts of a broken watch that skip the backoff


class WatchRequest:
    """One watch request, from acquiring a connection to its end.

    Its events are ignored once the watch has replaced it by another request.
    """

    def __init__(self, watch: "EndpointWatch", reason: CallReason) -> None:
        """Request the changes after the version that the watch has."""
        self.watch = watch
        self.version = watch.version
        self.call = watch.journal.begin_call(reason, watch.address, watch.version)
        self.connection: Connection | None = None
        self.pending_connection: PendingConnection | None = None
        self.deadline: Deadline | None = None
        self.sent_at = 0
        self.max_wait = watch.next_max_wait(reason)  # ns that discovery may wait for a change
        self.received: EndpointList | None = None
        self.reader = discovery.EndpointListReader(self._on_complete)
        self.body: bytes | None = None  # of the complete response
        self.response_held = MemoryHolding(watch.pool.monitor.memory, MemoryKind.RESPONSES)
        self.is_released = False  # the request has ended
        self.is_reusable = False  # whether the connection can carry another request
        self.is_timeout_extended = False  # at most once, to read data that has already arrived

    def acquire_connection(self) -> None:
        """Acquire a connection, unless the watch has replaced this request."""
        if self.watch.request is self:
            # One deadline for connection and response: separate ones would not bound their sum.
            self._set_deadline(self.watch.response_timeout(self.max_wait))
            self.pending_connection = self.watch.pool.acquire(self.watch.address, self)

    def release(self) -> Connection | None:
        """End the request and return its connection, if it has one; the caller then owns the connection."""
        self.watch.deadlines.cancel(self.deadline)
        self.response_held.set(0)
        if not self.is_released:
            self.is_released = True
            self.body = None
            self.reader.close()
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
        call_outcome = CallOutcome.REFUSED if is_refused else CallOutcome.NOT_CONNECTED
        self.watch.on_failed(self, outcome=call_outcome, detail=outcome.name.lower())

    def on_data_available(self) -> None:
        """Read the response; a complete list is applied even if invalid data follows it."""
        if self.connection is None:
            return
        outcome, detail = CallOutcome.ANSWERED, ""
        try:
            self.connection.feed(self.reader)
        except WatchRejectedError as error:
            outcome, detail = CallOutcome.REJECTED, error.reason
        except HttpSyntaxError as error:
            outcome, detail = CallOutcome.INVALID, error.reason
        self.response_held.set(self.reader.held_bytes())
        problem = "" if self.body is None else self.watch.apply_list(self)
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
        """Do nothing: a request is written in one call."""

    def confirmed_at(self) -> int:
        """Return the time (monotonic ns) as of which the response confirms the list.

        A response without a change was written when the wait was over. Any other response may have been
        written at any time since the request and read late, as this process may have been suspended.
        """
        elapsed, received = self.watch.deadlines.now() - self.sent_at, self.received
        has_no_change = received is not None and not received.entries and received.version == self.version
        if has_no_change and elapsed >= self.max_wait - WAIT_TOLERANCE_NS:
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
        if has_unread_data and not self.is_timeout_extended:
            # This process may have been suspended: data that arrived in time is read first.
            self.is_timeout_extended = True
            self._set_deadline(MILLISECOND)
        else:
            self.watch.on_timed_out(self)


class EndpointWatch:
    """Keeps one watch request open at discovery and reports lists and failures to a listener."""

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

        With `is_pushed` changes come from an agent on this machine that has no other callers. They are
        binding whether or not a watch is open, so a watch that breaks is restarted without the backoff that
        spreads the requests of dispatchers.
        """
        self.deadlines = deadlines
        self.address = address
        self.listener = listener
        self.journal = journal
        self.pace = pace
        self.is_pushed = is_pushed
        self.last_immediate_retry_at = -MIN_IMMEDIATE_RETRY_INTERVAL_NS  # monotonic ns
        self.version: int | None = None  # of the last list; None: the whole list is needed
        self.pool = ConnectionPool(
            deadlines.loop, deadlines, MAX_CONNECTIONS, CONNECT_TIMEOUT_NS, CONNECT_TIMEOUT_NS
        )
        self.consecutive_timeouts = 0  # of calls that requested an immediate response
        self.request: WatchRequest | None = None  # None: the watch is not running
        self.is_stopped = False

    def start(self, reason: CallReason = CallReason.DUE) -> None:
        """Start the watch unless it is already running."""
        if self.request is None and not self.is_stopped:
            self.request = WatchRequest(self, reason)
            # Deferred: the decision logic may be the caller and must not receive events during its own call.
            self.deadlines.loop.call_soon(self.request.acquire_connection)

    def stop(self) -> None:
        """End the watch permanently, since another watch replaces it; it reports nothing more."""
        self.is_stopped = True
        request, self.request = self.request, None
        if request is not None:
            request.abort()
            self.journal.end_call(request.call, CallOutcome.ABANDONED)

    # ---- Called by each request at most once ----

    def next_max_wait(self, reason: CallReason) -> int:
        """Return how long (ns) the next request lets discovery wait for a change."""
        if self.version is None:
            return 0  # discovery sends the whole list at once
        time_left = self.listener.list_time_left()
        return self.pace.next_wait(time_left, is_continued=reason is CallReason.ANSWERED)

    def response_timeout(self, max_wait: int) -> int:
        """Return the timeout (ns) of a request that lets discovery wait for `max_wait` ns."""
        if max_wait:
            return max_wait + self.pace.lateness_limit()
        if self.is_pushed:
            return RESPONSE_TIMEOUT_NS  # the agent has no other callers that could overload it
        return min(RESPONSE_TIMEOUT_NS << self.consecutive_timeouts, MAX_RESPONSE_TIMEOUT_NS)

    def apply_list(self, request: WatchRequest) -> str:
        """Pass the list in a response to the listener; returns an error message, "" on success."""
        body, requested_version = request.body or b"", request.version
        try:
            request.received = received = self.listener.receive_list(body)
        except Exception as error:  # an error in applying a list must not stop the watch
            return f"{type(error).__name__}: {error}"
        if requested_version is None and not received.is_complete:
            return "a part of the list, where all of it was requested"
        # A lower version comes from a restarted discovery, which would omit the changes up to the version
        # that was requested.
        has_restarted = requested_version is not None and received.version < requested_version
        self.version = None if has_restarted and not received.is_complete else received.version
        return ""

    def on_answered(self, request: WatchRequest) -> None:
        """Send the next request at once, over the same connection if possible."""
        if self.request is not request:
            return  # the watch was stopped while the list was applied
        connection = request.release()
        self.consecutive_timeouts = 0
        self.journal.end_call(request.call, CallOutcome.ANSWERED)
        self.pace.record(request.max_wait, self.deadlines.now() - request.sent_at)
        if self.version is not None:  # None: the list is incomplete
            self.listener.list_confirmed(request.confirmed_at())
        self.request = WatchRequest(self, CallReason.ANSWERED)
        if connection is not None and request.is_reusable:
            self.request.on_connected(connection)
        else:
            if connection is not None:
                connection.abort()
            self.request.acquire_connection()

    def on_timed_out(self, request: WatchRequest) -> None:
        """Send the next request at once, without a backoff.

        The connection alone may be at fault, and the time until the timeout already served as a backoff.
        """
        request.abort()
        if self.request is request:
            if not request.max_wait:
                self.consecutive_timeouts += 1
                self.listener.call_timed_out(request.call.began_at)
            self.journal.end_call(request.call, CallOutcome.TIMED_OUT)
            self.request = WatchRequest(self, CallReason.TIMED_OUT)
            self.request.acquire_connection()

    def on_failed(self, request: WatchRequest, outcome: CallOutcome, detail: str = "") -> None:
        """End the watch and report the failure.

        A pushed watch that was not rejected is restarted instead, at most once within
        `MIN_IMMEDIATE_RETRY_INTERVAL_NS`.
        """
        request.abort()
        if self.request is not request:
            return
        self.request = None
        self.journal.end_call(request.call, outcome, detail)
        now = self.deadlines.now()
        may_retry = now - self.last_immediate_retry_at >= MIN_IMMEDIATE_RETRY_INTERVAL_NS
        if self.is_pushed and outcome is not CallOutcome.REJECTED and may_retry:
            self.last_immediate_retry_at = now
            self.start(CallReason.BROKEN_PUSH)
        else:
            self.listener.watch_failed(outcome)
