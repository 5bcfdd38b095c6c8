"""A replica leads only under the latest committed configuration, however it came to it."""

import asyncio
import copy
import json
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from ploverspoke.consensus.cluster_config import read_replica_config
from ploverspoke.decisions.settings import Idempotency
from ploverspoke.routing.answers import FinalAnswer, RecordedAnswer
from ploverspoke.store.daemon import StoreDaemon
from ploverspoke.store.log_commands import answer_command
from ploverspoke.store.request_log import ReplicatedRequestLog
from ploverspoke.testbed.processes.addresses import reserve_ports
from tests.decisions.harness import SETTINGS
from tests.polling import until
from tests.store.cluster_harness import Cluster, commit, propose, run_cluster

RUNS_LONG = True  # scheduled first: see tests/conftest.py
ENTRIES_PER_SNAPSHOT = 100  # as the harness configures it


def document(**book_class: object) -> dict[str, Any]:
    settings = copy.deepcopy(SETTINGS)
    settings["ServiceGrades"][1] |= book_class
    return {"listen": "127.0.0.1:1", "discovery": f"127.0.0.1:{reserve_ports(1)[0]}", "settings": settings}


def body(**book_class: object) -> str:
    return json.dumps(document(**book_class))


async def commit_at_leader(cluster: Cluster, text: str) -> None:
    assert await commit(await cluster.wait_for_leader(), text)


class Daemon:
    """The replica r2, which runs a dispatcher whose own file makes bookings idempotent."""

    def __init__(self, cluster: Cluster) -> None:
        self.daemon = StoreDaemon(read_replica_config(cluster.write_config("r2")))
        self.cluster = cluster

    async def start(self, new: bool) -> None:
        self.running = asyncio.create_task(self.daemon.run(new, ""))
        await until(lambda: self.running.done() or hasattr(self.daemon, "service"))
        assert not self.running.done(), self.running.result()

    def request_log(self) -> ReplicatedRequestLog:
        recorder = self.daemon.service.router.recorder
        assert recorder is not None and isinstance(recorder.request_log, ReplicatedRequestLog)
        return recorder.request_log

    async def stop(self) -> None:
        self.daemon.service.shut_down()
        await self.running

    def ask_to_lead(self) -> None:
        leader = self.cluster.leader()
        if leader is not None:
            leader.transfer_leadership("r2")

    async def lead(self) -> None:
        while not self.request_log().is_leading:
            self.ask_to_lead()
            await asyncio.sleep(0.05)

    def idempotency_of_bookings(self) -> Idempotency:
        settings = self.daemon.service.router.active_settings
        return settings.idempotency(settings.classes.numbers["book"])


def run_daemon(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    scenario: Callable[[Cluster, Daemon], Awaitable[None]],
) -> None:
    own_file = tmp_path / "dispatcher.json"
    own_file.write_text(body(Repeat="free"))
    monkeypatch.setenv("RELAY_CONFIG", str(own_file))

    async def run(cluster: Cluster) -> None:
        daemon = Daemon(cluster)
        await scenario(cluster, daemon)
        await daemon.stop()

    run_cluster(tmp_path, 3, run, left_out=["r2"], election_ms=1000)


@pytest.mark.parametrize("came_by", ["log", "snapshot", "running", "restart", "unapplied"])
def test_replica_leads_under_the_committed_settings(
    came_by: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A replica that was down while a class became irreversible led with its old rules, and repeated bookings.
    async def scenario(cluster: Cluster, daemon: Daemon) -> None:
        if came_by in ("running", "restart", "unapplied"):
            await daemon.start(new=True)
            await daemon.lead()
            assert daemon.idempotency_of_bookings() is Idempotency.IDEMPOTENT
        if came_by == "restart":
            await daemon.stop()
        elif came_by == "unapplied":
            daemon.daemon.node.on_configuration = None
            while (leader := cluster.leader()) is None:
                daemon.daemon.node.transfer_leadership("r0")
                await asyncio.sleep(0.05)
        if came_by == "running":
            assert await commit(daemon.daemon.node, body(Repeat="single_shot"))
        else:
            await commit_at_leader(cluster, body(Repeat="single_shot"))
        if came_by == "snapshot":
            answer = answer_command("r", RecordedAnswer(FinalAnswer.FAILED), b"", 1)
            leader = await cluster.wait_for_leader()
            for _ in range(2 * ENTRIES_PER_SNAPSHOT):
                assert await propose(leader, answer)
        if came_by == "restart":
            daemon.daemon = Daemon(cluster).daemon
        if came_by not in ("running", "unapplied"):
            await daemon.start(new=came_by != "restart")
        await daemon.lead()
        if came_by == "running":
            await until(lambda: daemon.idempotency_of_bookings() is Idempotency.NON_IDEMPOTENT)
        assert daemon.idempotency_of_bookings() is Idempotency.NON_IDEMPOTENT
        rules = daemon.request_log().rules_by_name
        assert rules["book"].idempotency is Idempotency.NON_IDEMPOTENT

    run_daemon(tmp_path, monkeypatch, scenario)


def test_replica_that_cannot_apply_the_committed_settings_does_not_lead(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # It went on leading with the settings before, under which bookings are repeated.
    async def scenario(cluster: Cluster, daemon: Daemon) -> None:
        await daemon.start(new=True)
        await daemon.lead()
        assert await commit(daemon.daemon.node, body(Repeat="never heard of"))
        await until(lambda: not daemon.request_log().is_leading)
        await until(cluster.leader)
        daemon.ask_to_lead()
        await until(daemon.daemon.node.is_elected)
        await until(cluster.leader)
        assert not daemon.request_log().is_leading
        await commit_at_leader(cluster, body(Repeat="single_shot"))
        await daemon.lead()
        assert daemon.idempotency_of_bookings() is Idempotency.NON_IDEMPOTENT

    run_daemon(tmp_path, monkeypatch, scenario)
