"""What a process of the machine has used so far, as the kernel counts it."""

import os
from pathlib import Path
from typing import NamedTuple

PAGE = os.sysconf("SC_PAGE_SIZE")


class ResourceUsage(NamedTuple):
    processor: int  # ns, of all its threads
    memory: int  # bytes that are resident now
    memory_peak: int  # the most so far


def read_resource_usage(pid: int) -> ResourceUsage:
    """Raises OSError where it has ended.

    /proc/PID/stat counts in hundredths of a second, more than an idle dispatcher takes in ten; the
    scheduler's own figures are nanoseconds.
    """
    folder = Path(f"/proc/{pid}")
    processor = sum(int(path.read_text().split()[0]) for path in folder.glob("task/*/schedstat"))
    fields = dict(line.split(":", 1) for line in (folder / "status").read_text().splitlines() if ":" in line)
    if "VmRSS" not in fields:
        raise ProcessLookupError(f"process {pid} has ended")
    return ResourceUsage(processor, _kibibytes(fields["VmRSS"]), _kibibytes(fields["VmHWM"]))


def _kibibytes(text: str) -> int:
    return int(text.split()[0]) * 1024
