"""Encoding of load gossip between dispatchers as datagrams, as defined in `docs/messages.md`.

A datagram has one byte each for version, checksum, zone, sequence number and lateness, then two bytes for
each slot that the sender has in flight: the short hash of the worker.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from struct import unpack_from
from typing import NamedTuple
from zlib import crc32

from .errors import GossipSyntaxError

VERSION = 1
MAX_MESSAGE_SIZE = 255  # bytes; 256 may be sent, but the size of a message is always odd
HEADER_SIZE = 5  # bytes
HASH_SIZE = 2  # bytes
LATENESS_STEPS = 255  # a lateness from 0 to 1 is sent as a whole number from 0 to this
BYTE_MASK = 0xFF
HASH_MASK = 0xFFFF


class GossipMessage(NamedTuple):
    """The load that one dispatcher reports to others."""

    zone: int  # of the sender
    sequence: int  # 0 for the first message after a start, then 1 to 255, and 1 again
    lateness: float  # mean wait of the sender's latest starts; 1: as long as the most urgent class can wait
    workers: list[str]  # one entry for each slot that the sender has in flight


def short_hash(worker: str) -> int:
    """Return the 16-bit hash that represents a worker in a message."""
    return crc32(worker.encode()) & HASH_MASK


def workers_by_hash(workers: Iterable[str]) -> dict[int, str]:
    """Return the workers by their short hash, without hashes that two of them share."""
    names = list(workers)
    uses = Counter(map(short_hash, names))
    return {short_hash(name): name for name in names if uses[short_hash(name)] == 1}


def encode_gossip(message: GossipMessage) -> bytes:
    """Return the bytes of a message; workers that do not fit are left out."""
    hashes = b"".join(short_hash(worker).to_bytes(HASH_SIZE) for worker in message.workers)
    header = bytes((message.zone & BYTE_MASK, message.sequence, round(LATENESS_STEPS * message.lateness)))
    payload = header + hashes[: MAX_MESSAGE_SIZE - HEADER_SIZE]
    return bytes((VERSION, _checksum(payload))) + payload


def decode_gossip(data: bytes, known_workers: Mapping[int, str]) -> GossipMessage:
    """Decode a message; workers whose short hash is not in `known_workers` are left out.

    Raises GossipSyntaxError.
    """
    if not HEADER_SIZE <= len(data) <= MAX_MESSAGE_SIZE or (len(data) - HEADER_SIZE) % HASH_SIZE:
        raise GossipSyntaxError(reason=f"invalid message size: {len(data)} bytes")
    if data[0] != VERSION or data[1] != _checksum(data[2:]):
        raise GossipSyntaxError(reason="unknown version or wrong checksum")
    hashes = unpack_from(f">{(len(data) - HEADER_SIZE) // HASH_SIZE}H", data, HEADER_SIZE)
    workers = [known_workers[value] for value in hashes if value in known_workers]
    _, _, zone, sequence, lateness = data[:HEADER_SIZE]
    return GossipMessage(zone, sequence, lateness / LATENESS_STEPS, workers)


def _checksum(payload: bytes) -> int:
    return crc32(payload, VERSION) & BYTE_MASK


class GossipReader:
    """Decodes the messages that a dispatcher receives, using the workers that it knows."""

    def __init__(self) -> None:
        """Start without known workers."""
        self.by_hash: dict[int, str] = {}
        self.known_count = 0  # workers are only ever added, so a changed count shows that there are new ones

    def read(self, data: bytes, workers: Collection[str]) -> GossipMessage:
        """Decode a message, with `workers` as the known workers. Raises GossipSyntaxError."""
        if self.known_count != len(workers):
            self.known_count = len(workers)
            self.by_hash = workers_by_hash(workers)
        return decode_gossip(data, self.by_hash)
