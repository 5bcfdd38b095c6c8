"""Lease servers and candidates as processes, killed, paused and cut off; a resource records the effects."""

import pytest

from ploverspoke.testbed.experiment_files.durations import MILLISECOND, SECOND, Duration
from ploverspoke.testbed.experiment_files.fault_timeline import FaultStep
from ploverspoke.testbed.scenarios.lease_experiment import LeaseScenario
from ploverspoke.testbed.scenarios.lease_scenario import run_lease_scenario

RUNS_LONG = True  # scheduled first: see tests/conftest.py


def test_no_two_holders_act_at_once_through_kills_pauses_partitions_and_clock_drift() -> None:
    outcome = run_lease_scenario(LeaseScenario(run_duration=Duration(60 * SECOND)), 1)
    assert outcome.findings == [], "\n".join(outcome.findings)
    assert (outcome.void, outcome.errors, outcome.verdict.void_reason()) == ("", [], "")
    assert outcome.verdict.accepted_effects > 2000 and outcome.verdict.names == 3
    rig_events = {event.kind for event in outcome.events if event.source == "rig"}
    assert rig_events >= {"kill is over", "pause is over", "add fault", "remove fault", "wall jumps"}


@pytest.mark.parametrize("fenced", [True, False])
def test_late_effect_is_rejected_by_its_fencing_token_and_found_without_one(fenced: bool) -> None:
    # Each candidate in turn is cut off from the resource: its effects arrive when others already act.
    steps = [
        FaultStep(
            start=Duration(number * 700 * MILLISECOND),
            kind="cut",
            processes=[f"c{number % 4}"],
            peers=["r"],
            duration=Duration(2 * SECOND),
        )
        for number in range(1, 14)
    ]
    scenario = LeaseScenario(
        servers=3, candidates=4, leases={"one": 1}, run_duration=Duration(12 * SECOND), checks_tokens=fenced
    )
    outcome = run_lease_scenario(scenario, 1, steps)
    assert (outcome.void, outcome.errors) == ("", [])
    if fenced:
        assert outcome.findings == [] and outcome.verdict.rejected_effects > 0
    else:
        assert "was accepted after" in outcome.findings[0] and "timeline" in outcome.findings[0]
    assert outcome.verdict.void_reason(min_changes=5) == "" and outcome.verdict.void_reason(
        min_changes=10_000
    )


def test_faulty_holders_that_count_too_long_are_found_on_processes() -> None:
    # Each candidate in turn is cut off from the lease servers for so long that another is granted the lease.
    servers = ["k0", "k1", "k2"]
    steps = [
        FaultStep(
            start=Duration(number * 1500 * MILLISECOND),
            kind="cut",
            processes=[f"c{number % 4}"],
            peers=servers,
            duration=Duration(2500 * MILLISECOND),
        )
        for number in range(1, 6)
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
    assert (outcome.void, outcome.errors) == ("", []) and "hold it at once" in outcome.findings[0]


def test_no_holder_acts_after_expiry_without_a_majority_and_all_continue_when_it_is_back() -> None:
    outage_start, outage_duration = 4 * SECOND, 6 * SECOND
    steps = [
        FaultStep(
            start=Duration(outage_start),
            kind="pause",
            processes=["k0", "k1"],
            duration=Duration(outage_duration),
        ),
        FaultStep(
            start=Duration(outage_start), kind="kill", processes=["k2"], duration=Duration(outage_duration)
        ),
    ]
    scenario = LeaseScenario(
        servers=5, candidates=8, leases={"one": 1, "two": 1}, run_duration=Duration(16 * SECOND)
    )
    outcome = run_lease_scenario(scenario, 3, steps)
    assert (outcome.findings, outcome.void, outcome.errors) == ([], "", [])
    started_at = next(event.at for event in outcome.events if event.kind == "begin")
    acts = [(event.at - started_at) / SECOND for event in outcome.events if event.kind == "acts"]
    # A lease lasts 1 s, and a holder's clock is at most 5% slow.
    assert not [at for at in acts if 5.1 < at < 9.9]
    assert [at for at in acts if at < 4] and [at for at in acts if at > 13]
