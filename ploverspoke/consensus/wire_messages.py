"""The messages among replicas: the RPCs of the Raft paper and thesis, and how they are encoded.

Each message is one msgpack map. The names and the order of its keys are fixed, since replicas of different
versions talk to one another: the tag `k` first, then the fields as they are declared here, `disk` last.

Sections are those of Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014),
and of Ongaro's thesis, "Consensus: Bridging Theory and Practice" (2014).
"""

import msgspec
from msgspec import field

from .errors import ConsensusError
from .log import Entry, with_typed_members
from .membership import Members


class MessageError(ConsensusError):
    """A message is not one of those below."""

    def __init__(self, reason: str) -> None:
        """Keep what is wrong with it."""
        super().__init__(f"a message that is not valid: {reason}")
        self.reason = reason


class RaftMessage(msgspec.Struct, tag_field="k", kw_only=True):
    """Base of all messages. A keyword-only field comes behind the others, also behind those of subclasses."""

    storage_id: str = field(name="disk", default="")  # of the sender; set when the message is sent


class RequestVote(RaftMessage, tag="vote"):
    """A candidate asks for a vote (paper, section 5.2)."""

    term: int = field(name="t")
    is_transfer: bool = field(name="transfer")  # the leader has asked for this election itself
    last_index: int = field(name="li")  # of the candidate's log
    last_term: int = field(name="lt")


class RequestVoteReply(RaftMessage, tag="vote-granted"):
    """The answer to RequestVote."""

    term: int = field(name="t")
    granted: bool = field(name="yes")


class PreVote(RaftMessage, tag="prevote"):
    """A follower asks whether it would get a vote in the next term, without starting it (thesis, 9.6)."""

    term: int = field(name="t")  # the one that the election would begin
    is_transfer: bool = field(name="transfer")  # always false
    last_index: int = field(name="li")
    last_term: int = field(name="lt")


class PreVoteReply(RaftMessage, tag="prevote-granted"):
    """The answer to PreVote, with its term."""

    term: int = field(name="t")
    granted: bool = field(name="yes")


class AppendEntries(RaftMessage, tag="append"):
    """The leader replicates entries; without entries a heartbeat (paper, section 5.3)."""

    term: int = field(name="t")
    previous_index: int = field(name="li")  # of the entry before the first one here
    previous_term: int = field(name="lt")
    entries: list[Entry] = field(name="e")
    commit_index: int = field(name="c")
    round_number: int = field(name="r")  # of the latest heartbeat, for the read index and the lease


class AppendEntriesReply(RaftMessage, tag="appended"):
    """The answer to AppendEntries."""

    term: int = field(name="t")
    round_number: int = field(name="r")
    had_entries: bool = field(name="e")
    success: bool = field(name="ok")
    match_index: int = field(name="li")  # up to which the logs agree
    next_index: int = field(name="hint")  # where they may agree, if they do not (paper, end of section 5.3)


class InstallSnapshot(RaftMessage, tag="piece"):
    """One chunk of the leader's snapshot (paper, section 7)."""

    term: int = field(name="t")
    last_index: int = field(name="si")  # the snapshot holds all entries up to there
    last_term: int = field(name="st")
    members: Members = field(name="m")
    offset: int = field(name="o")  # of the chunk, in bytes
    data: bytes = field(name="d")
    done: bool = field(name="done")  # it is the last chunk
    round_number: int = field(name="r")


class InstallSnapshotReply(RaftMessage, tag="piece-taken"):
    """The answer to InstallSnapshot."""

    term: int = field(name="t")
    round_number: int = field(name="r")
    last_index: int = field(name="si")  # which snapshot
    offset: int = field(name="o")  # where the next chunk begins
    match_index: int = field(name="li")  # up to which the logs agree; negative: the snapshot is not whole yet


class TimeoutNow(RaftMessage, tag="stand"):
    """The leader asks a voter to start an election at once (thesis, section 3.10)."""

    term: int = field(name="t")


class StaleTerm(RaftMessage, tag="behind"):
    """A message had an older term than that of the receiver, which is this one."""

    term: int = field(name="t")


Message = (
    RequestVote
    | RequestVoteReply
    | PreVote
    | PreVoteReply
    | AppendEntries
    | AppendEntriesReply
    | InstallSnapshot
    | InstallSnapshotReply
    | TimeoutNow
    | StaleTerm
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Return a message as it is sent."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> Message:
    """Return the message of a frame's body. Raises MessageError."""
    try:
        message = _decoder.decode(data)
        if isinstance(message, AppendEntries):
            message.entries = [with_typed_members(entry) for entry in message.entries]
    except msgspec.DecodeError as error:
        raise MessageError(str(error)) from error
    if not message.storage_id:
        raise MessageError(reason="it does not name the storage of its sender")
    return message


def message_kind(message_type: type[RaftMessage]) -> str:
    """Return the tag of a type of message on the wire."""
    return str(message_type.__struct_config__.tag)
