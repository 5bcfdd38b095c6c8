"""What requests and answers have in common: the head and the collected body of one message at a time."""

from typing import NoReturn

MOST_HEADERS = 100
LONGEST_HEAD = 16 * 1024
LONGEST_BODY = 64 * 1024


class Garbled(Exception):
    """What came is not what the protocol promises."""


class Message:
    """The part of httptools' callbacks that is alike for requests and answers."""

    def __init__(self) -> None:
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.head_size = 0

    def on_message_begin(self) -> None:
        self.headers = {}
        self.body = bytearray()
        self.head_size = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        self.head_size += len(name) + len(value)
        if len(self.headers) >= MOST_HEADERS or self.head_size > LONGEST_HEAD:
            raise Garbled("head too long")
        key, text = name.decode("latin-1").lower(), value.decode("latin-1")
        self.headers[key] = f"{self.headers[key]}, {text}" if key in self.headers else text

    def on_body(self, part: bytes) -> None:
        if len(self.body) + len(part) > LONGEST_BODY:
            self.body_too_long()
        self.body += part

    def body_too_long(self) -> NoReturn:
        raise Garbled("body too long")


def head(first_line: str, headers: dict[str, str]) -> bytes:
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
