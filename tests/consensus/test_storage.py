"""The storage of a replica: restarts, torn writes, damage, full disks, another replica's folder."""

import sqlite3
from pathlib import Path

import pytest

from ploverspoke.consensus.log import Entry, EntryKind, Snapshot
from ploverspoke.consensus.membership import Member, Members
from ploverspoke.consensus.persisted_state import WriteBatch
from ploverspoke.consensus.storage import ClusterMismatchError, CorruptionError, ReplicaStorage, StorageError

MEMBERS: Members = {f"{name}.1": Member(name, "", "", votes=True) for name in ("a", "b", "c")}


def opened_storage(folder: Path) -> ReplicaStorage:
    """Return the storage in a folder, set up if it is new."""
    storage = ReplicaStorage(folder)
    storage.open()
    if not storage.replica_id:
        storage.initialize("a.1", "mark", MEMBERS)
    return storage


def batch(first: int, count: int, size: int = 10, **fields: object) -> WriteBatch:
    """Return a batch of `count` entries from index `first` on; `fields` are its other attributes."""
    made = WriteBatch()
    made.entries = [
        Entry(index, 1, EntryKind.DATA, [f"e{index}", "x" * size]) for index in range(first, first + count)
    ]
    for key, value in fields.items():
        setattr(made, key, value)
    return made


def test_written_state_is_read_after_a_restart(tmp_path: Path) -> None:
    storage = opened_storage(tmp_path)
    storage.write(batch(1, 5, vote=(3, "b.1")))
    storage.write(batch(4, 3, truncate_from=4))
    storage_id = storage.persisted.storage_id
    storage.close()
    again = opened_storage(tmp_path)
    state = again.persisted
    assert (state.current_term, state.voted_for, state.log.last_index()) == (3, "b.1", 6)
    assert state.storage_id == storage_id
    again.save_snapshot(Snapshot(5, 1, MEMBERS, b"state"))
    again.close()
    reopened = opened_storage(tmp_path)
    assert (reopened.persisted.log.snapshot_index, reopened.persisted.log.last_index()) == (5, 6)
    assert reopened.persisted.snapshot_data == b"state"
    assert reopened.persisted.members == MEMBERS


def test_torn_batch_is_not_read_in_part(tmp_path: Path) -> None:
    storage = opened_storage(tmp_path)
    storage.write(batch(1, 3))
    storage.write(batch(4, 200, size=500))
    wal = tmp_path / "store.db-wal"
    log_bytes = wal.read_bytes()
    base = (tmp_path / "store.db").read_bytes()
    storage.close()
    last_indexes = set()
    for cut in (len(log_bytes), len(log_bytes) - 1, len(log_bytes) - 5000, len(log_bytes) // 2, 0):
        folder = tmp_path / f"cut{cut}"
        folder.mkdir()
        (folder / "store.db").write_bytes(base)
        (folder / "store.db-wal").write_bytes(log_bytes[:cut])
        try:
            torn = ReplicaStorage(folder)
            torn.open()
            last_indexes.add(torn.persisted.log.last_index())
            torn.close()
        except (CorruptionError, StorageError):
            last_indexes.add(0)
    assert last_indexes <= {203, 3, 0} and {203, 3} <= last_indexes


@pytest.mark.parametrize(
    "damage", ["update entries set body = x'00' where at = 2", "delete from entries where at = 2"]
)
def test_damage_is_found_when_storage_opens(damage: str, tmp_path: Path) -> None:
    storage = opened_storage(tmp_path)
    storage.write(batch(1, 3))
    storage.close()
    with sqlite3.connect(tmp_path / "store.db") as database:
        database.execute(damage)
    with pytest.raises(CorruptionError):
        ReplicaStorage(tmp_path).open()


def test_full_disk_acknowledges_nothing_and_works_again_when_there_is_room(tmp_path: Path) -> None:
    storage = opened_storage(tmp_path)
    storage.max_pages = 40
    storage.reopen()
    written = 0
    with pytest.raises(StorageError):
        while True:
            storage.write(batch(written + 1, 10, size=2000))
            written += 10
    storage.max_pages = 0
    storage.reopen()
    assert storage.persisted.log.last_index() == written > 0
    storage.write(batch(written + 1, 10))
    assert last_index_after_restart(storage, tmp_path) == written + 10


def last_index_after_restart(storage: ReplicaStorage, folder: Path) -> int:
    storage.close()
    return opened_storage(folder).persisted.log.last_index()


def test_storage_of_another_replica_is_refused(tmp_path: Path) -> None:
    storage = opened_storage(tmp_path)
    with pytest.raises(ClusterMismatchError):
        storage.initialize("b.1", "mark", MEMBERS)


def test_value_that_cannot_be_encoded_leaves_no_transaction_open(tmp_path: Path) -> None:
    # Guards against a replica that stood aside with "the disk cannot be written", as each later write
    # failed in the transaction that one endpoint list or answer with half a surrogate pair had left open.
    storage = opened_storage(tmp_path)
    with pytest.raises(UnicodeEncodeError):
        storage.save_value("roster", {"id": "w\ud83d"})
    bad = batch(1, 2)
    bad.entries.append(Entry(3, 1, EntryKind.DATA, ["\ud83d"]))
    with pytest.raises(UnicodeEncodeError):
        storage.write(bad)
    storage.write(batch(1, 2))
    assert last_index_after_restart(storage, tmp_path) == 2
