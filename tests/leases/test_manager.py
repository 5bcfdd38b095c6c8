"""Single events of a leading lease server: the order of waiting holders, handover, expiry and rejection."""

from collections.abc import Callable

import pytest

from ploverspoke.leases.definitions import LeaseDefinition, LeaseDefinitions
from ploverspoke.leases.manager import LeaseManager
from ploverspoke.leases.messages import (
    LeaseRequest,
    LeaseResponse,
    LostLease,
    ReleasedLease,
    RequestedLease,
)
from ploverspoke.leases.state_machine import LeaseCommand, LeaseStateMachine
from ploverspoke.transport.units import SECOND

DEFINITIONS = LeaseDefinitions(
    {
        "one": LeaseDefinition(1, 10 * SECOND),
        "three": LeaseDefinition(3, 10 * SECOND),
        "team-*": LeaseDefinition(1, 10 * SECOND),
    },
    SECOND,
)


class SingleLeaseServer:
    """The environment of a sole leader: `commit_proposals` commits all proposals, in order."""

    def __init__(self) -> None:
        self.clock = 100 * SECOND
        self.state = LeaseStateMachine()
        self.sent: list[tuple[str, LeaseResponse]] = []
        self.proposed: list[tuple[LeaseCommand, Callable[[bool], None]]] = []
        self.committed_commands = 0
        self.manager = LeaseManager(self, self.state, DEFINITIONS)
        self.manager.become_leader()
        self.number = 0

    def now(self) -> int:
        return self.clock

    def propose(self, command: LeaseCommand, on_decided: Callable[[bool], None]) -> None:
        self.proposed.append((command, on_decided))

    def confirm_leadership(self, on_decided: Callable[[bool], None]) -> None:
        on_decided(True)

    def send(self, holder: str, response: LeaseResponse) -> None:
        self.sent.append((holder, response))

    def commit_proposals(self) -> None:
        while self.proposed:
            command, on_decided = self.proposed.pop(0)
            self.committed_commands += 1
            self.state.apply(0, command)
            on_decided(True)

    def request(
        self,
        holder: str,
        *wanted: tuple[str, int, int],
        released: tuple[tuple[str, int, str], ...] = (),
        waited: int = 0,
    ) -> None:
        self.number += 1
        rows = [RequestedLease(name, duration, token, waited) for name, duration, token in wanted]
        releases = [ReleasedLease(*row) for row in released]
        self.manager.handle_request(holder, LeaseRequest(self.number, rows, releases))
        self.commit_proposals()

    def holders(self, name: str) -> list[str]:
        return [grant.holder for grant in self.state.grants.get(name, ())]

    def pass_time(self, span: int) -> None:
        self.clock += span
        self.manager.tick()
        self.commit_proposals()


def test_a_thousand_holders_wait_in_order_and_only_the_next_is_sent_a_message() -> None:
    server = SingleLeaseServer()
    server.request("first", ("one", 2 * SECOND, 0))
    for number in range(1000):
        # The requests arrive in any order; the waiting time that each of them states determines the order.
        position = number * 7 % 1000
        server.request(f"w{position:03}", ("one", 2 * SECOND, 0), waited=(1000 - position) * 1000)
    for number in range(20):
        holder = "first" if number == 0 else f"w{number - 1:03}"
        assert server.holders("one") == [holder]
        server.sent.clear()
        commands_before = server.committed_commands
        server.request(holder, released=(("one", server.state.last_token, ""),))
        # One release and one grant; one response to the holder that released, and one to the next holder.
        assert server.committed_commands == commands_before + 2
        assert [recipient for recipient, _ in server.sent] in (
            [f"w{number:03}", holder],
            [holder, f"w{number:03}"],
        )
    server.manager.forget_holder("w020")
    server.request("w019", released=(("one", server.state.last_token, ""),))
    assert server.holders("one") == ["w021"]


def test_expired_lease_is_granted_to_next_waiter_and_not_before() -> None:
    server = SingleLeaseServer()
    for number in range(5):
        server.request(f"h{number}", ("three", 2 * SECOND, 0))
    assert server.holders("three") == ["h0", "h1", "h2"]
    server.pass_time(SECOND)
    server.request("h0", ("three", 2 * SECOND, 1))
    server.request("h3", ("three", 2 * SECOND, 0))
    server.request("h4", ("three", 2 * SECOND, 0))
    server.pass_time(SECOND - 1)
    assert server.holders("three") == ["h0", "h1", "h2"]
    server.pass_time(1)
    assert server.holders("three") == ["h0", "h3", "h4"]
    server.request("h1", ("three", 2 * SECOND, 2))
    assert server.sent[-1] == ("h1", LeaseResponse(server.number, [], [LostLease("three", 2)], []))


def test_lease_is_handed_over_and_what_a_request_leaves_out_is_not_waited_for() -> None:
    server = SingleLeaseServer()
    for holder in ("a", "b", "c", "d"):
        server.request(holder, ("one", 2 * SECOND, 0))
    server.request("b")
    server.request("a", released=(("one", 1, "d"),))
    assert server.holders("one") == ["d"]
    server.request("d", released=(("one", 2, ""),))
    assert server.holders("one") == ["c"]
    # Neither an old request nor a release by another holder ends the grant.
    server.manager.handle_request("c", LeaseRequest(1, [], [ReleasedLease("one", 3, "")]))
    server.request("a", released=(("one", 3, ""),))
    server.commit_proposals()
    assert server.holders("one") == ["c"]


@pytest.mark.parametrize(
    ("name", "duration", "reason"),
    [
        ("none", 2 * SECOND, "no lease is called 'none'"),
        ("one", SECOND // 2, "under 1000"),
        ("team-x", 11 * SECOND, "over 10000"),
    ],
)
def test_lease_that_cannot_be_granted_is_rejected_with_the_reason(
    name: str, duration: int, reason: str
) -> None:
    server = SingleLeaseServer()
    server.request("a", (name, duration, 0))
    [(_, response)] = server.sent
    assert response.rejected[0].name == name and reason in response.rejected[0].reason
    assert not server.state.grants
