"""Configuration files of replicas: an error names the invalid key."""

from pathlib import Path

import pytest

from ploverspoke.consensus.cluster_config import read_replica_config
from ploverspoke.service.config_reader import ConfigError
from tests.store.cluster_harness import Cluster


def test_an_error_in_a_replica_s_file_names_the_key(tmp_path: Path) -> None:
    cluster = Cluster(tmp_path, 1)
    bad: list[tuple[dict[str, object], str]] = [
        ({"name": "r9"}, "name"),
        ({"secret_file": "nowhere"}, "secret_file"),
        ({"replicas": {"R 0": {}}}, "replicas.R 0"),
        ({"replicas": {"r0": {"peers": "here", "clients": "127.0.0.1:1"}}}, "replicas.r0.peers"),
        ({"election_ms": 1}, "election_ms"),
    ]
    for change, key in bad:
        with pytest.raises(ConfigError, match=key):
            read_replica_config(cluster.write_config("r0", **change))
