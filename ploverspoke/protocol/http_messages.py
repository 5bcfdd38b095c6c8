"""The common base of request and response readers: one message at a time, with its headers and body."""

from typing import Generic, NoReturn, TypeAlias, TypeVar

import httptools

from .errors import HttpSyntaxError

MAX_HEADERS = 100
MAX_HEAD_SIZE = 16 * 1024  # bytes
MAX_BODY_SIZE = 64 * 1024  # bytes
CHUNKING_OVERHEAD = 8  # bytes on the wire for each byte of a body in the smallest chunks

Headers: TypeAlias = dict[str, str]  # by their names in lower case, where they were received
Parser = TypeVar("Parser", httptools.HttpRequestParser, httptools.HttpResponseParser)


class HttpMessageReader(Generic[Parser]):
    """Callbacks of httptools that requests and responses share."""

    max_body_size = MAX_BODY_SIZE

    def __init__(self, parser: type[Parser]) -> None:
        """`parser` is the class of httptools that parses this kind of message."""
        self.parser: Parser = parser(self)
        self.headers: Headers = {}
        self.body = bytearray()
        self.head_size = 0
        self.in_head = True
        self.received = 0  # bytes of this message
        self.failure: HttpSyntaxError | None = None

    def feed(self, data: memoryview) -> None:
        """Parse the bytes. Raises HttpSyntaxError; nothing more can be parsed then."""
        self.received += len(data)
        # The parser buffers each header completely: an endless line would grow without limit.
        if self.received > 2 * MAX_HEAD_SIZE + (
            0 if self.in_head else CHUNKING_OVERHEAD * self.max_body_size
        ):
            raise HttpSyntaxError(reason="head too long" if self.in_head else "message too long")
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # no other protocol is supported: what follows is not read
        except httptools.HttpParserError as error:
            raise self.failure or HttpSyntaxError(str(error)) from error

    def fail(self, failure: HttpSyntaxError) -> NoReturn:
        """Raise the error from a callback; `feed` raises it again, as the parser replaces it."""
        self.failure = failure
        raise failure

    def keeps_alive(self) -> bool:
        """Whether the connection can carry another message."""
        return bool(self.parser.should_keep_alive()) and not self.parser.should_upgrade()

    # ---- Callbacks of httptools ----

    def on_message_begin(self) -> None:
        """Reset the state of the previous message."""
        self.headers = {}
        self.body = bytearray()
        self.head_size = 0
        self.in_head = True
        self.received = 0

    def on_headers_complete(self) -> None:
        """Note the end of the head."""
        self.in_head = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header, under its name in lower case; equal names are joined."""
        self.add_head_size(len(name) + len(value))
        # The parser keeps trailing blanks of a value, with which a request id would be another id.
        key, text = name.decode("latin-1").lower(), value.decode("latin-1").strip(" \t")
        self.headers[key] = f"{self.headers[key]}, {text}" if key in self.headers else text
        if len(self.headers) > MAX_HEADERS:
            self.fail(HttpSyntaxError("head too long"))

    def add_head_size(self, size: int) -> None:
        """Count bytes of the head. Raises HttpSyntaxError beyond the limit."""
        self.head_size += size
        if self.head_size > MAX_HEAD_SIZE:
            self.fail(HttpSyntaxError("head too long"))

    def on_body(self, part: bytes) -> None:
        """Add a part of the body."""
        if len(self.body) + len(part) > self.max_body_size:
            self.on_body_too_long()
        self.body += part

    def on_body_too_long(self) -> NoReturn:
        """Raise the error for a body beyond the limit."""
        self.fail(HttpSyntaxError("body too long"))


def encode_head(first_line: str, headers: Headers) -> bytes:
    """Return the head of a message, with the empty line after it."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
