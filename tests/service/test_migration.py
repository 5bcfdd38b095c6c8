"""The command `migrate`, and the load gossip that the new shape of a configuration adds."""

import copy
import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from ploverspoke.cli import main
from ploverspoke.decisions.settings import LoadReporting
from ploverspoke.service.config import parse_config
from ploverspoke.service.config_reader import ConfigError
from ploverspoke.service.key_tracking import TrackedObject
from tests.service.test_config import VALID_DOCUMENT

PEERS = ["127.0.0.1:9301", "127.0.0.1:9302"]


def migrate(old: Path, new: Path, *options: str) -> tuple[int, str]:
    """Run the command and return its exit code and output."""
    result = CliRunner().invoke(main, ["migrate", str(old), str(new), *options])
    return result.exit_code, result.output


def write(path: Path, content: str | Mapping[str, Any]) -> Path:
    path.write_text(content if isinstance(content, str) else json.dumps(content))
    return path


def test_migrated_file_has_the_new_shape_and_is_valid(tmp_path: Path) -> None:
    document = copy.deepcopy(VALID_DOCUMENT)
    document["settings"] |= {"PeersTotal": 2, "Surprise": 1, "WeightKind": "live"}
    old, new = write(tmp_path / "old.json", document), tmp_path / "new.json"
    options = [word for peer in PEERS for word in ("--peer", peer)]
    dry_run_code, report = migrate(old, new, "--dry-run", *options)
    assert dry_run_code == 0 and not new.exists()
    code, report_json = migrate(old, new, "--json", *options)
    notes = {note["key"]: note["what"] for note in json.loads(report_json)["notes"]}
    assert code == 0 and all(key in report for key in notes)
    assert notes["settings.Limits.Probing"] == notes["settings.Report"] == "changed"
    assert notes["settings.Domain.ReportX0"] == "dropped"
    assert notes["settings.Surprise"] == notes["limits.cores"] == "unknown"
    assert notes["settings.Tariffs.Peer"] == "to supply"
    migrated = json.loads(new.read_text())
    assert migrated["settings"]["Surprise"] == 1 and json.loads(old.read_text()) == document
    config = parse_config(migrated, {})
    assert len(config.peers) == 2 and config.settings.gossip_allowed
    assert not config.settings.probing_allowed and config.settings.load_reporting is LoadReporting.NONE
    assert migrate(old, new)[0] == 2 and json.loads(new.read_text()) == migrated
    code, report = migrate(new, tmp_path / "again.json")
    assert code == 0 and "nothing to do" in report and not (tmp_path / "again.json").exists()
    assert migrate(old, new, "--force")[0] == 0 and "peers" not in json.loads(new.read_text())
    assert sorted(path.name for path in tmp_path.iterdir()) == ["new.json", "old.json"]


@pytest.mark.parametrize(
    ("content", "message"),
    [
        (None, "cannot be read"),
        ("{", "not valid JSON"),
        ("[]", "expected an object"),
        ({**VALID_DOCUMENT, "settings": {}}, "settings.ServiceGrades"),
        ({**VALID_DOCUMENT, "listen": "nowhere"}, "listen"),
    ],
)
def test_unusable_old_file_is_reported_and_nothing_is_written(
    tmp_path: Path, content: str | dict[str, Any] | None, message: str
) -> None:
    old = tmp_path / "old.json"
    if content is not None:
        write(old, content)
    code, output = migrate(old, tmp_path / "new.json")
    assert code == 2 and message in output and not (tmp_path / "new.json").exists()


def test_unread_keys_are_found_at_every_level_but_in_the_list_of_workers() -> None:
    document = {"read": {"a": 1, "b": 2}, "list": [{"c": 3}], "known": {"d": 4}, "unread": 5}
    tracked = TrackedObject(document)
    read, entries = tracked["read"], tracked["list"]
    assert isinstance(read, TrackedObject) and isinstance(entries, list)
    assert read["a"] == 1 and len(entries) == 1 and tracked["known"] == {"d": 4}
    assert "unread" in tracked
    assert sorted(tracked.unread_keys()) == ["list[0].c", "read.b", "unread"]


@pytest.mark.parametrize(
    ("peers", "limits", "key"),
    [
        (PEERS, {}, "settings.Limits.Peers"),
        (PEERS[:1], {"Peers": True}, "peers"),
        ([PEERS[0]] * 2, {"Peers": True}, "peers"),
        (["nowhere", PEERS[0]], {"Peers": True}, "peers"),
    ],
)
def test_wrong_peer_addresses_are_refused(peers: list[str], limits: dict[str, bool], key: str) -> None:
    settings = {**VALID_DOCUMENT["settings"], "PeersTotal": 2}
    settings["Limits"] = {**settings["Limits"], **limits}
    with pytest.raises(ConfigError, match=key):
        parse_config({**VALID_DOCUMENT, "settings": settings, "peers": peers}, {})


def test_gossip_permitted_without_addresses_is_reported(tmp_path: Path) -> None:
    settings = {
        **VALID_DOCUMENT["settings"],
        "Limits": {**VALID_DOCUMENT["settings"]["Limits"], "Peers": True},
    }
    path = write(tmp_path / "c.json", {**VALID_DOCUMENT, "settings": settings})
    result = CliRunner().invoke(main, ["check", str(path)])
    assert result.exit_code == 0 and "cannot be sent" in result.output
    config = parse_config(json.loads(path.read_text()), {})
    assert config.lacks_peers and not config.settings.gossip_allowed


def test_fleet_without_probes_and_reports_keeps_its_rules() -> None:
    # A hung, a slow and two pausing workers, a shrinking fleet, four in ten dispatchers leave and return.
    experiment = Path(__file__).parents[2] / "experiments" / "unasked.toml"
    result = CliRunner().invoke(main, ["testbed", "run", str(experiment), "--seed", "1", "--policy", "ours"])
    assert result.exit_code == 0, result.output
