"""Measures what stored requests cost one replica, in a separate process so that its memory can be measured.

`python -m ploverspoke.testbed.capacity.measurements.stored_state COUNT FOLDER` fills a state machine with
answered requests as in operation, writes a snapshot, reads it back, and prints the costs as JSON.
"""

import os
import sys
import time
from pathlib import Path

import msgspec

from ploverspoke.consensus.log import Snapshot
from ploverspoke.consensus.storage import ReplicaStorage
from ploverspoke.decisions.interface import AttemptOutcome
from ploverspoke.routing.answers import FinalAnswer
from ploverspoke.store.log_commands import (
    AcceptRequest,
    AnswerRequest,
    FinishAttempt,
    StartAttempt,
    encode_command,
)
from ploverspoke.store.state_machine import RequestStateMachine

from ...experiment_files.durations import MILLISECOND, SECOND
from ...processes.resource_usage import read_resource_usage

RESULT = "x" * 64  # the result of each request
DIGEST = b"0" * 16  # the digest of each request
REQUEST_INTERVAL = MILLISECOND
REQUEST_TIMEOUT = 2 * SECOND


class StoredStateCosts(msgspec.Struct):
    """The costs of a number of stored requests."""

    kept: int  # the number of requests
    memory_bytes: int
    disk_bytes: int
    snapshot_seconds: float
    load_seconds: float


def fill(state: RequestStateMachine, count: int) -> int:
    """Apply the log entries of `count` requests, each answered after one attempt; return their number."""
    entries = 0
    for number in range(count):
        name, now = f"{number:016x}", number * REQUEST_INTERVAL
        for command in (
            AcceptRequest(name, 1, DIGEST, now + REQUEST_TIMEOUT, now),
            StartAttempt(name, "w1", 0, now),
            FinishAttempt(name, 0, AttemptOutcome.SUCCEEDED),
            AnswerRequest(name, FinalAnswer.SUCCEEDED, RESULT, DIGEST, now),
        ):
            entries += 1
            state.apply(entries, encode_command(command))
    return entries


def measure(count: int, folder: Path) -> StoredStateCosts:
    """Fill a state machine, write its snapshot and restore it into another one.

    Exits if the restored one has a different number of requests.
    """
    storage, state = ReplicaStorage(folder), RequestStateMachine()
    storage.open()
    storage.initialize("r0.1", "slopes", {})
    memory_before = read_resource_usage(os.getpid()).memory_bytes
    entries = fill(state, count)
    memory = read_resource_usage(os.getpid()).memory_bytes - memory_before
    kept = len(state.answered)
    start = time.perf_counter()
    storage.save_snapshot(Snapshot(entries, 1, {}, state.take_snapshot()))
    snapshot_seconds = time.perf_counter() - start
    disk_bytes = storage.size_bytes()
    storage.close()
    start = time.perf_counter()
    loaded = _load(folder)
    load_seconds = time.perf_counter() - start
    if len(loaded.answered) != kept:
        sys.exit(f"the snapshot restored {len(loaded.answered)} of {kept} stored requests")
    return StoredStateCosts(kept, memory, disk_bytes, snapshot_seconds, load_seconds)


def _load(folder: Path) -> RequestStateMachine:
    storage, state = ReplicaStorage(folder), RequestStateMachine()
    storage.open()
    state.restore_snapshot(storage.persisted.snapshot_data)
    storage.close()
    return state


def main() -> None:
    """Measure as given on the command line and print the costs."""
    costs = measure(int(sys.argv[1]), Path(sys.argv[2]))
    print(msgspec.json.encode(costs).decode())


if __name__ == "__main__":
    main()
