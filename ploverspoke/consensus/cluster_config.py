"""Reads and checks the configuration files of replicas and command-line tools."""

import json
import re
from pathlib import Path
from typing import NamedTuple

from ploverspoke.service.config_reader import ConfigError, ConfigSection
from ploverspoke.transport.units import MILLISECOND

from .membership import Member, Members

REPLICA_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,31}")
MIN_SECRET_BYTES = 16
DEFAULT_ELECTION_TIMEOUT_MS = 200
MIN_ELECTION_TIMEOUT_MS = 50
DEFAULT_SNAPSHOT_EVERY = 20_000  # log entries
MIN_SNAPSHOT_EVERY = 100


class ReplicaAddresses(NamedTuple):
    """The addresses where a replica listens, as `host:port`."""

    peer: str  # for the other replicas and for tools
    client: str


class ReplicaConfig(NamedTuple):
    """The checked configuration file of one replica."""

    cluster: str
    name: str
    folder: Path
    secret: bytes
    replicas: dict[str, ReplicaAddresses]  # by name
    election_timeout: int  # ns
    snapshot_every: int  # entries

    def members(self) -> Members:
        """Return the initial members of a new cluster."""
        return {
            initial_replica_id(name): Member(name, addresses.peer, addresses.client, votes=True)
            for name, addresses in self.replicas.items()
        }


class ClusterServers(NamedTuple):
    """The addresses and the secret of a cluster, for tools that call its replicas."""

    replicas: dict[str, ReplicaAddresses]  # by name
    secret: bytes


def initial_replica_id(name: str) -> str:
    """Return the id of the first replica with that name: the name, a dot and a 1."""
    return f"{name}.1"


def read_json_file(path: Path) -> ConfigSection:
    """Read a file that holds one JSON object; its keys are not checked. Raises ConfigError."""
    try:
        document = json.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise unreadable_file_error(path, error) from error
    except (ValueError, RecursionError) as error:
        message = f"{path} is not valid JSON: {error}"
        raise ConfigError(message) from error
    return ConfigSection(document)


def unreadable_file_error(path: Path, cause: OSError, key: str = "") -> ConfigError:
    """Return the error for a file that cannot be read; `key` is a prefix with the key that names the file."""
    return ConfigError(f"{key}{path} cannot be read: {cause.strerror}")


def read_replica_config(path: Path) -> ReplicaConfig:
    """Read the configuration file of a replica. Raises ConfigError, which names the key."""
    return parse_replica_config(read_json_file(path), path)


def read_cluster_servers(path: Path, expected: str) -> ClusterServers:
    """Read the addresses and the secret of a cluster from any replica's file, or a file with only these keys.

    `expected` is the expectation stated in the error if the file names no replica. Raises ConfigError, which
    names the key.
    """
    section = read_json_file(path)
    replicas = read_replica_addresses(section)
    if not replicas:
        raise section.invalid("replicas", expected)
    return ClusterServers(replicas, read_shared_secret(section, path))


def read_replica_addresses(section: ConfigSection) -> dict[str, ReplicaAddresses]:
    """Check the key `replicas` and return the addresses of each replica by name. Raises ConfigError."""
    replicas = section.section("replicas")
    addresses = {}
    for name in replicas.value:
        if not REPLICA_NAME_PATTERN.fullmatch(name):
            message = f"replicas.{name}: expected a name of lowercase letters, digits and dashes"
            raise ConfigError(message)
        replica = replicas.section(name)
        for key in ("peers", "clients"):
            replica.address(key)
        addresses[name] = ReplicaAddresses(replica.text("peers"), replica.text("clients"))
    return addresses


def read_shared_secret(section: ConfigSection, path: Path) -> bytes:
    """Read the file that `secret_file` names, relative to the file at `path`. Raises ConfigError."""
    secret_file = path.parent / section.text("secret_file")
    try:
        secret = secret_file.read_bytes().strip()
    except OSError as error:
        raise unreadable_file_error(secret_file, error, "secret_file: ") from error
    if len(secret) < MIN_SECRET_BYTES:
        message = f"secret_file: {secret_file} holds fewer than {MIN_SECRET_BYTES} bytes"
        raise ConfigError(message)
    return secret


def parse_replica_config(section: ConfigSection, path: Path) -> ReplicaConfig:
    """Check the keys of a replica's configuration file, read from `path`. Raises ConfigError."""
    replicas = read_replica_addresses(section)
    name = section.text("name")
    if name not in replicas:
        raise section.invalid("name", "one of the replicas")
    return ReplicaConfig(
        section.text("cluster"),
        name,
        path.parent / section.text("folder"),
        read_shared_secret(section, path),
        replicas,
        section.integer("election_ms", DEFAULT_ELECTION_TIMEOUT_MS, minimum=MIN_ELECTION_TIMEOUT_MS)
        * MILLISECOND,
        section.integer("snapshot_every", DEFAULT_SNAPSHOT_EVERY, minimum=MIN_SNAPSHOT_EVERY),
    )


def split_address(address_text: str) -> tuple[str, int]:
    """Split a checked address: "host:port", or "[host]:port" for IPv6."""
    host, _, port = address_text.rpartition(":")
    return host.strip("[]"), int(port)
