"""What one replica keeps, in SQLite: its vote, its log, a snapshot, and which store it belongs to.

A batch is one transaction with one sync. Entries and the snapshot carry a checksum, the file a version.
What cannot be
written is not acknowledged: the caller gets `StorageError` and stops until `reopen` succeeds; what cannot be
read with its checksum is `CorruptionError`, and the replica does not start on it.
"""

import secrets
import sqlite3
from pathlib import Path
from typing import Any
from zlib import crc32

import msgspec

from .log import Entry, Log
from .membership import Members
from .replica import WriteBatch

FORMAT = 1


class StorageError(Exception):
    """Nothing more can be written for now: the disk is full, or failed at a sync."""


class CorruptionError(Exception):
    """What is on the disk is not what was written there."""


class ClusterMismatchError(Exception):
    """The folder holds another store, another replica's, or another version's."""


TABLES = """
create table if not exists told (key text primary key, value blob) without rowid;
create table if not exists entries (at integer primary key, term integer, body blob, sum integer);
create table if not exists snapshot (one integer primary key, at integer, term integer, members blob,
                                     state blob, sum integer);
"""


def restore(folder: Path, backup: Path, me: str) -> "ReplicaStorage":
    """Put a backup, of whichever replica, in an empty folder as the disk of `me`; open, to be closed.

    It is another disk than the one that was: nobody takes it for what had promised what it has forgotten.
    Raises ClusterMismatchError where the folder is not empty, CorruptionError, or StorageError; then
    nothing is left there.
    """
    target = folder / "store.db"
    if target.exists():
        raise ClusterMismatchError(f"{target} exists: it is never written over")
    folder.mkdir(parents=True, exist_ok=True)
    try:
        source, copy = sqlite3.connect(backup), sqlite3.connect(target)
        try:
            source.backup(copy)
        finally:
            source.close()
            copy.close()
        disk = ReplicaStorage(folder)
        disk.open()
        for key, value in (("disk", secrets.token_hex(8)), ("me", me), ("vote", (disk.term + 1, ""))):
            disk.keep(key, value)
        return disk
    except (CorruptionError, StorageError, ClusterMismatchError, sqlite3.Error) as error:
        target.unlink()
        if isinstance(error, sqlite3.Error):
            raise CorruptionError(f"{backup}: {error}") from None
        raise


class ReplicaStorage:
    """Used by one thread at a time."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.path = folder / "store.db"
        self.db: sqlite3.Connection | None = None
        self.term = 0
        self.vote = ""
        self.members: Members = {}
        self.log = Log()
        self.state = b""
        self.disk = ""
        self.me = ""
        self.fingerprint = ""
        self.encoder = msgspec.msgpack.Encoder()
        self.most_pages = 0  # SQLite's own bound on the file; 0: the disk's

    # ---- Start ----

    def open(self) -> None:
        """Raises ClusterMismatchError, CorruptionError or StorageError."""
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            self._connect()
            self._read()
        except (sqlite3.DatabaseError, OSError) as error:
            self.close()
            if isinstance(error, sqlite3.OperationalError | OSError):
                raise StorageError(str(error)) from None
            raise CorruptionError(f"{self.path}: {error}") from None

    def _connect(self) -> None:
        db = self.db = sqlite3.connect(self.path, isolation_level=None, check_same_thread=False)
        db.execute("pragma journal_mode = wal")
        db.execute("pragma synchronous = full")
        db.execute("pragma locking_mode = exclusive")
        if self.most_pages:
            db.execute(f"pragma max_page_count = {self.most_pages}")
        db.executescript(TABLES)
        if self._get("format") is None:
            db.execute("begin immediate")
            self._set("format", FORMAT)
            self._set("disk", secrets.token_hex(8))
            db.execute("commit")
        if self._get("format") != FORMAT:
            raise ClusterMismatchError(
                f"{self.path}: format {self._get('format')}, this version reads {FORMAT}"
            )

    def _read(self) -> None:
        assert self.db is not None
        self.disk = self._get("disk")
        self.me = self._get("me") or ""
        self.fingerprint = self._get("fingerprint") or ""
        self.term, self.vote = self._get("vote") or (0, "")
        self.members = self._get("first members") or {}
        self.log = Log()
        self.state = b""
        row = self.db.execute("select at, term, members, state, sum from snapshot").fetchone()
        if row is not None:
            at, term, members, state, told = row
            if crc32(state, crc32(members)) != told:
                raise CorruptionError(f"{self.path}: the snapshot at {at} fails its checksum")
            self.log = Log(at, term)
            self.members = msgspec.msgpack.decode(members)
            self.state = state
        wanted = self.log.snapshot_index + 1
        for at, term, body, told in self.db.execute("select at, term, body, sum from entries order by at"):
            if at < wanted:
                continue
            if at != wanted:
                raise CorruptionError(f"{self.path}: entry {wanted} is missing")
            if crc32(body, at) != told:
                raise CorruptionError(f"{self.path}: entry {at} fails its checksum")
            kind, data = msgspec.msgpack.decode(body)
            self.log.append([Entry(at, term, kind, data)])
            wanted += 1

    def begin(self, me: str, fingerprint: str, members: Members) -> None:
        """The first start of a store. Raises ClusterMismatchError where there is one already."""
        if self.me:
            raise ClusterMismatchError(f"{self.path} is the store of {self.me} already")
        assert self.db is not None
        self.db.execute("begin immediate")
        for key, value in (("me", me), ("fingerprint", fingerprint), ("first members", members)):
            self._set(key, value)
        self.db.execute("commit")
        self._read()

    # ---- Writes ----

    def write(self, batch: WriteBatch) -> None:
        """All of it or nothing, durable when this returns. Raises StorageError."""
        if self.db is None:
            raise StorageError("not open")
        try:
            self.db.execute("begin immediate")
            if batch.vote is not None:
                self._set("vote", batch.vote)
            if batch.snapshot is not None:
                self.db.execute("delete from entries")
                self._put_snapshot(*batch.snapshot)
            if batch.cut_from:
                self.db.execute("delete from entries where at >= ?", (batch.cut_from,))
            self.db.executemany("insert into entries values (?, ?, ?, ?)", map(self._row, batch.entries))
            self.db.execute("commit")
        except (sqlite3.Error, OSError) as error:
            self._undo()
            raise StorageError(str(error)) from None

    def keep_snapshot(self, at: int, term: int, members: Members, state: bytes) -> None:
        """A snapshot of our own state: the entries up to it go. Raises StorageError."""
        if self.db is None:
            raise StorageError("not open")
        try:
            self.db.execute("begin immediate")
            self._put_snapshot(at, term, members, state)
            self.db.execute("delete from entries where at <= ?", (at,))
            self.db.execute("commit")
        except (sqlite3.Error, OSError) as error:
            self._undo()
            raise StorageError(str(error)) from None

    def keep(self, key: str, value: Any) -> None:
        """Something of this replica's own. Raises StorageError."""
        if self.db is None:
            raise StorageError("not open")
        try:
            self._set(key, value)
        except (sqlite3.Error, OSError) as error:
            self._undo()
            raise StorageError(str(error)) from None

    def kept(self, key: str) -> Any:
        """None where nothing was kept."""
        return self._get(key)

    def reopen(self) -> None:
        """After trouble: what is on the disk is what counts."""
        self.close()
        self.open()

    def close(self) -> None:
        db, self.db = self.db, None
        if db is not None:
            db.close()

    def size(self) -> int:
        """Bytes of the file and its journal."""
        return sum(path.stat().st_size for path in self.folder.glob("store.db*"))

    def backup(self, to: Path) -> None:
        """A copy of the whole as it is now, made while it is in use."""
        assert self.db is not None
        copy = sqlite3.connect(to)
        try:
            self.db.backup(copy)
        finally:
            copy.close()

    # ---- Inside ----

    def _put_snapshot(self, at: int, term: int, members: Members, state: bytes) -> None:
        assert self.db is not None
        told = self.encoder.encode(members)
        values = (at, term, told, state, crc32(state, crc32(told)))
        self.db.execute("insert or replace into snapshot values (1, ?, ?, ?, ?, ?)", values)

    def _row(self, entry: Entry) -> tuple[int, int, bytes, int]:
        body = self.encoder.encode((entry.kind, entry.data))
        return entry.at, entry.term, body, crc32(body, entry.at)

    def _get(self, key: str) -> Any:
        assert self.db is not None
        row = self.db.execute("select value from told where key = ?", (key,)).fetchone()
        return None if row is None else msgspec.msgpack.decode(row[0])

    def _set(self, key: str, value: object) -> None:
        assert self.db is not None
        self.db.execute("insert or replace into told values (?, ?)", (key, self.encoder.encode(value)))

    def _undo(self) -> None:
        if self.db is not None and self.db.in_transaction:
            try:
                self.db.execute("rollback")
            except sqlite3.Error:
                self.close()
