"""The rig: the hosts, clocks and end of its processes, and faults on replicas and dispatchers."""

import asyncio
import json
import time
from pathlib import Path
from typing import NamedTuple

import pytest

from ploverspoke.testbed.checkers.request_audit import SOCKETS_TOLERANCE, audit_requests
from ploverspoke.testbed.experiment_files.durations import SECOND
from ploverspoke.testbed.experiment_files.errors import ExperimentError
from ploverspoke.testbed.models.event_records import SUCCEEDED
from ploverspoke.testbed.processes.addresses import LOCALHOST, ProcessAddress, reserve_ports
from ploverspoke.testbed.processes.rig import Rig
from ploverspoke.testbed.processes.running_process import ProcessStartError, RunningProcess
from ploverspoke.testbed.scenarios.experiment_runner import run_virtual
from ploverspoke.testbed.scenarios.socket_run import run_on_sockets
from tests.polling import until
from tests.testbed.harness import SMALL_EXPERIMENT, small_experiment

RUNS_LONG = True  # scheduled first: see tests/conftest.py

PROBE = "tests.testbed.processes.clock_probe"
CLOCK_RATES = {"true": 1.0, "fast": 2.0, "slow": 0.5}
HOUR = 3600 * SECOND


class ClockReport(NamedTuple):
    """How the clocks of a probe run; all in seconds."""

    elapsed: float  # on the machine's clock
    slept: float  # on the probe's clock
    ahead: float  # how far the probe's wall clock is ahead of the machine's


Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def ask_probe(connection: Connection) -> ClockReport:
    reader, writer = connection
    started_at = time.monotonic()
    writer.write(b"\n")
    report = json.loads(await reader.readline())
    elapsed = time.monotonic() - started_at
    return ClockReport(elapsed, report["slept"], report["wall"] - time.time())


async def read_clocks(folder: Path) -> dict[str, ClockReport]:
    """Start a probe for each clock rate, ask them all, and end the rig while one of them is paused."""
    connections: dict[str, Connection] = {}  # by host

    def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connections[writer.get_extra_info("peername")[0]] = (reader, writer)

    server = await asyncio.start_server(accept, LOCALHOST, 0)
    port = str(server.sockets[0].getsockname()[1])
    async with Rig(folder, 1) as rig:
        for name, rate in CLOCK_RATES.items():
            process = rig.add_process(rig.allocate_address(name), PROBE, [LOCALHOST, port, "0.4"])
            process.clock_rate = rate
            process.set_wall_clock_offset(HOUR if name == "slow" else 0)
        await rig.start_processes()
        await until(lambda: len(connections) == len(CLOCK_RATES))

        async def ask(address: ProcessAddress) -> tuple[str, ClockReport]:
            return address.name, await ask_probe(connections[address.host])

        reports = dict(await asyncio.gather(*(ask(address) for address in rig.addresses.values())))
        assert isinstance(rig.processes["true"], RunningProcess) and rig.processes["true"].is_running()
        rig.processes["true"].pause()
    assert not any(process.is_running() for process in rig.processes.values())
    return reports


def test_process_has_the_host_and_the_clocks_that_the_rig_gives_it(tmp_path: Path) -> None:
    reports = asyncio.run(asyncio.wait_for(read_clocks(tmp_path), 30))
    # All slept equally long by their own clocks, which is half or twice as long by the machine's clock.
    assert all(report.slept > 0.35 for report in reports.values())
    assert reports["slow"].elapsed > 0.75 and reports["fast"].elapsed < reports["slow"].elapsed
    assert 3500 < reports["slow"].ahead < 3700 and abs(reports["true"].ahead) < 60


def test_nothing_keeps_running_when_a_process_does_not_become_ready(tmp_path: Path) -> None:
    async def never_ready() -> bool:
        return False

    async def run() -> list[RunningProcess]:
        async with Rig(tmp_path, 1) as rig:
            rig.add_process(rig.allocate_address("a"), PROBE, [LOCALHOST, str(reserve_ports(1)[0]), "1"])
            faulty = rig.add_process(rig.allocate_address("b"), PROBE, ["no number"])
            faulty.ready = never_ready
            with pytest.raises(ProcessStartError, match=r"b did not come up; its log: (?s:.*)IndexError"):
                await rig.start_processes()
        return list(rig.processes.values())

    assert not any(process.is_running() for process in asyncio.run(asyncio.wait_for(run(), 30)))


def test_replicas_keep_the_rules_under_clock_jumps_disk_errors_and_one_way_cuts() -> None:
    # One fault after the other: with two of three replicas down no request can be answered, and clients wait.
    timeline = [
        {"at": "1s", "what": "wall jumps", "who": ["d0", "d2"], "ahead": 3600.0},
        {"at": "1s", "what": "disk fails", "who": ["d0"], "lasts": "500ms"},
        {"at": "2500ms", "what": "disk fails", "who": ["d1"], "lasts": "500ms"},
        {"at": "4s", "what": "wall jumps", "who": ["d0"], "ahead": -3600.0},
        {"at": "4s", "what": "cut", "who": ["d2"], "lasts": "800ms"},
        {"at": "6s", "what": "disk full", "who": ["d2"], "lasts": "500ms"},
        {"at": "7500ms", "what": "pause", "who": ["d0"], "lasts": "700ms"},
        {"at": "9s", "what": "cut", "to": ["d1"], "lasts": "800ms"},
    ]
    grades = [{**grade, "abandon_time": "3s"} for grade in SMALL_EXPERIMENT["grades"]]
    experiment = small_experiment(
        lasts="10s", grades=grades, dispatchers={"count": 3, "store": True}, timeline=timeline
    )
    run = run_on_sockets(experiment, 1)
    assert audit_requests(experiment, run.events, SOCKETS_TOLERANCE) == []
    log_lines = [event.detail for event in run.history if event.kind == "log"]
    for text in ("disk I/O error", "disk is full", "the disk can be written again"):
        assert any(text in line for line in log_lines), text
    assert len([event for event in run.events if event.detail == SUCCEEDED]) > 100
    assert {event.kind for event in run.history} >= {"add fault", "remove fault", "pause is over"}


def test_gossip_goes_through_the_proxy_and_a_cut_stops_it_there_only() -> None:
    gossip = {"count": 3, "talk": True}
    cut = {"at": "0s", "what": "cut", "who": ["d0"], "to": ["d1"]}
    experiment = small_experiment(lasts="3s", dispatchers=gossip, timeline=[cut])
    run = run_on_sockets(experiment, 1)
    assert audit_requests(experiment, run.events, SOCKETS_TOLERANCE) == []
    assert run.links.passed > 10 and run.links.lost > 0


def test_virtual_runs_reject_gossip_and_timelines_and_files_reject_unknown_dispatchers() -> None:
    gossip = {"count": 3, "talk": True}
    cut = [{"at": "0s", "what": "cut"}]
    for changes, key in (({"dispatchers": gossip}, "dispatchers.talk"), ({"timeline": cut}, "timeline")):
        with pytest.raises(ExperimentError, match=key):
            run_virtual(small_experiment(**changes), 1, "ours")
    with pytest.raises(ExperimentError, match=r"timeline\[0\].who"):
        small_experiment(timeline=[{"at": "0s", "what": "kill", "who": ["d7"]}])
