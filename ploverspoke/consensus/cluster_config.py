"""Files of configuration that replicas and command-line tools read, checked key by key."""

import json
import re
from pathlib import Path
from typing import NamedTuple

from ploverspoke.service.config_reader import ConfigError, ConfigSection
from ploverspoke.transport.units import MILLISECOND

from .membership import Member, Members

NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,31}")
MIN_SECRET_BYTES = 16
DEFAULT_ELECTION_MS = 200
MIN_ELECTION_MS = 50
DEFAULT_SNAPSHOT_EVERY = 20_000  # log entries
MIN_SNAPSHOT_EVERY = 100


class ReplicaAddresses(NamedTuple):
    """Where a replica listens, as `host:port`."""

    peer: str  # for the other replicas and for tools
    client: str


class ReplicaConfig(NamedTuple):
    """One replica's own file, checked."""

    cluster: str
    name: str
    folder: Path
    secret: bytes
    replicas: dict[str, ReplicaAddresses]  # by name
    election_timeout: int  # ns
    snapshot_every: int  # entries

    def members(self) -> Members:
        """Return the members that a new cluster begins with."""
        return {
            initial_replica_id(name): Member(name, addresses.peer, addresses.client, votes=True)
            for name, addresses in self.replicas.items()
        }


class ClusterServers(NamedTuple):
    """Where the replicas of a cluster are, for tools that call them."""

    replicas: dict[str, ReplicaAddresses]  # by name
    secret: bytes


def initial_replica_id(name: str) -> str:
    """Return the id of a first replica: its name and a 1."""
    return f"{name}.1"


def read_json_file(path: Path) -> ConfigSection:
    """Read a file that holds one JSON object; its keys are not checked. Raises ConfigError."""
    try:
        document = json.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise unreadable_file_error(path, error) from error
    except (ValueError, RecursionError) as error:
        message = f"{path} is no JSON: {error}"
        raise ConfigError(message) from error
    return ConfigSection(document)


def unreadable_file_error(path: Path, cause: OSError, key: str = "") -> ConfigError:
    """Return the error for a file that cannot be read; `key` leads to the key that names it."""
    return ConfigError(f"{key}{path} cannot be read: {cause.strerror}")


def read_replica_config(path: Path) -> ReplicaConfig:
    """Read a replica's own file. Raises ConfigError, naming the key."""
    return parse_replica_config(read_json_file(path), path)


def read_cluster_servers(path: Path, expected: str) -> ClusterServers:
    """Read where the replicas of a cluster are: from any replica's file, or one with these keys alone.

    `expected` says what is missing where it names no replica. Raises ConfigError, naming the key.
    """
    section = read_json_file(path)
    replicas = read_replica_addresses(section)
    if not replicas:
        raise section.invalid("replicas", expected)
    return ClusterServers(replicas, read_shared_secret(section, path))


def read_replica_addresses(section: ConfigSection) -> dict[str, ReplicaAddresses]:
    """Check the key `replicas`; give the addresses for peers and for clients by name. Raises ConfigError."""
    replicas = section.section("replicas")
    addresses = {}
    for name in replicas.value:
        if not NAME.fullmatch(name):
            message = f"replicas.{name}: expected a name of small letters, digits and dashes"
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
        message = f"secret_file: {secret_file} holds less than {MIN_SECRET_BYTES} bytes"
        raise ConfigError(message)
    return secret


def parse_replica_config(section: ConfigSection, path: Path) -> ReplicaConfig:
    """Check the keys of a replica's own file, which was read from `path`. Raises ConfigError."""
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
        section.integer("election_ms", DEFAULT_ELECTION_MS, least=MIN_ELECTION_MS) * MILLISECOND,
        section.integer("snapshot_every", DEFAULT_SNAPSHOT_EVERY, least=MIN_SNAPSHOT_EVERY),
    )


def split_address(address_text: str) -> tuple[str, int]:
    """Split "host:port", or "[host]:port" of IPv6, that was checked when it was read."""
    host, _, port = address_text.rpartition(":")
    return host.strip("[]"), int(port)
