"""HTTP with workers: writes attempts and health checks, and reads the responses line by line."""

from typing import Protocol, TypeAlias

import httptools

from ploverspoke.transport.outcomes import ExchangeOutcome
from ploverspoke.transport.units import MILLISECOND

from . import wire_names as wire
from .errors import HttpSyntaxError
from .http_messages import MAX_BODY_SIZE, Headers, HttpMessageReader, encode_head
from .json_values import JsonValue, is_finite, parse_json

MAX_LINE_SIZE = MAX_BODY_SIZE + 4 * 1024  # bytes: a result, and the JSON around it
NOT_STARTED_STATUSES = (503, 504)  # statuses for which the header `wire_names.NOT_STARTED` is read

LoadReport: TypeAlias = dict[str, float]  # by field, named as in the values of `wire_names.LOAD_NAMES`

# Headers that apply to a single connection and are not forwarded, and the request timeout, which is replaced.
HOP_BY_HOP_HEADERS = {
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-connection",
    wire.REQUEST_TIMEOUT,
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
}
FINAL_STATES = {
    wire.STATE_FAILED: ExchangeOutcome.FAILED,
    wire.STATE_NOT_STARTED: ExchangeOutcome.NOT_STARTED,
    wire.STATE_KILLED: ExchangeOutcome.KILLED,
}


class ResponseListener(Protocol):
    """Receives the events of a worker's response to one request."""

    def on_started(self) -> None:
        """The worker has started the request."""

    def on_progress(self, fraction_done: float) -> None:
        """The worker has completed this fraction of the request, from 0 to 1."""

    def on_outcome(self, outcome: ExchangeOutcome, result: str, load: LoadReport | None) -> None:
        """The outcome is known; called at most once. The result is empty unless the request succeeded."""

    def on_response_complete(self, reusable: bool) -> None:
        """The whole response was read; `reusable` says if the connection can carry another request."""


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers of a client's request that are meant for the worker."""
    connection_headers = {name.strip().lower() for name in headers.get("connection", "").split(",")}
    return {
        name: value
        for name, value in headers.items()
        if name not in HOP_BY_HOP_HEADERS and name not in connection_headers
    }


def encode_attempt(
    method: str, target: str, headers: Headers, body: bytes, timeout: int, address: str
) -> bytes:
    """Return the client's request as it is sent to a worker, with a timeout of `timeout` ns."""
    # All end-to-end headers are forwarded: some workers detect duplicates by a header that is unknown here.
    forwarded = end_to_end_headers(headers)
    forwarded["host"] = address
    forwarded[wire.REQUEST_TIMEOUT] = str(max(1, timeout // MILLISECOND))
    forwarded["content-length"] = str(len(body))
    return encode_head(f"{method} {target} HTTP/1.1", forwarded) + body


def encode_health_check(with_load: bool, address: str) -> bytes:
    """Return a request for a worker's health, and for its load report if `with_load` is set."""
    path = wire.LOAD_PATH if with_load else wire.HEALTH_PATH
    return encode_head(f"GET {path} HTTP/1.1", {"Host": address})


def parse_load_report(document: JsonValue, x0_name: str) -> LoadReport | None:
    """Return the known fields of a load report, or None if the document is not a JSON object.

    `x0_name` is the name that the settings give to the field x0.
    """
    if not isinstance(document, dict):
        return None
    report = {}
    for wire_name, value in document.items():
        name = wire.LOAD_NAMES.get(wire_name)
        if name is not None and is_finite(value):
            report[x0_name if name == wire.CUSTOM_LOAD_FIELD else name] = float(value)
    return report


class ResponseReader(HttpMessageReader[httptools.HttpResponseParser]):
    """Reads the response to one request."""

    def __init__(self, listener: ResponseListener, x0_name: str) -> None:
        """`x0_name`: see `parse_load_report`."""
        super().__init__(httptools.HttpResponseParser)
        self.listener = listener
        self.x0_name = x0_name
        self.status = 0
        self.parsed_header_load: LoadReport | None = None
        self.progress: float | None = None  # latest that was not reported yet
        self.has_outcome = False
        self.is_complete = False

    def finish(self, outcome: ExchangeOutcome, result: str = "", load: LoadReport | None = None) -> None:
        """Report the outcome, unless one was reported before."""
        if not self.has_outcome:
            self.has_outcome = True
            self.listener.on_outcome(outcome, result, load)

    def feed(self, data: memoryview) -> None:
        """Parse the bytes, and report the latest progress in them. Raises HttpSyntaxError."""
        super().feed(data)
        progress, self.progress = self.progress, None
        if progress is not None and not self.has_outcome:
            self.listener.on_progress(progress)

    def close(self) -> None:
        """Break the reference cycles with the parser and the listener, which would delay the release."""
        self.drop_message()
        del self.parser
        del self.listener

    def header_load(self) -> LoadReport | None:
        """Return the load report in the header, if any."""
        return self.parsed_header_load

    def on_message_begin(self) -> None:
        """Begin the response. Raises HttpSyntaxError if there was one already."""
        if self.is_complete:
            self.fail(HttpSyntaxError("more than one response"))
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Record the status and the load report."""
        super().on_headers_complete()
        self.status = self.parser.get_status_code()
        text = self.headers.get(wire.LOAD_HEADER)
        self.parsed_header_load = None if text is None else parse_load_report(parse_json(text), self.x0_name)

    def on_message_complete(self) -> None:
        """End the response, unless it is an interim one (1xx)."""
        if self.status >= 200:
            self.is_complete = True
            self.on_response_end()
            self.listener.on_response_complete(self.keeps_alive())

    def on_response_end(self) -> None:
        """Report the outcome implied by the end of the response."""
        raise NotImplementedError


class AttemptResponseReader(ResponseReader):
    """Reads the response to an attempt: 200 with JSON lines, or a status that determines the outcome."""

    def __init__(self, listener: ResponseListener, x0_name: str, request_id: str) -> None:
        """A line with an id other than `request_id` is treated as malformed."""
        super().__init__(listener, x0_name)
        self.request_id = request_id
        self.is_started = False

    def on_headers_complete(self) -> None:
        """Report the outcome if the status determines it."""
        super().on_headers_complete()
        if self.status <= 200:
            return
        if self.status in NOT_STARTED_STATUSES and self.headers.get(wire.NOT_STARTED, "").strip() == "1":
            outcome = ExchangeOutcome.NOT_STARTED
        elif 400 <= self.status < 500:
            outcome = ExchangeOutcome.REJECTED
        else:
            outcome = ExchangeOutcome.FAILED
        self.finish(outcome, load=self.header_load())

    def on_body(self, part: bytes) -> None:
        """Parse all complete lines."""
        if self.status != 200 or self.has_outcome:
            return
        *lines, rest = part.split(b"\n")
        for line in lines:
            self.body += line
            complete_line, self.body = self.body, bytearray()
            self._read_line(complete_line)
            if self.has_outcome:
                return
        self.body += rest
        if len(self.body) > MAX_LINE_SIZE:
            self.finish(ExchangeOutcome.MALFORMED_RESPONSE)

    def on_response_end(self) -> None:
        """Parse a last line without a line end. A response without an outcome counts as cut off."""
        if self.status == 200 and not self.has_outcome and self.body.strip():
            self._read_line(self.body)
        self.finish(ExchangeOutcome.CONNECTION_LOST)

    def _read_line(self, text: bytearray) -> None:
        if not text.strip():
            return
        line = parse_json(text)
        if not isinstance(line, dict) or line.get(wire.LINE_ID) != self.request_id:
            self.finish(ExchangeOutcome.MALFORMED_RESPONSE)
            return
        state = line.get(wire.LINE_STATE)
        load = parse_load_report(line.get(wire.LINE_LOAD), self.x0_name) or self.header_load()
        result = line.get(wire.LINE_RESULT)
        if state == wire.STATE_STARTED:
            if not self.is_started:
                self.is_started = True
                self.listener.on_started()
        elif state == wire.STATE_RUNNING:
            self.progress = _fraction_done(line.get(wire.LINE_PROGRESS))
        elif state == wire.STATE_DONE and isinstance(result, str):
            self.finish(ExchangeOutcome.SUCCEEDED, result, load)
        elif isinstance(state, str) and state in FINAL_STATES:
            self.finish(FINAL_STATES[state], load=load)
        else:
            self.finish(ExchangeOutcome.MALFORMED_RESPONSE)


def _fraction_done(value: JsonValue) -> float:
    return float(value) if isinstance(value, int | float) and 0 <= value <= 1 else 0.0


class HealthCheckResponseReader(ResponseReader):
    """Reads the response to a health check: 200 (healthy) or 503, optionally with a load report."""

    def on_response_end(self) -> None:
        """Report the outcome, with the load report in the body or else in the header."""
        load = parse_load_report(parse_json(self.body), self.x0_name) or self.header_load()
        is_healthy = self.status == 200
        self.finish(ExchangeOutcome.SUCCEEDED if is_healthy else ExchangeOutcome.FAILED, load=load)
