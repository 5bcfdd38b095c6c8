"""The durable state of one replica, in SQLite: term and vote, log, snapshot, and the identity of its cluster.

A batch is one transaction with one sync. Entries and the snapshot have a checksum, and the file has a format
version. A failed write is not acknowledged: the caller gets `StorageError` and stops until `reopen`
succeeds. Data that fails its checksum raises `CorruptionError`, and the replica does not start with it.
"""

import secrets
import sqlite3
from collections.abc import Iterator
from contextlib import closing, contextmanager
from pathlib import Path
from typing import Self, TypeVar
from zlib import crc32

import msgspec

from . import storage_schema as schema
from .errors import ConsensusError
from .log import Entry, EntryKind, Log, Snapshot, with_typed_members
from .membership import Members
from .persisted_state import PersistedState, WriteBatch

ValueT = TypeVar("ValueT")

NOT_OPEN = "not open"


class StorageError(ConsensusError):
    """The storage cannot be written at present: the disk is full, a sync failed, or the file is not open."""

    def __init__(self, reason: str) -> None:
        """Keep the reason, as the operating system or SQLite gives it."""
        super().__init__(reason)
        self.reason = reason


class CorruptionError(ConsensusError):
    """The file does not contain what was written to it."""

    def __init__(self, path: Path, detail: str) -> None:
        """Keep the path of the file, and what is wrong in it."""
        super().__init__(f"{path}: {detail}")
        self.path = path
        self.detail = detail


class ClusterMismatchError(ConsensusError):
    """The folder holds the state of another cluster, another replica or another format version."""

    def __init__(self, path: Path, detail: str) -> None:
        """Keep the path of the file; `detail` completes the sentence that begins with the path."""
        super().__init__(f"{path} {detail}")
        self.path = path
        self.detail = detail


def restore_from_backup(folder: Path, backup: Path, replica_id: str) -> "ReplicaStorage":
    """Restore a backup of any replica into an empty folder as the storage of `replica_id`, and open it.

    It gets a new storage id, since it lacks what the original storage acknowledged after the backup. Raises
    ClusterMismatchError if the folder holds a storage already, CorruptionError, or StorageError; a partly
    restored file is deleted.
    """
    target = folder / schema.DATABASE_FILE
    if target.exists():
        raise ClusterMismatchError(target, "exists: it is never written over")
    folder.mkdir(parents=True, exist_ok=True)
    storage = ReplicaStorage(folder)
    try:
        with closing(sqlite3.connect(backup)) as source, closing(sqlite3.connect(target)) as copy:
            source.backup(copy)
        storage.open()
        storage.save_value(schema.STORAGE_ID_KEY, secrets.token_hex(schema.STORAGE_ID_BYTES))
        storage.save_value(schema.REPLICA_ID_KEY, replica_id)
        storage.save_value(schema.VOTE_KEY, (storage.persisted.current_term + 1, ""))
    except sqlite3.Error as error:
        storage.close()
        target.unlink()
        raise CorruptionError(backup, str(error)) from error
    except BaseException:
        storage.close()
        target.unlink()
        raise
    return storage


class ReplicaStorage:
    """The SQLite file of one replica. To be used by one thread at a time."""

    def __init__(self, folder: Path) -> None:
        """Prepare the storage in `folder`; nothing is opened yet."""
        self.folder = folder
        self.path = folder / schema.DATABASE_FILE
        self.connection: sqlite3.Connection | None = None
        self.persisted = PersistedState()  # as read by `open`
        self.replica_id = ""  # "": the storage is empty
        self.cluster_fingerprint = ""
        self.max_pages = 0  # limit of the file in SQLite pages; 0: limited by the disk alone
        self._encoder = msgspec.msgpack.Encoder()

    def __enter__(self) -> Self:
        """Open the file; see `open`."""
        self.open()
        return self

    def __exit__(self, *error: object) -> None:
        """Close the file."""
        self.close()

    # ---- Opening ----

    def open(self) -> None:
        """Open the file and read it. Raises ClusterMismatchError, CorruptionError or StorageError."""
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            self._connect()
            self._load_state()
        except (sqlite3.OperationalError, OSError) as error:
            self.close()
            raise StorageError(str(error)) from error
        except sqlite3.DatabaseError as error:
            self.close()
            raise CorruptionError(self.path, str(error)) from error
        except (msgspec.DecodeError, ValueError) as error:
            self.close()
            raise CorruptionError(self.path, f"a value cannot be decoded: {error}") from error
        except ConsensusError:
            self.close()
            raise

    def reopen(self) -> None:
        """Close the file, open it and read it again. Raises the same errors as `open`."""
        self.close()
        self.open()

    def close(self) -> None:
        """Close the file, if it is open."""
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close()

    def initialize(self, replica_id: str, cluster_fingerprint: str, members: Members) -> None:
        """Set up the storage of a new replica. Raises ClusterMismatchError if that was done before."""
        if self.replica_id:
            raise ClusterMismatchError(self.path, f"is the store of {self.replica_id} already")
        with self._transaction():
            self._put(schema.REPLICA_ID_KEY, replica_id)
            self._put(schema.FINGERPRINT_KEY, cluster_fingerprint)
            self._put(schema.FIRST_MEMBERS_KEY, members)
        self._load_state()

    def _connect(self) -> None:
        connection = sqlite3.connect(self.path, isolation_level=None, check_same_thread=False)
        self.connection = connection
        connection.execute("pragma journal_mode = wal")
        connection.execute("pragma synchronous = full")
        connection.execute("pragma locking_mode = exclusive")
        if self.max_pages:
            connection.execute(f"pragma max_page_count = {self.max_pages}")
        connection.executescript(schema.CREATE_TABLES)
        if self.load_value(schema.FORMAT_KEY, int) is None:
            with self._transaction():
                self._put(schema.FORMAT_KEY, schema.FORMAT_VERSION)
                self._put(schema.STORAGE_ID_KEY, secrets.token_hex(schema.STORAGE_ID_BYTES))
        stored_version = self.load_value(schema.FORMAT_KEY, int)
        if stored_version != schema.FORMAT_VERSION:
            detail = f"has format {stored_version}, this version reads {schema.FORMAT_VERSION}"
            raise ClusterMismatchError(self.path, detail)

    # ---- Reading ----

    def _load_state(self) -> None:
        self.replica_id = self.load_value(schema.REPLICA_ID_KEY, str) or ""
        self.cluster_fingerprint = self.load_value(schema.FINGERPRINT_KEY, str) or ""
        current_term, voted_for = self.load_value(schema.VOTE_KEY, tuple[int, str]) or (0, "")
        snapshot = self._read_snapshot()
        if snapshot is None:
            first_members = self.load_value(schema.FIRST_MEMBERS_KEY, Members) or {}
            snapshot = Snapshot(0, 0, first_members, b"")
        log = Log(snapshot.index, snapshot.term)
        log.append(list(self._read_entries(snapshot.index + 1)))
        self.persisted = PersistedState(
            members=snapshot.members,
            current_term=current_term,
            voted_for=voted_for,
            log=log,
            snapshot_data=snapshot.data,
            storage_id=self.load_value(schema.STORAGE_ID_KEY, str) or "",
        )

    def _read_snapshot(self) -> Snapshot | None:
        query = "select at, term, members, state, sum from snapshot"
        row = self._require_connection().execute(query).fetchone()
        if row is None:
            return None
        index, term, members, data, checksum = row
        if crc32(data, crc32(members)) != checksum:
            raise CorruptionError(self.path, f"the snapshot at {index} fails its checksum")
        return Snapshot(index, term, msgspec.msgpack.decode(members, type=Members), data)

    def _read_entries(self, first_index: int) -> Iterator[Entry]:
        expected_index = first_index
        rows = self._require_connection().execute("select at, term, body, sum from entries order by at")
        for index, term, body, checksum in rows:
            if index < expected_index:
                continue
            if index != expected_index:
                raise CorruptionError(self.path, f"entry {expected_index} is missing")
            if crc32(body, index) != checksum:
                raise CorruptionError(self.path, f"entry {index} fails its checksum")
            kind, data = msgspec.msgpack.decode(body)
            yield with_typed_members(Entry(index, term, EntryKind(kind), data))
            expected_index += 1

    def load_value(self, key: str, value_type: type[ValueT]) -> ValueT | None:
        """Return the value saved under `key`; None if there is none. Raises CorruptionError."""
        row = self._require_connection().execute("select value from told where key = ?", (key,)).fetchone()
        if row is None:
            return None
        try:
            return msgspec.msgpack.decode(row[0], type=value_type)
        except msgspec.DecodeError as error:
            raise CorruptionError(self.path, f"the value {key!r} cannot be read: {error}") from error

    def size_bytes(self) -> int:
        """Return the total size of the SQLite file and its write-ahead log files."""
        return sum(path.stat().st_size for path in self.folder.glob(f"{schema.DATABASE_FILE}*"))

    def backup(self, target: Path) -> None:
        """Copy the open storage to a new file, while it is in use. Raises sqlite3.Error or StorageError."""
        with closing(sqlite3.connect(target)) as copy:
            self._require_connection().backup(copy)

    # ---- Writing ----

    def write(self, batch: WriteBatch) -> None:
        """Write a batch atomically; it is durable when this returns. Raises StorageError."""
        with self._transaction() as db:
            if batch.vote is not None:
                self._put(schema.VOTE_KEY, batch.vote)
            if batch.snapshot is not None:
                db.execute("delete from entries")
                self._put_snapshot(batch.snapshot)
            if batch.truncate_from:
                db.execute("delete from entries where at >= ?", (batch.truncate_from,))
            db.executemany("insert into entries values (?, ?, ?, ?)", map(self._entry_row, batch.entries))

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Write a snapshot of the replica's own state and delete entries up to it. Raises StorageError."""
        with self._transaction() as connection:
            self._put_snapshot(snapshot)
            connection.execute("delete from entries where at <= ?", (snapshot.index,))

    def save_value(self, key: str, value: object) -> None:
        """Write a value that belongs to this replica alone, outside the log. Raises StorageError."""
        with self._transaction():
            self._put(key, value)

    @contextmanager
    def _transaction(self) -> Iterator[sqlite3.Connection]:
        """Run one transaction, and roll it back after any error.

        Raises StorageError when a write fails, and the error itself if it is another one: a value that cannot
        be encoded must not leave a transaction open, in which all later ones would fail.
        """
        try:
            connection = self._require_connection()
            connection.execute("begin immediate")
            yield connection
            connection.execute("commit")
        except (sqlite3.Error, OSError) as error:
            self._roll_back()
            raise StorageError(str(error)) from error
        except BaseException:
            self._roll_back()
            raise

    def _roll_back(self) -> None:
        if self.connection is None or not self.connection.in_transaction:
            return
        try:
            self.connection.execute("rollback")
        except sqlite3.Error:
            # The state of the connection is unknown now; `reopen` reads what the file contains.
            self.close()

    def _require_connection(self) -> sqlite3.Connection:
        if self.connection is None:
            raise StorageError(NOT_OPEN)
        return self.connection

    def _put_snapshot(self, snapshot: Snapshot) -> None:
        members = self._encoder.encode(snapshot.members)
        checksum = crc32(snapshot.data, crc32(members))
        row = (snapshot.index, snapshot.term, members, snapshot.data, checksum)
        self._require_connection().execute("insert or replace into snapshot values (1, ?, ?, ?, ?, ?)", row)

    def _entry_row(self, entry: Entry) -> tuple[int, int, bytes, int]:
        body = self._encoder.encode((entry.kind, entry.data))
        return entry.index, entry.term, body, crc32(body, entry.index)

    def _put(self, key: str, value: object) -> None:
        row = (key, self._encoder.encode(value))
        self._require_connection().execute("insert or replace into told values (?, ?)", row)
