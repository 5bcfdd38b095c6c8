"""JSON lines on the standard pipes of a child process: messages to its parent, and those from it."""

import asyncio
import sys
from collections.abc import AsyncIterator

import msgspec

MAX_LINE = 1 << 22  # bytes of one message, either way


def send_message(message: object) -> None:
    """Write a message, a struct or a dict, to the parent process."""
    sys.stdout.buffer.write(msgspec.json.encode(message) + b"\n")
    sys.stdout.buffer.flush()


async def input_lines() -> AsyncIterator[bytes]:
    """Yield the lines of the standard input until the parent closes it."""
    lines = asyncio.StreamReader(limit=MAX_LINE)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    while line := await lines.readline():
        yield line


async def wait_for_input_end() -> None:
    """Wait until the parent process closes the standard input."""
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
