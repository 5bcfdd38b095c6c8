"""The table of lint exceptions in pyproject.toml lists what is left to do, and nothing that is finished."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[1]
TESTS = "tests/**"
# Packages that do not keep all rules yet. A package leaves this list for good once it keeps them.
LEFT = {
    *(
        f"ploverspoke/{package}/**"
        for package in (
            "consensus",
            "decisions",
            "testbed",
        )
    ),
}


def test_only_unfinished_packages_have_lint_exceptions() -> None:
    lint = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]["lint"]
    assert set(lint["per-file-ignores"]) <= LEFT | {TESTS}
    assert not lint.get("ignore") and not lint.get("extend-per-file-ignores")
