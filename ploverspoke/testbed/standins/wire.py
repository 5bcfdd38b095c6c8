"""HTTP/1.1 as the stand-ins read and write it: plain, strict, and independent of the program's."""

from typing import NamedTuple


class BadWire(Exception):
    """What came is no HTTP/1.1 as the protocol has it."""


class Message(NamedTuple):
    first: str  # the first line
    headers: dict[str, str]  # names in small letters
    body: bytes


class Reader:
    """Cuts a stream into messages that state their length."""

    def __init__(self) -> None:
        self.data = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        self.data += data
        found = []
        while (message := self._next()) is not None:
            found.append(message)
        return found

    def is_inside(self) -> bool:
        return bool(self.data)

    def _next(self) -> Message | None:
        end = self.data.find(b"\r\n\r\n")
        if end < 0:
            if len(self.data) > 65536:
                raise BadWire("a head without an end")
            return None
        first, *lines = self.data[:end].decode("latin-1").split("\r\n")
        headers = {}
        for line in lines:
            name, colon, value = line.partition(":")
            if not colon:
                raise BadWire(f"a header without a colon: {line[:40]!r}")
            headers[name.lower()] = value.strip()
        if "transfer-encoding" in headers:
            raise BadWire("a body in chunks where its length was expected")
        length = headers.get("content-length", "0")
        if not length.isdigit():
            raise BadWire(f"no length: {length!r}")
        whole = end + 4 + int(length)
        if len(self.data) < whole:
            return None
        body = bytes(self.data[end + 4 : whole])
        del self.data[:whole]
        return Message(first, headers, body)


def chunk(text: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(text), text)


LAST_CHUNK = b"0\r\n\r\n"


def answer(status: int, reason: str, body: bytes, more: str = "") -> bytes:
    head = f"HTTP/1.1 {status} {reason}\r\nContent-Length: {len(body)}\r\n{more}\r\n"
    return head.encode("latin-1") + body
