"""Reads the storage of a replica that does not run, for `store inspect`."""

from contextlib import closing
from pathlib import Path

import msgspec

from ploverspoke.consensus.storage import ReplicaStorage

from .snapshot import OpenRequest
from .state_machine import RequestStateMachine

MAX_LISTED_REQUESTS = 100
UNKNOWN_OUTCOME = "not known"


class StorageInspection(msgspec.Struct, frozen=True):
    """What a replica's storage holds. Key names are those of `store inspect --json`."""

    replica: str
    store: str  # fingerprint of the cluster's first members
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
    """Read the storage in `folder`, checking its checksums, and apply its whole log.

    Raises StorageError, CorruptionError or ClusterMismatchError.
    """
    with closing(ReplicaStorage(folder)) as storage:
        storage.open()
        state = _replay(storage)
        return StorageInspection(
            replica=storage.me,
            store=storage.fingerprint,
            term=storage.term,
            vote=storage.vote,
            snapshot=storage.log.snapshot_index,
            last=storage.log.last_index(),
            bytes=storage.size(),
            open=len(state.open_requests),
            answered=len(state.answered),
            configurations=[configuration.version for configuration in state.configurations],
            attempts=_describe_attempts(state.open_requests),
        )


def _replay(storage: ReplicaStorage) -> RequestStateMachine:
    state = RequestStateMachine()
    state.load(storage.state)
    for entry in storage.log.entries:
        if entry.kind == "data":
            state.apply(entry.at, entry.data)
    return state


def _describe_attempts(open_requests: dict[str, OpenRequest]) -> dict[str, list[str]]:
    return {
        request_id: [
            f"{attempt.worker}: {attempt.outcome or UNKNOWN_OUTCOME}" for attempt in request.attempts
        ]
        for request_id, request in list(open_requests.items())[:MAX_LISTED_REQUESTS]
    }
