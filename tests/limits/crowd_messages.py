"""What the connections of a crowd write: valid, odd and unfinished requests, each as an endless sequence."""

import itertools
from collections.abc import Callable, Iterator

KIBIBYTE = 1024
WAITING_PREFIX = "waiting-"  # of the ids of requests that run for a while
FLOOD_BYTES = 64 * KIBIBYTE  # of each block of small messages
MAX_HEAD_BYTES = 15 * KIBIBYTE  # of a long head, which the dispatcher still reads


def request(name: str, target: str = "look", fields: str = "", body: bytes = b"") -> bytes:
    """Return one whole request with the id `name`."""
    head = f"POST /{target} HTTP/1.1\r\nHost: a\r\nRequest-Id: {name}\r\n{fields}"
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


def pipelined_status(number: int) -> Iterator[bytes]:
    """Small requests that the dispatcher answers itself, as many as fit."""
    block = b"GET /-/ready HTTP/1.1\r\n\r\n"
    while True:
        yield block * (FLOOD_BYTES // len(block))


def pipelined_requests(number: int) -> Iterator[bytes]:
    """Small requests for a worker, as many as fit, each with an id of its own."""
    for first in itertools.count(0, 500):
        yield b"".join(request(f"p{number}-{first + index}") for index in range(500))


def many_fields(number: int) -> Iterator[bytes]:
    """A head of a hundred short fields that never ends."""
    yield b"POST /look HTTP/1.1\r\n" + b"".join(b"f%d:v%d\r\n" % (index, index) for index in range(98))


def repeated_fields(number: int) -> Iterator[bytes]:
    """Whole heads of one very short field, again and again."""
    yield request(f"r{number}", fields="a:b\r\n" * 3000)


def half_a_body(number: int) -> Iterator[bytes]:
    """Three quarters of a body as large as allowed."""
    yield request(f"h{number}", fields="Content-Length: 65536\r\n").replace(b"Content-Length: 0\r\n", b"")
    yield b"x" * (48 * KIBIBYTE)


def slow_body(number: int) -> Iterator[bytes]:
    """A body as large as allowed, in small pieces; the sender pauses after each."""
    yield request(f"s{number}", fields="Content-Length: 65536\r\n").replace(b"Content-Length: 0\r\n", b"")
    yield from itertools.repeat(b"x" * 1500, 30)


def tiny_chunks(number: int) -> Iterator[bytes]:
    """A body of chunks of one byte."""
    head = request(f"c{number}", fields="Transfer-Encoding: chunked\r\n")
    yield head.replace(b"Content-Length: 0\r\n", b"")
    yield b"1\r\nx\r\n" * 60_000


def long_ids(number: int) -> Iterator[bytes]:
    """Requests with ever new ids of many bytes."""
    for index in itertools.count():
        yield request(f"{number}-{index}-".ljust(MAX_HEAD_BYTES, "i"))


def new_names(number: int) -> Iterator[bytes]:
    """Requests with ever new ids, affinity keys and numbers of slots."""
    for index in itertools.count():
        slots = 1 + (number * 100_003 + index) / 1e6
        key = f"{number}-{index}-".ljust(8 * KIBIBYTE, "k")
        yield request(
            f"n{number}-{index}", fields=f"Affinity-Key: {key}\r\nRequest-Info: slots={slots:.6f}\r\n"
        )


def unsound(number: int) -> Iterator[bytes]:
    """Requests of no class, each refused."""
    for index in itertools.count():
        yield request(f"u{number}-{index}", target="nowhere")


def large_ahead(number: int) -> Iterator[bytes]:
    """A request, and much behind it before its answer has come."""
    yield request(f"{WAITING_PREFIX}{number}", target="wait")
    yield b"y" * (240 * KIBIBYTE)


def pipelined_behind(number: int) -> Iterator[bytes]:
    """A request that runs for a while, and as many small requests behind it as are kept."""
    yield request(f"{WAITING_PREFIX}{number}", target="wait")
    block = b"GET /-/ready HTTP/1.1\r\n\r\n"
    yield block * (240 * KIBIBYTE // len(block))


def silent(number: int) -> Iterator[bytes]:
    """Nothing at all."""
    yield b""


def dripping_head(number: int) -> Iterator[bytes]:
    """A head that comes byte by byte."""
    yield from (b"%c" % byte for byte in request(f"d{number}", fields="Long: " + "v" * 400 + "\r\n"))


def whole_bodies(number: int) -> Iterator[bytes]:
    """Whole requests with bodies as large as allowed, one after the other."""
    for index in itertools.count():
        yield request(f"{WAITING_PREFIX}{number}-{index}", target="wait", body=b"b" * (64 * KIBIBYTE))


def chunk_extensions(number: int) -> Iterator[bytes]:
    """A chunked body whose chunks have long extensions."""
    head = request(f"e{number}", fields="Transfer-Encoding: chunked\r\n")
    yield head.replace(b"Content-Length: 0\r\n", b"")
    yield b"1;" + b"e" * (30 * KIBIBYTE) + b"\r\nx\r\n"
    yield (b"1;" + b"e" * 100 + b"\r\nx\r\n") * 4000


def unread_answers(number: int) -> Iterator[bytes]:
    """Requests with large answers, which the client does not read."""
    for index in itertools.count():
        yield request(f"w{number}-{index}", body=b"z" * (60 * KIBIBYTE))


MESSAGES: dict[str, Callable[[int], Iterator[bytes]]] = {
    messages.__name__: messages
    for messages in (
        pipelined_status,
        pipelined_requests,
        many_fields,
        repeated_fields,
        half_a_body,
        slow_body,
        tiny_chunks,
        long_ids,
        new_names,
        unsound,
        large_ahead,
        pipelined_behind,
        silent,
        dripping_head,
        whole_bodies,
        chunk_extensions,
        unread_answers,
    )
}
