"""Scheduling of calls to service discovery, and expiry of the endpoint list without an answer."""

from typing import Any

import pytest

from ploverspoke.decisions.interface import AttemptOutcome
from ploverspoke.decisions.list_validity import LIST_TTL_NS
from ploverspoke.decisions.state import SECOND
from tests.decisions.harness import MS, DispatchHarness, endpoint


def harness_with_expired_list(names: str, **settings: Any) -> DispatchHarness:
    """Return a harness with a dispatcher whose endpoint list has just expired."""
    harness = DispatchHarness([endpoint(name) for name in names], **settings)
    harness.dispatcher.endpoint_list_confirmed(harness.clock)
    harness.advance(LIST_TTL_NS)
    return harness


def test_moves_in_quick_succession_do_not_put_the_call_off() -> None:
    harness = DispatchHarness([endpoint("a")], dispatcher_count=3000)
    harness.advance(10 * SECOND)
    called_at = harness.clock
    for _ in range(200):
        calls = harness.watch_calls
        harness.dispatcher.discovery_address_changed()
        harness.advance(100 * MS)
        if harness.watch_calls > calls:
            called_at = harness.clock
        assert harness.clock - called_at <= SECOND + 100 * MS


@pytest.mark.parametrize("poll_interval", [200 * MS, SECOND, 10 * SECOND])
def test_health_check_covers_a_worker_no_longer_than_an_answer_covers_the_list(poll_interval: int) -> None:
    harness = harness_with_expired_list("a", discovery_poll_interval=poll_interval)
    harness.send_request(1)
    assert harness.probes == ["a"] and not harness.attempts[1]
    harness.dispatcher.probe_completed("a", AttemptOutcome.SUCCEEDED, MS, {})
    assert harness.worker_of(1) == "a"
    validity = min(LIST_TTL_NS, 4 * poll_interval)
    harness.advance(validity - 2 * MS)
    assert harness.dispatcher.may_send_to("a")
    harness.advance(2 * MS)
    assert not harness.dispatcher.may_send_to("a")


def test_workers_that_fail_health_checks_are_checked_at_an_interval() -> None:
    # Without the interval, each failed check was followed by the next one at once.
    harness = harness_with_expired_list("abcdefgh")
    checks = 0
    for request_id in range(10):
        harness.send_request(request_id)
        for _ in range(100):
            harness.advance(MS)
            probed, harness.probes = harness.probes, []
            checks += len(probed)
            for name in probed:
                harness.dispatcher.probe_completed(name, AttemptOutcome.WORKER_ERROR, MS, None)
    assert 8 <= checks <= 16, f"{checks} checks of 8 workers in a second"
    assert not any(harness.attempts.values())


def test_log_of_the_decisions_goes_on_after_its_first_lines() -> None:
    harness, lines = DispatchHarness([]), list[str]()
    harness.log = lambda line: lines.append(line)  # type: ignore[method-assign]
    for _ in range(60):
        harness.dispatcher.components.context.log.write("line")
    assert len(lines) == 40
    harness.advance(60 * SECOND)
    for _ in range(60):
        harness.dispatcher.components.context.log.write("line")
    assert len(lines) == 46
