"""Configuration files of config servers, watchers and tools."""

import json
from collections.abc import Callable
from pathlib import Path

import pytest

from ploverspoke.config_distribution.cluster_config import (
    read_config_server_config,
    read_config_servers,
    read_watch_config,
)
from ploverspoke.service.config_reader import ConfigError

from .own_files import SECRET


def test_invalid_file_is_rejected_with_its_key(tmp_path: Path) -> None:
    (tmp_path / "secret").write_bytes(SECRET)
    good_watch: dict[str, object] = {
        "cluster": "c",
        "servers": ["127.0.0.1:1"],
        "secret_file": "secret",
        "cache": "x",
    }
    replicas = {"c1": {"peers": "127.0.0.1:1", "clients": "127.0.0.1:2"}}
    good: dict[str, object] = {
        "cluster": "c",
        "name": "c1",
        "folder": "c1",
        "secret_file": "secret",
        "replicas": replicas,
    }
    readers: list[tuple[Callable[[Path], object], dict[str, object], str, object]] = [
        (read_watch_config, good_watch, "cluster", None),
        (read_watch_config, good_watch, "servers", []),
        (read_watch_config, good_watch, "servers", ["nowhere"]),
        (read_watch_config, good_watch, "near", ["127.0.0.1:9"]),
        (read_watch_config, good_watch, "secret_file", "none"),
        (read_watch_config, good_watch, "cache", ""),
        (read_config_server_config, good, "name", "c9"),
        (read_config_server_config, good, "most_watchers", 0),
        (read_config_server_config, good, "bytes_a_second", 1),
        (read_config_server_config, good, "snapshot_every", 1),
        (read_config_servers, good, "replicas", {}),
    ]
    path = tmp_path / "file.json"
    for read, document, key, value in readers:
        path.write_text(json.dumps(document))
        read(path)
        path.write_text(json.dumps({**document, key: value}))
        with pytest.raises(ConfigError, match=key):
            read(path)
