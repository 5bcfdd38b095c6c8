"""What clients say and what is answered."""

from typing import NoReturn, Protocol

import httptools

from ploverspoke.transport.units import MICROSECOND, MILLISECOND, SECOND

from .http_messages import LONGEST_BODY, HttpSyntaxError, Message, head

REASONS = {
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
MOST_SLOTS = 1e6


class MessageTooLongError(HttpSyntaxError):
    """A body over the limit."""

    status = 413


class UnknownRequestClassError(HttpSyntaxError):
    status = 404


class MethodNotAllowedError(HttpSyntaxError):
    status = 405


class RequestIdInUseError(HttpSyntaxError):
    """An id names one submission only: sent on again it would be a second copy of that one."""

    status = 409


class RequestListener(Protocol):
    def head_came(self, method: str, target: str, headers: dict[str, str]) -> None:
        """Raises HttpSyntaxError where the rest need not be read."""

    def request_came(
        self, method: str, target: str, headers: dict[str, str], body: bytes, keep_alive: bool
    ) -> None: ...

    def body_awaited(self) -> None:
        """The client sends the body only after a word from us."""


class RequestReader(Message[httptools.HttpRequestParser]):
    """Reads the requests of one connection; a second one may follow the first at once."""

    def __init__(self, listener: RequestListener) -> None:
        super().__init__(httptools.HttpRequestParser)
        self.listener = listener
        self.target = b""
        self.inside = False  # a request has begun and not ended

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self.target = b""
        self.inside = True

    def on_url(self, part: bytes) -> None:
        self.grow_head(len(part))
        self.target += part

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        length = self.headers.get("content-length")
        coding = self.headers.get("transfer-encoding")
        if coding is not None and (length is not None or coding.lower() != "chunked"):
            # Read one way here and another way there, its body may hide a request.
            self.fail(HttpSyntaxError("the length of the body is not clear"))
        if length is not None and (len(length) > 18 or int(length) > LONGEST_BODY):
            self.fail(MessageTooLongError("body too long"))
        try:
            self.listener.head_came(self.method(), self.target.decode("latin-1"), self.headers)
        except HttpSyntaxError as error:
            self.fail(error)
        if self.headers.get("expect", "").lower() == "100-continue":
            self.listener.body_awaited()

    def method(self) -> str:
        return self.parser.get_method().decode("latin-1")

    def body_too_long(self) -> NoReturn:
        self.fail(MessageTooLongError("body too long"))

    def on_message_complete(self) -> None:
        self.inside = False
        self.listener.request_came(
            self.method(),
            self.target.decode("latin-1"),
            self.headers,
            bytes(self.body),
            self.lasts(),
        )


def grade_name(target: str) -> str:
    """The first part of the path."""
    path = target.partition("?")[0]
    if "://" in path:
        path = "/" + path.partition("://")[2].partition("/")[2]
    return path.lstrip("/").partition("/")[0]


def whole(headers: dict[str, str], name: str) -> int | None:
    text = headers.get(name)
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > 15:
        raise HttpSyntaxError(f"{name} is no whole number")
    return int(text)


def patience(headers: dict[str, str]) -> int | None:
    """How long the client will wait for the answer, in ns."""
    milliseconds = whole(headers, "request-timeout-ms")
    return None if milliseconds is None else milliseconds * MILLISECOND


def work_hint(headers: dict[str, str]) -> int:
    return (whole(headers, "work-hint") or 0) * MICROSECOND


def slots(headers: dict[str, str]) -> float:
    """How many slots the job takes; the other figures of a request are not ours to judge."""
    for pair in headers.get("request-info", "").split(","):
        name, _, value = pair.partition("=")
        if name.strip().lower() == "slots":
            try:
                number = float(value)
            except ValueError:
                number = 0.0
            if not 0 < number < MOST_SLOTS:
                raise HttpSyntaxError("request-info: slots is no number above 0")
            return number
    return 1.0


def answer(status: int, body: bytes, keep: bool, come_back_after: int = 0, location: str = "") -> bytes:
    headers = {"Content-Length": str(len(body))}
    if location:
        headers["Location"] = location
    if come_back_after > 0:
        headers["Retry-After"] = f"{come_back_after / SECOND:.3f}"
    if not keep:
        headers["Connection"] = "close"
    return head(f"HTTP/1.1 {status} {REASONS[status]}", headers) + body


CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
