"""What the rig can change in a running process: a few numbers in a file that both have mapped."""

import mmap
import struct
from pathlib import Path

FIELDS = ("wall_ahead", "clock_ahead", "disk", "sync_takes")  # ns, ns, one of the modes, ns
WELL, FULL, FAILS = range(3)  # of a disk
SIZE = 8 * len(FIELDS)


class FaultControls:
    """All zero at first: the process is as it would be without."""

    def __init__(self, path: Path, new: bool = False) -> None:
        if new:
            path.write_bytes(bytes(SIZE))
        with path.open("r+b") as file:
            self.memory = mmap.mmap(file.fileno(), SIZE)

    def get(self, field: str) -> int:
        found: int = struct.unpack_from("q", self.memory, 8 * FIELDS.index(field))[0]
        return found

    def put(self, field: str, value: int) -> None:
        struct.pack_into("q", self.memory, 8 * FIELDS.index(field), value)

    def close(self) -> None:
        self.memory.close()
