"""Lease servers and candidates as processes, killed, paused and cut off; what a resource saw is checked."""

import pytest

from ploverspoke.testbed.experiment_files.durations import MILLISECOND, SECOND, Duration
from ploverspoke.testbed.processes.fault_timeline import FaultStep
from ploverspoke.testbed.scenarios.lease_experiment import LeaseScenario
from ploverspoke.testbed.scenarios.lease_scenario import run_lease_scenario

RUNS_LONG = True  # scheduled first: see tests/conftest.py

MS = MILLISECOND


def test_no_two_holders_act_at_once_through_kills_pauses_partitions_and_clock_drift() -> None:
    outcome = run_lease_scenario(LeaseScenario(run_duration=Duration(60 * SECOND)), 1)
    assert outcome.findings == [], "\n".join(outcome.findings)
    assert (outcome.void, outcome.errors, outcome.verdict.void()) == ("", [], "")
    assert outcome.verdict.taken > 2000 and outcome.verdict.names == 3
    done = {event.what for event in outcome.events if event.who == "rig"}
    assert done >= {"kill is over", "pause is over", "add fault", "remove fault", "wall jumps"}


@pytest.mark.parametrize("fenced", [True, False])
def test_late_effect_is_rejected_by_its_fencing_token_and_found_without_one(fenced: bool) -> None:
    # Each in turn does not reach the resource for a while: what it has sent comes when others act by then.
    steps = [
        FaultStep(
            at=Duration(n * 700 * MS), what="cut", who=[f"c{n % 4}"], to=["r"], lasts=Duration(2 * SECOND)
        )
        for n in range(1, 14)
    ]
    scenario = LeaseScenario(
        servers=3, candidates=4, leases={"one": 1}, run_duration=Duration(12 * SECOND), checks_tokens=fenced
    )
    outcome = run_lease_scenario(scenario, 1, steps)
    assert (outcome.void, outcome.errors) == ("", [])
    if fenced:
        assert outcome.findings == [] and outcome.verdict.refused > 0
    else:
        assert "was taken after" in outcome.findings[0] and "timeline" in outcome.findings[0]
    assert outcome.verdict.void(fewest=5) == "" and outcome.verdict.void(fewest=10_000)


def test_faulty_holders_that_count_too_long_are_found_on_processes() -> None:
    # Each in turn does not reach the lease servers for a while, and the next is given the lease by then.
    servers = ["k0", "k1", "k2"]
    steps = [
        FaultStep(
            at=Duration(n * 1500 * MS), what="cut", who=[f"c{n % 4}"], to=servers, lasts=Duration(2500 * MS)
        )
        for n in range(1, 6)
    ]
    scenario = LeaseScenario(
        servers=3,
        candidates=4,
        leases={"one": 1},
        run_duration=Duration(9 * SECOND),
        hold_share=1.0,
        overestimates_duration=True,
    )
    outcome = run_lease_scenario(scenario, 1, steps)
    assert (outcome.void, outcome.errors) == ("", []) and "act at once" in outcome.findings[0]


def test_no_holder_acts_after_expiry_without_a_majority_and_all_continue_when_it_is_back() -> None:
    begins, lasts = 4 * SECOND, 6 * SECOND
    steps = [
        FaultStep(at=Duration(begins), what="pause", who=["k0", "k1"], lasts=Duration(lasts)),
        FaultStep(at=Duration(begins), what="kill", who=["k2"], lasts=Duration(lasts)),
    ]
    scenario = LeaseScenario(
        servers=5, candidates=8, leases={"one": 1, "two": 1}, run_duration=Duration(16 * SECOND)
    )
    outcome = run_lease_scenario(scenario, 3, steps)
    assert (outcome.findings, outcome.void, outcome.errors) == ([], "", [])
    epoch = next(event.at for event in outcome.events if event.what == "begin")
    acts = [(event.at - epoch) / SECOND for event in outcome.events if event.what == "acts"]
    # A lease lasts 1 s, and a holder's clock is 5% slow at the most.
    assert not [at for at in acts if 5.1 < at < 9.9]
    assert [at for at in acts if at < 4] and [at for at in acts if at > 13]
