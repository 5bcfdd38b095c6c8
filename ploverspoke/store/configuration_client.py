"""Commits a new version of the shared configuration through the leader, for command-line tools."""

import json
from pathlib import Path
from typing import NamedTuple

import click

from ploverspoke.consensus.cluster_config import ReplicaConfig, read_replica_config
from ploverspoke.consensus.command_line import find_leader, read_config_or_exit, request_reply
from ploverspoke.service.config_reader import ConfigError

from .admin_messages import ConfigureReply, ConfigureRequest
from .shared_config import merge_config


class CheckedConfiguration(NamedTuple):
    """A shared configuration that was validated for its store."""

    store: ReplicaConfig
    body: str  # JSON


def read_configuration(store_file: Path, configuration: Path) -> CheckedConfiguration:
    """Read a store file and a configuration, and validate the configuration for that store.

    Exits with code 2 if either of them is invalid.
    """
    config = read_config_or_exit(read_replica_config, store_file)
    try:
        body = configuration.read_text(encoding="utf-8")
        merge_config(json.loads(body), "", config, None)
    except (ConfigError, ValueError, OSError) as error:
        message = f"{configuration}: {error}"
        raise click.UsageError(message) from error
    return CheckedConfiguration(config, body)


def commit_configuration(config: ReplicaConfig, request: ConfigureRequest) -> ConfigureReply:
    """Ask the leader to commit a configuration.

    Raises NoLeaderError, or ReplicaUnavailableError if the leader did not reply.
    """
    peer_addresses = {name: addresses.peer for name, addresses in config.replicas.items()}
    leader = find_leader(peer_addresses, config.secret)
    return request_reply(leader, peer_addresses[leader], config.secret, request, ConfigureReply)
