"""Counts what a fake process's sockets carry, by dispatcher: bytes of the streams, without TCP/IP headers."""

import msgspec


class Traffic(msgspec.Struct):
    """Traffic of one dispatcher with this fake process; `out` is what the dispatcher sent."""

    bytes_in: int = 0
    bytes_out: int = 0
    connected: int = 0  # connections opened since the start
    connections: int = 0  # open now
    messages_in: int = 0  # requests, responses, and each progress update of a run
    messages_out: int = 0
    probes: int = 0  # health checks and load probes
    progress_bytes: int = 0  # of `bytes_in`: progress updates of runs

    def count_opened(self) -> None:
        """Count a connection that was opened."""
        self.connected += 1
        self.connections += 1

    def count_closed(self) -> None:
        """Count a connection that was closed."""
        self.connections -= 1

    def count_message_in(self, size: int) -> None:
        """Count a message of that many bytes to the dispatcher."""
        self.bytes_in += size
        self.messages_in += 1


class ByteCounters:
    """The traffic of all dispatchers of a run."""

    def __init__(self, dispatchers: int) -> None:
        """Start at 0 for each of so many dispatchers."""
        self.traffic = [Traffic() for _ in range(dispatchers)]

    def of(self, dispatcher: int) -> Traffic:
        """Return the counters of a dispatcher; those of a caller that is none, -1, are reported nowhere."""
        return self.traffic[dispatcher] if dispatcher >= 0 else Traffic()
