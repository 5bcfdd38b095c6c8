"""The HTTP message readers give the same result however a message is split, and reject malformed messages."""

import contextlib
import random
from collections.abc import Callable

import pytest

from ploverspoke.protocol import clients, discovery, workers
from ploverspoke.protocol.errors import HttpSyntaxError
from ploverspoke.transport.outcomes import ExchangeOutcome

from .recording_listener import RecordingListener, feed_in_pieces

Feed = Callable[[memoryview], None]


@pytest.mark.parametrize("seed", range(30))
def test_messages_read_the_same_however_they_are_split(seed: int) -> None:
    random_numbers, listener = random.Random(seed), RecordingListener()
    chunked = b"POST /a/1?q HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
    plain = b"POST /b HTTP/1.1\r\nContent-Length: 3\r\nConnection: close\r\n\r\nxyz"
    feed_in_pieces(random_numbers, chunked * 2 + plain, clients.RequestReader(listener).feed)
    requests = [(request.target, request.body, request.keep_alive) for request in listener.requests]
    assert requests == [("/a/1?q", b"abc", True)] * 2 + [("/b", b"xyz", False)]
    lines = (
        b'{"id":"7","state":"started"}\n{"id":"7","state":"running","share":0.5}\n'
        b'{"id":"7","state":"done","result":"ok","load":{"queue":2,"x0":1,"eps":"?"}}\n'
    )
    response = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    response += b"%x\r\n" % len(lines) + lines + b"\r\n0\r\n\r\n"
    feed_in_pieces(random_numbers, response, workers.AttemptResponseReader(listener, "free_slots", "7").feed)
    load = {"waiting": 2.0, "free_slots": 1.0}
    assert listener.events == ["started", 0.5, (ExchangeOutcome.SUCCEEDED, "ok", load), True]


@pytest.mark.parametrize("seed", range(30))
def test_a_malformed_message_is_refused_and_never_a_success(seed: int) -> None:
    random_numbers, listener = random.Random(seed), RecordingListener()
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    malformed_lines = [
        b'{"id":"7","state":[]}\n',
        b"[" * 5000 + b"\n",
        b'{"id":"7","state":"done","result":1}\n',
        b"\xff\n",
    ]
    huge_number = b'{"id":"7","state":"failed","load":{"queue":1' + b"0" * 400 + b"}}\n"
    line = random_numbers.choice([*malformed_lines, huge_number, random_numbers.randbytes(40) + b"\n"])
    feeds: list[Feed] = [
        clients.RequestReader(listener).feed,
        workers.AttemptResponseReader(listener, "x0", "7").feed,
        workers.HealthCheckResponseReader(listener, "x0").feed,
        discovery.EndpointListReader(lambda body, keeps_alive: None).feed,
    ]
    for feed in feeds:
        with contextlib.suppress(HttpSyntaxError):
            beginning = random_numbers.choice([b"", head + b"%x\r\n" % len(line) + line])
            feed(memoryview(beginning + random_numbers.randbytes(99)))
    outcomes = [event[0] for event in listener.events if isinstance(event, tuple)]
    assert ExchangeOutcome.SUCCEEDED not in outcomes


REQUEST = (
    b"POST /a/1?q HTTP/1.1\r\nHost:app\r\nRequest-Id: 7f3a \t \r\nWork-Hint:  12\r\n"
    b"Content-Length: 3 \r\n\r\nxyz"
)
LINES = (b'{"id":"7","state":"started', b'"}\n\n{"id":"7","state":"done","resul', b't":"abc"}\n ')
WORKER_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked \r\nServer-Load: {} \r\n\r\n"
    + b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in LINES)
    + b"0\r\n\r\n"
)
ENDPOINT_LIST = b'HTTP/1.1 200 OK\r\nContent-Length: 42\r\n\r\n{"version":3,"full":true,"servers":[]}    '


def request_feed(listener: RecordingListener) -> Feed:
    return clients.RequestReader(listener).feed


def response_feed(listener: RecordingListener) -> Feed:
    return workers.AttemptResponseReader(listener, "x0", "7").feed


def endpoint_list_feed(listener: RecordingListener) -> Feed:
    return discovery.EndpointListReader(lambda body, alive: listener.events.append((body, alive))).feed


@pytest.mark.parametrize(
    ("message", "make_feed", "expected"),
    [
        pytest.param(REQUEST, request_feed, None, id="request"),
        pytest.param(
            WORKER_RESPONSE, response_feed, (ExchangeOutcome.SUCCEEDED, "abc", {}), id="worker response"
        ),
        pytest.param(ENDPOINT_LIST, endpoint_list_feed, (ENDPOINT_LIST[-42:], True), id="endpoint list"),
    ],
)
def test_a_message_split_at_any_byte_reads_the_same(
    message: bytes, make_feed: Callable[[RecordingListener], Feed], expected: object
) -> None:
    # Guards against forwarding a request id with trailing blanks: the worker's response was refused then.
    def events(parts: list[bytes]) -> list[object]:
        listener = RecordingListener()
        feed = make_feed(listener)
        for part in parts:
            feed(memoryview(part))
        return [*listener.requests, *listener.events]

    unsplit = events([message])
    assert unsplit and (expected is None or expected in unsplit)
    if make_feed is request_feed:
        (request,) = unsplit
        assert isinstance(request, clients.HttpRequest)
        assert request.headers["request-id"] == "7f3a" and request.headers["work-hint"] == "12"
    for cut in range(1, len(message)):
        assert events([message[:cut], message[cut:]]) == unsplit
    assert events([message[at : at + 1] for at in range(len(message))]) == unsplit


def test_fields_after_a_chunked_body_change_nothing() -> None:
    listener = RecordingListener()
    head = b"POST /a HTTP/1.1\r\nRequest-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n"
    request_feed(listener)(memoryview(head + b"1\r\nx\r\n0\r\nRequest-Id: two\r\nSlots: 9\r\n\r\n"))
    assert listener.requests[0].headers == {"request-id": "one", "transfer-encoding": "chunked"}


def test_a_repeated_field_counts_each_time() -> None:
    with pytest.raises(HttpSyntaxError, match="head too long"):
        request_feed(RecordingListener())(memoryview(b"POST /a HTTP/1.1\r\n" + b"a:b\r\n" * 101 + b"\r\n"))
