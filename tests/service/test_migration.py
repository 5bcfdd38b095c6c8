"""The command that carries a configuration over, and the check of what the new shape adds."""

import copy
import json
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from ploverspoke.cli import main
from ploverspoke.decisions.settings import LoadReporting
from ploverspoke.service.config import parse_config
from ploverspoke.service.config_reader import ConfigError
from tests.service.test_config import GOOD

PEERS = ["127.0.0.1:9301", "127.0.0.1:9302"]


def call(old: Path, new: Path, *options: str) -> tuple[int, str]:
    result = CliRunner().invoke(main, ["migrate", str(old), str(new), *options])
    return result.exit_code, result.output


def put(path: Path, told: Any) -> Path:
    path.write_text(told if isinstance(told, str) else json.dumps(told))
    return path


def test_what_it_writes_has_the_new_shape_and_passes(tmp_path: Path) -> None:
    told = copy.deepcopy(GOOD)
    told["settings"] |= {"PeersTotal": 2, "Surprise": 1, "WeightKind": "live"}
    old, new = put(tmp_path / "old.json", told), tmp_path / "new.json"
    options = [word for peer in PEERS for word in ("--peer", peer)]
    dry, said = call(old, new, "--dry-run", *options)
    assert dry == 0 and not new.exists()
    code, told_json = call(old, new, "--json", *options)
    notes = {note["key"]: note["what"] for note in json.loads(told_json)["notes"]}
    assert code == 0 and all(key in said for key in notes)
    assert notes["settings.Limits.Probing"] == notes["settings.Report"] == "changed"
    assert notes["settings.Domain.ReportX0"] == "dropped"
    assert notes["settings.Surprise"] == notes["limits.cores"] == "unknown"
    assert notes["settings.Tariffs.Peer"] == "to supply"
    made = json.loads(new.read_text())
    assert made["settings"]["Surprise"] == 1 and json.loads(old.read_text()) == told
    briefing = parse_config(made, {})
    assert len(briefing.peers) == 2 and briefing.settings.gossip_allowed
    assert not briefing.settings.probing_allowed and briefing.settings.load_reporting is LoadReporting.NONE
    assert call(old, new)[0] == 2 and json.loads(new.read_text()) == made
    code, said = call(new, tmp_path / "again.json")
    assert code == 0 and "nothing to do" in said and not (tmp_path / "again.json").exists()
    assert call(old, new, "--force")[0] == 0 and "peers" not in json.loads(new.read_text())
    assert sorted(path.name for path in tmp_path.iterdir()) == ["new.json", "old.json"]


@pytest.mark.parametrize(
    ("told", "key"),
    [
        (None, "cannot be read"),
        ("{", "no JSON"),
        ("[]", "expected an object"),
        ({**GOOD, "settings": {}}, "settings.ServiceGrades"),
        ({**GOOD, "listen": "nowhere"}, "listen"),
    ],
)
def test_what_is_of_no_use_is_named_and_nothing_written(tmp_path: Path, told: Any, key: str) -> None:
    old = tmp_path / "old.json"
    if told is not None:
        put(old, told)
    code, said = call(old, tmp_path / "new.json")
    assert code == 2 and key in said and not (tmp_path / "new.json").exists()


@pytest.mark.parametrize(
    ("peers", "limits", "key"),
    [
        (PEERS, {}, "settings.Limits.Peers"),
        (PEERS[:1], {"Peers": True}, "peers"),
        ([PEERS[0]] * 2, {"Peers": True}, "peers"),
        (["nowhere", PEERS[0]], {"Peers": True}, "peers"),
    ],
)
def test_wrong_addresses_of_peers_end_the_start(peers: list[str], limits: Any, key: str) -> None:
    settings = {**GOOD["settings"], "PeersTotal": 2}
    settings["Limits"] = {**settings["Limits"], **limits}
    with pytest.raises(ConfigError, match=key):
        parse_config({**GOOD, "settings": settings, "peers": peers}, {})


def test_permitted_messages_without_addresses_are_said(tmp_path: Path) -> None:
    settings = {**GOOD["settings"], "Limits": {**GOOD["settings"]["Limits"], "Peers": True}}
    path = put(tmp_path / "c.json", {**GOOD, "settings": settings})
    result = CliRunner().invoke(main, ["check", str(path)])
    assert result.exit_code == 0 and "cannot be sent" in result.output
    briefing = parse_config(json.loads(path.read_text()), {})
    assert briefing.cannot_tell and not briefing.settings.gossip_allowed


def test_a_fleet_that_cannot_be_asked_keeps_its_rules() -> None:
    # A hung, a slow and two pausing workers, a fleet that shrinks, four in ten dispatchers gone and back.
    file = Path(__file__).parents[2] / "experiments" / "unasked.toml"
    result = CliRunner().invoke(main, ["testbed", "run", str(file), "--seed", "1", "--policy", "ours"])
    assert result.exit_code == 0, result.output
