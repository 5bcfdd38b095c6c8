"""Bytes to calls and back, without sockets."""

import contextlib
import random
from collections.abc import Callable
from typing import Any

import pytest

from ploverspoke.protocol import clients, discovery, workers
from ploverspoke.protocol.errors import EndpointListError, HttpSyntaxError
from ploverspoke.transport.outcomes import ExchangeOutcome


def test_a_job_keeps_all_that_its_client_said_of_it() -> None:
    # A labelled submission's mark came in a header of its own; workers then took repeats for new jobs.
    said = {
        "request-id": "7",
        "idempotency-key": "3a7d",
        "host": "app.svc",
        "connection": "keep-alive, x-hop",
        "x-hop": "1",
        "content-length": "99",
        "request-timeout-ms": "8000",
    }
    head, _, body = workers.encode_attempt(
        "POST", "/a/b?c=%20d", said, b"ab", 2_500_000_000, "127.0.0.1:1"
    ).partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    assert lines[0] == "POST /a/b?c=%20d HTTP/1.1" and body == b"ab"
    assert sorted(lines[1:]) == [
        "content-length: 2",
        "host: 127.0.0.1:1",
        "idempotency-key: 3a7d",
        "request-id: 7",
        "request-timeout-ms: 2500",
    ]


class Heard:
    """Listens to requests and answers alike."""

    def __init__(self) -> None:
        self.requests: list[tuple[str, bytes, bool]] = []
        self.said: list[Any] = []

    def on_request_head(self, method: str, target: str, headers: Any) -> None:
        pass

    def on_request(self, request: clients.HttpRequest) -> None:
        self.requests.append((request.target, request.body, request.keep_alive))

    def on_continue_expected(self) -> None:
        pass

    def on_started(self) -> None:
        self.said.append("started")

    def on_progress(self, fraction_done: float) -> None:
        self.said.append(fraction_done)

    def on_outcome(self, outcome: ExchangeOutcome, result: str, load: Any) -> None:
        self.said.append((outcome, result, load))

    def on_response_complete(self, reusable: bool) -> None:
        self.said.append(reusable)


def in_pieces(chance: random.Random, text: bytes, feed: Callable[[memoryview], None]) -> None:
    while text:
        size = chance.randint(1, 40)
        feed(memoryview(text[:size]))
        text = text[size:]


@pytest.mark.parametrize("seed", range(30))
def test_messages_are_read_alike_however_they_are_cut(seed: int) -> None:
    chance, heard = random.Random(seed), Heard()
    chunked = b"POST /a/1?q HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
    plain = b"POST /b HTTP/1.1\r\nContent-Length: 3\r\nConnection: close\r\n\r\nxyz"
    in_pieces(chance, chunked * 2 + plain, clients.RequestReader(heard).feed)
    assert heard.requests == [("/a/1?q", b"abc", True)] * 2 + [("/b", b"xyz", False)]
    lines = (
        b'{"id":"7","state":"started"}\n{"id":"7","state":"running","share":0.5}\n'
        b'{"id":"7","state":"done","result":"ok","load":{"queue":2,"x0":1,"eps":"?"}}\n'
    )
    answer = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    answer += b"%x\r\n" % len(lines) + lines + b"\r\n0\r\n\r\n"
    in_pieces(chance, answer, workers.AttemptResponseReader(heard, "free_slots", "7").feed)
    load = {"waiting": 2.0, "free_slots": 1.0}
    assert heard.said == ["started", 0.5, (ExchangeOutcome.SUCCEEDED, "ok", load), True]


@pytest.mark.parametrize("seed", range(30))
def test_garbage_is_garbled_and_nothing_else(seed: int) -> None:
    chance, heard = random.Random(seed), Heard()
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    odd = [
        b'{"id":"7","state":[]}\n',
        b"[" * 5000 + b"\n",
        b'{"id":"7","state":"done","result":1}\n',
        b"\xff\n",
    ]
    number = b'{"id":"7","state":"failed","load":{"queue":1' + b"0" * 400 + b"}}\n"
    line = chance.choice([*odd, number, chance.randbytes(40) + b"\n"])
    readers: list[Any] = [
        clients.RequestReader(heard),
        workers.AttemptResponseReader(heard, "x0", "7"),
        workers.HealthCheckResponseReader(heard, "x0"),
        discovery.EndpointListReader(lambda body, lasts: None),
    ]
    for reader in readers:
        with contextlib.suppress(HttpSyntaxError):
            reader.feed(
                memoryview(chance.choice([b"", head + b"%x\r\n" % len(line) + line]) + chance.randbytes(99))
            )
    assert not [said for said in heard.said if said[0] is ExchangeOutcome.SUCCEEDED]


@pytest.mark.parametrize(
    "told",
    [
        b"",
        b"[]",
        b'{"version":1,"full":true,"servers":[3]}',
        b'{"version":1,"full":true,"servers":[{"id":1,"addr":""}]}',
        b'{"version":1,"full":true,"servers":[{"id":"a","addr":"x","weight":"much"}]}',
        b'{"version":1,"full":true,"servers":[{"id":"a","addr":"x","started_ms":Infinity}]}',
        b'{"version":"1","full":true,"servers":[]}',
    ],
)
def test_a_list_that_is_none_is_garbled(told: bytes) -> None:
    with pytest.raises(EndpointListError):
        discovery.read_endpoint_list(told)


class Whole(Heard):
    """Keeps the headers, too."""

    def on_request(self, request: clients.HttpRequest) -> None:
        self.said.append(tuple(request._replace(headers=dict(request.headers))))


REQUEST = (
    b"POST /a/1?q HTTP/1.1\r\nHost:app\r\nRequest-Id: 7f3a \t \r\nWork-Hint:  12\r\n"
    b"Content-Length: 3 \r\n\r\nxyz"
)
LINES = (b'{"id":"7","state":"started', b'"}\n\n{"id":"7","state":"done","resul', b't":"abc"}\n ')
WORKER = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked \r\nServer-Load: {} \r\n\r\n"
    + b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in LINES)
    + b"0\r\n\r\n"
)
ROSTER = b'HTTP/1.1 200 OK\r\nContent-Length: 42\r\n\r\n{"version":3,"full":true,"servers":[]}    '


def read_request(heard: Whole) -> Callable[[memoryview], None]:
    return clients.RequestReader(heard).feed


def read_answer(heard: Whole) -> Callable[[memoryview], None]:
    return workers.AttemptResponseReader(heard, "x0", "7").feed


def read_roster(heard: Whole) -> Callable[[memoryview], None]:
    return discovery.EndpointListReader(lambda body, lasts: heard.said.append((body, lasts))).feed


@pytest.mark.parametrize(
    ("message", "read", "last"),
    [
        (REQUEST, read_request, None),
        (WORKER, read_answer, (ExchangeOutcome.SUCCEEDED, "abc", {})),
        (ROSTER, read_roster, (ROSTER[-42:], True)),
    ],
)
def test_a_message_cut_at_any_byte_says_the_same(message: bytes, read: Any, last: Any) -> None:
    # An id was passed on with the blanks behind it, and the worker's answer to it taken for garbage.
    def said(parts: list[bytes]) -> list[Any]:
        heard = Whole()
        feed = read(heard)
        for part in parts:
            feed(memoryview(part))
        return heard.said

    whole = said([message])
    assert whole and (last is None or last in whole)
    if read is read_request:
        assert whole[0][2]["request-id"] == "7f3a" and whole[0][2]["work-hint"] == "12"
    for cut in range(1, len(message)):
        assert said([message[:cut], message[cut:]]) == whole
    assert said([message[at : at + 1] for at in range(len(message))]) == whole
