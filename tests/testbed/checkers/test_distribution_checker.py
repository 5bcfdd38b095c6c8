"""The checker of config distribution, on correct histories and on each kind of violation."""

from collections.abc import Callable

import pytest

from ploverspoke.testbed.checkers.distribution_checker import check_distribution_history
from ploverspoke.testbed.checkers.observed_reachability import ObservedReachability
from ploverspoke.testbed.checkers.time_intervals import Interval, merge_intervals, subtract_intervals
from ploverspoke.testbed.experiment_files.durations import MILLISECOND, SECOND
from tests.testbed.checkers.distribution_events import (
    CUT,
    DISPATCHERS,
    END_MS,
    IN_TIME,
    KEY,
    PUBLISHED,
    SERVERS,
    Events,
    event_at,
    link_fault,
    make_run,
    probe_round,
    probes,
    probes_at_both,
    process_fault,
    publish,
)
from tests.testbed.checkers.distribution_violations import VIOLATIONS

CORRECT: list[tuple[str, Callable[[], Events]]] = [
    ("calm", lambda: make_run(PUBLISHED, probes_at_both(IN_TIME))),
    (
        "late during a cut, and in time 10 s after its end",
        lambda: make_run(
            PUBLISHED, probes("d0", IN_TIME), probes("d1", {22_000: 3}), link_fault(500, 12_050, CUT)
        ),
    ),
    (
        "late after a pause",
        lambda: make_run(
            PUBLISHED,
            probes("d0", IN_TIME),
            probes("d1", {21_900: 3}, (900, 12_000)),
            process_fault(900, 12_000, "pause", "d1"),
        ),
    ),
    (
        "behind at first after a restart with an empty folder",
        lambda: make_run(
            PUBLISHED,
            probes("d0", IN_TIME),
            probes("d1", {**IN_TIME, 8000: 0, 17_900: 3}, (5000, 8000)),
            process_fault(5000, 8000, "empty", "d1"),
        ),
    ),
    (
        "a majority of the servers is gone",
        lambda: make_run(
            publish(1000, 1, 1),
            publish(2000, 2, 2),
            publish(3000, 3, 3),
            probes_at_both({1200: 1, 14_000: 3}),
            process_fault(1500, 14_000, "kill", "s0"),
            process_fault(1500, 14_000, "pause", "s1"),
        ),
    ),
    (
        "a rejected body changes nothing and is reported",
        lambda: make_run(
            PUBLISHED,
            publish(4000, 4, 4, "refusable"),
            probes_at_both(IN_TIME),
            [event_at(4300, d, "log", f"config: version 4 rejected: {KEY} is 0") for d in DISPATCHERS],
            [event_at(39_000, "reader", "watchers", ["s0", [["d0", 3, 4, f"{KEY} is 0", 0.1, True]]])],
            ids=["p1", "p2", "p3", "p4"],
        ),
    ),
    (
        "one class of two in a single round of probes",
        lambda: make_run(
            PUBLISHED,
            probes_at_both(IN_TIME),
            [probe_round(2150, "d0", 1, "a"), probe_round(2160, "d0", 2, "b")],
        ),
    ),
    (
        "the last answer was lost, and a retry under the same id gets the same",
        lambda: make_run(
            PUBLISHED,
            probes_at_both(IN_TIME),
            [event_at(3500, "p", "answer", ["p3", "s1", True, 3, "", True])],
        ),
    ),
    (
        "the second of two with the same expected version is rejected",
        lambda: make_run(
            PUBLISHED,
            publish(4000, 4, 4, expect=3),
            probes_at_both({**IN_TIME, 4200: 4}),
            [
                event_at(4000, "p", "wants", ["p5", 5, "good", "", 3]),
                event_at(4001, "p", "sends", ["p5", "s0"]),
                event_at(4030, "p", "answer", ["p5", "s0", False, 4, "4 is in force", True]),
            ],
            ids=["p1", "p2", "p3", "p4"],
        ),
    ),
]


@pytest.mark.parametrize(
    "make_history", [make_history for _, make_history in CORRECT], ids=[name for name, _ in CORRECT]
)
def test_correct_history_passes(make_history: Callable[[], Events]) -> None:
    verdict = check_distribution_history(make_history())
    assert verdict.findings == [] and verdict.checked_probes > 0 and verdict.versions >= 2
    assert verdict.void_reason(min_versions=2, min_faults=0) == "" and verdict.void_reason(
        min_versions=20
    ).startswith("only")


@pytest.mark.parametrize(
    ("expected_text", "make_history"),
    [(expected_text, make_history) for _, expected_text, make_history in VIOLATIONS],
    ids=[name for name, _, _ in VIOLATIONS],
)
def test_violation_is_found(expected_text: str, make_history: Callable[[], Events]) -> None:
    texts = [text for text, _ in check_distribution_history(make_history()).findings]
    assert any(expected_text in text for text in texts), texts


def test_short_history_is_void_and_delays_count_from_the_acknowledgement_or_the_recovery() -> None:
    verdict = check_distribution_history(
        make_run(PUBLISHED, probes("d0", IN_TIME), probes("d1", {13_000: 3}), link_fault(500, 12_050, CUT))
    )
    assert verdict.findings == [] and verdict.acknowledged == 3 and verdict.faults == 1
    assert [round(delay, 3) for delay in verdict.calm_delays] == [0.185] * 3
    assert [round(delay, 3) for delay in verdict.delays_after_faults] == [0.955] * 3
    assert verdict.void_reason(3, 2) == "only 1 faults: that proves nothing"
    unread = [event for event in make_run(PUBLISHED, probes_at_both(IN_TIME)) if event.kind != "versions"]
    assert "not read" in check_distribution_history(unread).void_reason(0, 0)
    cut = {"origin": SERVERS, "target": SERVERS, "cut": True}
    assert "long enough" in check_distribution_history(
        make_run(PUBLISHED, probes_at_both(IN_TIME), link_fault(0, END_MS, cut))
    ).void_reason(0, 0)


def test_intervals_and_reachability() -> None:
    assert merge_intervals([Interval(3, 5), Interval(1, 2), Interval(4, 9)]) == [(1, 2), (3, 9)]
    assert (
        subtract_intervals(Interval(0, 10), [Interval(3, 5), Interval(8, 20)]) == [(0, 3), (5, 8)]
        and subtract_intervals(Interval(0, 10), [Interval(0, 10)]) == []
    )
    one_way = link_fault(10_000, 20_000, {"origin": ["s0"], "target": ["s1"], "cut": True})
    s2_down = [*process_fault(5000, 30_000, "kill", "s2"), *link_fault(0, 1, {"origin": [], "target": []}, 2)]
    reachability = ObservedReachability(make_run(one_way, s2_down))
    # While s2 is down, the only majority is s0 and s1, and the link from s0 to s1 is cut meanwhile.
    assert [
        (begin // MILLISECOND, end // MILLISECOND)
        for begin, end in reachability.reachable_intervals(4 * SECOND)["d0"]
    ] == [
        (0, 5000),
        (0, 10_000),
        (20_000, 40_100),
        (30_000, 40_100),
    ]
    assert (
        reachability.incarnation("s2", 4000 * MILLISECOND) == 0
        and reachability.incarnation("s2", 6000 * MILLISECOND) == -1
    )
    assert reachability.incarnation("s2", 31_000 * MILLISECOND) == 1
