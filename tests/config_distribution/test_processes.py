"""Config servers and dispatchers as processes, checked from outside; the checker detects faulty variants."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from ploverspoke.testbed.commands import main as commands
from ploverspoke.testbed.experiment_files.durations import MILLISECOND, SECOND, Duration
from ploverspoke.testbed.experiment_files.fault_timeline import LINK_FAULTS, FaultStep, TimelineError
from ploverspoke.testbed.scenarios.distribution_experiment import (
    DistributionScenario,
    read_distribution_experiment,
)
from ploverspoke.testbed.scenarios.distribution_growth import GrowthSample, growth_metrics
from ploverspoke.testbed.scenarios.distribution_scenario import (
    DistributionRunOutcome,
    run_distribution_scenario,
)
from ploverspoke.testbed.scenarios.distribution_timeline import draw_distribution_timeline, region_steps

RUNS_LONG = True  # scheduled first, see tests/conftest.py

FAULTY = "tests.config_distribution.faulty_distribution"
FAULT_SCENARIO = DistributionScenario(kill_interval=Duration(2 * SECOND))


def findings_of(outcome: DistributionRunOutcome) -> list[str]:
    """Return the findings of the checker in a run that is not void."""
    assert outcome.void == ""
    return [finding for finding, _ in outcome.verdict.findings]


@pytest.fixture(scope="module")
def run_with_faults() -> DistributionRunOutcome:
    # All faults of two dispatchers are set here, since drawn faults that would overlap may be skipped.
    own_steps = [
        FaultStep(
            start=Duration(3 * SECOND), kind="empty", processes=["a-d4"], duration=Duration(200 * MILLISECOND)
        ),
        FaultStep(
            start=Duration(6 * SECOND), kind="older", processes=["a-d4"], duration=Duration(200 * MILLISECOND)
        ),
        FaultStep(start=Duration(9 * SECOND), kind="restart", processes=["a-d4"]),
        FaultStep(
            start=Duration(12 * SECOND),
            kind="pause",
            processes=["a-d4"],
            duration=Duration(700 * MILLISECOND),
        ),
        FaultStep(
            start=Duration(3 * SECOND), kind="kill", processes=["a-d2"], duration=Duration(200 * MILLISECOND)
        ),
    ]
    separate_dispatchers = {"a-d2", "a-d4"}
    drawn_steps = [
        step
        for step in draw_distribution_timeline(FAULT_SCENARIO, 53)
        if step.kind in (*LINK_FAULTS, "copy") or not separate_dispatchers & set(step.processes)
    ]
    return run_distribution_scenario(FAULT_SCENARIO, 53, [*drawn_steps, *own_steps])


def test_acknowledged_versions_are_applied_in_time_through_kills_pauses_cuts_and_lost_folders(
    run_with_faults: DistributionRunOutcome,
) -> None:
    assert run_with_faults.findings == [], "\n".join(run_with_faults.findings)
    assert run_with_faults.verdict.reported_rejections == FAULT_SCENARIO.dispatchers
    rig_events = {event.kind for event in run_with_faults.events if event.source == "rig"}
    expected = {"kill", "pause", "restart", "empty", "older"}
    assert rig_events >= {
        "add fault",
        "remove fault",
        "reset",
        "refuses",
        *(f"{what} is over" for what in expected),
    }
    kinds = {event.detail[2] for event in run_with_faults.events if event.kind == "wants"}
    assert kinds == {"good", "refusable", "unacceptable"}


def test_run_through_kills_pauses_cuts_and_lost_folders_is_not_void(
    run_with_faults: DistributionRunOutcome,
) -> None:
    outcome = run_with_faults
    assert (outcome.void, outcome.errors, outcome.verdict.void_reason()) == ("", [], "")


def test_checker_finds_each_faulty_watcher() -> None:
    faulty_programs = {
        "a-d0": [FAULTY, "reverts_version"],
        "b-d1": [FAULTY, "applies_half_of_body"],
        "a-d2": [FAULTY, "applies_part_of_rejected"],
        "b-d3": [FAULTY, "keeps_silent_server"],
    }
    scenario = DistributionScenario(
        dispatchers=5,
        within=Duration(4 * SECOND),
        run_duration=Duration(12 * SECOND),
        publish_interval=Duration(SECOND),
        empty_folder_interval=Duration(0),
    )
    # The only local server of b-d3 is paused for most of the run.
    paused = FaultStep(
        start=Duration(2 * SECOND), kind="pause", processes=["b-s1"], duration=Duration(9 * SECOND)
    )
    findings = findings_of(
        run_distribution_scenario(scenario, 2, [*region_steps(scenario), paused], faulty_programs)
    )
    for expected in (
        "a-d0 went back from version",
        "b-d1 applied half of tag",
        "which must be rejected",
        "b-d3 is at version",
    ):
        assert [finding for finding in findings if expected in finding], findings
    assert not [finding for finding in findings if "a-d4" in finding], findings


def test_checker_finds_a_server_that_sends_uncommitted_versions() -> None:
    # The leader is cut off from the other servers, but not from publishers and watchers, so it receives
    # requests that it cannot commit. The others elect a new leader and commit; publishers never retry.
    scenario = DistributionScenario(
        within=Duration(2 * SECOND),
        run_duration=Duration(12 * SECOND),
        publishers=4,
        publish_interval=Duration(100 * MILLISECOND),
        election_timeout=Duration(600 * MILLISECOND),
        retry_share=0.0,
        prefers_one_server=True,
        empty_folder_interval=Duration(0),
        leader_cut_interval=Duration(2400 * MILLISECOND),
    )
    findings = findings_of(
        run_distribution_scenario(
            scenario,
            3,
            region_steps(scenario),
            {name: [FAULTY, "sends_uncommitted"] for name in scenario.server_names()},
        )
    )
    assert [finding for finding in findings if "which was not committed" in finding], findings


def test_checker_finds_servers_that_ignore_the_expected_version_or_begin_anew() -> None:
    scenario = DistributionScenario(
        dispatchers=2,
        within=Duration(2 * SECOND),
        run_duration=Duration(8 * SECOND),
        publish_interval=Duration(300 * MILLISECOND),
        empty_folder_interval=Duration(3 * SECOND),
    )
    faulty_programs = {
        name: [FAULTY, "ignores_expected_version,restarts_as_new_cluster"] for name in scenario.server_names()
    }
    findings = findings_of(run_distribution_scenario(scenario, 4, region_steps(scenario), faulty_programs))
    for expected in ("all were committed", "and follows", "serves with an empty folder"):
        assert [finding for finding in findings if expected in finding], findings


def test_seed_gives_the_same_faults_and_a_calm_end() -> None:
    scenario = DistributionScenario(run_duration=Duration(60 * SECOND))
    steps = draw_distribution_timeline(scenario, 7)
    assert steps == draw_distribution_timeline(scenario, 7) != draw_distribution_timeline(scenario, 8)
    assert all(
        step.start + step.duration <= scenario.run_duration - scenario.calm_end_duration() for step in steps
    )
    copied = {step.processes[0] for step in steps if step.kind == "copy"}
    assert copied == set(scenario.dispatcher_names())
    assert min(step.start for step in steps if step.kind == "older") >= 2 * SECOND


@pytest.mark.parametrize(
    ("wrong", "key"),
    [
        ({"servers": 4}, "plan.servers"),
        ({"dispatchers": 0}, "plan.dispatchers"),
        ({"publishers": 99}, "plan.publishers"),
        ({"every": "0s"}, "plan.every"),
        ({"lasts": "20s"}, "plan.lasts"),
        ({"lasts": 20}, "plan"),
        ({"apart": "20s", "apart_at": "5s", "lasts": "30s"}, "plan.apart"),
        ({"unknown": 1}, "unknown"),
    ],
)
def test_invalid_experiment_is_rejected_with_its_key(wrong: dict[str, object], key: str) -> None:
    experiment = {"kind": "distribution", "name": "n", "seeds": [1], "plan": wrong}
    with pytest.raises(TimelineError, match=key):
        read_distribution_experiment(experiment)
    assert read_distribution_experiment({**experiment, "plan": {}}).scenario == DistributionScenario()


def test_command_names_the_key_of_an_invalid_experiment(tmp_path: Path) -> None:
    path = tmp_path / "wrong.toml"
    path.write_text('kind = "distribution"\nname = "wrong"\nseeds = [1]\n[plan]\nservers = 4\n')
    result = CliRunner().invoke(commands.testbed, ["run", str(path)])
    assert result.exit_code == 2 and "plan.servers: expected 3 or 5" in result.output


def test_growth_while_regions_are_apart_is_measured_on_its_own() -> None:
    scenario = DistributionScenario(
        run_duration=Duration(100 * SECOND),
        partition_start=Duration(20 * SECOND),
        partition_duration=Duration(60 * SECOND),
    )
    # The servers of one region grow by 1 byte/s and the folders by 10; the octet rate doubles afterwards.
    samples = [
        GrowthSample(at * SECOND, 1000 + at, 1000, 5000, 5000, 10 * at, 100 * at + 100 * max(0, at - 80))
        for at in range(0, 100, 5)
    ]
    metrics = growth_metrics(scenario, samples)
    assert metrics["apart_servers_a_grow_bytes"] == 45 and metrics["apart_servers_b_grow_bytes"] == 0
    assert metrics["apart_folders_grow_bytes"] == 450
    assert (metrics["before_octets_a_second"], metrics["healing_octets_a_second"]) == (100, 200)
    assert growth_metrics(DistributionScenario(), samples) == {}
