"""Single events of a lease holder: when durations begin, renewal, and a pause of the process."""

from ploverspoke.leases.holder import LeaseHolder
from ploverspoke.leases.messages import GrantedLease, LeaseRequest, LeaseResponse, ReleasedLease
from ploverspoke.transport.units import SECOND


class HolderEnvironment:
    """A manual clock, and a record of the requests that were sent."""

    def __init__(self) -> None:
        self.clock = 50 * SECOND
        self.sent: list[LeaseRequest] = []
        self.server_changes = 0
        self.holder = LeaseHolder(self)

    def now(self) -> int:
        return self.clock

    def send(self, request: LeaseRequest) -> None:
        self.sent.append(request)

    def try_next_server(self) -> None:
        self.server_changes += 1

    def pass_time(self, span: int) -> None:
        self.clock += span
        self.holder.tick()

    def respond(self, number: int, *granted: tuple[str, int]) -> None:
        rows = [GrantedLease(name, token, 2 * SECOND) for name, token in granted]
        self.holder.handle_response(LeaseResponse(number, rows))


def test_holder_counts_from_before_its_request_and_renews_all_leases_in_one() -> None:
    environment = HolderEnvironment()
    holder = environment.holder
    lost: list[str] = []
    for name in ("one", "team-a"):
        holder.request_lease(name, 2 * SECOND).on_lost = lost.append
    holder.tick()
    [request] = environment.sent
    wanted = [(lease.name, lease.duration, lease.token) for lease in request.wanted]
    assert wanted == [("one", 2 * SECOND, 0), ("team-a", 2 * SECOND, 0)]
    environment.clock += SECOND // 10  # the time until the response arrives
    environment.respond(1, ("one", 7), ("team-a", 8))
    assert holder.time_left("one") == 2 * SECOND - SECOND // 5 - SECOND // 10 and holder.token("team-a") == 8
    environment.pass_time(SECOND)  # a third of the time has passed: both are renewed with one request
    assert len(environment.sent) == 2 and [lease.token for lease in environment.sent[1].wanted] == [7, 8]
    environment.pass_time(SECOND // 5)  # no response: sent again, to another lease server
    assert len(environment.sent) == 3 and environment.server_changes == 1
    environment.pass_time(SECOND)
    assert not holder.time_left("one") and lost == ["it was not renewed in time"] * 2
    environment.respond(1, ("one", 7))  # a duplicate, to an old request: already expired
    assert not holder.token("one")
    environment.respond(2, ("one", 7))  # late, but some time is left
    assert holder.time_left("one") == 6 * SECOND // 10
    assert holder.token("one") == 7
    holder.release("one", hand_over_to="other/1")
    environment.pass_time(1)
    assert environment.sent[-1].released == [ReleasedLease("one", 7, "other/1")] and not holder.token("one")


def test_pause_ends_a_lease_before_its_holder_does_anything() -> None:
    environment = HolderEnvironment()
    holder = environment.holder
    holder.request_lease("one", 2 * SECOND)
    holder.tick()
    environment.respond(1, ("one", 7))
    environment.clock += 10 * SECOND
    assert not holder.time_left("one") and not holder.token("one")
