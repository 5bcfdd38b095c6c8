"""What tools of the fleet cost: one run of a command, and a supervisor that stands by."""

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec

from ...experiment_files.durations import SECOND, Duration
from ...experiment_files.reader import parse_experiment
from ...models.deployment_settings import dispatcher_settings
from ...processes.capacity_check import memory_backed_folder
from ...processes.readiness import accepts_connections
from ...processes.resource_usage import read_resource_usage
from ...processes.rig import Rig
from ...processes.running_process import ProcessStartError
from ...scenarios.lease_experiment import LeaseScenario
from ...scenarios.lease_fleet import LeaseFleet
from .dispatcher import SEED, report_listener, settled_interval
from .parts import MeasuredLoad, Measurement, MeasurementRequest, MeasurementResult, cost_lines

HOW = "one run: the kernel's account when it ended (wait4), VmHWM while it ran; bytes are not counted"
STANDING_HOW = "schedstat and /proc/PID/status of the supervisor, of its children as children_*"
RUN_WITHIN = 30.0  # s
LOOKS_EVERY = 0.01  # s, at a command's memory
DOORS = (5, 10, 20)
KEEPERS = (1, 3, 5)
PROCESSES = (1, 2, 4)
SERVERS = 20  # listed, in a dispatcher's own file


def run_command(words: Sequence[str]) -> dict[str, float]:
    """Raises ProcessStartError where the command does not give 0."""
    began = time.monotonic()
    process = subprocess.Popen(
        [sys.executable, "-m", "ploverspoke", *words], stdout=subprocess.DEVNULL, stderr=subprocess.PIPE
    )
    peak = 0
    while not (ended := os.wait4(process.pid, os.WNOHANG))[0]:
        # Not the account's own maximum: that knows the process before it was this program.
        with contextlib.suppress(OSError):
            peak = max(peak, read_resource_usage(process.pid).memory_peak)
        time.sleep(LOOKS_EVERY)
    _, status, account = ended
    process.returncode = os.waitstatus_to_exitcode(status)
    assert process.stderr is not None
    said = process.stderr.read()
    process.stderr.close()
    if process.returncode:
        raise ProcessStartError(f"{' '.join(words[:2])} gave {process.returncode}: {said.decode()[-300:]}")
    return {
        "processor_seconds": account.ru_utime + account.ru_stime,
        "memory_peak_bytes": float(peak),
        "seconds": time.monotonic() - began,
    }


def _config(listen: str, admin: str, nobody: str) -> dict[str, Any]:
    """A dispatcher that knows its workers and finds no discovery."""
    servers = [
        {"id": f"w{n}", "addr": f"127.0.0.1:{20_000 + n}", "zone": "a", "kind": "plain", "state": "Ready"}
        for n in range(SERVERS)
    ]
    return {
        "name": "d",
        "listen": listen,
        "admin_addr": admin,
        "discovery": nobody,
        "seed": "1",
        "known": {"version": 1, "full": True, "servers": servers},
        "settings": dispatcher_settings(parse_experiment(report_listener(settled_interval(True))), 0),
    }


@asynccontextmanager
async def _world(keepers: int, doors: int) -> AsyncIterator[tuple[LeaseFleet, list[str]]]:
    """LeaseServers, and dispatchers with an operators' door each. Raises ProcessStartError."""
    with tempfile.TemporaryDirectory(prefix="ploverspoke-slopes-", dir=memory_backed_folder()) as name:
        async with Rig(Path(name), SEED) as rig:
            plan = LeaseScenario(
                servers=keepers, candidates=0, leases={"team-*": 1}, lease_duration=Duration(10 * SECOND)
            )
            leases = LeaseFleet(rig, plan)
            await leases.start()
            nobody = rig.allocate_address("nobody", direct=["none"]).endpoint("none")
            admins = []
            for number in range(doors):
                place = rig.allocate_address(f"d{number}", direct=["clients", "admin"])
                path = rig.folder / f"{place.name}.json"
                path.write_bytes(
                    msgspec.json.encode(_config(place.endpoint("clients"), place.endpoint("admin"), nobody))
                )
                running = rig.add_process(place, "ploverspoke", [], {"RELAY_CONFIG": str(path)})
                running.ready = accepts_connections(place.host, place.ports["admin"])
                admins.append(place.endpoint("admin"))
            await rig.start_processes([f"d{number}" for number in range(doors)])
            yield leases, admins


async def _command(
    role: str, size: str, value: int, keepers: int, doors: int, asked: MeasurementRequest
) -> Any:
    try:
        async with _world(keepers, doors) as (leases, admins):
            if role == "fleet summary":
                path = leases.rig.folder / "summary.json"
                froms = [word for door in admins for word in ("--from", door)]
                words = ["lease", "summary", str(leases.file), "team-summary", *froms]
                words += ["--to", str(path), "--every", "0.1", "--times", "1"]
            else:
                words = ["lease", "restart", str(leases.file), "team-restart", "--ready", admins[0]]
                words += ["--", "true"]
            figures = await asyncio.wait_for(asyncio.to_thread(run_command, words), RUN_WITHIN)
            if role == "fleet summary":
                answered = msgspec.json.decode(path.read_bytes())["answered"]
                if answered != doors:
                    raise ProcessStartError(f"{answered} of {doors} doors answered")
    except (ProcessStartError, OSError, TimeoutError) as error:
        asked.say(f"{role}, {size} {value}: void: {error}")
        return float(value), {}, str(error) or "not over in time"
    asked.say(f"{role}, {size} {value}: {figures['processor_seconds']:.2f} s of a core")
    return float(value), figures, ""


def _found(role: str, size: str, seen: Sequence[Any], how: str, still: dict[str, float]) -> MeasurementResult:
    void = [f"{role}, {size} {at:g}: {why}" for at, _, why in seen if why]
    note = "; ".join(f"void: {text}" for text in void)
    points = [(at, figures) for at, figures, why in seen if not why]
    return MeasurementResult(cost_lines(MeasuredLoad(role, size, how, still, note), points), void)


async def fleet_summary(asked: MeasurementRequest) -> MeasurementResult:
    seen = [await _command("fleet summary", "doors", doors, 3, doors, asked) for doors in DOORS]
    return _found("fleet summary", "doors", seen, HOW, {"keepers": 3.0, "files": 1.0})


async def rolling_restart(asked: MeasurementRequest) -> MeasurementResult:
    """One place of the lease, a command that does nothing, one dispatcher that is back at once."""
    seen = [await _command("rolling restart", "keepers", keepers, keepers, 1, asked) for keepers in KEEPERS]
    return _found("rolling restart", "keepers", seen, HOW, {"dispatchers": 1.0})


async def supervisor(asked: MeasurementRequest) -> MeasurementResult:
    over, seen = settled_interval(asked.quick), []
    for count in PROCESSES:
        with tempfile.TemporaryDirectory(prefix="ploverspoke-slopes-", dir=memory_backed_folder()) as name:
            async with Rig(Path(name), SEED) as rig:
                place = rig.allocate_address("s", direct=["clients", "admin", "none"])
                path = rig.folder / "s.json"
                config = _config(place.endpoint("clients"), place.endpoint("admin"), place.endpoint("none"))
                del config["admin_addr"]
                path.write_bytes(msgspec.json.encode(config))
                running = rig.add_process(
                    place, "ploverspoke", ["serve", str(path), "--processes", str(count)]
                )
                running.ready = accepts_connections(place.host, place.ports["clients"])
                try:
                    await rig.start_processes()
                    figures = await _standing(running.process, over.settled, over.lasts, count)
                    seen.append((float(count), figures, ""))
                except (ProcessStartError, OSError) as error:
                    seen.append((float(count), {}, str(error)))
                finally:
                    # Its children would outlive it where it is killed.
                    await running.stop(signal.SIGTERM, RUN_WITHIN)
        asked.say(f"supervisor, processes {count}: {seen[-1][2] or 'seen'}")
    return _found("supervisor", "processes", seen, STANDING_HOW, {"workers_listed": float(SERVERS)})


async def _standing(process: Any, settled: int, lasts: int, count: int) -> dict[str, float]:
    """Raises ProcessStartError where it has not as many children."""
    await asyncio.sleep(settled)
    children = [
        int(pid) for pid in Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text().split()
    ]
    if len(children) != count:
        raise ProcessStartError(f"{len(children)} children of {count}")
    begin, first = time.monotonic_ns(), [read_resource_usage(pid) for pid in (process.pid, *children)]
    await asyncio.sleep(lasts)
    end, last = time.monotonic_ns(), [read_resource_usage(pid) for pid in (process.pid, *children)]
    shares = [(b.processor - a.processor) / (end - begin) for a, b in zip(first, last, strict=True)]
    return {
        "core_share": shares[0],
        "memory_bytes": float(last[0].memory),
        "children_core_share": sum(shares[1:]),
        "children_memory_bytes": float(sum(one.memory for one in last[1:])),
    }


MEASUREMENTS = [
    Measurement(("fleet summary",), "doors", fleet_summary),
    Measurement(("rolling restart",), "keepers", rolling_restart),
    Measurement(("supervisor",), "processes", supervisor),
]
