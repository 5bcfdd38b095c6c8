"""Measures the CPU, memory and traffic of lease servers: of the leader, and the mean of the followers.

The lease servers are real processes on a rig. Bytes are counted at the proxy, which is between them and in
front of them. The holders are real lease clients, all of them in the measuring process.
"""

import asyncio
import contextlib
import tempfile
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import NamedTuple

from ploverspoke.consensus.admin_messages import StatusRequest, StatusRow
from ploverspoke.consensus.replica_client import call_replica
from ploverspoke.leases.client import LeaseClient
from ploverspoke.leases.config import LeaseServers, read_lease_servers

from ...experiment_files.durations import SECOND, Duration
from ...processes.capacity_check import memory_backed_folder
from ...processes.rig import Rig
from ...processes.running_process import ProcessStartError
from ...processes.tcp_proxy import OUTSIDE
from ...scenarios.lease_experiment import LeaseScenario
from ...scenarios.lease_fleet import LeaseFleet
from .measurement import (
    FOLDER_PREFIX,
    NO_RESULT,
    NOT_READY,
    SEED,
    Interval,
    MeasuredLoad,
    Measurement,
    MeasurementRequest,
    MeasurementResult,
    Point,
    make_result,
    run_points,
)
from .replica_usage import ByteRates, LinkBytes, UsageSampler, read_link_bytes, replica_metrics

ROLE = "keeper"  # name of the role in the file of measured costs
SERVER_COUNTS = (3, 5)
LEASE_DURATION = 10 * SECOND
INTERVAL, QUICK_INTERVAL = Interval(4, 15), Interval(1, 4)
FIXED_HOLDERS, FIXED_CHANGING_HOLDERS = 20, 50  # while the number of names or the rate of changes is varied
GRANT_TIMEOUT = 20.0  # seconds
SAMPLE_INTERVAL = 0.5  # seconds
POLL_INTERVAL = 0.1  # seconds
METHOD = (
    "the lease server that leads, the others as follower_*; schedstat and /proc/PID/status, "
    "bytes at the proxy; lease servers have the rig's launcher"
)


class HolderLoad(NamedTuple):
    """Holders of leases, and the rate at which leases change their holder."""

    clients: list[LeaseClient]
    leases_per_client: int
    changes_a_second: float = 0.0


LoadFactory = Callable[[LeaseServers, float], HolderLoad]  # creates the holders for an amount of the load


async def _find_leader(leases: LeaseFleet, secret: bytes) -> str:
    """Return the leader's name. Raises ProcessStartError if there is none within GRANT_TIMEOUT."""
    deadline = time.monotonic() + GRANT_TIMEOUT
    while time.monotonic() < deadline:
        for address in leases.servers:
            with contextlib.suppress(OSError):
                status = await asyncio.to_thread(
                    call_replica, address.endpoint("peers"), secret, StatusRequest(), StatusRow
                )
                if status.fields.get("leading"):
                    return address.name
        await asyncio.sleep(POLL_INTERVAL)
    reason = "no keeper leads"
    raise ProcessStartError(reason)


class _HolderChanges:
    """Hands leases from one client to the next at a fixed rate."""

    def __init__(self, load: HolderLoad) -> None:
        self._load = load
        self._names = [f"team-c{number}" for number in range(len(load.clients))]
        self._holder_indices = {name: number for number, name in enumerate(self._names)}
        self.times: list[float] = []  # of the changes, in monotonic seconds

    async def run(self, end: float) -> None:
        """Change holders until `end`, in monotonic seconds."""
        due, count = time.monotonic(), 0
        while due < end:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self._change(self._names[count % len(self._names)])
            due, count = due + 1 / self._load.changes_a_second, count + 1

    def _change(self, name: str) -> None:
        clients = self._load.clients
        clients[self._holder_indices[name]].release(name)
        self._holder_indices[name] = (self._holder_indices[name] + 1) % len(clients)
        clients[self._holder_indices[name]].request_lease(name, LEASE_DURATION)
        self.times.append(time.monotonic())


async def _measure_point(
    servers: int, amount: float, make_load: LoadFactory, request: MeasurementRequest
) -> Point:
    with tempfile.TemporaryDirectory(prefix=FOLDER_PREFIX, dir=memory_backed_folder()) as folder:
        try:
            async with Rig(Path(folder), SEED) as rig:
                return await _measure_on(rig, servers, amount, make_load, request)
        except (ProcessStartError, OSError, TimeoutError) as error:
            return Point(amount, {}, str(error) or NOT_READY)


async def _measure_on(
    rig: Rig, servers: int, amount: float, make_load: LoadFactory, request: MeasurementRequest
) -> Point:
    interval = QUICK_INTERVAL if request.quick else INTERVAL
    scenario = LeaseScenario(
        servers=servers, candidates=0, leases={"team-*": 1}, lease_duration=Duration(LEASE_DURATION)
    )
    leases = LeaseFleet(rig, scenario)
    await leases.start()
    secret = read_lease_servers(leases.servers_file).secret
    leader = await _find_leader(leases, secret)
    address = rig.addresses[leader].proxied_endpoint("clients")
    load = make_load(LeaseServers({}, [address], secret), amount)
    try:
        missing_name = await _acquire_all(load)
        if missing_name:
            return Point(amount, {}, f"{missing_name} was not granted in time")
        start = time.monotonic() + interval.settling_s
        changes = _HolderChanges(load)
        change_task = (
            asyncio.create_task(changes.run(start + interval.duration_s)) if load.changes_a_second else None
        )
        await asyncio.sleep(interval.settling_s)
        sampler = UsageSampler(rig, [address.name for address in leases.servers])
        before, after = await _sample(rig, sampler, interval.duration_s)
        if change_task is not None:
            change_task.cancel()
        lost = sum(client.holder.lost_count for client in load.clients)
        if lost or await _find_leader(leases, secret) != leader:
            return Point(amount, {}, f"{lost} leases were lost, or another keeper leads now")
    finally:
        await asyncio.gather(*(client.close() for client in load.clients))
    if load.changes_a_second:
        counted = sum(start <= at <= start + interval.duration_s for at in changes.times)
        amount = counted / interval.duration_s
    rates = ByteRates(before, after)
    metrics = replica_metrics(leader, sampler.samples, rates)
    metrics["bytes_in_holders"] = rates.between(OUTSIDE, leader)
    metrics["bytes_out_holders"] = rates.between(leader, OUTSIDE)
    return Point(amount, metrics, rig.void_reason())


async def _acquire_all(load: HolderLoad) -> str:
    """Wait until all leases are held; return the first one that was not granted in time, else empty."""
    names = [
        (client, f"team-h{number}-{index}")
        for number, client in enumerate(load.clients)
        for index in range(load.leases_per_client)
    ]
    for client, name in names:
        client.request_lease(name, LEASE_DURATION)
    for client, name in names:
        if not await client.wait_until_held(name, GRANT_TIMEOUT):
            return name
    return ""


async def _sample(rig: Rig, sampler: UsageSampler, seconds: float) -> tuple[LinkBytes, LinkBytes]:
    end = time.monotonic() + seconds
    before = await read_link_bytes(rig)
    while time.monotonic() < end:
        sampler.sample()
        await asyncio.sleep(SAMPLE_INTERVAL)
    return before, await read_link_bytes(rig)


async def _measure_load(
    load: str,
    amounts: Sequence[float],
    make_load: LoadFactory,
    request: MeasurementRequest,
    fixed_amounts: dict[str, float],
) -> MeasurementResult:
    result = NO_RESULT
    for servers in SERVER_COUNTS:
        runs = [_measure_point(servers, amount, make_load, request) for amount in amounts]
        points = await run_points(runs, request)
        fleet = f"{servers} keepers"
        for point in points:
            text = point.void or f"core {point.metrics['core_share']:.2%}"
            request.report_progress(f"{fleet}, {load} {point.load:g}: {text}")
        fixed = {"keepers": float(servers), **fixed_amounts}
        measured = MeasuredLoad(ROLE, load, METHOD, fixed, fleet=fleet)
        result = result.plus(make_result(measured, points))
    return result


def _make_clients(servers: LeaseServers, count: int) -> list[LeaseClient]:
    return [LeaseClient(servers, f"h{number}") for number in range(count)]


async def measure_holders(request: MeasurementRequest) -> MeasurementResult:
    """Vary the number of holders, each with one lease."""

    def make_load(servers: LeaseServers, amount: float) -> HolderLoad:
        """Create `amount` holders."""
        return HolderLoad(_make_clients(servers, int(amount)), 1)

    return await _measure_load("holders", (50, 150, 300, 980), make_load, request, {"names_each": 1.0})


async def measure_names(request: MeasurementRequest) -> MeasurementResult:
    """Vary the number of leases of a fixed number of holders."""

    def make_load(servers: LeaseServers, amount: float) -> HolderLoad:
        """Divide `amount` leases among the holders."""
        return HolderLoad(_make_clients(servers, FIXED_HOLDERS), int(amount) // FIXED_HOLDERS)

    fixed = {"holders": float(FIXED_HOLDERS)}
    return await _measure_load("names", (100, 400, 1000), make_load, request, fixed)


async def measure_changes(request: MeasurementRequest) -> MeasurementResult:
    """Vary the rate at which leases change their holder."""

    def make_load(servers: LeaseServers, amount: float) -> HolderLoad:
        """Create holders, with `amount` changes of holder a second."""
        return HolderLoad(_make_clients(servers, FIXED_CHANGING_HOLDERS), 1, amount)

    fixed = {"holders": float(FIXED_CHANGING_HOLDERS), "names_each": 1.0}
    return await _measure_load("changes_of_holder_a_second", (5, 20, 80), make_load, request, fixed)


MEASUREMENTS = [
    Measurement((ROLE,), "holders", measure_holders),
    Measurement((ROLE,), "names", measure_names),
    Measurement((ROLE,), "changes_of_holder_a_second", measure_changes),
]
