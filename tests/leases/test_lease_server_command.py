"""`ploverspoke lease-server`, and `keep`, its name in earlier releases."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from ploverspoke.cli import main


def test_help_shows_the_new_name_alone() -> None:
    commands = [
        line.split()[0] for line in CliRunner().invoke(main, ["--help"]).output.splitlines() if line.strip()
    ]
    assert "lease-server" in commands and "keep" not in commands


@pytest.mark.parametrize(("name", "is_old"), [("lease-server", False), ("keep", True)])
def test_both_names_run_a_lease_server(name: str, is_old: bool, tmp_path: Path) -> None:
    file = tmp_path / "k1.json"
    file.write_text("{}")
    result = CliRunner().invoke(main, [name, str(file)])
    assert result.exit_code == 2 and "ploverspoke: " in result.output
    assert ("`keep` is now called `lease-server`" in result.output) is is_old
