"""A watcher's connection to one config server, as its decisions see it. Without I/O; times in ns."""

from ploverspoke.transport.units import MILLISECOND, SECOND

GREETING_TIMEOUT = SECOND  # from the attempt to connect to the server's greeting
SILENCE_TIMEOUT = 2500 * MILLISECOND  # two heartbeats are lost, and half of one
NO_HEARTBEAT = -1


class ServerLink:
    """The state of one connection, from the attempt to connect."""

    def __init__(self, link_id: int, address: str, now: int) -> None:
        """`link_id` is unique among the watcher's connections, also to the same server."""
        self.link_id = link_id
        self.address = address
        self.dialed_at = now
        self.greeted_at = 0  # 0: not yet
        self.last_received_at = now
        self.server_version = NO_HEARTBEAT  # the server's latest version, by its last heartbeat
        self.is_healthy = True  # the server is in contact with a leader and not behind this watcher
        self.healthy_at = now

    def on_greeting(self, now: int) -> None:
        """The server has proved that it knows the shared secret."""
        self.greeted_at = self.last_received_at = self.healthy_at = now

    def deadline(self) -> int:
        """When the server is given up unless it sends something before."""
        if self.greeted_at:
            return self.last_received_at + SILENCE_TIMEOUT
        return self.dialed_at + GREETING_TIMEOUT

    def is_overdue(self, now: int) -> bool:
        """Whether the server has not greeted, or has been silent, for too long."""
        return now > self.deadline()
