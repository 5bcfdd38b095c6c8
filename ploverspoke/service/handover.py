"""Counts the live processes of one dispatcher: there are two while one replaces the other.

Each process holds a lock on its own file in a shared directory. The system releases the lock when the
process ends, even if it crashes: a file without a lock belongs to a dead process and is not counted.
"""

import fcntl
import os
from pathlib import Path

from ploverspoke.transport.rate_limited_log import log_line

FILE_PREFIX = "ploverspoke-"
NO_DESCRIPTOR = -1
RANDOM_SUFFIX_BYTES = 4  # of a file name
FILE_MODE = 0o600


class ProcessRegistry:
    """The lock files of one dispatcher's processes, including that of this process."""

    def __init__(self, directory: str | None) -> None:
        """Keep lock files in this directory; without one, the process counts as the only one."""
        self.directory = Path(directory) if directory else None
        self.lock_descriptor = NO_DESCRIPTOR  # holds the lock while it is open
        self.file_name = ""  # empty: this process is not registered

    def register(self) -> bool:
        """Make this process visible to the others.

        Returns False if there is no directory, or if the file cannot be written or locked, which is logged.
        The process then counts as the only one.
        """
        if self.directory is None:
            return False
        file_name = f"{FILE_PREFIX}{os.getpid()}-{os.urandom(RANDOM_SUFFIX_BYTES).hex()}"
        hidden_path = self.directory / f".{file_name}"
        try:
            self.lock_descriptor = os.open(hidden_path, os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, FILE_MODE)
            fcntl.flock(self.lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            # Locked before it becomes visible: unlocked, it would be taken for the file of a dead process.
            hidden_path.rename(self.directory / file_name)
        except OSError as error:
            log_line(f"handover: cannot create a lock file in {self.directory}: {error.strerror}")
            self._close()
            return False
        self.file_name = file_name
        return True

    def count_others(self) -> int:
        """Return the number of other live processes, and remove the files of dead ones.

        Returns 0 if this process is not registered or the directory cannot be read.
        """
        if self.directory is None or not self.file_name:
            return 0
        try:
            paths = list(self.directory.iterdir())
        except OSError:
            return 0  # counted again soon; until then the process counts as the only one
        return sum(
            _is_locked(path)
            for path in paths
            if path.name.startswith(FILE_PREFIX) and path.name != self.file_name
        )

    def unregister(self) -> None:
        """Remove the file of this process and release its lock."""
        if self.file_name and self.directory is not None:
            (self.directory / self.file_name).unlink(missing_ok=True)
            self.file_name = ""
            self._close()

    def _close(self) -> None:
        if self.lock_descriptor != NO_DESCRIPTOR:
            os.close(self.lock_descriptor)
            self.lock_descriptor = NO_DESCRIPTOR


def _is_locked(path: Path) -> bool:
    """Whether the process of the file is alive; the file of a dead process is removed."""
    try:
        descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC)
    except OSError:
        return False  # removed since it was listed, or not a lock file
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        path.unlink(missing_ok=True)
    except BlockingIOError:
        return True
    except OSError:
        return False  # the file system does not support locks: same as if no file can be written
    finally:
        os.close(descriptor)
    return False
