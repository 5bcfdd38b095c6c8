"""A replica's own file: who it is, where it keeps its store, who the others are, and the secret they
share.
"""

import json
import re
from pathlib import Path
from typing import NamedTuple

from ploverspoke.program.briefing import address
from ploverspoke.program.checked import BadKey, Checked

from .members import Members

NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,31}")
SHORTEST_SECRET = 16


class ReplicaOrders(NamedTuple):
    cluster: str
    name: str
    folder: Path
    secret: bytes
    replicas: dict[str, tuple[str, str]]  # addresses of peers and of clients, by name
    election: int  # ns
    snapshot_every: int  # entries

    def members(self) -> Members:
        """Those that a new store begins with: the id of a first replica is its name and a 1."""
        return {first_id(name): [name, *told, True] for name, told in self.replicas.items()}


def first_id(name: str) -> str:
    return f"{name}.1"


def read_file(path: Path) -> Checked:
    """A file of JSON, not looked at yet. Raises BadKey."""
    try:
        told = json.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise BadKey(f"{path} cannot be read: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise BadKey(f"{path} is no JSON: {error}") from None
    return Checked(told)


def read_replica_orders(path: Path) -> ReplicaOrders:
    """Raises BadKey, naming the key."""
    return replica_orders_of(read_file(path), path)


def replica_addresses(top: Checked) -> dict[str, tuple[str, str]]:
    """Of peers and of clients, by name. Raises BadKey."""
    replicas = top.part("replicas")
    found = {}
    for name in replicas.value:
        if not NAME.fullmatch(name):
            raise BadKey(f"replicas.{name}: expected a name of small letters, digits and dashes")
        one = replicas.part(name)
        for key in ("peers", "clients"):
            address(one, key, None)
        found[name] = (one.text("peers"), one.text("clients"))
    return found


def shared_secret(top: Checked, path: Path) -> bytes:
    """Raises BadKey."""
    secret_file = path.parent / top.text("secret_file")
    try:
        secret = secret_file.read_bytes().strip()
    except OSError as error:
        raise BadKey(f"secret_file: {secret_file} cannot be read: {error.strerror}") from None
    if len(secret) < SHORTEST_SECRET:
        raise BadKey(f"secret_file: {secret_file} holds less than {SHORTEST_SECRET} bytes")
    return secret


def replica_orders_of(top: Checked, path: Path) -> ReplicaOrders:
    """Raises BadKey, naming the key."""
    found = replica_addresses(top)
    name = top.text("name")
    if name not in found:
        raise top.bad("name", "one of the replicas")
    return ReplicaOrders(
        top.text("cluster"),
        name,
        path.parent / top.text("folder"),
        shared_secret(top, path),
        found,
        top.whole("election_ms", 200, least=50) * 1_000_000,
        top.whole("snapshot_every", 20_000, least=100),
    )
