"""Storage of a fixed size that is read and written in small blocks, in memory or in a shared file."""

import fcntl
import os
import time
from collections.abc import Iterator
from contextlib import AbstractContextManager, contextmanager
from pathlib import Path
from typing import Protocol

from .errors import ShortTransferError, StorageBusyError

FILE_MODE = 0o600
LOCK_ATTEMPTS = 50
LOCK_RETRY_DELAY_S = 0.0001  # another process holds the lock for some microseconds


class BlockStorage(Protocol):
    """A row of bytes."""

    def read(self, offset: int, size: int) -> bytes:
        """Return `size` bytes. Raises OSError."""

    def write(self, offset: int, data: bytes) -> None:
        """Write the bytes. Raises OSError."""

    def locked(self) -> AbstractContextManager[None]:
        """Return a context in which no other process changes the storage."""


class MemoryStorage:
    """A storage of one process."""

    def __init__(self, size: int) -> None:
        """Allocate `size` bytes of 0."""
        self.data = bytearray(size)

    def read(self, offset: int, size: int) -> bytes:
        """Return `size` bytes."""
        return bytes(self.data[offset : offset + size])

    def write(self, offset: int, data: bytes) -> None:
        """Write the bytes."""
        self.data[offset : offset + len(data)] = data

    @contextmanager
    def locked(self) -> Iterator[None]:
        """Return a context; there is no other process."""
        yield


class FileStorage:
    """A file that several processes have open; read and written by system calls, so that errors are reported.

    Space is taken from the file system as blocks are first written.
    """

    def __init__(self, path: Path) -> None:
        """Open an existing file. Raises OSError."""
        self.descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC)
        self.size = os.fstat(self.descriptor).st_size

    def read(self, offset: int, size: int) -> bytes:
        """Return `size` bytes. Raises OSError."""
        data = os.pread(self.descriptor, size, offset)
        if len(data) != size:
            raise ShortTransferError(offset, size, len(data))
        return data

    def write(self, offset: int, data: bytes) -> None:
        """Write the bytes. Raises OSError."""
        written = os.pwrite(self.descriptor, data, offset)
        if written != len(data):
            raise ShortTransferError(offset, len(data), written)

    @contextmanager
    def locked(self) -> Iterator[None]:
        """Lock the file against other processes. Raises StorageBusyError, e.g. if the holder is stopped."""
        self._lock()
        try:
            yield
        finally:
            fcntl.flock(self.descriptor, fcntl.LOCK_UN)

    def _lock(self) -> None:
        for _ in range(LOCK_ATTEMPTS):
            try:
                fcntl.flock(self.descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                time.sleep(LOCK_RETRY_DELAY_S)
            else:
                return
        raise StorageBusyError


def create_file(path: Path, size: int, beginning: bytes) -> bool:
    """Create a file with these first bytes, unless it exists; returns if it was created. Raises OSError."""
    new_path = path.with_name(f".{path.name}-{os.getpid()}")
    descriptor = os.open(new_path, os.O_CREAT | os.O_TRUNC | os.O_RDWR | os.O_CLOEXEC, FILE_MODE)
    try:
        os.truncate(descriptor, size)
        os.pwrite(descriptor, beginning, 0)
        os.link(new_path, path)  # whole at once, and never over a file that is in use
    except FileExistsError:
        return False
    finally:
        os.close(descriptor)
        new_path.unlink()
    return True
