"""The capacity table: fleet file, estimates from measured costs, verdicts, unmet requirements, the page."""

import re
import tomllib
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner

from ploverspoke.cli import main
from ploverspoke.testbed.capacity.budgets import SCOPE_CONTROL, SCOPE_PROGRESS, SCOPE_STARTS, SCOPE_WATCHED
from ploverspoke.testbed.capacity.estimate import Limit, estimate, load_at_limit
from ploverspoke.testbed.capacity.fleet_size import FleetFileError, parse_fleet, read_fleet
from ploverspoke.testbed.capacity.machines import (
    assess_losses,
    place_machines,
    region_splits,
    survives_with_third_site,
)
from ploverspoke.testbed.capacity.measured_costs import (
    CostPerUnit,
    MeasuredCosts,
    read_measured_costs,
    write_measured_costs,
)
from ploverspoke.testbed.capacity.requirement import Need, Requirement
from ploverspoke.testbed.capacity.scenario_results import (
    NO_RESULTS,
    ScenarioResult,
    ScenarioResults,
    read_scenario_results,
)
from ploverspoke.testbed.capacity.table import CapacityTable, make_table, order_missing
from ploverspoke.testbed.capacity.workload import ORDINARY, PEAK, REGIONS_APART, ZONE, Amount, workload
from ploverspoke.testbed.reports.capacity_page.page import (
    BEGIN,
    END,
    CapacityPageError,
    render_markdown,
    replace_between_markers,
    text_between_markers,
)

ROOT = Path(__file__).parents[3]
FLEET = ROOT / "experiments/fleet-ahead.toml"
SLOPES = ROOT / "experiments/fleet-ahead-slopes.json"
RESULTS = ROOT / "experiments/fleet-ahead-plays.json"
PAGE = ROOT / "docs/CAPACITY.md"


def fleet_document(table: str, key: str, value: object) -> dict[str, Any]:
    document = tomllib.loads(FLEET.read_text())
    document[table][key] = value
    return document


@pytest.mark.parametrize(
    ("table", "key", "value"),
    [
        ("size", "worker", 980),  # unknown
        ("size", "workers", 0),
        ("size", "workers", -3),
        ("size", "workers", "many"),
        ("size", "dispatchers", []),
        ("size", "dispatchers", [200, 0]),
        ("size", "urgent_starts_within", 3.4),  # without its unit
        ("size", "urgent_starts_within", "3.4h"),
        ("size", "urgent_starts_within", "0s"),
        ("size", "regions", 8),
        ("size", "largest_gang", 4801),
        ("budget", "core_share", 0.0),
        ("budget", "memory", 64),
        ("budget", "bytes_a_second", -1.0),
        ("failures", "zone_every_days", 0.0),
        ("failures", "regions_apart", "1 hour"),
        ("failures", "racks", 1),
    ],
)
def test_invalid_fleet_file_is_rejected_with_the_key(table: str, key: str, value: object) -> None:
    with pytest.raises(FleetFileError) as error:
        parse_fleet(fleet_document(table, key, value))
    assert key in str(error.value) and "\n" not in str(error.value)


def test_missing_key_and_another_kind_are_rejected() -> None:
    document = tomllib.loads(FLEET.read_text())
    del document["budget"]["memory_mb"]
    with pytest.raises(FleetFileError, match="memory_mb"):
        parse_fleet(document)
    with pytest.raises(FleetFileError, match="kind"):
        parse_fleet({**tomllib.loads(FLEET.read_text()), "kind": "leases"})


def line(metric: str, load: str, points: list[tuple[float, float]], **more: Any) -> CostPerUnit:
    """Return a cost whose line goes through the first and the last point."""
    (x0, y0), (x1, y1) = points[0], points[-1]
    slope = (y1 - y0) / (x1 - x0)
    fit = {"intercept": y0 - slope * x0, "slope": slope, "residual": 0.0, "contradicted": False, "unit": "-"}
    defaults = {"role": "dispatcher", "metric": metric, "load": load, "points": points, "max_load": x1}
    return CostPerUnit(**{**defaults, **fit, **more})


def costs(*lines: CostPerUnit) -> MeasuredCosts:
    return MeasuredCosts(format=1, date="2026-12-02", commit="abc", machine="made up", lines=list(lines))


def load_amounts(**amounts: float) -> dict[str, Amount]:
    return {name: Amount(value, "stated") for name, value in amounts.items()}


# 0.00001 for each listed worker, and a base of 0.
LISTED = line("core_share", "workers_listed", [(100.0, 0.001), (300.0, 0.003)])
STARTED = line(
    "core_share", "starts_a_second", [(0.0, 0.001), (4.0, 0.009)], fixed_amounts={"workers_listed": 100}
)
WITH_PROGRESS = line(
    "core_share",
    "tasks_running",
    [(0.0, 0.001), (20.0, 0.011)],
    fixed_amounts={"workers_listed": 100, "progress": 1},
)
WITHOUT_PROGRESS = line(
    "core_share",
    "tasks_running",
    [(0.0, 0.001), (20.0, 0.001)],
    fixed_amounts={"workers_listed": 100, "progress": 0},
)


def test_estimate_is_the_base_and_each_cost_times_its_amount() -> None:
    found = estimate(
        costs(LISTED, STARTED, WITH_PROGRESS, WITHOUT_PROGRESS), "dispatcher", "core_share",
        load_amounts(workers_listed=980, starts_a_second=0.6, tasks_running=24),
    )  # fmt: skip
    # 980 x 0.00001 + 0.6 x 0.002 + 24 x 0.0005. The base is 0, as 100 listed workers cost the whole 0.001.
    assert found.value == pytest.approx(0.0098 + 0.0012 + 0.012)
    assert found.origin == "worked out" and not found.missing and not found.contradicted
    assert found.extrapolated == [
        "workers_listed: measured to 300, used at 980", "tasks_running: measured to 20, used at 24"
    ]  # fmt: skip


def test_cost_with_or_without_progress_reports_is_chosen() -> None:
    both, at = costs(WITH_PROGRESS, WITHOUT_PROGRESS), load_amounts(tasks_running=20)
    assert estimate(both, "dispatcher", "core_share", at, True).value == pytest.approx(0.011)
    assert estimate(both, "dispatcher", "core_share", at, False).value == pytest.approx(0.001)


def test_cost_with_the_largest_fixed_amounts_is_chosen() -> None:
    three = line(
        "core_share", "holders", [(0.0, 0.01), (100.0, 0.02)], role="keeper", fixed_amounts={"keepers": 3}
    )
    five = line(
        "core_share", "holders", [(0.0, 0.01), (100.0, 0.03)], role="keeper", fixed_amounts={"keepers": 5}
    )
    for both in (costs(three, five), costs(five, three)):
        assert estimate(both, "keeper", "core_share", load_amounts(holders=100)).value == 0.03


def test_cost_measured_with_fewer_voters_is_scaled() -> None:
    three = line(
        "core_share", "watchers", [(0.0, 0.0), (9.0, 0.9)], role="config server", fixed_amounts={"servers": 3}
    )
    found = estimate(costs(three), "config server", "core_share", load_amounts(watchers=9))
    assert found.extrapolated == ["servers: measured to 3, used at 5"]


def test_cost_of_a_watch_is_a_difference_of_two_dispatchers() -> None:
    by_list = line("core_share", "workers_listed", [(100.0, 0.001), (980.0, 0.0098)])
    watch = line(
        "core_share", "changes_a_minute", [(0.0, 0.002), (60.0, 0.008)],
        role="dispatcher watching configuration", fixed_amounts={"workers_listed": 100},
    )  # fmt: skip
    table = table_of(costs(by_list, watch))
    at_peak = next(row for row in table.budget if (row.scope, row.situation) == (SCOPE_WATCHED, PEAK))
    # A quarter of 680 changes falls into one hour; the list has 980 workers; the watch itself costs 0.001.
    assert at_peak.core.value == pytest.approx(0.0098 + 0.001 + 680 / 4 / 60 * 0.0001)
    assert "control with a watch 1.11% of a core" in table.requirement("changes").design


def test_absent_load_adds_no_cost_and_no_fixed_amounts() -> None:
    gossip = line("core_share", "peers_telling", [(3.0, 0.02), (31.0, 0.03)])
    found = estimate(
        costs(LISTED, gossip), "dispatcher", "core_share", load_amounts(workers_listed=100, peers_telling=0)
    )
    assert found.value == 0.001


def test_metric_of_some_roles_is_shown_with_its_amount() -> None:
    seen = line(
        "messages_in_worst_second", "dispatchers", [(10.0, 40.0), (40.0, 160.0)],
        role="discovery", fixed_amounts={"zone_lost_workers": 140},
    )  # fmt: skip
    table = table_of(costs(seen))
    assert table.role_metrics[0].estimates[400].value == pytest.approx(1600)
    assert table.role_metrics[0].estimates[400].extrapolated == ["dispatchers: measured to 40, used at 400"]
    assert "| 140 zone lost workers | 800 a* | 1,600 a* |" in render_markdown(table, costs(seen), NO_RESULTS)


def test_estimate_at_a_measured_amount_is_measured_and_an_assumed_amount_is_reported() -> None:
    point = estimate(costs(LISTED), "dispatcher", "core_share", load_amounts(workers_listed=300))
    assert (point.value, point.origin) == (0.003, "measured")
    assumed = estimate(costs(LISTED), "dispatcher", "core_share", {"workers_listed": Amount(200, "assumed")})
    assert assumed.origin == "assumed"


def test_unmeasured_cost_is_reported_and_never_zero() -> None:
    not_measured = estimate(costs(LISTED), "keeper", "core_share", load_amounts(holders=3))
    assert (not_measured.value, not_measured.origin) == (None, "not measured")
    partly_measured = estimate(
        costs(LISTED), "dispatcher", "core_share", load_amounts(workers_listed=300, peers_telling=2)
    )
    assert partly_measured.missing == ["core_share by peers_telling"]
    without_peers = estimate(
        costs(LISTED), "dispatcher", "core_share", load_amounts(workers_listed=300, peers_telling=0)
    )
    assert not without_peers.missing
    table = table_of(costs(LISTED))
    assert all(row.bytes.value is None and row.verdict == "not measured" for row in table.budget)
    assert "keeper: bytes, core, growth, memory, messages" in render_markdown(
        table, costs(LISTED), NO_RESULTS
    )


def test_contradicted_fit_is_reported_and_the_highest_measured_ratio_used() -> None:
    points = [(0.0, 0.0), (1.0, 0.006), (4.0, 0.008)]
    contradicted = line("core_share", "starts_a_second", points, residual=0.67, contradicted=True)
    found = estimate(costs(contradicted), "dispatcher", "core_share", load_amounts(starts_a_second=4))
    assert found.value == pytest.approx(0.024) and found.origin == "worked out"
    assert "residual 67%, the worst measured ratio" in found.contradicted[0]
    text = render_markdown(table_of(costs(contradicted)), costs(contradicted), NO_RESULTS)
    assert found.contradicted[0] in text and "w!" in text


def test_falling_fit_counts_as_its_highest_point() -> None:
    falling = line("memory_bytes", "workers_listed", [(100.0, 31e6), (300.0, 30e6)])
    assert (
        estimate(costs(falling), "dispatcher", "memory_bytes", load_amounts(workers_listed=980)).value
        == 31.5e6
    )


def test_load_at_the_limit_is_solved_and_not_extrapolated_too_far() -> None:
    at = load_amounts(workers_listed=100, starts_a_second=0.1)
    both = costs(LISTED, STARTED)
    load = load_at_limit(both, "dispatcher", Limit("core_share", "starts_a_second", 0.012), at)
    assert load == pytest.approx((0.012 - 0.001) / 0.002)
    assert load_at_limit(both, "dispatcher", Limit("core_share", "starts_a_second", 1.0), at) is None
    assert load_at_limit(both, "dispatcher", Limit("memory_bytes", "starts_a_second", 1.0), at) is None


# ---- The planned fleet ----


def table_of(measured: MeasuredCosts, results: ScenarioResults = NO_RESULTS) -> CapacityTable:
    return make_table(read_fleet(FLEET), measured, results)


def test_workload_of_a_dispatcher_matches_a_calculation_by_hand() -> None:
    fleet = read_fleet(FLEET)
    peak = workload(fleet, 200, PEAK)["dispatcher"]
    assert peak["tasks_running"].value == 24 and peak["starts_a_second"].value == pytest.approx(0.6)
    # 9,400 jobs a day of at most 64 tasks each, over 200 dispatchers.
    ordinary = workload(fleet, 200, ORDINARY)["dispatcher"]["starts_a_second"]
    assert ordinary.value == pytest.approx(9400 * 64 / 86400 / 200) and ordinary.origin == "assumed"
    # A lost zone takes 140 of 980 workers and 29 of 200 dispatchers; 685.7 tasks start again within a minute.
    zone = workload(fleet, 200, ZONE)["dispatcher"]
    assert zone["starts_a_second"].value == pytest.approx((120 + 4800 / 7 / 60) / 171)
    assert zone["list_changes_a_second"].value == pytest.approx(140 / 60)
    assert workload(fleet, 200, REGIONS_APART)["dispatcher"]["list_changes_a_second"].value == pytest.approx(
        560 / 60
    )


def test_budget_is_compared_with_the_control_share() -> None:
    table = table_of(costs(LISTED, STARTED, WITH_PROGRESS, WITHOUT_PROGRESS))
    core = {(row.scope, row.dispatchers, row.situation): row for row in table.budget}
    assert core[SCOPE_CONTROL, 200, PEAK].core.value == pytest.approx(0.0098)
    assert core[SCOPE_STARTS, 200, PEAK].core.value == pytest.approx(0.0098 + 0.6 * 0.002)
    assert core[SCOPE_PROGRESS, 200, PEAK].core.value == pytest.approx(0.0098 + 0.6 * 0.002 + 24 * 0.0005)
    assert core[SCOPE_PROGRESS, 200, PEAK].verdict == "over budget"
    assert core[SCOPE_STARTS, 200, PEAK].verdict == "not measured"  # memory and bytes were not measured
    assert table.requirement("progress").verdict == "over budget"


def test_budget_kept_by_less_than_the_error_of_the_fits_is_too_close_to_call() -> None:
    """24 tasks x 0.000490 are 0.01176 of the allowed 0.012: within it, but by less than a tenth."""
    traffic = [line(name, "tasks_running", [(0.0, 0.0), (48.0, 9.0)]) for name in ("bytes_in", "bytes_out")]
    memory = line("memory_bytes", "tasks_running", [(0.0, 30e6), (48.0, 31e6)])

    def verdict(residual: float) -> set[str]:
        core = line("core_share", "tasks_running", [(0.0, 0.0), (48.0, 0.02352)], residual=residual)
        table = table_of(costs(core, memory, *traffic))
        return {row.verdict for row in table.budget if (row.scope, row.dispatchers) == (SCOPE_PROGRESS, 200)}

    assert verdict(0.1) == {"too close to call"}
    assert verdict(0.01) == {"not measured"}  # no line covers starts, the list or new settings


def test_with_five_voters_in_two_regions_the_loss_of_one_region_loses_the_quorum() -> None:
    machines = place_machines(read_fleet(FLEET))
    voters = [machine for machine in machines if "keeper" in machine.roles]
    assert len(machines) == 8 and len(voters) == len({voter.zone for voter in voters}) == 5
    has_majority = {loss.lost: loss.has_majority for loss in assess_losses(machines)}
    assert has_majority["any two machines"] and all(has_majority[f"zone z{n}"] for n in range(1, 8))
    assert not has_majority["region r1"] and has_majority["region r2"]
    assert not any(first and second for _, _, first, second in region_splits()) and survives_with_third_site()


def requirement(key: str, verdict: str, priority: str, *needs: str) -> Requirement:
    texts = {"statement": key, "demand": "", "design": "", "mechanism": "", "basis": "", "limit": ""}
    return Requirement(
        key=key, verdict=verdict, priority=priority, needs=[Need(other, "") for other in needs], **texts
    )  # fmt: skip


def test_missing_requirements_are_sorted_by_class_and_by_dependents() -> None:
    rows = [
        requirement("zone", "fails", "c", "table"),
        requirement("core", "over budget", "b", "table"),
        requirement("gangs", "missing", "a", "quotas"),
        requirement("quotas", "missing", "a", "table"),
        requirement("table", "missing", "a"),
        requirement("urgent", "not measured", "a", "quotas"),
        requirement("workers", "holds", "a"),
        requirement("regions", "missing", "c"),
    ]
    ordered = order_missing(rows)
    assert [missing.requirement_key for missing in ordered] == [
        "table",
        "quotas",
        "gangs",
        "core",
        "zone",
        "regions",
    ]
    assert ordered[0].needed_by == ["zone", "core", "quotas"]
    assert [missing.requirement_key for missing in order_missing(rows[::-1])][:2] == ["table", "quotas"]


def test_for_the_planned_fleet_changes_are_missing_first_then_quotas_then_gangs() -> None:
    assert [missing.requirement_key for missing in table_of(costs()).missing][:3] == [
        "changes",
        "quotas",
        "gangs",
    ]


def test_row_of_config_distribution_is_shown_before_and_after_its_measurement() -> None:
    server = line("core_share", "watchers", [(10.0, 0.001), (400.0, 0.02)], role="config server")
    held = ["changes in force at the last dispatcher within 10000 ms"]
    run = ScenarioResult(scenario="many changes, from config servers", seed=1, dispatchers=50, held=held)
    by_signals = ScenarioResult(scenario="many changes, by signals", seed=1, dispatchers=50, failed=held)
    results = ScenarioResults(
        format=1, date="2026-12-02", commit="abc", machine="made up", runs=[run, by_signals]
    )
    table = table_of(costs(server), results)
    text = render_markdown(table, costs(server), results)
    assert "Before, 680 changes of configuration a day, applied within 10 s: missing, carried by none" in text
    assert table.missing[0].requirement_key == "changes"
    assert table.missing_now[0].requirement_key == "quotas"
    assert table.requirement("changes").verdict == "holds for less than asked"
    peak_load = {"starts_a_second": 118.0, "tasks_running": 4800.0}
    run_at_peak = msgspec.structs.replace(run, dispatchers=200, metrics=peak_load)
    results_at_peak = msgspec.structs.replace(results, runs=[run_at_peak])
    assert table_of(costs(server), results_at_peak).requirement("changes").verdict == "holds"
    assert table_of(costs(server)).requirement("changes").verdict == "not measured"


def test_failed_or_void_scenario_is_reported() -> None:
    failed = ScenarioResult(
        scenario="zone lost", seed=1, dispatchers=50, failed=["urgent work began within 3.4 s: 3.9 s"]
    )
    void = ScenarioResult(
        scenario="rack", seed=1, dispatchers=50, void="the machine was too slow", held=["all"]
    )
    results = ScenarioResults(
        format=1, date="2026-12-02", commit="abc", machine="made up", runs=[failed, void]
    )
    table = table_of(costs(), results)
    assert table.requirement("zone").verdict == "fails" and "3.9 s" in table.requirement("zone").design
    assert (
        table.requirement("rack").verdict == "not measured" and "too slow" in table.requirement("rack").design
    )
    assert "zone" in [missing.requirement_key for missing in table.missing]


def test_run_at_half_of_the_peak_is_neither_failure_nor_proof() -> None:
    metrics: dict[str, float | None] = {"starts_a_second": 60.0, "tasks_running": 2400.0}
    half = ScenarioResult(
        scenario="peak minute, half of it", seed=1, dispatchers=100, metrics=metrics,
        held=["urgent work begun within 3400 ms", "no broken rule (0 found)"],
    )  # fmt: skip
    results = ScenarioResults(format=1, date="2026-12-02", commit="abc", machine="made up", runs=[half])
    table = table_of(costs(), results)
    for key in ("workers", "starts", "tasks", "urgent", "zones"):
        assert table.requirement(key).verdict == "holds for less than asked", key
    whole = msgspec.structs.replace(half, scenario="peak minute")
    table = table_of(costs(), msgspec.structs.replace(results, runs=[half, whole]))
    assert table.requirement("starts").verdict == "fails" and "60" in table.requirement("starts").design


def test_rows_name_existing_modules_and_pages() -> None:
    for row in table_of(costs()).requirements:
        text = row.mechanism + row.design
        for name in re.findall(r"`([a-z_]+/[a-z_./-]*|docs/[\w.-]+)`", text):
            assert (ROOT / name).exists() or (ROOT / "ploverspoke" / name).exists(), (row.key, name)


# ---- The command and the page ----


def call(*words: str) -> tuple[int, str]:
    result = CliRunner().invoke(main, ["testbed", "capacity", *words])
    return result.exit_code, result.output


def test_command_writes_between_the_markers_and_reports_what_is_not_met(tmp_path: Path) -> None:
    file, page = tmp_path / "slopes.json", tmp_path / "page.md"
    write_measured_costs(costs(LISTED), file)
    page.write_text(f"before\n{BEGIN}\nstale\n{END}\nafter\n")
    code, output = call(str(file), "--size", str(FLEET), "--write", str(page))
    assert code == 1 and "was not measured: workers, starts, tasks, gangs" in output
    text = page.read_text()
    assert text.startswith("before\n") and text.endswith("\nafter\n") and "stale" not in text
    assert text_between_markers(text) == render_markdown(table_of(costs(LISTED)), costs(LISTED), NO_RESULTS)
    code, output = call(str(file), "--size", str(FLEET), "--json")
    assert code == 1 and '"missing_now"' in output


def test_invalid_file_or_page_is_rejected(tmp_path: Path) -> None:
    file, size, page = tmp_path / "slopes.json", tmp_path / "size.toml", tmp_path / "page.md"
    write_measured_costs(costs(LISTED), file)
    size.write_text(FLEET.read_text().replace("workers = 980", "workers = 0"))
    page.write_text("no markers\n")
    for words, message in (
        ((str(file), "--size", str(size)), "size.workers"),
        ((str(size), "--size", str(FLEET)), "no slopes"),
        ((str(file), "--size", str(FLEET), "--plays", str(size)), "no plays"),
        ((str(file), "--size", str(FLEET), "--write", str(page)), "expected <!--"),
        ((str(tmp_path / "none.json"),), "does not exist"),
    ):
        code, output = call(*words)
        assert code == 2 and message in output, output
    assert page.read_text() == "no markers\n"
    with pytest.raises(CapacityPageError):
        replace_between_markers(f"{END} {BEGIN}", "")


def test_page_matches_its_input_files() -> None:
    """Its text outside the markers contains only figures that also occur in the table or the fleet file."""
    measured = read_measured_costs(SLOPES)
    results = read_scenario_results(RESULTS) if RESULTS.exists() else NO_RESULTS
    page = PAGE.read_text()
    text = render_markdown(table_of(measured, results), measured, results)
    assert text_between_markers(page) == text, (
        "ploverspoke testbed capacity SLOPES --plays PLAYS --write docs/CAPACITY.md"
    )
    answer = text.partition("## The answer\n")[2].partition("\n## ")[0]
    assert answer.count("\n") < 25
    numbers = re.compile(r"\d+(?:[.,]\d+)*")
    known = set(numbers.findall(text + FLEET.read_text()))
    prose = re.sub(
        r"^\d+\. ", "", replace_between_markers(page, ""), flags=re.MULTILINE
    )  # without the numbers of list items
    assert not [figure for figure in numbers.findall(prose) if figure not in known]
