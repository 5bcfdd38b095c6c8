"""Short runs of the real program among fakes in real time, with a worker crash and a killed dispatcher."""

import asyncio

import pytest

from ploverspoke.testbed.checkers.request_audit import SOCKETS_TOLERANCE, audit_requests
from ploverspoke.testbed.fakes.http_wire import HttpReader, HttpSyntaxError, encode_chunk, encode_response
from ploverspoke.testbed.models.event_records import ATTEMPT_ARRIVED, REQUEST_SENT
from ploverspoke.testbed.processes.child_process import ChildProcess
from ploverspoke.testbed.processes.running_process import ProcessStartError
from ploverspoke.testbed.reports.scores import score_run
from ploverspoke.testbed.scenarios.socket_fleet import SocketFleet
from ploverspoke.testbed.scenarios.socket_run import run_on_sockets
from tests.testbed.harness import small_experiment


def test_a_short_experiment_on_sockets_keeps_the_rules() -> None:
    experiment = small_experiment(
        lasts="4s",
        troubles=[
            {"what": "crash", "at": "1s", "lasts": "1s", "workers": ["w0"]},
            {"what": "resets", "at": "1s", "lasts": "2s", "errors": 0.05},
            {"what": "dispatcher killed", "at": "2s", "lasts": "1s", "dispatchers": [1]},
        ],
    )
    reports: list[dict[str, object]] = []
    result = run_on_sockets(experiment, 1, reports.append)
    findings = audit_requests(experiment, result.events, SOCKETS_TOLERANCE)
    score = score_run(experiment, "ours", 1, result.events, findings, result.void)
    assert findings == [] and score.requests > 150 and score.attempts > 150
    assert {event.dispatcher for event in result.events if event.kind == ATTEMPT_ARRIVED} == {0, 1}
    assert any("workers" in report for report in reports)
    assert any("answers" in report for report in reports)
    # Every job was sent, even on a busy machine. How late the jobs were is reported but not checked here.
    assert len({event.job for event in result.events if event.kind == REQUEST_SENT}) == len(
        {event.job for event in result.events if event.job >= 0}
    )


def test_the_reader_of_the_fakes_splits_messages_and_refuses_invalid_ones() -> None:
    reader = HttpReader()
    stream = encode_response(200, "OK", b"body") + encode_response(503, "No", b"")
    messages = [message for at in range(len(stream)) for message in reader.feed(stream[at : at + 1])]
    assert [message.body for message in messages] == [b"body", b""] and not reader.has_partial_message()
    for invalid in (b"HTTP/1.1 200 OK\r\nnothing\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"):
        with pytest.raises(HttpSyntaxError):
            HttpReader().feed(invalid)
    assert encode_chunk(b"abc") == b"3\r\nabc\r\n"


def test_nothing_keeps_running_when_a_dispatcher_does_not_become_ready(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    started: list[asyncio.subprocess.Process] = []
    start = ChildProcess.start

    async def start_and_record(module: str, arguments: list[str]) -> ChildProcess:
        child = await start(module, arguments)
        started.append(child.process)
        return child

    monkeypatch.setattr(ChildProcess, "start", start_and_record)
    monkeypatch.setattr(SocketFleet, "_config", lambda *_: {"listen": "nowhere", "settings": {}})
    with pytest.raises(ProcessStartError):
        run_on_sockets(small_experiment(lasts="2s"), 1)
    assert started and all(process.returncode is not None for process in started)
