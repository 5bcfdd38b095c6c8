"""The disk, the frames, the ledger and what is recovered: each failure that they are built for."""

import sqlite3
from pathlib import Path
from typing import Any

import pytest

from ploverspoke.consensus.framing import MAX_BODY_BYTES, FrameCodec, FrameError
from ploverspoke.consensus.log import Entry, EntryKind, Snapshot
from ploverspoke.consensus.membership import Member, Members, differ_by_one, fingerprint
from ploverspoke.consensus.persisted_state import WriteBatch
from ploverspoke.consensus.storage import ClusterMismatchError, CorruptionError, ReplicaStorage, StorageError

MEMBERS: Members = {f"{name}.1": Member(name, "", "", votes=True) for name in ("a", "b", "c")}
SECRET = b"sixteen bytes it has"


def disk_at(folder: Path) -> ReplicaStorage:
    disk = ReplicaStorage(folder)
    disk.open()
    if not disk.replica_id:
        disk.initialize("a.1", "mark", MEMBERS)
    return disk


def batch(first: int, count: int, size: int = 10, **more: Any) -> WriteBatch:
    made = WriteBatch()
    made.entries = [Entry(first + n, 1, EntryKind.DATA, [f"e{first + n}", "x" * size]) for n in range(count)]
    for key, value in more.items():
        setattr(made, key, value)
    return made


def test_what_was_written_is_there_after_a_restart(tmp_path: Path) -> None:
    disk = disk_at(tmp_path)
    disk.write(batch(1, 5, vote=(3, "b.1")))
    disk.write(batch(4, 3, truncate_from=4))
    name = disk.persisted.storage_id
    disk.close()
    again = disk_at(tmp_path)
    state = again.persisted
    assert (state.current_term, state.voted_for, state.log.last_index(), state.storage_id) == (
        3,
        "b.1",
        6,
        name,
    )
    again.save_snapshot(Snapshot(5, 1, MEMBERS, b"state"))
    again.close()
    last = disk_at(tmp_path)
    assert (last.persisted.log.snapshot_index, last.persisted.log.last_index()) == (5, 6)
    assert last.persisted.snapshot_data == b"state"
    assert last.persisted.members == MEMBERS


def test_a_batch_that_was_torn_off_is_not_there_in_part(tmp_path: Path) -> None:
    disk = disk_at(tmp_path)
    disk.write(batch(1, 3))
    disk.write(batch(4, 200, size=500))
    wal = tmp_path / "store.db-wal"
    kept = wal.read_bytes()
    base = (tmp_path / "store.db").read_bytes()
    disk.close()
    found = set()
    for cut in (len(kept), len(kept) - 1, len(kept) - 5000, len(kept) // 2, 0):
        folder = tmp_path / f"cut{cut}"
        folder.mkdir()
        (folder / "store.db").write_bytes(base)
        (folder / "store.db-wal").write_bytes(kept[:cut])
        try:
            torn = ReplicaStorage(folder)
            torn.open()
            found.add(torn.persisted.log.last_index())
            torn.close()
        except (CorruptionError, StorageError):
            found.add(0)
    assert found <= {203, 3, 0} and 203 in found and 3 in found


@pytest.mark.parametrize(
    "what", ["update entries set body = x'00' where at = 2", "delete from entries where at = 2"]
)
def test_damage_is_found_at_start(what: str, tmp_path: Path) -> None:
    disk = disk_at(tmp_path)
    disk.write(batch(1, 3))
    disk.close()
    with sqlite3.connect(tmp_path / "store.db") as db:
        db.execute(what)
    with pytest.raises(CorruptionError):
        ReplicaStorage(tmp_path).open()


def test_a_full_disk_acknowledges_nothing_and_serves_again_when_there_is_room(tmp_path: Path) -> None:
    disk = disk_at(tmp_path)
    disk.max_pages = 40
    disk.reopen()
    written = 0
    with pytest.raises(StorageError):
        while True:
            disk.write(batch(written + 1, 10, size=2000))
            written += 10
    disk.max_pages = 0
    disk.reopen()
    assert disk.persisted.log.last_index() == written > 0
    disk.write(batch(written + 1, 10))
    assert disk_last(disk, tmp_path) == written + 10


def disk_last(disk: ReplicaStorage, folder: Path) -> int:
    disk.close()
    return disk_at(folder).persisted.log.last_index()


def test_another_replicas_folder_is_refused(tmp_path: Path) -> None:
    disk = disk_at(tmp_path)
    with pytest.raises(ClusterMismatchError):
        disk.initialize("b.1", "mark", MEMBERS)


# ---- FrameCodec ----


def pair(other_secret: bytes = SECRET) -> tuple[FrameCodec, FrameCodec]:
    one, other = (
        FrameCodec(SECRET, {"id": "a.1", "store": "s"}),
        FrameCodec(other_secret, {"id": "b.1", "store": "s"}),
    )
    other.decode(one.greeting_frame())
    one.decode(other.greeting_frame())
    return one, other


def test_frames_arrive_whole_however_they_are_cut() -> None:
    one, other = pair()
    sent = [{"n": n, "d": b"x" * n} for n in range(40)]
    data = b"".join(one.encode(message) for message in sent)
    assert [m for at in range(0, len(data), 7) for m in other.decode(data[at : at + 7])] == sent
    assert other.peer_greeting is not None and other.peer_greeting["id"] == "a.1"


def test_forged_changed_repeated_and_left_out_frames_are_refused() -> None:
    with pytest.raises(FrameError):
        pair(b"another secret, as long")
    one, other = pair()
    first, second = one.encode([1]), one.encode([2])
    for data in (first[:-1] + b"\xff", second, (MAX_BODY_BYTES + 1).to_bytes(4, "big") + bytes(40)):
        _, fresh = pair()
        with pytest.raises(FrameError):
            fresh.decode(data)
    other.decode(first)
    with pytest.raises(FrameError):
        other.decode(first)
    mirror = FrameCodec(SECRET, {"id": "a.1", "store": "s"})
    with pytest.raises(FrameError):
        mirror.decode(mirror.greeting_frame())


# ---- Membership ----


def test_only_one_voter_may_change_at_a_time() -> None:
    learner: Members = {**MEMBERS, "d.1": Member("d", "", "", votes=False)}
    voter: Members = {**MEMBERS, "d.1": Member("d", "", "", votes=True)}
    assert differ_by_one(MEMBERS, learner) and differ_by_one(learner, voter)
    assert not differ_by_one(MEMBERS, {"a.1": MEMBERS["a.1"]})
    assert fingerprint("x", MEMBERS) != fingerprint("x", {"a.1": MEMBERS["a.1"], "b.1": MEMBERS["b.1"]})
