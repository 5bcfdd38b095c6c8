"""The records of which the store's state consists, as a snapshot holds them.

Each is stored as a msgpack array: the order of the fields is the format. Fields added later stand last and
have a default. Times are nanoseconds of the replicated clock, wall times nanoseconds of Unix time.
"""

import msgspec

from ploverspoke.decisions.interface import AttemptOutcome
from ploverspoke.routing.answers import FinalAnswer

from .errors import MalformedSnapshotError
from .log_commands import read_outcome

SNAPSHOT_FORMAT = 1


class AttemptRecord(msgspec.Struct, array_like=True):
    """An attempt that was allowed to be sent."""

    worker: str
    index: int
    started_at: int
    outcome_word: str = ""  # see `read_outcome`
    started_wall_time: int = 0

    @property
    def outcome(self) -> AttemptOutcome | None:
        """How it ended; None where that is not known."""
        return read_outcome(self.outcome_word)


class OpenRequest(msgspec.Struct, array_like=True):
    """A request that was accepted and is not answered yet."""

    request_class: int
    digest: bytes
    deadline: int
    accepted_at: int
    attempts: list[AttemptRecord] = []


class AnsweredRequest(msgspec.Struct, array_like=True):
    """A request's final answer, kept until `forget_at`."""

    answer: FinalAnswer
    result: str
    digest: bytes
    forget_at: int


class SharedConfiguration(msgspec.Struct, array_like=True):
    """One version of the configuration that the replicas share."""

    version: int
    body: str
    committed_by: str
    committed_wall_time: int


class RequestSnapshot(msgspec.Struct, array_like=True):
    """The whole state of `RequestStateMachine`."""

    format: int
    open_requests: dict[str, OpenRequest]
    answered: dict[str, AnsweredRequest]
    configurations: list[SharedConfiguration]
    now: int = 0  # 0: written by a version whose times were wall times
    highest_token: int = 0


def encode_snapshot(snapshot: RequestSnapshot) -> bytes:
    """Return the bytes of a snapshot."""
    return msgspec.msgpack.encode(snapshot)


def decode_snapshot(data: bytes) -> RequestSnapshot:
    """Read the bytes of a snapshot; none stand for the empty state. Raises MalformedSnapshotError."""
    if not data:
        return RequestSnapshot(SNAPSHOT_FORMAT, {}, {}, [])
    try:
        return msgspec.msgpack.decode(data, type=RequestSnapshot)
    except msgspec.DecodeError as error:
        raise MalformedSnapshotError(str(error)) from error
