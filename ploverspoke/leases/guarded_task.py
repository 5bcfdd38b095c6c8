"""Acting under a lease: a task is steps, and none begins that may outlast what is left.

Between a look and its effect a process can be paused for any time. Whoever receives effects refuses a lower
token than it has seen (`fence.py`); where nothing does, a step that was begun may still have its effect after
the lease is over: once, and as late as the pause lasts. `docs/leases.md` says what that means for each task.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import NamedTuple, Protocol


class Left(Protocol):
    def left(self, name: str) -> int: ...

    def token(self, name: str) -> int: ...


class GuardedStep(NamedTuple):
    takes: int  # ns at the most: past that it is called off
    do: Callable[[int], Awaitable[None]]  # with the token


async def act(holder: Left, name: str, steps: Iterable[GuardedStep]) -> bool:
    """Do the steps in their order; False where the lease did not last, and the rest is not begun.

    A step that does not end in its time is cancelled and ends the task with False, too. What a step raises is
    raised.
    """
    for step in steps:
        token = holder.token(name)
        if not token or holder.left(name) < step.takes:
            return False
        try:
            async with asyncio.timeout(step.takes / 1e9):
                await step.do(token)
        except TimeoutError:
            return False
    return True
