"""LeaseServers and holders event by event: order of waiting, no herd, handing over, what is left out."""

from collections.abc import Callable
from typing import Any

import pytest

from ploverspoke.leases.definitions import LeaseDefinition, LeaseDefinitions
from ploverspoke.leases.holder import LeaseHolder
from ploverspoke.leases.manager import LeaseManager
from ploverspoke.leases.state_machine import LeaseStateMachine

S = 1_000_000_000
RULES = LeaseDefinitions(
    {
        "one": LeaseDefinition(1, 10 * S),
        "three": LeaseDefinition(3, 10 * S),
        "team-*": LeaseDefinition(1, 10 * S),
    },
    S,
)


class Host:
    """A keeper that leads alone: what it proposes is committed at once, as a later event."""

    def __init__(self) -> None:
        self.clock = 100 * S
        self.terms = LeaseStateMachine()
        self.told: list[tuple[str, dict[str, Any]]] = []
        self.proposed: list[tuple[list[Any], Callable[[bool], None]]] = []
        self.commands = 0
        self.keeper = LeaseManager(self, self.terms, RULES)
        self.keeper.leads()
        self.number = 0

    def now(self) -> int:
        return self.clock

    def propose(self, command: list[Any], then: Callable[[bool], None]) -> None:
        self.proposed.append((command, then))

    def confirm(self, then: Callable[[bool], None]) -> None:
        then(True)

    def tell(self, holder: str, message: dict[str, Any]) -> None:
        self.told.append((holder, message))

    def settle(self) -> None:
        while self.proposed:
            command, then = self.proposed.pop(0)
            self.commands += 1
            self.terms.apply(0, command)
            then(True)

    def ask(self, holder: str, *want: tuple[str, int, int], release: Any = (), waited: int = 0) -> None:
        self.number += 1
        rows = [[name, duration, token, waited] for name, duration, token in want]
        self.keeper.asked(holder, {"n": self.number, "want": rows, "release": list(release)})
        self.settle()

    def holders(self, name: str) -> list[str]:
        return [held.holder for held in self.terms.names.get(name, ())]

    def pass_time(self, span: int) -> None:
        self.clock += span
        self.keeper.tick()
        self.settle()


def test_a_thousand_wait_in_their_order_and_only_the_next_is_told() -> None:
    host = Host()
    host.ask("first", ("one", 2 * S, 0))
    for n in range(1000):
        # They come in any order; how long each says it has waited is what counts.
        host.ask(f"w{n * 7 % 1000:03}", ("one", 2 * S, 0), waited=(1000 - n * 7 % 1000) * 1000)
    for n in range(20):
        holder = "first" if n == 0 else f"w{n - 1:03}"
        assert host.holders("one") == [holder]
        host.told.clear()
        commands = host.commands
        host.ask(holder, release=[["one", host.terms.last, ""]])
        # One release, one grant; an answer to who asked, and a word to who is next.
        assert host.commands == commands + 2
        assert [who for who, _ in host.told] in ([f"w{n:03}", holder], [holder, f"w{n:03}"])
    host.keeper.gone("w020")
    host.ask("w019", release=[["one", host.terms.last, ""]])
    assert host.holders("one") == ["w021"]


def test_a_place_is_given_on_when_it_is_over_and_not_before() -> None:
    host = Host()
    for n in range(5):
        host.ask(f"h{n}", ("three", 2 * S, 0))
    assert host.holders("three") == ["h0", "h1", "h2"]
    host.pass_time(S)
    host.ask("h0", ("three", 2 * S, 1))
    host.ask("h3", ("three", 2 * S, 0))
    host.ask("h4", ("three", 2 * S, 0))
    host.pass_time(S - 1)
    assert host.holders("three") == ["h0", "h1", "h2"]
    host.pass_time(1)
    assert host.holders("three") == ["h0", "h3", "h4"]
    host.ask("h1", ("three", 2 * S, 2))
    assert host.told[-1] == ("h1", {"n": host.number, "has": [], "lost": [["three", 2]], "refused": []})


def test_a_lease_is_handed_over_and_what_is_left_out_is_wanted_no_more() -> None:
    host = Host()
    for holder in ("a", "b", "c", "d"):
        host.ask(holder, ("one", 2 * S, 0))
    host.ask("b")
    host.ask("a", release=[["one", 1, "d"]])
    assert host.holders("one") == ["d"]
    host.ask("d", release=[["one", 2, ""]])
    assert host.holders("one") == ["c"]
    # Neither an old message nor another's word ends it.
    host.keeper.asked("c", {"n": 1, "want": [], "release": [["one", 3, ""]]})
    host.ask("a", release=[["one", 3, ""]])
    host.settle()
    assert host.holders("one") == ["c"]


@pytest.mark.parametrize(
    ("name", "duration", "why"),
    [
        ("none", 2 * S, "no lease is called 'none'"),
        ("one", S // 2, "under 1000"),
        ("team-x", 11 * S, "over 10000"),
    ],
)
def test_what_may_not_be_given_is_refused_with_the_reason(name: str, duration: int, why: str) -> None:
    host = Host()
    host.ask("a", (name, duration, 0))
    [(_, told)] = host.told
    assert told["refused"][0][0] == name and why in told["refused"][0][1] and not host.terms.names


class Side:
    """A holder's host."""

    def __init__(self) -> None:
        self.clock = 50 * S
        self.sent: list[dict[str, Any]] = []
        self.elsewhere = 0
        self.holder = LeaseHolder(self)

    def now(self) -> int:
        return self.clock

    def send(self, message: dict[str, Any]) -> None:
        self.sent.append(message)

    def go_elsewhere(self) -> None:
        self.elsewhere += 1

    def pass_time(self, span: int) -> None:
        self.clock += span
        self.holder.tick()

    def answer(self, number: int, *has: tuple[str, int]) -> None:
        rows = [[name, token, 2 * S] for name, token in has]
        self.holder.told({"n": number, "has": rows, "lost": [], "refused": []})


def test_a_holder_counts_from_before_it_asked_and_renews_all_in_one_message() -> None:
    side = Side()
    lost: list[str] = []
    for name in ("one", "team-a"):
        side.holder.want(name, 2 * S).on_lost = lost.append
    side.holder.tick()
    [ask] = side.sent
    assert [row[:3] for row in ask["want"]] == [["one", 2 * S, 0], ["team-a", 2 * S, 0]]
    side.clock += S // 10  # that is how long the answer takes
    side.answer(1, ("one", 7), ("team-a", 8))
    assert side.holder.left("one") == 2 * S - S // 5 - S // 10 and side.holder.token("team-a") == 8
    side.pass_time(S)  # a third of the time is over: both are renewed with one message
    assert len(side.sent) == 2 and [row[2] for row in side.sent[1]["want"]] == [7, 8]
    side.pass_time(S // 5)  # no answer: asked again, at another keeper
    assert len(side.sent) == 3 and side.elsewhere == 1
    side.pass_time(S)
    assert not side.holder.left("one") and lost == ["it was not renewed in time"] * 2
    side.answer(1, ("one", 7))  # doubled, and for a message of long ago: over already
    assert not side.holder.token("one")
    side.answer(2, ("one", 7))  # late, and some of it is left
    assert side.holder.left("one") == 6 * S // 10
    assert side.holder.token("one") == 7
    side.holder.release("one", to="other/1")
    side.pass_time(1)
    assert side.sent[-1]["release"] == [["one", 7, "other/1"]] and not side.holder.token("one")


def test_a_pause_ends_what_a_holder_has_before_it_does_anything() -> None:
    side = Side()
    side.holder.want("one", 2 * S)
    side.holder.tick()
    side.answer(1, ("one", 7))
    side.clock += 10 * S
    assert not side.holder.left("one") and not side.holder.token("one")
