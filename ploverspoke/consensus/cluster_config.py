"""A replica's own file: who it is, where it keeps its store, who the others are, and the secret they
share.
"""

import json
import re
from pathlib import Path
from typing import NamedTuple

from ploverspoke.service.config import address
from ploverspoke.service.config_reader import ConfigError, ConfigSection

from .membership import Members

NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,31}")
SHORTEST_SECRET = 16


class ReplicaConfig(NamedTuple):
    cluster: str
    name: str
    folder: Path
    secret: bytes
    replicas: dict[str, tuple[str, str]]  # addresses of peers and of clients, by name
    election: int  # ns
    snapshot_every: int  # entries

    def members(self) -> Members:
        """Those that a new store begins with: the id of a first replica is its name and a 1."""
        return {initial_replica_id(name): [name, *told, True] for name, told in self.replicas.items()}


def initial_replica_id(name: str) -> str:
    return f"{name}.1"


def read_json_file(path: Path) -> ConfigSection:
    """A file of JSON, not looked at yet. Raises ConfigError."""
    try:
        told = json.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"{path} cannot be read: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{path} is no JSON: {error}") from None
    return ConfigSection(told)


def read_replica_config(path: Path) -> ReplicaConfig:
    """Raises ConfigError, naming the key."""
    return parse_replica_config(read_json_file(path), path)


def read_replica_addresses(top: ConfigSection) -> dict[str, tuple[str, str]]:
    """Of peers and of clients, by name. Raises ConfigError."""
    replicas = top.part("replicas")
    found = {}
    for name in replicas.value:
        if not NAME.fullmatch(name):
            raise ConfigError(f"replicas.{name}: expected a name of small letters, digits and dashes")
        one = replicas.part(name)
        for key in ("peers", "clients"):
            address(one, key, None)
        found[name] = (one.text("peers"), one.text("clients"))
    return found


def read_shared_secret(top: ConfigSection, path: Path) -> bytes:
    """Raises ConfigError."""
    secret_file = path.parent / top.text("secret_file")
    try:
        secret = secret_file.read_bytes().strip()
    except OSError as error:
        raise ConfigError(f"secret_file: {secret_file} cannot be read: {error.strerror}") from None
    if len(secret) < SHORTEST_SECRET:
        raise ConfigError(f"secret_file: {secret_file} holds less than {SHORTEST_SECRET} bytes")
    return secret


def parse_replica_config(top: ConfigSection, path: Path) -> ReplicaConfig:
    """Raises ConfigError, naming the key."""
    found = read_replica_addresses(top)
    name = top.text("name")
    if name not in found:
        raise top.bad("name", "one of the replicas")
    return ReplicaConfig(
        top.text("cluster"),
        name,
        path.parent / top.text("folder"),
        read_shared_secret(top, path),
        found,
        top.whole("election_ms", 200, least=50) * 1_000_000,
        top.whole("snapshot_every", 20_000, least=100),
    )
