"""The files of config servers, of those that watch them, and of tools, read and checked."""

from pathlib import Path
from typing import NamedTuple

from ploverspoke.consensus.orders import (
    ReplicaOrders,
    read_file,
    replica_addresses,
    replica_orders_of,
    shared_secret,
)
from ploverspoke.program.briefing import address
from ploverspoke.program.checked import Checked

SNAPSHOT_EVERY = 200  # versions are kept whole in the log until then: no reason to hold a month of them


class ConfigServerOrders(NamedTuple):
    replica: ReplicaOrders
    most_watchers: int
    bytes_a_second: int  # that go out to watchers


class ConfigServers(NamedTuple):
    """Where they are, for tools."""

    peers: dict[str, str]  # by name
    secret: bytes


class WatchOrders(NamedTuple):
    cluster: str
    servers: list[str]  # their addresses for clients
    near: list[str]  # those of them that are preferred
    secret: bytes
    cache: Path


def read_config_server_orders(path: Path) -> ConfigServerOrders:
    """Raises BadKey, naming the key."""
    top = read_file(path)
    replica = replica_orders_of(top, path)
    every = top.whole("snapshot_every", SNAPSHOT_EVERY, least=100)
    return ConfigServerOrders(
        replica._replace(snapshot_every=every),
        top.whole("most_watchers", 1024, least=1),
        top.whole("bytes_a_second", 4_000_000, least=100_000),
    )


def read_config_servers(path: Path) -> ConfigServers:
    """From a config server's file, or one with `replicas` and `secret_file` alone. Raises BadKey."""
    top = read_file(path)
    found = replica_addresses(top)
    if not found:
        raise top.bad("replicas", "at least one config server")
    return ConfigServers({name: peers for name, (peers, _) in found.items()}, shared_secret(top, path))


def read_watch_orders(path: Path) -> WatchOrders:
    """The file that `serve --watch` names. Raises BadKey."""
    top = read_file(path)
    servers, near = top.row("servers", [], str), top.row("near", [], str)
    if not servers or len(set(servers)) < len(servers):
        raise top.bad("servers", "addresses of config servers, each once")
    for where in servers:
        address(Checked({"servers": where}), "servers", None)
    if not set(near) <= set(servers):
        raise top.bad("near", "some of servers")
    cache = top.text("cache")
    if not cache:
        raise top.bad("cache", "the path of a file")
    return WatchOrders(top.text("cluster"), servers, near, shared_secret(top, path), path.parent / cache)
