"""Listed failures, and no others, are reported without failing the run.

Each test runs pytest on a small project of its own.
"""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.expected_failures import MAX_ENTRY_LENGTH, read_expected_failures

ROOT = Path(__file__).parents[1]
TESTS = """
import pytest

def test_red(): assert False

def test_fixed(): pass

@pytest.fixture
def fails_in_teardown():
    yield
    raise OSError("teardown failed")

def test_teardown(fails_in_teardown): pass

@pytest.mark.parametrize("n", [1, 2])
def test_params(n): assert n == 1
"""
RED, FIXED, TEARDOWN, PARAMS = (
    f"test_it.py::test_{name}" for name in ("red", "fixed", "teardown", "params[2]")
)


COMMAND = "pytest -q, seed 3"
HEADING = "Faults that are open"


def entry(test: str, issue: str = "issue 7") -> str:
    """A valid line of KNOWN-RED.txt."""
    return f"{test} | {COMMAND} | a fault was seen | {issue}"


def write_project(folder: Path, entries: list[str]) -> None:
    (folder / "docs").mkdir()
    (folder / "docs" / "ROADMAP.md").write_text(f"# Roadmap\n\n## {HEADING}\n")
    (folder / "KNOWN-RED.txt").write_text("".join(f"{line}\n" for line in entries))


def run_pytest(folder: Path, entries: list[str], *words: str) -> tuple[int, str]:
    """Exit code and output of a pytest run in a new small project that uses the conftest of these tests."""
    project = folder / f"project-{len(list(folder.iterdir()))}"
    project.mkdir()
    (project / "conftest.py").write_text("from tests.conftest import pytest_configure as pytest_configure\n")
    (project / "pytest.ini").write_text("[pytest]\n")
    (project / "test_it.py").write_text(TESTS)
    write_project(project, entries)
    environment = {name: value for name, value in os.environ.items() if not name.startswith("PYTEST_")}
    result = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", *words],
        cwd=project,
        env={**environment, "PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
    )
    return result.returncode, result.stdout + result.stderr


def test_only_what_is_listed_is_passed_over(tmp_path: Path) -> None:
    code, output = run_pytest(tmp_path, [entry(RED), entry(TEARDOWN, "issue 8")], "-n0")
    assert code == 1 and f"FAILED {PARAMS}" in output and "1 failed, 2 passed, 2 xfailed, 1 xpassed" in output
    assert f"known red: {entry(RED)}\n" in output and f"known red: {entry(TEARDOWN, 'issue 8')}\n" in output
    code, output = run_pytest(tmp_path, [entry(RED), entry(PARAMS, HEADING), entry(TEARDOWN)], "-n0")
    assert code == 0 and f"known red: {entry(PARAMS, HEADING)}\n" in output


def test_what_passes_and_what_does_not_exist_is_reported(tmp_path: Path) -> None:
    missing = ["test_it.py::test_params[3]", "test_gone.py::test_it"]
    code, output = run_pytest(tmp_path, [entry(FIXED), *map(entry, missing)], "-n0", "-k", "fixed")
    assert code == 1 and f"known red passes now: take it out: {FIXED}\n" in output
    assert all(f"no such test, so the run fails: {test}\n" in output for test in missing)
    code, output = run_pytest(tmp_path, [entry(RED)], FIXED, "-n0")
    assert code == 0 and f"known red, not run: {RED}\n" in output


def test_worker_processes_report_the_same(tmp_path: Path) -> None:
    entries = [entry(RED), entry(PARAMS), entry(TEARDOWN)]
    code, output = run_pytest(tmp_path, entries, "-n2")
    assert code == 0 and all(f"known red: {line}\n" in output for line in entries)
    code, output = run_pytest(
        tmp_path, [entry(FIXED), entry("test_it.py::test_params[3]")], "-n1", "-k", "fixed"
    )
    assert code == 1 and f"known red passes now: take it out: {FIXED}\n" in output
    assert "no such test, so the run fails: test_it.py::test_params[3]\n" in output


MALFORMED = "KNOWN-RED.txt:1: expected 'test id | command and seed | what was seen | issue'"
UNUSABLE = {
    "twice": ([entry(RED), entry(RED, "issue 8")], "listed twice"),
    "no issue": ([f"{RED} | {COMMAND} | a fault was seen"], MALFORMED),
    "nothing seen": ([f"{RED} | {COMMAND} |  | issue 7"], MALFORMED),
    "no command": ([f"{RED} | a fault was seen | issue 7"], MALFORMED),
    "no test": ([entry("test_it.py")], MALFORMED),
    "no seed": (
        [f"{RED} | pytest -q | a fault was seen | issue 7"],
        "KNOWN-RED.txt:1: expected the command with its seed",
    ),
    "unknown heading": (
        [entry(RED, "Faults that are closed")],
        "KNOWN-RED.txt:1: expected 'issue N' or a heading",
    ),
    "too long": ([entry(RED) + " " * MAX_ENTRY_LENGTH + "7"], f"{MAX_ENTRY_LENGTH} at most"),
}


@pytest.mark.parametrize(("entries", "message"), UNUSABLE.values(), ids=UNUSABLE)
def test_a_file_that_cannot_be_used_is_refused(entries: list[str], message: str, tmp_path: Path) -> None:
    write_project(tmp_path, entries)
    with pytest.raises(pytest.UsageError) as refused:
        read_expected_failures(tmp_path)
    assert message in str(refused.value)


def test_a_file_that_cannot_be_used_fails_the_run(tmp_path: Path) -> None:
    code, output = run_pytest(tmp_path, [entry(RED, "Faults that are closed")], "-n0")
    assert code == pytest.ExitCode.USAGE_ERROR and "heading" in output and "passed" not in output
