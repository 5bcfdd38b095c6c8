"""The replicated request state: answers, their bounds, its clock, and what is decided of open requests."""

from typing import Any

import msgspec
import pytest

from ploverspoke.consensus.clock import ReplicatedClock
from ploverspoke.store import state_machine as ledger_module
from ploverspoke.store.recovery import Fate, answer_when_over, fate
from ploverspoke.store.state_machine import ANSWER, CONFIGURE, INTEND, OUTCOME, TAKE, RequestStateMachine


def filled(*commands: list[Any]) -> RequestStateMachine:
    ledger = RequestStateMachine()
    for at, command in enumerate(commands):
        ledger.apply(at, command)
    return ledger


def test_the_first_answer_stands_and_survives_a_snapshot() -> None:
    ledger = filled(
        [TAKE, "r1", 1, b"d", 100, 1],
        [ANSWER, "r1", "satisfied", "yes", b"d", 2],
        [ANSWER, "r1", "abandoned", "", b"d", 3],
        [TAKE, "r1", 1, b"d", 100, 4],
        [CONFIGURE, "{}", "me", 5],
        ["a verb of a later version", 1, 2],
    )
    again = RequestStateMachine()
    again.restore_snapshot(ledger.take_snapshot())
    assert (again.answered["r1"].how, again.open, again.configurations[-1].version) == ("satisfied", {}, 1)
    assert msgspec.msgpack.encode(ledger.answered["r1"]) == msgspec.msgpack.encode(again.answered["r1"])


def test_answers_are_bounded_and_open_ones_never_dropped() -> None:
    ledger = RequestStateMachine(most_answers=10, most_bytes=100)
    ledger.apply(0, [TAKE, "open", 0, b"", 1 << 60, 0])
    for n in range(30):
        ledger.apply(n, [ANSWER, f"r{n}", "satisfied", "x" * 20, b"", n])
    assert len(ledger.answered) <= 10 and ledger.result_bytes <= 100 and "open" in ledger.open
    late = 30 + ledger_module.KEPT_FOR + 1
    ledger.apply(31, [ANSWER, "last", "nacked", "", b"", late])
    assert list(ledger.answered) == ["last"]


def test_the_stores_time_goes_on_with_each_replica_and_never_jumps() -> None:
    here = [1_000, 5]
    clocks = [ReplicatedClock(lambda n=n: here[n]) for n in range(2)]  # type: ignore[misc]
    ledgers = [RequestStateMachine(), RequestStateMachine()]
    for ledger, clock in zip(ledgers, clocks, strict=True):
        ledger.on_time = clock.advance_to
    here[0] += 40  # the leader has run for longer
    for ledger in ledgers:
        ledger.apply(1, [TAKE, "r", 0, b"", clocks[0].now() + 100, clocks[0].now()])
        ledger.apply(2, [INTEND, "r", "w", 0, clocks[0].now(), 777])
    assert [clock.now() for clock in clocks] == [40, 40]
    here[1] += 10  # nobody leads for a while; then the other does, behind nothing that was written
    assert clocks[1].now() == 50 and clocks[0].now() == 40
    ledgers[0].apply(3, [ANSWER, "r", "abandoned", "", b"", clocks[1].now()])
    assert clocks[0].now() == 50
    again, late = RequestStateMachine(), ReplicatedClock(lambda: 0)
    again.on_time = late.advance_to
    again.restore_snapshot(ledgers[0].take_snapshot())
    assert late.now() == 50


CASES = [
    ("irreversible", [], Fate.FREE, "nacked"),
    ("irreversible", [["w0", ""]], Fate.LOST, "abandoned"),
    ("irreversible", [["w0", "full"]], Fate.FREE, "nacked"),
    ("irreversible", [["w0", "unreachable"], ["w1", ""]], Fate.LOST, "abandoned"),
    ("labelled", [["w0", "timed_out"], ["w1", ""]], Fate.BOUND, "nacked"),
    ("redoable", [["w0", ""]], Fate.FREE, "nacked"),
]


@pytest.mark.parametrize(("repeat", "hand_offs", "wanted", "answer"), CASES)
def test_what_was_left_open_is_judged_by_its_intents(
    repeat: str, hand_offs: list[list[str]], wanted: Fate, answer: str
) -> None:
    ledger = filled([TAKE, "r", 0, b"", 100, 1])
    for index, (worker, outcome) in enumerate(hand_offs):
        ledger.apply(0, [INTEND, "r", worker, index, 5])
        if outcome:
            ledger.apply(0, [OUTCOME, "r", index, outcome])
    found = fate(ledger.open["r"], repeat)
    assert (found.fate, found.hand_offs) == (wanted, len(hand_offs))
    assert answer_when_over(ledger.open["r"], repeat, True) == answer
    if wanted is Fate.BOUND:
        assert answer_when_over(ledger.open["r"], repeat, False) == "abandoned"
    if hand_offs == [["w0", "full"]]:
        assert fate(ledger.open["r"], repeat, full_may_have_run=True).fate is Fate.LOST
        assert answer_when_over(ledger.open["r"], repeat, True, full_may_have_run=True) == "abandoned"
