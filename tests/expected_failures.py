"""Tests that fail because of known faults that are not fixed yet, as listed in KNOWN-RED.txt at the root.

An entry is a line `test id | command and seed | what was seen | issue`. The issue is `issue N` or the text
of a heading in docs/ROADMAP.md. Listed tests run like all others: at the end, a failure is reported with its
entry and does not fail the run, and a success is reported as an entry to remove. No other failure is ignored.
"""

import re
from pathlib import Path
from typing import Any, NamedTuple

import pytest

FILE_NAME = "KNOWN-RED.txt"
ROADMAP = Path("docs") / "ROADMAP.md"
ENTRY_FORM = "test id | command and seed | what was seen | issue"
MAX_ENTRY_LENGTH = 500  # characters; an entry only refers to the issue, which has the details
ISSUE = re.compile(r"issue \d+")
HEADING = re.compile(r"^#+ +(.+?) *$", re.MULTILINE)
WORKER_OUTPUT_KEY = "unknown_expected_failures"  # key of the data sent by a worker process of pytest-xdist


class ExpectedFailure(NamedTuple):
    """One entry of KNOWN-RED.txt."""

    test: str  # test id as printed by pytest, with parameters
    command: str  # command that reproduces the failure, with its seed
    observation: str
    issue: str

    def __str__(self) -> str:
        """Return the entry as it is written in the file."""
        return " | ".join(self)


def read_expected_failures(root: Path) -> list[ExpectedFailure]:
    """Read the entries of the file in the folder `root`; there are none if the file does not exist.

    Raises:
        pytest.UsageError: if an entry is malformed, too long, listed twice or names no issue.
    """
    path = root / FILE_NAME
    if not path.exists():
        return []
    headings = _headings(root / ROADMAP)
    entries: list[ExpectedFailure] = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if line.strip():
            entries.append(_parse_entry(line, f"{FILE_NAME}:{number}", headings))
    if len({entry.test for entry in entries}) < len(entries):
        raise pytest.UsageError(f"{FILE_NAME}: a test is listed twice")
    return entries


def _headings(page: Path) -> set[str]:
    return set(HEADING.findall(page.read_text())) if page.exists() else set()


def _parse_entry(line: str, place: str, headings: set[str]) -> ExpectedFailure:
    parts = [part.strip() for part in line.split(" | ")]
    if len(parts) != len(ExpectedFailure._fields) or not all(parts) or "::" not in parts[0]:
        raise pytest.UsageError(f"{place}: expected '{ENTRY_FORM}'")
    if len(line) > MAX_ENTRY_LENGTH:
        raise pytest.UsageError(f"{place}: {len(line)} characters, {MAX_ENTRY_LENGTH} at most")
    entry = ExpectedFailure(*parts)
    if "seed" not in entry.command:
        raise pytest.UsageError(f"{place}: expected the command with its seed, or 'no seed'")
    if not ISSUE.fullmatch(entry.issue) and entry.issue not in headings:
        raise pytest.UsageError(f"{place}: expected 'issue N' or a heading of {ROADMAP}, got {entry.issue!r}")
    return entry


class ExpectedFailures:
    """A pytest plugin for one run. With pytest-xdist, each worker process has an instance of its own, too."""

    def __init__(self, config: pytest.Config) -> None:
        """Read the entries. Raises pytest.UsageError if the file cannot be used."""
        self.config = config
        self.entries = {str(entry): entry for entry in read_expected_failures(config.rootpath)}
        self.unknown: set[str] = set()  # listed tests that do not exist

    def _should_be_collected(self, test: str) -> bool:
        """Whether the test would be collected in this run if it existed; true if its file does not exist."""
        path = self.config.rootpath / test.partition("::")[0]
        selected = [Path(arg).absolute() for arg in self.config.args if "::" not in arg]
        is_selected = any(path.is_relative_to(selected_path) for selected_path in selected)
        return (is_selected and not self.config.getoption("lf", False)) or not path.exists()

    @pytest.hookimpl(tryfirst=True)  # before options such as -k deselect tests
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Mark the listed tests, and record entries whose test does not exist."""
        items_by_id = {item.nodeid: item for item in items}
        for line, entry in self.entries.items():
            if entry.test in items_by_id:
                mark = pytest.mark.xfail(reason=line, strict=False, run=True)
                items_by_id[entry.test].add_marker(mark, append=False)
            elif self._should_be_collected(entry.test):
                self.unknown.add(entry.test)
        if hasattr(self.config, "workeroutput"):
            self.config.workeroutput[WORKER_OUTPUT_KEY] = sorted(self.unknown)

    @pytest.hookimpl(optionalhook=True)
    def pytest_testnodedown(self, node: Any) -> None:
        """Collect the entries recorded by a worker process."""
        self.unknown.update(getattr(node, "workeroutput", {}).get(WORKER_OUTPUT_KEY, ()))

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Fail the run if an entry names a test that does not exist."""
        if self.unknown and session.exitstatus in (pytest.ExitCode.OK, pytest.ExitCode.NO_TESTS_COLLECTED):
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: Any) -> None:
        """Print each entry with its result."""
        if not self.entries:
            return
        failed, passed = (
            {report.wasxfail for report in terminalreporter.stats.get(kind, [])}
            for kind in ("xfailed", "xpassed")
        )
        terminalreporter.section("known red", sep="=")
        for line, entry in self.entries.items():
            if entry.test in self.unknown:
                terminalreporter.write_line(f"no such test, so the run fails: {entry.test}")
            elif line in failed:
                terminalreporter.write_line(f"known red: {line}")
            elif line in passed:
                terminalreporter.write_line(f"known red passes now: take it out: {entry.test}")
            else:
                terminalreporter.write_line(f"known red, not run: {entry.test}")
