"""HTTP with clients: reads their requests and writes the responses."""

from typing import NamedTuple, NoReturn, Protocol

import httptools

from ploverspoke.transport.units import MICROSECOND, MILLISECOND, SECOND

from .errors import HttpSyntaxError, MessageTooLongError
from .http_messages import MAX_BODY_SIZE, MESSAGE_BYTES, Headers, HttpMessageReader, encode_head
from .wire_names import REQUEST_INFO, REQUEST_TIMEOUT, SLOTS, WORK_HINT

REASON_PHRASES = {
    200: "OK",
    307: "Temporary Redirect",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
MAX_SLOTS = 1e6
HEAD_SLICE_BYTES = 1024  # of a head or of chunks, which may hold many fields, requests or chunks
BODY_SLICE_BYTES = 16 * 1024  # of a body of known length
MAX_LENGTH_DIGITS = 18  # digits of a Content-Length
MAX_NUMBER_DIGITS = 15  # digits of a whole number in any other header


class HttpRequest(NamedTuple):
    """One complete request of a client."""

    method: str
    target: str
    headers: Headers
    body: bytes
    keep_alive: bool  # the client wants to reuse the connection
    cost: int = 0  # of memory, in bytes


class RequestListener(Protocol):
    """Receives the requests of one connection."""

    def on_request_head(self, method: str, target: str, headers: Headers) -> None:
        """Check a request before its body is read. Raises HttpSyntaxError to reject it without its body."""

    def on_request(self, request: HttpRequest) -> None:
        """Handle a complete request."""

    def on_continue_expected(self) -> None:
        """Send `CONTINUE_RESPONSE`, for which the client waits before it sends the body."""


class RequestReader(HttpMessageReader[httptools.HttpRequestParser]):
    """Reads the requests of one connection, which may be pipelined."""

    def __init__(self, listener: RequestListener) -> None:
        """Report the requests to `listener`."""
        super().__init__(httptools.HttpRequestParser)
        self.listener = listener
        self.target = b""
        self.in_message = False  # a request has begun and is not complete yet
        self.body_length: int | None = None  # of the message, if it is known
        # Method and target of the latest request whose head is complete.
        self.request_method = ""
        self.request_target = ""

    def on_message_begin(self) -> None:
        """Reset the state for the next request."""
        super().on_message_begin()
        self.target = b""
        self.body_length = None
        self.in_message = True

    def on_url(self, part: bytes) -> None:
        """Add a part of the target."""
        self.add_head_size(len(part))
        self.target += part

    def on_headers_complete(self) -> None:
        """Check the head and report it to the listener."""
        super().on_headers_complete()
        content_length = self.headers.get("content-length")
        transfer_encoding = self.headers.get("transfer-encoding")
        if transfer_encoding is not None and (
            content_length is not None or transfer_encoding.lower() != "chunked"
        ):
            # Request smuggling: if two readers disagree on where a body ends, it can hide another request.
            self.fail(HttpSyntaxError("the length of the body is not clear"))
        if content_length is not None and (
            len(content_length) > MAX_LENGTH_DIGITS or int(content_length) > MAX_BODY_SIZE
        ):
            self.on_body_too_long()
        self.body_length = None if content_length is None else int(content_length)
        self.request_method = self.parser.get_method().decode("latin-1")
        self.request_target = self.target.decode("latin-1")
        try:
            self.listener.on_request_head(self.request_method, self.request_target, self.headers)
        except HttpSyntaxError as error:
            self.fail(error)
        if self.headers.get("expect", "").lower() == "100-continue":
            self.listener.on_continue_expected()

    def next_slice_size(self) -> int:
        """How many bytes may be parsed at a stretch, so that it takes little time whatever they are."""
        if self.body_length is None or self.in_head or not self.in_message:
            return HEAD_SLICE_BYTES
        return max(HEAD_SLICE_BYTES, min(BODY_SLICE_BYTES, self.body_length - len(self.body)))

    def drop_message(self) -> None:
        """Give back the memory of the message."""
        super().drop_message()
        self.target = b""

    def close(self) -> None:
        """Break the reference cycles with the parser and the listener, which would delay the release."""
        del self.parser
        del self.listener

    def on_body_too_long(self) -> NoReturn:
        """Reject the request with status 413."""
        self.fail(MessageTooLongError("body too long"))

    def on_message_complete(self) -> None:
        """Report the complete request to the listener."""
        self.in_message = False
        headers, body, cost = self.headers, bytes(self.body), MESSAGE_BYTES + self.held_bytes()
        self.drop_message()
        method, target = self.request_method, self.request_target
        self.listener.on_request(HttpRequest(method, target, headers, body, self.keeps_alive(), cost))


def request_class_name(target: str) -> str:
    """Return the name of the request class: the first segment of the target's path."""
    path = target.partition("?")[0]
    if "://" in path:
        path = "/" + path.partition("://")[2].partition("/")[2]
    return path.lstrip("/").partition("/")[0]


def whole_number(headers: Headers, name: str) -> int | None:
    """Return the number in a header, or None if the header is absent. Raises HttpSyntaxError."""
    text = headers.get(name)
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > MAX_NUMBER_DIGITS:
        raise HttpSyntaxError(reason=f"{name} is no whole number")
    return int(text)


def request_timeout(headers: Headers) -> int | None:
    """Return how long the client waits for the response, in ns, or None if it does not say.

    Raises HttpSyntaxError.
    """
    milliseconds = whole_number(headers, REQUEST_TIMEOUT)
    return None if milliseconds is None else milliseconds * MILLISECOND


def work_hint(headers: Headers) -> int:
    """Return the client's estimate of the running time, in ns, or 0 if it gives none.

    Raises HttpSyntaxError.
    """
    return (whole_number(headers, WORK_HINT) or 0) * MICROSECOND


def requested_slots(headers: Headers) -> float:
    """Return how many slots of a worker the request occupies, 1 by default. Raises HttpSyntaxError.

    The other name=value pairs of the header are not checked.
    """
    for pair in headers.get(REQUEST_INFO, "").split(","):
        name, _, value = pair.partition("=")
        if name.strip().lower() == SLOTS:
            try:
                number = float(value)
            except ValueError:
                number = 0.0
            if not 0 < number < MAX_SLOTS:
                raise HttpSyntaxError(reason=f"{REQUEST_INFO}: {SLOTS} is no number above 0")
            return number
    return 1.0


def encode_response(
    status: int, body: bytes, keep_alive: bool, retry_after: int = 0, location: str = ""
) -> bytes:
    """Return the bytes of a response; `retry_after` (ns) and `location` are sent as headers if given."""
    headers = {"Content-Length": str(len(body))}
    if location:
        headers["Location"] = location
    if retry_after > 0:
        headers["Retry-After"] = f"{retry_after / SECOND:.3f}"
    if not keep_alive:
        headers["Connection"] = "close"
    return encode_head(f"HTTP/1.1 {status} {REASON_PHRASES[status]}", headers) + body
