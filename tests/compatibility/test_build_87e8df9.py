"""A replica of the build at commit 87e8df9, which records no headers, in one cluster with this build."""

import asyncio
import tarfile
from base64 import b64encode
from pathlib import Path

from ploverspoke.routing.answers import FinalAnswer, RecordedAnswer
from ploverspoke.routing.request_digest import DigestMatch, compare_digests, content_digest
from tests.polling import until
from tests.store.cluster_harness import Cluster, run_cluster
from tests.store.request_commits import committed

from .data_files import DATA
from .test_previous_build import (
    ELECTION_MS,
    ENTRIES_PER_SNAPSHOT,
    TIME_LEFT_NS,
    OldReplica,
    lead_with,
    lead_with_old,
)

BUILD = DATA / "87e8df9" / "store-replica.tar.xz"
HEADERS = {"tenant": "acme", "affinity-key": "k"}
CONTENT = content_digest("POST", "/look/1", b"x")
RESULT = RecordedAnswer(FinalAnswer.SUCCEEDED, "data")


def test_records_of_87e8df9_and_of_this_build_are_read_by_both(tmp_path: Path) -> None:
    # Guards against an upgrade after which a client gets another one's result, or an open request is lost.
    source = tmp_path / "87e8df9"
    with tarfile.open(BUILD) as archive:
        archive.extractall(source, filter="data")

    async def scenario(cluster: Cluster) -> None:
        old = OldReplica(cluster, "r0", source, new=True)
        try:
            await check(cluster, old)
        finally:
            await asyncio.to_thread(old.stop)
        # This build reads the folder of the other one.
        upgraded = await cluster.start("r0")
        await until(lambda: f"b{ENTRIES_PER_SNAPSHOT - 1}" in upgraded.requests.answered)
        assert upgraded.requests.answered["old"].full_digest == CONTENT

    async def check(cluster: Cluster, old: OldReplica) -> None:
        log = await lead_with(cluster, "r1", old)
        digest = log.digest("POST", "/look/1", b"x", HEADERS)
        assert await committed(log.record_request, "open", 1, digest, TIME_LEFT_NS)
        assert await committed(log.record_answer, "new", RESULT, digest)
        state = await old.wait_for(lambda state: "new" in state["answered"])
        assert state["open"] == {"open": 0} and state["answered"]["new"] == "data"
        assert state["package"].startswith(str(source))
        # The old build answers and accepts requests, and its snapshot has no headers.
        await lead_with_old(cluster, old)
        await cluster.stop("r2")
        content = b64encode(CONTENT).decode()
        assert await old.call("propose", ["take", "waiting", 1, content, 1 << 62, 5])
        for name in ["old", *(f"a{number}" for number in range(ENTRIES_PER_SNAPSHOT))]:
            assert await old.call("propose", ["answer", name, "satisfied", "data", content, 5])
        await old.wait_for(lambda state: state["snapshot"] >= ENTRIES_PER_SNAPSHOT)
        await cluster.start("r2")
        requests = cluster.nodes["r2"].requests
        await until(lambda: f"a{ENTRIES_PER_SNAPSHOT - 1}" in requests.answered)
        for name in ("new", "old"):
            outcome = requests.answered[name].full_digest
            assert compare_digests(outcome, digest) is DigestMatch.HEADERS_UNKNOWN
        assert requests.open_requests["open"].rules.class_name == "booking"
        # This build goes on with open requests, and knows the headers of what it answers.
        log = await lead_with(cluster, "r2", old)
        assert log.resume("waiting", 1)
        assert await committed(log.record_answer, "waiting", RESULT, digest)
        previous = log.previous_outcome("waiting")
        assert previous is not None and compare_digests(previous.digest, digest) is DigestMatch.SAME
        for number in range(ENTRIES_PER_SNAPSHOT):
            assert await committed(log.record_answer, f"b{number}", RESULT, digest)
        await old.wait_for(lambda state: f"b{ENTRIES_PER_SNAPSHOT - 1}" in state["answered"])

    run_cluster(tmp_path, 3, scenario, left_out=["r0"], election_ms=ELECTION_MS)
