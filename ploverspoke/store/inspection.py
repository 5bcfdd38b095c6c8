"""Reads the storage of a stopped replica, for `store inspect`."""

from pathlib import Path

import msgspec

from ploverspoke.consensus.log import EntryKind
from ploverspoke.consensus.storage import ReplicaStorage

from .snapshot import OpenRequest
from .state_machine import RequestStateMachine

MAX_LISTED_REQUESTS = 100
UNKNOWN_OUTCOME = "not known"


class StorageInspection(msgspec.Struct, frozen=True):
    """The contents of a replica's storage, encoded with the keys of `store inspect --json`."""

    replica: str
    store: str  # fingerprint of the cluster's name and initial members
    term: int
    vote: str
    snapshot: int  # index of the last entry in the snapshot
    last: int  # index of the last entry
    bytes: int
    open: int
    answered: int
    configurations: list[int]  # their versions
    attempts: dict[str, list[str]] = msgspec.field(name="open_submissions")  # of open requests, by id


def inspect_storage(folder: Path) -> StorageInspection:
    """Read the storage in `folder`, verify its checksums and replay its log.

    Raises StorageError, CorruptionError or ClusterMismatchError.
    """
    with ReplicaStorage(folder) as storage:
        state = _replay(storage)
        return StorageInspection(
            replica=storage.replica_id,
            store=storage.cluster_fingerprint,
            term=storage.persisted.current_term,
            vote=storage.persisted.voted_for,
            snapshot=storage.persisted.log.snapshot_index,
            last=storage.persisted.log.last_index(),
            bytes=storage.size_bytes(),
            open=len(state.open_requests),
            answered=len(state.answered),
            configurations=[configuration.version for configuration in state.configurations],
            attempts=_describe_attempts(state.open_requests),
        )


def _replay(storage: ReplicaStorage) -> RequestStateMachine:
    state = RequestStateMachine()
    state.restore_snapshot(storage.persisted.snapshot_data)
    for entry in storage.persisted.log.entries:
        if entry.kind is EntryKind.DATA:
            state.apply(entry.index, entry.data)
    return state


def _describe_attempts(open_requests: dict[str, OpenRequest]) -> dict[str, list[str]]:
    return {
        request_id: [
            f"{attempt.worker}: {attempt.outcome_word or UNKNOWN_OUTCOME}" for attempt in request.attempts
        ]
        for request_id, request in list(open_requests.items())[:MAX_LISTED_REQUESTS]
    }
