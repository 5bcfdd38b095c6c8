"""The state that a config server keeps of each of its watchers."""

from dataclasses import dataclass

import msgspec

from .messages import WatchStatus


class WatcherRow(msgspec.Struct, array_like=True, frozen=True):
    """The state of one watcher on one server, for lists in tools."""

    name: str
    applied_version: int
    received_version: int
    rejection: str  # why the received version was not applied; empty if it was
    silent_seconds: float  # since the last status
    is_connected: bool


class ConnectedWatcher:
    """A watcher that is connected and has sent a status."""

    def __init__(self, name: str, status: WatchStatus, now: int) -> None:
        """`now` is the time of its first status."""
        self.name = name
        self.status = status
        self.last_received_at = now
        self.sent_at = 0  # when the unacknowledged version was sent; 0: none
        self.was_resent = False
        self.next_version_at = 0


class RememberedWatcher:
    """The last status of a watcher, kept after it disconnects."""

    def __init__(self, status: WatchStatus, last_received_at: int) -> None:
        """Create the record of a connected watcher."""
        self.status = status
        self.last_received_at = last_received_at
        self.is_connected = True


@dataclass
class BroadcastCounters:
    """Counters of a broadcaster since its start."""

    versions_sent: int = 0
    whole_versions_sent: int = 0  # versions sent as a whole body, not as a delta
    version_bytes_sent: int = 0
    silent_watchers: int = 0  # disconnected because they sent no status
    watchers_sent_elsewhere: int = 0  # because this server had no capacity
