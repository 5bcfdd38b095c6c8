"""Waits for what asynchronous code brings about."""

import asyncio
from collections.abc import Callable

POLL_INTERVAL = 0.01  # seconds


async def wait_until(condition: Callable[[], bool], timeout: float = 10.0) -> None:
    """Return once the condition holds. Raises AssertionError after `timeout` seconds."""
    for _ in range(int(timeout / POLL_INTERVAL)):
        if condition():
            return
        await asyncio.sleep(POLL_INTERVAL)
    raise AssertionError("the condition did not hold in time")
