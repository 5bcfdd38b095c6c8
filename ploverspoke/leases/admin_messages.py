"""Requests of command-line tools that only lease servers answer. Key names on the wire are fixed."""

import msgspec

from ploverspoke.consensus.admin_messages import AdminRequest, StatusRow
from ploverspoke.transport.units import MILLISECOND

from .definitions import LeaseDefinitions


class LeasesRequest(AdminRequest, frozen=True, tag="leases"):
    """Asks which leases are held, waited for and declared. The leader replies with `LeaseListing`."""


class HeldLease(msgspec.Struct, frozen=True, rename={"expires_in_ms": "over_in_ms"}):
    """A lease that is held, and its holder."""

    name: str
    holder: str
    token: int
    duration_ms: int
    expires_in_ms: int  # by the leader's clock; the holder stops earlier


class DeclaredLease(
    msgspec.Struct, frozen=True, rename={"max_holders": "places", "max_duration_ms": "longest_ms"}
):
    """The declaration of a lease, or of all leases with one prefix, in the lease servers' file."""

    max_holders: int
    max_duration_ms: int


class FollowerReply(msgspec.Struct, frozen=True):
    """The reply to `LeasesRequest` of a lease server that does not lead."""

    leads: bool = False


class LeaseListing(msgspec.Struct, frozen=True):
    """The leader's reply to `LeasesRequest`. A `FollowerReply` decodes as one that is empty."""

    leads: bool = False
    held: list[HeldLease] = []
    waiting: dict[str, list[str]] = {}  # holders by lease name, the next one first
    declared: dict[str, DeclaredLease] = {}


class LeaseStatus(msgspec.Struct, frozen=True, rename={"is_leader": "leading", "epoch": "era"}):
    """The fields that a lease server adds to the status of its replica."""

    is_leader: bool  # whether it grants leases
    leases: int  # held leases, counted once for each holder
    last_token: int
    epoch: int
    waiting: int  # waiting holders, counted once for each lease
    granted: int  # grants since the start
    renewed: int  # renewals since the start


class LeaseStatusRow(StatusRow, rename={"is_leader": "leading"}):
    """The status of a lease server, as a command-line tool decodes it."""

    is_leader: bool = False


def describe_definitions(definitions: LeaseDefinitions) -> dict[str, DeclaredLease]:
    """Return the declared leases by their names in the file."""
    return {
        name: DeclaredLease(definition.max_holders, definition.max_duration // MILLISECOND)
        for name, definition in definitions.by_declared_name().items()
    }
