"""A stand-in discovery: the roster's model behind one listening socket for each dispatcher."""

import asyncio
import time
from typing import Any, cast
from urllib.parse import parse_qs, urlsplit

import msgspec

from ..chances import Streams
from ..fleet import Fleet
from ..roster import Call, Entry, Roster
from ..spans import MILLISECOND
from ..troubles import RosterTroubles
from .process import Spec, StandIn
from .wire import BadWire, Message, Reader, answer

STATES = {"ready": "Ready", "draining": "Terminating", "gone": "Gone"}
LONGEST_HOLD_MS = 60_000


class DiscoveryConnection(asyncio.Protocol):
    def __init__(self, discovery: "DiscoveryStandIn", dispatcher: int) -> None:
        self.discovery = discovery
        self.dispatcher = dispatcher
        self.reader = Reader()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None

    def data_received(self, data: bytes) -> None:
        try:
            for message in self.reader.feed(data):
                self._asked(message)
        except (BadWire, ValueError):
            self._write(answer(400, "Bad Request", b""))

    def _asked(self, message: Message) -> None:
        target = urlsplit(message.first.split(" ")[1])
        if target.path != "/api/targets":
            self._write(answer(404, "Not Found", b""))
            return
        query = parse_qs(target.query)
        version = int(query["from"][0]) if "from" in query else None
        hold = min(LONGEST_HOLD_MS, int(query.get("hold_ms", ["0"])[0])) * MILLISECOND
        self.discovery.roster.call(Call(self.dispatcher, version, self._told), hold)

    def _told(self, told: tuple[int, bool, list[Entry]] | None) -> None:
        if told is None:
            self._write(answer(503, "Service Unavailable", b"", "Connection: close\r\n"))
            if self.transport is not None:
                self.transport.close()
            return
        version, whole, entries = told
        servers = [self.discovery.shown(entry, self.dispatcher) for entry in entries]
        body = msgspec.json.encode({"version": version, "full": whole, "servers": servers})
        self._write(answer(200, "OK", body))

    def _write(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)


class DiscoveryStandIn(StandIn):
    def __init__(self, spec: Spec, part: int) -> None:
        super().__init__(spec, part)
        draws = Streams(self.seed).draws("discovery")
        self.roster = Roster(self.e.discovery, self.clock, self.seen, draws)
        fleet = Fleet(self.e, self.seed, self.clock, self.seen)
        for name, worker in fleet.workers.items():
            self.roster.enter(Entry(name, worker.zone, worker.kind, fleet.rack_of[name], "ready", 0))
        self.ports: dict[str, list[int]] = {}
        self.servers: list[asyncio.Server] = []

    async def prepare(self) -> dict[str, Any]:
        for number in range(self.e.dispatchers.count):
            self.servers.append(await self._listen(number))
        return {"ports": [server.sockets[0].getsockname()[1] for server in self.servers]}

    async def _listen(self, dispatcher: int) -> asyncio.Server:
        return await self.loop.create_server(lambda: DiscoveryConnection(self, dispatcher), "127.0.0.1", 0)

    def heard(self, told: dict[str, Any]) -> None:
        if "worker_ports" in told:  # dispatchers may ask before the run begins
            self.ports = told["worker_ports"]
        elif "fell" in told:
            self.troubles.fell(told["fell"])
        elif "back" in told:
            self.troubles.back(told["back"])

    def begin(self, told: dict[str, Any]) -> None:
        self.ports = told["worker_ports"]
        self.troubles = RosterTroubles(self.e, self.seed, self.clock, self.roster)

    def shown(self, entry: Entry, dispatcher: int) -> dict[str, Any]:
        # The run's clock begins at its epoch; starts are told in Unix time.
        ahead = time.time_ns() - time.monotonic_ns() + self.clock.epoch
        return {
            "id": entry.worker,
            "addr": f"127.0.0.1:{self.ports[entry.worker][dispatcher]}",
            "zone": self.e.zones()[entry.zone],
            "kind": self.e.kinds()[entry.kind],
            "cell": entry.rack,
            "state": STATES[entry.condition],
            "weight": 1.0,
            "started_ms": (entry.started_at + ahead) // MILLISECOND if entry.started_at else 0,
        }
