"""What dispatchers tell one another, in bytes as `docs/messages.md` has them."""

from collections import Counter
from collections.abc import Iterable
from zlib import crc32

from .heads import Garbled

VERSION = 1
MOST_BYTES = 256
HEAD = 4  # version, zone, number, check


def mark_of(worker: str) -> int:
    """The two bytes that stand for a worker."""
    return crc32(worker.encode()) & 0xFFFF


def marks_of(workers: Iterable[str]) -> dict[int, str]:
    """Who is meant by which mark; one that two workers share means neither."""
    names = list(workers)
    often = Counter(map(mark_of, names))
    return {mark_of(name): name for name in names if often[mark_of(name)] == 1}


def write_telling(zone: int, number: int, held: Iterable[str]) -> bytes:
    """What does not fit is left out."""
    body = b"".join(mark_of(worker).to_bytes(2) for worker in held)[: MOST_BYTES - HEAD]
    return bytes((VERSION, zone & 0xFF, number, _check(zone & 0xFF, number, body))) + body


def read_telling(octets: bytes, marks: dict[int, str]) -> tuple[int, int, list[str]]:
    """The sender's zone, the telling's number and the workers named, but for unknown ones. Raises Garbled."""
    if len(octets) < HEAD or len(octets) > MOST_BYTES or len(octets) % 2:
        raise Garbled(f"a telling of {len(octets)} bytes")
    version, zone, number, check = octets[:HEAD]
    body = octets[HEAD:]
    if version != VERSION or check != _check(zone, number, body):
        raise Garbled("a telling of another version, or spoilt")
    found = (marks.get(int.from_bytes(body[at : at + 2])) for at in range(0, len(body), 2))
    return zone, number, [worker for worker in found if worker is not None]


def _check(zone: int, number: int, body: bytes) -> int:
    return crc32(bytes((VERSION, zone, number)) + body) & 0xFF
