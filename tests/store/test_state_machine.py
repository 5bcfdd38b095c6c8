"""The replicated state: answers, limits, the clock, and the stored form of commands."""

from functools import partial

import msgspec
import pytest

from ploverspoke.consensus.clock import ReplicatedClock
from ploverspoke.decisions.interface import AttemptOutcome
from ploverspoke.routing.answers import FinalAnswer
from ploverspoke.store.errors import MalformedCommandError, MalformedSnapshotError
from ploverspoke.store.log_commands import (
    AcceptRequest,
    AnswerRequest,
    CommitConfiguration,
    FinishAttempt,
    LogCommand,
    StartAttempt,
    decode_command,
    encode_command,
)
from ploverspoke.store.state_machine import (
    ANSWER_RETENTION,
    COPIES,
    REQUEST_BYTES,
    RequestStateMachine,
)

STORED_COMMANDS: list[tuple[list[object], LogCommand]] = [
    (["take", "r", 1, b"d", 100, 1], AcceptRequest("r", 1, b"d", 100, 1)),
    (["intend", "r", "w0", 0, 5, 9], StartAttempt("r", "w0", 0, 5, 9)),
    (["outcome", "r", 0, "full"], FinishAttempt("r", 0, AttemptOutcome.FULL)),
    (["answer", "r", "nacked", "", b"d", 7], AnswerRequest("r", FinalAnswer.REJECTED, "", b"d", 7)),
    (["configure", "{}", "me", 5, 3], CommitConfiguration("{}", "me", 5, 3)),
]


def apply_all(*commands: LogCommand) -> RequestStateMachine:
    state = RequestStateMachine()
    for index, command in enumerate(commands):
        state.apply(index, encode_command(command))
    return state


@pytest.mark.parametrize(("stored", "command"), STORED_COMMANDS)
def test_a_command_is_stored_as_its_verb_and_fields(stored: list[object], command: LogCommand) -> None:
    assert encode_command(command) == stored and decode_command(stored) == command
    assert msgspec.msgpack.encode(command) == msgspec.msgpack.encode(stored)


def test_commands_of_older_and_later_versions_are_read() -> None:
    assert decode_command(["intend", "r", "w0", 0, 5]) == StartAttempt("r", "w0", 0, 5, 0)
    assert decode_command(["configure", "{}", "me", 5]) == CommitConfiguration("{}", "me", 5, 0)
    assert decode_command(["a verb of a later version", 1, 2]) is None
    later = ["outcome", "r", 0, "a word of a later version"]
    command = decode_command(later)
    assert command is not None and encode_command(command) == later


def test_a_malformed_command_or_snapshot_is_an_error_that_says_which() -> None:
    with pytest.raises(MalformedCommandError) as caught:
        decode_command(["take", "r", 1])
    assert caught.value.verb == "take"
    with pytest.raises(MalformedSnapshotError):
        RequestStateMachine().restore_snapshot(b"\x93")


def test_first_answer_wins_and_survives_a_snapshot() -> None:
    state = apply_all(
        AcceptRequest("r1", 1, b"d", 100, 1),
        AnswerRequest("r1", FinalAnswer.SUCCEEDED, "yes", b"d", 2),
        AnswerRequest("r1", FinalAnswer.FAILED, "", b"d", 3),
        AcceptRequest("r1", 1, b"d", 100, 4),
        CommitConfiguration("{}", "me", 5),
    )
    state.apply(6, ["a verb of a later version", 1, 2])
    restored = RequestStateMachine()
    restored.restore_snapshot(state.take_snapshot())
    assert restored.answered["r1"].answer is FinalAnswer.SUCCEEDED
    assert (restored.open_requests, restored.configurations[-1].version) == ({}, 1)
    assert msgspec.msgpack.encode(state.answered["r1"]) == msgspec.msgpack.encode(restored.answered["r1"])


def test_answers_are_bounded_and_open_requests_never_dropped() -> None:
    state = RequestStateMachine(max_answers=10, max_result_bytes=100)
    state.apply(0, encode_command(AcceptRequest("open", 0, b"", 1 << 60, 0)))
    for number in range(30):
        answer = AnswerRequest(f"r{number}", FinalAnswer.SUCCEEDED, "x" * 20, b"", number)
        state.apply(number, encode_command(answer))
    assert len(state.answered) <= 10 and state.result_bytes <= 100 and "open" in state.open_requests
    late = 30 + ANSWER_RETENTION + 1
    state.apply(31, encode_command(AnswerRequest("last", FinalAnswer.REJECTED, "", b"", late)))
    assert list(state.answered) == ["last"]


def test_replicated_clock_follows_applied_entries_and_never_jumps() -> None:
    local_times = [1_000, 5]
    clocks = [ReplicatedClock(partial(local_times.__getitem__, number)) for number in range(2)]
    states = [RequestStateMachine(), RequestStateMachine()]
    for state, clock in zip(states, clocks, strict=True):
        state.on_time = clock.advance_to
    local_times[0] += 40  # the leader's clock has advanced further
    for state in states:
        now = clocks[0].now()
        state.apply(1, encode_command(AcceptRequest("r", 0, b"", now + 100, now)))
        state.apply(2, encode_command(StartAttempt("r", "w", 0, clocks[0].now(), 777)))
    assert [clock.now() for clock in clocks] == [40, 40]
    # Time passes without a leader. Then the other replica leads: its clock is not behind committed entries.
    local_times[1] += 10
    assert clocks[1].now() == 50 and clocks[0].now() == 40
    states[0].apply(3, encode_command(AnswerRequest("r", FinalAnswer.FAILED, "", b"", clocks[1].now())))
    assert clocks[0].now() == 50
    restored, restored_clock = RequestStateMachine(), ReplicatedClock(lambda: 0)
    restored.on_time = restored_clock.advance_to
    restored.restore_snapshot(states[0].take_snapshot())
    assert restored_clock.now() == 50


def test_held_memory_follows_ids_and_results_and_survives_a_snapshot() -> None:
    state, empty = RequestStateMachine(max_answers=10), RequestStateMachine().held_bytes()
    for number in range(100):
        request_id = f"{number}-" + "i" * (number % 7)
        if number % 3:
            state.apply(0, encode_command(AcceptRequest(request_id, 0, b"", 100, number)))
        state.apply(0, encode_command(AnswerRequest(request_id, FinalAnswer.SUCCEEDED, "r" * number, b"", 1)))
        state.apply(0, encode_command(AnswerRequest(request_id, FinalAnswer.SUCCEEDED, "again", b"", 1)))
    assert len(state.answered) == 10
    text = sum(len(request_id) + len(answer.result) for request_id, answer in state.answered.items())
    assert state.held_bytes() == 10 * REQUEST_BYTES + COPIES * text
    restored = RequestStateMachine()
    restored.restore_snapshot(state.take_snapshot())
    assert restored.held_bytes() == state.held_bytes() > empty
