"""What a stand-in's sockets carry, by dispatcher: bytes of the streams, without TCP and IP heads."""

from typing import Any


class Traffic:
    """Of one dispatcher, from its own side: `out` is what it sent to this stand-in."""

    __slots__ = (
        "bytes_in",
        "bytes_out",
        "connected",
        "connections",
        "messages_in",
        "messages_out",
        "probes",
        "progress_bytes",
    )

    def __init__(self) -> None:
        self.bytes_in = self.bytes_out = 0
        self.messages_in = self.messages_out = 0  # requests, answers, and each note of a run that goes on
        self.connected = 0  # connections made since the start
        self.connections = 0  # that are open now
        self.progress_bytes = 0  # of bytes_in, what notes of runs that go on took
        self.probes = 0  # requests that asked only for health or load

    def told(self) -> dict[str, int]:
        return {name: getattr(self, name) for name in self.__slots__}


class ByteCounters:
    """All dispatchers of a run; whoever is none of them counts for nothing."""

    def __init__(self, dispatchers: int) -> None:
        self.traffic = [Traffic() for _ in range(dispatchers)]

    def of(self, dispatcher: int) -> Traffic:
        return self.traffic[dispatcher] if dispatcher >= 0 else Traffic()

    def told(self) -> list[dict[str, Any]]:
        return [one.told() for one in self.traffic]
