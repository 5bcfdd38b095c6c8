"""How tests run: in how many processes, and where they keep their files. Known failures: `expected_failures`.

Files are kept in memory, if the machine has such a place. A disk that is busy with others makes a sync take
seconds, and elections with it: the verdict would be the disk's. How slow and failing disks are borne is
tested by the rig, which makes them so.
"""

import shutil
import tempfile
from pathlib import Path

import pytest

from ploverspoke.testbed.processes.capacity_check import memory_backed_folder
from tests.expected_failures import ExpectedFailures

WORKERS = 4  # most tests wait for processes and sockets; the explorers have processes of their own
RUNS_LONG = "RUNS_LONG"  # attribute of a test module that takes over 20 s: it is scheduled first


def pytest_configure(config: pytest.Config) -> None:
    where = memory_backed_folder()
    if where is not None and config.option.basetemp is None:
        folder = tempfile.mkdtemp(prefix="ploverspoke-tests-", dir=where)
        config.add_cleanup(lambda: shutil.rmtree(folder, ignore_errors=True))
        config.option.basetemp = Path(folder) / "tests"
    config.pluginmanager.register(ExpectedFailures(config), "expected failures")


def pytest_xdist_auto_num_workers(config: pytest.Config) -> int:
    """Several files share processes, each file in one of them; a single file stays here, as with -n0."""
    several = len(config.args) > 1 or any(Path(arg).is_dir() for arg in config.args)
    return WORKERS if several else 0


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Schedule long modules first, so that none is left when the others are done."""
    items.sort(key=lambda item: not getattr(getattr(item, "module", None), RUNS_LONG, False))
