"""A replica whose storage is opened again after a failure, with further failures on the way."""

from pathlib import Path

import pytest

from ploverspoke.store.node import StoreNode
from tests.polling import until
from tests.store.cluster_harness import Cluster, bodies, commit, run_cluster

UNFORESEEN = "an error that nobody expected"


def fail_once_in_consensus(node: StoreNode, monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the next proposal fail halfway."""

    def fail(*_: object) -> None:
        raise IndexError

    assert node.replica is not None
    monkeypatch.setattr(node.replica.raft.replication, "propose", fail)


def test_a_failure_to_reopen_is_logged_once_and_tried_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    # Guards against a replica that stays away for a reason that stands in no log.
    async def scenario(cluster: Cluster) -> None:
        leader = await cluster.wait_for_leader()
        assert await commit(leader, "kept")
        reopen, failures = leader.storage.reopen, [RuntimeError(UNFORESEEN), RuntimeError(UNFORESEEN)]

        def fail_at_first() -> None:
            if failures:
                raise failures.pop()
            reopen()

        monkeypatch.setattr(leader.storage, "reopen", fail_at_first)
        fail_once_in_consensus(leader, monkeypatch)
        assert not await commit(leader, "lost")
        await until(lambda: leader.storage_error == UNFORESEEN)
        await until(lambda: leader.leads() and bodies(leader) == ["kept"])
        assert await commit(leader, "next") and not failures and not leader.storage_error

    run_cluster(tmp_path, 1, scenario)
    logged = [line for line in capsys.readouterr().err.splitlines() if line.startswith("store: ")]
    assert sum(UNFORESEEN in line for line in logged) == 1, logged


def test_a_replica_that_fails_while_it_starts_again_is_stopped_before_the_next_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against two replicas that write to the same storage.
    async def scenario(cluster: Cluster) -> None:
        leader = await cluster.wait_for_leader()
        assert await commit(leader, "kept")
        set_peers, failed_drivers = leader.peer_links.set_peers, list[object]()

        def fail_at_first(addresses: dict[str, str]) -> None:
            if not failed_drivers:
                failed_drivers.append(leader._driver)
                raise RuntimeError(UNFORESEEN)
            set_peers(addresses)

        monkeypatch.setattr(leader.peer_links, "set_peers", fail_at_first)
        fail_once_in_consensus(leader, monkeypatch)
        assert not await commit(leader, "lost")
        await until(lambda: leader.storage_error == UNFORESEEN)
        assert failed_drivers != [None] and leader.replica is None and leader._driver is None
        await until(lambda: leader.leads() and bodies(leader) == ["kept"])
        assert await commit(leader, "next")

    run_cluster(tmp_path, 1, scenario)
