"""Clients of a soak: they keep their connections, and send on them for as long as these stay open."""

import asyncio
import contextlib
import random
from collections import Counter

from .recording_workers import RecordingWorkers

DEADLINE = 0.9  # seconds, of both classes of the deployment
ANSWER_SLACK = 0.5  # after that an answer earns nothing; later it counts as lost
CROSSING_TIME = 0.02  # an end so soon after the request crossed it: it was not read
RECONNECT_PAUSE = 0.02


class PersistentClients:
    """All clients, and what became of their requests."""

    def __init__(self, port: int, workers: RecordingWorkers, randomness: random.Random) -> None:
        """Clients of the dispatcher at that port."""
        self.port = port
        self.workers = workers
        self.random = randomness
        self.sent = 0
        self.statuses: Counter[int] = Counter()
        self.lost: list[str] = []
        self.non_idempotent: set[str] = set()
        self.is_over = False
        self.loop = asyncio.get_running_loop()

    async def run(self, number: int) -> None:
        """One client, until the soak is over."""
        while not self.is_over:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                await asyncio.sleep(RECONNECT_PAUSE)
                continue
            with contextlib.suppress(ConnectionError):
                while not self.is_over and await self._exchange(number, reader, writer):
                    # Some rest for long, until the dispatcher closes the connection or is killed.
                    is_long = self.random.random() < 0.02
                    await asyncio.sleep(self.random.random() * (3.0 if is_long else 0.08))
            writer.close()

    async def _exchange(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """One request; returns whether the connection can be used on."""
        self.sent += 1
        request_id = f"c{number}-{self.sent}"
        class_name = "look" if self.random.random() < 0.7 else "book"
        if class_name == "book":
            self.non_idempotent.add(request_id)
        lines = f"POST /{class_name} HTTP/1.1\r\nHost: soak\r\nRequest-Id: {request_id}\r\nTenant: acme\r\n"
        timeout = f"Request-Timeout-Ms: {int(DEADLINE * 1000)}\r\n"
        began_at = self.loop.time()
        writer.write(f"{lines}{timeout}Content-Length: 1\r\n\r\nx".encode())
        try:
            async with asyncio.timeout(DEADLINE + ANSWER_SLACK):
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
                body = await reader.readexactly(int(head.partition("content-length: ")[2].split("\r\n")[0]))
        except TimeoutError:
            self.lost.append(f"{request_id}: no answer in {DEADLINE + ANSWER_SLACK} s")
            return False
        except (ConnectionError, asyncio.IncompleteReadError):
            elapsed = self.loop.time() - began_at
            if request_id in self.workers.by_request or elapsed > CROSSING_TIME:
                self.lost.append(f"{request_id}: closed without an answer after {elapsed:.3f} s")
            return False
        status = int(head.split()[1])
        self.statuses[status] += 1
        if status == 200 and body.decode() != request_id:
            self.lost.append(f"{request_id}: got another's answer")
        return "connection: close" not in head


async def hold_idle_connections(port: int, count: int, lasts: float) -> None:
    """Clients that say nothing and stay."""
    writers = []
    for _ in range(count):
        with contextlib.suppress(OSError):
            writers.append((await asyncio.open_connection("127.0.0.1", port))[1])
    await asyncio.sleep(lasts)
    for writer in writers:
        writer.close()
