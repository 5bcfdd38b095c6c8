"""What the router commits before it sends, answers and redirects, with commits that the test controls."""

import asyncio

import pytest

from ploverspoke.decisions.state import SECOND
from ploverspoke.routing.answers import FinalAnswer, RecordedAnswer
from ploverspoke.routing.request_admission import MAX_RECORDED_ID_LENGTH
from ploverspoke.routing.request_log import PreviousOutcome
from ploverspoke.routing.request_recorder import COUNTED_SHARE, FULL_LOG_INTERVAL_NS
from ploverspoke.testbed.checkers.request_audit import SOCKETS_TOLERANCE, audit_requests
from ploverspoke.testbed.experiment_files.reader import parse_experiment
from ploverspoke.testbed.models.event_records import DISPATCHER_KILLED
from ploverspoke.testbed.scenarios.socket_run import run_on_sockets
from ploverspoke.transport.memory_account import MemoryKind
from tests.decisions.harness import SETTINGS, DispatchHarness, endpoint
from tests.routing.harness import ServiceHarness
from tests.routing.http_messages import read_message
from tests.store.request_log_harness import ControlledRequestLog, run_with_request_log
from tests.testbed.harness import SMALL_EXPERIMENT

RUNS_LONG = True  # scheduled first: see tests/conftest.py


@pytest.mark.parametrize("call", ["request", "attempt"])
def test_non_idempotent_requests_are_sent_only_after_the_commit(call: str) -> None:
    async def scenario(harness: ServiceHarness, log: ControlledRequestLog) -> None:
        reply = asyncio.create_task(harness.exchange(harness.request("r1", "book")))
        commit = await log.wait_for(call)
        await asyncio.sleep(0.05)
        assert harness.sent == []
        commit(True)
        assert (await reply)[0] == 200 and log.outcomes == [("r1", 0, "satisfied")]

    run_with_request_log(scenario, call)


@pytest.mark.parametrize("lost", ["leadership", "commit"])
def test_an_attempt_committed_too_late_is_not_sent(lost: str) -> None:
    async def scenario(harness: ServiceHarness, log: ControlledRequestLog) -> None:
        reply = asyncio.create_task(harness.exchange(harness.request("r1", "book")))
        commit = await log.wait_for("attempt")
        if lost == "leadership":
            log.is_leading = False
        log.delayed_calls = set()
        commit(lost != "commit")
        await asyncio.sleep(0.01)
        assert lost == "commit" or harness.sent == []
        harness.service.router.completion.leave_all_to_leader()
        with pytest.raises(asyncio.IncompleteReadError):
            await reply

    run_with_request_log(scenario, "attempt", *(["answer"] if lost == "commit" else []))


def test_a_leader_paused_in_the_middle_of_a_send_does_not_finish_it() -> None:
    # Guards against a leader that is paused in the middle of a send and writes the last byte when it resumes:
    # on sockets this happened a second after another replica had answered the request as failed.
    async def scenario(harness: ServiceHarness, log: ControlledRequestLog) -> None:
        reply = asyncio.create_task(harness.exchange(harness.request("r1", "book")))
        commit = await log.wait_for("attempt")
        commit(True)
        while not harness.service.pool.connection_count() - harness.service.pool.pending_count:
            await asyncio.sleep(0)
        log.is_leading = False
        await asyncio.sleep(0.05)
        assert harness.sent == [] and ("r1", 0, "not_sent") in log.outcomes
        harness.service.router.completion.leave_all_to_leader()
        with pytest.raises(asyncio.IncompleteReadError):
            await reply

    run_with_request_log(scenario, "attempt")


def test_an_answer_is_given_after_its_commit_to_all_clients_with_that_id() -> None:
    async def scenario(harness: ServiceHarness, log: ControlledRequestLog) -> None:
        first = asyncio.create_task(harness.exchange(harness.request("r1", "book")))
        commit = await log.wait_for("answer")
        # The commit of the answer is pending: if this were treated as a new request, it would be sent again.
        second = asyncio.create_task(harness.exchange(harness.request("r1", "book")))
        await asyncio.sleep(0.05)
        assert not first.done() and not second.done()
        commit(True)
        assert (await first) == (await second) and harness.run_counts["r1"] == 1
        again = await harness.exchange(harness.request("r1", "book"))
        assert again[0] == 200 and harness.run_counts["r1"] == 1
        assert (await harness.exchange(harness.request("r1", "book", b"another")))[0] == 409

    run_with_request_log(scenario, "answer")


def test_a_returning_client_waits_for_the_request_in_flight() -> None:
    async def scenario(harness: ServiceHarness, log: ControlledRequestLog) -> None:
        _reader, writer = await harness.connect()
        writer.write(harness.request("r1", "book"))
        commit = await log.wait_for("attempt")
        writer.close()
        await asyncio.sleep(0.02)
        second = asyncio.create_task(harness.exchange(harness.request("r1", "book")))
        await asyncio.sleep(0.02)
        commit(True)
        assert (await second)[0] == 200 and harness.run_counts["r1"] == 1

    run_with_request_log(scenario, "attempt")


@pytest.mark.parametrize("client_returns", [False, True])
def test_a_request_without_clients_that_was_not_sent_is_rejected(client_returns: bool) -> None:
    # Guards against a request that was still sent once a worker was ready, although its last client had
    # disconnected while it waited for one.
    async def scenario(harness: ServiceHarness, log: ControlledRequestLog) -> None:
        ready = harness.entries
        await harness.change_list([{**entry, "state": "Terminating"} for entry in ready])
        _, writer = await harness.connect()
        writer.write(harness.request("r1", "book"))
        while not harness.service.router.requests.open_count():
            await asyncio.sleep(0.001)
        writer.close()
        for _ in range(200):
            await asyncio.sleep(0.001)
        assert not harness.service.router.requests.open_count()
        await harness.change_list(ready)
        if client_returns:
            assert (await harness.exchange(harness.request("r1", "book")))[0] == 503
        assert (await harness.exchange(harness.request("r2", "book")))[0] == 200
        assert [name for _, name in harness.sent] == ["r2"]

    long_times = {"AbandonTimeUs": 30_000_000, "ExpectedTimeUs": 20_000_000}
    grades = [{**grade, **long_times} for grade in SETTINGS["ServiceGrades"]]
    run_with_request_log(scenario, ServiceGrades=grades)


def test_a_recorded_answer_is_given_also_if_its_class_was_removed() -> None:
    # Guards against a client that asks again after a change of the classes and gets 404, not its answer.
    async def scenario(harness: ServiceHarness, log: ControlledRequestLog) -> None:
        digest = log.digest("POST", "/removed/1?a=b", b"x")
        log.previous["r1"] = PreviousOutcome(
            RecordedAnswer(FinalAnswer.SUCCEEDED, "seat 4"), digest, 0, "", 0
        )
        assert (await harness.exchange(harness.request("r1", "removed")))[::2] == (200, b"seat 4")
        assert (await harness.exchange(harness.request("r2", "removed")))[0] == 404

    run_with_request_log(scenario)


def test_clients_are_redirected_to_the_leader() -> None:
    async def scenario(harness: ServiceHarness, log: ControlledRequestLog) -> None:
        log.is_leading = False
        status, headers, _ = await harness.exchange(harness.request("r1", "book"))
        assert status == 307 and headers["location"] == "http://127.0.0.1:9/book/1?a=b"
        reader, writer = await harness.connect()
        writer.write(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
        assert (await read_message(reader))[0].startswith("HTTP/1.1 200")
        writer.close()

    run_with_request_log(scenario)


def test_a_request_that_may_have_run_is_not_retried_and_one_that_did_not_run_is() -> None:
    async def scenario(harness: ServiceHarness, log: ControlledRequestLog) -> None:
        digest = log.digest("POST", "/book/1?a=b", b"x")
        log.previous["lost"] = PreviousOutcome(None, digest, 1, "w0", 5 * SECOND)
        log.previous["free"] = PreviousOutcome(None, digest, 1, "", 0)
        log.previous["spent"] = PreviousOutcome(None, digest, 6, "", 0)
        assert (await harness.exchange(harness.request("lost", "book")))[0] == 504
        assert (await harness.exchange(harness.request("spent", "book")))[0] == 503
        assert (await harness.exchange(harness.request("free", "book")))[0] == 200
        assert [name for _, name in harness.sent] == ["free"]

    run_with_request_log(scenario)


def test_a_request_idempotent_with_a_key_resumes_only_in_its_rack_and_window() -> None:
    for elapsed, rack, expected_worker in ((0, 1, "a"), (0, 2, None), (2 * SECOND, 1, None)):
        harness = DispatchHarness([endpoint("a", rack=1), endpoint("gone", rack=1), endpoint("b", rack=2)])
        harness.dispatcher.workers["gone"].ready = False
        harness.dispatcher.workers["gone"].endpoint = endpoint("gone", rack=rack if rack == 1 else 3)
        harness.dispatcher.request_resumed(1, 0, "gone", harness.clock - elapsed)
        harness.send_request(1, request_class=1)
        assert harness.worker_of(1) == expected_worker


def test_replicas_killed_and_paused_run_nothing_twice_and_answer_every_request() -> None:
    outages = [
        {"what": "dispatcher killed", "at": "3s", "lasts": "2s", "dispatchers": [0]},
        {"what": "dispatcher killed", "at": "7s", "lasts": "2s", "dispatchers": [1]},
        {"what": "dispatcher killed", "at": "11s", "lasts": "2s", "dispatchers": [2]},
        {"what": "dispatcher paused", "at": "14s", "lasts": "1s", "dispatchers": [0]},
        {"what": "dispatcher paused", "at": "16s", "lasts": "1s", "dispatchers": [1]},
        {"what": "dispatcher paused", "at": "18s", "lasts": "1s", "dispatchers": [2]},
    ]
    experiment = parse_experiment(
        {
            **SMALL_EXPERIMENT,
            "lasts": "20s",
            "dispatchers": {"count": 3, "store": True},
            "clients": {"elsewhere_after": "500ms"},
            "troubles": outages,
        }
    )
    scenario_run = run_on_sockets(experiment, 1)
    assert audit_requests(experiment, scenario_run.events, SOCKETS_TOLERANCE) == []
    assert sum(event.kind == DISPATCHER_KILLED for event in scenario_run.events) == 3


def test_a_request_whose_id_is_too_long_for_the_log_is_refused() -> None:
    async def scenario(harness: ServiceHarness, log: ControlledRequestLog) -> None:
        assert (await harness.exchange(harness.request("i" * MAX_RECORDED_ID_LENGTH)))[0] == 200
        too_long = "i" * (MAX_RECORDED_ID_LENGTH + 1)
        assert (await harness.exchange(harness.request(too_long)))[0] == 400
        digest = log.digest("POST", "/look/1?a=b", b"x")  # recorded by an earlier version
        log.previous[too_long] = PreviousOutcome(RecordedAnswer(FinalAnswer.SUCCEEDED, "4"), digest, 0, "", 0)
        assert (await harness.exchange(harness.request(too_long)))[::2] == (200, b"4")

    run_with_request_log(scenario)


def test_requests_are_rejected_while_the_log_has_used_up_its_memory() -> None:
    async def scenario(harness: ServiceHarness, log: ControlledRequestLog) -> None:
        account = harness.service.router.connection_monitor.memory
        held = account.limit
        log.held_bytes = lambda: held  # type: ignore[method-assign]
        statuses = [(await harness.exchange(harness.request(f"r{number}")))[0] for number in range(6)]
        # One a second is let through, as only answers make the log forget old ones.
        assert statuses == [200, 503, 503, 503, 503, 503]
        assert account.held[MemoryKind.REQUEST_LOG] == int(account.limit * COUNTED_SHARE)
        await asyncio.sleep(FULL_LOG_INTERVAL_NS / SECOND)
        assert (await harness.exchange(harness.request("later")))[0] == 200
        held = 0
        assert (await harness.exchange(harness.request("empty")))[0] == 200
        assert not account.held[MemoryKind.REQUEST_LOG]

    run_with_request_log(scenario)
