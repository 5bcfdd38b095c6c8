"""`testbed bench --leases`: throughput and cost of lease servers, and what many holders cost the leader.

The servers are real processes; the load comes from one process that acts as many holders. As with the other
benchmarks, only measurements of the same call can be compared with each other.
"""

import asyncio
import os
import tempfile
from pathlib import Path

import msgspec
from rich.table import Table

from ploverspoke.consensus.admin_messages import StatusRequest, StatusRow
from ploverspoke.consensus.replica_client import call_replica
from ploverspoke.leases.client import LeaseClient
from ploverspoke.leases.config import LeaseServers, read_lease_servers

from ..experiment_files.durations import SECOND, Duration
from ..processes.capacity_check import MEBIBYTE, memory_backed_folder
from ..processes.resource_usage import read_resource_usage
from ..processes.rig import Rig
from .bench_process import Log
from .lease_experiment import LeaseScenario
from .lease_fleet import LeaseFleet
from .lease_load import CONNECTIONS, LEASES_PER_MESSAGE, WARM_UP, LeaseLoad

SERVER_COUNTS = (3, 5)
HOLDERS = 300
HOLD_DURATION = 10  # seconds, of the holders' leases
HOLD_TIMEOUT = 10.0  # seconds
SECONDS, QUICK_SECONDS = 10.0, 3.0  # duration of one load
LEADER_POLL_INTERVAL = 0.1  # seconds
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class LeaseServerMetrics(
    msgspec.Struct,
    kw_only=True,
    rename={
        "servers": "keepers",
        "renewals_per_second": "renewals_a_second",
        "bytes_for_10_leases": "octets_for_10_names",
        "grants_per_second": "grants_a_second",
        "held_renewals_per_second": "held_renewals_a_second",
    },
):
    """Measurements with a number of lease servers; fields with `core` are the leader's share of a core."""

    servers: int
    renewals_per_second: float
    core_at_renewals: float
    bytes_for_10_leases: float  # to renew 10 leases, which one message does
    grants_per_second: float
    core_at_grants: float
    held: int  # leases that the holders have
    held_core: float
    held_renewals_per_second: float
    leader_mib: float


class LeaseMetrics(msgspec.Struct):
    """All measurements of one call."""

    rows: list[LeaseServerMetrics]


class Leader(msgspec.Struct):
    """The lease server that leads."""

    address: str  # at which holders reach it without the proxy
    pid: int


class LoadCost(msgspec.Struct):
    """One load on the leader: its rate and bytes per second, and the leader's share of a core."""

    rate: float
    bytes: float
    core: float


class HoldCost(msgspec.Struct):
    """What a number of held leases costs the leader."""

    held: int
    core: float
    renewals: float  # a second


def measure_leases(is_quick: bool, log: Log) -> LeaseMetrics:
    """Take all measurements."""
    rows = []
    for size in SERVER_COUNTS[:1] if is_quick else SERVER_COUNTS:
        with tempfile.TemporaryDirectory(prefix="ploverspoke-leases-", dir=memory_backed_folder()) as folder:
            rows.append(
                asyncio.run(_measure(size, QUICK_SECONDS if is_quick else SECONDS, Path(folder), log))
            )
    return LeaseMetrics(rows)


async def _measure(size: int, seconds: float, folder: Path, log: Log) -> LeaseServerMetrics:
    scenario = LeaseScenario(
        servers=size, candidates=0, leases={"team-*": 1}, lease_duration=Duration(HOLD_DURATION * SECOND)
    )
    async with Rig(folder, 1) as rig:
        fleet = LeaseFleet(rig, scenario)
        await fleet.start()
        servers = read_lease_servers(fleet.servers_file)
        leader = await _find_leader(fleet, servers)
        renewals = await _measure_load(leader, servers, True, seconds)
        log(f"{size} lease servers: {renewals.rate:,.0f} renewals a second, {renewals.core:.0%} of a core")
        grants = await _measure_load(leader, servers, False, seconds)
        log(f"{size} lease servers: {grants.rate:,.0f} grants a second, {grants.core:.0%} of a core")
        direct = LeaseServers({}, [leader.address], servers.secret)
        clients = [LeaseClient(direct, f"h{number}") for number in range(HOLDERS)]
        hold_cost = await _measure_holders(leader, clients, max(seconds, 2 * HOLD_DURATION))
        leader_mib = read_resource_usage(leader.pid).memory_bytes / MEBIBYTE
        await asyncio.gather(*(client.close() for client in clients))
    log(
        f"{size} lease servers, {hold_cost.held} leases held for {HOLD_DURATION} s: "
        f"leader {hold_cost.core:.1%} of a core"
    )
    return LeaseServerMetrics(
        servers=size,
        renewals_per_second=renewals.rate,
        core_at_renewals=renewals.core,
        bytes_for_10_leases=renewals.bytes * LEASES_PER_MESSAGE / max(1.0, renewals.rate),
        grants_per_second=grants.rate,
        core_at_grants=grants.core,
        held=hold_cost.held,
        held_core=hold_cost.core,
        held_renewals_per_second=hold_cost.renewals,
        leader_mib=leader_mib,
    )


async def _find_leader(fleet: LeaseFleet, servers: LeaseServers) -> Leader:
    while True:
        for address in fleet.servers:
            status = await asyncio.to_thread(
                call_replica, address.endpoint("peers"), servers.secret, StatusRequest(), StatusRow
            )
            process = fleet.rig.processes[address.name].process
            if status.fields.get("leading") and process is not None:
                return Leader(address.endpoint("clients"), process.pid)
        await asyncio.sleep(LEADER_POLL_INTERVAL)


async def _measure_load(leader: Leader, servers: LeaseServers, is_renewing: bool, seconds: float) -> LoadCost:
    cpu_before = _cpu_seconds(leader.pid)
    result = await LeaseLoad(servers, is_renewing).run(leader.address, seconds)
    core = (_cpu_seconds(leader.pid) - cpu_before) / (seconds + WARM_UP)
    return LoadCost(result.renewals if is_renewing else result.grants, result.bytes, core)


async def _measure_holders(leader: Leader, clients: list[LeaseClient], seconds: float) -> HoldCost:
    """Have each client hold one lease for `seconds`, and return what that costs the leader."""
    names = [f"team-h{number}" for number in range(len(clients))]
    for client, name in zip(clients, names, strict=True):
        client.request_lease(name, HOLD_DURATION * SECOND)
    await asyncio.gather(
        *(client.wait_until_held(name, HOLD_TIMEOUT) for client, name in zip(clients, names, strict=True))
    )
    cpu_before, renewals_before = _cpu_seconds(leader.pid), _count_renewals(clients)
    await asyncio.sleep(seconds)
    return HoldCost(
        held=sum(bool(client.token(name)) for client, name in zip(clients, names, strict=True)),
        core=(_cpu_seconds(leader.pid) - cpu_before) / seconds,
        renewals=(_count_renewals(clients) - renewals_before) / seconds,
    )


def _count_renewals(clients: list[LeaseClient]) -> int:
    return sum(client.holder.renewal_count for client in clients)


def _cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user, system = fields[11:13]
    return (int(user) + int(system)) / CLOCK_TICKS_PER_SECOND


def lease_tables(metrics: LeaseMetrics) -> list[Table]:
    """Return the table of all measurements."""
    title = f"lease servers: {CONNECTIONS} connections that send at once, {LEASES_PER_MESSAGE} leases each"
    table = Table(title=title)
    rows = [msgspec.structs.asdict(row) for row in metrics.rows]
    for key in rows[0]:
        table.add_column(key.replace("_", " "), justify="right")
    for row in rows:
        table.add_row(
            *(f"{value:,.3g}" if isinstance(value, float) else str(value) for value in row.values())
        )
    return [table]
