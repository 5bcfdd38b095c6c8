"""A crowd of clients, run as `python -m tests.limits.crowd_process PORT KIND COUNT SECONDS`."""

import asyncio
import contextlib
import sys
import time

from .crowd_messages import MESSAGES

SLOW_KINDS = ("slow_body", "dripping_head")
SLOW_PAUSE_S = 0.05
WAITING_KINDS = (
    "long_ids",
    "new_names",
    "unsound",
    "whole_bodies",
)  # each message waits for the answer to the last one
NOT_READING_KINDS = ("unread_answers",)
RECONNECT_PAUSE_S = 0.01


async def play_connection(port: int, kind: str, number: int) -> None:
    """Connect once and write the messages until the dispatcher closes or they end; then stay."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    drop_answers = kind not in NOT_READING_KINDS and kind not in WAITING_KINDS
    dropping = asyncio.ensure_future(_read_all(reader)) if drop_answers else None
    try:
        for message in MESSAGES[kind](number):
            writer.write(message)
            await writer.drain()
            if kind in WAITING_KINDS and not await reader.read(64 * 1024):
                return
            if kind in SLOW_KINDS:
                await asyncio.sleep(SLOW_PAUSE_S)
            if dropping is not None and dropping.done():
                return
        if dropping is not None:
            await dropping
    finally:
        writer.transport.abort()
        if dropping is not None:
            dropping.cancel()


async def _read_all(reader: asyncio.StreamReader) -> None:
    while await reader.read(64 * 1024):
        pass


async def keep_playing(port: int, kind: str, number: int, until: float) -> None:
    """Play one connection after the other."""
    while time.monotonic() < until:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await play_connection(port, kind, number)
        number += 10_000
        await asyncio.sleep(RECONNECT_PAUSE_S)


async def main(port: int, kind: str, count: int, seconds: float) -> None:
    """Play `count` connections at once for `seconds`."""
    until = time.monotonic() + seconds
    tasks = [asyncio.ensure_future(keep_playing(port, kind, number, until)) for number in range(count)]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), sys.argv[2], int(sys.argv[3]), float(sys.argv[4])))
