"""Where tests keep their files: in memory, if the machine has such a place. Known failures: `known_red`.

A disk that is busy with others makes a sync take seconds, and elections with it: the verdict would be the
disk's. How slow and failing disks are borne is tested by the rig, which makes them so.
"""

import shutil
import tempfile
from pathlib import Path

import pytest

from ploverspoke.testbed.processes.room import in_memory

from .known_red import KnownRed


def pytest_configure(config: pytest.Config) -> None:
    where = in_memory()
    if where is not None and config.option.basetemp is None:
        folder = tempfile.mkdtemp(prefix="ploverspoke-tests-", dir=where)
        config.add_cleanup(lambda: shutil.rmtree(folder, ignore_errors=True))
        config.option.basetemp = Path(folder) / "tests"
    config.pluginmanager.register(KnownRed(config), "known red")
