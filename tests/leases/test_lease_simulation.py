"""Leases in every interleaving that can be had: seeded schedules, all short ones, and planted faults."""

import itertools
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from typing import Any

import pytest

from ploverspoke.leases import holder as holder_module
from ploverspoke.leases.definitions import DRIFT
from ploverspoke.leases.holder import Lease, LeaseHolder
from ploverspoke.leases.manager import LeaseManager
from ploverspoke.leases.state_machine import RELEASE, LeaseStateMachine
from tests.consensus import raft_simulation as consensus
from tests.consensus.raft_simulation import WORKER_PROCESSES
from tests.leases.lease_simulation import (
    CHOICES,
    Broken,
    FencingTokenGuard,
    Parts,
    by_choices,
    explore,
    explore_raft,
)

RUNS_LONG = True  # scheduled first: see tests/conftest.py

SCHEDULES, DEPTH = 20_000, 5
ON_RAFT = 2_000


def sweep(first: int, count: int) -> tuple[int, int]:
    worlds = [explore(seed, places=2 if seed % 5 == 0 else 1) for seed in range(first, first + count)]
    return sum(w.changes for w in worlds), sum(w.refused for w in worlds)


def sweep_raft(first: int, count: int) -> int:
    return sum(explore_raft(seed).changes for seed in range(first, first + count))


def all_from(first: int) -> int:
    count = 0
    for rest in itertools.product(range(CHOICES), repeat=DEPTH):
        by_choices((first, *rest))
        count += 1
    return count


def test_no_schedule_has_two_holders_at_once_or_tokens_that_fall() -> None:
    part = SCHEDULES // 40
    with ProcessPoolExecutor(WORKER_PROCESSES, mp_context=get_context("spawn")) as pool:
        seeded = [pool.submit(sweep, first, part) for first in range(0, SCHEDULES, part)]
        short = [pool.submit(all_from, first) for first in range(CHOICES)]
        on_raft = [
            pool.submit(sweep_raft, first, ON_RAFT // 40) for first in range(0, ON_RAFT, ON_RAFT // 40)
        ]
        changes, refused = (sum(row) for row in zip(*(wait.result() for wait in seeded), strict=True))
        assert sum(wait.result() for wait in short) == CHOICES ** (DEPTH + 1)
        changes_on_raft = sum(wait.result() for wait in on_raft)
    # A sweep in which little happens proves nothing.
    assert changes > 2 * SCHEDULES and refused > 50 and changes_on_raft > ON_RAFT


class CountsFromTheAnswer(LeaseHolder):
    def told(self, message: dict[str, Any]) -> None:
        if message["n"] in self.sent:
            self.sent[message["n"]] = self.host.now()
        super().told(message)


class NoMargin(LeaseHolder):
    def told(self, message: dict[str, Any]) -> None:
        rows = [[name, token, int(span / (1 - DRIFT))] for name, token, span in message["has"]]
        super().told({**message, "has": rows})


class HearsOldAnswers(LeaseHolder):
    def want(self, name: str, duration: int) -> Lease:
        lease = super().want(name, duration)
        lease.first = 0
        return lease


class GrantsAtOnce(LeaseManager):
    def leads(self, era: int = 0) -> None:
        super().leads(era)
        self.deadlines = dict.fromkeys(self.deadlines, self.host.now())


class BeginsAgain(LeaseStateMachine):
    def next_token(self) -> int:
        return self.last + 1


class ForgetsTheRestore(LeaseManager):
    def leads(self, era: int = 0) -> None:
        super().leads(self.terms.era)


class RenewsWhatIsOver(LeaseManager):
    """What has been said to be over is renewed as long as the log does not say so, and once more after."""

    def _answer(self, holder: str, message: dict[str, Any]) -> None:
        rows = [[name, token, duration] for name, duration, token, _ in message["want"] if token]
        self.host.tell(holder, {"n": message["n"], "has": rows, "lost": [], "refused": []})


class ReleasesForAnybody(LeaseManager):
    def _released(self, holder: str, rows: Any) -> None:
        """An old holder's word, or an old word, ends what another has by now."""
        found = [[name, one.token] for name, _, _ in rows for one in self.terms.names.get(name, ())]
        if found:
            self.host.propose([RELEASE, found], lambda yes: None)


class TakesAll(FencingTokenGuard):
    def takes(self, token: int) -> bool:
        return True


class ProvesNothing(LeaseManager):
    """Answers renewals without a majority's word."""

    def _confirm(self) -> None:
        batch, self.batch = self.batch, []
        for holder, message in batch:
            self._answer(holder, message)


PLANTED = [
    Parts(holder=CountsFromTheAnswer),
    Parts(holder=NoMargin),
    Parts(holder=HearsOldAnswers),
    Parts(keeper=GrantsAtOnce),
    Parts(terms=BeginsAgain),
    Parts(keeper=ForgetsTheRestore),
    Parts(keeper=RenewsWhatIsOver),
    Parts(keeper=ReleasesForAnybody),
    Parts(keeper=ProvesNothing),
    Parts(fence=TakesAll),
    Parts(hears_late=True),
]


def named(parts: Parts) -> str:
    planted = (c.__name__ for c in vars(parts).values() if getattr(c, "__module__", "") == __name__)
    return next(planted, "hears late")


@pytest.mark.parametrize("parts", PLANTED, ids=named)
def test_a_planted_fault_is_found(parts: Parts) -> None:
    for seed in range(4000):
        try:
            explore(seed, parts=parts)
        except Broken:
            return
    raise AssertionError("not found in 4000 schedules")


@pytest.mark.parametrize("parts", [Parts(keeper=GrantsAtOnce), Parts(holder=CountsFromTheAnswer)], ids=named)
def test_a_planted_fault_is_found_on_real_consensus(parts: Parts) -> None:
    for seed in range(600):
        try:
            explore_raft(seed, parts=parts)
        except consensus.InvariantViolationError:
            return
    raise AssertionError("not found in 600 schedules")


def test_the_margin_is_what_two_clocks_of_five_percent_need() -> None:
    assert (1 - DRIFT) / 0.95 <= 1 / 1.05
    assert holder_module.DRIFT == DRIFT
