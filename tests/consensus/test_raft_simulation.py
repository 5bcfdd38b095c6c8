"""Raft in random and exhaustive schedules, and injected faults that the schedules must detect."""

import itertools
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

import pytest

from ploverspoke.consensus import replication
from ploverspoke.transport.units import MILLISECOND
from tests.consensus.raft_faults import (
    acknowledges_before_sync,
    reads_without_heartbeat,
    votes_twice_in_a_term,
)
from tests.consensus.raft_simulation import WORKER_PROCESSES, SimulationJob, run_job, run_schedule
from tests.consensus.simulated_cluster import InvariantViolationError, SimulatedCluster
from tests.consensus.simulated_replica import FaultInjector

RUNS_LONG = True  # scheduled first: see tests/conftest.py

SCHEDULES_PER_JOB = 250
JOBS = [
    SimulationJob(first_seed, SCHEDULES_PER_JOB, size, 300, spare_replicas, extra_disturbances)
    for first_seed in range(0, 20 * SCHEDULES_PER_JOB, SCHEDULES_PER_JOB)
    for size, spare_replicas, extra_disturbances in [
        (3, 0, False),
        (5, 0, False),
        (3, 1, False),
        (3, 0, True),
    ]
]
FAULTS = [votes_twice_in_a_term, acknowledges_before_sync, reads_without_heartbeat]


def test_invariants_hold_in_twenty_thousand_schedules() -> None:
    with ProcessPoolExecutor(WORKER_PROCESSES, mp_context=get_context("spawn")) as pool:
        counts_by_job = list(pool.map(run_job, JOBS))
    total = {
        key: sum(job_counts.get(key, 0) for job_counts in counts_by_job)
        for key in ("terms", "reads", "acknowledged")
    }
    # The schedules only test the invariants if enough elections, reads and commits happen in them.
    assert total["acknowledged"] > len(JOBS) * SCHEDULES_PER_JOB
    assert total["reads"] > 5_000 and total["terms"] > 10_000


@pytest.mark.parametrize("fault", FAULTS)
def test_simulation_finds_an_injected_fault(fault: FaultInjector, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(replication, "MAX_ENTRIES_PER_MESSAGE", 1)
    with pytest.raises(InvariantViolationError):
        for seed in range(8000):
            run_schedule(seed, 3, 400, fault, extra_disturbances=True)


def test_seed_replays_its_schedule() -> None:
    first, second = run_schedule(11, 3, 400), run_schedule(11, 3, 400)
    assert first.committed_entries == second.committed_entries
    assert first.leaders == second.leaders and first.now == second.now


def test_contested_election_elects_one_leader_in_every_short_order() -> None:
    """Try every order of the first seven deliveries between three replicas, two of which are candidates."""
    elected = 0
    for order in itertools.product(range(3), repeat=7):
        cluster = SimulatedCluster(0, 3)
        cluster.now += 500 * MILLISECOND
        for name in ("n0", "n1"):
            cluster.nodes[name].replica.raft.tick()
        for turn in order:
            for node in cluster.nodes.values():
                node.write_all()
            if cluster.in_flight:
                cluster.deliver(turn % len(cluster.in_flight))
            cluster.check()
        elected += len(cluster.leaders)
    assert elected > 0
