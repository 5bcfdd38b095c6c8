"""The messages between holders and lease servers, and their encoding on the wire. No I/O.

On the wire a message is a map with the keys given by `rename`, and its rows are arrays; docs/leases.md lists
them. Times are whole nanoseconds; a token of 0 means that there is none.
"""

from typing import Annotated

import msgspec

from .errors import LeaseMessageError

NO_TOKEN = 0
HOLDER, LEASE_SERVER = "holder", "lease server"  # the kinds of senders

WIRE_INTEGER_END = 1 << 62  # exclusive

WireInteger = Annotated[int, msgspec.Meta(ge=0, lt=WIRE_INTEGER_END)]


class _Row(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """A part of a message: an array on the wire."""


class RequestedLease(_Row):
    """A lease that a holder wants, or has and wants to keep."""

    name: str
    duration: WireInteger  # ns
    token: WireInteger  # of the grant that it has; NO_TOKEN if it waits
    waited: WireInteger  # ns since it began to wait


class ReleasedLease(_Row):
    """A lease that a holder releases before it expires."""

    name: str
    token: WireInteger
    hand_over_to: str  # the holder that is granted the lease before all others; "" for none


class LeaseRequest(msgspec.Struct, rename={"number": "n", "wanted": "want", "released": "release"}):
    """All leases that a holder wants now; it no longer wants those that are not named."""

    number: WireInteger  # increases with each request of a holder
    wanted: list[RequestedLease]
    released: list[ReleasedLease]


class GrantedLease(_Row):
    """A lease that the holder has."""

    name: str
    token: int
    duration: int  # ns, from when the request was sent


class LostLease(_Row):
    """A lease that the holder no longer has."""

    name: str
    token: int


class RejectedLease(_Row):
    """A lease that cannot be granted to any holder."""

    name: str
    reason: str


class LeaseResponse(
    msgspec.Struct, rename={"number": "n", "granted": "has", "lost": "lost", "rejected": "refused"}
):
    """The response of a lease server to a holder's request, also sent when a lease is granted later."""

    number: int  # of the request from which durations count
    granted: list[GrantedLease] = msgspec.field(default_factory=list)
    lost: list[LostLease] = msgspec.field(default_factory=list)
    rejected: list[RejectedLease] = msgspec.field(default_factory=list)


class LeaderRedirect(msgspec.Struct, rename={"address": "elsewhere"}):
    """A follower's response: the leader's address for clients; "" if it is not known."""

    address: str


def parse_request(message: object) -> LeaseRequest:
    """Validate a decoded message from a holder. Raises LeaseMessageError."""
    try:
        return msgspec.convert(message, LeaseRequest)
    except msgspec.ValidationError as error:
        raise LeaseMessageError(HOLDER, str(error)) from error


def parse_response(message: object) -> LeaseResponse | LeaderRedirect:
    """Validate a decoded message from a lease server. Raises LeaseMessageError."""
    try:
        if isinstance(message, dict) and "elsewhere" in message:
            return msgspec.convert(message, LeaderRedirect)
        return msgspec.convert(message, LeaseResponse)
    except msgspec.ValidationError as error:
        raise LeaseMessageError(LEASE_SERVER, str(error)) from error
