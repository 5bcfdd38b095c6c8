"""Polling for conditions that are brought about by other tasks or processes."""

import asyncio
from collections.abc import Callable
from typing import TypeVar

ValueT = TypeVar("ValueT")
POLL_INTERVAL_S = 0.01


async def until(condition: Callable[[], ValueT | None], seconds: float = 10.0) -> ValueT:
    """Wait until the condition returns a true value, and return it. Raises AssertionError after `seconds`."""
    for _ in range(int(seconds / POLL_INTERVAL_S)):
        value = condition()
        if value:
            return value
        await asyncio.sleep(POLL_INTERVAL_S)
    raise AssertionError(f"the condition was not met within {seconds} s")
