"""Configuration files of config servers, watchers and tools: parsing and validation."""

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

DEFAULT_SNAPSHOT_EVERY = 200  # log entries; kept few because each holds a whole body
MIN_SNAPSHOT_EVERY = 100
DEFAULT_MAX_WATCHERS = 1024
DEFAULT_BYTES_PER_SECOND = 4_000_000
MIN_BYTES_PER_SECOND = 100_000


class ConfigServerConfig(NamedTuple):
    """The configuration of one config server."""

    replica: ReplicaConfig
    max_watchers: int
    bytes_per_second: int  # limit for all watchers together


class ConfigServers(NamedTuple):
    """The config servers, as tools need them."""

    peers: dict[str, str]  # peer addresses by server name
    secret: bytes


class WatchConfig(NamedTuple):
    """The configuration of one watcher."""

    cluster: str
    servers: list[str]  # client addresses
    local_servers: list[str]  # the preferred ones among `servers`
    secret: bytes
    cache_file: Path


def read_config_server_config(path: Path) -> ConfigServerConfig:
    """Read the file of a config server. Raises ConfigError with the invalid key."""
    section = read_json_file(path)
    replica = parse_replica_config(section, path)
    snapshot_every = section.integer("snapshot_every", DEFAULT_SNAPSHOT_EVERY, minimum=MIN_SNAPSHOT_EVERY)
    return ConfigServerConfig(
        replica._replace(snapshot_every=snapshot_every),
        section.integer("most_watchers", DEFAULT_MAX_WATCHERS, minimum=1),
        section.integer("bytes_a_second", DEFAULT_BYTES_PER_SECOND, minimum=MIN_BYTES_PER_SECOND),
    )


def read_config_servers(path: Path) -> ConfigServers:
    """Read a config server's file, or one with only `replicas` and `secret_file`. Raises ConfigError."""
    cluster = read_cluster_servers(path, "at least one config server")
    peers = {name: addresses.peer for name, addresses in cluster.replicas.items()}
    return ConfigServers(peers, cluster.secret)


def read_watch_config(path: Path) -> WatchConfig:
    """Read the file given by `serve --watch`. Raises ConfigError with the invalid key."""
    section = read_json_file(path)
    servers, local_servers = section.values("servers", [], str), section.values("near", [], str)
    if not servers or len(set(servers)) < len(servers):
        raise section.invalid("servers", "addresses of config servers, each once")
    for server in servers:
        ConfigSection({"servers": server}).address("servers")
    if not set(local_servers) <= set(servers):
        raise section.invalid("near", "some of servers")
    cache_file_name = section.text("cache")
    if not cache_file_name:
        raise section.invalid("cache", "the path of a file")
    secret = read_shared_secret(section, path)
    return WatchConfig(section.text("cluster"), servers, local_servers, secret, path.parent / cache_file_name)
