"""Requests that command-line tools send to a running replica, and its replies, as typed messages.

On the wire each is a msgpack map in a frame of `framing.py`; a request names its kind under the key "ask".
Key names and their order are fixed: tools and replicas of different versions communicate with one another.
"""

from collections.abc import Mapping
from typing import TypeVar

import msgspec
from msgspec import UNSET, UnsetType

from .framing import FrameError

WireMap = Mapping[str, object]  # a message in its wire form: strings, numbers, lists and maps by key

KIND_KEY = "ask"
UNKNOWN_REQUEST = "unknown question"


class AdminRequest(msgspec.Struct, frozen=True, tag_field=KIND_KEY, tag="", omit_defaults=True):
    """Base class of all requests, also of those in other packages. Each subclass has its own `tag`."""


class MalformedRequestError(FrameError):
    """A request of a known kind lacks a field or has one of the wrong type; its connection is closed."""

    def __init__(self, kind: str, reason: str) -> None:
        """`kind` is the request's tag."""
        super().__init__(f"a request {kind!r} cannot be read: {reason}")
        self.kind = kind
        self.reason = reason


class StatusRequest(AdminRequest, frozen=True, tag="status"):
    """Ask a replica for its status.

    Answered with one map: the keys of `ReplicaStatus`, then those of the state machine, then those of
    `ConsensusStatus` while the replica takes part in consensus.
    """


class ChangeMemberRequest(AdminRequest, frozen=True, tag="members"):
    """Add, change or remove one member of the cluster. Answered with `ResultReply`.

    Build it with `add_member_request` or `remove_member_request`: the two carry different keys.
    """

    name: str
    peers: str | UnsetType = UNSET
    clients: str | UnsetType = UNSET
    votes: bool | UnsetType = UNSET
    remove: bool | UnsetType = UNSET


class TransferLeadershipRequest(AdminRequest, frozen=True, tag="transfer"):
    """Transfer leadership to the voter of that name. Answered with `ResultReply`."""

    to: str


class BackupRequest(AdminRequest, frozen=True, tag="backup"):
    """Copy the replica's storage to a path on its own machine. Answered with `ResultReply`."""

    path: str


def add_member_request(name: str, peer_address: str, client_address: str, votes: bool) -> ChangeMemberRequest:
    """Add a member, or change one that is there, as a voter or as a learner."""
    return ChangeMemberRequest(name, peers=peer_address, clients=client_address, votes=votes)


def remove_member_request(name: str) -> ChangeMemberRequest:
    """Remove the member of that name."""
    return ChangeMemberRequest(name, remove=True)


class ResultReply(msgspec.Struct, frozen=True):
    """Whether a request was carried out."""

    done: bool
    why: str | UnsetType = UNSET  # the reason if it was not carried out


class MemberStatus(msgspec.Struct, frozen=True):
    """One member of the cluster as a replica knows it."""

    name: str
    peers: str  # address for the other replicas
    clients: str  # address for clients
    votes: bool


class ReplicaStatus(msgspec.Struct, frozen=True):
    """The part of a status that a replica always reports, also while its storage cannot be used."""

    name: str
    cluster: str
    store: str  # fingerprint of the cluster's name and initial members
    role: str
    trouble: str  # the storage error that keeps this replica stopped; "": none
    troubles: int  # storage failures since the start
    disk_bytes: int
    batches: int  # write batches since the start
    entries_written: int
    refused: int  # connections that were rejected
    stuck: int  # connections that were closed because no data could be sent on them


class ConsensusStatus(msgspec.Struct, frozen=True):
    """The part of a status that a replica reports while it takes part in consensus."""

    term: int
    leader: str  # name; "": none is known
    leads: bool
    last: int  # this and the next three are log indexes
    committed: int
    applied: int
    snapshot: int
    members: list[MemberStatus]
    behind: dict[str, int]  # entries that each follower lacks, by its name; known only to the leader


class StatusRow(msgspec.Struct):
    """A status as a tool receives it: the fields that tools evaluate, and all keys as they were sent.

    A tool that reads keys of one state machine derives a type with those fields.
    """

    name: str = ""
    role: str = ""
    leads: bool = False
    fields: WireMap = {}


RequestT = TypeVar("RequestT", bound=AdminRequest)


def decode_request(raw: object, *request_types: type[RequestT]) -> RequestT | None:
    """Convert a received message to the request type whose tag it carries.

    Returns None if it is of none of these types; the replica then answers with `unknown_request_reply()`.
    Raises MalformedRequestError.
    """
    if not isinstance(raw, dict):
        return None
    for request_type in request_types:
        kind = request_type.__struct_config__.tag
        if kind == raw.get(KIND_KEY):
            try:
                return msgspec.convert(raw, request_type)
            except msgspec.ValidationError as error:
                raise MalformedRequestError(str(kind), str(error)) from error
    return None


def encode_request(request: AdminRequest) -> WireMap:
    """Return the map that represents a request on the wire."""
    return _to_map(request)


def encode_reply(reply: msgspec.Struct) -> WireMap:
    """Return the map that represents a reply, or a part of a status, on the wire."""
    return _to_map(reply)


def unknown_request_reply() -> ResultReply:
    """Return the reply to a request of a kind that the replica does not know."""
    return ResultReply(done=False, why=UNKNOWN_REQUEST)


def _to_map(message: msgspec.Struct) -> WireMap:
    encoded: WireMap = msgspec.to_builtins(message)
    return encoded
