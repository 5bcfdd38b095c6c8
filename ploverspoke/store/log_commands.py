"""Commands of the log as they are stored, and the words that stored data has for outcomes of attempts.

A command is a msgpack array that begins with its verb. Verbs, words and the order of the fields are the
format of the log on disk and between replicas: they do not follow the names in the code. Fields added later
stand last and have a default, as entries of older versions lack them. Times are nanoseconds of the replicated
clock (`consensus/clock.py`) as the leader read it, wall times nanoseconds of Unix time.
"""

import msgspec

from ploverspoke.decisions.interface import AttemptOutcome
from ploverspoke.routing.answers import FinalAnswer

from .errors import MalformedCommandError

OUTCOMES_BY_WORD = {outcome.value: outcome for outcome in AttemptOutcome}


def read_outcome(word: str) -> AttemptOutcome | None:
    """Read the stored word of an attempt's outcome.

    None where nothing is known: the word is empty, or of a later version. Such an attempt may have run.
    """
    return OUTCOMES_BY_WORD.get(word)


class AcceptRequest(msgspec.Struct, array_like=True, frozen=True, tag="take"):
    """A request was accepted and will be answered."""

    request_id: str
    request_class: int  # its number in the settings
    digest: bytes  # of the request, to tell another one under the same id apart
    deadline: int
    now: int


class StartAttempt(msgspec.Struct, array_like=True, frozen=True, tag="intend"):
    """An attempt may be sent to a worker; committed before it is."""

    request_id: str
    worker: str
    index: int  # of the attempt among those of the request
    now: int
    wall_time: int = 0


class FinishAttempt(msgspec.Struct, array_like=True, frozen=True, tag="outcome"):
    """An attempt ended."""

    request_id: str
    index: int
    outcome_word: str  # of an `AttemptOutcome`; one of a later version is kept as it is


class AnswerRequest(msgspec.Struct, array_like=True, frozen=True, tag="answer"):
    """A request got its final answer; the first one that is committed stands."""

    request_id: str
    answer: FinalAnswer
    result: str
    digest: bytes
    now: int


class CommitConfiguration(msgspec.Struct, array_like=True, frozen=True, tag="configure"):
    """The next version of the configuration that the replicas share."""

    body: str
    committed_by: str
    wall_time: int
    token: int = 0  # fencing token of the lease under which it was committed; 0: none


LogCommand = AcceptRequest | StartAttempt | FinishAttempt | AnswerRequest | CommitConfiguration
# By verb: converting to the union would build its type information anew for each command.
COMMAND_TYPES: dict[object, type[LogCommand]] = {
    command_type.__struct_config__.tag: command_type
    for command_type in (AcceptRequest, StartAttempt, FinishAttempt, AnswerRequest, CommitConfiguration)
}


def encode_command(command: LogCommand) -> list[object]:
    """Return the array that represents a command in the log."""
    encoded: list[object] = msgspec.to_builtins(command, builtin_types=(bytes,))
    return encoded


def decode_command(entry: object) -> LogCommand | None:
    """Read an array of the log; None for a verb of a later version, which changes nothing here.

    Raises MalformedCommandError.
    """
    if not isinstance(entry, list) or not isinstance(entry[0], str):
        return None
    command_type = COMMAND_TYPES.get(entry[0])
    if command_type is None:
        return None
    try:
        return msgspec.convert(entry, command_type)
    except msgspec.ValidationError as error:
        raise MalformedCommandError(entry[0], str(error)) from error
