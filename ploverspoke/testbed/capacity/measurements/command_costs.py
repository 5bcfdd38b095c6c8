"""Measures the costs of the fleet's commands, in one run each, and of an idle supervisor."""

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from ...experiment_files.durations import SECOND, Duration
from ...experiment_files.reader import parse_experiment
from ...models.deployment_settings import dispatcher_settings
from ...processes.capacity_check import memory_backed_folder
from ...processes.readiness import accepts_connections
from ...processes.resource_usage import ResourceUsage, read_resource_usage
from ...processes.rig import Rig
from ...processes.running_process import ProcessStartError, RunningProcess
from ...scenarios.lease_experiment import LeaseScenario
from ...scenarios.lease_fleet import LeaseFleet
from .dispatcher import dispatcher_experiment, measurement_interval
from .measurement import (
    FOLDER_PREFIX,
    SEED,
    Interval,
    MeasuredLoad,
    Measurement,
    MeasurementRequest,
    MeasurementResult,
    Point,
    make_result,
)

SUMMARY, RESTART, SUPERVISOR = "fleet summary", "rolling restart", "supervisor"  # roles
METHOD = "one run: the kernel's account when it ended (wait4), VmHWM while it ran; bytes are not counted"
IDLE_METHOD = "schedstat and /proc/PID/status of the supervisor, of its children as children_*"
RUN_TIMEOUT = 30.0  # seconds
MEMORY_POLL_INTERVAL = 0.01  # seconds
LEASE_DURATION = Duration(10 * SECOND)
DISPATCHER_COUNTS = (5, 10, 20)  # dispatchers that a summary queries
LEASE_SERVER_COUNTS = (1, 3, 5)
FIXED_LEASE_SERVERS = 3
PROCESS_COUNTS = (1, 2, 4)
WORKERS = 20  # listed in the configuration of a dispatcher
FIRST_WORKER_PORT = 20_000  # no process listens there
MAX_ERROR_TEXT = 300  # characters


def run_command(words: Sequence[str]) -> dict[str, float]:
    """Run `ploverspoke` to completion; return its CPU time, peak memory and duration.

    Raises ProcessStartError if the exit code is not 0.
    """
    start = time.monotonic()
    process = subprocess.Popen(
        [sys.executable, "-m", "ploverspoke", *words], stdout=subprocess.DEVNULL, stderr=subprocess.PIPE
    )
    peak = 0
    while not (wait_result := os.wait4(process.pid, os.WNOHANG))[0]:
        # The maximum that wait4 reports includes the forked process before it executed the program.
        with contextlib.suppress(OSError):
            peak = max(peak, read_resource_usage(process.pid).peak_memory_bytes)
        time.sleep(MEMORY_POLL_INTERVAL)
    _, status, usage = wait_result
    process.returncode = os.waitstatus_to_exitcode(status)
    assert process.stderr is not None
    with process.stderr as stream:
        errors = stream.read().decode()
    if process.returncode:
        text = f"{' '.join(words[:2])} gave {process.returncode}: {errors[-MAX_ERROR_TEXT:]}"
        raise ProcessStartError(text)
    return {
        "processor_seconds": usage.ru_utime + usage.ru_stime,
        "memory_peak_bytes": float(peak),
        "seconds": time.monotonic() - start,
    }


def _dispatcher_config(listen: str, admin: str, discovery: str) -> dict[str, Any]:
    """Return the configuration of a dispatcher with a fixed list of workers and no running discovery."""
    servers = [
        {
            "id": f"w{number}",
            "addr": f"127.0.0.1:{FIRST_WORKER_PORT + number}",
            "zone": "a",
            "kind": "plain",
            "state": "Ready",
        }
        for number in range(WORKERS)
    ]
    experiment = parse_experiment(dispatcher_experiment(measurement_interval(quick=True)))
    return {
        "name": "d",
        "listen": listen,
        "admin_addr": admin,
        "discovery": discovery,
        "seed": "1",
        "known": {"version": 1, "full": True, "servers": servers},
        "settings": dispatcher_settings(experiment, 0),
    }


class _ControlFleet(NamedTuple):
    """Running lease servers, and the admin addresses of running dispatchers."""

    leases: LeaseFleet
    admin_addresses: list[str]


@asynccontextmanager
async def _control_fleet(lease_servers: int, dispatchers: int) -> AsyncIterator[_ControlFleet]:
    """Start lease servers and dispatchers. Raises ProcessStartError."""
    with tempfile.TemporaryDirectory(prefix=FOLDER_PREFIX, dir=memory_backed_folder()) as folder:
        async with Rig(Path(folder), SEED) as rig:
            scenario = LeaseScenario(
                servers=lease_servers, candidates=0, leases={"team-*": 1}, lease_duration=LEASE_DURATION
            )
            leases = LeaseFleet(rig, scenario)
            await leases.start()
            discovery = rig.allocate_address("nobody", direct=["none"]).endpoint("none")
            names = [f"d{number}" for number in range(dispatchers)]
            admin_addresses = [_add_dispatcher(rig, name, discovery) for name in names]
            await rig.start_processes(names)
            yield _ControlFleet(leases, admin_addresses)


def _add_dispatcher(rig: Rig, name: str, discovery: str) -> str:
    """Add a dispatcher to the rig; return its admin address."""
    address = rig.allocate_address(name, direct=["clients", "admin"])
    admin = address.endpoint("admin")
    path = rig.folder / f"{name}.json"
    config = _dispatcher_config(address.endpoint("clients"), admin, discovery)
    path.write_bytes(msgspec.json.encode(config))
    process = rig.add_process(address, "ploverspoke", [], {"RELAY_CONFIG": str(path)})
    process.ready = accepts_connections(address.host, address.ports["admin"])
    return admin


async def _measure_command(
    name: str, load: float, run: Callable[[], Awaitable[dict[str, float]]], request: MeasurementRequest
) -> Point:
    """Measure a command; `name` names the role and the load in progress reports."""
    try:
        costs = await run()
    except (ProcessStartError, OSError, TimeoutError) as error:
        request.report_progress(f"{name} {load:g}: void: {error}")
        return Point(load, {}, str(error) or "not over in time")
    request.report_progress(f"{name} {load:g}: {costs['processor_seconds']:.2f} s of a core")
    return Point(load, costs)


async def _run_in_time(words: Sequence[str]) -> dict[str, float]:
    return await asyncio.wait_for(asyncio.to_thread(run_command, words), RUN_TIMEOUT)


async def _run_summary(dispatchers: int) -> dict[str, float]:
    async with _control_fleet(FIXED_LEASE_SERVERS, dispatchers) as fleet:
        path = fleet.leases.rig.folder / "summary.json"
        sources = [word for address in fleet.admin_addresses for word in ("--from", address)]
        words = ["lease", "summary", str(fleet.leases.servers_file), "team-summary", *sources]
        costs = await _run_in_time([*words, "--to", str(path), "--every", "0.1", "--times", "1"])
        answered = msgspec.json.decode(path.read_bytes())["answered"]
        if answered != dispatchers:
            reason = f"{answered} of {dispatchers} doors answered"
            raise ProcessStartError(reason)
    return costs


async def measure_summary(request: MeasurementRequest) -> MeasurementResult:
    """Vary the number of dispatchers that a summary queries."""
    points = [
        await _measure_command(f"{SUMMARY}, doors", float(count), partial(_run_summary, count), request)
        for count in DISPATCHER_COUNTS
    ]
    fixed = {"keepers": float(FIXED_LEASE_SERVERS), "files": 1.0}
    return make_result(MeasuredLoad(SUMMARY, "doors", METHOD, fixed), points)


async def _run_restart(lease_servers: int) -> dict[str, float]:
    async with _control_fleet(lease_servers, 1) as fleet:
        words = ["lease", "restart", str(fleet.leases.servers_file), "team-restart"]
        return await _run_in_time([*words, "--ready", fleet.admin_addresses[0], "--", "true"])


async def measure_restart(request: MeasurementRequest) -> MeasurementResult:
    """Vary the number of lease servers.

    The lease has one place, the command does nothing, and the dispatcher to wait for is ready.
    """
    points = [
        await _measure_command(f"{RESTART}, keepers", float(count), partial(_run_restart, count), request)
        for count in LEASE_SERVER_COUNTS
    ]
    return make_result(MeasuredLoad(RESTART, "keepers", METHOD, {"dispatchers": 1.0}), points)


async def measure_supervisor(request: MeasurementRequest) -> MeasurementResult:
    """Vary the number of processes of an idle supervisor."""
    points = []
    for count in PROCESS_COUNTS:
        point = await _measure_supervisor(count, measurement_interval(request.quick))
        request.report_progress(f"{SUPERVISOR}, processes {count}: {point.void or 'measured'}")
        points.append(point)
    fixed = {"workers_listed": float(WORKERS)}
    return make_result(MeasuredLoad(SUPERVISOR, "processes", IDLE_METHOD, fixed), points)


async def _measure_supervisor(count: int, interval: Interval) -> Point:
    with tempfile.TemporaryDirectory(prefix=FOLDER_PREFIX, dir=memory_backed_folder()) as folder:
        async with Rig(Path(folder), SEED) as rig:
            supervisor = _add_supervisor(rig, count)
            try:
                await rig.start_processes()
                return Point(float(count), await _measure_idle(supervisor, count, interval))
            except (ProcessStartError, OSError) as error:
                return Point(float(count), {}, str(error))
            finally:
                # SIGTERM, since its children would outlive a killed supervisor.
                await supervisor.stop(signal.SIGTERM, RUN_TIMEOUT)


def _add_supervisor(rig: Rig, count: int) -> RunningProcess:
    address = rig.allocate_address("s", direct=["clients", "admin", "none"])
    path = rig.folder / "s.json"
    config = _dispatcher_config(
        address.endpoint("clients"), address.endpoint("admin"), address.endpoint("none")
    )
    del config["admin_addr"]
    path.write_bytes(msgspec.json.encode(config))
    words = ["serve", str(path), "--processes", str(count)]
    supervisor = rig.add_process(address, "ploverspoke", words)
    supervisor.ready = accepts_connections(address.host, address.ports["clients"])
    return supervisor


async def _measure_idle(supervisor: RunningProcess, count: int, interval: Interval) -> dict[str, float]:
    """Measure an idle supervisor and its children over the interval.

    Raises ProcessStartError if the supervisor does not have `count` children.
    """
    await asyncio.sleep(interval.settling_s)
    assert supervisor.process is not None
    pid = supervisor.process.pid
    children = [int(child) for child in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]
    if len(children) != count:
        reason = f"{len(children)} children of {count}"
        raise ProcessStartError(reason)
    start, before = time.monotonic_ns(), _read_all([pid, *children])
    await asyncio.sleep(interval.duration_s)
    end, after = time.monotonic_ns(), _read_all([pid, *children])
    shares = [
        (last.cpu_time_ns - first.cpu_time_ns) / (end - start)
        for first, last in zip(before, after, strict=True)
    ]
    return {
        "core_share": shares[0],
        "memory_bytes": float(after[0].memory_bytes),
        "children_core_share": sum(shares[1:]),
        "children_memory_bytes": float(sum(usage.memory_bytes for usage in after[1:])),
    }


def _read_all(pids: Sequence[int]) -> list[ResourceUsage]:
    return [read_resource_usage(pid) for pid in pids]


MEASUREMENTS = [
    Measurement((SUMMARY,), "doors", measure_summary),
    Measurement((RESTART,), "keepers", measure_restart),
    Measurement((SUPERVISOR,), "processes", measure_supervisor),
]
