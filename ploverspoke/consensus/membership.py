"""The members of a cluster, and which changes of them are safe (Ongaro's thesis, section 4.1).

A replica id names one replica for as long as its storage lasts. A replica whose disk was lost comes back
under another id, so that nothing the old one had promised is taken for a promise of the new one.
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
    votes: bool  # False: a learner, which receives the log and counts in no majority


Members = dict[str, Member]  # by replica id


def members_from_plain(plain: object) -> Members:
    """Return members decoded from plain values, as stored and sent. Raises msgspec.ValidationError."""
    return msgspec.convert(plain, Members)


def voters(members: Mapping[str, Member]) -> list[str]:
    """Return the ids of the members that vote."""
    return [replica_id for replica_id, member in members.items() if member.votes]


def majority(members: Mapping[str, Member]) -> int:
    """Return how many voters are a majority."""
    return len(voters(members)) // 2 + 1


def differ_by_one(old: Members, new: Members) -> bool:
    """Whether the voters differ by at most one: then any majority of `old` meets any majority of `new`."""
    return len(set(voters(old)) ^ set(voters(new))) <= 1


def find_by_name(members: Members, name: str) -> str:
    """Return the id of the member of that name; "" if there is none."""
    return next((replica_id for replica_id, member in members.items() if member.name == name), "")


def fingerprint(cluster: str, members: Members) -> str:
    """Identify a cluster by its name and first members: replicas with another fingerprint are not talked to.

    The text that is hashed must not change: the digest is stored and compared with that of other replicas.
    """
    lines = [cluster]
    for replica_id in sorted(members):
        member = members[replica_id]
        lines.append(f"{replica_id}={[member.name, member.peer_address, member.client_address]}")
    return blake2b("\n".join(lines).encode(), digest_size=FINGERPRINT_BYTES).hexdigest()
