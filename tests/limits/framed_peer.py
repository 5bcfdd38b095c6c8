"""A client of a server with framed connections, which speaks the protocol itself."""

import asyncio
from typing import Any, cast

from ploverspoke.consensus.framing import FrameCodec

SECRET = b"a secret of twenty-four."


class FramedPeer(asyncio.Protocol):
    """One connection, and the messages that were received on it."""

    def __init__(self, greeting: dict[str, str | int]) -> None:
        self.frames = FrameCodec(SECRET, greeting)
        self.messages: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        self.is_greeted, self.may_write = asyncio.Event(), asyncio.Event()
        self.may_write.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(self.frames.greeting_frame())

    def data_received(self, data: bytes) -> None:
        for message in self.frames.decode(data):
            self.messages.put_nowait(cast(dict[str, Any], message))
        if self.frames.peer_greeting is not None:
            self.is_greeted.set()

    def pause_writing(self) -> None:
        self.may_write.clear()

    def resume_writing(self) -> None:
        self.may_write.set()

    def connection_lost(self, exc: Exception | None) -> None:
        self.may_write.set()

    async def connect(self, port: int) -> None:
        """Connect to the server, and wait for its greeting."""
        await asyncio.get_running_loop().create_connection(lambda: self, "127.0.0.1", port)
        await self.is_greeted.wait()

    def send(self, message: object) -> None:
        """Send one message."""
        self.transport.write(self.frames.encode(message))
