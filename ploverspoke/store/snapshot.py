"""The records of the store's state, in the form in which a snapshot stores them.

Each is stored as a msgpack array, so the order of its fields is part of the format. A field added later must
come last and have a default. Times are nanoseconds of the replicated clock; wall times are nanoseconds of
Unix time.
"""

import msgspec

from ploverspoke.decisions.interface import AttemptOutcome
from ploverspoke.routing.answers import FinalAnswer

from .errors import MalformedSnapshotError
from .log_commands import parse_outcome

SNAPSHOT_FORMAT = 1


class AttemptRecord(msgspec.Struct, array_like=True):
    """An attempt whose start was committed: it may have been sent."""

    worker: str
    index: int
    started_at: int
    outcome_word: str = ""  # see `parse_outcome`
    started_wall_time: int = 0

    @property
    def outcome(self) -> AttemptOutcome | None:
        """The outcome of the attempt; None if unknown."""
        return parse_outcome(self.outcome_word)


class OpenRequest(msgspec.Struct, array_like=True):
    """A request that was accepted and is not answered yet."""

    request_class: int
    digest: bytes
    deadline: int
    accepted_at: int
    attempts: list[AttemptRecord] = []


class AnsweredRequest(msgspec.Struct, array_like=True):
    """A request's final answer, retained until `forget_at`."""

    answer: FinalAnswer
    result: str
    digest: bytes
    forget_at: int


class SharedConfiguration(msgspec.Struct, array_like=True):
    """One version of the shared configuration."""

    version: int
    body: str
    committed_by: str
    committed_wall_time: int


class RequestSnapshot(msgspec.Struct, array_like=True):
    """The complete state of `RequestStateMachine`."""

    format: int
    open_requests: dict[str, OpenRequest]
    answered: dict[str, AnsweredRequest]
    configurations: list[SharedConfiguration]
    now: int = 0  # 0 if written by an older version, whose times were wall times
    highest_token: int = 0
    # By request id; only of results that hold half of a surrogate pair. Left out if there are none.
    encoded_results: dict[str, bytes] = {}


def encode_snapshot(snapshot: RequestSnapshot) -> bytes:
    """Encode a snapshot."""
    fields = [getattr(snapshot, field) for field in snapshot.__struct_fields__]
    if not snapshot.encoded_results:
        fields.pop()
    return msgspec.msgpack.encode(fields)


def decode_snapshot(data: bytes) -> RequestSnapshot:
    """Decode a snapshot; empty data is the empty state. Raises MalformedSnapshotError."""
    if not data:
        return RequestSnapshot(SNAPSHOT_FORMAT, {}, {}, [])
    try:
        return msgspec.msgpack.decode(data, type=RequestSnapshot)
    except msgspec.DecodeError as error:
        raise MalformedSnapshotError(str(error)) from error
