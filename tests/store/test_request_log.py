"""The request log of a replica on its own disk: what is committed, and what another leader makes of it."""

import asyncio
from pathlib import Path

from ploverspoke.decisions.interface import AttemptOutcome
from ploverspoke.routing.answers import FinalAnswer, RecordedAnswer
from ploverspoke.store.node import StoreNode
from ploverspoke.store.request_log import ReplicatedRequestLog
from tests.polling import until
from tests.store.cluster_harness import Cluster, run_cluster

DIGEST = b"d" * 16
TIME_LEFT_NS = 10_000_000_000


async def leading_log(cluster: Cluster) -> ReplicatedRequestLog:
    """Return the request log of the only replica, once it leads."""
    node: StoreNode = await cluster.wait_for_leader()
    log = ReplicatedRequestLog(node, [])
    log.is_leading = True
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
