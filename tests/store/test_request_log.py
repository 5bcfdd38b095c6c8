"""The request log of a replica on its own disk: what is committed, and what another leader makes of it."""

import asyncio
from collections.abc import Sequence
from pathlib import Path

import pytest

from ploverspoke.decisions.interface import AttemptOutcome
from ploverspoke.routing.answers import FinalAnswer, RecordedAnswer
from ploverspoke.store.class_rules import ClassRules
from ploverspoke.store.node import StoreNode
from ploverspoke.store.request_log import ReplicatedRequestLog
from tests.polling import until
from tests.store.cluster_harness import Cluster, run_cluster

DIGEST = b"d" * 16
TIME_LEFT_NS = 3_000_000_000
LOOKUP = ClassRules("look-up", "free", "all", 0)
FARE = ClassRules("fare", "free", "all", 0)
BOOKING = ClassRules("booking", "single_shot", "all", 0)
FREE_BOOKING = ClassRules("booking", "free", "all", 0)
GUARDED_BOOKING = ClassRules("booking", "guarded", "all", 5)
IN_RACK = ClassRules("booking", "guarded", "cell", 5)


async def leading_log(cluster: Cluster, rules: Sequence[ClassRules] = ()) -> ReplicatedRequestLog:
    """Return a request log of the only replica with these rules, after it has taken over."""
    node: StoreNode = await cluster.wait_for_leader()
    log = ReplicatedRequestLog(node, rules, full_may_have_run=False)
    node.read_barrier(log._take_over)
    await until(lambda: log.is_leading)
    return log


async def committed(record: object, *arguments: object) -> bool:
    """Call a method that records something; the result says whether it was committed."""
    future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
    assert callable(record)
    record(*arguments, future.set_result)
    return await future


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
