"""The files of keepers and of those that ask them, read and checked."""

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
    replica: ReplicaConfig
    rules: LeaseDefinitions


class LeaseServers(NamedTuple):
    """Where they are, for whoever asks."""

    peers: dict[str, str]  # by name
    clients: list[str]
    secret: bytes


def read_lease_server_config(path: Path) -> LeaseServerConfig:
    """Raises ConfigError, naming the key."""
    top = read_json_file(path)
    replica = parse_replica_config(top, path)
    return LeaseServerConfig(replica, read_definitions(top, replica.election_timeout))


def read_lease_servers(path: Path) -> LeaseServers:
    """From a keeper's file, or one with `replicas` and `secret_file` alone. Raises ConfigError."""
    found = read_cluster_servers(path, "at least one keeper")
    peers = {name: peers for name, (peers, _) in found.replicas.items()}
    return LeaseServers(peers, [clients for _, clients in found.replicas.values()], found.secret)
