"""How tests run: in how many processes, and where they keep their files. Known failures: `known_red`.

Files are kept in memory, if the machine has such a place. A disk that is busy with others makes a sync take
seconds, and elections with it: the verdict would be the disk's. How slow and failing disks are borne is
tested by the rig, which makes them so.
"""

import shutil
import tempfile
from pathlib import Path

import pytest

from ploverspoke.testbed.processes.room import in_memory

from .known_red import KnownRed

WORKERS = 4  # most tests wait for processes and sockets; the explorers have processes of their own
# Begun first, so that none is left when the others are done. One that is missing here costs time only.
LONG = (
    "test_leases_explored.py",
    "test_leases_processes.py",
    "test_distribution_processes.py",
    "test_service.py",
    "test_leases_commands.py",
    "test_leases_tasks.py",
    "test_store_consensus.py",
    "test_store_router.py",
    "test_processes_rig.py",
    "test_hollow.py",
)


def pytest_configure(config: pytest.Config) -> None:
    where = in_memory()
    if where is not None and config.option.basetemp is None:
        folder = tempfile.mkdtemp(prefix="ploverspoke-tests-", dir=where)
        config.add_cleanup(lambda: shutil.rmtree(folder, ignore_errors=True))
        config.option.basetemp = Path(folder) / "tests"
    config.pluginmanager.register(KnownRed(config), "known red")


def pytest_xdist_auto_num_workers(config: pytest.Config) -> int:
    """Several files share processes, each file in one of them; a single file stays here, as with -n0."""
    several = len(config.args) > 1 or any(Path(arg).is_dir() for arg in config.args)
    return WORKERS if several else 0


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    rank = {name: number for number, name in enumerate(LONG)}
    items.sort(key=lambda item: rank.get(item.path.name, len(LONG)))
