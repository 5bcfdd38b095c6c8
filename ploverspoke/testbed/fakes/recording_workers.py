"""Workers of a soak: they serve, drain, and note every request that comes."""

import asyncio
import contextlib
import json
import random
from collections import defaultdict
from typing import Any, NamedTuple

from .http_wire import LAST_CHUNK, encode_chunk, encode_response

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LONGEST_RUN = 0.06  # seconds, for most requests
LONG_RUN = 0.4
LONG_SHARE = 0.03
LOAD = b'{"backlog":0,"x0":8}'


class Arrival(NamedTuple):
    """One attempt as its worker saw it."""

    at: float  # of the event loop's clock
    worker: str
    request_id: str
    has_run: bool


class RecordingWorkers:
    """All workers; one that drains answers health checks unwell and returns requests unstarted."""

    def __init__(self, count: int, randomness: random.Random) -> None:
        """`count` workers, which listen after `start`."""
        self.names = [f"w{number}" for number in range(count)]
        self.random = randomness
        self.draining: set[str] = set()
        self.arrivals: list[Arrival] = []
        self.by_request: dict[str, list[Arrival]] = defaultdict(list)
        self.servers: list[asyncio.Server] = []

    async def start(self) -> list[dict[str, Any]]:
        """Listen; returns the entries of the endpoint list."""
        entries = []
        for name in self.names:
            server = await asyncio.start_server(self._serves(name), "127.0.0.1", 0)
            self.servers.append(server)
            port = server.sockets[0].getsockname()[1]
            place = {"zone": "a", "kind": "plain", "state": "Ready", "started_ms": 0}
            entries.append({"id": name, "addr": f"127.0.0.1:{port}", **place})
        return entries

    def close(self) -> None:
        """Listen no more."""
        for server in self.servers:
            server.close()

    def _serves(self, name: str) -> Any:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                while True:
                    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                    await self._answer(name, head, reader, writer)
            writer.close()

        return serve

    async def _answer(
        self, name: str, head: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        is_draining = name in self.draining
        if head.startswith("GET "):
            writer.write(
                encode_response(503, "Draining", b"") if is_draining else encode_response(200, "OK", LOAD)
            )
            return
        lines = (line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
        headers = {key.lower(): value for key, value in lines}
        await reader.readexactly(int(headers.get("content-length", 0)))
        request_id = headers["request-id"]
        now = asyncio.get_running_loop().time()
        arrival = Arrival(now, name, request_id, has_run=not is_draining)
        self.arrivals.append(arrival)
        self.by_request[request_id].append(arrival)
        if is_draining:
            writer.write(encode_response(503, "Draining", b"", "Not-Started: 1\r\n"))
            return
        writer.write(HEAD + _line({"id": request_id, "from": name, "state": "started"}))
        longest = LONG_RUN if self.random.random() < LONG_SHARE else LONGEST_RUN
        await asyncio.sleep(self.random.random() * longest)
        done = {"id": request_id, "from": name, "state": "done", "result": request_id}
        writer.write(_line(done) + LAST_CHUNK)


def _line(line: dict[str, str]) -> bytes:
    return encode_chunk(json.dumps(line).encode() + b"\n")
