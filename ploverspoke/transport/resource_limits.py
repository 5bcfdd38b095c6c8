"""How file descriptors and memory are divided among clients, workers and buffers."""

from typing import NamedTuple

from .units import MEBIBYTE

# Descriptors for the event loop, listeners, discovery, admin connections, log and configuration.
RESERVED_DESCRIPTORS = 32
WORKER_FRACTION = 0.4  # share of the unreserved descriptors for connections to workers
# Share of the remaining descriptors for clients. The last eighth is left for clients that are refused with an
# answer.
CLIENT_FRACTION = 7 / 8
BASE_MEMORY = 22 * MEBIBYTE  # used by a process with all connections open and nothing buffered
BUFFER_FRACTION = 0.4  # share of the remaining memory for buffers: received bytes are briefly held twice
MAX_BUFFERED = 32 * MEBIBYTE
# Enough for a few bodies in each of two processes that share the smallest allowed memory.
MIN_BUFFERED = MEBIBYTE // 2


class ResourceLimits(NamedTuple):
    """The limits of one process."""

    worker_connections: int
    client_connections: int
    buffered_bytes: int  # buffered bytes of complete and partial requests


def split_resources(descriptors: int, memory: int, processes: int = 1) -> ResourceLimits:
    """Return the limits of one of `processes` equal processes that share `descriptors` and `memory` bytes."""
    descriptors, memory = descriptors // processes, memory // processes
    available = max(0, descriptors - RESERVED_DESCRIPTORS)
    workers = int(available * WORKER_FRACTION)
    clients = int((available - workers) * CLIENT_FRACTION)
    buffered = min(MAX_BUFFERED, max(MIN_BUFFERED, int((memory - BASE_MEMORY) * BUFFER_FRACTION)))
    return ResourceLimits(workers, clients, buffered)
