"""LeaseServers and contenders as real processes, killed, paused and cut off; what a resource saw is
judged."""

import pytest

from ploverspoke.testbed.processes.history import Happened
from ploverspoke.testbed.processes.lease_check import gaps, judge
from ploverspoke.testbed.processes.lease_run import Plan, play
from ploverspoke.testbed.processes.timeline import Step
from ploverspoke.testbed.spans import MILLISECOND, SECOND, Span

RUNS_LONG = True  # scheduled first: see tests/conftest.py

MS = MILLISECOND


def test_no_two_act_at_once_through_kills_pauses_cuts_and_clocks_that_drift() -> None:
    played = play(Plan(lasts=Span(60 * SECOND)), 1)
    assert played.shown == [], "\n".join(played.shown)
    assert (played.void, played.faults, played.verdict.void()) == ("", [], "")
    assert played.verdict.taken > 2000 and played.verdict.names == 3
    done = {event.what for event in played.events if event.who == "rig"}
    assert done >= {"kill is over", "pause is over", "lay", "lift", "wall jumps"}


@pytest.mark.parametrize("fenced", [True, False])
def test_an_effect_that_was_on_its_way_is_refused_by_a_fence_and_found_without_one(fenced: bool) -> None:
    # Each in turn does not reach the resource for a while: what it has sent comes when others act by then.
    steps = [
        Step(at=Span(n * 700 * MS), what="cut", who=[f"c{n % 4}"], to=["r"], lasts=Span(2 * SECOND))
        for n in range(1, 14)
    ]
    plan = Plan(keepers=3, contenders=4, names={"one": 1}, lasts=Span(12 * SECOND), fenced=fenced)
    played = play(plan, 1, steps)
    assert (played.void, played.faults) == ("", [])
    if fenced:
        assert played.shown == [] and played.verdict.refused > 0
    else:
        assert "was taken after" in played.shown[0] and "timeline" in played.shown[0]
    assert played.verdict.void(fewest=5) == "" and played.verdict.void(fewest=10_000)


def test_holders_that_count_too_long_are_found_on_processes() -> None:
    # Each in turn does not reach the keepers for a while, and the next is given the lease by then.
    keepers = ["k0", "k1", "k2"]
    steps = [
        Step(at=Span(n * 1500 * MS), what="cut", who=[f"c{n % 4}"], to=keepers, lasts=Span(2500 * MS))
        for n in range(1, 6)
    ]
    plan = Plan(keepers=3, contenders=4, names={"one": 1}, lasts=Span(9 * SECOND), keeps=1.0, outlasts=True)
    played = play(plan, 1, steps)
    assert (played.void, played.faults) == ("", []) and "act at once" in played.shown[0]


def test_nobody_acts_past_the_end_while_a_majority_is_gone_and_all_go_on_by_themselves() -> None:
    begins, lasts = 4 * SECOND, 6 * SECOND
    steps = [
        Step(at=Span(begins), what="pause", who=["k0", "k1"], lasts=Span(lasts)),
        Step(at=Span(begins), what="kill", who=["k2"], lasts=Span(lasts)),
    ]
    plan = Plan(keepers=5, contenders=8, names={"one": 1, "two": 1}, lasts=Span(16 * SECOND))
    played = play(plan, 3, steps)
    assert (played.shown, played.void, played.faults) == ([], "", [])
    epoch = next(event.at for event in played.events if event.what == "begin")
    acts = [(event.at - epoch) / SECOND for event in played.events if event.what == "acts"]
    # A lease lasts 1 s, and a holder's clock is 5% slow at the most.
    assert not [at for at in acts if 5.1 < at < 9.9]
    assert [at for at in acts if at < 4] and [at for at in acts if at > 13]


def row(at: int, who: str, what: str, *detail: object) -> Happened:
    return Happened(at * MS, who, what, list(detail))


CLEAN = [
    row(0, "a", "acts", "n", 1),
    row(10, "a", "acts", "n", 1),
    row(20, "b", "acts", "n", 2),
    row(21, "resource", "effect", "n", 2, 20, True, "b"),
    row(22, "resource", "effect", "n", 1, 10, False, "a"),
]


@pytest.mark.parametrize(
    ("more", "found"),
    [
        ([], ""),
        ([row(25, "a", "acts", "n", 1)], "n: a under 1, b under 2 act at once, 1 may"),
        ([row(25, "c", "acts", "n", 2)], "n: token 2 was acted under by b, c"),
        ([row(30, "c", "acts", "n", 1)], "n: token 1 was acted under by a, c"),
        ([row(5, "c", "acts", "n", 3)], "act at once"),
        ([row(30, "resource", "effect", "n", 1, 10, True, "a")], "n: token 1 was taken after 2"),
    ],
)
def test_the_checker_finds_each_kind_of_break(more: list[Happened], found: str) -> None:
    findings = judge(sorted([*CLEAN, *more]), {"n": 1}).findings
    assert (not findings) if not found else any(found in what for what, _ in findings)


def test_the_checker_counts_places_and_gaps() -> None:
    both = [row(0, "a", "acts", "n", 1), row(1, "b", "acts", "n", 2), row(9, "a", "acts", "n", 1)]
    assert not judge(both, {"n": 2}).findings and judge(both, {"n": 1}).findings
    third = [*both, row(1, "c", "acts", "n", 3)]
    assert judge(sorted(third), {"n": 2}).findings
    killed = [
        row(10, "rig", "holder killed", "a", "n"),
        row(1200, "a", "acts", "n", 4),
        row(1300, "c", "acts", "n", 5),
    ]
    assert gaps(sorted([*both, *killed]), "holder killed") == [1.29]
