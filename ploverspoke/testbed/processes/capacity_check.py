"""Checks before a run starts whether the machine has the memory and the file descriptors that it needs."""

import os
import resource
import shutil
from pathlib import Path
from typing import NamedTuple

MEBIBYTE = 1 << 20
RESERVED_MEMORY = 512 * MEBIBYTE  # left to the rest of the machine
UNLIMITED_DESCRIPTORS = 1 << 20  # used as the limit if the kernel sets none
MEMORY_FOLDER = "/dev/shm"
MEMORY_INFO = Path("/proc/meminfo")


class CapacityError(RuntimeError):
    """The run needs more than the machine has; the text names the resource."""


class FreeMemoryUnknownError(CapacityError):
    """The kernel doesn't report how much memory is available."""

    def __init__(self) -> None:
        """Name the file that lacks the amount."""
        super().__init__(f"{MEMORY_INFO} does not report the available memory")


class ResourceDemand(NamedTuple):
    """The resources that a group of processes needs."""

    name: str  # of the group
    processes: int
    memory: int  # bytes of each process
    descriptors: int  # of each process, since the limit is per process


class DescriptorLimitError(CapacityError):
    """One process needs more open files than it may have."""

    def __init__(self, demand: ResourceDemand, limit: int) -> None:
        """`limit` is the number of descriptors that one process may have."""
        super().__init__(
            f"{demand.name}: {demand.descriptors} descriptors in one process, {limit} are allowed"
        )
        self.demand, self.limit = demand, limit


class InsufficientMemoryError(CapacityError):
    """All processes together need more memory than is free."""

    def __init__(self, demands: list[ResourceDemand], free: int) -> None:
        """`free` is in bytes, without RESERVED_MEMORY."""
        groups = ", ".join(f"{d.processes} {d.name} of {d.memory // MEBIBYTE} MiB" for d in demands)
        wanted = total_memory(demands) // MEBIBYTE
        super().__init__(f"{wanted} MiB wanted ({groups}), {free // MEBIBYTE} are free")
        self.demands, self.free = demands, free


def total_memory(demands: list[ResourceDemand]) -> int:
    """The memory (bytes) that all processes need."""
    return sum(demand.processes * demand.memory for demand in demands)


def memory_backed_folder() -> str | None:
    """A folder in memory for files that no slow disk may delay, if the machine has one with enough space."""
    is_usable = os.access(MEMORY_FOLDER, os.W_OK) and shutil.disk_usage(MEMORY_FOLDER).free > RESERVED_MEMORY
    return MEMORY_FOLDER if is_usable else None


def free_memory() -> int:
    """The memory (bytes) that is available without swapping. Raises FreeMemoryUnknownError."""
    for line in MEMORY_INFO.read_text().splitlines():
        if line.startswith("MemAvailable:"):
            return int(line.split()[1]) * 1024
    raise FreeMemoryUnknownError


def descriptor_limit() -> int:
    """Raise this process's soft limit of open files to the hard limit, and return that."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard == resource.RLIM_INFINITY or soft < hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return hard if hard != resource.RLIM_INFINITY else UNLIMITED_DESCRIPTORS


def check_capacity(
    demands: list[ResourceDemand], memory: int | None = None, descriptors: int | None = None
) -> str:
    """Check the demands against the machine, or against `memory` (bytes) and `descriptors` where given.

    Returns the demands in one line. Raises CapacityError, naming what doesn't fit.
    """
    available_memory = free_memory() if memory is None else memory
    available_descriptors = descriptor_limit() if descriptors is None else descriptors
    for demand in demands:
        if demand.descriptors > available_descriptors:
            raise DescriptorLimitError(demand, available_descriptors)
    total = total_memory(demands)
    if total + RESERVED_MEMORY > available_memory:
        raise InsufficientMemoryError(demands, max(0, available_memory - RESERVED_MEMORY))
    return f"{sum(d.processes for d in demands)} processes, {total // MEBIBYTE} MiB"
