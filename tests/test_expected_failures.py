"""A listed failure is told and passed over, and nothing else is: runs of pytest on a small project."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.expected_failures import read_expected_failures

ROOT = Path(__file__).parents[1]
TESTS = """
import pytest

def test_red(): assert False

def test_mended(): pass

@pytest.fixture
def broken():
    yield
    raise OSError("left behind")

def test_ends_badly(broken): pass

@pytest.mark.parametrize("n", [1, 2])
def test_some(n): assert n == 1
"""
RED, MENDED, ENDS, SOME = (f"test_it.py::test_{name}" for name in ("red", "mended", "ends_badly", "some[2]"))


def played(folder: Path, listed: list[str], *words: str) -> tuple[int, str]:
    """Exit code and output of a run with the project's own conftest."""
    (folder / "conftest.py").write_text("from tests.conftest import pytest_configure as pytest_configure\n")
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "test_it.py").write_text(TESTS)
    (folder / "KNOWN-RED.txt").write_text("".join(f"{line}\n" for line in listed))
    environment = {name: value for name, value in os.environ.items() if not name.startswith("PYTEST_")}
    ran = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", *words],
        cwd=folder,
        env={**environment, "PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
    )
    return ran.returncode, ran.stdout + ran.stderr


def test_only_what_is_listed_is_passed_over(tmp_path: Path) -> None:
    code, output = played(tmp_path, [f"{RED} | a fault | 7", f"{ENDS} | another | 8"], "-n0")
    assert code == 1 and f"FAILED {SOME}" in output and "1 failed, 2 passed, 2 xfailed, 1 xpassed" in output
    assert f"known red: {RED} | a fault | 7\n" in output and f"known red: {ENDS} | another | 8\n" in output
    listed = [f"{RED} | a fault | 7", f"{SOME} | a third | 9", f"{ENDS} | another | 8"]
    code, output = played(tmp_path, listed, "-n0")
    assert code == 0 and f"known red: {SOME} | a third | 9\n" in output


def test_what_passes_and_what_does_not_exist_is_told(tmp_path: Path) -> None:
    gone = ["test_it.py::test_some[3]", "test_gone.py::test_it"]
    listed = [f"{MENDED} | was a fault | 7", *(f"{test} | a fault | 8" for test in gone)]
    code, output = played(tmp_path, listed, "-n0", "-k", "mended")
    assert code == 1 and f"known red passes now: take it out: {MENDED}\n" in output
    assert all(f"no such test, so the run fails: {test}\n" in output for test in gone)
    code, output = played(tmp_path, [f"{RED} | a fault | 7"], MENDED, "-n0")
    assert code == 0 and f"known red, not run: {RED}\n" in output


def test_worker_processes_tell_the_same(tmp_path: Path) -> None:
    listed = [f"{RED} | a fault | 7", f"{SOME} | a third | 9", f"{ENDS} | another | 8"]
    code, output = played(tmp_path, listed, "-n2")
    assert code == 0 and all(f"known red: {line}\n" in output for line in listed)
    listed = [f"{MENDED} | was a fault | 7", "test_it.py::test_some[3] | a fault | 8"]
    code, output = played(tmp_path, listed, "-n1", "-k", "mended")
    assert code == 1 and f"known red passes now: take it out: {MENDED}\n" in output
    assert "no such test, so the run fails: test_it.py::test_some[3]\n" in output


@pytest.mark.parametrize(
    ("listed", "said"),
    [
        ([f"test_it.py::test_{n} | a fault | 7" for n in range(4)], "4 tests, 3 at most"),
        ([f"{RED} | a fault | 7", f"{RED} | a fault | 8"], "listed twice"),
        ([f"{RED} | a fault"], "KNOWN-RED.txt:1: expected 'test id | cause | issue'"),
        ([f"{RED} |  | 7"], "KNOWN-RED.txt:1: expected 'test id | cause | issue'"),
        (["test_it.py | a fault | 7"], "KNOWN-RED.txt:1: expected 'test id | cause | issue'"),
    ],
    ids=["too many", "twice", "no issue", "no cause", "no test"],
)
def test_a_file_that_cannot_be_used_is_refused(listed: list[str], said: str, tmp_path: Path) -> None:
    (tmp_path / "KNOWN-RED.txt").write_text("\n".join(listed))
    with pytest.raises(pytest.UsageError) as refused:
        read_expected_failures(tmp_path / "KNOWN-RED.txt")
    assert said in str(refused.value)


def test_too_many_fail_the_run(tmp_path: Path) -> None:
    listed = [f"test_it.py::test_{n} | a fault | 7" for n in range(4)]
    code, output = played(tmp_path, listed, "-n0")
    assert code == pytest.ExitCode.USAGE_ERROR and "4 tests, 3 at most" in output and "passed" not in output
