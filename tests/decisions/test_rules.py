"""Dispatch rules and accounting, in seeded random runs and in single cases."""

import pytest

from ploverspoke.decisions.interface import AttemptOutcome, EndpointCondition
from ploverspoke.decisions.state import SECOND
from tests.decisions.harness import MS, Answer, DispatchHarness, endpoint
from tests.decisions.random_runs import random_run


@pytest.mark.parametrize("seed", range(40))
def test_rules_hold_in_random_runs(seed: int) -> None:
    random_run(seed, 400, probe_cost=seed % 2 * 0.002)


@pytest.mark.parametrize("seed", range(10))
def test_rules_hold_with_affinity_keys_and_zones(seed: int) -> None:
    random_run(1000 + seed, 300, cross_zone_cost=0.02, probing_allowed=False)


def test_same_events_same_actions() -> None:
    first, second = random_run(7, 500), random_run(7, 500)
    assert first.attempts == second.attempts and first.answers == second.answers


def test_deadline_already_past_is_answered_at_once() -> None:
    harness = DispatchHarness([endpoint("a")])
    harness.send_request(1, deadline_in=0)
    assert harness.answers == {1: Answer.REJECTED} and not harness.attempts[1]


def test_with_an_empty_endpoint_list_a_request_waits_and_is_rejected() -> None:
    harness = DispatchHarness([])
    harness.send_request(1)
    harness.advance(5 * SECOND)
    assert harness.answers[1] == Answer.REJECTED


def test_nothing_new_goes_to_a_draining_worker() -> None:
    harness = DispatchHarness([endpoint("a")])
    harness.dispatcher.endpoints_changed([endpoint("a", EndpointCondition.DRAINING)])
    harness.send_request(1)
    assert harness.worker_of(1) is None


def test_an_absent_worker_is_gone() -> None:
    harness = DispatchHarness([endpoint("a"), endpoint("b")])
    harness.dispatcher.endpoint_list_received([endpoint("b")])
    for request_id in range(4):
        harness.send_request(request_id)
        assert harness.worker_of(request_id) in ("b", None)


def test_a_warming_worker_is_not_flooded() -> None:
    harness = DispatchHarness([endpoint("a", started_at=100 * SECOND)])
    for request_id in range(20):
        harness.send_request(request_id)
        if harness.worker_of(request_id):
            harness.report_start(request_id)
            harness.advance(10 * MS)
            harness.end_attempt(request_id, AttemptOutcome.SUCCEEDED)
    sent = sum(len(attempts) for attempts in harness.attempts.values())
    assert sent < 10


def test_a_warming_worker_gets_some_work_however_many_dispatchers_there_are() -> None:
    harness = DispatchHarness([endpoint("a"), endpoint("b", started_at=100 * SECOND)], dispatcher_count=20)
    sent_to = []
    for request_id in range(60):
        harness.send_request(request_id)
        if harness.worker_of(request_id):
            harness.report_start(request_id)
        harness.advance(50 * MS)
        sent_to += [attempt.worker for attempt in harness.attempts[request_id]]
        running = [
            each
            for each in harness.attempts
            if harness.worker_of(each) and harness.attempts[each][-1].started
        ]
        for each in running[:-2]:
            harness.end_attempt(each, AttemptOutcome.SUCCEEDED)
    assert 0 < sent_to.count("b") < sent_to.count("a")


def test_the_watch_is_retried_with_growing_backoff() -> None:
    harness = DispatchHarness([])
    waits = []
    for _ in range(3):
        before = harness.clock
        harness.dispatcher.endpoint_watch_failed()
        watches = harness.watch_calls
        while harness.watch_calls == watches:
            harness.advance(10 * MS)
        waits.append(harness.clock - before)
    assert waits[2] > waits[0] and waits[2] < 10 * SECOND


@pytest.mark.parametrize("seed", range(20))
def test_rules_hold_where_full_is_no_proof(seed: int) -> None:
    drains = {"only_draining_is_binding": seed % 3 == 0}
    random_run(3000 + seed, 300, full_may_have_run=True, probe_cost=seed % 2 * 0.002, **drains)


@pytest.mark.parametrize(
    ("full_is_proof", "request_class", "is_retried"),
    [(True, 0, True), (False, 0, True), (True, 2, True), (False, 2, False)],
)
def test_after_a_full_answer(full_is_proof: bool, request_class: int, is_retried: bool) -> None:
    harness = DispatchHarness(
        [endpoint("a", kind=1), endpoint("b", kind=1)], full_may_have_run=not full_is_proof
    )
    harness.send_request(1, request_class)
    first = harness.worker_of(1)
    harness.end_attempt(1, AttemptOutcome.FULL)
    harness.advance(100 * MS)
    assert harness.worker_of(1) == ({"a": "b", "b": "a"}[str(first)] if is_retried else None)
    assert harness.answers == ({} if is_retried else {1: Answer.FAILED}), "no other attempt and no rejection"


def test_gone_is_binding_only_where_no_drain_is_needed() -> None:
    for only_draining in (False, True):
        harness = DispatchHarness([endpoint("a")], only_draining_is_binding=only_draining)
        harness.dispatcher.endpoint_list_received([])
        assert harness.probes == (["a"] if only_draining else []), "a worker listed as gone is probed"
        if only_draining:
            harness.dispatcher.probe_completed("a", AttemptOutcome.SUCCEEDED, MS, {"free_slots": 2.0})
        harness.send_request(1)
        assert harness.worker_of(1) == ("a" if only_draining else None)


def test_a_drain_is_binding_until_the_worker_is_ready_again() -> None:
    harness = DispatchHarness([endpoint("a")], only_draining_is_binding=True)
    for condition in (EndpointCondition.DRAINING, EndpointCondition.GONE):
        harness.dispatcher.endpoints_changed([endpoint("a", condition)])
        harness.send_request(len(harness.attempts))
    assert not harness.probes and not any(harness.attempts.values())
    harness.dispatcher.endpoints_changed([endpoint("a")])
    harness.dispatcher.endpoints_changed([endpoint("a", EndpointCondition.GONE)])
    assert harness.probes == ["a"], "the worker was ready after its drain, and is gone without another one"
