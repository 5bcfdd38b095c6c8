"""Common base of the protocols of stream connections: the transport, and the two ways to close it."""

import asyncio


class StreamProtocol(asyncio.BaseProtocol):
    """A protocol with its transport, which is None before the connection is made and may be after its end."""

    def __init__(self) -> None:
        """Start without a connection."""
        self.transport: asyncio.Transport | None = None

    def close(self) -> None:
        """Close the connection once all written bytes are sent; does nothing if there is no connection."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection immediately and drop unsent bytes; does nothing if there is no connection."""
        if self.transport is not None:
            self.transport.abort()
