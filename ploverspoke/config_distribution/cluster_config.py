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
from ploverspoke.service.config_reader import ConfigSection

DEFAULT_SNAPSHOT_EVERY = 200  # log entries; they hold whole bodies, so there is no reason for many
MIN_SNAPSHOT_EVERY = 100
DEFAULT_MAX_WATCHERS = 1024
DEFAULT_BYTES_PER_SECOND = 4_000_000
MIN_BYTES_PER_SECOND = 100_000


class ConfigServerConfig(NamedTuple):
    """The file of one config server."""

    replica: ReplicaConfig
    max_watchers: int
    bytes_per_second: int  # sent to all watchers together


class ConfigServers(NamedTuple):
    """Where the config servers are, for tools."""

    peers: dict[str, str]  # their addresses for peers, by name
    secret: bytes


class WatchConfig(NamedTuple):
    """The file of one watcher."""

    cluster: str
    servers: list[str]  # their addresses for clients
    local_servers: list[str]  # those of them that are preferred
    secret: bytes
    cache_file: Path


def read_config_server_config(path: Path) -> ConfigServerConfig:
    """The file of a config server. Raises ConfigError with the key."""
    section = read_json_file(path)
    replica = parse_replica_config(section, path)
    snapshot_every = section.integer("snapshot_every", DEFAULT_SNAPSHOT_EVERY, least=MIN_SNAPSHOT_EVERY)
    return ConfigServerConfig(
        replica._replace(snapshot_every=snapshot_every),
        section.integer("most_watchers", DEFAULT_MAX_WATCHERS, least=1),
        section.integer("bytes_a_second", DEFAULT_BYTES_PER_SECOND, least=MIN_BYTES_PER_SECOND),
    )


def read_config_servers(path: Path) -> ConfigServers:
    """From a config server's file, or one with `replicas` and `secret_file` alone. Raises ConfigError."""
    cluster = read_cluster_servers(path, "at least one config server")
    peers = {name: addresses.peer for name, addresses in cluster.replicas.items()}
    return ConfigServers(peers, cluster.secret)


def read_watch_config(path: Path) -> WatchConfig:
    """The file that `serve --watch` names. Raises ConfigError with the key."""
    section = read_json_file(path)
    servers, local_servers = section.values("servers", [], str), section.values("near", [], str)
    if not servers or len(set(servers)) < len(servers):
        raise section.invalid("servers", "addresses of config servers, each once")
    for server in servers:
        ConfigSection({"servers": server}).address("servers")
    if not set(local_servers) <= set(servers):
        raise section.invalid("near", "some of servers")
    cache = section.text("cache")
    if not cache:
        raise section.invalid("cache", "the path of a file")
    secret = read_shared_secret(section, path)
    return WatchConfig(section.text("cluster"), servers, local_servers, secret, path.parent / cache)
