"""Checks whether a started process is ready."""

import asyncio
from collections.abc import Awaitable, Callable

# Returns whether the process is ready; may raise OSError if it is not.
ReadinessCheck = Callable[[], Awaitable[bool]]


def accepts_connections(host: str, port: int) -> ReadinessCheck:
    """A check that passes once a TCP connection to that address can be opened."""

    async def is_ready() -> bool:
        """Open a connection and close it."""
        _, writer = await asyncio.open_connection(host, port)
        writer.close()
        return True

    return is_ready
