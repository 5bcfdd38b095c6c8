"""Clients of `testbed bench`: they send as fast as answers come, or at a rate, and measure the latency.

`python -m ploverspoke.testbed.fakes.load_generator PORT CLIENTS SECONDS RATE CLASS FIRST_ID` prints a
`LoadResult`. Where RATE is 0 the load is a closed loop; else an open loop of so many requests a second, whose
latencies count from when each was due.
"""

import asyncio
import random
import sys
import time
from collections import deque
from typing import NamedTuple

import msgspec
import uvloop
from hdrh.histogram import HdrHistogram

from ..processes.pipe_messages import send_message
from .http_connection import HttpConnection
from .http_wire import HttpMessage

NANOSECONDS = 1e9  # in a second
MAX_LATENCY_US = 60_000_000
HISTOGRAM_DIGITS = 3
GRACE = 0.2  # seconds for the last answers
REQUEST_TIMEOUT_MS = 2000


class LoadPlan(NamedTuple):
    """What a load generator sends."""

    port: int
    clients: int  # connections
    seconds: float
    rate: float  # requests a second; 0: a closed loop
    request_class: str
    first_id: int  # so that no two loads share an id


class LoadResult(msgspec.Struct):
    """What a load generator has measured."""

    requests_per_second: float  # that succeeded
    rejected: int  # requests with another answer
    p50_ms: float
    p99_ms: float
    max_lateness_ms: float  # of the generator, in an open loop
    connections_ended: int


class LoadClient(HttpConnection):
    """One connection, with one request in flight at most."""

    def __init__(self, generator: "LoadGenerator") -> None:
        """A connection that is about to be made."""
        super().__init__()
        self.generator = generator
        self.due_at = 0  # ns

    def connection_lost(self, exc: Exception | None) -> None:
        """Count it."""
        self.generator.connections_ended += 1

    def send(self, due_at: int) -> None:
        """Send the next request, which was due at that time."""
        assert self.transport is not None
        self.due_at = due_at
        self.transport.write(self.generator.next_request())

    def on_message(self, message: HttpMessage) -> None:
        """Report an answer."""
        self.generator.on_answer(self, message.status == 200)


class LoadGenerator:
    """All clients of a load."""

    def __init__(self, plan: LoadPlan) -> None:
        """Clients that have not connected yet."""
        self.plan = plan
        timeout = f"Request-Timeout-Ms: {REQUEST_TIMEOUT_MS}\r\n"
        self.request_head = f"POST /{plan.request_class} HTTP/1.1\r\nHost: bench\r\n{timeout}"
        self.clients = [LoadClient(self) for _ in range(plan.clients)]
        self.idle: deque[LoadClient] = deque()
        self.overdue: deque[int] = deque()  # times of requests that were due while no client was idle
        self.sent = self.succeeded = self.rejected = self.connections_ended = 0
        self.latencies_us = HdrHistogram(1, MAX_LATENCY_US, HISTOGRAM_DIGITS)
        self.random = random.Random(plan.first_id)
        self.ends_at = 0  # ns
        self.max_lateness = 0  # ns

    def next_request(self) -> bytes:
        """Return the next request."""
        self.sent += 1
        request_id = self.plan.first_id + self.sent
        return f"{self.request_head}Request-Id: {request_id:x}\r\nContent-Length: 4\r\n\r\nwork".encode()

    async def run(self) -> LoadResult:
        """Send for the planned time; returns what was measured."""
        loop = asyncio.get_running_loop()
        for client in self.clients:
            await loop.create_connection(lambda client=client: client, "127.0.0.1", self.plan.port)  # type: ignore[misc]
        began_at = time.monotonic_ns()
        self.ends_at = began_at + int(self.plan.seconds * NANOSECONDS)
        if self.plan.rate:
            self.idle.extend(self.clients)
            await self._run_open_loop(began_at)
        else:
            for client in self.clients:
                client.send(time.monotonic_ns())
            await asyncio.sleep(self.plan.seconds)
        elapsed = (time.monotonic_ns() - began_at) / NANOSECONDS
        await asyncio.sleep(GRACE)
        return LoadResult(
            requests_per_second=self.succeeded / elapsed,
            rejected=self.rejected,
            p50_ms=self.latencies_us.get_value_at_percentile(50) / 1000,
            p99_ms=self.latencies_us.get_value_at_percentile(99) / 1000,
            max_lateness_ms=self.max_lateness / 1e6,
            connections_ended=self.connections_ended,
        )

    async def _run_open_loop(self, began_at: int) -> None:
        due_at = float(began_at)
        while due_at < self.ends_at:
            due_at += self.random.expovariate(self.plan.rate) * NANOSECONDS
            time_left = due_at - time.monotonic_ns()
            if time_left > 0:
                await asyncio.sleep(time_left / NANOSECONDS)
            else:
                self.max_lateness = max(self.max_lateness, int(-time_left))
            if self.idle:
                self.idle.popleft().send(int(due_at))
            else:
                self.overdue.append(int(due_at))

    def on_answer(self, client: LoadClient, has_succeeded: bool) -> None:
        """Record an answer; its client sends the next request that is due."""
        now = time.monotonic_ns()
        if has_succeeded:
            self.succeeded += 1
            self.latencies_us.record_value(max(1, (now - client.due_at) // 1000))
        else:
            self.rejected += 1
        if now >= self.ends_at:
            return
        if not self.plan.rate:
            client.send(now)
        elif self.overdue:
            client.send(self.overdue.popleft())
        else:
            self.idle.append(client)


def parse_plan(words: list[str]) -> LoadPlan:
    """Read the command line."""
    port, clients, seconds, rate, request_class, first_id = words
    return LoadPlan(int(port), int(clients), float(seconds), float(rate), request_class, int(first_id))


async def main() -> None:
    """Run the load of the command line and print its result."""
    send_message(await LoadGenerator(parse_plan(sys.argv[1:])).run())


if __name__ == "__main__":
    uvloop.run(main())
