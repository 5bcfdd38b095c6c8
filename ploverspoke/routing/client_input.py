"""What a client has sent: unparsed bytes, parsed requests that wait to be handled, and what was dropped."""

from collections import deque
from collections.abc import Callable

from ploverspoke.protocol.clients import CONTINUE_RESPONSE, HttpRequest, RequestReader
from ploverspoke.protocol.errors import HttpSyntaxError
from ploverspoke.protocol.http_messages import Headers
from ploverspoke.transport.connections import Connection
from ploverspoke.transport.memory_account import MemoryHolding, MemoryKind

MAX_UNPARSED_BYTES = 16 * 1024  # beyond that reading is paused, unless a request of the client is open
# Data sent ahead of the response (pipelining) is read, because a disconnect is only seen after that data.
MAX_READ_AHEAD_BYTES = 256 * 1024  # kept; a client that sends more is disconnected after its response
MAX_DROPPED_BYTES = 8 * 1024 * 1024  # read and dropped beyond that; then the open request is given up


HeadCheck = Callable[[str, str, Headers], None]  # of method, target and headers; raises HttpSyntaxError


class ClientInput:
    """The input of one connection, counted in the connection's account; implements `RequestListener`."""

    def __init__(self, connection: Connection, check_head: HeadCheck) -> None:
        """`check_head` may refuse a request before its body is read."""
        self.connection = connection
        self.check_head = check_head
        self.reader = RequestReader(self)
        self.queue: deque[HttpRequest] = deque()  # read but not handled yet
        self.queue_cost = 0  # bytes
        self.failure: HttpSyntaxError | None = None  # from the reader; sent after all earlier responses
        self.holding = MemoryHolding(connection.monitor.memory, MemoryKind.MESSAGES)

    @property
    def dropped_bytes(self) -> int:
        """The bytes received beyond a limit."""
        return self.connection.discarded_bytes

    def has_work(self) -> bool:
        """Whether there is anything to parse, to handle or to refuse."""
        return bool(self.queue or self.failure is not None or len(self.connection.buffer))

    def is_holding(self) -> bool:
        """Whether memory is held beyond that of an idle connection."""
        return self.reader.in_message or self.has_work()

    # ---- Reports of the reader ----

    def on_request_head(self, method: str, target: str, headers: Headers) -> None:
        """Check a request before its body is read. Raises HttpSyntaxError."""
        self.check_head(method, target, headers)

    def on_continue_expected(self) -> None:
        """Ask for the body, unless a response must be sent first."""
        if not self.queue:
            self.connection.write(CONTINUE_RESPONSE)

    def on_request(self, request: HttpRequest) -> None:
        """Queue a complete request."""
        self.queue.append(request)
        self.queue_cost += request.cost

    # ---- What the session does ----

    def known_targets(self) -> list[str]:
        """The targets of the requests that are read, at least their heads, and not handled."""
        targets = [request.target for request in self.queue]
        if self.reader.in_message and not self.reader.in_head:
            targets.append(self.reader.request_target)
        return targets

    def next_request(self) -> HttpRequest:
        """Remove and return the oldest queued request."""
        request = self.queue.popleft()
        self.queue_cost -= request.cost
        self._update_holding()
        return request

    def parse_some(self) -> None:
        """Parse a short piece of the unparsed bytes."""
        try:
            self.connection.feed(self.reader, self.reader.next_slice_size())
        except HttpSyntaxError as error:
            # Requests before the invalid one are answered first. A copy: the traceback of the error keeps the
            # frames of the parser alive, and with them this connection and its buffers.
            self.failure = type(error)(error.reason)
        self._update_holding()
        self.limit_reading()

    def limit_reading(self) -> None:
        """Pause reading while there is much to parse: the client then waits."""
        self.connection.set_reading_paused(len(self.connection.buffer) >= MAX_UNPARSED_BYTES)

    def read_ahead(self) -> None:
        """Keep what the client sends ahead of its response, or drop it beyond the limits."""
        is_over = len(self.connection.buffer) > MAX_READ_AHEAD_BYTES
        if is_over or self.holding.account.is_full_for_clients():
            self.drop_unparsed()

    def is_dropping(self) -> bool:
        """Whether a part of the input was dropped, so that no later request can be read."""
        return self.connection.is_discarding

    def has_sent_far_too_much(self) -> bool:
        """Whether even dropping what is sent ahead costs too much."""
        return self.dropped_bytes > MAX_DROPPED_BYTES

    def drop_unparsed(self) -> None:
        """Drop the unparsed bytes: no request after the open one can be read any more."""
        self.connection.discard_input()

    def drop_ahead(self) -> None:
        """Give back the memory of everything behind the open request."""
        self.drop_unparsed()
        self.clear()

    def clear(self) -> None:
        """Drop what was parsed and is not handled."""
        self.queue.clear()
        self.queue_cost = 0
        self.reader.drop_message()
        self._update_holding()

    def close(self) -> None:
        """Drop everything: the connection has ended."""
        self.clear()
        self.reader.close()
        del self.check_head

    def _update_holding(self) -> None:
        self.holding.set(self.reader.held_bytes() + self.queue_cost)
