"""The files of lease servers: errors name the key, and the shipped examples are valid."""

import json
from pathlib import Path

import pytest

from ploverspoke.leases.config import read_lease_server_config
from ploverspoke.service.config_reader import ConfigError

VALID: dict[str, object] = {
    "cluster": "c",
    "name": "k1",
    "folder": "k1",
    "secret_file": "secret",
    "replicas": {"k1": {"peers": "127.0.0.1:7101", "clients": "127.0.0.1:7201"}},
    "leases": {"sweep": {}, "restart-*": {"places": 3, "longest_ms": 20_000}},
}


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"leases": {}}, "leases"),
        ({"leases": {"a": {"places": 0}}}, "leases.a.places"),
        ({"leases": {"a": {"longest_ms": 10}}}, "leases.a.longest_ms"),
        ({"leases": {"a": {"longest_ms": 10**9}}}, "leases.a.longest_ms"),
        ({"leases": {"A b": {}}}, "leases.A b"),
        ({"name": "k2"}, "name"),
        ({"secret_file": "none"}, "secret_file"),
        ({"replicas": {"k1": {"peers": "x", "clients": "127.0.0.1:1"}}}, "replicas.k1.peers"),
    ],
)
def test_wrong_lease_server_file_is_rejected_with_its_key(
    tmp_path: Path, change: dict[str, object], key: str
) -> None:
    (tmp_path / "secret").write_text("a secret that is long enough")
    file = tmp_path / "k1.json"
    file.write_text(json.dumps(VALID))
    definitions = read_lease_server_config(file).definitions
    assert definitions.find("restart-a") == definitions.find("restart-") != definitions.find("sweep")
    assert definitions.find("other") is None
    file.write_text(json.dumps({**VALID, **change}))
    with pytest.raises(ConfigError) as caught:
        read_lease_server_config(file)
    assert str(caught.value).startswith(key)


def test_shipped_examples_under_both_names_declare_the_same_leases(tmp_path: Path) -> None:
    folder = Path(__file__).parents[2] / "deploy"
    configs = []
    for name in ("lease-servers", "keepers"):
        (tmp_path / f"{name}.json").write_bytes((folder / f"{name}.json").read_bytes())
        (tmp_path / f"{name}.secret").write_text("a secret that is long enough")
        configs.append(read_lease_server_config(tmp_path / f"{name}.json"))
    assert configs[0].replica == configs[1].replica
    assert configs[0].definitions.by_declared_name() == configs[1].definitions.by_declared_name()
