"""A stand-in discovery: the roster's model behind a socket. Dispatchers are known by their addresses."""

import asyncio
import time
from typing import Any, cast
from urllib.parse import parse_qs, urlsplit

import msgspec

from ..experiment_files.durations import MILLISECOND
from ..models.discovery import DiscoveryCall, DiscoveryModel, EndpointEntry
from ..models.faults import DiscoveryFaults, ZoneCuts
from ..models.random_streams import RandomStreams
from ..models.worker_fleet import WorkerFleet
from .fake_process import FakeProcess, FakeProcessSpec, send_message
from .http_wire import HttpMessage, HttpReader, HttpSyntaxError, encode_response

STATES = {"ready": "Ready", "draining": "Terminating", "gone": "Gone"}
LONGEST_HOLD_MS = 60_000


class DiscoveryConnection(asyncio.Protocol):
    def __init__(self, discovery: "FakeDiscovery") -> None:
        self.discovery = discovery
        self.dispatcher = -1
        self.reader = HttpReader()
        self.transport: asyncio.Transport | None = None
        self.traffic = discovery.counters.of(-1)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.dispatcher = self.discovery.dispatchers.get(transport.get_extra_info("peername")[0], -1)
        if self.dispatcher < 0:
            send_message({"fault": "discovery was called by somebody who is no dispatcher"})
            self.transport.abort()
            return
        self.traffic = self.discovery.counters.of(self.dispatcher)
        self.traffic.connected += 1
        self.traffic.connections += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.traffic.connections -= 1

    def data_received(self, data: bytes) -> None:
        if self.discovery.roster.unreached(self.dispatcher):
            return
        self.traffic.bytes_out += len(data)
        try:
            for message in self.reader.feed(data):
                self.traffic.messages_out += 1
                self._asked(message)
        except (HttpSyntaxError, ValueError):
            self._write(encode_response(400, "Bad Request", b""))

    def _asked(self, message: HttpMessage) -> None:
        target = urlsplit(message.first.split(" ")[1])
        if target.path != "/api/targets":
            self._write(encode_response(404, "Not Found", b""))
            return
        query = parse_qs(target.query)
        version = int(query["from"][0]) if "from" in query else None
        hold = min(LONGEST_HOLD_MS, int(query.get("hold_ms", ["0"])[0])) * MILLISECOND
        self.discovery.roster.call(DiscoveryCall(self.dispatcher, version, self._told), hold)

    def _told(self, told: tuple[int, bool, list[EndpointEntry]] | None) -> None:
        if told is None:
            self._write(encode_response(503, "Service Unavailable", b"", "Connection: close\r\n"))
            if self.transport is not None and not self.discovery.roster.unreached(self.dispatcher):
                self.transport.close()
            return
        version, whole, entries = told
        servers = [self.discovery.shown(entry) for entry in entries]
        body = msgspec.json.encode({"version": version, "full": whole, "servers": servers})
        self._write(encode_response(200, "OK", body))

    def _write(self, data: bytes) -> None:
        if self.transport is not None and not self.discovery.roster.unreached(self.dispatcher):
            self.traffic.bytes_in += len(data)
            self.traffic.messages_in += 1
            self.transport.write(data)


class FakeDiscovery(FakeProcess):
    def __init__(self, spec: FakeProcessSpec, part: int) -> None:
        super().__init__(spec, part)
        draws = RandomStreams(self.seed).draws("discovery")
        self.roster = DiscoveryModel(self.e.discovery, self.clock, self.seen, draws)
        fleet = WorkerFleet(self.e, self.seed, self.clock, self.seen)
        for name, worker in fleet.workers.items():
            self.roster.enter(EndpointEntry(name, worker.zone, worker.kind, fleet.rack_of[name], "ready", 0))
        self.addresses: dict[str, str] = {}
        self.zones, self.kinds = self.e.zones(), self.e.kinds()
        self.dispatchers = {host: number for number, host in enumerate(spec.hosts)}

    async def prepare(self) -> dict[str, Any]:
        host = self.spec.own_hosts["discovery"]
        server = await self.loop.create_server(
            lambda: DiscoveryConnection(self), host, 0, backlog=len(self.dispatchers) + 64
        )
        return {"address": f"{host}:{server.sockets[0].getsockname()[1]}"}

    def moved(self, by: int) -> None:
        super().moved(by)
        self.roster.free_at += by

    def heard(self, told: dict[str, Any]) -> None:
        if "workers" in told:  # dispatchers ask before the run begins
            self.addresses = told["workers"]
        elif "who was told" in told:
            send_message({"told": sum(one.bytes_in > 0 for one in self.counters.traffic)})
        elif "fell" in told:
            self.faults.fell(told["fell"])
        elif "back" in told:
            self.faults.back(told["back"])

    def begin(self, told: dict[str, Any]) -> None:
        self.faults = DiscoveryFaults(self.e, self.seed, self.clock, self.roster)
        cuts, zones = ZoneCuts(self.e, self.clock), len(self.zones)
        self.roster.unreached = lambda dispatcher: not cuts.reaches_discovery(dispatcher % zones)

    def counts(self) -> dict[str, Any]:
        return {"version": self.roster.version}

    def shown(self, entry: EndpointEntry) -> dict[str, Any]:
        # The run's clock begins at its epoch; starts are told in Unix time.
        ahead = time.time_ns() - time.monotonic_ns() + self.clock.epoch
        return {
            "id": entry.worker,
            "addr": self.addresses[entry.worker],
            "zone": self.zones[entry.zone],
            "kind": self.kinds[entry.kind],
            "cell": entry.rack,
            "state": STATES[entry.condition],
            "weight": 1.0,
            "started_ms": (entry.started_at + ahead) // MILLISECOND if entry.started_at else 0,
        }
