"""Reading the configuration: its values and defaults, and the key that an error names."""

import copy
import json
from pathlib import Path
from typing import Any

import pytest

from ploverspoke.decisions.settings import Idempotency
from ploverspoke.service.config import Config, read_config
from ploverspoke.service.config_reader import ConfigError
from tests.decisions.harness import SETTINGS

VALID_DOCUMENT: dict[str, Any] = {
    "name": "n3",
    "listen": "127.0.0.1:8081",
    "discovery": "127.0.0.2:8500",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 2048, "sockets": 4096},
    "settings": SETTINGS,
}


def read(content: str | dict[str, Any], folder: Path, **environment: str) -> Config:
    path = folder / "config.json"
    path.write_text(content if isinstance(content, str) else json.dumps(content))
    return read_config({"RELAY_CONFIG": str(path), **environment})


def test_missing_keys_get_their_defaults(tmp_path: Path) -> None:
    config = read(VALID_DOCUMENT, tmp_path)
    assert config.listen == ("127.0.0.1", 8081) and config.seed == 0x8C1F30D27A5BE964
    assert config.descriptor_limit == 4096 and config.memory_limit == 2048 * 1024 * 1024
    assert config.settings.idle_timeout == 30_000_000_000
    assert [request_class.idempotency for request_class in config.settings.classes] == [
        Idempotency.IDEMPOTENT,
        Idempotency.NON_IDEMPOTENT,
    ]
    shorter = {key: value for key, value in VALID_DOCUMENT.items() if key not in ("listen", "limits", "name")}
    config = read(shorter, tmp_path, RELAY_LISTEN="127.0.0.1:99", RELAY_NAME="n4")
    assert config.listen == ("127.0.0.1", 99) and config.name == "n4"
    assert config.descriptor_limit == 1024


@pytest.mark.parametrize(
    ("path", "value", "message"),
    [
        (["listen"], "nowhere", "listen is 'nowhere'"),
        (["listen"], "127.0.0.1:0", "listen is"),
        (["discovery"], None, "discovery"),
        (["seed"], "xyz", "seed is 'xyz'"),
        (["limits", "sockets"], 3, "limits.sockets is 3"),
        (["limits", "memory_mb"], 8, "limits.memory_mb is 8"),
        (["known"], {"version": 1, "full": True, "servers": [3]}, "an entry of the list is no object"),
        (["limits", "sockets"], "many", "limits.sockets is 'many'"),
        (["limits", "sockets"], float("nan"), "limits.sockets is nan"),
        (["known"], 4, "known is 4"),
        (["settings"], [], "settings: expected an object"),
        (["settings", "ServiceGrades"], [], "settings.ServiceGrades"),
        (["settings", "ServiceGrades", 1, "Repeat"], "often", r"ServiceGrades\[1\].Repeat is 'often'"),
        (["settings", "ServiceGrades", 0, "AbandonTimeUs"], "soon", r"ServiceGrades\[0\].AbandonTimeUs"),
        (["settings", "Invariants", "ColdShare"], None, "settings.Invariants.ColdShare"),
        (["settings", "Limits", "Cancel"], 1, "settings.Limits.Cancel is 1"),
        (["settings", "Invariants", "FullMayHaveRun"], "yes", "settings.Invariants.FullMayHaveRun is 'yes'"),
        (["settings", "Invariants", "SoftRemoval"], 0, "settings.Invariants.SoftRemoval is 0"),
        (["settings", "Domain"], {"ClassKind": [1]}, "settings.Domain.ClassKind"),
    ],
)
def test_wrong_value_is_named_by_its_key(path: list[Any], value: Any, message: str, tmp_path: Path) -> None:
    document = copy.deepcopy(VALID_DOCUMENT)
    section: Any = document
    for step in path[:-1]:
        section = section[step]
    section[path[-1]] = value
    with pytest.raises(ConfigError, match=message):
        read(document, tmp_path)


def test_unusable_file_is_named(tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match="RELAY_CONFIG is not set"):
        read_config({})
    with pytest.raises(ConfigError, match="cannot be read"):
        read_config({"RELAY_CONFIG": str(tmp_path / "none")})
    with pytest.raises(ConfigError, match="not valid JSON"):
        read("{", tmp_path)


@pytest.mark.parametrize(
    ("section", "name", "value", "setting", "expected"),
    [
        ("Limits", "ConnectTimeoutUs", 0, "connect_timeout", 1_000_000_000),
        ("Limits", "ConnectTimeoutUs", 1, "connect_timeout", 1_000),
        ("Invariants", "MustAskInUs", 0, "discovery_poll_interval", 10_000_000_000),
        ("Invariants", "MustAskInUs", 1, "discovery_poll_interval", 200_000_000),
        ("Limits", "IdleCloseUs", 0, "idle_timeout", 0),
    ],
)
def test_times_near_zero_get_safe_values(
    section: str, name: str, value: int, setting: str, expected: int, tmp_path: Path
) -> None:
    # Guards against two faults: a connect timeout of 0 prevented all connections, and a poll interval of 0
    # caused calls without a backoff.
    document = copy.deepcopy(VALID_DOCUMENT)
    document["settings"].setdefault(section, {})[name] = value
    assert getattr(read(document, tmp_path).settings, setting) == expected
