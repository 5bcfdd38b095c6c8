"""What kept state costs one replica: `kept COUNT FOLDER`, a process of its own so that its memory is its own.

Fills a ledger with answered submissions as in service, writes a snapshot, reads it again, says what it took.
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

from ...processes.resource_usage import read_resource_usage

RESULT = "x" * 64


def fill(ledger: RequestStateMachine, count: int) -> int:
    """So many submissions taken, handed off once and answered; gives the entries."""
    at = 0
    for n in range(count):
        name, now = f"{n:016x}", n * 1_000_000
        for command in (
            AcceptRequest(name, 1, b"0" * 16, now + 2_000_000_000, now),
            StartAttempt(name, "w1", 0, now),
            FinishAttempt(name, 0, AttemptOutcome.SUCCEEDED),
            AnswerRequest(name, FinalAnswer.SUCCEEDED, RESULT, b"0" * 16, now),
        ):
            at += 1
            ledger.apply(at, encode_command(command))
    return at


def main() -> None:
    count, folder = int(sys.argv[1]), Path(sys.argv[2])
    disk, ledger = ReplicaStorage(folder), RequestStateMachine()
    disk.open()
    disk.initialize("r0.1", "slopes", {})
    before = read_resource_usage(os.getpid()).memory
    at = fill(ledger, count)
    memory = read_resource_usage(os.getpid()).memory - before
    kept = len(ledger.answered)
    began = time.perf_counter()
    disk.save_snapshot(Snapshot(at, 1, {}, ledger.take_snapshot()))
    written = time.perf_counter() - began
    size = disk.size_bytes()
    disk.close()
    began = time.perf_counter()
    again, loaded = ReplicaStorage(folder), RequestStateMachine()
    again.open()
    loaded.restore_snapshot(again.persisted.snapshot_data)
    read = time.perf_counter() - began
    again.close()
    if len(loaded.answered) != kept:
        sys.exit(f"{kept} were kept, {len(loaded.answered)} were read again")
    told = {
        "kept": kept,
        "memory_bytes": memory,
        "disk_bytes": size,
        "snapshot_seconds": written,
        "load_seconds": read,
    }
    print(msgspec.json.encode(told).decode())


if __name__ == "__main__":
    main()
