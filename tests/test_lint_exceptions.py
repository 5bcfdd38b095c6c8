"""The lint exceptions in pyproject.toml apply only to tests; in the program, single lines need a reason."""

import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[1]
PACKAGE = ROOT / "ploverspoke"
TESTS = "tests/**"
NOQA_WITH_REASON = re.compile(r"# noqa: [A-Z0-9, ]+ - \S")


def test_only_tests_have_lint_exceptions() -> None:
    lint = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]["lint"]
    assert set(lint["per-file-ignores"]) <= {TESTS}
    assert not lint.get("ignore") and not lint.get("extend-per-file-ignores")


def test_a_rule_is_switched_off_for_a_line_only_with_a_reason() -> None:
    for path in PACKAGE.rglob("*.py"):
        for number, line in enumerate(path.read_text().splitlines(), 1):
            assert "noqa" not in line or NOQA_WITH_REASON.search(line), f"{path}:{number}"
