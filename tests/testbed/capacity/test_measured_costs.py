"""Measured costs: fits, their file, merging of later measurements, and the counters of one small fleet."""

import asyncio
from pathlib import Path

import pytest
from click.testing import CliRunner

from ploverspoke.testbed.capacity.linear_fit import TooFewPointsError, fit_line
from ploverspoke.testbed.capacity.measured_costs import (
    CostPerUnit,
    MeasuredCosts,
    read_measured_costs,
    write_measured_costs,
)
from ploverspoke.testbed.capacity.measurements import lease_server
from ploverspoke.testbed.capacity.measurements.dispatcher import dispatcher_experiment, reload_action
from ploverspoke.testbed.capacity.measurements.measurement import (
    Interval,
    MeasuredLoad,
    Measurement,
    MeasurementRequest,
    MeasurementResult,
    Point,
    cost_lines,
)
from ploverspoke.testbed.capacity.measurements.measurement_fleet import run_fleet
from ploverspoke.testbed.capacity.stored_file import StoredFileError
from ploverspoke.testbed.commands import measure_costs
from ploverspoke.testbed.experiment_files.durations import SECOND
from ploverspoke.testbed.experiment_files.reader import parse_experiment
from ploverspoke.testbed.processes.resource_usage import ProcessEndedError, read_resource_usage


def test_linear_points_are_fitted_and_nonlinear_ones_contradict_the_fit() -> None:
    line = fit_line([(1, 5.0), (2, 7.0), (10, 23.0)])
    assert line.intercept == pytest.approx(3) and line.slope == pytest.approx(2)
    assert line.residual < 1e-9 and not line.contradicted
    bent = fit_line([(1, 1.0), (10, 100.0), (100, 10_000.0)])
    assert bent.contradicted and bent.residual > 0.15


def test_fit_just_beyond_the_limit_is_contradicted() -> None:
    # Three evenly spaced points, the middle one with a deviation. All weights are close to 1, so the fit
    # spreads the deviation, with about a third of it at each end.
    assert not fit_line([(0, 1.0), (1, 1.2), (2, 1.0)]).contradicted
    assert fit_line([(0, 1.0), (1, 1.5), (2, 1.0)]).contradicted


def test_fit_of_constant_points_and_of_points_at_zero() -> None:
    flat = fit_line([(100, 4.0), (300, 4.0), (980, 4.0)])
    assert flat.slope == pytest.approx(0, abs=1e-12) and flat.intercept == pytest.approx(4)
    assert fit_line([(1, 0.0), (2, 0.0), (3, 0.0)]) == (0.0, 0.0, 0.0, False)
    assert fit_line([(0, 0.0), (1, 2.0), (2, 4.0)]).residual < 1e-9


def test_deviations_below_the_resolution_do_not_contradict_a_fit() -> None:
    points = [(1.0, 10.0), (2.0, 0.0), (3.0, 10.0)]
    assert fit_line(points).contradicted and not fit_line(points, resolution=10.0).contradicted


def test_two_amounts_give_no_fit() -> None:
    with pytest.raises(TooFewPointsError):
        fit_line([(1, 1.0), (2, 2.0)])
    with pytest.raises(TooFewPointsError):
        fit_line([(1, 1.0), (1, 1.1), (2, 2.0), (2, 2.1)])
    assert (
        cost_lines(MeasuredLoad("r", "s", "", {}), [(1.0, {"core_share": 1.0}), (2.0, {"core_share": 2.0})])
        == []
    )


def lines(role: str, load: str, slope: float) -> list[CostPerUnit]:
    return cost_lines(
        MeasuredLoad(role, load, "how", {"k": 1.0}), [(x, {"core_share": slope * x}) for x in (1.0, 2.0, 3.0)]
    )


def costs(*measured: CostPerUnit) -> MeasuredCosts:
    return MeasuredCosts(format=1, date="2026-12-02", commit="abc", machine="8 cores", lines=list(measured))


def test_file_is_read_back_and_errors_in_it_are_reported(tmp_path: Path) -> None:
    path = tmp_path / "slopes.json"
    write_measured_costs(costs(*lines("dispatcher", "tasks_running", 2.0)), path)
    (line,) = read_measured_costs(path).lines_of("dispatcher", "core_share")
    assert (line.unit, line.max_load, line.points[0]) == ("cores", 3.0, (1.0, 2.0))
    assert line.fixed_amounts == {"k": 1.0} and line.slope == pytest.approx(2.0)
    path.write_text(path.read_text().replace('"format": 1', '"format": 9'))
    with pytest.raises(StoredFileError, match="format 9"):
        read_measured_costs(path)
    for text in ("{}", "no json", '{"format": 1, "strange": 2}'):
        path.write_text(text)
        with pytest.raises(StoredFileError):
            read_measured_costs(path)
    with pytest.raises(StoredFileError):
        read_measured_costs(tmp_path / "none.json")


def test_later_measurement_replaces_only_the_amounts_that_it_measured() -> None:
    old = costs(*lines("dispatcher", "a", 1.0), *lines("dispatcher", "b", 1.0), *lines("keeper", "a", 1.0))
    new = measure_costs.merge_costs(old, costs(*lines("dispatcher", "a", 5.0)))
    slopes = {(line.role, line.load): round(line.slope) for line in new.lines}
    assert slopes == {("dispatcher", "a"): 5, ("dispatcher", "b"): 1, ("keeper", "a"): 1}
    assert measure_costs.merge_costs(None, old) == old


def test_void_run_of_lease_servers_is_named_with_their_number(monkeypatch: pytest.MonkeyPatch) -> None:
    async def measure_point(servers: int, amount: float, *_: object) -> Point:
        if (servers, amount) == (5, 150):
            return Point(amount, {}, "late")
        return Point(amount, {"core_share": amount})

    monkeypatch.setattr(lease_server, "_measure_point", measure_point)
    result = asyncio.run(lease_server.measure_holders(MeasurementRequest(lambda _: None)))
    assert result.void == ["keeper, holders 150, 5 keepers: late"]
    notes = [(line.fixed_amounts["keepers"], line.note) for line in result.lines]
    assert notes == [(3.0, ""), (5.0, "void: keeper, holders 150, 5 keepers: late")]


async def _measure_valid(request: MeasurementRequest) -> MeasurementResult:
    return MeasurementResult(lines("dispatcher", "a", 2.0), [])


async def _measure_void(request: MeasurementRequest) -> MeasurementResult:
    return MeasurementResult([], ["dispatcher, b 3: the rig was late"])


def test_command_reports_void_points_and_unknown_roles(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    measurements = [
        Measurement(("dispatcher",), "a", _measure_valid),
        Measurement(("dispatcher", "worker"), "b", _measure_void),
    ]
    monkeypatch.setattr(measure_costs, "MEASUREMENTS", measurements)
    out = tmp_path / "slopes.json"
    run = CliRunner().invoke

    done = run(measure_costs.slopes, ["dispatcher/a", "--out", str(out)])
    assert done.exit_code == 0 and "core_share" in done.output and len(read_measured_costs(out).lines) == 1
    done = run(measure_costs.slopes, ["dispatcher", "--out", str(out)])
    assert done.exit_code == 1 and "void: dispatcher, b 3: the rig was late" in done.output
    done = run(measure_costs.slopes, ["worker", "--json", "--out", str(out)])
    assert done.exit_code == 1 and '"void": [\n' in done.output and len(read_measured_costs(out).lines) == 1
    done = run(measure_costs.slopes, ["nobody", "--out", str(out)])
    assert done.exit_code == 2 and "nobody" in done.output
    out.write_text("{}")
    done = run(measure_costs.slopes, ["worker", "--out", str(out)])
    assert done.exit_code == 2 and out.read_text() == "{}"


def test_bytes_of_a_measurement_fleet_are_counted_at_its_proxies() -> None:
    """About eight long tasks run and report progress, and one reload happens; there is no other traffic."""
    interval = Interval(2, 3)
    traffic = [{"rate": 8.0, "start": "0s", "end": "1s"}]
    experiment = parse_experiment(dispatcher_experiment(interval, 5, work="900s", traffic=traffic))
    actions = [(int(2.2 * SECOND), reload_action(experiment, 0))]
    fleet, _ = asyncio.run(run_fleet(experiment, 1, interval.settling_s * SECOND, actions))
    reports = {kind: fleet.reports.latest(kind) for kind in ("workers", "clients", "discovery")}
    (at_workers,), (at_clients,) = reports["workers"]["traffic"], reports["clients"]["traffic"]
    (at_discovery,) = reports["discovery"]["traffic"]
    sent, running = reports["clients"]["sent"], reports["workers"]["running"]
    assert sent == running > 2
    # Each request has its own connection and is sent to one worker; no response has come back yet.
    assert at_clients["messages_in"] == at_clients["connected"] == sent and at_clients["bytes_out"] == 0
    assert at_workers["messages_out"] - at_workers["probes"] == sent
    assert at_workers["connections"] >= running
    # Each task reports its progress at its start and then once a second. A report has more bytes than the id
    # and the share that it contains.
    reports_in = at_workers["messages_in"] - at_workers["probes"]
    assert 2 * running <= reports_in <= 6 * running and at_workers["bytes_in"] > 40 * reports_in
    assert at_discovery["messages_out"] >= at_discovery["messages_in"] >= 1
    assert at_discovery["bytes_in"] > 5 * len('{"id":"w0"}')
    assert fleet.samples and all(usage.memory_bytes > 1 << 20 for _, usage in fleet.samples[0])
    cpu_times = [usage.cpu_time_ns for _, usage in fleet.samples[0]]
    assert cpu_times == sorted(cpu_times)


def test_ended_process_is_not_measured_as_idle() -> None:
    async def run_to_end() -> int:
        process = await asyncio.create_subprocess_exec("true")
        await process.wait()
        return process.pid

    with pytest.raises(ProcessEndedError):
        read_resource_usage(asyncio.run(run_to_end()))
