"""Calls to the admin address of a dispatcher, which replies with lines of text."""

import asyncio
import time

from ploverspoke.consensus.cluster_config import split_address

from .errors import NoReplyError

CALL_TIMEOUT_S = 2.0
MAX_REPLY_BYTES = 1 << 20
READY_COMMAND = "check"
REQUIRED_READY_REPLIES = 2  # in a row, before a restarted dispatcher counts as ready
READY_POLL_INTERVAL_S = 0.2
SUCCESS_PREFIX = "+OK"
END_OF_REPLY = "."


async def call_admin(address: str, command: str) -> list[str]:
    """Send one command and return the lines of the reply, without the prefix. Raises NoReplyError."""
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            reply = await _request_reply(address, command)
    except (OSError, TimeoutError, ValueError) as error:
        raise NoReplyError(address, str(error) or "no reply in time") from error
    lines = reply.splitlines()
    if not lines or not lines[0].startswith(SUCCESS_PREFIX):
        raise NoReplyError(address, lines[0] if lines else "an empty reply")
    first_line = lines[0].removeprefix(SUCCESS_PREFIX).strip()
    return [first_line, *(line for line in lines[1:] if line != END_OF_REPLY)]


async def wait_until_ready(address: str, timeout: float) -> bool:
    """Return whether a dispatcher reports twice in a row, within `timeout` seconds, that it is ready."""
    deadline = time.monotonic() + timeout
    ready_replies = 0
    while time.monotonic() < deadline:
        try:
            await call_admin(address, READY_COMMAND)
            ready_replies += 1
        except NoReplyError:
            ready_replies = 0
        if ready_replies == REQUIRED_READY_REPLIES:
            return True
        await asyncio.sleep(READY_POLL_INTERVAL_S)
    return False


async def _request_reply(address: str, command: str) -> str:
    host, port = split_address(address)
    reader, writer = await asyncio.open_connection(host, port, limit=MAX_REPLY_BYTES)
    try:
        writer.write(command.encode() + b"\n")
        return (await reader.read(MAX_REPLY_BYTES)).decode("ascii", "replace")
    finally:
        writer.close()
