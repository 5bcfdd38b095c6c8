"""Fake workers of a soak: they serve requests, drain, and record every request that arrives.

The workers in `worker_server`, for experiments, are backed by the worker model instead.
"""

import asyncio
import contextlib
import random
from collections import defaultdict
from functools import partial
from typing import NamedTuple

from .discovery_protocol import ListedEndpoint
from .http_wire import HttpMessage, encode_response, read_message
from .worker_protocol import (
    ExecutionUpdate,
    LoadReport,
    encode_execution_update,
    encode_load_report,
    encode_not_started,
)

MAX_EXECUTION_S = 0.06  # for most requests
MAX_LONG_EXECUTION_S = 0.4
LONG_EXECUTION_SHARE = 0.03
LOAD = LoadReport(backlog=0, free_slots=8)


class Arrival(NamedTuple):
    """An attempt that arrived at a worker."""

    at: float  # seconds of the event loop's clock
    worker: str
    request_id: str
    has_run: bool


class RecordingWorkers:
    """All workers; a draining one fails health checks and returns each request without starting it."""

    def __init__(self, count: int, randomness: random.Random) -> None:
        """Create `count` workers; they listen after `start`."""
        self.names = [f"w{number}" for number in range(count)]
        self.random = randomness
        self.draining: set[str] = set()
        self.arrivals: list[Arrival] = []
        self.arrivals_by_request: dict[str, list[Arrival]] = defaultdict(list)
        self.servers: list[asyncio.Server] = []

    async def start(self) -> list[ListedEndpoint]:
        """Start listening; returns the entries of the endpoint list."""
        entries = []
        for name in self.names:
            server = await asyncio.start_server(partial(self._serve, name), "127.0.0.1", 0)
            self.servers.append(server)
            address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            entries.append(
                ListedEndpoint(id=name, addr=address, zone="a", kind="plain", state="Ready", started_ms=0)
            )
        return entries

    def close(self) -> None:
        """Stop listening."""
        for server in self.servers:
            server.close()

    async def _serve(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await self._answer(name, await read_message(reader), writer)
        writer.close()

    async def _answer(self, name: str, request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        is_draining = name in self.draining
        if request.method == "GET":
            writer.write(encode_response(503, "Draining", b"") if is_draining else encode_load_report(LOAD))
            return
        request_id = request.headers["request-id"]
        now = asyncio.get_running_loop().time()
        arrival = Arrival(now, name, request_id, has_run=not is_draining)
        self.arrivals.append(arrival)
        self.arrivals_by_request[request_id].append(arrival)
        if is_draining:
            writer.write(encode_not_started())
            return
        writer.write(encode_execution_update(ExecutionUpdate(request_id, name, "started"), is_first=True))
        is_long = self.random.random() < LONG_EXECUTION_SHARE
        max_execution = MAX_LONG_EXECUTION_S if is_long else MAX_EXECUTION_S
        await asyncio.sleep(self.random.random() * max_execution)
        done = ExecutionUpdate(request_id, name, "done", result=request_id)
        writer.write(encode_execution_update(done, is_last=True))
