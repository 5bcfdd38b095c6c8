"""How descriptors and memory are shared out, in this one place."""

from typing import NamedTuple

from .units import MEBIBYTE

KEPT = 32  # descriptors for the loop, the door, discovery, the log and the configuration
WORKERS_SHARE = 0.4  # of the others, for connections to workers
CLIENTS_SHARE = 7 / 8  # of what is left: the rest is for those that are being told that there is no room
PROGRAM_NEEDS = 22 * MEBIBYTE  # with all connections open and nothing buffered
BUFFERS_SHARE = 0.4  # of the other memory: what is read is held twice for a moment
MOST_BUFFERED = 32 * MEBIBYTE
LEAST_BUFFERED = MEBIBYTE // 2  # while two processes share the least memory, a few bodies each


class ResourceLimits(NamedTuple):
    workers: int  # connections to workers
    clients: int  # connections from clients
    buffered: int  # bytes of requests, whole or in part


def split_resources(descriptors: int, memory: int, processes: int = 1) -> ResourceLimits:
    """What each of so many processes may take of what one dispatcher has."""
    descriptors, memory = descriptors // processes, memory // processes
    left = max(0, descriptors - KEPT)
    workers = int(left * WORKERS_SHARE)
    buffered = min(MOST_BUFFERED, max(LEAST_BUFFERED, int((memory - PROGRAM_NEEDS) * BUFFERS_SHARE)))
    return ResourceLimits(workers, int((left - workers) * CLIENTS_SHARE), buffered)
