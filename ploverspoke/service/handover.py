"""Whether another process of the same dispatcher lives, as while one replaces the other.

Each holds a lock on a file of its own in a folder that both know. A lock ends with its process, however that
ends, so a file without one is a dead process's and counts for nothing.
"""

import fcntl
import os
from pathlib import Path

from ploverspoke.transport.rate_limited_log import log_line

PREFIX = "ploverspoke-"


class ProcessRegistry:
    def __init__(self, folder: str | None) -> None:
        self.folder = Path(folder) if folder else None
        self.own = -1  # our file's descriptor, as long as we live
        self.name = ""

    def enter(self) -> bool:
        """Be seen from now on; False where files cannot be written or locked, and each counts as alone."""
        if self.folder is None:
            return False
        name = f"{PREFIX}{os.getpid()}-{os.urandom(4).hex()}"
        unseen = self.folder / f".{name}"
        try:
            self.own = os.open(unseen, os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
            fcntl.flock(self.own, fcntl.LOCK_EX | fcntl.LOCK_NB)
            # Locked before it can be seen: else the other takes it for a dead one's.
            unseen.rename(self.folder / name)
        except OSError as error:
            log_line(f"neighbours: no file in {self.folder}: {error.strerror}")
            return False
        self.name = name
        return True

    def others(self) -> int:
        """How many other processes live; what dead ones left is removed."""
        if self.folder is None or not self.name:
            return 0
        try:
            found = [n for n in os.listdir(self.folder) if n.startswith(PREFIX) and n != self.name]
        except OSError:
            return 0
        return sum(self._lives(self.folder / name) for name in found)

    def _lives(self, path: Path) -> bool:
        try:
            number = os.open(path, os.O_RDWR | os.O_CLOEXEC)
        except OSError:
            return False
        try:
            fcntl.flock(number, fcntl.LOCK_EX | fcntl.LOCK_NB)
            path.unlink(missing_ok=True)
        except BlockingIOError:
            return True
        except OSError:
            return False
        finally:
            os.close(number)
        return False

    def leave(self) -> None:
        if self.name and self.folder is not None:
            (self.folder / self.name).unlink(missing_ok=True)
            self.name = ""
