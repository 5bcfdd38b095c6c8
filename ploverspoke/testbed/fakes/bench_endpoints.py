"""What `testbed bench` measures with: a worker that answers at once, and clients that do nothing but send.

`python -m ploverspoke.testbed.fakes.bench_endpoints worker COUNT` prints its ports and serves until its input
ends.
`... rig load PORT CLIENTS SECONDS RATE GRADE START` prints what it measured: closed loop where RATE is 0,
else an open loop of so many a second, whose waits count from when each one was due.
"""

import asyncio
import random
import sys
import time
from collections import deque

import msgspec
import uvloop
from hdrh.histogram import HdrHistogram

from .fake_process import send_message
from .http_wire import LAST_CHUNK, HttpReader, encode_chunk, encode_response

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LOAD = encode_response(200, "OK", b'{"backlog":0,"x0":1000}')


class QuickWorker(asyncio.Protocol):
    def __init__(self) -> None:
        self.reader = HttpReader()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        assert self.transport is not None
        for message in self.reader.feed(data):
            if message.first.startswith("GET"):
                self.transport.write(LOAD)
                continue
            if message.first.startswith("POST /plain"):
                self.transport.write(encode_response(200, "OK", b"done"))  # to a client itself: no chunks
                continue
            name = message.headers["request-id"].encode()
            started = encode_chunk(b'{"id":"%b","from":"w","state":"started"}\n' % name)
            done = encode_chunk(b'{"id":"%b","from":"w","state":"done","result":"done"}\n' % name)
            self.transport.write(HEAD + started + done + LAST_CHUNK)


class LoadClient(asyncio.Protocol):
    def __init__(self, load: "Load") -> None:
        self.load = load
        self.reader = HttpReader()
        self.transport: asyncio.Transport | None = None
        self.due = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def connection_lost(self, exc: Exception | None) -> None:
        self.load.ended += 1

    def ask(self, due: int) -> None:
        assert self.transport is not None
        self.due = due
        self.load.sent += 1
        self.transport.write(self.load.message())

    def data_received(self, data: bytes) -> None:
        for message in self.reader.feed(data):
            self.load.answered(self, message.first[9:12] == "200")


class Load:
    def __init__(self, port: int, clients: int, seconds: float, rate: float, grade: str, start: int) -> None:
        self.port = port
        self.seconds = seconds
        self.rate = rate
        self.start = start  # of the ids, so that no two loads share one
        self.head = f"POST /{grade} HTTP/1.1\r\nHost: bench\r\nRequest-Timeout-Ms: 2000\r\n"
        self.clients = [LoadClient(self) for _ in range(clients)]
        self.idle: deque[LoadClient] = deque()
        self.queue: deque[int] = deque()  # due, while all are busy
        self.sent = self.satisfied = self.nacked = self.ended = 0
        self.waits = HdrHistogram(1, 60_000_000, 3)
        self.chance = random.Random(start)
        self.until = 0
        self.late = 0

    def message(self) -> bytes:
        return f"{self.head}Request-Id: {self.start + self.sent:x}\r\nContent-Length: 4\r\n\r\nwork".encode()

    async def run(self) -> dict[str, float]:
        loop = asyncio.get_running_loop()
        for client in self.clients:
            await loop.create_connection(lambda client=client: client, "127.0.0.1", self.port)  # type: ignore[misc]
        began = time.monotonic_ns()
        self.until = began + int(self.seconds * 1e9)
        if self.rate:
            self.idle.extend(self.clients)
            await self._open_loop(began)
        else:
            for client in self.clients:
                client.ask(time.monotonic_ns())
            await asyncio.sleep(self.seconds)
        took = (time.monotonic_ns() - began) / 1e9
        await asyncio.sleep(0.2)
        return {
            "a_second": self.satisfied / took,
            "nacked": self.nacked,
            "p50_ms": self.waits.get_value_at_percentile(50) / 1000,
            "p99_ms": self.waits.get_value_at_percentile(99) / 1000,
            "late_ms": self.late / 1e6,
            "broken": self.ended,
        }

    async def _open_loop(self, began: int) -> None:
        due = float(began)
        while due < self.until:
            due += self.chance.expovariate(self.rate) * 1e9
            left = due - time.monotonic_ns()
            if left > 0:
                await asyncio.sleep(left / 1e9)
            else:
                self.late = max(self.late, int(-left))
            if self.idle:
                self.idle.popleft().ask(int(due))
            else:
                self.queue.append(int(due))

    def answered(self, client: LoadClient, satisfied: bool) -> None:
        now = time.monotonic_ns()
        if satisfied:
            self.satisfied += 1
            self.waits.record_value(max(1, (now - client.due) // 1000))
        else:
            self.nacked += 1
        if now >= self.until:
            return
        if not self.rate:
            client.ask(now)
        elif self.queue:
            client.ask(self.queue.popleft())
        else:
            self.idle.append(client)


async def worker(count: int) -> None:
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(QuickWorker, "127.0.0.1", 0) for _ in range(count)]
    send_message({"ports": [server.sockets[0].getsockname()[1] for server in servers]})
    await loop.run_in_executor(None, sys.stdin.read)


async def load(words: list[str]) -> None:
    port, clients, seconds, rate, grade, start = words
    found = await Load(int(port), int(clients), float(seconds), float(rate), grade, int(start)).run()
    print(msgspec.json.encode(found).decode(), flush=True)


if __name__ == "__main__":
    kind, *rest = sys.argv[1:]
    uvloop.run(worker(int(rest[0])) if kind == "worker" else load(rest))
