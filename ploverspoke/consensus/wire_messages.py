"""The messages between replicas: the RPCs of the Raft paper and thesis, and their encoding.

Each message is one msgpack map. The names and the order of its keys are fixed, because replicas of different
versions communicate: the tag `k` first, then the fields in the order declared here, `disk` last.

Section numbers refer to Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014),
and of Ongaro's thesis, "Consensus: Bridging Theory and Practice" (2014).
"""

import msgspec
from msgspec import field

from .errors import ConsensusError
from .log import Entry, with_typed_members
from .membership import Members


class MessageError(ConsensusError):
    """A received message is malformed or of an unknown type."""

    def __init__(self, reason: str) -> None:
        """`reason` says what is wrong with the message."""
        super().__init__(f"invalid message: {reason}")
        self.reason = reason


class RaftMessage(msgspec.Struct, tag_field="k", kw_only=True):
    """Base class of all messages. Its keyword-only field is encoded after the fields of the subclasses."""

    storage_id: str = field(name="disk", default="")  # of the sender; set when the message is sent


class RequestVote(RaftMessage, tag="vote"):
    """A candidate requests a vote (paper, section 5.2)."""

    term: int = field(name="t")
    is_transfer: bool = field(name="transfer")  # the leader requested this election to transfer leadership
    last_index: int = field(name="li")  # of the candidate's log
    last_term: int = field(name="lt")


class RequestVoteReply(RaftMessage, tag="vote-granted"):
    """The answer to RequestVote."""

    term: int = field(name="t")
    granted: bool = field(name="yes")


class PreVote(RaftMessage, tag="prevote"):
    """A follower asks whether it would get a vote in the next term, without starting that term.

    See the thesis, section 9.6.
    """

    term: int = field(name="t")  # the term that the election would start
    is_transfer: bool = field(name="transfer")  # always false
    last_index: int = field(name="li")
    last_term: int = field(name="lt")


class PreVoteReply(RaftMessage, tag="prevote-granted"):
    """The answer to PreVote; its term is that of the request."""

    term: int = field(name="t")
    granted: bool = field(name="yes")


class AppendEntries(RaftMessage, tag="append"):
    """The leader replicates entries; without entries it is a heartbeat (paper, section 5.3)."""

    term: int = field(name="t")
    previous_index: int = field(name="li")  # of the entry before `entries`
    previous_term: int = field(name="lt")
    entries: list[Entry] = field(name="e")
    commit_index: int = field(name="c")
    round_number: int = field(name="r")  # the latest heartbeat round, for the read index and the lease


class AppendEntriesReply(RaftMessage, tag="appended"):
    """The answer to AppendEntries."""

    term: int = field(name="t")
    round_number: int = field(name="r")
    had_entries: bool = field(name="e")
    success: bool = field(name="ok")
    match_index: int = field(name="li")  # the logs match up to this index
    next_index: int = field(name="hint")  # if not `success`: where they may match (paper, end of section 5.3)


class InstallSnapshot(RaftMessage, tag="piece"):
    """One chunk of the leader's snapshot (paper, section 7)."""

    term: int = field(name="t")
    last_index: int = field(name="si")  # of the last entry in the snapshot
    last_term: int = field(name="st")
    members: Members = field(name="m")
    offset: int = field(name="o")  # of the chunk, in bytes
    data: bytes = field(name="d")
    done: bool = field(name="done")  # this is the last chunk
    round_number: int = field(name="r")


class InstallSnapshotReply(RaftMessage, tag="piece-taken"):
    """The answer to InstallSnapshot."""

    term: int = field(name="t")
    round_number: int = field(name="r")
    last_index: int = field(name="si")  # identifies the snapshot
    offset: int = field(name="o")  # of the next chunk, in bytes
    match_index: int = field(name="li")  # the logs match up to this index; negative: chunks are missing


class TimeoutNow(RaftMessage, tag="stand"):
    """The leader asks a voter to start an election at once (thesis, section 3.10)."""

    term: int = field(name="t")


class StaleTerm(RaftMessage, tag="behind"):
    """The answer to a request whose term is older than the receiver's."""

    term: int = field(name="t")  # the receiver's term


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
    """Return the encoded message."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> Message:
    """Decode the body of a frame. Raises MessageError."""
    try:
        message = _decoder.decode(data)
        if isinstance(message, AppendEntries):
            message.entries = [with_typed_members(entry) for entry in message.entries]
    except msgspec.DecodeError as error:
        raise MessageError(str(error)) from error
    if not message.storage_id:
        raise MessageError(reason="the storage id of the sender is missing")
    return message


def message_kind(message_type: type[RaftMessage]) -> str:
    """Return the wire tag of a message type."""
    return str(message_type.__struct_config__.tag)
