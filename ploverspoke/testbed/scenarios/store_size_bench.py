"""Measures a store without a dispatcher: its size after many requests and the load time of a snapshot."""

import tempfile
import time
from pathlib import Path

import msgspec

from ploverspoke.consensus.log import Entry, EntryKind, Snapshot
from ploverspoke.consensus.persisted_state import WriteBatch
from ploverspoke.consensus.storage import ReplicaStorage
from ploverspoke.decisions.interface import AttemptOutcome
from ploverspoke.routing.answers import FinalAnswer
from ploverspoke.store.log_commands import (
    AcceptRequest,
    AnswerRequest,
    FinishAttempt,
    LogCommand,
    StartAttempt,
    encode_command,
)
from ploverspoke.store.state_machine import RequestStateMachine

REQUESTS_PER_WRITE = 250
SNAPSHOT_INTERVAL = 20_000  # log entries, as replicas have by default
REQUEST_INTERVAL = 1_000_000  # ns between two requests
DEADLINE = 2_000_000_000  # ns after the arrival of a request
DISTANT_DEADLINE = 1 << 62  # ns; never reached
FINGERPRINT = b"0" * 16
RESULT = "x" * 64
REPLICA, CLUSTER, TERM = "r0.1", "bench", 1


class StoreSize(msgspec.Struct, rename={"requests": "submissions"}):
    """Bytes on disk after all requests, and the largest size seen at a snapshot or at the end."""

    requests: float
    bytes: float
    largest: float


class SnapshotLoad(msgspec.Struct, rename={"open_requests": "open"}):
    """How long a snapshot with a number of open requests takes to load."""

    open_requests: float
    seconds: float


def measure_store_size(requests: int) -> StoreSize:
    """Write the log of non-idempotent requests with one attempt each and the default snapshot interval."""
    with tempfile.TemporaryDirectory(prefix="ploverspoke-store-bench-") as folder:
        storage, state = _new_storage(Path(folder)), RequestStateMachine()
        index = snapshot_index = largest = 0
        for first in range(0, requests, REQUESTS_PER_WRITE):
            batch = WriteBatch()
            for number in range(first, min(first + REQUESTS_PER_WRITE, requests)):
                for command in _request_commands(number):
                    index += 1
                    encoded = encode_command(command)
                    batch.entries.append(Entry(index, TERM, EntryKind.DATA, encoded))
                    state.apply(index, encoded)
            storage.write(batch)
            if index - snapshot_index >= SNAPSHOT_INTERVAL:
                snapshot_index = index
                storage.save_snapshot(Snapshot(index, TERM, {}, state.take_snapshot()))
                largest = max(largest, storage.size_bytes())
        size = storage.size_bytes()
        storage.close()
    return StoreSize(float(requests), float(size), float(max(largest, size)))


def _request_commands(number: int) -> tuple[LogCommand, ...]:
    """Return the log commands of one request from its arrival to its answer."""
    request_id, now = f"{number:016x}", number * REQUEST_INTERVAL
    return (
        AcceptRequest(request_id, 1, FINGERPRINT, now + DEADLINE, now),
        StartAttempt(request_id, "w1", 0, now),
        FinishAttempt(request_id, 0, AttemptOutcome.SUCCEEDED),
        AnswerRequest(request_id, FinalAnswer.SUCCEEDED, RESULT, FINGERPRINT, now),
    )


def measure_snapshot_load(open_requests: int) -> SnapshotLoad:
    """Save a snapshot of open requests with one attempt each, and measure how long it takes to load."""
    with tempfile.TemporaryDirectory(prefix="ploverspoke-store-bench-") as folder:
        storage, state = _new_storage(Path(folder)), RequestStateMachine()
        for number in range(open_requests):
            request_id = f"{number:016x}"
            accept = AcceptRequest(request_id, 1, FINGERPRINT, DISTANT_DEADLINE, number)
            state.apply(number, encode_command(accept))
            state.apply(number, encode_command(StartAttempt(request_id, "w1", 0, number)))
        storage.save_snapshot(Snapshot(2 * open_requests, TERM, {}, state.take_snapshot()))
        storage.close()
        began_at = time.perf_counter()
        reopened, loaded = ReplicaStorage(Path(folder)), RequestStateMachine()
        reopened.open()
        loaded.restore_snapshot(reopened.persisted.snapshot_data)
        elapsed = time.perf_counter() - began_at
        reopened.close()
        assert len(loaded.open_requests) == open_requests
    return SnapshotLoad(float(open_requests), elapsed)


def _new_storage(folder: Path) -> ReplicaStorage:
    storage = ReplicaStorage(folder)
    storage.open()
    storage.initialize(REPLICA, CLUSTER, {})
    return storage
