"""Experiment files of leases (`kind = "leases"`): scenario, demands, and the checks of both."""

from typing import Any

import msgspec

from ..checkers.lease_checker import MIN_HOLDER_CHANGES
from ..experiment_files.durations import MILLISECOND, SECOND, Duration
from ..experiment_files.fault_timeline import TimelineError
from ..experiment_files.timeline_experiment import TimelineExperiment, convert_timeline_experiment

SERVER_COUNTS = (1, 3, 5)
DEFAULT_LEASES = {"one": 1, "two": 1, "three": 3}

# The key in an experiment file of each field of the scenario whose name differs.
SCENARIO_KEYS = {
    "servers": "keepers",
    "candidates": "contenders",
    "leases": "names",
    "run_duration": "lasts",
    "lease_duration": "duration",
    "election_timeout": "election",
    "kill_interval": "kills",
    "pause_interval": "pauses",
    "cut_interval": "cuts",
    "rough_link_interval": "rough",
    "extra_leases": "many",
    "leases_per_candidate": "each",
    "effect_pause": "rest",
    "has_drifting_clocks": "drifting",
    "checks_tokens": "fenced",
    "overestimates_duration": "outlasts",
    "hold_share": "keeps",
    "holder_kill_interval": "holder_killed",
}
DEMAND_KEYS = {
    "holder_changes": "changes",
    "max_takeover": "gap",
    "holder_kills": "kills",
    "no_lost_leases": "none_lost",
}


class LeaseScenario(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, rename=SCENARIO_KEYS
):
    """Lease servers, lease candidates, and the frequency of faults; intervals between faults are means."""

    servers: int = 5
    candidates: int = 20
    leases: dict[str, int] = msgspec.field(default_factory=lambda: dict(DEFAULT_LEASES))  # holders, by name
    run_duration: Duration = Duration(60 * SECOND)
    lease_duration: Duration = Duration(SECOND)
    election_timeout: Duration = Duration(100 * MILLISECOND)
    kill_interval: Duration = Duration(3 * SECOND)
    pause_interval: Duration = Duration(2 * SECOND)
    cut_interval: Duration = Duration(2 * SECOND)
    rough_link_interval: Duration = Duration(4 * SECOND)
    extra_leases: int = 0  # leases in addition to `leases`, for one holder each
    # Extra leases that each candidate wants, and none of `leases`; 0: every candidate wants all leases.
    leases_per_candidate: int = 0
    effect_pause: Duration = Duration(20 * MILLISECOND)  # between two effects under a lease
    has_drifting_clocks: bool = True
    checks_tokens: bool = True
    overestimates_duration: bool = False  # a deliberate defect to test the checker: see `LeaseCandidateSpec`
    hold_share: float = 0.05  # probability that a candidate never releases a lease
    # Between deliberate kills of the first lease's holder; 0: there are no such kills.
    holder_kill_interval: Duration = Duration(0)

    def holders_by_lease(self) -> dict[str, int]:
        """Return how many candidates may hold each lease at a time."""
        return {**self.leases, **{f"n{number}": 1 for number in range(self.extra_leases)}}

    def leases_wanted_by(self, candidate: int) -> list[str]:
        """Return the leases that a candidate wants; candidates that share one have numbers far apart."""
        if not self.leases_per_candidate:
            return list(self.holders_by_lease())
        first = candidate * self.leases_per_candidate
        return [f"n{(first + k) % self.extra_leases}" for k in range(self.leases_per_candidate)]


class LeaseDemands(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, rename=DEMAND_KEYS):
    """The demands on a run."""

    holder_changes: int = MIN_HOLDER_CHANGES  # of all leases; with fewer the run is void
    # 99th percentile, from the kill of a holder to the first check of the lease by another candidate.
    max_takeover: Duration = Duration(0)
    holder_kills: int = 0  # with fewer the run is void
    no_lost_leases: bool = False  # whether no holder may lose a lease while it is alive


class LeaseExperiment(
    TimelineExperiment,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    rename={"scenario": "plan", "demands": "must_hold"},
):
    """A whole experiment file; if it is calm, the only faults are kills of holders."""

    scenario: LeaseScenario = LeaseScenario()
    demands: LeaseDemands = LeaseDemands()


def read_lease_experiment(document: dict[str, Any]) -> LeaseExperiment:
    """Read and check a file that was parsed as TOML.

    Raises:
        TimelineError: the file is invalid; the error names the key.
    """
    experiment = convert_timeline_experiment(document, LeaseExperiment)
    _check(experiment.scenario)
    return experiment


def _check(scenario: LeaseScenario) -> None:
    if not scenario.leases or min(scenario.leases.values()) < 1:
        raise TimelineError(key="plan.names", problem="expected names, each with 1 place or more")
    if scenario.leases_per_candidate > scenario.extra_leases:
        raise TimelineError(key="plan.each", problem="expected at most plan.many")
    if scenario.servers not in SERVER_COUNTS or scenario.candidates < 1:
        problem = "expected 1, 3 or 5, and plan.contenders 1 or more"
        raise TimelineError(key="plan.keepers", problem=problem)
