"""A load on lease servers: connections that each send the next message as soon as the last is answered.

It implements the protocol of lease holders directly, so that one process can act as many holders.
"""

import asyncio
import os
import time
from typing import Any, NamedTuple, cast

from ploverspoke.consensus.framing import FrameCodec
from ploverspoke.leases.config import LeaseServers

from ..experiment_files.durations import SECOND

CONNECTIONS = 64
LEASES_PER_MESSAGE = 10  # leases that a connection renews with one message
LEASE_DURATION = 10 * SECOND  # ns
WARM_UP = 1.0  # seconds


class LeaseLoadResult(NamedTuple):
    """The rates that one load has reached, per second."""

    renewals: float
    grants: float
    bytes: float


class LeaseConnection(asyncio.Protocol):
    """One connection, which either renews its leases or keeps releasing its lease and requesting another."""

    def __init__(self, load: "LeaseLoad", number: int) -> None:
        """Prepare a connection that is not open yet."""
        self.load, self.message_number = load, 0
        greeting = {"id": f"load/{os.urandom(4).hex()}{number}", "store": ""}
        self.frames = FrameCodec(load.servers.secret, greeting)
        # Loads of renewals and of grants use different names, since leases that an earlier load did not
        # release stay held until they expire.
        self.prefix = f"team-{'r' if load.is_renewing else 'g'}{number}"
        count = LEASES_PER_MESSAGE if load.is_renewing else 1
        self.tokens = {f"{self.prefix}-{k}": 0 for k in range(count)}  # by name; 0: not held
        self.transport: asyncio.Transport | None = None
        self.is_greeted = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Greet the server."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(self.frames.greeting_frame())

    def data_received(self, data: bytes) -> None:
        """Count what was granted and renewed, and send the next message once all leases are held."""
        messages = self.frames.decode(data)
        self.load.bytes += len(data)
        if not self.is_greeted and self.frames.peer_greeting is not None:
            self.is_greeted = True
            self._send()
        for message in cast(list[dict[str, Any]], messages):
            held_leases = [row for row in message.get("has", ()) if row[0] in self.tokens]
            for name, token, _ in held_leases:
                self.load.renewed += self.tokens[name] == token
                self.load.granted += self.tokens[name] != token
                self.tokens[name] = token
            # The server reports a grant only once a majority of the servers has written it.
            if held_leases and all(self.tokens.values()):
                self._send()

    def _send(self) -> None:
        if self.load.is_over or self.transport is None:
            return
        self.message_number += 1
        release = []
        if not self.load.is_renewing and all(self.tokens.values()):
            release = [[name, token, ""] for name, token in self.tokens.items()]
            self.tokens = {f"{self.prefix}-{self.message_number}": 0}
        wanted = [[name, LEASE_DURATION, token, 0] for name, token in self.tokens.items()]
        data = self.frames.encode({"n": self.message_number, "want": wanted, "release": release})
        self.load.bytes += len(data)
        self.transport.write(data)


class LeaseLoad:
    """All connections of a load."""

    def __init__(self, servers: LeaseServers, is_renewing: bool) -> None:
        """Prepare a load of renewals, or of grants."""
        self.servers, self.is_renewing = servers, is_renewing
        self.renewed = self.granted = self.bytes = 0
        self.is_over = False

    async def run(self, address: str, seconds: float) -> LeaseLoadResult:
        """Load the server at that address for `seconds` after a warm-up."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        connections = [LeaseConnection(self, number) for number in range(CONNECTIONS)]
        for connection in connections:
            await loop.create_connection(lambda protocol=connection: protocol, host, int(port))  # type: ignore[misc]
        await asyncio.sleep(WARM_UP)
        self.renewed = self.granted = self.bytes = 0
        began_at = time.monotonic()
        await asyncio.sleep(seconds)
        elapsed = time.monotonic() - began_at
        result = LeaseLoadResult(self.renewed / elapsed, self.granted / elapsed, self.bytes / elapsed)
        self.is_over = True
        for connection in connections:
            if connection.transport is not None:
                connection.transport.abort()
        return result
