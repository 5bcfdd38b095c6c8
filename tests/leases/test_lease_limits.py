"""What one holder, or all of them, can make a leading lease server keep."""

from collections.abc import Callable

import pytest

from ploverspoke.leases import grant_limits
from ploverspoke.leases.manager import MAX_WANTED_LEASES
from ploverspoke.leases.messages import LeaseRequest, RequestedLease
from ploverspoke.transport.units import SECOND
from tests.leases.test_manager import SingleLeaseServer

DURATION = 5 * SECOND


def want(server: SingleLeaseServer, holder: str, first: int, count: int) -> None:
    server.request(holder, *((f"team-{number}", DURATION, 0) for number in range(first, first + count)))


def test_holder_that_wants_ever_new_leases_gets_no_more_than_one_request_may_name() -> None:
    server = SingleLeaseServer()
    for request in range(4):
        want(server, "greedy", first=request * MAX_WANTED_LEASES, count=MAX_WANTED_LEASES)
    assert server.state.total() == MAX_WANTED_LEASES
    want(server, "other", first=9 * MAX_WANTED_LEASES, count=3)
    assert server.state.total() == MAX_WANTED_LEASES + 3
    server.pass_time(DURATION)
    want(server, "greedy", first=1, count=7)  # names that it had before; its own old grants do not count
    assert server.state.total() <= MAX_WANTED_LEASES + 3
    assert server.holders("team-1") == ["greedy"]


def test_holders_under_ever_new_names_get_no_more_than_the_server_keeps(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(grant_limits, "MAX_HELD_LEASES", 10)
    server = SingleLeaseServer()
    for holder in range(8):
        want(server, f"h{holder}", first=holder * 4, count=4)
        server.manager.forget_holder(f"h{holder}")
    assert server.state.total() == 10
    assert not server.manager.queues.total()
    server.pass_time(DURATION)
    want(server, "h9", first=100, count=4)
    assert len(server.holders("team-100")) == 1


def test_requests_that_no_majority_confirms_are_kept_once_for_each_holder(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    server = SingleLeaseServer()
    undecided: list[Callable[[bool], None]] = []
    monkeypatch.setattr(server, "confirm_leadership", undecided.append)
    for number in range(1, 200):
        for holder in ("a", "b"):
            request = LeaseRequest(number, [RequestedLease("three", DURATION, 0, 0)], [])
            server.manager.handle_request(holder, request)
            server.commit_proposals()
    assert len(server.manager.unconfirmed_requests) <= 2 and len(undecided) == 1
    server.sent.clear()
    undecided.pop()(True)
    undecided.pop()(True)
    latest = {holder: response.number for holder, response in server.sent}
    assert latest == {"a": 199, "b": 199}


def test_holder_at_its_limit_does_not_keep_a_lease_from_those_behind_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(grant_limits, "MAX_LEASES_PER_HOLDER", 2)
    server = SingleLeaseServer()
    server.request("first", ("one", DURATION, 0))
    server.request("greedy", ("one", DURATION, 0), ("team-1", DURATION, 0))
    server.request("greedy", ("one", DURATION, 0), ("team-2", DURATION, 0))  # waits, and is at its limit
    server.request("behind", ("one", DURATION, 0))
    server.request("first", released=(("one", server.state.grants["one"][0].token, ""),))
    assert server.holders("one") == ["behind"]
