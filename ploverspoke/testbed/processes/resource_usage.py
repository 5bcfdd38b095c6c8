"""Reads from the kernel how much CPU time and memory a process has used."""

from pathlib import Path
from typing import NamedTuple


class ProcessEndedError(ProcessLookupError):
    """The process has ended."""

    def __init__(self, pid: int) -> None:
        """Keep its id."""
        super().__init__(f"process {pid} has ended")
        self.pid = pid


class ResourceUsage(NamedTuple):
    """The usage of one process up to now."""

    cpu_time_ns: int  # of all its threads
    memory_bytes: int  # resident now
    peak_memory_bytes: int  # the most that were resident so far


def read_resource_usage(pid: int) -> ResourceUsage:
    """Read the usage of a running process. Raises ProcessEndedError, and OSError if it cannot be read.

    CPU time is from `schedstat`, in ns: /proc/PID/stat counts in hundredths of a second, too coarse for an
    idle dispatcher.
    """
    folder = Path(f"/proc/{pid}")
    try:
        cpu_time = sum(int(path.read_text().split()[0]) for path in folder.glob("task/*/schedstat"))
        status = (folder / "status").read_text()
    except (FileNotFoundError, ProcessLookupError) as error:
        raise ProcessEndedError(pid) from error
    fields = dict(line.split(":", 1) for line in status.splitlines() if ":" in line)
    if "VmRSS" not in fields:
        raise ProcessEndedError(pid)
    return ResourceUsage(cpu_time, _kibibytes(fields["VmRSS"]), _kibibytes(fields["VmHWM"]))


def count_descriptors(pid: int) -> int:
    """Count the open descriptors of a running process. Raises ProcessEndedError, and OSError as above."""
    try:
        return sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir())
    except (FileNotFoundError, ProcessLookupError) as error:
        raise ProcessEndedError(pid) from error


def _kibibytes(text: str) -> int:
    return int(text.split()[0]) * 1024
