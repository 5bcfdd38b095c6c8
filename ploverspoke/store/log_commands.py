"""The stored form of the commands in the log, and the stored words for outcomes of attempts.

A command is a msgpack array that begins with its verb. The verbs, the outcome words and the order of the
fields define the format of the log on disk and between replicas: they must not change when names in the code
change. Later fields come last, because entries of older versions lack them and older versions ignore them.
Times are nanoseconds of the replicated clock (`consensus/clock.py`) as read by the leader; wall times are
nanoseconds of Unix time.
"""

import msgspec

from ploverspoke.decisions.interface import AttemptOutcome
from ploverspoke.routing.answers import FinalAnswer, RecordedAnswer
from ploverspoke.routing.request_digest import PART_BYTES

from .class_rules import UNKNOWN_RULES, ClassRules
from .errors import MalformedCommandError
from .storable_text import to_storable

# The worker was full, and this proves that it did not run the request. The word "full" proves nothing: older
# versions wrote it also where workers may turn away what they have started (`FullMayHaveRun`).
FULL_NEVER_RAN_WORD = "full_never_ran"
OUTCOMES_BY_WORD = {outcome.value: outcome for outcome in AttemptOutcome} | {
    FULL_NEVER_RAN_WORD: AttemptOutcome.FULL
}
NEVER_RAN_WORDS = frozenset(
    (FULL_NEVER_RAN_WORD, AttemptOutcome.UNREACHABLE.value, AttemptOutcome.NOT_SENT.value)
)


def outcome_word(outcome: AttemptOutcome, full_may_have_run: bool) -> str:
    """Return the word to store for an outcome.

    `full_may_have_run`: a worker's answer "full" does not prove that it did not run the request.
    """
    if outcome is AttemptOutcome.FULL and not full_may_have_run:
        return FULL_NEVER_RAN_WORD
    return outcome.value


def parse_outcome(word: str) -> AttemptOutcome | None:
    """Return the outcome for a stored word; None if the word is empty or from a later version.

    An attempt whose outcome is None may have run.
    """
    return OUTCOMES_BY_WORD.get(word)


class AcceptRequest(msgspec.Struct, array_like=True, frozen=True, tag="take"):
    """A request was accepted and will be answered."""

    request_id: str
    # Its number in the settings of the replica that accepted it. Only older versions read it.
    request_class: int
    digest: bytes  # first part of that of the request, to detect another request with the same id
    deadline: int
    now: int


class AcceptRequestUnderRules(AcceptRequest, array_like=True, frozen=True, tag="take"):
    """A request was accepted under the rules of its class; older versions read it as an `AcceptRequest`."""

    rules: ClassRules
    headers_digest: bytes = b""  # the second part of the digest; empty: of an older version


class StartAttempt(msgspec.Struct, array_like=True, frozen=True, tag="intend"):
    """An attempt may be sent to a worker; committed before it is sent."""

    request_id: str
    worker: str
    index: int  # of the attempt within the request
    now: int
    wall_time: int = 0


class StartAttemptInGroup(StartAttempt, array_like=True, frozen=True, tag="intend"):
    """An attempt of a request that may be repeated in a retry group; older versions read a `StartAttempt`."""

    group: str = ""


class FinishAttempt(msgspec.Struct, array_like=True, frozen=True, tag="outcome"):
    """An attempt ended."""

    request_id: str
    index: int
    outcome_word: str  # see `outcome_word`; one from a later version is kept as it is


class AnswerRequest(msgspec.Struct, array_like=True, frozen=True, tag="answer"):
    """A request received its final answer; only the first committed answer is valid."""

    request_id: str
    answer: FinalAnswer
    result: str
    digest: bytes
    now: int


class AnswerRequestEncoded(AnswerRequest, array_like=True, frozen=True, tag="answer"):
    """A final answer with what older versions do not know: they read it as an `AnswerRequest`."""

    encoded_result: bytes  # see `StorableText`; empty if `result` holds all
    headers_digest: bytes = b""  # as in `AcceptRequestUnderRules`


class CommitConfiguration(msgspec.Struct, array_like=True, frozen=True, tag="configure"):
    """The next version of the shared configuration."""

    body: str
    committed_by: str
    wall_time: int
    token: int = 0  # fencing token of the lease under which it was committed; 0: none


LogCommand = AcceptRequest | StartAttempt | FinishAttempt | AnswerRequest | CommitConfiguration
# Command types by verb. Converting to the union type would rebuild its type information for each command.
COMMAND_TYPES: dict[object, type[LogCommand]] = {
    command_type.__struct_config__.tag: command_type
    for command_type in (AcceptRequest, StartAttempt, FinishAttempt, AnswerRequest, CommitConfiguration)
}

# Types with further fields, which entries of older versions lack; a command's array begins with its verb.
EXTENDED_TYPES: dict[type[LogCommand], type[LogCommand]] = {
    AcceptRequest: AcceptRequestUnderRules,
    StartAttempt: StartAttemptInGroup,
    AnswerRequest: AnswerRequestEncoded,
}


def accept_command(
    request_id: str, request_class: int, digest: bytes, deadline: int, now: int, rules: ClassRules
) -> AcceptRequest:
    """Return the command that records an accepted request."""
    content, headers = digest[:PART_BYTES], digest[PART_BYTES:]
    fields = (request_id, request_class, content, deadline, now)
    if rules != UNKNOWN_RULES or headers:
        return AcceptRequestUnderRules(*fields, rules, headers)
    return AcceptRequest(*fields)


def start_command(
    request_id: str, worker: str, index: int, now: int, wall_time: int, group: str
) -> StartAttempt:
    """Return the command that records that an attempt may be sent."""
    fields = (request_id, worker, index, now, wall_time)
    return StartAttemptInGroup(*fields, group) if group else StartAttempt(*fields)


def answer_command(request_id: str, answer: RecordedAnswer, digest: bytes, now: int) -> AnswerRequest:
    """Return the command that records a final answer."""
    result, encoded_result = to_storable(answer.result)
    content, headers = digest[:PART_BYTES], digest[PART_BYTES:]
    fields = (request_id, answer.answer, result, content, now)
    if encoded_result or headers:
        return AnswerRequestEncoded(*fields, encoded_result, headers)
    return AnswerRequest(*fields)


def encode_command(command: LogCommand) -> list[object]:
    """Return the array that represents a command in the log."""
    encoded: list[object] = msgspec.to_builtins(command, builtin_types=(bytes,))
    return encoded


def decode_command(entry: object) -> LogCommand | None:
    """Decode an entry of the log; None if its verb is from a later version, which is ignored.

    Raises MalformedCommandError.
    """
    if not isinstance(entry, list) or not isinstance(entry[0], str):
        return None
    command_type = COMMAND_TYPES.get(entry[0])
    if command_type is None:
        return None
    extended_type = EXTENDED_TYPES.get(command_type)
    if extended_type is not None and len(entry) > 1 + len(command_type.__struct_fields__):
        command_type = extended_type
    try:
        return msgspec.convert(entry, command_type)
    except msgspec.ValidationError as error:
        raise MalformedCommandError(entry[0], str(error)) from error
