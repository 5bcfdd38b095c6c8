"""Leases in simulated schedules: random ones, all short ones, and faulty variants that must be detected."""

import itertools
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

import pytest

from ploverspoke.leases import holder as holder_module
from ploverspoke.leases.definitions import DRIFT
from tests.consensus.raft_simulation import WORKER_PROCESSES
from tests.consensus.simulated_cluster import InvariantViolationError
from tests.leases.faulty_variants import FAULTY_VARIANTS
from tests.leases.lease_raft_simulation import explore_raft
from tests.leases.lease_simulation import Choice, explore, run_choices
from tests.leases.simulated_lease_cluster import InvariantError

RUNS_LONG = True  # scheduled first: see tests/conftest.py

SCHEDULES = 20_000
CHOICES_AFTER_FIRST = 5
RAFT_SCHEDULES = 2_000
FAULTY_SCHEDULES = 4_000
FAULTY_RAFT_SCHEDULES = 600


def sweep(first: int, count: int) -> tuple[int, int]:
    clusters = [explore(seed, max_holders=2 if seed % 5 == 0 else 1) for seed in range(first, first + count)]
    return (
        sum(cluster.holder_changes for cluster in clusters),
        sum(cluster.rejected_effects for cluster in clusters),
    )


def sweep_raft(first: int, count: int) -> int:
    return sum(explore_raft(seed).holder_changes for seed in range(first, first + count))


def explore_all_from(first: Choice) -> int:
    count = 0
    for rest in itertools.product(Choice, repeat=CHOICES_AFTER_FIRST):
        run_choices((first, *rest))
        count += 1
    return count


def test_no_schedule_has_two_holders_at_once_or_falling_tokens() -> None:
    batch, raft_batch = SCHEDULES // 40, RAFT_SCHEDULES // 40
    with ProcessPoolExecutor(WORKER_PROCESSES, mp_context=get_context("spawn")) as pool:
        seeded = [pool.submit(sweep, first, batch) for first in range(0, SCHEDULES, batch)]
        short = [pool.submit(explore_all_from, first) for first in Choice]
        on_raft = [
            pool.submit(sweep_raft, first, raft_batch) for first in range(0, RAFT_SCHEDULES, raft_batch)
        ]
        holder_changes, rejected_effects = (
            sum(row) for row in zip(*(future.result() for future in seeded), strict=True)
        )
        assert sum(future.result() for future in short) == len(Choice) ** (CHOICES_AFTER_FIRST + 1)
        changes_on_raft = sum(future.result() for future in on_raft)
    # Too few events would mean that the sweep has hardly tested anything.
    assert holder_changes > 2 * SCHEDULES and rejected_effects > 50 and changes_on_raft > RAFT_SCHEDULES


@pytest.mark.parametrize("variant", FAULTY_VARIANTS)
def test_faulty_variant_is_found(variant: str) -> None:
    for seed in range(FAULTY_SCHEDULES):
        try:
            explore(seed, variants=FAULTY_VARIANTS[variant])
        except InvariantError:
            return
    raise AssertionError(f"not found in {FAULTY_SCHEDULES} schedules")


@pytest.mark.parametrize("variant", ["faulty_grants_at_once", "faulty_counts_from_response"])
def test_faulty_variant_is_found_on_real_consensus(variant: str) -> None:
    for seed in range(FAULTY_RAFT_SCHEDULES):
        try:
            explore_raft(seed, variants=FAULTY_VARIANTS[variant])
        except InvariantViolationError:
            return
    raise AssertionError(f"not found in {FAULTY_RAFT_SCHEDULES} schedules")


def test_drift_margin_covers_two_clocks_that_differ_by_five_percent_each() -> None:
    assert (1 - DRIFT) / 0.95 <= 1 / 1.05
    assert vars(holder_module)["DRIFT"] == DRIFT
