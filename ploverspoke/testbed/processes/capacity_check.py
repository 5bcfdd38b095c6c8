"""Whether a run fits on this machine: told before anything is started."""

import os
import resource
import shutil
from pathlib import Path
from typing import NamedTuple

MEBIBYTE = 1 << 20
LEFT_FREE = 512 * MEBIBYTE


class CapacityError(RuntimeError):
    """The run wants more than there is; the text says what of."""


class ResourceDemand(NamedTuple):
    what: str
    processes: int
    memory: int  # bytes each
    descriptors: int  # each; they are counted by process


def memory_backed_folder() -> str | None:
    """A place for files that no slow disk is behind, where the machine has one."""
    place = "/dev/shm"
    return place if os.access(place, os.W_OK) and shutil.disk_usage(place).free > LEFT_FREE else None


def free_memory() -> int:
    """Bytes that can be had without swapping."""
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemAvailable:"):
            return int(line.split()[1]) * 1024
    raise CapacityError("/proc/meminfo does not tell what is available")


def descriptor_limit() -> int:
    """Of one process, once the soft limit is at the hard one, where it is put."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard == resource.RLIM_INFINITY or soft < hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return hard if hard != resource.RLIM_INFINITY else 1 << 20


def check_capacity(
    wants: list[ResourceDemand], memory: int | None = None, descriptors: int | None = None
) -> str:
    """What is wanted, in a line. Raises CapacityError, naming what does not fit."""
    has_memory = free_memory() if memory is None else memory
    has_descriptors = descriptor_limit() if descriptors is None else descriptors
    for want in wants:
        if want.descriptors > has_descriptors:
            raise CapacityError(
                f"{want.what}: {want.descriptors} descriptors in one process, {has_descriptors} are allowed"
            )
    total = sum(want.processes * want.memory for want in wants)
    if total + LEFT_FREE > has_memory:
        parts = ", ".join(f"{w.processes} {w.what} of {w.memory // MEBIBYTE} MiB" for w in wants)
        raise CapacityError(
            f"{total // MEBIBYTE} MiB wanted ({parts}), {max(0, has_memory - LEFT_FREE) // MEBIBYTE} are free"
        )
    return f"{sum(w.processes for w in wants)} processes, {total // MEBIBYTE} MiB"
