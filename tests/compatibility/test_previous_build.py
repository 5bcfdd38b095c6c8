"""A replica of the build at commit e21b7e1 in one cluster with replicas of this one, and its folder."""

import asyncio
import json
import os
import subprocess
import sys
import tarfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ploverspoke.decisions.interface import AttemptOutcome
from ploverspoke.routing.answers import FinalAnswer, RecordedAnswer
from ploverspoke.store.class_rules import ClassRules
from ploverspoke.store.request_log import ReplicatedRequestLog
from tests.polling import until
from tests.store.cluster_harness import Cluster, run_cluster
from tests.store.request_commits import DIGEST, committed, leading_log

from .data_files import DATA

PREVIOUS_BUILD = DATA / "e21b7e1" / "store-replica.tar.xz"
DRIVER = Path(__file__).parent / "old_replica.py"
TIME_LEFT_NS = 60_000_000_000
ELECTION_MS = 1000  # so that only the test changes the leader
ENTRIES_PER_SNAPSHOT = 100  # as the harness configures it
LOOKUP = ClassRules("look-up", "free", "all", 0)
BOOKING = ClassRules("booking", "single_shot", "all", 0)


class OldReplica:
    """The process of one replica of the previous build."""

    def __init__(self, cluster: Cluster, name: str, source: Path, new: bool) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-P", str(DRIVER), str(cluster.write_config(name)), "new" if new else "again"],
            env={**os.environ, "PYTHONPATH": str(source)},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    async def call(self, name: str, argument: object = None) -> Any:
        return await asyncio.to_thread(self._call, name, argument)

    def _call(self, name: str, argument: object) -> Any:
        assert self.process.stdin is not None and self.process.stdout is not None
        self.process.stdin.write(json.dumps([name, argument]) + "\n")
        self.process.stdin.flush()
        return json.loads(self.process.stdout.readline())

    async def wait_for(self, condition: Callable[[dict[str, Any]], bool]) -> dict[str, Any]:
        for _ in range(500):
            state: dict[str, Any] = await self.call("state")
            if condition(state):
                return state
            await asyncio.sleep(0.02)
        raise AssertionError(state)

    def stop(self) -> None:
        self.process.communicate(timeout=10)


async def lead_with(cluster: Cluster, name: str, old: OldReplica) -> ReplicatedRequestLog:
    """Make a replica of this build the leader; return its request log after it has taken over."""
    node = cluster.nodes[name]
    while not node.leads():
        leader = cluster.leader()
        if leader is not None:
            leader.transfer_leadership(name)
        else:
            await old.call("transfer", name)
        await asyncio.sleep(0.05)
    return await leading_log(cluster, [LOOKUP, BOOKING])


async def lead_with_old(cluster: Cluster, old: OldReplica) -> None:
    """Make the replica of the previous build the leader."""
    while not (await old.call("state"))["leads"]:
        leader = cluster.leader()
        if leader is not None:
            leader.transfer_leadership("r0")
        await asyncio.sleep(0.05)


def test_replicas_of_the_previous_build_and_of_this_one_run_in_one_cluster(tmp_path: Path) -> None:
    # Guards against a rolling upgrade in which a booking runs twice, or a replica cannot read the others'
    # entries and snapshots. What an entry of the previous build does not say is taken for may have run, so it
    # never runs again.
    source = tmp_path / "previous"
    with tarfile.open(PREVIOUS_BUILD) as archive:
        archive.extractall(source, filter="data")

    async def scenario(cluster: Cluster) -> None:
        old = OldReplica(cluster, "r0", source, new=True)
        try:
            await check(cluster, old)
        finally:
            await asyncio.to_thread(old.stop)

    async def check(cluster: Cluster, old: OldReplica) -> None:
        # The previous build reads the entries of this one.
        log = await lead_with(cluster, "r1", old)
        assert await committed(log.record_request, "sent", 1, DIGEST, TIME_LEFT_NS)
        assert await committed(log.record_attempt, "sent", "w0", 0)
        assert await committed(log.record_request, "waiting", 1, DIGEST, TIME_LEFT_NS)
        answer = RecordedAnswer(FinalAnswer.SUCCEEDED, "cut \ud83d")
        assert await committed(log.record_answer, "cut", answer, DIGEST)
        state = await old.wait_for(lambda state: "cut" in state["answered"])
        assert state["open"] == {"sent": 1, "waiting": 0} and state["answered"] == {"cut": "cut ?"}
        assert state["package"].startswith(str(source))
        # It leads, and this build reads its entries and its snapshot.
        await lead_with_old(cluster, old)
        await cluster.stop("r2")
        now = 5
        assert await old.call("propose", ["take", "full", 1, "", 10**15, now])
        assert await old.call("propose", ["intend", "full", "w0", 0, now, now])
        assert await old.call("propose", ["outcome", "full", 0, AttemptOutcome.FULL.value])
        for number in range(ENTRIES_PER_SNAPSHOT):
            assert await old.call("propose", ["answer", f"a{number}", "nacked", "", "", now])
        await old.wait_for(lambda state: state["snapshot"] >= ENTRIES_PER_SNAPSHOT)
        await cluster.start("r2")
        restored = cluster.nodes["r2"]
        await until(lambda: "a99" in restored.requests.answered)
        assert restored.requests.open_requests["waiting"].rules == ClassRules()
        log = await lead_with(cluster, "r2", old)
        requests = log.node.requests
        await until(lambda: {"sent", "full"} <= requests.answered.keys())
        assert requests.answered["sent"].answer is requests.answered["full"].answer is FinalAnswer.FAILED
        assert log.resume("waiting", 1) and list(requests.open_requests) == ["waiting"]
        # The previous build reads a snapshot of this one, and this one its folder.
        assert await committed(log.record_request, "late", 1, DIGEST, TIME_LEFT_NS)
        await asyncio.to_thread(old.stop)
        for number in range(2 * ENTRIES_PER_SNAPSHOT):
            assert await committed(log.record_answer, f"b{number}", answer, DIGEST)
        again = OldReplica(cluster, "r0", source, new=False)
        try:
            state = await again.wait_for(lambda state: "b199" in state["answered"])
        finally:
            await asyncio.to_thread(again.stop)
        assert state["open"] == {"waiting": 0, "late": 0} and state["answered"]["b199"] == "cut ?"
        assert state["snapshot"] >= ENTRIES_PER_SNAPSHOT
        upgraded = await cluster.start("r0")
        await until(lambda: upgraded.requests.open_requests.keys() == {"waiting", "late"})

    run_cluster(tmp_path, 3, scenario, left_out=["r0"], election_ms=ELECTION_MS)
