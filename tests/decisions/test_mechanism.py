"""Queueing, retries, ejection and affinity, in small single cases."""

import itertools
from collections import deque

import pytest

from ploverspoke.decisions.interface import AttemptOutcome
from ploverspoke.decisions.state import SECOND, Placeholder
from tests.decisions.harness import MS, Answer, DispatchHarness, endpoint


def test_an_arrival_takes_the_slots_of_a_placeholder() -> None:
    harness = DispatchHarness([endpoint("a"), endpoint("b")])
    harness.send_request(1)
    worker = harness.dispatcher.workers["b" if harness.worker_of(1) == "a" else "a"]
    worker.placeholders.append(Placeholder(harness.first_queue(), harness.clock + SECOND))
    harness.send_request(2)
    assert harness.worker_of(2) == worker.name and not worker.placeholders


def test_a_larger_request_takes_over_placeholders_until_none_is_left() -> None:
    harness = DispatchHarness([endpoint("a")])
    harness.send_request(1)
    harness.end_attempt(1, AttemptOutcome.SUCCEEDED)
    worker = harness.dispatcher.workers["a"]
    worker.capacity = 2.0
    worker.placeholders.append(Placeholder(harness.first_queue(), harness.clock + SECOND))
    harness.send_request(2, slots=2.0)
    assert harness.worker_of(2) == "a" and not worker.placeholders


def test_a_late_start_cuts_the_capacity_to_what_had_started() -> None:
    harness = DispatchHarness([endpoint("a")])
    harness.send_request(1)
    harness.advance(MS)
    harness.report_start(1)
    worker = harness.dispatcher.workers["a"]
    harness.send_request(2)
    harness.advance(300 * MS)
    harness.report_start(2)
    assert worker.capacity == 1.0


def test_no_request_goes_to_a_worker_with_a_pending_start() -> None:
    harness = DispatchHarness([endpoint("a")])
    harness.send_request(1)
    harness.advance(MS)
    harness.report_start(1)
    harness.send_request(2)
    harness.advance(50 * MS)
    harness.dispatcher.workers["a"].capacity = 9.0
    harness.send_request(3)
    assert harness.worker_of(2) == "a" and harness.worker_of(3) is None


def test_overdue_requests_are_given_up_for_those_behind() -> None:
    harness = DispatchHarness([])
    harness.send_request(1)
    harness.advance(10 * MS)
    harness.send_request(2)
    harness.advance(10 * MS)
    assert harness.answers == {1: Answer.REJECTED}


def test_requests_with_one_affinity_key_go_to_one_worker() -> None:
    harness = DispatchHarness([endpoint(name) for name in "abcdef"])
    workers = set()
    for request_id in range(6):
        harness.send_request(request_id, affinity_key="listing-7")
        workers.add(harness.worker_of(request_id))
        harness.report_start(request_id)
        harness.end_attempt(request_id, AttemptOutcome.SUCCEEDED)
    assert len(workers) == 1


def test_replacement_prefers_an_affinity_key_with_its_preferred_worker_there() -> None:
    harness = DispatchHarness([endpoint("a"), endpoint("b")])
    for name in "ab":
        harness.dispatcher.workers[name].capacity = harness.dispatcher.workers[name].capacity_before_cut = 0.0
    keys = [f"s{number}" for number in range(9)]
    for number, affinity_key in enumerate(keys):
        harness.send_request(number, affinity_key=affinity_key)
    preferred = [
        harness.dispatcher.components.choice.tiers(-1, harness.dispatcher.open_requests[number])[0][0].name
        for number in range(9)
    ]
    assert set(preferred) == {"a", "b"}
    other = "b" if preferred[0] == "a" else "a"
    harness.dispatcher.random.fraction = lambda: 0.0  # type: ignore[method-assign]
    harness.dispatcher.components.service.replace(
        harness.dispatcher.open_requests[0].queue, harness.dispatcher.workers[other], harness.clock
    )
    assert [number for number in range(9) if harness.worker_of(number)] == [preferred.index(other)]


def test_a_head_bound_to_its_rack_does_not_block_its_queue() -> None:
    harness = DispatchHarness([endpoint("a", rack=1)])
    harness.send_request(1, request_class=1)
    harness.end_attempt(1, AttemptOutcome.TIMED_OUT)
    harness.send_request(2)
    harness.dispatcher.workers["a"].ready = False
    harness.dispatcher.endpoints_changed([endpoint("b", rack=2)])
    harness.endpoints["b"] = endpoint("b", rack=2)
    for _ in range(20):
        harness.dispatcher.components.service.tick(harness.clock)
    assert harness.worker_of(1) is None and harness.worker_of(2) == "b"


def test_a_silent_worker_is_ejected_and_its_idempotent_request_retried() -> None:
    harness = DispatchHarness([endpoint(name) for name in "abcd"])
    harness.send_request(1)
    harness.report_start(1)
    first = str(harness.worker_of(1))
    harness.send_request(2, request_class=2, deadline_in=9 * SECOND)
    harness.advance(1900 * MS)
    assert harness.attempts[1][0].outcome is AttemptOutcome.CANCELLED and first in harness.probes
    harness.dispatcher.probe_completed(first, AttemptOutcome.TIMED_OUT, 250 * MS, None)
    assert harness.dispatcher.workers[first].ejected


def test_a_silent_connection_does_not_eject_its_worker() -> None:
    # A single connection may fall silent; each silent connection ejected its worker for 8 to 12 s.
    harness = DispatchHarness([endpoint(name) for name in "abcd"])
    harness.send_request(1)
    harness.report_start(1)
    first = str(harness.worker_of(1))
    harness.advance(1900 * MS)
    assert harness.probes == [first]
    harness.dispatcher.probe_completed(first, AttemptOutcome.SUCCEEDED, MS, None)
    assert (
        not harness.dispatcher.workers[first].ejected
        and harness.attempts[1][0].outcome is AttemptOutcome.CANCELLED
    )


def test_an_unreachable_worker_returns_only_after_a_probe() -> None:
    harness = DispatchHarness([endpoint(name) for name in "abcd"])
    harness.send_request(1)
    worker = harness.dispatcher.workers[str(harness.worker_of(1))]
    harness.end_attempt(1, AttemptOutcome.UNREACHABLE)
    harness.dispatcher.probe_completed(harness.probes.pop(), AttemptOutcome.UNREACHABLE, MS, None)
    assert worker.ejected
    harness.advance(13 * SECOND)
    assert harness.probes == [worker.name]
    harness.dispatcher.probe_completed(worker.name, AttemptOutcome.TIMED_OUT, SECOND, None)
    assert worker.ejected
    harness.dispatcher.probe_completed(worker.name, AttemptOutcome.SUCCEEDED, MS, None)
    assert not worker.ejected


@pytest.mark.parametrize("probing", [True, False])
@pytest.mark.parametrize("outcome", [AttemptOutcome.UNREACHABLE, AttemptOutcome.CONNECTION_BROKEN])
def test_one_broken_connection_ejects_no_worker(outcome: AttemptOutcome, probing: bool) -> None:
    # With occasional connection resets all workers were ejected within seconds.
    harness = DispatchHarness([endpoint(name) for name in "abc"], probing_allowed=probing)
    harness.send_request(0)
    worker = harness.dispatcher.workers[str(harness.worker_of(0))]
    harness.end_attempt(0, outcome)
    if probing:
        harness.send_request(1)
        assert harness.probes == [worker.name] and harness.worker_of(1) != worker.name
        harness.dispatcher.probe_completed(harness.probes.pop(), AttemptOutcome.SUCCEEDED, MS, None)
    assert not any(each.ejected for each in harness.dispatcher.workers.values())
    alone = DispatchHarness([endpoint("a")], probing_allowed=probing)
    for number in range(2):
        alone.send_request(number)
    alone.end_attempt(0, outcome)
    alone.end_attempt(1, outcome)
    if probing:
        alone.dispatcher.probe_completed(alone.probes.pop(), AttemptOutcome.CONNECTION_BROKEN, MS, None)
    assert alone.dispatcher.workers["a"].ejected


def test_only_a_part_of_the_workers_is_ejected() -> None:
    harness = DispatchHarness([endpoint(name) for name in "abcdef"])
    for worker in list(harness.dispatcher.workers.values()):
        harness.dispatcher.components.ejection.eject(worker, harness.clock)
    assert sum(each.ejected for each in harness.dispatcher.workers.values()) == 2


def test_a_waiting_keyed_request_is_not_cancelled_while_its_rack_is_full() -> None:
    harness = DispatchHarness([endpoint("a", rack=1), endpoint("b", rack=2)])
    harness.dispatcher.workers["b"].ready = False
    harness.send_request(1, request_class=1)
    harness.dispatcher.workers["b"].ready = True
    harness.advance(SECOND)
    assert harness.attempts[1][0].outcome is None


def test_ejection_on_proof_is_not_limited() -> None:
    harness = DispatchHarness([endpoint(name) for name in "abc"])
    harness.send_request(1)
    while harness.attempts[1] and harness.worker_of(1):
        harness.end_attempt(1, AttemptOutcome.UNREACHABLE)
        harness.dispatcher.probe_completed(harness.probes.pop(), AttemptOutcome.UNREACHABLE, MS, None)
        harness.advance(100 * MS)
    assert sum(each.ejected for each in harness.dispatcher.workers.values()) == len(harness.attempts[1]) > 1


def test_a_non_idempotent_request_does_not_try_a_worker_that_has_just_returned() -> None:
    harness = DispatchHarness([endpoint("a", kind=1)])
    harness.dispatcher.components.ejection._readmit(harness.dispatcher.workers["a"], harness.clock)
    harness.send_request(1, request_class=2)
    harness.send_request(2, request_class=0)
    assert harness.worker_of(1) is None and harness.worker_of(2) == "a"


def test_machine_kinds_that_a_class_requires_are_reserved_for_it() -> None:
    harness = DispatchHarness([endpoint("a", kind=1), endpoint("b", kind=0), endpoint("c", kind=1)])
    harness.send_request(1)
    assert harness.worker_of(1) == "b"


def test_no_replacement_where_the_wait_was_more_than_affordable() -> None:
    harness = DispatchHarness([endpoint("a")])
    worker = harness.dispatcher.workers["a"]
    worker.capacity = worker.capacity_before_cut = 1.0
    harness.send_request(1)
    harness.dispatcher.components.observations.start_delays[0] = deque([MS])
    harness.advance(60 * MS)
    harness.report_start(1)
    assert harness.dispatcher.open_requests[1].started_too_late
    harness.send_request(2)
    harness.end_attempt(1, AttemptOutcome.SUCCEEDED)
    assert harness.worker_of(2) is None


def test_an_overtaken_attempt_is_no_pending_start() -> None:
    harness = DispatchHarness([endpoint("a", kind=1)])
    worker = harness.dispatcher.workers["a"]
    harness.send_request(1, request_class=2)
    harness.advance(MS)
    harness.send_request(2, request_class=2)
    harness.report_start(2)
    harness.advance(100 * MS)
    assert harness.worker_of(1) == "a" and not harness.dispatcher.components.capacity.has_pending_start(
        worker, harness.clock
    )


def test_a_bound_request_is_not_cancelled_to_be_sent_to_the_same_worker() -> None:
    # In a run with real sockets, a request with an idempotency key was sent to the same worker six times, and
    # left a copy there each time.
    harness = DispatchHarness([endpoint("a"), endpoint("b")])
    for request_id in (1, 2):
        harness.send_request(request_id, affinity_key="s")
        harness.report_start(request_id)
        harness.advance(100 * MS)
        harness.end_attempt(request_id, AttemptOutcome.SUCCEEDED)
    harness.send_request(3, request_class=1, affinity_key="s")
    harness.advance(2 * SECOND)
    workers = [attempt.worker for attempt in harness.attempts[3]]
    assert len(workers) > 1 and all(earlier != later for earlier, later in itertools.pairwise(workers))


def test_an_affinity_key_has_preferred_workers_by_its_share_of_the_latest_arrivals() -> None:
    # One key has a seventh of the traffic, more than a worker's load. Of thousands of other keys only the
    # latest are stored.
    harness = DispatchHarness([endpoint(f"w{number}") for number in range(40)])
    for number in range(700):
        harness.dispatcher.components.observations.affinity_keys.record(
            "common" if number % 7 == 0 else f"user-{number}"
        )
    assert (
        harness.dispatcher.components.choice.preferred_count("common") == 8
        and harness.dispatcher.components.choice.preferred_count("user-699") == 1
    )
    assert (
        harness.dispatcher.components.choice.preferred_count("") == 0
        and len(harness.dispatcher.components.observations.affinity_keys.recent) == 512
    )
