"""The files of lease servers and of those that call them, read and checked."""

from pathlib import Path
from typing import NamedTuple

from ploverspoke.consensus.cluster_config import (
    ReplicaConfig,
    parse_replica_config,
    read_cluster_servers,
    read_json_file,
)

from .definitions import LeaseDefinitions, read_definitions


class LeaseServerConfig(NamedTuple):
    """One lease server's own file, checked."""

    replica: ReplicaConfig
    definitions: LeaseDefinitions


class LeaseServers(NamedTuple):
    """Where the lease servers are, for their clients."""

    peer_addresses: dict[str, str]  # by name; tools call these
    client_addresses: list[str]  # holders connect to these
    secret: bytes


def read_lease_server_config(path: Path) -> LeaseServerConfig:
    """Read a lease server's own file. Raises ConfigError, naming the key."""
    top = read_json_file(path)
    replica = parse_replica_config(top, path)
    return LeaseServerConfig(replica, read_definitions(top, replica.election_timeout))


def read_lease_servers(path: Path) -> LeaseServers:
    """Read a lease server's file, or one with `replicas` and `secret_file` alone. Raises ConfigError."""
    found = read_cluster_servers(path, "at least one lease server")
    peer_addresses = {name: peers for name, (peers, _) in found.replicas.items()}
    client_addresses = [clients for _, clients in found.replicas.values()]
    return LeaseServers(peer_addresses, client_addresses, found.secret)
