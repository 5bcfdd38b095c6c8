"""What a config server knows of each of its watchers."""

from dataclasses import dataclass

import msgspec

from .messages import WatchStatus


class WatcherRow(msgspec.Struct, array_like=True, frozen=True):
    """What a server knows of one watcher, as tools list it."""

    name: str
    applied_version: int
    received_version: int
    rejection: str  # why the received version is not applied; empty where it is
    silent_seconds: float  # since its last status
    is_connected: bool


class ConnectedWatcher:
    """A watcher that is connected and has sent a status."""

    def __init__(self, name: str, status: WatchStatus, now: int) -> None:
        """`now` is the time of its first status."""
        self.name = name
        self.status = status
        self.last_received_at = now
        self.sent_at = 0  # when a version was sent that no status has answered yet; 0: none
        self.was_resent = False
        self.next_version_at = 0


class RememberedWatcher:
    """The last status of a watcher, also of one that is no longer connected."""

    def __init__(self, status: WatchStatus, last_received_at: int) -> None:
        """A watcher that is connected."""
        self.status = status
        self.last_received_at = last_received_at
        self.is_connected = True


@dataclass
class BroadcastCounters:
    """What a broadcaster counts from its start on."""

    versions_sent: int = 0
    whole_versions_sent: int = 0  # not as a delta
    version_bytes_sent: int = 0
    silent_watchers: int = 0  # disconnected for sending no status
    watchers_sent_elsewhere: int = 0  # for want of capacity
