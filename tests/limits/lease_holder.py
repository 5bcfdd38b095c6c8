"""A holder of leases that speaks the protocol itself; as `python -m`, holders that send at full speed.

`python -m tests.limits.lease_holder PORT COUNT SECONDS`
"""

import asyncio
import sys
import time
from typing import Any, cast

from ploverspoke.consensus.framing import FrameCodec
from ploverspoke.leases.manager import MAX_WANTED_LEASES

SECRET = b"a secret of twenty-four."
LEASE_DURATION_NS = 10_000_000_000
FLOOD_PREFIX = "flood-"
ANSWER_TIMEOUT_S = 20.0

Wanted = list[list[object]]


class Holder(asyncio.Protocol):
    """One connection to a lease server."""

    def __init__(self, name: str) -> None:
        self.frames = FrameCodec(SECRET, {"id": name, "store": ""})
        self.messages: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        self.is_greeted, self.may_write = asyncio.Event(), asyncio.Event()
        self.may_write.set()
        self.number = 0

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

    def send(self, wanted: Wanted) -> None:
        self.number += 1
        self.transport.write(self.frames.encode({"n": self.number, "want": wanted, "release": []}))

    async def exchange(self, wanted: Wanted) -> dict[str, Any]:
        """Send a request and wait for its answer."""
        self.send(wanted)
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while True:
                message = await self.messages.get()
                if message["n"] == self.number:
                    return message


async def connect(port: int, name: str) -> Holder:
    """Connect a holder and wait for the server's greeting."""
    loop = asyncio.get_running_loop()
    _, holder = await loop.create_connection(lambda: Holder(name), "127.0.0.1", port)
    await holder.is_greeted.wait()
    return holder


async def flood(port: int, name: str, until: float) -> None:
    """Want as many leases as allowed, under new names in each request, and wait for no answer."""
    holder = await connect(port, name)
    while time.monotonic() < until and not holder.transport.is_closing():
        names = (f"{FLOOD_PREFIX}{name}-{holder.number}-{lease}" for lease in range(MAX_WANTED_LEASES))
        holder.send([[lease, LEASE_DURATION_NS, 0, 0] for lease in names])
        await holder.may_write.wait()
        while not holder.messages.empty():
            holder.messages.get_nowait()
        await asyncio.sleep(0)
    holder.transport.abort()


async def main(port: int, count: int, seconds: float) -> None:
    """Run `count` holders at once."""
    until = time.monotonic() + seconds
    await asyncio.gather(*(flood(port, f"f{number}", until) for number in range(count)))


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])))
