"""Calls to the admin address of a dispatcher, which answers lines of text."""

import asyncio
import time

from ploverspoke.consensus.cluster_config import split_address

from .errors import NoReplyError

CALL_TIMEOUT = 2.0  # seconds
MAX_REPLY_BYTES = 1 << 20
READY_COMMAND = "check"
READY_REPLIES = 2  # that a restarted dispatcher has to give, one after the other
READY_POLL_INTERVAL = 0.2  # seconds
SUCCESS_PREFIX = "+OK"
LAST_LINE = "."


async def call_admin(address: str, command: str) -> list[str]:
    """Send one command and return the reply's lines, the first without its prefix. Raises NoReplyError."""
    try:
        async with asyncio.timeout(CALL_TIMEOUT):
            reply = await _exchange(address, command)
    except (OSError, TimeoutError, ValueError) as error:
        raise NoReplyError(address, str(error) or "no reply in time") from error
    lines = reply.splitlines()
    if not lines or not lines[0].startswith(SUCCESS_PREFIX):
        raise NoReplyError(address, lines[0] if lines else "an empty reply")
    first = lines[0].removeprefix(SUCCESS_PREFIX).strip()
    return [first, *(line for line in lines[1:] if line != LAST_LINE)]


async def wait_until_ready(address: str, timeout: float) -> bool:
    """Return whether a dispatcher reports within `timeout` seconds, twice in a row, that it is ready."""
    deadline = time.monotonic() + timeout
    replies = 0
    while time.monotonic() < deadline:
        try:
            await call_admin(address, READY_COMMAND)
            replies += 1
        except NoReplyError:
            replies = 0
        if replies == READY_REPLIES:
            return True
        await asyncio.sleep(READY_POLL_INTERVAL)
    return False


async def _exchange(address: str, command: str) -> str:
    host, port = split_address(address)
    reader, writer = await asyncio.open_connection(host, port, limit=MAX_REPLY_BYTES)
    try:
        writer.write(command.encode() + b"\n")
        return (await reader.read(MAX_REPLY_BYTES)).decode("ascii", "replace")
    finally:
        writer.close()
