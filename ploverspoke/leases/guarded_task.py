"""Acting under a lease: a task is a list of steps, and no step begins that may outlast the lease.

A process can be paused for any time between the check of the lease and the effect. A receiver that supports
fencing rejects a lower token than it has seen (`fencing.py`). With other receivers a step that has begun may
still take effect after the lease has expired: once, and as late as the pause lasts. `docs/leases.md` says
what that means for each task.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import NamedTuple, Protocol

from ploverspoke.transport.units import SECOND


class LeaseView(Protocol):
    """The state of leases that a task checks."""

    def time_left(self, name: str) -> int:
        """Return for how many nanoseconds the lease is certainly still held; 0 if it is not held."""

    def token(self, name: str) -> int:
        """Return the fencing token of a lease that is held now; 0 if it is not held."""


class GuardedStep(NamedTuple):
    """One step of a task."""

    max_duration: int  # ns; a step that takes longer is cancelled
    run: Callable[[int], Awaitable[None]]  # called with the fencing token


async def run_guarded_steps(leases: LeaseView, name: str, steps: Iterable[GuardedStep]) -> bool:
    """Run the steps in order under the lease `name`; return False if it did not last for all of them.

    A step that exceeds its maximum duration is cancelled, which also ends the task with False. Errors of a
    step are propagated.
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
