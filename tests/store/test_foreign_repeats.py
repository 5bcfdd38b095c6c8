"""Requests with the id of another client's request get nothing of it; true repeats get their answer."""

import asyncio
from pathlib import Path

import pytest

from ploverspoke.routing.answers import FinalAnswer, RecordedAnswer
from ploverspoke.routing.request_digest import content_digest, request_digest
from ploverspoke.routing.request_log import PreviousOutcome
from ploverspoke.store.log_commands import AcceptRequest
from ploverspoke.store.state_machine import RequestStateMachine
from tests.routing.harness import ServiceHarness
from tests.routing.http_messages import Headers
from tests.store.cluster_harness import Cluster, run_cluster
from tests.store.request_commits import committed, leading_log
from tests.store.request_log_harness import ControlledRequestLog, run_with_request_log

SENT = {"tenant": "acme", "affinity-key": "k", "request-timeout-ms": "500", "host": "a"}
SAME = ({"request-timeout-ms": "90"}, {"host": "b", "connection": "close"}, {"client-retry": "1"})
OTHER = ({"tenant": "globex"}, {"affinity-key": "l"}, {"authorization": "Bearer x"}, {"x-account": "7"})
TIME_LEFT_NS = 60_000_000_000


@pytest.mark.parametrize("change", [*SAME, *OTHER], ids=str)
def test_headers_that_say_whose_and_what_make_another_request(change: Headers) -> None:
    digest = request_digest("POST", "/look/1", b"x", SENT)
    assert (request_digest("POST", "/look/1", b"x", SENT | change) == digest) == (change in SAME)


class DigestingRequestLog(ControlledRequestLog):
    """Compares requests as the store does."""

    def digest(self, method: str, target: str, body: bytes, headers: Headers | None = None) -> bytes:
        return request_digest(method, target, body, headers or {})


@pytest.mark.parametrize("state", ["open", "recorded"])
@pytest.mark.parametrize("class_name", ["look", "book"])
def test_client_with_the_id_of_another_ones_request_gets_nothing_of_it(class_name: str, state: str) -> None:
    # A client of another tenant that used the id got the first client's result, open or recorded.
    async def scenario(harness: ServiceHarness, log: ControlledRequestLog) -> None:
        headers = "Affinity-Key: k\r\n"
        first = asyncio.create_task(harness.exchange(harness.request("r", class_name, extra_headers=headers)))
        commit = await log.wait_for("answer")
        if state == "recorded":
            commit(True)
            await first
        for other in ("", "Affinity-Key: l\r\n", headers + "X-Account: 7\r\n"):
            status, _, body = await harness.exchange(harness.request("r", class_name, extra_headers=other))
            assert (status, b"r:x" in body) == (409, False)
        repeat = headers + "Request-Timeout-Ms: 400\r\nClient-Retry: 1\r\n"
        again = asyncio.create_task(harness.exchange(harness.request("r", class_name, extra_headers=repeat)))
        if state == "open":
            await asyncio.sleep(0.02)
            commit(True)
        assert (await again)[::2] == (await first)[::2] == (200, b"r:x")
        assert harness.run_counts["r"] == 1

    run_with_request_log(scenario, "answer", log=DigestingRequestLog())


@pytest.mark.parametrize(("class_name", "status"), [("look", 503), ("book", 504)])
def test_repeat_with_an_earlier_deadline_is_answered_by_then(class_name: str, status: int) -> None:
    # It waited for the open request until that one's deadline.
    async def scenario(harness: ServiceHarness, log: ControlledRequestLog) -> None:
        first = asyncio.create_task(harness.exchange(harness.request("r", class_name)))
        commit = await log.wait_for("answer")
        timeout = "Request-Timeout-Ms: 100\r\n"
        repeat = await harness.exchange(harness.request("r", class_name, extra_headers=timeout))
        assert repeat[0] == status and not first.done()
        commit(True)
        assert (await first)[0] == 200

    run_with_request_log(scenario, "answer", log=DigestingRequestLog())


@pytest.mark.parametrize("answer", [FinalAnswer.SUCCEEDED, FinalAnswer.FAILED, None])
def test_record_without_headers_gives_nobody_a_result_and_goes_on_if_open(answer: FinalAnswer | None) -> None:
    # An older version recorded no headers: for whom a result was is not known.
    async def scenario(harness: ServiceHarness, log: ControlledRequestLog) -> None:
        recorded = None if answer is None else RecordedAnswer(answer, "r" * (answer is FinalAnswer.SUCCEEDED))
        digest = content_digest("POST", "/look/1?a=b", b"x")
        log.previous["r"] = PreviousOutcome(recorded, digest, 0, "", 0)
        status, _, body = await harness.exchange(harness.request("r"))
        expected = {FinalAnswer.SUCCEEDED: 409, FinalAnswer.FAILED: 504, None: 200}[answer]
        assert status == expected and harness.run_counts["r"] == (answer is None)
        assert body != b"r"
        other = harness.request("r", body=b"another")
        assert (await harness.exchange(other))[0] == 409

    run_with_request_log(scenario, log=DigestingRequestLog())


def test_digest_of_the_headers_is_kept_over_a_change_of_leader_and_in_snapshots(tmp_path: Path) -> None:
    async def scenario(cluster: Cluster) -> None:
        log = await leading_log(cluster)
        digest = log.digest("POST", "/look/1", b"x", SENT)
        assert await committed(log.record_request, "open", 0, digest, TIME_LEFT_NS)
        answer = RecordedAnswer(FinalAnswer.SUCCEEDED, "cut \ud83d")
        assert await committed(log.record_answer, "answered", answer, digest)
        # Accepted by an older version, and answered by this one for the client that has sent it again.
        assert await committed(log.node.propose, AcceptRequest("old", 0, digest[:16], 1 << 62, 1))
        assert await committed(log.record_answer, "old", answer, digest)
        await cluster.stop(log.node.config.name)
        successor = await leading_log(cluster)
        copy = RequestStateMachine()
        copy.restore_snapshot(successor.node.requests.take_snapshot())
        for requests in (successor.node.requests, copy):
            assert requests.open_requests["open"].full_digest == digest
            assert requests.answered["answered"].full_digest == digest
            assert requests.answered["old"].full_digest == digest
            assert requests.recorded_answer("answered") == answer

    run_cluster(tmp_path, 3, scenario)
