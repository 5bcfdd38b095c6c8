"""Who belongs to the store. A plain map, id -> [name, address of peers, address of clients, whether it
votes].

An id names one replica for as long as its disk lasts; a replica whose disk was lost comes back under
another id, so that what the old one had promised is never taken for the new one's word.
"""

from collections.abc import Mapping
from hashlib import blake2b
from typing import Any

Members = dict[str, list[Any]]
NAME, PEERS, CLIENTS, VOTES = range(4)


def voters(members: Mapping[str, list[Any]]) -> list[str]:
    return [who for who, told in members.items() if told[VOTES]]


def majority(members: Mapping[str, list[Any]]) -> int:
    return len(voters(members)) // 2 + 1


def differ_by_one(old: Members, new: Members) -> bool:
    """Whether their voters differ by one at the most: then any two majorities of the two meet."""
    return len(set(voters(old)) ^ set(voters(new))) <= 1


def fingerprint(cluster: str, members: Members) -> str:
    """Of a store's first members: replicas started with different lists must not speak with one another."""
    told = "\n".join([cluster, *(f"{who}={members[who][:3]}" for who in sorted(members))])
    return blake2b(told.encode(), digest_size=16).hexdigest()
