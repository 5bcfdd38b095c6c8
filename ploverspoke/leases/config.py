"""Reads and checks the files of lease servers and of their clients."""

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
    """The checked contents of one lease server's file."""

    replica: ReplicaConfig
    definitions: LeaseDefinitions


class LeaseServers(NamedTuple):
    """The addresses of the lease servers, for their clients."""

    peer_addresses: dict[str, str]  # by server name; command-line tools connect to these
    client_addresses: list[str]  # holders connect to these
    secret: bytes


def read_lease_server_config(path: Path) -> LeaseServerConfig:
    """Read a lease server's file. Raises ConfigError, which names the key."""
    config = read_json_file(path)
    replica = parse_replica_config(config, path)
    return LeaseServerConfig(replica, read_definitions(config, replica.election_timeout))


def read_lease_servers(path: Path) -> LeaseServers:
    """Read a lease server's file, or one that has only `replicas` and `secret_file`. Raises ConfigError."""
    cluster = read_cluster_servers(path, "at least one lease server")
    peer_addresses = {name: peer_address for name, (peer_address, _) in cluster.replicas.items()}
    client_addresses = [client_address for _, client_address in cluster.replicas.values()]
    return LeaseServers(peer_addresses, client_addresses, cluster.secret)
