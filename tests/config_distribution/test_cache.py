"""The cache of the last version applied by a dispatcher."""

import json
from pathlib import Path

import pytest

from ploverspoke.config_distribution.cache import read_cache, write_cache
from ploverspoke.config_distribution.cluster_config import read_watch_config
from ploverspoke.config_distribution.dynamic_config import load_initial_config, read_own_config
from ploverspoke.config_distribution.messages import NO_VERSION, VerifiedVersion
from ploverspoke.config_distribution.state_machine import digest_of

from .own_files import SECRET, body_with_classes, write_own_config


def test_corrupt_or_foreign_cache_is_ignored(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    (tmp_path / "secret").write_bytes(SECRET)
    document = {"cluster": "c", "servers": ["127.0.0.1:1"], "secret_file": "secret", "cache": "n0.cache"}
    path = tmp_path / "watch.json"
    path.write_text(json.dumps(document))
    config = read_watch_config(path)
    own = read_own_config({"RELAY_CONFIG": str(write_own_config(tmp_path, [1, 2]))})
    assert read_cache(config) == (NO_VERSION, "")
    body = body_with_classes("g01")
    applied = VerifiedVersion(7, digest_of(body), body)
    write_cache(config, applied)
    assert read_cache(config) == (applied, "")
    initial = load_initial_config(own, config)
    assert initial.config.names.request_classes == ("look-up", "g01") and initial.applied == applied
    whole = config.cache_file.read_text()
    for corrupt, expected in (
        (whole.replace("g01", "g02"), "digest"),
        (whole[:-20], "JSON"),
        (whole.replace('"format": 1', '"format": 2'), "format 2"),
        (whole.replace('"cluster": "c"', '"cluster": "d"'), "cluster 'd'"),
        ("[]", "TypeError"),
        (whole.replace('"version": 7', '"version": "7"'), "version '7'"),
    ):
        config.cache_file.write_text(corrupt)
        initial = load_initial_config(own, config)
        assert initial.applied is NO_VERSION and initial.config.names.request_classes == ("look-up",)
        assert expected in capsys.readouterr().err
    # A cached version that is no longer valid with the dispatcher's own file.
    wrong = '{"settings": {"RoundUs": -4}}'
    write_cache(config, VerifiedVersion(8, digest_of(wrong), wrong))
    assert load_initial_config(own, config).applied is NO_VERSION
    assert "version 8: settings.RoundUs is -4" in capsys.readouterr().err
