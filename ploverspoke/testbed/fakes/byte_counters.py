"""Counts a fake process's traffic by dispatcher, in bytes of the streams, without TCP/IP headers."""

import msgspec


class Traffic(msgspec.Struct):
    """Traffic of one dispatcher with this process; `out` means sent by the dispatcher, `in` sent to it."""

    bytes_in: int = 0
    bytes_out: int = 0
    connected: int = 0  # connections opened since the start
    connections: int = 0  # open now
    messages_in: int = 0  # requests, responses and each progress update of an attempt
    messages_out: int = 0
    probes: int = 0  # health checks and load probes
    progress_bytes: int = 0  # the part of `bytes_in` that is progress updates of attempts

    def count_opened(self) -> None:
        """Count a connection that was opened."""
        self.connected += 1
        self.connections += 1

    def count_closed(self) -> None:
        """Count a connection that was closed."""
        self.connections -= 1

    def count_message_in(self, size: int) -> None:
        """Count a message of `size` bytes that was sent to the dispatcher."""
        self.bytes_in += size
        self.messages_in += 1


class ByteCounters:
    """The traffic of all dispatchers of a run."""

    def __init__(self, dispatcher_count: int) -> None:
        """Start all counters at 0."""
        self.traffic = [Traffic() for _ in range(dispatcher_count)]

    def for_dispatcher(self, dispatcher: int) -> Traffic:
        """Return the counters of a dispatcher; for -1, an unknown caller, they are new and never reported."""
        return self.traffic[dispatcher] if dispatcher >= 0 else Traffic()
