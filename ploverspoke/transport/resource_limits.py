"""The split of file descriptors and memory among clients, workers and buffers."""

from typing import NamedTuple

from .units import MEBIBYTE

RESERVED_DESCRIPTORS = (
    32  # for the event loop, listeners, discovery, admin connections, log and configuration
)
WORKER_FRACTION = 0.4  # of the other descriptors
CLIENT_FRACTION = 7 / 8  # of those left then; the last eighth is for clients that are refused with an answer
BASE_MEMORY = 22 * MEBIBYTE  # of a process with all connections open and nothing buffered
BUFFER_FRACTION = 0.4  # of the other memory: received bytes are held twice for a moment
MAX_BUFFERED = 32 * MEBIBYTE
MIN_BUFFERED = MEBIBYTE // 2  # a few bodies each, while two processes share the smallest allowed memory


class ResourceLimits(NamedTuple):
    """The limits of one process."""

    worker_connections: int
    client_connections: int
    buffered_bytes: int  # of requests, complete or partial


def split_resources(descriptors: int, memory: int, processes: int = 1) -> ResourceLimits:
    """Return the limits of one of `processes` equal processes that share descriptors and memory (bytes)."""
    descriptors, memory = descriptors // processes, memory // processes
    available = max(0, descriptors - RESERVED_DESCRIPTORS)
    workers = int(available * WORKER_FRACTION)
    clients = int((available - workers) * CLIENT_FRACTION)
    buffered = min(MAX_BUFFERED, max(MIN_BUFFERED, int((memory - BASE_MEMORY) * BUFFER_FRACTION)))
    return ResourceLimits(workers, clients, buffered)
