"""Reading a message costs time in proportion to its bytes, however they are divided."""

import time
from collections.abc import Callable

import pytest

from ploverspoke.protocol import clients, workers

from .recording_listener import RecordingListener

SIZE = 15_000  # bytes
FACTOR = 4
MAX_RATIO = (
    2 * FACTOR
)  # of the times for FACTOR times as many bytes; with quadratic cost it is FACTOR squared
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nServer-Load: [%b0]\r\n\r\n"


def single_byte_chunks(size: int) -> bytes:
    return b"".join(b"1\r\n%c\r\n" % byte for byte in b'"' + b"x" * size)


def response_line_in_chunks_of_one_byte(size: int) -> None:
    reader = workers.AttemptResponseReader(RecordingListener(), "x0", "7")
    reader.feed(memoryview(RESPONSE_HEAD % b""))
    reader.feed(memoryview(single_byte_chunks(size)))


def many_short_response_lines(size: int) -> None:
    line = b'{"id":"7","state":"running","share":0.5}\n'
    lines = line * (size // len(line))
    reader = workers.AttemptResponseReader(RecordingListener(), "x0", "7")
    reader.feed(memoryview(RESPONSE_HEAD % (b"0," * (size // 10))))
    reader.feed(memoryview(b"%x\r\n" % len(lines) + lines + b"\r\n"))


def request_body_in_chunks_of_one_byte(size: int) -> None:
    reader = clients.RequestReader(RecordingListener())
    head = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    reader.feed(memoryview(head))
    reader.feed(memoryview(single_byte_chunks(size)))


def cost(read: Callable[[int], None], size: int) -> float:
    """The shortest processor time of a few tries, in seconds."""
    times = []
    for _ in range(7):
        began = time.process_time()
        read(size)
        times.append(time.process_time() - began)
    return min(times)


@pytest.mark.parametrize(
    "read",
    [response_line_in_chunks_of_one_byte, many_short_response_lines, request_body_in_chunks_of_one_byte],
)
def test_reading_costs_time_in_proportion_to_the_bytes(read: Callable[[int], None]) -> None:
    assert cost(read, FACTOR * SIZE) <= MAX_RATIO * cost(read, SIZE)
