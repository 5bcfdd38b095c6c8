"""Tests of experiment files, results and the command line."""

import subprocess
import sys
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from ploverspoke.cli import main
from ploverspoke.testbed.capacity.fleet_size import read_fleet
from ploverspoke.testbed.experiment_files.errors import ExperimentError
from ploverspoke.testbed.experiment_files.fault_timeline import TimelineError
from ploverspoke.testbed.experiment_files.reader import parse_experiment, read_experiment
from ploverspoke.testbed.reports.comparison import compare_results, paired_difference
from ploverspoke.testbed.reports.experiment_result import read_result
from ploverspoke.testbed.reports.scores import merge_histograms
from ploverspoke.testbed.scale.scenario_file import read_scale_scenarios
from ploverspoke.testbed.scenarios.distribution_experiment import read_distribution_experiment
from ploverspoke.testbed.scenarios.experiment_runner import run_experiment
from ploverspoke.testbed.scenarios.lease_experiment import read_lease_experiment
from ploverspoke.testbed.scenarios.scale_experiment import scale_experiment
from tests.example_config import EXAMPLE_PATH
from tests.testbed.harness import SMALL_EXPERIMENT, small_experiment

SHIPPED_EXPERIMENTS = sorted((Path(__file__).parents[3] / "experiments").glob("*.toml"))


@pytest.mark.parametrize("path", SHIPPED_EXPERIMENTS, ids=lambda p: p.stem)
def test_shipped_experiment_is_valid_and_named_like_its_file(path: Path) -> None:
    document = tomllib.loads(path.read_text())
    if document.get("kind") == "fleet":
        fleet = read_fleet(path)
        table = read_scale_scenarios(fleet)
        assert fleet.name == path.stem and all(
            scale_experiment(fleet, table, scenario).seeds for scenario in table.scenarios
        )
        return
    readers: dict[str, Callable[[dict[str, Any]], Any]] = {
        "leases": read_lease_experiment,
        "distribution": read_distribution_experiment,
    }
    reader = readers.get(document.get("kind", ""))
    experiment = read_experiment(path) if reader is None else reader(document)
    assert experiment.name == path.stem and experiment.seeds


INVALID_CHANGES: list[tuple[dict[str, Any], str]] = [
    ({"lasts": "6 parsecs"}, "`lasts`"),
    ({"lasts": 6}, "with its unit"),
    ({"lastz": "6s"}, "`lastz`"),
    ({"workers": [{"count": 4, "slot": 2}]}, "`workers[0]`"),
    ({"workers": [{"count": 0}]}, "workers[0]"),
    ({"traffic": [{"rate": 10.0, "end": "7s"}]}, "traffic[0]: its period is empty or ends after the run"),
    (
        {"troubles": [{"what": "crash", "at": "5s", "lasts": "2s"}]},
        "troubles[0]: 'crash' ends after the run",
    ),
    ({"troubles": [{"what": "crush", "at": "5s", "lasts": "2s"}]}, "troubles[0]"),
    ({"troubles": [{"what": "hang", "at": "1s", "lasts": "1s", "workers": ["w9"]}]}, "troubles[0].workers"),
    ({"troubles": [{"what": "zone cut", "at": "1s", "lasts": "1s"}]}, "troubles[0].zone"),
    (
        {"troubles": [{"what": "dispatcher killed", "at": "1s", "lasts": "1s", "dispatchers": [2]}]},
        "dispatchers",
    ),
    ({"grades": [{"name": "a", "kind": "fast"}]}, "grades[0].kind"),
    ({"grades": [{"name": "a", "expected_time": "9s"}]}, "grades[0].expected_time"),
    ({"grades": [{"name": "a", "slots": {"9": 1.0}}]}, "grades[0].slots"),
    ({"must_hold": {"over": {"random": 0.1}}}, "must_hold.over.random"),
    ({"grades": [{"name": "a", "work": {"law": "pareto", "mean": "5ms", "shape": 1.0}}]}, "shape"),
]


@pytest.mark.parametrize(
    ("change", "expected"), INVALID_CHANGES, ids=lambda x: x if isinstance(x, str) else ""
)
def test_invalid_experiment_is_rejected_in_one_line_with_its_key(
    change: dict[str, Any], expected: str
) -> None:
    with pytest.raises(ExperimentError) as raised:
        parse_experiment({**SMALL_EXPERIMENT, **change})
    assert expected in str(raised.value) and "\n" not in str(raised.value)


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({"plan": {"names": {}}}, "plan.names"),
        ({"plan": {"names": {"one": 0}}}, "plan.names"),
        ({"plan": {"keepers": 4}}, "plan.keepers"),
        ({"plan": {"each": 2, "many": 1}}, "plan.each"),
        ({"plan": {"lasts": 6}}, "with its unit"),
        ({"plan": {"keeper": 3}}, "`keeper`"),
        ({"must_hold": {"gap": "soon"}}, "with its unit"),
    ],
)
def test_invalid_lease_experiment_is_rejected_with_its_key(change: dict[str, Any], expected: str) -> None:
    with pytest.raises(TimelineError) as raised:
        read_lease_experiment({"kind": "leases", "name": "x", "seeds": [1], **change})
    assert expected in str(raised.value)


def test_result_is_written_and_read_back(tmp_path: Path) -> None:
    experiment = small_experiment(
        seeds=[1, 2], policies=["ours", "random"], must_hold={"service": 0.5, "over": {"random": 2.0}}
    )
    result = run_experiment(experiment, "virtual", tmp_path)
    assert len(result.held) == 2 and "over random" in result.failed[0]
    read_back = read_result(tmp_path)
    assert read_back.runs == result.runs
    score = read_back.runs[0].request_classes["look"]
    assert merge_histograms([score.histogram]).get_total_count() == score.timely + score.overdue
    rows = compare_results(read_back, read_back, "random", "ours")
    assert rows[0].metric == "service" and rows[0].pairs == 2


def test_confidence_interval_needs_more_than_one_pair() -> None:
    assert not paired_difference("x", [(1.0, 2.0)]).is_clear()
    assert paired_difference("x", [(1.0, 2.0), (1.1, 2.1), (0.9, 1.9)]).is_clear()


def write_file(path: Path, text: str) -> str:
    path.write_text(text)
    return str(path)


def test_exit_codes_tell_met_failed_and_invalid_experiments_apart(tmp_path: Path) -> None:
    small = """
        name = "small"
        lasts = "2s"
        seeds = [1]
        grades = [{name = "look"}]
        workers = [{count = 2}]
        traffic = [{rate = 20}]
    """
    runner = CliRunner()
    met = runner.invoke(
        main, ["testbed", "run", write_file(tmp_path / "a.toml", small), "--out", str(tmp_path / "out")]
    )
    assert met.exit_code == 0 and "held:" in met.output
    suffixes = {p.suffix for p in (tmp_path / "out").iterdir()}
    assert suffixes == {".json", ".svg", ".hgrm"}
    failing = small + "\n[must_hold]\nservice = 1.1\n"
    failed = runner.invoke(main, ["testbed", "run", write_file(tmp_path / "b.toml", failing)])
    assert failed.exit_code == 1 and "FAILED: service" in failed.output
    invalid = runner.invoke(main, ["testbed", "run", write_file(tmp_path / "c.toml", small + "\nlater = 1")])
    assert invalid.exit_code == 2 and "later" in invalid.output
    unknown_policy = runner.invoke(main, ["testbed", "run", str(tmp_path / "a.toml"), "--policy", "psychic"])
    assert unknown_policy.exit_code == 2 and "psychic" in unknown_policy.output


def test_check_reports_the_key_of_an_invalid_configuration(tmp_path: Path) -> None:
    runner = CliRunner()
    assert runner.invoke(main, ["check", str(EXAMPLE_PATH)]).exit_code == 0
    invalid = write_file(tmp_path / "wrong.json", EXAMPLE_PATH.read_text().replace('"free"', '"often"'))
    rejected = runner.invoke(main, ["check", invalid])
    assert rejected.exit_code == 2 and "Repeat is 'often'" in rejected.output


def test_start_of_the_dispatcher_does_not_import_the_testbed() -> None:
    program = "import sys, ploverspoke.service.service; print(*sys.modules)"
    modules = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, check=True)
    imported = set(modules.stdout.split())
    for package in ("click", "msgspec", "numpy", "rich", "matplotlib"):
        assert package not in imported
    # Only its own packages are imported: no store, no leases, no consensus.
    assert {name.split(".")[1] for name in imported if name.startswith("ploverspoke.")} == {
        "decisions",
        "protocol",
        "routing",
        "service",
        "transport",
    }


def test_the_fakes_share_no_code_with_the_program() -> None:
    # With shared parsers, they would share the program's bugs and not detect them.
    program = "import sys, ploverspoke.testbed.{}; print(*sys.modules)"
    checkers = ("checkers.lease_checker", "checkers.distribution_checker", "checkers.request_audit")
    for module in (
        *(
            f"fakes.{name}"
            for name in (
                "worker_server",
                "discovery_server",
                "client_process",
                "instant_workers",
                "load_generator",
                "recording_workers",
                "persistent_clients",
                "faulty_discovery",
            )
        ),
        "fakes.protected_resource",
        *checkers,
        "processes.tcp_proxy",
    ):
        command = [sys.executable, "-c", program.format(module)]
        modules = subprocess.run(command, capture_output=True, text=True, check=True).stdout.split()
        program_modules = {
            m for m in modules if m.startswith("ploverspoke.") and not m.startswith("ploverspoke.testbed")
        }
        assert program_modules == set()
