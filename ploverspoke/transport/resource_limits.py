"""How file descriptors and memory are divided among clients, workers and what is held for them."""

from typing import NamedTuple

from .connections import CONNECTION_BYTES
from .memory_account import MemoryAccount
from .units import KIBIBYTE, MEBIBYTE

# Descriptors for the event loop, listeners, discovery, admin connections, log and configuration.
RESERVED_DESCRIPTORS = 32
WORKER_FRACTION = 0.4  # share of the unreserved descriptors for connections to workers
# Share of the remaining descriptors for clients. The last eighth is left for clients that are refused with an
# answer.
CLIENT_FRACTION = 7 / 8
BASE_MEMORY = 28 * MEBIBYTE  # used by a process without connections
REQUEST_LOG_MEMORY = 12 * MEBIBYTE  # of the replica of a store in the same process
HELD_FRACTION = 0.6  # share of the remaining memory for the account: the interpreter keeps some that is free
# For each of two processes that share the smallest allowed memory: a few bodies beside all connections.
MIN_HELD = MEBIBYTE * 3 // 2
# Share of the account that open connections may take, even if nothing is received on them.
CONNECTION_SHARE = 0.7
CLIENT_CONNECTION_FRACTION = 4 / 7  # share of these connections for clients, the rest is for workers
# Beside all connections there is always room for four of the largest bodies and 32 workers.
MIN_FOR_REQUESTS = 416 * KIBIBYTE

REQUEST_ID_SHARE = 64  # this part of the memory is for the ids of requests that must not run twice


class ResourceLimits(NamedTuple):
    """The limits of one process."""

    worker_connections: int
    client_connections: int
    held_bytes: int  # the limit of the memory account


def request_id_bytes(memory: int) -> int:
    """Return the size of the table of request ids, which all processes of a dispatcher share."""
    return memory // REQUEST_ID_SHARE


def held_bytes_beside_successor(memory: int) -> int:
    """Return the limit of the memory account of a process that a second one may join at any moment.

    The second one has its base memory before the first one sees it and halves its limits.
    """
    return max(MIN_HELD, int((memory - 2 * BASE_MEMORY - request_id_bytes(memory)) * HELD_FRACTION))


def split_resources(descriptors: int, memory: int, processes: int = 1) -> ResourceLimits:
    """Return the limits of one of `processes` equal processes that share `descriptors` and `memory` bytes.

    Together they have at most the connections of one process alone.
    """
    own = _limits_of_process(descriptors // processes, memory // processes)
    alone = _limits_of_process(descriptors, memory)
    return ResourceLimits(
        min(own.worker_connections, alone.worker_connections // processes),
        min(own.client_connections, alone.client_connections // processes),
        own.held_bytes,
    )


def _limits_of_process(descriptors: int, memory: int) -> ResourceLimits:
    held = max(MIN_HELD, int((memory - BASE_MEMORY - request_id_bytes(memory)) * HELD_FRACTION))
    available = max(0, descriptors - RESERVED_DESCRIPTORS)
    workers = int(available * WORKER_FRACTION)
    clients = int((available - workers) * CLIENT_FRACTION)
    connections = _bytes_for_connections(held) / CONNECTION_BYTES
    return ResourceLimits(
        min(workers, int(connections * (1 - CLIENT_CONNECTION_FRACTION))),
        min(clients, int(connections * CLIENT_CONNECTION_FRACTION)),
        held,
    )


def _bytes_for_connections(held: int) -> float:
    for_clients = MemoryAccount(held).client_limit
    return min(held * CONNECTION_SHARE, for_clients - MIN_FOR_REQUESTS)
