"""Configuration of test runs: the number of processes, the folder for files, and the known failures.

Files are kept in memory if the machine has a memory-backed folder. On a disk that is busy with other work, a
sync takes seconds and delays elections, so that the test results would depend on the disk. Slow and failing
disks are tested with the rig, which simulates them. Known failures are handled in `expected_failures`.
"""

import shutil
import tempfile
from pathlib import Path

import pytest

from ploverspoke.testbed.processes.capacity_check import memory_backed_folder
from ploverspoke.transport.rate_limited_log import default_log
from tests.expected_failures import ExpectedFailures

# Most tests wait for processes and sockets; the tests that explore many runs start processes of their own.
WORKER_PROCESSES = 4
RUNS_LONG = "RUNS_LONG"  # attribute of test modules that take over 20 s, which are scheduled first


@pytest.fixture(autouse=True)
def full_log_bucket() -> None:
    """Let each test log as much as a process that has just started, whatever the tests before it logged."""
    default_log.tokens = float(default_log.burst)


def pytest_configure(config: pytest.Config) -> None:
    memory_folder = memory_backed_folder()
    if memory_folder is not None and config.option.basetemp is None:
        folder = tempfile.mkdtemp(prefix="ploverspoke-tests-", dir=memory_folder)
        config.add_cleanup(lambda: shutil.rmtree(folder, ignore_errors=True))
        config.option.basetemp = Path(folder) / "tests"
    config.pluginmanager.register(ExpectedFailures(config), "expected failures")


def pytest_xdist_auto_num_workers(config: pytest.Config) -> int:
    """Run several files in worker processes, each in one of them; run a single file here, as with -n0."""
    has_several_files = len(config.args) > 1 or any(Path(arg).is_dir() for arg in config.args)
    return WORKER_PROCESSES if has_several_files else 0


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Schedule long-running modules first, so that none of them starts when the others are almost done."""
    items.sort(key=lambda item: not getattr(getattr(item, "module", None), RUNS_LONG, False))
