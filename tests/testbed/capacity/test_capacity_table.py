"""The table of a fleet's size: its file, figures from slopes, verdicts, what is missing first, the page."""

import re
import tomllib
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner

from ploverspoke.cli import main
from ploverspoke.testbed.capacity.budgets import CONTROL, PROGRESS, STARTS, WATCHED
from ploverspoke.testbed.capacity.estimate import Limit, estimate, load_at_limit
from ploverspoke.testbed.capacity.fleet_size import FleetFileError, parse_fleet, read_fleet
from ploverspoke.testbed.capacity.machines import layout, losses, region_splits, survives_with_third_site
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
from ploverspoke.testbed.capacity.workload import APART, ORDINARY, PEAK, ZONE, Amount, workload
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
PLAYS = ROOT / "experiments/fleet-ahead-plays.json"
PAGE = ROOT / "docs/CAPACITY.md"


def fleet_document(table: str, key: str, value: object) -> dict[str, Any]:
    whole = tomllib.loads(FLEET.read_text())
    whole[table][key] = value
    return whole


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
def test_a_wrong_fleet_file_names_the_key(table: str, key: str, value: object) -> None:
    with pytest.raises(FleetFileError) as error:
        parse_fleet(fleet_document(table, key, value))
    assert key in str(error.value) and "\n" not in str(error.value)


def test_a_missing_key_and_another_kind_are_named() -> None:
    whole = tomllib.loads(FLEET.read_text())
    del whole["budget"]["memory_mb"]
    with pytest.raises(FleetFileError, match="memory_mb"):
        parse_fleet(whole)
    with pytest.raises(FleetFileError, match="kind"):
        parse_fleet({**tomllib.loads(FLEET.read_text()), "kind": "leases"})


def line(metric: str, load: str, points: list[tuple[float, float]], **more: Any) -> CostPerUnit:
    """Through its first and last point."""
    (x0, y0), (x1, y1) = points[0], points[-1]
    slope = (y1 - y0) / (x1 - x0)
    fit = {"intercept": y0 - slope * x0, "slope": slope, "residual": 0.0, "contradicted": False, "unit": "-"}
    given = {"role": "dispatcher", "metric": metric, "load": load, "points": points, "max_load": x1}
    return CostPerUnit(**{**given, **fit, **more})


def costs(*lines: CostPerUnit) -> MeasuredCosts:
    return MeasuredCosts(format=1, date="2026-12-02", commit="abc", machine="made up", lines=list(lines))


def sizes(**amounts: float) -> dict[str, Amount]:
    return {name: Amount(value, "stated") for name, value in amounts.items()}


LISTED = line("core_share", "workers_listed", [(100.0, 0.001), (300.0, 0.003)])  # 0.00001 each, from 0
STARTED = line(
    "core_share", "starts_a_second", [(0.0, 0.001), (4.0, 0.009)], fixed_amounts={"workers_listed": 100}
)
TOLD = line(
    "core_share",
    "tasks_running",
    [(0.0, 0.001), (20.0, 0.011)],
    fixed_amounts={"workers_listed": 100, "progress": 1},
)
QUIET = line(
    "core_share",
    "tasks_running",
    [(0.0, 0.001), (20.0, 0.001)],
    fixed_amounts={"workers_listed": 100, "progress": 0},
)


def test_a_figure_is_the_base_and_each_slope_times_its_size() -> None:
    found = estimate(
        costs(LISTED, STARTED, TOLD, QUIET), "dispatcher", "core_share",
        sizes(workers_listed=980, starts_a_second=0.6, tasks_running=24),
    )  # fmt: skip
    # 980 x 0.00001 + 0.6 x 0.002 + 24 x 0.0005, and no base: a hundred listed workers are all of 0.001.
    assert found.value == pytest.approx(0.0098 + 0.0012 + 0.012)
    assert found.origin == "worked out" and not found.missing and not found.contradicted
    assert found.extrapolated == [
        "workers_listed: measured to 300, used at 980", "tasks_running: measured to 20, used at 24"
    ]  # fmt: skip


def test_of_two_lines_the_one_with_or_without_progress_reports_counts() -> None:
    both, at = costs(TOLD, QUIET), sizes(tasks_running=20)
    assert estimate(both, "dispatcher", "core_share", at, True).value == pytest.approx(0.011)
    assert estimate(both, "dispatcher", "core_share", at, False).value == pytest.approx(0.001)


def test_of_several_lines_the_one_beside_which_most_else_stood_counts() -> None:
    three = line(
        "core_share", "holders", [(0.0, 0.01), (100.0, 0.02)], role="keeper", fixed_amounts={"keepers": 3}
    )
    five = line(
        "core_share", "holders", [(0.0, 0.01), (100.0, 0.03)], role="keeper", fixed_amounts={"keepers": 5}
    )
    for both in (costs(three, five), costs(five, three)):
        assert estimate(both, "keeper", "core_share", sizes(holders=100)).value == 0.03


def test_what_was_measured_with_fewer_voters_is_stretched() -> None:
    three = line(
        "core_share", "watchers", [(0.0, 0.0), (9.0, 0.9)], role="config server", fixed_amounts={"servers": 3}
    )
    found = estimate(costs(three), "config server", "core_share", sizes(watchers=9))
    assert found.extrapolated == ["servers: measured to 3, used at 5"]


def test_what_a_watch_adds_is_a_dispatcher_with_it_less_the_same_without() -> None:
    by_list = line("core_share", "workers_listed", [(100.0, 0.001), (980.0, 0.0098)])
    watch = line(
        "core_share", "changes_a_minute", [(0.0, 0.002), (60.0, 0.008)],
        role="dispatcher watching configuration", fixed_amounts={"workers_listed": 100},
    )  # fmt: skip
    table = table_of(costs(by_list, watch))
    at_peak = next(row for row in table.budget if (row.scope, row.situation) == (WATCHED, PEAK))
    # A quarter of 680 changes in an hour; the list at 980, and 0.001 that a watch takes by itself.
    assert at_peak.core.value == pytest.approx(0.0098 + 0.001 + 680 / 4 / 60 * 0.0001)
    assert "control with a watch 1.11% of a core" in table.requirement("changes").design


def test_what_is_not_there_adds_nothing_neither_does_the_world_of_its_line() -> None:
    telling = line("core_share", "peers_telling", [(3.0, 0.02), (31.0, 0.03)])
    found = estimate(
        costs(LISTED, telling), "dispatcher", "core_share", sizes(workers_listed=100, peers_telling=0)
    )
    assert found.value == 0.001


def test_a_figure_of_some_roles_only_is_shown_along_its_size() -> None:
    seen = line(
        "messages_in_worst_second", "dispatchers", [(10.0, 40.0), (40.0, 160.0)],
        role="discovery", fixed_amounts={"zone_lost_workers": 140},
    )  # fmt: skip
    table = table_of(costs(seen))
    assert table.role_metrics[0].estimates[400].value == pytest.approx(1600)
    assert table.role_metrics[0].estimates[400].extrapolated == ["dispatchers: measured to 40, used at 400"]
    assert "| 140 zone lost workers | 800 a* | 1,600 a* |" in render_markdown(table, costs(seen), NO_RESULTS)


def test_what_was_read_at_that_very_size_is_measured_and_an_assumed_size_is_said() -> None:
    point = estimate(costs(LISTED), "dispatcher", "core_share", sizes(workers_listed=300))
    assert (point.value, point.origin) == (0.003, "measured")
    assumed = estimate(costs(LISTED), "dispatcher", "core_share", {"workers_listed": Amount(200, "assumed")})
    assert assumed.origin == "assumed"


def test_what_was_not_measured_is_named_and_never_nought() -> None:
    nothing = estimate(costs(LISTED), "keeper", "core_share", sizes(holders=3))
    assert (nothing.value, nothing.origin) == (None, "not measured")
    part = estimate(costs(LISTED), "dispatcher", "core_share", sizes(workers_listed=300, peers_telling=2))
    assert part.missing == ["core_share by peers_telling"]
    none_of_it = estimate(
        costs(LISTED), "dispatcher", "core_share", sizes(workers_listed=300, peers_telling=0)
    )
    assert not none_of_it.missing
    table = table_of(costs(LISTED))
    assert all(row.bytes.value is None and row.verdict == "not measured" for row in table.budget)
    assert "keeper: bytes, core, growth, memory, messages" in render_markdown(
        table, costs(LISTED), NO_RESULTS
    )


def test_a_contradicted_fit_is_said_and_the_worst_measured_ratio_taken() -> None:
    points = [(0.0, 0.0), (1.0, 0.006), (4.0, 0.008)]
    bad = line("core_share", "starts_a_second", points, residual=0.67, contradicted=True)
    found = estimate(costs(bad), "dispatcher", "core_share", sizes(starts_a_second=4))
    assert found.value == pytest.approx(0.024) and found.origin == "worked out"
    assert "residual 67%, the worst measured ratio" in found.contradicted[0]
    text = render_markdown(table_of(costs(bad)), costs(bad), NO_RESULTS)
    assert found.contradicted[0] in text and "w!" in text


def test_a_fit_that_falls_counts_as_its_highest_point() -> None:
    falls = line("memory_bytes", "workers_listed", [(100.0, 31e6), (300.0, 30e6)])
    assert estimate(costs(falls), "dispatcher", "memory_bytes", sizes(workers_listed=980)).value == 31.5e6


def test_where_todays_design_stops_is_solved_and_not_told_from_afar() -> None:
    at = sizes(workers_listed=100, starts_a_second=0.1)
    both = costs(LISTED, STARTED)
    stop = load_at_limit(both, "dispatcher", Limit("core_share", "starts_a_second", 0.012), at)
    assert stop == pytest.approx((0.012 - 0.001) / 0.002)
    assert load_at_limit(both, "dispatcher", Limit("core_share", "starts_a_second", 1.0), at) is None
    assert load_at_limit(both, "dispatcher", Limit("memory_bytes", "starts_a_second", 1.0), at) is None


# ---- The fleet ----


def table_of(measured: MeasuredCosts, plays: ScenarioResults = NO_RESULTS) -> CapacityTable:
    return make_table(read_fleet(FLEET), measured, plays)


def test_what_a_dispatcher_meets_by_hand() -> None:
    fleet = read_fleet(FLEET)
    peak = workload(fleet, 200, PEAK)["dispatcher"]
    assert peak["tasks_running"].value == 24 and peak["starts_a_second"].value == pytest.approx(0.6)
    # 9,400 jobs of 64 tasks at the most over a day, 200 dispatchers.
    ordinary = workload(fleet, 200, ORDINARY)["dispatcher"]["starts_a_second"]
    assert ordinary.value == pytest.approx(9400 * 64 / 86400 / 200) and ordinary.origin == "assumed"
    # 140 of 980 workers go with 29 of 200 dispatchers; 685.7 tasks start again within the minute.
    zone = workload(fleet, 200, ZONE)["dispatcher"]
    assert zone["starts_a_second"].value == pytest.approx((120 + 4800 / 7 / 60) / 171)
    assert zone["list_changes_a_second"].value == pytest.approx(140 / 60)
    assert workload(fleet, 200, APART)["dispatcher"]["list_changes_a_second"].value == pytest.approx(560 / 60)


def test_a_budget_is_held_against_what_counts_as_control() -> None:
    table = table_of(costs(LISTED, STARTED, TOLD, QUIET))
    core = {(row.scope, row.dispatchers, row.situation): row for row in table.budget}
    assert core[CONTROL, 200, PEAK].core.value == pytest.approx(0.0098)
    assert core[STARTS, 200, PEAK].core.value == pytest.approx(0.0098 + 0.6 * 0.002)
    assert core[PROGRESS, 200, PEAK].core.value == pytest.approx(0.0098 + 0.6 * 0.002 + 24 * 0.0005)
    assert core[PROGRESS, 200, PEAK].verdict == "over budget"
    assert core[STARTS, 200, PEAK].verdict == "not measured"  # no memory, no bytes
    assert table.requirement("progress").verdict == "over budget"


def test_a_budget_that_is_kept_by_less_than_the_lines_miss_their_points_is_too_close_to_call() -> None:
    """0.000490 x 24 is 0.01176 of 0.012: within it, but not by a tenth."""
    wide = [line(name, "tasks_running", [(0.0, 0.0), (48.0, 9.0)]) for name in ("bytes_in", "bytes_out")]
    memory = line("memory_bytes", "tasks_running", [(0.0, 30e6), (48.0, 31e6)])

    def verdict(residual: float) -> set[str]:
        core = line("core_share", "tasks_running", [(0.0, 0.0), (48.0, 0.02352)], residual=residual)
        table = table_of(costs(core, memory, *wide))
        return {row.verdict for row in table.budget if (row.scope, row.dispatchers) == (PROGRESS, 200)}

    assert verdict(0.1) == {"too close to call"}
    assert verdict(0.01) == {"not measured"}  # starts, the list and new settings are in no line here


def test_of_five_voters_in_two_regions_one_region_is_always_missed() -> None:
    machines = layout(read_fleet(FLEET))
    voters = [one for one in machines if "keeper" in one.roles]
    assert len(machines) == 8 and len(voters) == len({one.zone for one in voters}) == 5
    found = {one.what: one.majority for one in losses(machines)}
    assert found["any two machines"] and all(found[f"zone z{n}"] for n in range(1, 8))
    assert not found["region r1"] and found["region r2"]
    assert not any(first and second for _, _, first, second in region_splits()) and survives_with_third_site()


def requirement(key: str, verdict: str, priority: str, *needs: str) -> Requirement:
    texts = {"line": key, "demand": "", "design": "", "mechanism": "", "basis": "", "limit": ""}
    return Requirement(
        key=key, verdict=verdict, priority=priority, needs=[Need(other, "") for other in needs], **texts
    )  # fmt: skip


def test_missing_first_is_a_before_b_before_c_then_what_most_others_need() -> None:
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
    found = order_missing(rows)
    assert [one.row for one in found] == ["table", "quotas", "gangs", "core", "zone", "regions"]
    assert found[0].needed_by == ["zone", "core", "quotas"]
    assert [one.row for one in order_missing(rows[::-1])][:2] == ["table", "quotas"]


def test_of_the_fleet_ahead_changes_are_missing_first_then_quotas_then_gangs() -> None:
    assert [one.row for one in table_of(costs()).missing][:3] == ["changes", "quotas", "gangs"]


def test_with_the_distribution_measured_the_row_is_shown_before_and_after() -> None:
    server = line("core_share", "watchers", [(10.0, 0.001), (400.0, 0.02)], role="config server")
    held = ["changes in force at the last dispatcher within 10000 ms"]
    run = ScenarioResult(scenario="many changes, from config servers", seed=1, dispatchers=50, held=held)
    by_hand = ScenarioResult(scenario="many changes, by signals", seed=1, dispatchers=50, failed=held)
    played = ScenarioResults(
        format=1, date="2026-12-02", commit="abc", machine="made up", runs=[run, by_hand]
    )
    table = table_of(costs(server), played)
    text = render_markdown(table, costs(server), played)
    assert "Before, 680 changes of configuration a day, applied within 10 s: missing, carried by none" in text
    assert table.missing[0].row == "changes"
    assert table.missing_now[0].row == "quotas"
    assert table.requirement("changes").verdict == "holds for less than asked"
    full = {"starts_a_second": 118.0, "tasks_running": 4800.0}
    whole = msgspec.structs.replace(run, dispatchers=200, metrics=full)
    at_peak = msgspec.structs.replace(played, runs=[whole])
    assert table_of(costs(server), at_peak).requirement("changes").verdict == "holds"
    assert table_of(costs(server)).requirement("changes").verdict == "not measured"


def test_a_play_that_failed_or_is_void_is_said() -> None:
    failed = ScenarioResult(
        scenario="zone lost", seed=1, dispatchers=50, failed=["urgent work began within 3.4 s: 3.9 s"]
    )
    void = ScenarioResult(
        scenario="rack", seed=1, dispatchers=50, void="the machine was too slow", held=["all"]
    )
    played = ScenarioResults(
        format=1, date="2026-12-02", commit="abc", machine="made up", runs=[failed, void]
    )
    table = table_of(costs(), played)
    assert table.requirement("zone").verdict == "fails" and "3.9 s" in table.requirement("zone").design
    assert (
        table.requirement("rack").verdict == "not measured" and "too slow" in table.requirement("rack").design
    )
    assert "zone" in [one.row for one in table.missing]


def test_half_of_the_peak_is_no_failure_and_no_proof() -> None:
    figures: dict[str, float | None] = {"starts_a_second": 60.0, "tasks_running": 2400.0}
    half = ScenarioResult(
        scenario="peak minute, half of it", seed=1, dispatchers=100, metrics=figures,
        held=["urgent work begun within 3400 ms", "no broken rule (0 found)"],
    )  # fmt: skip
    played = ScenarioResults(format=1, date="2026-12-02", commit="abc", machine="made up", runs=[half])
    table = table_of(costs(), played)
    for key in ("workers", "starts", "tasks", "urgent", "zones"):
        assert table.requirement(key).verdict == "holds for less than asked", key
    whole = msgspec.structs.replace(half, scenario="peak minute")
    table = table_of(costs(), msgspec.structs.replace(played, runs=[half, whole]))
    assert table.requirement("starts").verdict == "fails" and "60" in table.requirement("starts").design


def test_rows_name_modules_and_pages_that_there_are() -> None:
    for one in table_of(costs()).requirements:
        for name in re.findall(r"`([a-z_]+/[a-z_./-]*|docs/[\w.-]+)`", one.mechanism + one.design):
            assert (ROOT / name).exists() or (ROOT / "ploverspoke" / name).exists(), (one.key, name)


# ---- The command and the page ----


def call(*words: str) -> tuple[int, str]:
    found = CliRunner().invoke(main, ["testbed", "capacity", *words])
    return found.exit_code, found.output


def test_the_command_writes_between_the_markers_and_says_what_does_not_hold(tmp_path: Path) -> None:
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


def test_a_wrong_file_or_page_is_refused(tmp_path: Path) -> None:
    file, size, page = tmp_path / "slopes.json", tmp_path / "size.toml", tmp_path / "page.md"
    write_measured_costs(costs(LISTED), file)
    size.write_text(FLEET.read_text().replace("workers = 980", "workers = 0"))
    page.write_text("no markers\n")
    for words, says in (
        ((str(file), "--size", str(size)), "size.workers"),
        ((str(size), "--size", str(FLEET)), "no slopes"),
        ((str(file), "--size", str(FLEET), "--plays", str(size)), "no plays"),
        ((str(file), "--size", str(FLEET), "--write", str(page)), "expected <!--"),
        ((str(tmp_path / "none.json"),), "does not exist"),
    ):
        code, output = call(*words)
        assert code == 2 and says in output, output
    assert page.read_text() == "no markers\n"
    with pytest.raises(CapacityPageError):
        replace_between_markers(f"{END} {BEGIN}", "")


def test_the_page_is_what_the_files_come_to() -> None:
    """And what it says outside of that has no figure of its own."""
    measured = read_measured_costs(SLOPES)
    plays = read_scenario_results(PLAYS) if PLAYS.exists() else NO_RESULTS
    page = PAGE.read_text()
    text = render_markdown(table_of(measured, plays), measured, plays)
    assert text_between_markers(page) == text, (
        "ploverspoke testbed capacity SLOPES --plays PLAYS --write docs/CAPACITY.md"
    )
    answer = text.partition("## The answer\n")[2].partition("\n## ")[0]
    assert answer.count("\n") < 25
    figures = re.compile(r"\d+(?:[.,]\d+)*")
    known = set(figures.findall(text + FLEET.read_text()))
    prose = re.sub(
        r"^\d+\. ", "", replace_between_markers(page, ""), flags=re.MULTILINE
    )  # without numbers of lists
    assert not [figure for figure in figures.findall(prose) if figure not in known]
