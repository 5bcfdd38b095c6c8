"""What tools ask a lease server beside what every replica answers. Key names on the wire are fixed."""

import msgspec

from ploverspoke.consensus.admin_messages import AdminRequest, StatusRow
from ploverspoke.transport.units import MILLISECOND

from .definitions import LeaseDefinitions


class LeasesRequest(AdminRequest, frozen=True, tag="leases"):
    """Ask which leases are held, waited for and declared. Answered with `LeaseListing` by the leader."""


class HeldLease(msgspec.Struct, frozen=True, rename={"expires_in_ms": "over_in_ms"}):
    """One lease that a holder has."""

    name: str
    holder: str
    token: int
    duration_ms: int
    expires_in_ms: int  # as the leader counts; the holder stops earlier


class DeclaredLease(
    msgspec.Struct, frozen=True, rename={"max_holders": "places", "max_duration_ms": "longest_ms"}
):
    """The declaration of a lease, or of all leases with one prefix, in the lease servers' file."""

    max_holders: int
    max_duration_ms: int


class FollowerReply(msgspec.Struct, frozen=True):
    """The answer to `LeasesRequest` of a lease server that does not lead."""

    leads: bool = False


class LeaseListing(msgspec.Struct, frozen=True):
    """The leading lease server's answer to `LeasesRequest`; without `leads` it is a follower's, and empty."""

    leads: bool = False
    held: list[HeldLease] = []
    waiting: dict[str, list[str]] = {}  # holders by name of the lease, the next one first
    declared: dict[str, DeclaredLease] = {}


class LeaseStatus(msgspec.Struct, frozen=True, rename={"is_leader": "leading", "epoch": "era"}):
    """A lease server's own part of its status."""

    is_leader: bool  # and grants leases
    leases: int  # that are held
    last_token: int
    epoch: int
    waiting: int  # holders, counted once for each lease
    granted: int  # since the start
    renewed: int  # since the start


class LeaseStatusRow(StatusRow, rename={"is_leader": "leading"}):
    """A status as a tool receives it."""

    is_leader: bool = False


def describe_definitions(definitions: LeaseDefinitions) -> dict[str, DeclaredLease]:
    """Return the declared leases, by the names of the file."""
    return {
        name: DeclaredLease(definition.max_holders, definition.max_duration // MILLISECOND)
        for name, definition in definitions.by_declared_name().items()
    }
