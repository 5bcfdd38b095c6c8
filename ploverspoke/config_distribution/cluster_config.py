"""The files of config servers, of those that watch them, and of tools, read and checked."""

from pathlib import Path
from typing import NamedTuple

from ploverspoke.consensus.cluster_config import (
    ReplicaConfig,
    parse_replica_config,
    read_cluster_servers,
    read_json_file,
    read_shared_secret,
)
from ploverspoke.service.config import address
from ploverspoke.service.config_reader import ConfigSection

SNAPSHOT_EVERY = 200  # versions are kept whole in the log until then: no reason to hold a month of them


class ConfigServerConfig(NamedTuple):
    replica: ReplicaConfig
    most_watchers: int
    bytes_a_second: int  # that go out to watchers


class ConfigServers(NamedTuple):
    """Where they are, for tools."""

    peers: dict[str, str]  # by name
    secret: bytes


class WatchConfig(NamedTuple):
    cluster: str
    servers: list[str]  # their addresses for clients
    near: list[str]  # those of them that are preferred
    secret: bytes
    cache: Path


def read_config_server_config(path: Path) -> ConfigServerConfig:
    """Raises ConfigError, naming the key."""
    top = read_json_file(path)
    replica = parse_replica_config(top, path)
    every = top.whole("snapshot_every", SNAPSHOT_EVERY, least=100)
    return ConfigServerConfig(
        replica._replace(snapshot_every=every),
        top.whole("most_watchers", 1024, least=1),
        top.whole("bytes_a_second", 4_000_000, least=100_000),
    )


def read_config_servers(path: Path) -> ConfigServers:
    """From a config server's file, or one with `replicas` and `secret_file` alone. Raises ConfigError."""
    found = read_cluster_servers(path, "at least one config server")
    return ConfigServers({name: peers for name, (peers, _) in found.replicas.items()}, found.secret)


def read_watch_config(path: Path) -> WatchConfig:
    """The file that `serve --watch` names. Raises ConfigError."""
    top = read_json_file(path)
    servers, near = top.row("servers", [], str), top.row("near", [], str)
    if not servers or len(set(servers)) < len(servers):
        raise top.bad("servers", "addresses of config servers, each once")
    for where in servers:
        address(ConfigSection({"servers": where}), "servers", None)
    if not set(near) <= set(servers):
        raise top.bad("near", "some of servers")
    cache = top.text("cache")
    if not cache:
        raise top.bad("cache", "the path of a file")
    return WatchConfig(top.text("cluster"), servers, near, read_shared_secret(top, path), path.parent / cache)
