"""Versions applied to a dispatcher's own configuration."""

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import cast

import pytest

from ploverspoke.config_distribution.dynamic_config import OwnConfig, VersionApplier
from ploverspoke.config_distribution.errors import VersionRejectedError
from ploverspoke.config_distribution.messages import NO_VERSION, VerifiedVersion
from ploverspoke.service.config import Config
from ploverspoke.service.config_reader import ConfigError
from ploverspoke.service.service import Service

from .own_files import body_with_classes, write_own_config


def test_rejected_version_leaves_the_running_config_unchanged(tmp_path: Path) -> None:
    document = json.loads(write_own_config(tmp_path, [1, 2]).read_text())
    own = OwnConfig(document, {}, lambda: document)

    class FakeService:
        config = own.with_body("")

        def apply_config(self, new: Config) -> None:
            if new.settings.batch_interval == 4_000_000:
                raise ConfigError("settings.RoundUs")
            self.config = new

    service = cast(Service, FakeService())
    before, applier = service.config, VersionApplier(service, own, NO_VERSION)
    with pytest.raises(VersionRejectedError) as rejected:
        applier.apply(VerifiedVersion(1, b"", '{"settings": {"RoundUs": 4000}}'))
    assert (rejected.value.version, rejected.value.reason) == (1, "settings.RoundUs")
    assert service.config is before and applier.body == ""
    applier.apply(VerifiedVersion(2, b"", body_with_classes("g02")))
    assert service.config.names.request_classes[1] == "g02"


def test_plain_serve_imports_nothing_of_this_package(tmp_path: Path) -> None:
    program = "import sys, ploverspoke.cli, ploverspoke.service.service; print(*sys.modules)"
    out = subprocess.run([sys.executable, "-c", program], capture_output=True, check=True).stdout.decode()
    assert "ploverspoke.service.service" in out.split() and "ploverspoke.config_distribution" not in out
    own = write_own_config(tmp_path, [1, 2])
    for options in (["--processes", "2"], ["--store", str(own)]):
        command = [sys.executable, "-m", "ploverspoke", "serve", str(own), "--watch", str(own), *options]
        result = subprocess.run(command, capture_output=True, env=os.environ)
        assert result.returncode == 2 and b"--watch goes neither with" in result.stderr
