"""What dispatchers tell one another, in bytes as `docs/messages.md` has them."""

from collections import Counter
from collections.abc import Collection, Iterable
from struct import unpack_from
from zlib import crc32

from .http_messages import HttpSyntaxError

VERSION = 1
MOST_BYTES = 255  # 256 may be sent; five and twice as many as fit
HEAD = 5  # version, check, zone, number, lateness


def mark_of(worker: str) -> int:
    """The two bytes that stand for a worker."""
    return crc32(worker.encode()) & 0xFFFF


def marks_of(workers: Iterable[str]) -> dict[int, str]:
    """Who is meant by which mark; one that two workers share means neither."""
    names = list(workers)
    often = Counter(map(mark_of, names))
    return {mark_of(name): name for name in names if often[mark_of(name)] == 1}


def write_gossip(zone: int, number: int, lateness: float, held: Iterable[str]) -> bytes:
    """What does not fit is left out."""
    marks = b"".join(mark_of(worker).to_bytes(2) for worker in held)
    rest = bytes((zone & 0xFF, number, round(255 * lateness))) + marks[: MOST_BYTES - HEAD]
    return bytes((VERSION, _check(rest))) + rest


def read_gossip(octets: bytes, marks: dict[int, str]) -> tuple[int, int, float, list[str]]:
    """The sender's zone, the telling's number, the lateness and the workers, but for unknown ones.

    Raises HttpSyntaxError.
    """
    if not HEAD <= len(octets) <= MOST_BYTES or (len(octets) - HEAD) % 2:
        raise HttpSyntaxError(f"a telling of {len(octets)} bytes")
    if octets[0] != VERSION or octets[1] != _check(octets[2:]):
        raise HttpSyntaxError("a telling of another version, or spoilt")
    named = unpack_from(f">{(len(octets) - HEAD) // 2}H", octets, HEAD)
    return octets[2], octets[3], octets[4] / 255, [marks[mark] for mark in named if mark in marks]


def _check(rest: bytes) -> int:
    return crc32(rest, VERSION) & 0xFF


class Reader:
    """Reads what comes to one dispatcher, by the workers that it knows."""

    def __init__(self) -> None:
        self.marks: dict[int, str] = {}
        self.known = 0  # workers are added and never taken out

    def read(self, octets: bytes, workers: Collection[str]) -> tuple[int, int, float, list[str]]:
        """Raises HttpSyntaxError."""
        if self.known != len(workers):
            self.known = len(workers)
            self.marks = marks_of(workers)
        return read_gossip(octets, self.marks)
