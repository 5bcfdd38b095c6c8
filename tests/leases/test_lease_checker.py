"""The checker of lease histories, on hand-written histories."""

import pytest

from ploverspoke.testbed.checkers.lease_checker import check_lease_history, takeover_gaps
from ploverspoke.testbed.experiment_files.durations import MILLISECOND
from ploverspoke.testbed.processes.history import HistoryEvent


def event_at(at: int, source: str, kind: str, *detail: object) -> HistoryEvent:
    return HistoryEvent(at * MILLISECOND, source, kind, list(detail))


CORRECT = [
    event_at(0, "a", "acts", "n", 1),
    event_at(10, "a", "acts", "n", 1),
    event_at(20, "b", "acts", "n", 2),
    event_at(21, "resource", "effect", "n", 2, 20, True, "b"),
    event_at(22, "resource", "effect", "n", 1, 10, False, "a"),
]


@pytest.mark.parametrize(
    ("extra_events", "expected"),
    [
        ([], ""),
        ([event_at(25, "a", "acts", "n", 1)], "n: a with 1, b with 2 hold it at once, 1 may"),
        ([event_at(25, "c", "acts", "n", 2)], "n: token 2 was used by b, c"),
        ([event_at(30, "c", "acts", "n", 1)], "n: token 1 was used by a, c"),
        ([event_at(5, "c", "acts", "n", 3)], "hold it at once"),
        ([event_at(30, "resource", "effect", "n", 1, 10, True, "a")], "n: token 1 was accepted after 2"),
    ],
)
def test_checker_finds_each_kind_of_violation(extra_events: list[HistoryEvent], expected: str) -> None:
    findings = check_lease_history(sorted([*CORRECT, *extra_events]), {"n": 1}).findings
    assert (not findings) if not expected else any(expected in message for message, _ in findings)


def test_checker_counts_simultaneous_holders_and_takeover_gaps() -> None:
    two_holders = [
        event_at(0, "a", "acts", "n", 1),
        event_at(1, "b", "acts", "n", 2),
        event_at(9, "a", "acts", "n", 1),
    ]
    assert (
        not check_lease_history(two_holders, {"n": 2}).findings
        and check_lease_history(two_holders, {"n": 1}).findings
    )
    three_holders = [*two_holders, event_at(1, "c", "acts", "n", 3)]
    assert check_lease_history(sorted(three_holders), {"n": 2}).findings
    killed = [
        event_at(10, "rig", "holder killed", "a", "n"),
        event_at(1200, "a", "acts", "n", 4),
        event_at(1300, "c", "acts", "n", 5),
    ]
    assert takeover_gaps(sorted([*two_holders, *killed]), "holder killed") == [1.29]
