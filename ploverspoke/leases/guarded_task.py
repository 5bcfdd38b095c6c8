"""Acting under a lease: a task is a list of steps, and none begins that may outlast the lease.

Between looking at the lease and the effect a process can be paused for any time. A receiver of effects
rejects a lower token than it has seen (`fencing.py`); where none does, a step that was begun may still have
its effect after the lease has expired: once, and as late as the pause lasts. `docs/leases.md` has what that
means for each task.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import NamedTuple, Protocol

from ploverspoke.transport.units import SECOND


class LeaseView(Protocol):
    """What a task needs to know of its lease."""

    def time_left(self, name: str) -> int:
        """Return nanoseconds for which the lease is certainly held; 0 where it is not."""

    def token(self, name: str) -> int:
        """Return the fencing token of a lease that is held now; 0 where it is not."""


class GuardedStep(NamedTuple):
    """One step of a task."""

    max_duration: int  # ns; a step that takes longer is cancelled
    run: Callable[[int], Awaitable[None]]  # called with the fencing token


async def run_guarded_steps(leases: LeaseView, name: str, steps: Iterable[GuardedStep]) -> bool:
    """Run the steps in order under the lease `name`; return False where it did not last for all of them.

    A step that does not end within its duration is cancelled and ends the task with False, too. What a step
    raises is raised.
    """
    for step in steps:
        token = leases.token(name)
        if not token or leases.time_left(name) < step.max_duration:
            return False
        try:
            async with asyncio.timeout(step.max_duration / SECOND):
                await step.run(token)
        except TimeoutError:
            return False
    return True
