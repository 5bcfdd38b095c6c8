"""Common base of the readers of HTTP requests and responses."""

from typing import Generic, NoReturn, TypeAlias, TypeVar

import httptools

from .errors import HttpSyntaxError

MAX_HEADERS = 100
MAX_HEAD_SIZE = 16 * 1024  # bytes
MAX_BODY_SIZE = 64 * 1024  # bytes
TEXT_OBJECT_BYTES = 80  # of a string in the interpreter, beside its characters
FIELD_BYTES = 2 * TEXT_OBJECT_BYTES + 64  # of a name and its value, with their place in a dictionary
MESSAGE_BYTES = 1024  # of a message with its dictionary, method, target and place in a queue
CHUNKING_OVERHEAD = 8  # bytes received for each byte of a body sent in the smallest possible chunks

Headers: TypeAlias = dict[str, str]  # by header name; received names are in lower case
Parser = TypeVar("Parser", httptools.HttpRequestParser, httptools.HttpResponseParser)


class HttpMessageReader(Generic[Parser]):
    """Parses one message at a time; implements the httptools callbacks shared by requests and responses."""

    max_body_size = MAX_BODY_SIZE

    def __init__(self, parser: type[Parser]) -> None:
        """`parser` is the httptools class that parses this kind of message."""
        self.parser: Parser = parser(self)
        self.headers: Headers = {}
        self.body = bytearray()
        self.head_size = 0
        self.in_head = True
        self.field_count = 0
        self.received = 0  # bytes received for this message
        self.failure: HttpSyntaxError | None = None

    def feed(self, data: memoryview) -> None:
        """Parse the bytes. Raises HttpSyntaxError, after which the reader cannot be used any more."""
        self.received += len(data)
        # The parser buffers each header completely, so that an endless line would use unlimited memory.
        if self.received > 2 * MAX_HEAD_SIZE + (
            0 if self.in_head else CHUNKING_OVERHEAD * self.max_body_size
        ):
            raise HttpSyntaxError(reason="head too long" if self.in_head else "message too long")
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # upgrades to other protocols are not supported; the data after the message is not read
        except httptools.HttpParserError as error:
            self.failure = self.failure or HttpSyntaxError(str(error))
        if self.failure is not None:
            raise self._take_failure()

    def fail(self, failure: HttpSyntaxError) -> NoReturn:
        """Raise the error from a callback. The parser replaces it with its own, so `feed` raises it again.

        Copies are kept and raised: an error that refers to itself through its traceback and its frames would
        keep the connection and its buffers alive until the garbage collector runs.
        """
        self.failure = type(failure)(failure.reason)
        raise type(failure)(failure.reason)

    def _take_failure(self) -> HttpSyntaxError:
        failure, self.failure = self.failure, None
        return failure or HttpSyntaxError(reason="the message cannot be read")

    def held_bytes(self) -> int:
        """What the incomplete message costs in memory, in bytes; the parser may hold one field itself."""
        return len(self.headers) * FIELD_BYTES + self.head_size + len(self.body)

    def drop_message(self) -> None:
        """Give back the memory of the message."""
        self.headers = {}
        self.body = bytearray()
        self.head_size = 0

    def keeps_alive(self) -> bool:
        """Whether the connection can carry another message."""
        return bool(self.parser.should_keep_alive()) and not self.parser.should_upgrade()

    # ---- Callbacks of httptools ----

    def on_message_begin(self) -> None:
        """Reset the state for the next message."""
        self.headers = {}
        self.body = bytearray()
        self.head_size = 0
        self.field_count = 0
        self.in_head = True
        self.received = 0

    def on_headers_complete(self) -> None:
        """Record the end of the head."""
        self.in_head = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header under its lower-case name; values of repeated headers are joined.

        Fields after the body (trailers) are dropped: the message was checked without them.
        """
        if not self.in_head:
            return
        self.add_head_size(len(name) + len(value))
        self.field_count += 1
        if self.field_count > MAX_HEADERS:
            self.fail(HttpSyntaxError("head too long"))
        # The parser keeps trailing blanks of a value, which would turn a request id into a different one.
        key, text = name.decode("latin-1").lower(), value.decode("latin-1").strip(" \t")
        self.headers[key] = f"{self.headers[key]}, {text}" if key in self.headers else text

    def add_head_size(self, size: int) -> None:
        """Count bytes of the head. Raises HttpSyntaxError if it exceeds the limit."""
        self.head_size += size
        if self.head_size > MAX_HEAD_SIZE:
            self.fail(HttpSyntaxError("head too long"))

    def on_body(self, part: bytes) -> None:
        """Add a part of the body."""
        if len(self.body) + len(part) > self.max_body_size:
            self.on_body_too_long()
        self.body += part

    def on_body_too_long(self) -> NoReturn:
        """Raise the error for a body that exceeds the limit."""
        self.fail(HttpSyntaxError("body too long"))


def encode_head(first_line: str, headers: Headers) -> bytes:
    """Return the head of a message, including the empty line at its end."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
