"""Lease servers and candidates as processes, killed, paused and cut off; what a resource saw is checked."""

import pytest

from ploverspoke.testbed.experiment_files.durations import MILLISECOND, SECOND, Duration
from ploverspoke.testbed.experiment_files.fault_timeline import FaultStep
from ploverspoke.testbed.scenarios.lease_scenario import LeaseScenario, run_lease_scenario

RUNS_LONG = True  # scheduled first: see tests/conftest.py


def test_no_two_holders_act_at_once_through_kills_pauses_partitions_and_clock_drift() -> None:
    outcome = run_lease_scenario(LeaseScenario(lasts=Duration(60 * SECOND)), 1)
    assert outcome.shown == [], "\n".join(outcome.shown)
    assert (outcome.void, outcome.faults, outcome.verdict.void_reason()) == ("", [], "")
    assert outcome.verdict.accepted_effects > 2000 and outcome.verdict.names == 3
    rig_events = {event.kind for event in outcome.events if event.source == "rig"}
    assert rig_events >= {"kill is over", "pause is over", "add fault", "remove fault", "wall jumps"}


@pytest.mark.parametrize("fenced", [True, False])
def test_late_effect_is_rejected_by_its_fencing_token_and_found_without_one(fenced: bool) -> None:
    # Each in turn does not reach the resource for a while: what it has sent comes when others act by then.
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
    plan = LeaseScenario(
        keepers=3, contenders=4, names={"one": 1}, lasts=Duration(12 * SECOND), fenced=fenced
    )
    outcome = run_lease_scenario(plan, 1, steps)
    assert (outcome.void, outcome.faults) == ("", [])
    if fenced:
        assert outcome.shown == [] and outcome.verdict.rejected_effects > 0
    else:
        assert "was accepted after" in outcome.shown[0] and "timeline" in outcome.shown[0]
    assert outcome.verdict.void_reason(min_changes=5) == "" and outcome.verdict.void_reason(
        min_changes=10_000
    )


def test_faulty_holders_that_count_too_long_are_found_on_processes() -> None:
    # Each in turn does not reach the lease servers for a while, and the next is given the lease by then.
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
    plan = LeaseScenario(
        keepers=3, contenders=4, names={"one": 1}, lasts=Duration(9 * SECOND), keeps=1.0, outlasts=True
    )
    outcome = run_lease_scenario(plan, 1, steps)
    assert (outcome.void, outcome.faults) == ("", []) and "hold it at once" in outcome.shown[0]


def test_no_holder_acts_after_expiry_without_a_majority_and_all_continue_when_it_is_back() -> None:
    begins, lasts = 4 * SECOND, 6 * SECOND
    steps = [
        FaultStep(start=Duration(begins), kind="pause", processes=["k0", "k1"], duration=Duration(lasts)),
        FaultStep(start=Duration(begins), kind="kill", processes=["k2"], duration=Duration(lasts)),
    ]
    plan = LeaseScenario(keepers=5, contenders=8, names={"one": 1, "two": 1}, lasts=Duration(16 * SECOND))
    outcome = run_lease_scenario(plan, 3, steps)
    assert (outcome.shown, outcome.void, outcome.faults) == ([], "", [])
    epoch = next(event.at for event in outcome.events if event.kind == "begin")
    acts = [(event.at - epoch) / SECOND for event in outcome.events if event.kind == "acts"]
    # A lease lasts 1 s, and a holder's clock is 5% slow at the most.
    assert not [at for at in acts if 5.1 < at < 9.9]
    assert [at for at in acts if at < 4] and [at for at in acts if at > 13]
