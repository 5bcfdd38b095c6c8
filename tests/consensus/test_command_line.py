"""Functions shared by the commands of replicas: rows, exit codes, and output if a replica does not reply."""

import json
from pathlib import Path

import click
import pytest

from ploverspoke.consensus.admin_messages import BackupRequest, ResultReply, StatusRow
from ploverspoke.consensus.cluster_config import ReplicaAddresses, ReplicaConfig, read_replica_config
from ploverspoke.consensus.command_line import (
    NoLeaderError,
    call_for_result,
    exit_with_result,
    find_leader,
    print_rows,
    read_config_or_exit,
    request_status,
)
from ploverspoke.testbed.processes.addresses import reserve_ports

SECRET = b"a secret of the test"


@pytest.fixture
def silent_address() -> str:
    """An address where nothing listens."""
    return f"127.0.0.1:{reserve_ports(1)[0]}"


def test_a_replica_that_does_not_reply_has_a_row_that_says_so(silent_address: str) -> None:
    row = request_status("r1", silent_address, SECRET, StatusRow)
    assert not row.leads and list(row.fields) == ["name", "role", "why"]
    assert (row.fields["name"], row.fields["role"]) == ("r1", "no answer") and row.fields["why"]
    with pytest.raises(NoLeaderError, match="no replica leads just now"):
        find_leader({"r1": silent_address}, SECRET)


def test_a_call_without_reply_exits_with_one(silent_address: str, capsys: pytest.CaptureFixture[str]) -> None:
    addresses = ReplicaAddresses(silent_address, silent_address)
    config = ReplicaConfig("trips", "r1", Path("r1"), SECRET, {"r1": addresses}, 1, 1)
    with pytest.raises(SystemExit) as ended:
        call_for_result(config, "r1", BackupRequest("/b.db"), as_json=True)
    assert ended.value.code == 1
    assert list(json.loads(capsys.readouterr().out)) == ["name", "role", "why"]


@pytest.mark.parametrize(
    ("reply", "code", "text", "document"),
    [
        (ResultReply(True), 0, "done", {"done": True}),
        (ResultReply(False), 1, "not done: it is not possible now", {"done": False}),
        (ResultReply(False, "a reason"), 1, "not done: a reason", {"done": False, "why": "a reason"}),
    ],
)
def test_a_result_is_printed_and_gives_the_exit_code(
    reply: ResultReply, code: int, text: str, document: dict[str, object], capsys: pytest.CaptureFixture[str]
) -> None:
    for as_json, expected in ((False, text), (True, json.dumps(document))):
        with pytest.raises(SystemExit) as ended:
            exit_with_result(reply, as_json)
        assert ended.value.code == code and capsys.readouterr().out == f"{expected}\n"


def test_rows_are_lines_without_members_or_one_document(capsys: pytest.CaptureFixture[str]) -> None:
    rows: list[dict[str, object]] = [{"name": "r1", "leads": True, "members": ["r1"]}, {"name": "r2"}]
    print_rows(rows, as_json=False)
    assert capsys.readouterr().out == "name=r1  leads=True\nname=r2\n"
    print_rows(rows, as_json=True)
    assert json.loads(capsys.readouterr().out) == rows


def test_a_wrong_file_is_an_error_of_usage_with_its_key(tmp_path: Path) -> None:
    file = tmp_path / "store.json"
    file.write_text(json.dumps({"name": "r9", "replicas": {}}))
    with pytest.raises(click.UsageError, match="name") as caught:
        read_config_or_exit(read_replica_config, file)
    assert caught.value.exit_code == 2
