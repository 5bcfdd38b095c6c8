"""The timer of the event loop that can be set repeatedly."""

import asyncio
import time

from ploverspoke.transport.loop_timer import LoopTimer
from ploverspoke.transport.units import MILLISECOND, NEVER

SOON = 20 * MILLISECOND


async def calls_within(seconds: float, calls: list[int]) -> int:
    """Return the number of calls within `seconds` from now."""
    before = len(calls)
    await asyncio.sleep(seconds)
    return len(calls) - before


def test_a_timer_calls_back_once_at_the_time_that_was_set_last(loop: asyncio.AbstractEventLoop) -> None:
    calls: list[int] = []

    async def script() -> None:
        timer = LoopTimer(lambda: calls.append(time.monotonic_ns()))
        start = time.monotonic_ns()
        timer.set(start + 10_000 * MILLISECOND)
        timer.set(start + SOON)
        timer.set(start + SOON)
        timer.set_earlier(start + 10_000 * MILLISECOND)
        assert await calls_within(0.2, calls) == 1 and calls[0] >= start + SOON
        timer.set_earlier(time.monotonic_ns() + SOON)
        assert await calls_within(0.2, calls) == 1

    loop.run_until_complete(script())


def test_a_cancelled_timer_does_not_call_back_and_can_be_set_again(loop: asyncio.AbstractEventLoop) -> None:
    calls: list[int] = []

    async def script() -> None:
        timer = LoopTimer(lambda: calls.append(time.monotonic_ns()))
        timer.set(time.monotonic_ns() + SOON)
        timer.cancel()
        assert await calls_within(0.2, calls) == 0
        timer.set(0)
        assert await calls_within(0.2, calls) == 1

    loop.run_until_complete(script())


def test_a_timer_calls_back_after_its_longest_delay(loop: asyncio.AbstractEventLoop) -> None:
    calls: list[int] = []

    async def script() -> None:
        timer = LoopTimer(lambda: calls.append(time.monotonic_ns()), max_delay=0.02)
        timer.set(NEVER)
        assert await calls_within(0.2, calls) == 1

    loop.run_until_complete(script())
