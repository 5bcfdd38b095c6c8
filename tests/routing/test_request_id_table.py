"""The table of request ids forgets nothing that must be kept, shared or not, and says what it cannot know."""

import fcntl
import random
from pathlib import Path

import pytest

from ploverspoke.routing.request_id_table import (
    BUCKET,
    GENERATIONS,
    MAX_LOAD,
    SLOTS_PER_BUCKET,
    IdClaim,
    RequestIdTable,
    empty_header,
    table_size,
)
from ploverspoke.service.shared_request_ids import open_request_ids
from ploverspoke.transport.block_storage import FileStorage, MemoryStorage, create_file

BUCKETS = 16
CAPACITY = int(BUCKETS * SLOTS_PER_BUCKET * MAX_LOAD)  # ids of one generation
HOUR = 3600 * 10**9


def open_pair(folder: Path) -> list[RequestIdTable]:
    path = folder / "ids"
    assert create_file(path, table_size(BUCKETS), empty_header(BUCKETS))
    assert not create_file(path, table_size(BUCKETS), empty_header(BUCKETS))
    return [RequestIdTable(FileStorage(path), HOUR) for _ in range(2)]


@pytest.mark.parametrize("seed", range(5))
def test_two_processes_never_both_claim_an_id(seed: int, tmp_path: Path) -> None:
    random_numbers, tables = random.Random(seed), open_pair(tmp_path)
    claimed: set[str] = set()
    for _ in range(4 * CAPACITY):
        request_id, table = str(random_numbers.randrange(3 * CAPACITY)), random_numbers.choice(tables)
        assert table.knows(request_id) == (request_id in claimed)
        expected = IdClaim.KNOWN if request_id in claimed else IdClaim.NEW
        if expected is IdClaim.NEW and len(claimed) == GENERATIONS * CAPACITY:
            expected = IdClaim.NOT_KNOWABLE  # both generations are full of ids that must be kept
        assert table.claim(request_id) is expected
        if expected is IdClaim.NEW:
            claimed.add(request_id)
    assert len(claimed) == GENERATIONS * CAPACITY


def test_oldest_ids_make_room_once_they_may_be_forgotten() -> None:
    table = RequestIdTable.in_memory(GENERATIONS * BUCKETS * BUCKET.size, min_age=0)
    names = [f"r{number}" for number in range(10 * CAPACITY)]
    for index, name in enumerate(names):
        assert table.claim(name) is IdClaim.NEW
        assert all(table.knows(kept) for kept in names[max(0, index - CAPACITY + 1) : index])


def test_what_cannot_be_read_written_or_locked_is_not_knowable(tmp_path: Path) -> None:
    class FailingStorage(MemoryStorage):
        """A disk that is full."""

        def write(self, offset: int, data: bytes) -> None:
            if offset:
                raise OSError(28, "No space left on device")
            super().write(offset, data)

    storage = FailingStorage(table_size(BUCKETS))
    storage.write(0, empty_header(BUCKETS))
    assert RequestIdTable(storage, HOUR).claim("a") is IdClaim.NOT_KNOWABLE
    first, second = open_pair(tmp_path)
    holder = first.storage
    assert isinstance(holder, FileStorage)
    fcntl.flock(holder.descriptor, fcntl.LOCK_EX)  # a process that was stopped while it held the lock
    assert second.claim("a") is IdClaim.NOT_KNOWABLE
    fcntl.flock(holder.descriptor, fcntl.LOCK_UN)
    assert second.claim("a") is IdClaim.NEW and first.claim("a") is IdClaim.KNOWN


def test_an_unusable_file_leaves_a_table_that_is_not_shared(tmp_path: Path) -> None:
    opened = open_request_ids(str(tmp_path), "127.0.0.1:1", 4096, HOUR)
    assert opened.is_shared and opened.is_new and opened.table.claim("a") is IdClaim.NEW
    again = open_request_ids(str(tmp_path), "127.0.0.1:1", 4096, HOUR)
    assert again.is_shared and not again.is_new and again.table.claim("a") is IdClaim.KNOWN
    [path] = tmp_path.iterdir()
    path.write_bytes(b"something else" * 100)
    opened = open_request_ids(str(tmp_path), "127.0.0.1:1", 4096, HOUR)
    assert not opened.is_shared and opened.table.claim("a") is IdClaim.NEW
    assert not open_request_ids(str(tmp_path / "missing"), "127.0.0.1:1", 4096, HOUR).is_shared
