"""Random runs of a dispatcher: arrivals, starts, ends, disconnects, probe answers and endpoint changes."""

import random
from typing import Any

from ploverspoke.decisions.interface import AttemptOutcome, EndpointCondition
from ploverspoke.decisions.state import SECOND

from .harness import MS, DispatchHarness, endpoint

RANDOM_OUTCOMES = [AttemptOutcome.SUCCEEDED] * 6 + [
    AttemptOutcome.WORKER_ERROR,
    AttemptOutcome.FULL,
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.UNREACHABLE,
    AttemptOutcome.CONNECTION_BROKEN,
    AttemptOutcome.NOT_SENT,
]


def random_run(seed: int, steps: int, **overrides: Any) -> DispatchHarness:
    """Send random events to a dispatcher, and check its accounting after each."""
    random_numbers = random.Random(seed)
    names = [f"w{number}" for number in range(random_numbers.randint(1, 7))]
    endpoints = [endpoint(name, kind=number % 2, rack=number % 3) for number, name in enumerate(names)]
    harness = DispatchHarness(endpoints, seed, **overrides)
    for step in range(steps):
        harness.advance(random_numbers.choice([0, 1, 5, 30, 200]) * MS)
        random_event(harness, random_numbers, step, names)
        harness.check_accounting()
    harness.advance(10 * SECOND)
    harness.check_accounting()
    assert set(harness.answers) == set(harness.attempts), "every request is answered"
    return harness


def random_event(
    harness: DispatchHarness, random_numbers: random.Random, step: int, names: list[str]
) -> None:
    in_flight = [request_id for request_id in harness.attempts if harness.worker_of(request_id) is not None]
    draw = random_numbers.random()
    if draw < 0.45:
        harness.send_request(
            step,
            random_numbers.randrange(3),
            random_numbers.choice([1.0, 1.0, 2.0]),
            affinity_key=random_numbers.choice(["", "a", "b"]),
            deadline_in=random_numbers.choice([-1, 0, 100 * MS, 3 * SECOND]),
        )
    elif draw < 0.6 and in_flight:
        waiting = [request_id for request_id in in_flight if not harness.attempts[request_id][-1].started]
        if waiting:
            harness.report_start(random_numbers.choice(waiting))
    elif draw < 0.88 and in_flight:
        harness.end_attempt(random_numbers.choice(in_flight), random_numbers.choice(RANDOM_OUTCOMES))
    elif draw < 0.9 and harness.dispatcher.open_requests:
        harness.disconnect(random_numbers.choice(list(harness.dispatcher.open_requests)))
    elif draw < 0.92:
        harness.dispatcher.endpoint_watch_failed()
    elif draw < 0.96 and harness.probes:
        elapsed = random_numbers.choice([MS, SECOND])
        outcome = random_numbers.choice([AttemptOutcome.SUCCEEDED, AttemptOutcome.TIMED_OUT])
        harness.dispatcher.probe_completed(harness.probes.pop(), outcome, elapsed, None)
    else:
        random_endpoint_change(harness, random_numbers, random_numbers.choice(names))


def random_endpoint_change(harness: DispatchHarness, random_numbers: random.Random, name: str) -> None:
    condition = random_numbers.choice(
        [
            EndpointCondition.READY,
            EndpointCondition.READY,
            EndpointCondition.DRAINING,
            EndpointCondition.GONE,
        ]
    )
    previous = harness.endpoints[name]
    harness.endpoints[name] = previous._replace(condition=condition, started_at=harness.clock)
    was_closed = harness.closed_at.pop(name, None) is not None
    gone_is_binding = not harness.settings.only_draining_is_binding or was_closed
    if condition is EndpointCondition.DRAINING or (condition is EndpointCondition.GONE and gone_is_binding):
        harness.closed_at[name] = harness.clock
    harness.dispatcher.endpoints_changed([harness.endpoints[name]])
