"""Tests that fail for a known fault that is not mended yet: KNOWN-RED.txt at the root, where there is one.

One line each, `test id | cause | issue`, three at most. They run like all others. One that fails is told at
the end with its cause and does not fail the run; one that passes is told, too. Nothing else is passed over.
"""

from pathlib import Path
from typing import Any, NamedTuple

import pytest

FILE, MOST = "KNOWN-RED.txt", 3
OUTPUT = "unknown_expected_failures"  # what a worker process tells the one that reports


class ExpectedFailure(NamedTuple):
    test: str  # as pytest writes it, with its parameters
    cause: str
    issue: str


def read_expected_failures(path: Path) -> list[ExpectedFailure]:
    """The tests listed there, none where there is no such file. Raises UsageError with the line at fault."""
    listed: list[ExpectedFailure] = []
    lines = path.read_text().splitlines() if path.exists() else []
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise pytest.UsageError(f"{FILE}:{number}: expected 'test id | cause | issue'")
        listed.append(ExpectedFailure(*parts))
    tests = {red.test for red in listed}
    if len(tests) < len(listed):
        raise pytest.UsageError(f"{FILE}: a test is listed twice")
    if len(tests) > MOST:
        raise pytest.UsageError(f"{FILE}: {len(tests)} tests, {MOST} at most: mend one first")
    return listed


class ExpectedFailures:
    """Plugin of one run; in a parallel one of each worker process, too."""

    def __init__(self, config: pytest.Config) -> None:
        """Raises UsageError where the file cannot be used."""
        self.config = config
        self.listed = {" | ".join(red): red for red in read_expected_failures(config.rootpath / FILE)}
        self.unknown: set[str] = set()

    def _should_be_there(self, test: str) -> bool:
        """Whether what was asked for on the command line has it, if it exists."""
        path = self.config.rootpath / test.partition("::")[0]
        whole = [Path(arg).absolute() for arg in self.config.args if "::" not in arg]
        asked = any(path.is_relative_to(each) for each in whole) and not self.config.getoption("lf", False)
        return asked or not path.exists()

    @pytest.hookimpl(tryfirst=True)  # before what -k and the like take away
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        found = {item.nodeid: item for item in items}
        for line, red in self.listed.items():
            if red.test in found:
                mark = pytest.mark.xfail(reason=line, strict=False, run=True)
                found[red.test].add_marker(mark, append=False)
            elif self._should_be_there(red.test):
                self.unknown.add(red.test)
        if hasattr(self.config, "workeroutput"):
            self.config.workeroutput[OUTPUT] = sorted(self.unknown)

    @pytest.hookimpl(optionalhook=True)
    def pytest_testnodedown(self, node: Any) -> None:
        self.unknown.update(getattr(node, "workeroutput", {}).get(OUTPUT, ()))

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        if self.unknown and session.exitstatus in (pytest.ExitCode.OK, pytest.ExitCode.NO_TESTS_COLLECTED):
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: Any) -> None:
        if not self.listed:
            return
        fail, passed = (
            {report.wasxfail for report in terminalreporter.stats.get(kind, [])}
            for kind in ("xfailed", "xpassed")
        )
        terminalreporter.section("known red", sep="=")
        for line, red in self.listed.items():
            if red.test in self.unknown:
                terminalreporter.write_line(f"no such test, so the run fails: {red.test}")
            elif line in fail:
                terminalreporter.write_line(f"known red: {line}")
            elif line in passed:
                terminalreporter.write_line(f"known red passes now: take it out: {red.test}")
            else:
                terminalreporter.write_line(f"known red, not run: {red.test}")
