"""Faults that the rig sets in a running process, as numbers in a file that both have mapped into memory."""

import mmap
import struct
from enum import IntEnum
from pathlib import Path

NUMBER_FORMAT = "q"
NUMBER_SIZE = struct.calcsize(NUMBER_FORMAT)


class Control(IntEnum):
    """One number in the file, by its position."""

    WALL_CLOCK_OFFSET = 0  # ns
    MONOTONIC_CLOCK_OFFSET = 1  # ns
    DISK_MODE = 2  # a DiskMode
    SYNC_DELAY = 3  # ns by which each commit takes longer


class DiskMode(IntEnum):
    """How the disk of a process behaves."""

    HEALTHY = 0
    FULL = 1
    FAILING = 2


FILE_SIZE = NUMBER_SIZE * len(Control)


class FaultControls:
    """The mapped numbers; while all are zero, the process runs without faults."""

    def __init__(self, path: Path, new: bool = False) -> None:
        """Map the file; `new` first creates it with zeros. Raises OSError."""
        if new:
            path.write_bytes(bytes(FILE_SIZE))
        with path.open("r+b") as file:
            self._memory = mmap.mmap(file.fileno(), FILE_SIZE)

    def get(self, control: Control) -> int:
        """Read a number."""
        value: int = struct.unpack_from(NUMBER_FORMAT, self._memory, NUMBER_SIZE * control)[0]
        return value

    def set(self, control: Control, value: int) -> None:
        """Write a number; the process sees it at once."""
        struct.pack_into(NUMBER_FORMAT, self._memory, NUMBER_SIZE * control, value)

    def close(self) -> None:
        """Unmap the file."""
        self._memory.close()
