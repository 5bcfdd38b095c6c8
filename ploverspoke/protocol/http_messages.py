"""What requests and answers have in common: the head and the collected body of one message at a time."""

from typing import Generic, NoReturn, TypeVar

import httptools

MOST_HEADERS = 100
LONGEST_HEAD = 16 * 1024
LONGEST_BODY = 64 * 1024
CHUNKING = 8  # a body in the smallest chunks takes so many bytes for each of its own


class HttpSyntaxError(Exception):
    """What came is not what the protocol promises."""

    status = 400  # for a client that sent it


P = TypeVar("P", httptools.HttpRequestParser, httptools.HttpResponseParser)


class Message(Generic[P]):
    """The part of httptools' callbacks that is alike for requests and answers."""

    longest_body = LONGEST_BODY

    def __init__(self, parser: type[P]) -> None:
        self.parser: P = parser(self)
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.head_size = 0
        self.in_head = True
        self.fed = 0  # bytes, in this message
        self.failure: HttpSyntaxError | None = None

    def feed(self, data: memoryview) -> None:
        """Raises HttpSyntaxError, after which nothing more can be read."""
        self.fed += len(data)
        # The parser keeps what it has of one header; a line without end would be kept without end.
        if self.fed > 2 * LONGEST_HEAD + (0 if self.in_head else CHUNKING * self.longest_body):
            raise HttpSyntaxError("head too long" if self.in_head else "message too long")
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # no other protocol is spoken here; what follows is not read
        except httptools.HttpParserError as error:
            raise self.failure or HttpSyntaxError(str(error)) from None

    def fail(self, failure: HttpSyntaxError) -> NoReturn:
        """Out of a callback, through the parser, to who feeds it."""
        self.failure = failure
        raise failure

    def lasts(self) -> bool:
        """Whether the connection can carry another message."""
        return bool(self.parser.should_keep_alive()) and not self.parser.should_upgrade()

    def on_message_begin(self) -> None:
        self.headers = {}
        self.body = bytearray()
        self.head_size = 0
        self.in_head = True
        self.fed = 0

    def on_headers_complete(self) -> None:
        self.in_head = False

    def on_header(self, name: bytes, value: bytes) -> None:
        self.grow_head(len(name) + len(value))
        # The parser leaves the blanks that may stand behind a value; an id read with them is another id.
        key, text = name.decode("latin-1").lower(), value.decode("latin-1").strip(" \t")
        self.headers[key] = f"{self.headers[key]}, {text}" if key in self.headers else text
        if len(self.headers) > MOST_HEADERS:
            self.fail(HttpSyntaxError("head too long"))

    def grow_head(self, size: int) -> None:
        self.head_size += size
        if self.head_size > LONGEST_HEAD:
            self.fail(HttpSyntaxError("head too long"))

    def on_body(self, part: bytes) -> None:
        if len(self.body) + len(part) > self.longest_body:
            self.body_too_long()
        self.body += part

    def body_too_long(self) -> NoReturn:
        self.fail(HttpSyntaxError("body too long"))


def head(first_line: str, headers: dict[str, str]) -> bytes:
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
