"""The configuration file of a replica: its name, its folder, all replicas' addresses, their shared secret."""

import json
import re
from pathlib import Path
from typing import NamedTuple

from ploverspoke.service.config import address
from ploverspoke.service.config_reader import ConfigError, ConfigSection

from .membership import Member, Members

REPLICA_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,31}")
MIN_SECRET_BYTES = 16
MILLISECOND = 1_000_000  # ns
DEFAULT_ELECTION_TIMEOUT_MS = 200
MIN_ELECTION_TIMEOUT_MS = 50
DEFAULT_SNAPSHOT_EVERY = 20_000
MIN_SNAPSHOT_EVERY = 100


class ReplicaAddresses(NamedTuple):
    """Where a replica listens, as `host:port`."""

    peer: str  # for the other replicas and for tools
    client: str


class ReplicaConfig(NamedTuple):
    """The configuration of one replica."""

    cluster: str
    name: str
    folder: Path
    secret: bytes
    replicas: dict[str, ReplicaAddresses]  # by name
    election_timeout: int  # ns
    snapshot_every: int  # entries

    def members(self) -> Members:
        """Return the members that a new cluster begins with; all of them vote."""
        return {
            initial_replica_id(name): Member(name, addresses.peer, addresses.client, votes=True)
            for name, addresses in self.replicas.items()
        }


def initial_replica_id(name: str) -> str:
    """Return the id of the first replica of that name."""
    return f"{name}.1"


def read_json_file(path: Path) -> ConfigSection:
    """Return the content of a JSON file, not checked yet. Raises ConfigError."""
    try:
        content = json.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"{path} cannot be read: {error.strerror}") from error
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{path} is no JSON: {error}") from error
    return ConfigSection(content)


def read_replica_config(path: Path) -> ReplicaConfig:
    """Read and check a replica's configuration file. Raises ConfigError, naming the key."""
    return parse_replica_config(read_json_file(path), path)


def read_replica_addresses(top: ConfigSection) -> dict[str, ReplicaAddresses]:
    """Return the addresses of all replicas by name. Raises ConfigError, naming the key."""
    replicas = top.part("replicas")
    found = {}
    for name in replicas.value:
        if not REPLICA_NAME.fullmatch(name):
            raise ConfigError(f"replicas.{name}: expected a name of small letters, digits and dashes")
        section = replicas.part(name)
        for key in ("peers", "clients"):
            address(section, key, None)
        found[name] = ReplicaAddresses(peer=section.text("peers"), client=section.text("clients"))
    return found


def read_shared_secret(top: ConfigSection, path: Path) -> bytes:
    """Return the secret from the file that the configuration file `path` names. Raises ConfigError."""
    secret_file = path.parent / top.text("secret_file")
    try:
        secret = secret_file.read_bytes().strip()
    except OSError as error:
        raise ConfigError(f"secret_file: {secret_file} cannot be read: {error.strerror}") from error
    if len(secret) < MIN_SECRET_BYTES:
        raise ConfigError(f"secret_file: {secret_file} holds less than {MIN_SECRET_BYTES} bytes")
    return secret


def parse_replica_config(top: ConfigSection, path: Path) -> ReplicaConfig:
    """Check the content of the configuration file `path`. Raises ConfigError, naming the key."""
    replicas = read_replica_addresses(top)
    name = top.text("name")
    if name not in replicas:
        raise top.bad("name", "one of the replicas")
    election_timeout_ms = top.whole("election_ms", DEFAULT_ELECTION_TIMEOUT_MS, least=MIN_ELECTION_TIMEOUT_MS)
    return ReplicaConfig(
        cluster=top.text("cluster"),
        name=name,
        folder=path.parent / top.text("folder"),
        secret=read_shared_secret(top, path),
        replicas=replicas,
        election_timeout=election_timeout_ms * MILLISECOND,
        snapshot_every=top.whole("snapshot_every", DEFAULT_SNAPSHOT_EVERY, least=MIN_SNAPSHOT_EVERY),
    )
