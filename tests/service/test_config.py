"""The configuration: what is read, and the key that a complaint names."""

import copy
import json
from pathlib import Path
from typing import Any

import pytest

from ploverspoke.decisions.settings import Idempotency
from ploverspoke.service.config import read_config
from ploverspoke.service.config_reader import ConfigError
from tests.decisions.harness import SETTINGS

GOOD: dict[str, Any] = {
    "name": "n3",
    "listen": "127.0.0.1:8081",
    "discovery": "127.0.0.2:8500",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 2048, "sockets": 4096},
    "settings": SETTINGS,
}


def read(told: Any, folder: Path, **environment: str) -> Any:
    path = folder / "config.json"
    path.write_text(told if isinstance(told, str) else json.dumps(told))
    return read_config({"RELAY_CONFIG": str(path), **environment})


def test_what_is_left_out_gets_its_default(tmp_path: Path) -> None:
    briefing = read(GOOD, tmp_path)
    assert briefing.listen == ("127.0.0.1", 8081) and briefing.seed == 0x8C1F30D27A5BE964
    assert briefing.sockets == 4096 and briefing.memory == 2048 * 1024 * 1024
    assert briefing.settings.idle_timeout == 30_000_000_000
    assert [each.idempotency for each in briefing.settings.classes] == [
        Idempotency.IDEMPOTENT,
        Idempotency.NON_IDEMPOTENT,
    ]
    less = {key: value for key, value in GOOD.items() if key not in ("listen", "limits", "name")}
    briefing = read(less, tmp_path, RELAY_LISTEN="127.0.0.1:99", RELAY_NAME="n4")
    assert briefing.listen == ("127.0.0.1", 99) and briefing.name == "n4" and briefing.sockets == 1024


@pytest.mark.parametrize(
    ("path", "value", "complaint"),
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
def test_a_bad_value_is_named_by_its_key(path: list[Any], value: Any, complaint: str, tmp_path: Path) -> None:
    told = copy.deepcopy(GOOD)
    table: Any = told
    for step in path[:-1]:
        table = table[step]
    table[path[-1]] = value
    with pytest.raises(ConfigError, match=complaint):
        read(told, tmp_path)


def test_a_file_that_is_none_is_named(tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match="RELAY_CONFIG is not set"):
        read_config({})
    with pytest.raises(ConfigError, match="cannot be read"):
        read_config({"RELAY_CONFIG": str(tmp_path / "none")})
    with pytest.raises(ConfigError, match="no JSON"):
        read("{", tmp_path)


@pytest.mark.parametrize(
    ("part", "name", "value", "setting", "becomes"),
    [
        ("Limits", "ConnectTimeoutUs", 0, "connect_timeout", 1_000_000_000),
        ("Limits", "ConnectTimeoutUs", 1, "connect_timeout", 1_000),
        ("Invariants", "MustAskInUs", 0, "discovery_poll_interval", 10_000_000_000),
        ("Invariants", "MustAskInUs", 1, "discovery_poll_interval", 200_000_000),
        ("Limits", "IdleCloseUs", 0, "idle_timeout", 0),
    ],
)
def test_times_of_nought_and_next_to_it_do_no_harm(
    part: str, name: str, value: int, setting: str, becomes: int, tmp_path: Path
) -> None:
    # No connection ever came up in no time, and calls of the watch followed on one another without a pause.
    told = json.loads(json.dumps(GOOD))
    told["settings"].setdefault(part, {})[name] = value
    assert getattr(read(told, tmp_path).settings, setting) == becomes
