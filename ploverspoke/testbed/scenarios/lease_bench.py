"""`testbed bench --leases`: what keepers bear, and what many holders cost them.

Real keepers, each a process; the load is one process of many holders. As with the other benches, figures are
set against one another within one call.
"""

import asyncio
import os
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

import msgspec
from rich.table import Table

from ploverspoke.consensus.admin_messages import StatusRequest, StatusRow
from ploverspoke.consensus.framing import FrameCodec
from ploverspoke.consensus.replica_client import call_replica
from ploverspoke.leases.client import LeaseClient
from ploverspoke.leases.config import LeaseServers, read_lease_servers

from ..experiment_files.durations import SECOND, Duration
from ..processes.capacity_check import memory_backed_folder
from ..processes.rig import Rig
from .lease_scenario import LeaseFleet, LeaseScenario

SIZES = (3, 5)  # keepers
CONNECTIONS = 64  # of the load
NAMES = 10  # that each renews with one message
HOLDERS, HOLD = 300, 10  # s, the duration of their leases
TICKS = os.sysconf("SC_CLK_TCK")
Say = Callable[[str], None]


class LeaseFigures(msgspec.Struct):
    rows: list[dict[str, Any]]


class Asker(asyncio.Protocol):
    """Asks again as soon as it is answered; with `renews` it keeps its names, else it gives them back."""

    def __init__(self, load: "Load", number: int) -> None:
        self.load, self.n = load, 0
        self.frames = FrameCodec(
            load.keepers.secret, {"id": f"load/{os.urandom(4).hex()}{number}", "store": ""}
        )
        # Names of its own: what an earlier load has left held is over by its time only.
        self.prefix = f"team-{'r' if load.renews else 'g'}{number}"
        self.tokens = {f"{self.prefix}-{k}": 0 for k in range(NAMES if load.renews else 1)}
        self.transport: asyncio.Transport | None = None
        self.greeted = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(self.frames.greeting_frame())

    def data_received(self, data: bytes) -> None:
        messages = self.frames.decode(data)
        self.load.octets += len(data)
        if not self.greeted and self.frames.peer_greeting is not None:
            self.greeted = True
            self._ask()
        for message in cast(list[dict[str, Any]], messages):
            has = [row for row in message.get("has", ()) if row[0] in self.tokens]
            for name, token, _ in has:
                self.load.renewed += self.tokens[name] == token
                self.load.granted += self.tokens[name] != token
                self.tokens[name] = token
            # Nothing is asked again before all is had: a grant comes once a majority has written it.
            if has and all(self.tokens.values()):
                self._ask()

    def _ask(self) -> None:
        if self.load.over or self.transport is None:
            return
        self.n += 1
        release = []
        if not self.load.renews and all(self.tokens.values()):
            release = [[name, token, ""] for name, token in self.tokens.items()]
            self.tokens = {f"{self.prefix}-{self.n}": 0}
        want = [[name, 10 * SECOND, token, 0] for name, token in self.tokens.items()]
        data = self.frames.encode({"n": self.n, "want": want, "release": release})
        self.load.octets += len(data)
        self.transport.write(data)


class Load:
    def __init__(self, keepers: LeaseServers, renews: bool) -> None:
        self.keepers, self.renews = keepers, renews
        self.renewed = self.granted = self.octets = 0
        self.over = False

    async def run(self, where: str, seconds: float) -> dict[str, float]:
        host, _, port = where.rpartition(":")
        loop = asyncio.get_running_loop()
        askers = [Asker(self, number) for number in range(CONNECTIONS)]
        for asker in askers:
            await loop.create_connection(lambda asker=asker: asker, host, int(port))  # type: ignore[misc]
        await asyncio.sleep(1.0)
        self.renewed = self.granted = self.octets = 0
        began = time.monotonic()
        await asyncio.sleep(seconds)
        took = time.monotonic() - began
        found = {"renewals": self.renewed / took, "grants": self.granted / took, "octets": self.octets / took}
        self.over = True
        for asker in askers:
            if asker.transport is not None:
                asker.transport.abort()
        return found


def processor_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mib(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def _leader(leases: LeaseFleet, keepers: LeaseServers) -> tuple[str, int]:
    """Its address for holders, past the relays, and its process."""
    while True:
        for place in leases.keepers:
            told = await asyncio.to_thread(
                call_replica, place.endpoint("peers"), keepers.secret, StatusRequest(), StatusRow
            )
            process = leases.rig.processes[place.name].process
            if told.fields.get("leading") and process is not None:
                return place.endpoint("clients"), process.pid
        await asyncio.sleep(0.1)


async def _measure(size: int, seconds: float, folder: Path, say: Say) -> dict[str, Any]:
    plan = LeaseScenario(keepers=size, contenders=0, names={"team-*": 1}, duration=Duration(10 * SECOND))
    async with Rig(folder, 1) as rig:
        leases = LeaseFleet(rig, plan)
        await leases.start()
        keepers = read_lease_servers(leases.file)
        where, pid = await _leader(leases, keepers)
        row: dict[str, Any] = {"keepers": size}
        for what, renews in (("renewals", True), ("grants", False)):
            before = processor_seconds(pid)
            found = await Load(keepers, renews).run(where, seconds)
            core = (processor_seconds(pid) - before) / (seconds + 1.0)
            row |= {f"{what}_a_second": found[what], f"core_at_{what}": core}
            if renews:
                row[f"octets_for_{NAMES}_names"] = found["octets"] * NAMES / max(1.0, found[what])
            say(f"{size} keepers: {found[what]:,.0f} {what} a second, leader {core:.0%} of a core")
        direct = LeaseServers({}, [where], keepers.secret)
        clients = [LeaseClient(direct, f"h{number}") for number in range(HOLDERS)]
        for number, client in enumerate(clients):
            client.want(f"team-h{number}", HOLD * SECOND)
        await asyncio.gather(
            *(client.wait_until_held(f"team-h{number}", 10.0) for number, client in enumerate(clients))
        )
        before, renewals = processor_seconds(pid), sum(client.holder.renewals for client in clients)
        lasts = max(seconds, 2 * HOLD)
        await asyncio.sleep(lasts)
        row["held"] = sum(bool(client.token(f"team-h{number}")) for number, client in enumerate(clients))
        row["held_core"] = (processor_seconds(pid) - before) / lasts
        row["held_renewals_a_second"] = (sum(c.holder.renewals for c in clients) - renewals) / lasts
        row["leader_mib"] = resident_mib(pid)
        await asyncio.gather(*(client.close() for client in clients))
        say(f"{size} keepers, {row['held']} held for {HOLD} s: leader {row['held_core']:.1%} of a core")
        return row


def measure_leases(quick: bool, say: Say) -> LeaseFigures:
    rows = []
    for size in SIZES[:1] if quick else SIZES:
        with tempfile.TemporaryDirectory(prefix="ploverspoke-leases-", dir=memory_backed_folder()) as name:
            rows.append(asyncio.run(_measure(size, 3.0 if quick else 10.0, Path(name), say)))
    return LeaseFigures(rows)


def lease_tables(found: LeaseFigures) -> list[Table]:
    table = Table(title=f"LeaseServers: {CONNECTIONS} connections that ask at once, {NAMES} names each")
    keys = list(found.rows[0])
    for key in keys:
        table.add_column(key.replace("_", " "), justify="right")
    for row in found.rows:
        table.add_row(*(f"{row[key]:,.3g}" if isinstance(row[key], float) else str(row[key]) for key in keys))
    return [table]
