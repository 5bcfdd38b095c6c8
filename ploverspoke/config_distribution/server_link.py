"""The state of a watcher's connection to one config server. Without I/O; times in ns."""

from ploverspoke.transport.units import MILLISECOND, SECOND

GREETING_TIMEOUT_NS = SECOND  # from the attempt to connect to the server's greeting
SILENCE_TIMEOUT_NS = 2500 * MILLISECOND  # two lost heartbeats, plus half an interval
NO_HEARTBEAT = -1


class ServerLink:
    """The state of one connection, from the attempt to connect."""

    def __init__(self, link_id: int, address: str, now: int) -> None:
        """`link_id` is unique among the watcher's connections, also to the same server."""
        self.link_id = link_id
        self.address = address
        self.dialed_at = now
        self.greeted_at = 0  # 0: no greeting yet
        self.last_received_at = now
        self.server_version = NO_HEARTBEAT  # the server's latest version, from its last heartbeat
        self.is_healthy = True  # the server is in contact with a leader and not behind this watcher
        self.healthy_at = now

    def on_greeting(self, now: int) -> None:
        """Record the greeting, which proves that the server knows the shared secret."""
        self.greeted_at = self.last_received_at = self.healthy_at = now

    def deadline(self) -> int:
        """Return when the connection is abandoned unless the server sends a message before."""
        if self.greeted_at:
            return self.last_received_at + SILENCE_TIMEOUT_NS
        return self.dialed_at + GREETING_TIMEOUT_NS

    def is_overdue(self, now: int) -> bool:
        """Whether the greeting or the next message of the server is overdue."""
        return now > self.deadline()
