"""The members of a cluster, and which membership changes are safe (Ongaro's thesis, section 4.1).

A replica id identifies one replica for the lifetime of its storage. A replica that has lost its disk rejoins
under a new id, so that votes and entries acknowledged under the old id are not attributed to it.
"""

from collections.abc import Mapping
from hashlib import blake2b

import msgspec

FINGERPRINT_BYTES = 16


class Member(msgspec.Struct, array_like=True, frozen=True):
    """One replica of the cluster. Stored and sent as an array, so the order of the fields is fixed."""

    name: str
    peer_address: str
    client_address: str
    votes: bool  # False: a learner, which receives the log but does not count towards a majority


Members = dict[str, Member]  # by replica id


def members_from_plain(plain: object) -> Members:
    """Return members decoded from plain values, as stored and sent. Raises msgspec.ValidationError."""
    return msgspec.convert(plain, Members)


def voters(members: Mapping[str, Member]) -> list[str]:
    """Return the ids of the members that vote."""
    return [replica_id for replica_id, member in members.items() if member.votes]


def majority(members: Mapping[str, Member]) -> int:
    """Return the number of voters that form a majority."""
    return len(voters(members)) // 2 + 1


def differ_by_at_most_one_voter(old: Members, new: Members) -> bool:
    """Whether at most one voter differs, so that any majority of `old` overlaps any majority of `new`."""
    return len(set(voters(old)) ^ set(voters(new))) <= 1


def find_by_name(members: Members, name: str) -> str:
    """Return the id of the member with this name; "" if there is none."""
    return next((replica_id for replica_id, member in members.items() if member.name == name), "")


def fingerprint(cluster: str, members: Members) -> str:
    """Return a digest of a cluster's name and initial members; replicas refuse peers with another digest.

    The text that is hashed must not change: the digest is stored and compared with those of other replicas.
    """
    lines = [cluster]
    for replica_id in sorted(members):
        member = members[replica_id]
        lines.append(f"{replica_id}={[member.name, member.peer_address, member.client_address]}")
    return blake2b("\n".join(lines).encode(), digest_size=FINGERPRINT_BYTES).hexdigest()
