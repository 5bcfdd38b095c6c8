"""HTTP/1.1 of the fakes: strict, reads only bodies with a length, and independent of the product's parser."""

import asyncio
from enum import Enum
from typing import NamedTuple

HEAD_END = b"\r\n\r\n"
MAX_HEAD_BYTES = 65536
MAX_QUOTED_LENGTH = 40  # characters of invalid text in an error message
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


class HttpProblem(Enum):
    """The way in which the received bytes are invalid."""

    NO_HEAD_END = "a head without an end"
    NO_COLON = "a header without a colon"
    CHUNKED_BODY = "a chunked body where a content length was expected"
    CONTENT_LENGTH = "an invalid content length"


class HttpSyntaxError(Exception):
    """The received bytes are not an HTTP/1.1 message whose body has a content length."""

    def __init__(self, problem: HttpProblem, received: str = "") -> None:
        """Name the problem and quote the start of the invalid text."""
        super().__init__(f"{problem.value}: {received[:MAX_QUOTED_LENGTH]!r}" if received else problem.value)
        self.problem = problem


class HttpMessage(NamedTuple):
    """One request or response."""

    start_line: str
    headers: dict[str, str]  # names in lower case
    body: bytes

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.start_line.partition(" ")[0]

    @property
    def target(self) -> str:
        """The target of a request; "" if the start line has none."""
        return self.start_line.partition(" ")[2].partition(" ")[0]

    @property
    def status(self) -> int:
        """The status code of a response.

        Raises:
            ValueError: the start line has no status code.
        """
        return int(self.target)


class HttpReader:
    """Splits a byte stream, received in pieces, into messages."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[HttpMessage]:
        """Add a piece of the stream; returns the messages that it completes.

        Raises:
            HttpSyntaxError: the stream is invalid; nothing more can be read from it.
        """
        self.buffer += data
        messages = []
        while (message := self._next_message()) is not None:
            messages.append(message)
        return messages

    def has_partial_message(self) -> bool:
        """Whether a part of a message has been received."""
        return bool(self.buffer)

    def _next_message(self) -> HttpMessage | None:
        head_length = self.buffer.find(HEAD_END)
        if head_length < 0:
            if len(self.buffer) > MAX_HEAD_BYTES:
                raise HttpSyntaxError(HttpProblem.NO_HEAD_END)
            return None
        start_line, headers = _parse_head(bytes(self.buffer[:head_length]))
        body_start = head_length + len(HEAD_END)
        message_length = body_start + _content_length(headers)
        if len(self.buffer) < message_length:
            return None
        body = bytes(self.buffer[body_start:message_length])
        del self.buffer[:message_length]
        return HttpMessage(start_line, headers, body)


async def read_message(stream: asyncio.StreamReader) -> HttpMessage:
    """Read the next message of a stream.

    Raises:
        HttpSyntaxError: it is not a message whose body has a content length.
        asyncio.IncompleteReadError: the stream ended before the end of the message.
        ConnectionError: the connection was reset.
    """
    head = await stream.readuntil(HEAD_END)
    start_line, headers = _parse_head(head.removesuffix(HEAD_END))
    return HttpMessage(start_line, headers, await stream.readexactly(_content_length(headers)))


def _parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    """Return the start line and the headers; `head` does not have the final empty line."""
    start_line, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if not colon:
            raise HttpSyntaxError(HttpProblem.NO_COLON, line)
        headers[name.lower()] = value.strip()
    return start_line, headers


def _content_length(headers: dict[str, str]) -> int:
    if "transfer-encoding" in headers:
        raise HttpSyntaxError(HttpProblem.CHUNKED_BODY)
    length = headers.get("content-length", "0")
    if not length.isdigit():
        raise HttpSyntaxError(HttpProblem.CONTENT_LENGTH, length)
    return int(length)


def encode_chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def encode_response(status: int, reason: str, body: bytes, extra_headers: str = "") -> bytes:
    """Return a response; `extra_headers` are complete header lines, each with its CRLF."""
    head = f"HTTP/1.1 {status} {reason}\r\nContent-Length: {len(body)}\r\n{extra_headers}\r\n"
    return head.encode("latin-1") + body
