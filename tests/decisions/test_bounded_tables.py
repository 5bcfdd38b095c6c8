"""Tables that are kept by names and numbers of others stay small, and forget nothing that is in use."""

import random

from ploverspoke.decisions.endpoint_updates import MAX_GONE_WORKERS
from ploverspoke.decisions.interface import AttemptOutcome, EndpointCondition
from ploverspoke.decisions.queue_table import MAX_QUEUES

from .harness import MS, DispatchHarness, endpoint


def test_ever_new_numbers_of_slots_leave_few_queues_and_no_request_behind() -> None:
    randomness, harness = random.Random(3), DispatchHarness([endpoint("a"), endpoint("b")])
    for number in range(3 * MAX_QUEUES):
        harness.send_request(number, slots=randomness.uniform(0.001, 900.0))
        if number % 3 == 0:
            harness.advance(5 * MS)
        for request_id, attempts in list(harness.attempts.items()):
            if attempts and attempts[-1].outcome is None and randomness.random() < 0.5:
                harness.end_attempt(request_id, AttemptOutcome.SUCCEEDED)
    assert len(harness.dispatcher.components.queues) <= MAX_QUEUES + 24
    harness.advance(60_000 * MS)
    assert set(harness.answers) == set(harness.attempts)


def test_ever_new_workers_are_forgotten_and_those_in_use_are_not() -> None:
    harness = DispatchHarness([endpoint("kept")])
    harness.send_request(1)
    harness.dispatcher.endpoints_changed([endpoint("kept", EndpointCondition.GONE)])
    for number in range(3 * MAX_GONE_WORKERS):
        harness.dispatcher.endpoints_changed([endpoint(f"w{number}")])
        harness.dispatcher.endpoints_changed([endpoint(f"w{number}", EndpointCondition.GONE)])
    assert len(harness.dispatcher.workers) <= MAX_GONE_WORKERS + 1
    assert harness.worker_of(1) == "kept"
    harness.end_attempt(1, AttemptOutcome.SUCCEEDED)
    assert set(harness.answers) == {1}


def test_fewer_workers_that_are_gone_are_remembered_where_memory_is_short() -> None:
    harness = DispatchHarness([endpoint("kept")])
    for limit, expected in ((5, 5), (2 * MAX_GONE_WORKERS, MAX_GONE_WORKERS)):
        harness.dispatcher.limit_gone_workers(limit)
        for number in range(MAX_GONE_WORKERS + 10):
            harness.dispatcher.endpoints_changed([endpoint(f"w{number}")])
            harness.dispatcher.endpoints_changed([endpoint(f"w{number}", EndpointCondition.GONE)])
        assert len(harness.dispatcher.workers) == expected + 1
