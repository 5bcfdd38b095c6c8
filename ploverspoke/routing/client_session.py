"""The connection of one client: reads its requests one after the other and responds to each."""

import traceback
from collections import deque

from ploverspoke.protocol import clients
from ploverspoke.protocol.clients import HttpRequest
from ploverspoke.protocol.errors import HttpSyntaxError, MessageTooLongError
from ploverspoke.protocol.message_costs import message_cost
from ploverspoke.transport.connections import Connection
from ploverspoke.transport.deadlines import Deadline
from ploverspoke.transport.memory_account import MemoryHolding, MemoryKind
from ploverspoke.transport.rate_limited_log import log_line
from ploverspoke.transport.units import MILLISECOND, SECOND

from .answers import FinalAnswer
from .client_session_owner import ClientSessionOwner
from .close_reasons import CloseReason, reason_after_response
from .request_admission import NotAdmitted
from .request_journal import CapacityLimit
from .requests import Request
from .responses import OWN_TARGET_PREFIX, UNSUCCESSFUL_RESPONSES, redirect_response, status_response

REQUEST_TIMEOUT_NS = 2500 * MILLISECOND  # to receive a whole request; the first is timed from the connect
RESPONSE_TIMEOUT_NS = 10 * SECOND  # for the client to read a response
CLOSE_TIMEOUT_NS = SECOND  # for the client to read the last response
# Data sent ahead of the response (pipelining) is read, because a disconnect is only seen after that data.
UNCOUNTED_READ_AHEAD_BYTES = 64 * 1024  # do not count as buffered
MAX_READ_AHEAD_BYTES = 256 * 1024  # kept; a client that sends more is disconnected after its response
MAX_DROPPED_BYTES = 8 * 1024 * 1024  # read and dropped beyond that; then reading is paused


class ClientSession:
    """Owner of one client's connection; implements `Client` and `RequestListener`."""

    def __init__(self, server: "ClientSessionOwner[ClientSession]", connection: Connection) -> None:
        """Start reading; the server is notified when the connection has ended."""
        self.server = server
        self.connection = connection
        self.reader = clients.RequestReader(self)
        self.queue: deque[HttpRequest] = deque()  # read but not handled yet
        self.request: Request | None = None  # admitted but not answered yet
        self.is_answering = False  # a request is being handled
        self.keep_alive = True
        self.is_closing = False
        self.close_reason = CloseReason.CLIENT_LEFT  # unless this side closes it first
        self.failure: HttpSyntaxError | None = None  # from the reader; sent after all earlier responses
        self.dropped_bytes = 0  # received beyond the read-ahead limit
        self.buffered_bytes = 0  # of requests that are read but not admitted yet
        self.messages_held = MemoryHolding(connection.monitor.memory, MemoryKind.MESSAGES)
        self.was_served = False  # a request of this session was admitted
        self.is_excess = False  # beyond the limit on sessions: its request is rejected
        self.idle_since = server.deadlines.now()
        self.deadline: Deadline | None = None  # for the client to send a request or read its response
        connection.user = self
        self._update_deadline()

    def is_idle(self) -> bool:
        """Whether the client has received all its responses and has sent nothing since."""
        is_busy = self.is_answering or self.queue or self.is_closing or self.reader.in_message
        return not is_busy and not len(self.connection.buffer) and not self.connection.has_unsent_data

    def close_if_idle(self) -> None:
        """Close the connection if it is between two requests; one still in the kernel is answered first."""
        if self.is_idle() and not self.connection.has_unread_data():
            self.close_when_sent(CloseReason.SHUTDOWN)

    def close_when_sent(self, reason: CloseReason) -> None:
        """Close the connection once all written bytes are sent."""
        self.close_reason = reason
        self.is_closing = True
        self.connection.close()

    # ---- Events of the connection ----

    def on_data_available(self) -> None:
        """Read requests, or buffer data that is sent ahead of the response."""
        if self.is_closing:
            buffer = self.connection.buffer
            buffer.consume(len(buffer))
        elif self.is_answering or self.connection.has_unsent_data:
            self._buffer_read_ahead()
        else:
            self._continue_reading()

    def on_disconnected(self) -> None:
        """End the session, and the request that the client is waiting for."""
        self.server.remove_session(self)
        self.server.buffered_bytes -= self.buffered_bytes
        self.buffered_bytes = 0
        self.messages_held.set(0)
        self.server.deadlines.cancel(self.deadline)
        self.is_closing = True
        self.queue.clear()
        request, self.request = self.request, None
        self.server.router.request_journal.client_closed(self.close_reason, request)
        if request is not None:
            self.server.router.completion.on_client_disconnected(request, self)

    def on_write_drained(self) -> None:
        """Continue reading, as the response has been sent."""
        if not self.is_answering and not self.is_closing:
            self._continue_reading()

    def _buffer_read_ahead(self) -> None:
        self._update_buffered_bytes()
        buffer = self.connection.buffer
        read_ahead = len(buffer)
        limit = UNCOUNTED_READ_AHEAD_BYTES if self.server.is_full() else MAX_READ_AHEAD_BYTES
        if self.dropped_bytes or read_ahead > limit:
            buffer.consume(read_ahead)
            self.dropped_bytes += read_ahead
            self._update_buffered_bytes()
            if self.dropped_bytes > MAX_DROPPED_BYTES:
                self.connection.set_reading_paused(True)

    # ---- Requests ----

    def on_request_head(self, method: str, target: str, headers: dict[str, str]) -> None:
        """Check a request before its body is read. Raises HttpSyntaxError."""
        if not target.startswith(OWN_TARGET_PREFIX):
            self.server.router.admission.check_head(method, target, headers)

    def on_request(self, request: HttpRequest) -> None:
        """Queue a complete request."""
        self.queue.append(request)

    def on_continue_expected(self) -> None:
        """Ask for the body, unless a response must be sent first."""
        if not self.is_answering and not self.queue:
            self.connection.write(clients.CONTINUE_RESPONSE)

    def _continue_reading(self) -> None:
        """Read and handle requests until one is waiting for its response or no data is left."""
        self.connection.set_reading_paused(False)
        while not self.is_answering and not self.is_closing and not self.connection.has_unsent_data:
            if self.dropped_bytes:
                self._close(CloseReason.SENT_TOO_MUCH)  # the data after that response was dropped
            elif self.queue:
                self.is_answering = True
                self._handle(self.queue.popleft())
            elif self.failure is not None:
                self._refuse(self.failure)
            elif len(self.connection.buffer):
                self._parse_buffer()
            else:
                break
        self._update_deadline()

    def _parse_buffer(self) -> None:
        try:
            self.connection.feed(self.reader)
        except HttpSyntaxError as error:
            self.failure = error  # requests before the invalid one are answered first
        self._update_buffered_bytes()
        if self.server.is_full():
            self._reject_all()

    def _reject_all(self) -> None:
        """Reject the requests that were read, and close: they exceed the memory limit."""
        admission = self.server.router.admission
        for message in self.queue:
            admission.count_rejected(message.target, CapacityLimit.MEMORY)
        if self.reader.in_message and not self.reader.in_head:
            admission.count_rejected(self.reader.target.decode("latin-1"), CapacityLimit.MEMORY)
        self.queue.clear()
        self.keep_alive = False
        self.answer(FinalAnswer.REJECTED)

    def _update_buffered_bytes(self) -> None:
        buffered = len(self.reader.body) if self.reader.in_message else 0
        buffered += sum(len(message.body) for message in self.queue)
        buffered += max(0, len(self.connection.buffer) - UNCOUNTED_READ_AHEAD_BYTES)
        self.server.buffered_bytes += buffered - self.buffered_bytes
        self.buffered_bytes = buffered
        queued = sum(message_cost(message.target, message.headers, message.body) for message in self.queue)
        self.messages_held.set(self.reader.held_bytes() + queued)

    def _handle(self, message: HttpRequest) -> None:
        self.keep_alive = message.keep_alive and not self.is_excess
        self._update_buffered_bytes()
        if message.target.startswith(OWN_TARGET_PREFIX):
            self._respond(*status_response(message, self.server.is_marked_not_ready))
            return
        leader = self.server.router.leader_redirect()
        if leader is not None:
            self._respond(*redirect_response(leader, message.target))
            return
        try:
            self._admit(message)
        except HttpSyntaxError as error:
            self._refuse(error)
        except Exception:  # any fault of the router: the client must still get a response
            log_line(f"a request could not be admitted: {traceback.format_exc()}")
            self._respond(500, b"a fault of ours")

    def _admit(self, message: HttpRequest) -> None:
        """Admit the request, or reject it for lack of capacity. Raises HttpSyntaxError."""
        admission = self.server.router.admission
        if self.is_excess:
            admission.count_rejected(message.target, CapacityLimit.CONNECTIONS)
            self.answer(FinalAnswer.REJECTED)
            return
        admitted = admission.admit(self, message)
        if admitted is NotAdmitted.NO_CAPACITY:
            self.answer(FinalAnswer.REJECTED)
            return
        # A client that only checks whether this process is ready does not count as served and may be evicted.
        self.was_served = True
        self.server.unserved.pop(self.connection.number, None)
        if self.is_answering and isinstance(admitted, Request):
            self.request = admitted

    # ---- Responses ----

    def answer(self, answer: FinalAnswer, result: str = "", retry_after: int = 0) -> None:
        """Write the final answer of the current request; `retry_after` (ns) is advice, 0 gives none."""
        if answer is FinalAnswer.SUCCEEDED:
            self._respond(200, result.encode("utf-8", "surrogatepass"))
        else:
            response = UNSUCCESSFUL_RESPONSES[answer]
            self._respond(response.status, response.body, retry_after)

    def _refuse(self, error: HttpSyntaxError) -> None:
        """Answer an invalid request."""
        self.server.router.request_journal.refused(error.status, error.reason)
        self._respond(error.status, str(error).encode())

    def has_disconnected(self) -> bool:
        """Whether the client has closed its connection; if so, this side closes it as well."""
        is_closed = self.connection.is_closed_by_peer()
        if is_closed:
            # While reading is paused, or before the loop runs again, the disconnect would be seen too late.
            self.connection.abort()
        return is_closed

    def disconnect(self) -> None:
        """Close the connection without an answer."""
        self.is_answering = False
        self.request = None
        self.close_when_sent(CloseReason.OTHER_LEADER)

    def _respond(self, status: int, body: bytes, retry_after: int = 0, location: str = "") -> None:
        self.is_answering = False
        self.request = None
        # After an invalid request the connection is closed, as the client might repeat it as fast as it can.
        is_client_error = 400 <= status < 500
        has_dropped = self.dropped_bytes > 0
        is_ending = self.server.is_accepting_stopped or self.server.is_handing_over
        keep_alive = self.keep_alive and not (is_client_error or has_dropped or is_ending)
        self.connection.write(clients.encode_response(status, body, keep_alive, retry_after, location))
        self.idle_since = self.server.deadlines.now()
        if not keep_alive:
            self._close(reason_after_response(status, has_dropped, is_ending, not self.is_excess))
        else:
            # Data that the client has sent in the meantime is read in another turn of the event loop.
            self.server.loop.call_soon(self._continue_reading_if_open)
        self._update_deadline()

    def _continue_reading_if_open(self) -> None:
        if not self.is_answering and not self.is_closing and self.connection.is_open:
            self._continue_reading()

    def _close(self, reason: CloseReason) -> None:
        """Close the connection so that the response arrives even if the client has sent unread data."""
        self.close_reason = reason
        self.is_closing = True
        self.queue.clear()
        buffer = self.connection.buffer
        buffer.consume(len(buffer))
        if isinstance(self.failure, MessageTooLongError):
            self.connection.set_reading_paused(True)  # the client may have much more to send
        self.connection.shut_down_writing()
        self.server.deadlines.cancel(self.deadline)
        abort_at = self.server.deadlines.now() + CLOSE_TIMEOUT_NS
        self.deadline = self.server.deadlines.schedule(abort_at, self.connection.abort)

    # ---- Slow clients ----

    def _update_deadline(self) -> None:
        """Set a deadline while the client has to send a whole request or to read its response."""
        if self.is_closing:
            return
        has_to_send = (self.reader.in_message or not self.was_served) and not self.is_answering
        if not has_to_send and not self.connection.has_unsent_data:
            self.server.deadlines.cancel(self.deadline)
            self.deadline = None
        elif self.deadline is None:
            # Set only once, so that a client that sends byte by byte does not extend it.
            timeout = REQUEST_TIMEOUT_NS if has_to_send else RESPONSE_TIMEOUT_NS
            now = self.server.deadlines.now()
            self.deadline = self.server.deadlines.schedule(now + timeout, self._on_timeout)

    def _on_timeout(self) -> None:
        if self.connection.has_unsent_data or not self.reader.in_message:
            is_response_unread = self.connection.has_unsent_data
            self.close_reason = (
                CloseReason.RESPONSE_NOT_READ if is_response_unread else CloseReason.NOTHING_SENT
            )
            self.connection.abort()
        elif not self.is_answering:
            self._respond(408, b"the request did not come whole")
