"""The memory of this process as the system sees it."""

import os
from pathlib import Path

STATM_PATH = Path("/proc/self/statm")
RESIDENT_FIELD = 1  # of the file's fields, in pages


def resident_bytes() -> int:
    """Return the resident memory in bytes, 0 if the system does not tell."""
    try:
        pages = int(STATM_PATH.read_text().split()[RESIDENT_FIELD])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGESIZE")
