"""A holder of leases that speaks the protocol itself; as `python -m`, holders that send at full speed.

`python -m tests.limits.lease_holder PORT COUNT SECONDS`
"""

import asyncio
import sys
import time
from typing import Any

from ploverspoke.leases.manager import MAX_WANTED_LEASES
from tests.limits.framed_peer import FramedPeer

LEASE_DURATION_NS = 10_000_000_000
FLOOD_PREFIX = "flood-"
ANSWER_TIMEOUT_S = 20.0

Wanted = list[list[object]]


class Holder(FramedPeer):
    """One connection to a lease server."""

    def __init__(self, name: str) -> None:
        super().__init__({"id": name, "store": ""})
        self.number = 0

    def want(self, wanted: Wanted) -> None:
        """Send a request for leases."""
        self.number += 1
        self.send({"n": self.number, "want": wanted, "release": []})

    async def exchange(self, wanted: Wanted) -> dict[str, Any]:
        """Send a request and wait for its answer."""
        self.want(wanted)
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while True:
                message = await self.messages.get()
                if message["n"] == self.number:
                    return message


async def connect(port: int, name: str) -> Holder:
    """Connect a holder and wait for the server's greeting."""
    holder = Holder(name)
    await holder.connect(port)
    return holder


async def flood(port: int, name: str, until: float) -> None:
    """Want as many leases as allowed, under new names in each request, and wait for no answer."""
    holder = await connect(port, name)
    while time.monotonic() < until and not holder.transport.is_closing():
        names = (f"{FLOOD_PREFIX}{name}-{holder.number}-{lease}" for lease in range(MAX_WANTED_LEASES))
        holder.want([[lease, LEASE_DURATION_NS, 0, 0] for lease in names])
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
