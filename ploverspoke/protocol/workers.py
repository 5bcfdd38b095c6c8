"""What is sent to workers, and their answers, read line by line."""

from collections.abc import Mapping
from typing import Any, Protocol

import httptools

from ploverspoke.transport.outcomes import ExchangeOutcome
from ploverspoke.transport.units import MILLISECOND

from .http_messages import LONGEST_BODY, HttpSyntaxError, Message, head
from .json_values import is_finite, parse
from .wire_names import LOAD_NAMES

LONGEST_LINE = LONGEST_BODY + 4 * 1024  # a whole result and what stands round it

Load = dict[str, float]


class AnswerListener(Protocol):
    def started(self) -> None: ...

    def progressed(self, share_done: float) -> None: ...

    def ended(self, end: ExchangeOutcome, result: str, load: Load | None) -> None:
        """The outcome is known; said at most once."""

    def message_over(self, reusable: bool) -> None:
        """The last byte of the answer has come."""


# What one connection's two ends tell each other, and what we say ourselves.
NOT_PASSED_ON = {
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-connection",
    "request-timeout-ms",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
}


def job(method: str, target: str, headers: dict[str, str], body: bytes, time_out: int, address: str) -> bytes:
    # All that the client says of the job goes on: a labelled one carries its mark in a header of its own.
    between_ends = {name.strip().lower() for name in headers.get("connection", "").split(",")}
    passed = {k: v for k, v in headers.items() if k not in NOT_PASSED_ON and k not in between_ends}
    passed["host"] = address
    passed["request-timeout-ms"] = str(max(1, time_out // MILLISECOND))
    passed["content-length"] = str(len(body))
    return head(f"{method} {target} HTTP/1.1", passed) + body


def probe(with_load: bool, address: str) -> bytes:
    return head(f"GET {'/-/load' if with_load else '/-/healthy'} HTTP/1.1", {"Host": address})


def load_report(values: Any, x0: str) -> Load | None:
    """A load report under our words; what we have no word for is left out."""
    if not isinstance(values, Mapping):
        return None
    report = {}
    for name, value in values.items():
        ours = LOAD_NAMES.get(name)
        if ours is not None and is_finite(value):
            report[x0 if ours == "x0" else ours] = float(value)
    return report


class Answer(Message[httptools.HttpResponseParser]):
    """The answer to one request of ours."""

    def __init__(self, listener: AnswerListener, x0: str) -> None:
        super().__init__(httptools.HttpResponseParser)
        self.listener = listener
        self.x0 = x0
        self.status = 0
        self.has_ended = False
        self.over = False

    def end(self, end: ExchangeOutcome, result: str = "", load: Load | None = None) -> None:
        if not self.has_ended:
            self.has_ended = True
            self.listener.ended(end, result, load)

    def header_load(self) -> Load | None:
        text = self.headers.get("server-load")
        return None if text is None else load_report(parse(text), self.x0)

    def on_message_begin(self) -> None:
        if self.over:
            self.fail(HttpSyntaxError("more than one answer"))
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        self.status = self.parser.get_status_code()

    def on_message_complete(self) -> None:
        if self.status >= 200:
            self.over = True
            self.complete()
            self.listener.message_over(self.lasts())

    def complete(self) -> None:
        raise NotImplementedError


class JobAnswer(Answer):
    """200, then one JSON object a line up to a last one; or a status that says it all."""

    def __init__(self, listener: AnswerListener, x0: str, request_id: str) -> None:
        super().__init__(listener, x0)
        self.request_id = request_id

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        if self.status < 200 or self.status == 200:
            return
        unstarted = self.status in (503, 504) and self.headers.get("not-started", "").strip() == "1"
        failed = ExchangeOutcome.REJECTED if 400 <= self.status < 500 else ExchangeOutcome.FAILED
        self.end(ExchangeOutcome.RETURNED if unstarted else failed, load=self.header_load())

    def on_body(self, part: bytes) -> None:
        if self.status != 200 or self.has_ended:
            return
        self.body += part
        while not self.has_ended:
            line, newline, rest = self.body.partition(b"\n")
            if not newline:
                break
            self.body = rest
            self.line(line)
        if len(self.body) > LONGEST_LINE:
            self.end(ExchangeOutcome.GARBLED)

    def complete(self) -> None:
        if self.status == 200 and not self.has_ended and self.body.strip():
            self.line(self.body)
        self.end(ExchangeOutcome.BROKEN)

    def line(self, text: bytearray) -> None:
        if not text.strip():
            return
        said = parse(text)
        if not isinstance(said, dict) or said.get("id") != self.request_id:
            self.end(ExchangeOutcome.GARBLED)
            return
        state, load = said.get("state"), load_report(said.get("load"), self.x0) or self.header_load()
        if state == "started":
            self.listener.started()
        elif state == "running":
            share = said.get("share")
            self.listener.progressed(
                float(share) if isinstance(share, int | float) and 0 <= share <= 1 else 0.0
            )
        elif state == "done" and isinstance(said.get("result"), str):
            self.end(ExchangeOutcome.SERVED, said["result"], load)
        elif state in ENDS:
            self.end(ENDS[state], load=load)
        else:
            self.end(ExchangeOutcome.GARBLED)


ENDS = {"failed": ExchangeOutcome.FAILED, "returned": ExchangeOutcome.RETURNED, "lost": ExchangeOutcome.LOST}


class ProbeAnswer(Answer):
    """200 or 503, with the load report where there is one."""

    def complete(self) -> None:
        load = load_report(parse(self.body), self.x0) or self.header_load()
        self.end(ExchangeOutcome.SERVED if self.status == 200 else ExchangeOutcome.FAILED, load=load)
