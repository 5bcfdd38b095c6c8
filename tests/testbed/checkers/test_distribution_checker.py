"""The checker of distributed configuration on histories by hand: good ones pass, each break is found."""

from collections.abc import Callable

import pytest

from ploverspoke.testbed.checkers.distribution_checker import check_distribution_history
from ploverspoke.testbed.checkers.observed_reachability import ObservedReachability
from ploverspoke.testbed.checkers.time_intervals import Interval, merge_intervals, subtract_intervals
from ploverspoke.testbed.experiment_files.durations import SECOND
from ploverspoke.testbed.processes.history import HistoryEvent

MS = 1_000_000
SERVERS, DISPATCHERS = ["s0", "s1", "s2"], ["d0", "d1"]
ENDS = 40_000  # ms
KEY = "settings.Limits.MaxHandOffs"
Story = list[HistoryEvent]


def row(at: int, who: str, what: str, detail: object = None) -> HistoryEvent:
    return HistoryEvent(at * MS, who, what, detail)


def published(at: int, tag: int, version: int, kind: str = "good", expect: int = -1) -> Story:
    """Wanted, sent and acknowledged within 20 ms."""
    one = f"p{tag}"
    return [
        row(at, "p", "wants", [one, tag, kind, "" if kind == "good" else KEY, expect]),
        row(at + 1, "p", "sends", [one, "s0"]),
        row(at + 20, "p", "answer", [one, "s0", True, version, "", True]),
    ]


def probed(at: int, dispatcher: str, tag: int, there: str = "ab") -> HistoryEvent:
    names = [f"g{tag}{part}" for part in there]
    missed = [f"g{tag}{part}" for part in "ab" if part not in there]
    return row(at + 5, "prober", "probe", [dispatcher, at * MS, names, [*missed, "g99a"]])


def probes(dispatcher: str, changes: dict[int, int], out: tuple[int, int] = (0, 0)) -> Story:
    """One each 100 ms; `changes` says from when on (ms) which tag is in force."""
    found, tag = [], 0
    for at in range(0, ENDS, 100):
        tag = changes.get(at, tag)
        if not out[0] <= at < out[1]:
            found.append(probed(at, dispatcher, tag))
    return found


def listed(at: int, ids: list[str], final: bool = True, server: str | None = None) -> Story:
    rows = [[number, f"digest{one}", "p", one] for number, one in enumerate(ids, 1)]
    return [row(at, "reader", "versions", [s, rows, final]) for s in SERVERS if server in (None, s)]


def story(*parts: Story, ids: list[str] | None = None) -> Story:
    """Three publications, seen at both within 200 ms, unless `parts` say it otherwise."""
    given = ["p1", "p2", "p3"] if ids is None else ids
    begin = [
        row(0, "rig", "begin", [1, []]),
        row(0, "run", "roles", {"servers": SERVERS, "dispatchers": DISPATCHERS}),
    ]
    end = [*listed(ENDS, given), row(ENDS + 100, "rig", "end")]
    return sorted([*begin, *(event for part in parts for event in part), *end], key=lambda e: e.at)


PUBLISHED = [*published(1000, 1, 1), *published(2000, 2, 2), *published(3000, 3, 3)]
IN_TIME = {1200: 1, 2200: 2, 3200: 3}
CUT = {"origin": ["d1"], "target": [], "cut": True}


def laid(at: int, until: int, fault: dict[str, object], number: int = 1) -> Story:
    return [row(at, "rig", "add fault", [number, fault]), row(until, "rig", "remove fault", number)]


def done(at: int, until: int, what: str, name: str) -> Story:
    return [row(at, "rig", what, name), row(until, "rig", f"{what} is over", name)]


def both(changes: dict[int, int]) -> Story:
    return [*probes("d0", changes), *probes("d1", changes)]


GOOD: list[tuple[str, Callable[[], Story]]] = [
    ("calm", lambda: story(PUBLISHED, both(IN_TIME))),
    (
        "late where it was cut off, and 10 s after the end of that",
        lambda: story(
            PUBLISHED, probes("d0", IN_TIME), probes("d1", {22_000: 3}), laid(500, 12_050, CUT)
        ),
    ),
    (
        "late behind a pause",
        lambda: story(
            PUBLISHED, probes("d0", IN_TIME), probes("d1", {21_900: 3}, (900, 12_000)),
            done(900, 12_000, "pause", "d1"),
        ),
    ),
    (
        "behind at first after a restart with an empty folder",
        lambda: story(
            PUBLISHED, probes("d0", IN_TIME),
            probes("d1", {**IN_TIME, 8000: 0, 17_900: 3}, (5000, 8000)),
            done(5000, 8000, "empty", "d1"),
        ),
    ),
    (
        "a majority of the servers is gone",
        lambda: story(
            published(1000, 1, 1), published(2000, 2, 2), published(3000, 3, 3), both({1200: 1, 14_000: 3}),
            done(1500, 14_000, "kill", "s0"), done(1500, 14_000, "pause", "s1"),
        ),
    ),
    (
        "a refused body changes nothing and is reported",
        lambda: story(
            PUBLISHED, published(4000, 4, 4, "refusable"), both(IN_TIME),
            [row(4300, d, "log", f"config: version 4 rejected: {KEY} is 0") for d in DISPATCHERS],
            [row(39_000, "reader", "watchers", ["s0", [["d0", 3, 4, f"{KEY} is 0", 0.1, True]]])],
            ids=["p1", "p2", "p3", "p4"],
        ),
    ),
    (
        "one grade of two for a moment",
        lambda: story(PUBLISHED, both(IN_TIME), [probed(2150, "d0", 1, "a"), probed(2160, "d0", 2, "b")]),
    ),
    (
        "the last answer was lost, and the next try under the same id hears the same",
        lambda: story(
            PUBLISHED, both(IN_TIME), [row(3500, "p", "answer", ["p3", "s1", True, 3, "", True])]
        ),
    ),
    (
        "of two with one expectation the other is refused",
        lambda: story(
            PUBLISHED, published(4000, 4, 4, expect=3), both({**IN_TIME, 4200: 4}),
            [
                row(4000, "p", "wants", ["p5", 5, "good", "", 3]),
                row(4001, "p", "sends", ["p5", "s0"]),
                row(4030, "p", "answer", ["p5", "s0", False, 4, "4 is in force", True]),
            ],
            ids=["p1", "p2", "p3", "p4"],
        ),
    ),
]  # fmt: skip


@pytest.mark.parametrize("told", [told for _, told in GOOD], ids=[name for name, _ in GOOD])
def test_a_history_without_a_break_passes(told: Callable[[], Story]) -> None:
    verdict = check_distribution_history(told())
    assert verdict.findings == [] and verdict.checked_probes > 0 and verdict.versions >= 2
    assert verdict.void_reason(min_versions=2, min_faults=0) == "" and verdict.void_reason(
        min_versions=20
    ).startswith("only")


def unacknowledged(at: int, tag: int, sure: bool) -> Story:
    answered = [row(at + 20, "p", "answer", [f"p{tag}", "s0", False, 3, "refused", True])] if sure else []
    wants = row(at, "p", "wants", [f"p{tag}", tag, "good", "", -1])
    return [wants, row(at + 1, "p", "sends", [f"p{tag}", "s0"]), *answered]


BROKEN: list[tuple[str, str, Callable[[], Story]]] = [
    ("1: an older one after a newer", "d0 went back from version 3 to 2",
     lambda: story(PUBLISHED, probes("d0", {**IN_TIME, 6000: 2}), probes("d1", IN_TIME))),
    ("1: behind after a restart", "d1 is at version 2 after its restart, and had 3",
     lambda: story(PUBLISHED, probes("d0", IN_TIME), probes("d1", {**IN_TIME, 8000: 2}, (5000, 8000)),
                   done(5000, 8000, "kill", "d1"))),
    ("1: behind what it had and nobody acknowledged", "d1 is at version 3 after its restart, and had 4",
     lambda: story(PUBLISHED, unacknowledged(4000, 4, False), probes("d0", IN_TIME),
                   probes("d1", {**IN_TIME, 4400: 4, 8000: 3}, (5000, 8000)),
                   done(5000, 8000, "older", "d1"), ids=["p1", "p2", "p3", "p4"])),
    ("2: not committed", "d0 applied p4, which was not committed",
     lambda: story(PUBLISHED, unacknowledged(4000, 4, False), probes("d0", {**IN_TIME, 4400: 4}),
                   probes("d1", IN_TIME))),
    ("2: half of it", "d1 applied half of tag 3: a alone",
     lambda: story(PUBLISHED, probes("d0", IN_TIME), probes("d1", IN_TIME, (3200, 3500)),
                   [probed(3250, "d1", 3, "a"), probed(3350, "d1", 3, "a")])),
    ("2: nothing that is known", "d1 applies no version that is known",
     lambda: story(PUBLISHED, probes("d0", IN_TIME), probes("d1", IN_TIME, (3200, 3500)),
                   [probed(3250, "d1", 3, ""), probed(3350, "d1", 3, "")])),
    ("3: late", "d1 is at version 2 10.1s after 3 was acknowledged, and could reach it",
     lambda: story(PUBLISHED, probes("d0", IN_TIME), probes("d1", {**IN_TIME, 3200: 2, 15_000: 3}))),
    ("3: late at one server that is cut off from others", "and could reach it",
     lambda: story(PUBLISHED, probes("d0", IN_TIME), probes("d1", {1200: 1, 15_000: 3}),
                   laid(500, 30_000, {"origin": ["s2"], "target": ["s0", "s1"], "cut": True}))),
    ("4: late after the cut", "and could reach it",
     lambda: story(PUBLISHED, probes("d0", IN_TIME), probes("d1", {22_300: 3}), laid(500, 12_050, CUT))),
    ("4: late after a silence", "and could reach it",
     lambda: story(PUBLISHED, probes("d0", IN_TIME), probes("d1", {22_300: 3}),
                   laid(500, 12_050, {"origin": ["d1"], "target": SERVERS, "silent": True}))),
    ("5: lost", "p3 was acknowledged as version 3 and is lost: s0 has nothing there",
     lambda: story(PUBLISHED, both(IN_TIME), ids=["p1", "p2"])),
    ("5: lost and its number given again", "s0 has p4 there",
     lambda: story(PUBLISHED, unacknowledged(4000, 4, False), both(IN_TIME), ids=["p1", "p2", "p4"])),
    ("5: one number for two", "s0 lists version 3 as p3",
     lambda: story(PUBLISHED, unacknowledged(4000, 4, False), both(IN_TIME),
                   listed(5000, ["p1", "p2", "p4"], False, "s1"))),
    ("5: a lower number later", "p3 is version 2 and began when p2 was acknowledged as 3",
     lambda: story(published(1000, 1, 1), published(2000, 2, 3), published(3000, 3, 2), both(IN_TIME),
                   ids=["p1", "p3", "p2"])),
    ("5: twice under one id", "p1 was committed twice: versions [1, 3]",
     lambda: story(published(1000, 1, 1), published(2000, 2, 2), both({1200: 1, 2200: 2}),
                   ids=["p1", "p2", "p1"])),
    ("5: two answers under one id", "p3 was acknowledged as version 3 and as 4",
     lambda: story(PUBLISHED, both(IN_TIME), [row(3500, "p", "answer", ["p3", "s1", True, 4, "", True])])),
    ("5: both won", "p2 and p3 expected version 1, and all were committed",
     lambda: story(published(1000, 1, 1), published(2000, 2, 2, expect=1), published(2001, 3, 3, expect=1),
                   both(IN_TIME))),
    ("5: the expectation was not looked at", "p3 expected version 1 and follows 2",
     lambda: story(published(1000, 1, 1), published(2000, 2, 2), published(3000, 3, 3, expect=1),
                   both(IN_TIME))),
    ("5: refused and counted", "p3 was rejected (refused) and is version 3",
     lambda: story(published(1000, 1, 1), published(2000, 2, 2), unacknowledged(3000, 3, True),
                   both(IN_TIME))),
    ("6: what checks refuse is in force", "d0 applied p3, which must be rejected",
     lambda: story(published(1000, 1, 1), published(2000, 2, 2), published(3000, 3, 3, "refusable"),
                   probes("d0", IN_TIME), probes("d1", {1200: 1, 2200: 2}))),
    ("6: not reported", f"d0 did not report in time that version 3 is rejected for {KEY}",
     lambda: story(published(1000, 1, 1), published(2000, 2, 2), published(3000, 3, 3, "refusable"),
                   both({1200: 1, 2200: 2}))),
    ("6: reported without its key", f"d0 did not report in time that version 3 is rejected for {KEY}",
     lambda: story(published(1000, 1, 1), published(2000, 2, 2), published(3000, 3, 3, "refusable"),
                   both({1200: 1, 2200: 2}), [row(3200, "d0", "log", "config: version 3 refused: bad")])),
    ("6: a server took what it must not",
     "s0 accepted p3, whose settings.Limits.MaxHandOffs servers must reject",
     lambda: story(published(1000, 1, 1), published(2000, 2, 2), published(3000, 3, 3, "unacceptable"),
                   both({1200: 1, 2200: 2}))),
    ("an emptied server lies", "s1 serves with an empty folder",
     lambda: story(PUBLISHED, both(IN_TIME), [row(5000, "rig", "serves empty", "s1")])),
    ("nobody is answered", "d1 runs and answers nobody for 6",
     lambda: story(PUBLISHED, probes("d0", IN_TIME), probes("d1", IN_TIME, (20_000, 26_000)))),
    ("the operators' door lies", "d0 claims version 3, clients saw [1] before and [1] after",
     lambda: story(PUBLISHED, both(IN_TIME),
                   [row(1510, "prober", "door", ["d0", 1_508 * MS, "+OK version 3 applied"])])),
]  # fmt: skip


@pytest.mark.parametrize(
    ("found", "told"), [(found, told) for _, found, told in BROKEN], ids=[name for name, _, _ in BROKEN]
)
def test_each_kind_of_break_is_found(found: str, told: Callable[[], Story]) -> None:
    findings = [what for what, _ in check_distribution_history(told()).findings]
    assert any(found in what for what in findings), findings


def test_what_is_too_little_is_void_and_delays_are_counted_from_the_acknowledgement_or_the_healing() -> None:
    verdict = check_distribution_history(
        story(PUBLISHED, probes("d0", IN_TIME), probes("d1", {13_000: 3}), laid(500, 12_050, CUT))
    )
    assert verdict.findings == [] and verdict.acknowledged == 3 and verdict.faults == 1
    assert [round(one, 3) for one in verdict.calm_delays] == [0.185] * 3
    assert [round(one, 3) for one in verdict.delays_after_faults] == [0.955] * 3
    assert verdict.void_reason(3, 2) == "only 1 faults: that proves nothing"
    unread = [event for event in story(PUBLISHED, both(IN_TIME)) if event.what != "versions"]
    assert "not read" in check_distribution_history(unread).void_reason(0, 0)
    cut = {"origin": SERVERS, "target": SERVERS, "cut": True}
    assert "long enough" in check_distribution_history(
        story(PUBLISHED, both(IN_TIME), laid(0, ENDS, cut))
    ).void_reason(0, 0)


def test_spans_and_who_can_reach_whom() -> None:
    assert merge_intervals([Interval(3, 5), Interval(1, 2), Interval(4, 9)]) == [(1, 2), (3, 9)]
    assert (
        subtract_intervals(Interval(0, 10), [Interval(3, 5), Interval(8, 20)]) == [(0, 3), (5, 8)]
        and subtract_intervals(Interval(0, 10), [Interval(0, 10)]) == []
    )
    one_way = laid(10_000, 20_000, {"origin": ["s0"], "target": ["s1"], "cut": True})
    third = [*done(5000, 30_000, "kill", "s2"), *laid(0, 1, {"origin": [], "target": []}, 2)]
    reachability = ObservedReachability(story(one_way, third))
    # With s2 away s0 and s1 are the majority, and they are apart meanwhile.
    assert [(b // MS, e // MS) for b, e in reachability.reachable_intervals(4 * SECOND)["d0"]] == [
        (0, 5000),
        (0, 10_000),
        (20_000, 40_100),
        (30_000, 40_100),
    ]
    assert reachability.incarnation("s2", 4000 * MS) == 0 and reachability.incarnation("s2", 6000 * MS) == -1
    assert reachability.incarnation("s2", 31_000 * MS) == 1
