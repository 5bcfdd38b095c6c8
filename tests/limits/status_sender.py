"""Watchers of a config server that send long statuses at full speed.

`python -m tests.limits.status_sender PORT COUNT SECONDS`
"""

import asyncio
import sys
import time

from ploverspoke.config_distribution.messages import watcher_greeting
from tests.limits.framed_peer import FramedPeer

CLUSTER = "test"
REASON_CHARACTERS = 300_000  # of three bytes each; a server keeps a few of them


async def connect(port: int, name: str) -> FramedPeer:
    """Connect a watcher and wait for the server's greeting."""
    watcher = FramedPeer(watcher_greeting(name, CLUSTER))
    await watcher.connect(port)
    return watcher


async def flood(port: int, name: str, until: float) -> None:
    """Report long reasons without a pause."""
    watcher = await connect(port, name)
    status = {"k": "have", "n": 0, "d": b"", "f": 0, "w": "\u1234" * REASON_CHARACTERS, "r": 1}
    while time.monotonic() < until and not watcher.transport.is_closing():
        watcher.send(status)
        await watcher.may_write.wait()
        await asyncio.sleep(0)
    watcher.transport.abort()


async def main(port: int, count: int, seconds: float) -> None:
    """Run `count` watchers at once."""
    until = time.monotonic() + seconds
    await asyncio.gather(*(flood(port, f"f{number}", until) for number in range(count)))


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])))
