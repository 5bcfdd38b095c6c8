"""Deadlines on an event loop."""

import asyncio
import random
import weakref
from functools import partial

import pytest

from ploverspoke.transport.deadlines import Deadline, Deadlines
from ploverspoke.transport.units import MILLISECOND


@pytest.mark.parametrize("seed", range(3))
def test_deadlines_run_in_order_and_not_when_cancelled(seed: int, loop: asyncio.AbstractEventLoop) -> None:
    random_numbers, deadlines = random.Random(seed), Deadlines(loop)
    executed: list[int] = []
    start = deadlines.now()
    scheduled: list[tuple[int, Deadline]] = []
    for number in range(600):
        when = random_numbers.randrange(-5, 30)
        deadline = deadlines.schedule(start + when * MILLISECOND, partial(executed.append, number))
        scheduled.append((when, deadline))
    cancelled = set(random_numbers.sample(range(600), 400))
    for number in cancelled:
        deadlines.cancel(scheduled[number][1])
    loop.run_until_complete(asyncio.sleep(0.1))
    assert set(executed) == set(range(600)) - cancelled
    assert [scheduled[number][0] for number in executed] == sorted(
        scheduled[number][0] for number in executed
    )


def test_cancelled_deadline_keeps_nothing_alive(loop: asyncio.AbstractEventLoop) -> None:
    class Owner:
        def on_due(self) -> None:
            """Never called."""

    deadlines, owner = Deadlines(loop), Owner()
    reference = weakref.ref(owner)
    deadlines.cancel(deadlines.schedule(deadlines.now() + 1000 * MILLISECOND, owner.on_due))
    del owner
    assert reference() is None
