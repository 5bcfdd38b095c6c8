"""Waiting in tests for what other tasks or processes bring about."""

import asyncio
from collections.abc import Callable
from typing import TypeVar

ValueT = TypeVar("ValueT")
POLL_INTERVAL = 0.01  # seconds


async def until(condition: Callable[[], ValueT | None], seconds: float = 10.0) -> ValueT:
    """Wait until the condition returns something true, and return that. Raises AssertionError in time."""
    for _ in range(int(seconds / POLL_INTERVAL)):
        value = condition()
        if value:
            return value
        await asyncio.sleep(POLL_INTERVAL)
    raise AssertionError("it did not come to that")
