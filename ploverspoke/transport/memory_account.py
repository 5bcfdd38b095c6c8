"""The account of all memory that is held for clients, workers, discovery and operators, by kind.

Sizes are estimates of what objects cost in the interpreter, not of their bytes on the wire.
"""

from enum import Enum

RESPONSE_SHARE = 8  # this part of the limit is left for responses when clients have used the rest
UNLIMITED = 1 << 62  # bytes; the limit of an account that only counts


class MemoryKind(Enum):
    """What memory is held for."""

    __hash__ = object.__hash__  # members are looked up for each request, and Enum's hash runs in Python

    CONNECTIONS = "connections"  # the objects of each open connection
    READ_BUFFERS = "read_buffers"  # received bytes that are not parsed yet
    MESSAGES = "messages"  # requests that are incomplete or wait to be handled
    OPEN_REQUESTS = "open_requests"  # admitted requests, until their last attempt has ended
    RESPONSES = "responses"  # incomplete responses of workers and discovery
    UNSENT = "unsent"  # written bytes that the kernel has not accepted
    WORKERS = "workers"  # what is known of each worker
    REQUEST_LOG = "request_log"  # requests and answers that a store has recorded


class MemoryAccount:
    """The bytes held by this process, by kind, and their limit."""

    def __init__(self, limit: int = UNLIMITED) -> None:
        """Start an empty account; `limit` is in bytes."""
        self.set_limit(limit)
        self.held = dict.fromkeys(MemoryKind, 0)
        self.total = 0
        self.peak = 0  # highest total so far
        self.recent_peak = 0  # since it was last taken

    def add(self, kind: MemoryKind, size: int) -> None:
        """Add `size` bytes of one kind; negative to release them."""
        self.held[kind] += size
        self.total += size
        if self.total > self.recent_peak:
            self.recent_peak = self.total
            self.peak = max(self.peak, self.total)

    def take_recent_peak(self) -> int:
        """Return the highest total since the last call."""
        recent_peak, self.recent_peak = self.recent_peak, self.total
        return recent_peak

    def set_limit(self, limit: int) -> None:
        """Change the limit, in bytes."""
        self.limit = limit
        self.client_limit = limit - limit // RESPONSE_SHARE

    def available(self) -> int:
        """The bytes that may still be held, negative beyond the limit."""
        return self.limit - self.total

    def is_full_for_clients(self) -> bool:
        """Whether nothing more may be held for clients' requests."""
        return self.total >= self.client_limit

    def is_full(self) -> bool:
        """Whether the limit is reached."""
        return self.total >= self.limit


class MemoryHolding:
    """The part of the account that one holder has for one kind of memory."""

    __slots__ = ("account", "kind", "size")

    def __init__(self, account: MemoryAccount, kind: MemoryKind) -> None:
        """Begin with 0 bytes."""
        self.account = account
        self.kind = kind
        self.size = 0

    def set(self, size: int) -> None:
        """Hold `size` bytes from now on, in place of those held so far."""
        if size != self.size:
            self.account.add(self.kind, size - self.size)
            self.size = size
