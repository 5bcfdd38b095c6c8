"""A table of the ids of requests that may have run, of a fixed size, which several processes may share.

It has two generations. Ids are added to the current one; when it is full, the other one is cleared and
becomes the current one, if it was filled long enough ago. Ids are stored as keyed hashes of 8 bytes, in
buckets.
"""

import os
import struct
import time
from enum import Enum, auto
from hashlib import blake2b
from typing import NamedTuple

from ploverspoke.transport.block_storage import BlockStorage, MemoryStorage

FORMAT = b"pspkids1"
KEY_BYTES = 16
HASH_BYTES = 8
SLOTS_PER_BUCKET = 8
BUCKET = struct.Struct(f"<{SLOTS_PER_BUCKET}Q")
HEADER = struct.Struct(f"<8s{KEY_BYTES}sQQQQQ")
HEADER_BYTES = 128  # reserved for the header
GENERATIONS = 2
MAX_LOAD = 0.6  # ids for each slot; with more, buckets overflow too often
EMPTY = 0


class IdClaim(Enum):
    """What is known about an id that a request brings."""

    NEW = auto()  # it is remembered from now on
    KNOWN = auto()
    NOT_KNOWABLE = auto()  # the table is full of ids that must be kept, or cannot be read or written


class TableHeader(NamedTuple):
    """The state of a table besides its ids."""

    file_format: bytes
    key: bytes  # of the hashes
    buckets: int  # of each generation
    current: int  # number of the generation that new ids are added to
    count_0: int  # ids in each generation
    count_1: int
    filled_at: int  # monotonic ns; when the other generation was filled, 0 if it is empty


class IdTableError(OSError):
    """The storage does not hold a table of this format."""

    def __init__(self, reason: str) -> None:
        """Store the reason."""
        super().__init__(reason)
        self.reason = reason


def buckets_for(size: int) -> int:
    """Return how many buckets each generation has in a table of about `size` bytes."""
    return max(1, size // (GENERATIONS * BUCKET.size))


def table_size(buckets: int) -> int:
    """Return the bytes of a table."""
    return HEADER_BYTES + GENERATIONS * buckets * BUCKET.size


def empty_header(buckets: int) -> bytes:
    """Return the first bytes of an empty table; all others are 0."""
    return HEADER.pack(*TableHeader(FORMAT, os.urandom(KEY_BYTES), buckets, 0, 0, 0, 0))


class RequestIdTable:
    """The ids of requests that may have run."""

    def __init__(self, storage: BlockStorage, min_age: int) -> None:
        """Ids are kept for `min_age` ns at least. Raises IdTableError or another OSError."""
        self.storage = storage
        self.min_age = min_age
        header = self._header()
        self.key, self.buckets = header.key, header.buckets  # they never change

    @classmethod
    def in_memory(cls, size: int, min_age: int) -> "RequestIdTable":
        """Create a table of about `size` bytes that no other process has."""
        buckets = buckets_for(size)
        storage = MemoryStorage(table_size(buckets))
        storage.write(0, empty_header(buckets))
        return cls(storage, min_age)

    def knows(self, request_id: str) -> bool:
        """Whether the id was claimed before. Raises OSError."""
        header, value = self._header(), self._hash(request_id)
        return self._find(header.current, value)[1] or self._is_in_other_generation(header, value)

    def claim(self, request_id: str) -> IdClaim:
        """Remember an id, unless it is known already."""
        try:
            with self.storage.locked():
                return self._claim(request_id)
        except OSError:
            return IdClaim.NOT_KNOWABLE

    def _claim(self, request_id: str) -> IdClaim:
        header, value = self._header(), self._hash(request_id)
        offset, is_known = self._find(header.current, value)
        if is_known or self._is_in_other_generation(header, value):
            return IdClaim.KNOWN
        counts = [header.count_0, header.count_1]
        if counts[header.current] >= int(self.buckets * SLOTS_PER_BUCKET * MAX_LOAD):
            now = time.monotonic_ns()
            # A time in the future was noted before the machine was started again.
            if header.filled_at and 0 <= now - header.filled_at < self.min_age:
                return IdClaim.NOT_KNOWABLE
            header = self._begin_generation(header, now)
            counts = [header.count_0, header.count_1]
            offset, _ = self._find(header.current, value)
        self.storage.write(offset, value.to_bytes(HASH_BYTES, "little"))
        counts[header.current] += 1
        self._write_header(header._replace(count_0=counts[0], count_1=counts[1]))
        return IdClaim.NEW

    def _is_in_other_generation(self, header: TableHeader, value: int) -> bool:
        other = 1 - header.current
        count = header.count_0 if other == 0 else header.count_1
        return bool(count) and self._find(other, value)[1]

    def _begin_generation(self, header: TableHeader, now: int) -> TableHeader:
        current = 1 - header.current
        self.storage.write(self._offset(current, 0), bytes(self.buckets * BUCKET.size))
        header = header._replace(current=current, filled_at=now)
        header = header._replace(count_0=0) if current == 0 else header._replace(count_1=0)
        self._write_header(header)
        return header

    def _find(self, generation: int, value: int) -> tuple[int, bool]:
        """Return the offset of the value, or of the empty slot for it, and whether it is there."""
        for step in range(self.buckets):
            offset = self._offset(generation, (value + step) % self.buckets)
            slots = BUCKET.unpack(self.storage.read(offset, BUCKET.size))
            for index, slot in enumerate(slots):
                if slot in (value, EMPTY):
                    return offset + index * HASH_BYTES, slot == value
        raise IdTableError(reason="the table of request ids has no empty slot")

    def _offset(self, generation: int, bucket: int) -> int:
        return HEADER_BYTES + (generation * self.buckets + bucket) * BUCKET.size

    def _header(self) -> TableHeader:
        header = TableHeader(*HEADER.unpack(self.storage.read(0, HEADER.size)))
        if header.file_format != FORMAT or header.buckets < 1 or header.current not in range(GENERATIONS):
            raise IdTableError(reason="not a table of request ids")
        return header

    def _write_header(self, header: TableHeader) -> None:
        self.storage.write(0, HEADER.pack(*header))

    def _hash(self, request_id: str) -> int:
        data = request_id.encode("latin-1", "replace")
        digest = blake2b(data, digest_size=HASH_BYTES, key=self.key).digest()
        return int.from_bytes(digest, "little") or 1
