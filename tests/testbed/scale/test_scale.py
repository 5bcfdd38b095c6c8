"""Tests of many simulated dispatchers in one process, and of the limits and checks of scale runs."""

import asyncio
import signal
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, cast

import msgspec
import pytest
from click.testing import CliRunner

from ploverspoke.cli import main
from ploverspoke.testbed.capacity.fleet_size import FleetFileError, parse_fleet
from ploverspoke.testbed.checkers.request_audit import SOCKETS_TOLERANCE, VIRTUAL_TOLERANCE, audit_requests
from ploverspoke.testbed.checkers.scale_checker import check_bounded_by_length
from ploverspoke.testbed.checkers.scale_comparison import compare_metrics, mark_void_metrics
from ploverspoke.testbed.checkers.scale_metrics import (
    ScaleObservations,
    region_cut_metrics,
    urgent_start_delays,
)
from ploverspoke.testbed.experiment_files.durations import SECOND, Duration
from ploverspoke.testbed.experiment_files.errors import ExperimentError
from ploverspoke.testbed.experiment_files.experiment import Experiment
from ploverspoke.testbed.models.deployment_settings import dispatcher_settings
from ploverspoke.testbed.models.event_records import (
    ATTEMPT_ARRIVED,
    ATTEMPT_STARTED,
    REQUEST_SENT,
    Event,
    merge_events,
    read_events,
)
from ploverspoke.testbed.models.virtual_run import run_virtual_time
from ploverspoke.testbed.processes.addresses import AddressBlock
from ploverspoke.testbed.processes.capacity_check import CapacityError
from ploverspoke.testbed.processes.child_process import ChildProcess
from ploverspoke.testbed.reports.scores import RunScore
from ploverspoke.testbed.scale.config_poller import ChangeApplied, ConfigChange, PollTargets
from ploverspoke.testbed.scale.dispatcher_host import DispatcherHost
from ploverspoke.testbed.scale.host_messages import BeginRun, DispatcherAddress, DispatcherHostSpec
from ploverspoke.testbed.scale.scenario_file import ScaleScenario, read_scale_scenarios
from ploverspoke.testbed.scale.simulated_programs import (
    MODULE,
    SimulatedDispatcherHost,
    SimulatedDispatcherProgram,
)
from ploverspoke.testbed.scale.usage import FleetUsage, UsageSample
from ploverspoke.testbed.scenarios import scale_fleet
from ploverspoke.testbed.scenarios.scale_experiment import scale_experiment
from ploverspoke.testbed.scenarios.scale_fleet import SimulatedScaleFleet
from ploverspoke.testbed.scenarios.scale_resources import ProcessCounts, estimate_cores
from ploverspoke.testbed.scenarios.socket_fleet import MAX_LATENESS
from tests.testbed.harness import small_experiment

RUNS_LONG = True  # scheduled first: see tests/conftest.py

REGIONS = {"far": "1ms", "farther": "5ms", "regions": [["a", "b"], ["c"]]}
THREE_ZONES = [{"count": 3, "zone": zone} for zone in "abc"]

FLEET: dict[str, Any] = {
    "kind": "fleet",
    "name": "small",
    "size": {
        "workers": 9,
        "dispatchers": [4],
        "jobs_a_day": 100,
        "task_starts_a_second": 20.0,
        "tasks_running": 12,
        "largest_gang": 2,
        "teams": 2,
        "urgent_starts_within": "3.4s",
        "regions": 2,
        "zones": 3,
        "configuration_changes_a_day": 10,
        "configuration_in_force_within": "10s",
    },
    "budget": {"core_share": 1.0, "memory_mb": 64, "bytes_a_second": 1e6, "control_machines": 1},
    "failures": {
        "machines_a_day": 1,
        "restarts_a_day": 1,
        "rack_every_days": 1,
        "zone_every_days": 1,
        "regions_apart": "60min",
    },
    "play": {
        "dispatchers": 4,
        "hollow_processes": 2,
        "worker_processes": 1,
        "client_processes": 1,
        "slots": 8,
        "racks_a_zone": 1,
        "regions": [["a", "b"], ["c"]],
        "near": "200us",
        "far": "1ms",
        "farther": "5ms",
        "urgent_share": 0.2,
        "urgent_mean": "100ms",
        "compared": {
            "dispatchers": 2,
            "starts_a_second": 10,
            "tasks_running": 5,
            "lasts": "2s",
        },
        "worlds": [{"name": "few changes", "what": "changes", "changes": 2, "lasts": "3s"}],
    },
}


def fleet_with(**changes: Any) -> dict[str, Any]:
    return {**FLEET, "play": {**FLEET["play"], **changes}}


# ---- Control of single dispatchers ----


class HostHarness:
    """Dispatchers in one process, and a discovery that records its callers and never answers."""

    def __init__(
        self, host: SimulatedDispatcherHost, programs: list[SimulatedDispatcherProgram], callers: set[str]
    ) -> None:
        self.host = host
        self.programs = programs
        self.callers = callers

    def client_address(self, number: int) -> tuple[str, int]:
        host, _, port = self.programs[number].config["listen"].rpartition(":")
        return host, int(port)

    async def status_of(self, number: int, request_line: str, headers: str = "") -> int:
        """Return the status code of the response."""
        reader, writer = await asyncio.open_connection(*self.client_address(number))
        writer.write(f"{request_line} HTTP/1.1\r\nHost: test\r\nConnection: close\r\n{headers}\r\n".encode())
        status = int((await reader.readline()).split()[1])
        writer.close()
        return status

    async def serving_count(self) -> int:
        counts = await self.host.counts()
        return counts.serving


@asynccontextmanager
async def start_host(folder: Path, count: int) -> AsyncIterator[HostHarness]:
    block, callers = AddressBlock(), set[str]()

    async def record_caller(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        callers.add(writer.get_extra_info("peername")[0])
        await reader.read()
        writer.close()

    server = await asyncio.start_server(record_caller, block.fake_host(1), 0)
    discovery = f"{block.fake_host(1)}:{server.sockets[0].getsockname()[1]}"
    addresses = [
        DispatcherAddress(n, f"d{n}", block.process_host(n), str(folder / f"d{n}.json")) for n in range(count)
    ]
    spec = folder / "hollow.json"
    spec.write_bytes(msgspec.json.encode(DispatcherHostSpec([addresses])))
    with (folder / "log").open("wb") as log:
        host = SimulatedDispatcherHost(await ChildProcess.start(MODULE, [str(spec), "0"], log))
    experiment = small_experiment(dispatchers={"count": count})
    try:
        await host.listen()
        programs = [
            SimulatedDispatcherProgram(
                host,
                address,
                {
                    "name": address.name,
                    "listen": f"{address.address}:{block.reserve_port(address.address)}",
                    "discovery": discovery,
                    "seed": f"{address.number}",
                    "settings": dispatcher_settings(experiment, address.number),
                },
            )
            for address in addresses
        ]
        await asyncio.gather(*(program.start() for program in programs))
        yield HostHarness(host, programs, callers)
    finally:
        await host.child.stop()
        server.close()
        block.close()


def run_with_host(folder: Path, count: int, test: Callable[[HostHarness], Awaitable[None]]) -> None:
    async def run() -> None:
        async with start_host(folder, count) as harness:
            await asyncio.wait_for(test(harness), 30)

    asyncio.run(run())


def test_each_is_killed_stopped_and_started_without_touching_the_others(tmp_path: Path) -> None:
    async def test(harness: HostHarness) -> None:
        assert await harness.serving_count() == 3
        connections = [await asyncio.open_connection(*harness.client_address(n)) for n in range(3)]
        for _, writer in connections:
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: test\r\n\r\n")
        for reader, _ in connections:
            assert b" 200 " in await reader.readuntil(b"ready")
        await harness.programs[1].kill()
        with pytest.raises(ConnectionResetError):
            await connections[1][0].read()
        with pytest.raises(ConnectionRefusedError):
            await harness.status_of(1, "GET /-/ready")
        assert await harness.serving_count() == 2 and not harness.programs[1].has_crashed()
        await harness.programs[2].stop(signal.SIGTERM, 10)
        assert await connections[2][0].read() == b"" and harness.programs[2].end_reason == ""
        connections[0][1].write(b"GET /-/ready HTTP/1.1\r\nHost: test\r\n\r\n")
        assert b" 200 " in await connections[0][0].readuntil(b"ready")
        await asyncio.gather(harness.programs[1].start(), harness.programs[2].start())
        assert [await harness.status_of(n, "GET /-/ready") for n in range(3)] == [200] * 3
        for _, writer in connections:
            writer.close()

    run_with_host(tmp_path, 3, test)


def test_simulated_dispatchers_share_only_the_event_loop(tmp_path: Path) -> None:
    async def test(harness: HostHarness) -> None:
        # A request id that one dispatcher has accepted is new to the other.
        headers = "Request-Id: one\r\nContent-Length: 0\r\n"
        first_status = await harness.status_of(0, "POST /look", headers)
        assert await harness.status_of(0, "POST /look", headers) == 409 != first_status
        assert await harness.status_of(1, "POST /look", headers) == first_status
        # A changed setting applies only to its dispatcher.
        experiment = small_experiment(
            dispatchers={"count": 2}, grades=[{"name": name} for name in ("look", "book", "more")]
        )
        harness.programs[0].config["settings"] = dispatcher_settings(experiment, 0)
        harness.programs[0].write_config()
        harness.programs[0].reload_config()
        while await harness.status_of(0, "GET /more") == 404:
            await asyncio.sleep(0.01)
        assert (
            await harness.status_of(0, "GET /more") == 405 and await harness.status_of(1, "GET /more") == 404
        )
        # An invalid configuration is rejected, and the log line names the dispatcher that received it.
        harness.programs[1].config["settings"] = {}
        harness.programs[1].write_config()
        harness.programs[1].reload_config()
        while "d1: new configuration rejected" not in (tmp_path / "log").read_text():
            await asyncio.sleep(0.01)
        assert await harness.status_of(1, "GET /look") == 405
        assert harness.callers == {program.address.address for program in harness.programs}

    run_with_host(tmp_path, 2, test)


def test_config_poller_takes_the_addresses_of_thousands_of_dispatchers() -> None:
    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 405 Method Not Allowed\r\nContent-Length: 0\r\n\r\n")
        writer.close()

    async def run() -> None:
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        child = await ChildProcess.start(f"{MODULE}.config_poller", [])
        try:
            # Nothing is polled before the first change, and later addresses replace earlier ones.
            child.send(PollTargets(["127.200.200.200:65535"] * 10_000))
            child.send(PollTargets([f"{host}:{port}"]))
            child.send(ConfigChange(1, "added"))
            applied = await asyncio.wait_for(child.receive_as(ChangeApplied), 20)
            assert applied is not None and applied.number == 1
            assert len(applied.delays) == 1 and applied.delays[0] >= 0
        finally:
            await child.stop()
            server.close()

    asyncio.run(run())


# ---- Scenarios ----


def run_simulated(
    experiment: Experiment, folder: Path, counts: ProcessCounts
) -> tuple[SimulatedScaleFleet, list[Event]]:
    fleet = SimulatedScaleFleet(experiment, 1, folder, counts)

    async def run() -> None:
        try:
            await fleet.run()
        finally:
            await fleet.close()

    asyncio.run(run())
    event_files = [read_events(path) for path in sorted(folder.glob("*.jsonl"))]
    return fleet, merge_events([fleet.records.events, *event_files])


def test_run_with_a_lost_zone_and_a_region_partition_keeps_the_rules(tmp_path: Path) -> None:
    experiment = small_experiment(
        lasts="5s",
        dispatchers={"count": 9},
        workers=THREE_ZONES,
        network=REGIONS,
        troubles=[
            {"what": "crash", "at": "500ms", "lasts": "1s", "zone": "b"},
            {"what": "region cut", "at": "2500ms", "lasts": "1500ms"},
            {"what": "dispatcher killed", "at": "1s", "lasts": "500ms", "dispatchers": [0]},
            {"what": "dispatcher restarted", "at": "2s", "lasts": "2500ms", "dispatchers": [4]},
        ],
    )
    fleet, events = run_simulated(experiment, tmp_path, ProcessCounts(hosts=2, workers=2, clients=1))
    assert fleet.rig.errors == []
    assert audit_requests(experiment, events, SOCKETS_TOLERANCE) == []
    assert {event.dispatcher for event in events if event.kind == ATTEMPT_ARRIVED} == set(range(9))
    sent = {event.job for event in events if event.kind == REQUEST_SENT}
    started = {event.job for event in events if event.kind == ATTEMPT_STARTED}
    assert len(sent) == fleet.request_count and len(started) > 0.8 * len(sent)
    last_sample = fleet.samples[-1]
    assert last_sample.usage.serving == 9 and last_sample.usage.held_counts["open"] == 0
    # The counters of the fakes cover the traffic: at least one answer for each attempt.
    attempts = sum(event.kind == ATTEMPT_ARRIVED for event in events)
    assert last_sample.traffic["workers"]["messages_out"] >= attempts
    assert last_sample.traffic["discovery"]["bytes_in"] > 9 * len(experiment.worker_names()) * 50


def test_no_message_passes_a_partition_between_regions_on_virtual_time() -> None:
    begin, end = 2 * SECOND, 4 * SECOND
    fault = {"what": "region cut", "at": "2s", "lasts": "2s"}
    # The second region has too little capacity for its dispatchers, so they also send to the first.
    workers = [{"count": 3, "zone": "a"}, {"count": 3, "zone": "b"}, {"count": 1, "slots": 1, "zone": "c"}]
    experiment = small_experiment(
        dispatchers={"count": 6},
        workers=workers,
        network=REGIONS,
        troubles=[fault],
        traffic=[{"rate": 200.0}],
    )
    events = run_virtual_time(experiment, 1, "ours")
    assert audit_requests(experiment, events, VIRTUAL_TOLERANCE) == []
    zone_of = {name: number // 3 for number, name in enumerate(experiment.worker_names())}
    arrivals = [event for event in events if event.kind == ATTEMPT_ARRIVED]
    cross_region = [
        x for x in arrivals if experiment.region(x.dispatcher % 3) != experiment.region(zone_of[x.worker])
    ]
    assert not [x for x in cross_region if begin + 10 * SECOND // 1000 < x.at < end]
    assert any(x.at < begin for x in cross_region) and any(x.at >= end for x in cross_region)
    assert (
        experiment.one_way_latency(0, 0),
        experiment.one_way_latency(0, 1),
        experiment.one_way_latency(1, 2),
    ) == (
        200_000,
        1_000_000,
        5_000_000,
    )


@pytest.mark.parametrize(
    ("network", "faults", "key"),
    [
        ({**REGIONS, "regions": [["a"], ["c"]]}, [], "network.regions"),
        ({**REGIONS, "farther": "10us"}, [], "network.farther"),
        (REGIONS, [{"what": "region cut", "at": "1s", "lasts": "1s", "region": 2}], "troubles[0].region"),
    ],
)
def test_invalid_regions_are_rejected_with_their_key(
    network: dict[str, Any], faults: list[Any], key: str
) -> None:
    with pytest.raises(ExperimentError, match=f"^{key.replace('[', '.')}".replace("]", ".")):
        small_experiment(workers=THREE_ZONES, network=network, troubles=faults)


# ---- Demands beyond the machine, and void runs ----


def test_demand_beyond_the_machine_is_rejected_before_anything_starts(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def fail_to_start(*_: Any) -> None:
        raise AssertionError("something was started")

    monkeypatch.setattr(ChildProcess, "start", fail_to_start)
    experiment = small_experiment(dispatchers={"count": 40}, workers=THREE_ZONES)
    with pytest.raises(CapacityError, match=r"cores wanted .*40 dispatchers\), 0.01 are there"):
        run_simulated(experiment, tmp_path, ProcessCounts(2, 1, 1, cores=0.01))
    monkeypatch.setattr(scale_fleet, "total_memory", lambda: 1 << 30)
    with pytest.raises(CapacityError, match="MiB wanted, 512 are half of the machine's"):
        run_simulated(experiment, tmp_path, ProcessCounts(2, 1, 1))
    monkeypatch.undo()
    with_key = small_experiment(grades=[{"name": "a", "repeat": "labelled"}], workers=THREE_ZONES)
    with pytest.raises(ExperimentError, match="worker processes"):
        run_simulated(with_key, tmp_path, ProcessCounts(2, 2, 1))


def test_run_whose_dispatchers_delayed_each_other_is_void(tmp_path: Path) -> None:
    fleet = SimulatedScaleFleet(small_experiment(), 1, tmp_path, ProcessCounts(1, 1, 1))
    assert fleet.void_reason() == ""
    fleet.loop_lateness = MAX_LATENESS + 1
    assert "delayed each other" in fleet.void_reason()
    fleet.rig.block.close()

    async def measure_blocked_loop() -> int:
        host = DispatcherHost(asyncio.get_running_loop(), [])
        host.on_command(BeginRun())
        await asyncio.sleep(0)
        time.sleep(0.15)
        await asyncio.sleep(0.05)
        assert host.lateness_task is not None
        host.lateness_task.cancel()
        return host.lateness

    assert asyncio.run(measure_blocked_loop()) > MAX_LATENESS


# ---- The fleet file, and the checks of its results ----


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"dispatcherz": 3}, "`play`"),
        ({"dispatchers": 0}, "play.dispatchers"),
        ({"near": 3}, "`play.near`"),
        ({"regions": [["a", "b", "c"]]}, "play.regions"),
        ({"regions": [["a"], ["b"]]}, "play.regions"),
        ({"urgent_share": 1.0}, "play.urgent_share"),
        ({"compared": {**FLEET["play"]["compared"], "dispatchers": 0}}, "play.compared.dispatchers"),
        ({"worlds": []}, "play.worlds"),
        ({"worlds": [{"name": "x", "lasts": "1s", "what": "flood"}]}, "`play.worlds[0].what`"),
        ({"worlds": [{"name": "x", "lasts": "9s", "what": "zone lost", "zone": "z", "away": "1s"}]}, "zone"),
        ({"worlds": [{"name": "x", "lasts": "9s", "what": "region cut"}]}, "play.worlds[0].away"),
        ({"worlds": [{"name": "x", "lasts": "9s", "what": "changes"}]}, "play.worlds[0].changes"),
        ({"worlds": [{"name": "x", "lasts": "9s"}] * 2}, "two have the same name"),
    ],
)
def test_invalid_scenario_is_rejected_with_its_key(changes: dict[str, Any], key: str) -> None:
    with pytest.raises(FleetFileError) as caught:
        read_scale_scenarios(parse_fleet(fleet_with(**changes)))
    assert key in str(caught.value)


def test_scenario_has_the_load_of_the_fleet_file() -> None:
    fleet = parse_fleet(FLEET)
    table = read_scale_scenarios(fleet)
    experiment = scale_experiment(fleet, table, table.scenarios[0])
    _, running, starts = estimate_cores(experiment)
    assert (round(running, 6), starts) == (12.0, 20.0)
    assert (
        len(experiment.worker_names()) == 9
        and experiment.zones() == ["a", "b", "c"]
        and experiment.dispatchers.count == 4
    )


def test_metrics_are_checked_against_their_limits() -> None:
    experiment = small_experiment(grades=[{"name": "urgent"}, {"name": "ordinary"}], counted_from="1s")
    sent = [
        Event(n * SECOND, REQUEST_SENT, f"{n}-0", n, 0, detail=[0, 0, 9 * SECOND, n * SECOND])
        for n in (0, 1, 2, 3)
    ]
    sent.append(Event(3 * SECOND, REQUEST_SENT, "4-0", 4, 0, detail=[1, 0, 9 * SECOND, 3 * SECOND]))
    started = [
        Event(n * SECOND + n, ATTEMPT_STARTED, f"{n}-{attempt}", n, 0, "w0", 1)
        for n in (1, 2)
        for attempt in (0, 1)
    ]
    assert urgent_start_delays(experiment, merge_events([sent, started])) == [1, 2, -1]
    ratios, void = compare_metrics(
        {"core_share": 0.8, "network_bytes_in": 1.1}, {"core_share": 1.0, "network_bytes_in": 1.0}, 0.15
    )
    assert void == ["processor time"] and ratios == {"network_bytes_in": 1.1, "core_share": 0.8}
    assert mark_void_metrics({"core_share": 1.0, "service": 2.0}, void) == {
        "core_share (void)": 1.0,
        "service": 2.0,
    }
    growth = check_bounded_by_length(
        {"away_open": 10.0, "service": 1.0}, {"away_open": 20.0, "service": 1.0}, 2.0
    )
    assert len(growth.failed) == 1 and "away_open 2.00 times" in growth.failed[0] and growth.passed == []


def test_metrics_of_an_outage_are_read_from_its_own_interval() -> None:
    experiment = small_experiment(grades=[{"name": "urgent"}], lasts="30s", counted_from="2s")
    region_cut = ScaleScenario(
        name="cut",
        kind="region cut",
        duration=Duration(28 * SECOND),
        fault_start=Duration(4 * SECOND),
        fault_duration=Duration(10 * SECOND),
    )

    def sample(second: int) -> UsageSample:
        is_outage = 6 < second <= 16
        usage = FleetUsage(
            0,
            7_000_000 if is_outage else 5_000_000,
            60 if is_outage else 40,
            2,
            {"open": 8 if is_outage else 2, "said": second},
        )
        byte_counts = {"bytes_in": 100 * second, "bytes_out": 0}
        return UsageSample(second * SECOND, usage, {"workers": byte_counts, "discovery": byte_counts}, 0)

    observations = ScaleObservations(
        experiment, [], cast(RunScore, None), [sample(second) for second in range(0, 30, 2)], [], 0
    )
    assert region_cut_metrics(observations, region_cut) == {
        "away_resident_mb": 7.0,
        "away_descriptors": 60,
        "away_log_lines_a_second": 1.0,
        "away_open": 4.0,
        "away_deadlines": 0.0,
        "away_connections": 0.0,
        "healing_bytes_a_second": 100.0,
    }
    assert region_cut_metrics(observations._replace(samples=observations.samples[:5]), region_cut) == {}


def in_toml(value: Any) -> str:
    if isinstance(value, dict):
        return "{" + ", ".join(f"{key} = {in_toml(item)}" for key, item in value.items()) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(in_toml, value)) + "]"
    return msgspec.json.encode(value).decode()


def test_command_runs_a_scenario_of_a_small_fleet(tmp_path: Path) -> None:
    path, out = tmp_path / "small.toml", tmp_path / "plays.json"
    path.write_text("\n".join(f"{key} = {in_toml(value)}" for key, value in FLEET.items()))
    runner = CliRunner()
    unknown = runner.invoke(main, ["testbed", "run", str(path), "--play", "nothing"])
    assert unknown.exit_code == 2 and "'nothing' is none of" in unknown.output
    runner.invoke(
        main,
        ["testbed", "run", str(path), "--play", "few changes", "--out", str(out)],
        catch_exceptions=False,
    )
    results = msgspec.json.decode(out.read_bytes())
    (row,) = results["runs"]
    assert results["format"] == 1 and row["play"] == "few changes" and row["hollow"]
    metrics = row["figures"]
    assert metrics["changes"] == 2 and metrics["changes_never_in_force"] == 0
    assert metrics["broken_rules"] == 0 and metrics["urgent_never_begun"] == 0
    assert "resident_mb_a_dispatcher (void)" in metrics and metrics["serving_fewest"] == 4
