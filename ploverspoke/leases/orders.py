"""The files of keepers and of those that ask them, read and checked."""

from pathlib import Path
from typing import NamedTuple

from ploverspoke.consensus.orders import (
    ReplicaOrders,
    read_file,
    replica_addresses,
    replica_orders_of,
    shared_secret,
)

from .rules import Rules, read_rules


class KeeperOrders(NamedTuple):
    replica: ReplicaOrders
    rules: Rules


class Keepers(NamedTuple):
    """Where they are, for whoever asks."""

    peers: dict[str, str]  # by name
    clients: list[str]
    secret: bytes


def read_keeper_orders(path: Path) -> KeeperOrders:
    """Raises BadKey, naming the key."""
    top = read_file(path)
    replica = replica_orders_of(top, path)
    return KeeperOrders(replica, read_rules(top, replica.election))


def read_keepers(path: Path) -> Keepers:
    """From a keeper's file, or one with `replicas` and `secret_file` alone. Raises BadKey."""
    top = read_file(path)
    found = replica_addresses(top)
    if not found:
        raise top.bad("replicas", "at least one keeper")
    peers = {name: peers for name, (peers, _) in found.items()}
    return Keepers(peers, [clients for _, clients in found.values()], shared_secret(top, path))
