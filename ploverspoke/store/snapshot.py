"""The records of the store's state, in the form in which a snapshot stores them.

Each is stored as a msgpack array, so the order of its fields is part of the format. A field added later must
come last and have a default, and is left out where it has it. Times are nanoseconds of the replicated clock;
wall times are nanoseconds of Unix time.
"""

import msgspec

from ploverspoke.decisions.interface import AttemptOutcome
from ploverspoke.routing.answers import FinalAnswer

from .class_rules import UNKNOWN_RULES, ClassRules
from .errors import MalformedSnapshotError
from .log_commands import NEVER_RAN_WORDS, parse_outcome

SNAPSHOT_FORMAT = 1


class AttemptRecord(msgspec.Struct, array_like=True):
    """An attempt whose start was committed: it may have been sent."""

    worker: str
    index: int
    started_at: int
    outcome_word: str = ""  # "": not known; see `outcome_word` of log_commands.py
    started_wall_time: int = 0
    group: str = ""  # retry group of the worker; "": not needed, or of an older version

    def stored_fields(self) -> tuple[object, ...]:
        """Return the fields as a snapshot stores them."""
        fields = (self.worker, self.index, self.started_at, self.outcome_word, self.started_wall_time)
        return (*fields, self.group) if self.group else fields

    @property
    def outcome(self) -> AttemptOutcome | None:
        """The outcome of the attempt; None if unknown."""
        return parse_outcome(self.outcome_word)

    @property
    def never_ran(self) -> bool:
        """Whether the outcome proves that the worker did not run the request."""
        return self.outcome_word in NEVER_RAN_WORDS


class OpenRequest(msgspec.Struct, array_like=True):
    """A request that was accepted and is not answered yet."""

    # Its number in the settings of the replica that accepted it. Only older versions read it.
    request_class: int
    digest: bytes
    deadline: int
    accepted_at: int
    attempts: list[AttemptRecord] = []
    rules: ClassRules = UNKNOWN_RULES
    headers_digest: bytes = b""  # the second part of the digest; empty if an older version accepted it

    @property
    def full_digest(self) -> bytes:
        """The digest of the request: see `routing/request_digest.py`."""
        return self.digest + self.headers_digest

    def stored_fields(self) -> tuple[object, ...]:
        """Return the fields as a snapshot stores them."""
        attempts = [attempt.stored_fields() for attempt in self.attempts]
        fields = (self.request_class, self.digest, self.deadline, self.accepted_at, attempts)
        if self.headers_digest:
            return (*fields, self.rules, self.headers_digest)
        return fields if self.rules == UNKNOWN_RULES else (*fields, self.rules)

    def next_attempt_index(self) -> int:
        """Return the index of the next attempt; no two attempts may have one index."""
        return max((attempt.index + 1 for attempt in self.attempts), default=0)


class AnsweredRequest(msgspec.Struct, array_like=True):
    """A request's final answer, retained until `forget_at`."""

    answer: FinalAnswer
    result: str
    digest: bytes
    forget_at: int
    headers_digest: bytes = b""  # as in `OpenRequest`

    @property
    def full_digest(self) -> bytes:
        """The digest of the request: see `routing/request_digest.py`."""
        return self.digest + self.headers_digest

    def stored_fields(self) -> "AnsweredRequest | tuple[object, ...]":
        """Return the fields as a snapshot stores them."""
        return self if self.headers_digest else (self.answer, self.result, self.digest, self.forget_at)


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


OPEN_REQUESTS_POSITION = RequestSnapshot.__struct_fields__.index("open_requests")
ANSWERED_POSITION = RequestSnapshot.__struct_fields__.index("answered")


def encode_snapshot(snapshot: RequestSnapshot) -> bytes:
    """Encode a snapshot."""
    fields = [getattr(snapshot, field) for field in snapshot.__struct_fields__]
    fields[OPEN_REQUESTS_POSITION] = {
        request_id: request.stored_fields() for request_id, request in snapshot.open_requests.items()
    }
    fields[ANSWERED_POSITION] = {
        request_id: answered.stored_fields() for request_id, answered in snapshot.answered.items()
    }
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
