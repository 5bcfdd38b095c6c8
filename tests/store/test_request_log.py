"""The request log of a replica on its own disk: what is committed, and what another leader makes of it."""

import asyncio
from pathlib import Path

import msgspec
import pytest

from ploverspoke.consensus.raft_state import Role
from ploverspoke.decisions.interface import AttemptOutcome
from ploverspoke.routing.answers import FinalAnswer, RecordedAnswer
from ploverspoke.routing.request_log import CommitCallback
from ploverspoke.store.admin_messages import ConfigureReply
from ploverspoke.store.class_rules import ClassRules
from ploverspoke.store.log_commands import AnswerRequest
from ploverspoke.store.request_log import ANSWER_GRACE_S, COMMIT_RETRY_DELAY_S, ReplicatedRequestLog
from tests.polling import until
from tests.store.cluster_harness import Cluster, propose, run_cluster
from tests.store.request_commits import DIGEST, committed, leading_log

SECOND = 1_000_000_000
TIME_LEFT_NS = 3 * SECOND
SHORT_TIME_NS = SECOND // 5
LOOKUP = ClassRules("look-up", "free", "all", 0)
FARE = ClassRules("fare", "free", "all", 0)
BOOKING = ClassRules("booking", "single_shot", "all", 0)
FREE_BOOKING = ClassRules("booking", "free", "all", 0)
GUARDED_BOOKING = ClassRules("booking", "guarded", "all", 5)
IN_RACK = ClassRules("booking", "guarded", "cell", 5)


def test_half_a_surrogate_pair_in_a_result_or_a_worker_s_name_is_recorded(tmp_path: Path) -> None:
    # Guards against a client without an answer, and a leader that stands aside, because a worker has cut its
    # result in the middle of an emoji: the store's encoding has no half of a surrogate pair.
    answer = RecordedAnswer(FinalAnswer.SUCCEEDED, "caf\u00e9? \ud83d")

    async def scenario(cluster: Cluster) -> None:
        log = await leading_log(cluster)
        assert await committed(log.record_request, "r", 0, DIGEST, TIME_LEFT_NS)
        assert await committed(log.record_attempt, "r", "w\ud83d", 0)
        log.record_attempt_outcome("r", 0, AttemptOutcome.SUCCEEDED)
        assert await committed(log.record_answer, "r", answer, DIGEST)
        for number in range(100):  # until a snapshot holds it
            assert await committed(log.record_request, f"r{number}", 0, DIGEST, TIME_LEFT_NS)
        node = log.node
        await until(lambda: node.replica is not None and node.replica.raft.log.snapshot_index >= 100)
        await cluster.stop("r0")
        await cluster.start("r0")
        log = await leading_log(cluster)
        await until(lambda: log.previous_outcome("r") is not None)
        previous = log.previous_outcome("r")
        assert previous is not None and previous.answer == answer
        assert log.node.requests.answered["r"].result == "caf\u00e9? ?"  # all that an older version reads

    run_cluster(tmp_path, 1, scenario)


@pytest.mark.parametrize("sent", [False, True])
@pytest.mark.parametrize(
    ("accepted_under", "rules", "resumed"),
    [
        ([LOOKUP, BOOKING], [LOOKUP, FARE, BOOKING], True),
        ([LOOKUP, BOOKING], [BOOKING, LOOKUP], True),
        ([LOOKUP, BOOKING], [LOOKUP], False),
        ([LOOKUP, BOOKING], [LOOKUP, FREE_BOOKING], False),
        ([LOOKUP, BOOKING], [LOOKUP, GUARDED_BOOKING], False),
        ([LOOKUP, GUARDED_BOOKING], [LOOKUP, IN_RACK], False),
        ([LOOKUP, GUARDED_BOOKING], [LOOKUP, BOOKING], True),
        ([], [LOOKUP, BOOKING], True),
        ([], [LOOKUP, FREE_BOOKING], False),
    ],
)
def test_an_open_request_keeps_the_rules_under_which_it_was_accepted(
    accepted_under: list[ClassRules], rules: list[ClassRules], resumed: bool, sent: bool, tmp_path: Path
) -> None:
    # Guards against a booking that runs twice when its leader is lost amid planned restarts with another list
    # of classes: its number there is that of a class which may run again. Without rules it is from an older
    # version.
    async def scenario(cluster: Cluster) -> None:
        log = await leading_log(cluster, accepted_under)
        assert await committed(log.record_request, "r", 1, DIGEST, TIME_LEFT_NS)
        if sent:
            assert await committed(log.record_attempt, "r", "w0", 0)
        successor = await leading_log(cluster, rules)
        names = [one.class_name for one in rules]
        await asyncio.sleep(0)
        if "booking" in names and not sent:
            assert successor.resume("r", names.index("booking")) is resumed
        if resumed and not sent:
            assert (
                successor.previous_outcome("r") is not None and "r" in successor.node.requests.open_requests
            )
            return
        answered = successor.node.requests.answered
        await until(lambda: "r" in answered)
        assert answered["r"].answer is (FinalAnswer.FAILED if sent else FinalAnswer.REJECTED)
        assert not await committed(successor.record_request, "r", 0, DIGEST, TIME_LEFT_NS)

    run_cluster(tmp_path, 1, scenario)


async def resumed_log(cluster: Cluster, time_left: int = TIME_LEFT_NS) -> ReplicatedRequestLog:
    """Return the log of a successor whose router has taken up the open request "r"."""
    log = await leading_log(cluster, [BOOKING])
    assert await committed(log.record_request, "r", 0, DIGEST, time_left)
    successor = await leading_log(cluster, [BOOKING])
    assert successor.resume("r", 0)
    return successor


def test_a_request_whose_client_is_back_is_not_answered_at_its_earlier_deadline(tmp_path: Path) -> None:
    # Guards against a booking that is answered 503 by the successor's timer, and runs all the same.
    async def scenario(cluster: Cluster) -> None:
        log = await resumed_log(cluster, time_left=SHORT_TIME_NS)
        await asyncio.sleep(2 * SHORT_TIME_NS / SECOND + ANSWER_GRACE_S)
        assert "r" in log.node.requests.open_requests
        assert await committed(log.record_attempt, "r", "w0", 0)

    run_cluster(tmp_path, 1, scenario)


def test_an_attempt_is_not_reported_as_recorded_if_the_state_ignored_it(tmp_path: Path) -> None:
    # Guards against an attempt that is sent after another answer was committed: the state ignores its record.
    async def scenario(cluster: Cluster) -> None:
        log = await resumed_log(cluster)
        answer = AnswerRequest("r", FinalAnswer.REJECTED, "", DIGEST, 1)
        results = await asyncio.gather(propose(log.node, answer), committed(log.record_attempt, "r", "w0", 0))
        assert tuple(results) == (True, False)

    run_cluster(tmp_path, 1, scenario)


@pytest.mark.parametrize("sent", [False, True])
def test_a_request_whose_answer_was_not_committed_is_answered_by_the_same_leader(
    sent: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a request that stays open until the next change of leader, after a transfer that failed.
    async def scenario(cluster: Cluster) -> None:
        log = await leading_log(cluster, [BOOKING])
        assert await committed(log.record_request, "r", 0, DIGEST, TIME_LEFT_NS)
        if sent:
            assert await committed(log.record_attempt, "r", "w0", 0)
        with monkeypatch.context() as context:
            context.setattr(log.node, "propose", lambda _, on_result: on_result(False))
            answer = RecordedAnswer(FinalAnswer.SUCCEEDED, "done")
            assert not await committed(log.record_answer, "r", answer, DIGEST)
        answered = log.node.requests.answered
        await until(lambda: "r" in answered)
        assert answered["r"].answer is (FinalAnswer.FAILED if sent else FinalAnswer.REJECTED)

    run_cluster(tmp_path, 1, scenario)


def test_a_retried_answer_does_not_end_a_request_that_the_router_has_taken_up(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against the same timer set again, by a commit that fails after the client is back.
    async def scenario(cluster: Cluster) -> None:
        log = await resumed_log(cluster)
        late: list[CommitCallback] = []
        with monkeypatch.context() as context:
            context.setattr(log.node, "propose", lambda _, on_result: late.append(on_result))
            log.record_answer("r", RecordedAnswer(FinalAnswer.FAILED), DIGEST, lambda _: None)
        assert log.resume("r", 0)
        late[0](False)
        await asyncio.sleep(2 * COMMIT_RETRY_DELAY_S)
        assert "r" in log.node.requests.open_requests
        log._on_role_changed(Role.FOLLOWER, "")
        assert not log._deadline_timers._handles and not log._ids_at_router

    run_cluster(tmp_path, 1, scenario)


def test_configure_reports_its_own_version_or_that_the_state_ignored_it(tmp_path: Path) -> None:
    # Guards against the version of another configuration, or a refusal, for one that was just committed.
    async def scenario(cluster: Cluster) -> None:
        node = await cluster.wait_for_leader()
        replies: list[ConfigureReply] = []
        for by, token in (("anna", 0), ("ben", 7), ("carl", 6)):
            request = {"ask": "configure", "body": "{}", "by": by, "token": token}
            node.handle_state_request(
                request, lambda reply: replies.append(msgspec.convert(reply, ConfigureReply))
            )
        await until(lambda: len(replies) == 3)
        assert [reply.version for reply in replies] == [1, 2, msgspec.UNSET]
        assert [reply.done for reply in replies] == [True, True, False]

    run_cluster(tmp_path, 1, scenario)
