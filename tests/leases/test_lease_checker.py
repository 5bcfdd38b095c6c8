"""The checker of lease histories on histories written by hand."""

import pytest

from ploverspoke.testbed.checkers.lease_checker import check_lease_history, takeover_gaps
from ploverspoke.testbed.experiment_files.durations import MILLISECOND
from ploverspoke.testbed.processes.history import HistoryEvent


def row(at: int, who: str, what: str, *detail: object) -> HistoryEvent:
    return HistoryEvent(at * MILLISECOND, who, what, list(detail))


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
        ([row(25, "a", "acts", "n", 1)], "n: a with 1, b with 2 hold it at once, 1 may"),
        ([row(25, "c", "acts", "n", 2)], "n: token 2 was used by b, c"),
        ([row(30, "c", "acts", "n", 1)], "n: token 1 was used by a, c"),
        ([row(5, "c", "acts", "n", 3)], "hold it at once"),
        ([row(30, "resource", "effect", "n", 1, 10, True, "a")], "n: token 1 was accepted after 2"),
    ],
)
def test_checker_finds_each_kind_of_violation(more: list[HistoryEvent], found: str) -> None:
    findings = check_lease_history(sorted([*CLEAN, *more]), {"n": 1}).findings
    assert (not findings) if not found else any(found in what for what, _ in findings)


def test_checker_counts_holders_at_once_and_gaps() -> None:
    both = [row(0, "a", "acts", "n", 1), row(1, "b", "acts", "n", 2), row(9, "a", "acts", "n", 1)]
    assert not check_lease_history(both, {"n": 2}).findings and check_lease_history(both, {"n": 1}).findings
    third = [*both, row(1, "c", "acts", "n", 3)]
    assert check_lease_history(sorted(third), {"n": 2}).findings
    killed = [
        row(10, "rig", "holder killed", "a", "n"),
        row(1200, "a", "acts", "n", 4),
        row(1300, "c", "acts", "n", 5),
    ]
    assert takeover_gaps(sorted([*both, *killed]), "holder killed") == [1.29]
