"""The retry group of an attempt is recorded with it: its worker may move before the leader changes."""

from pathlib import Path

import pytest

from ploverspoke.decisions.state import SECOND
from ploverspoke.routing.request_digest import content_digest
from ploverspoke.routing.request_log import PreviousOutcome
from ploverspoke.routing.request_recorder import RequestRecorder
from ploverspoke.store.log_commands import AcceptRequest, encode_command, start_command
from ploverspoke.store.state_machine import RequestStateMachine
from tests.decisions.harness import SETTINGS
from tests.routing.harness import ServiceHarness
from tests.store.daemon_harness import run_single_replica
from tests.store.request_commits import committed
from tests.store.request_log_harness import ControlledRequestLog, run_with_request_log

KEYED_CLASS = {**SETTINGS["ServiceGrades"][1], "Name": "turn", "Repeat": "guarded", "RepeatWindowUs": 800_000}


@pytest.mark.parametrize("group", ["cell", "zone"])
def test_request_of_an_earlier_leader_is_repeated_only_if_its_worker_has_not_moved(group: str) -> None:
    # It was repeated in the group that its worker has now, whose workers do not know what the old group ran.
    async def scenario(harness: ServiceHarness, log: ControlledRequestLog) -> None:
        assert (await harness.exchange(harness.request("new", "turn")))[0] == 200
        here = {"cell": "rack 0", "zone": "zone a"}[group]
        assert log.groups == [here]
        digest = log.digest("POST", "/turn/1?a=b", b"x")
        for recorded, status in ((here, 200), ("rack 7", 504), ("zone b", 504), ("", 504)):
            request_id = f"r{recorded}"
            log.previous[request_id] = PreviousOutcome(None, digest, 1, "w0", 0, recorded)
            assert (await harness.exchange(harness.request(request_id, "turn")))[0] == status
            assert harness.attempt_count(request_id) == (status == 200)

    classes = [*SETTINGS["ServiceGrades"], {**KEYED_CLASS, "Group": group}]
    run_with_request_log(scenario, ServiceGrades=classes)


def test_group_is_kept_in_snapshots() -> None:
    state, copy = RequestStateMachine(), RequestStateMachine()
    state.apply(1, encode_command(AcceptRequest("r", 0, b"", 100, 1)))
    for index, group in enumerate(("zone a", "")):
        state.apply(2 + index, encode_command(start_command("r", "w", index, 2, 2, group)))
    copy.restore_snapshot(state.take_snapshot())
    assert [attempt.group for attempt in copy.open_requests["r"].attempts] == ["zone a", ""]
    assert copy.open_requests == state.open_requests


def test_attempt_recorded_without_its_group_is_not_repeated(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The group was taken from the list of now, although the worker may have moved since: it ran twice.
    async def script(harness: ServiceHarness, recorder: RequestRecorder) -> None:
        log = recorder.request_log
        digest = content_digest("POST", "/turn/1?a=b", b"x")
        assert await committed(log.record_request, "r", 2, digest, 60 * SECOND)
        assert await committed(log.record_attempt, "r", "w0", 0)
        status, _, _ = await harness.exchange(harness.request("r", "turn"))
        assert (status, harness.attempt_count("r")) == (504, 0)

    classes = [*SETTINGS["ServiceGrades"], {**KEYED_CLASS, "Group": "cell"}]
    run_single_replica(tmp_path, monkeypatch, script, ServiceGrades=classes)
