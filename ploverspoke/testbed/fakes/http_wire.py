"""HTTP/1.1 as the stand-ins read and write it: plain, strict, and independent of the program's."""

from typing import NamedTuple


class HttpSyntaxError(Exception):
    """What came is no HTTP/1.1 as the protocol has it."""


class HttpMessage(NamedTuple):
    first: str  # the first line
    headers: dict[str, str]  # names in small letters
    body: bytes


class HttpReader:
    """Cuts a stream into messages that state their length."""

    def __init__(self) -> None:
        self.data = bytearray()

    def feed(self, data: bytes) -> list[HttpMessage]:
        self.data += data
        found = []
        while (message := self._next()) is not None:
            found.append(message)
        return found

    def is_inside(self) -> bool:
        return bool(self.data)

    def _next(self) -> HttpMessage | None:
        end = self.data.find(b"\r\n\r\n")
        if end < 0:
            if len(self.data) > 65536:
                raise HttpSyntaxError("a head without an end")
            return None
        first, *lines = self.data[:end].decode("latin-1").split("\r\n")
        headers = {}
        for line in lines:
            name, colon, value = line.partition(":")
            if not colon:
                raise HttpSyntaxError(f"a header without a colon: {line[:40]!r}")
            headers[name.lower()] = value.strip()
        if "transfer-encoding" in headers:
            raise HttpSyntaxError("a body in chunks where its length was expected")
        length = headers.get("content-length", "0")
        if not length.isdigit():
            raise HttpSyntaxError(f"no length: {length!r}")
        whole = end + 4 + int(length)
        if len(self.data) < whole:
            return None
        body = bytes(self.data[end + 4 : whole])
        del self.data[:whole]
        return HttpMessage(first, headers, body)


def encode_chunk(text: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(text), text)


LAST_CHUNK = b"0\r\n\r\n"


def encode_response(status: int, reason: str, body: bytes, more: str = "") -> bytes:
    head = f"HTTP/1.1 {status} {reason}\r\nContent-Length: {len(body)}\r\n{more}\r\n"
    return head.encode("latin-1") + body
