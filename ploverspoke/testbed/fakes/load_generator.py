"""Clients of `testbed bench`: they send in a closed loop or at a rate, and measure throughput and latency.

`python -m ploverspoke.testbed.fakes.load_generator PORT CLIENTS SECONDS RATE CLASS FIRST_ID` prints a
`LoadResult`. If RATE is 0 the load is a closed loop. Otherwise it is an open loop of RATE requests per
second, whose latencies are measured from the time at which each request was due.
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

NS_PER_SECOND = 1e9
MAX_LATENCY_US = 60_000_000
HISTOGRAM_DIGITS = 3  # significant digits
FINAL_ANSWERS_TIMEOUT_S = 0.2
REQUEST_TIMEOUT_MS = 2000


class LoadPlan(NamedTuple):
    """The parameters of a load."""

    port: int
    clients: int  # connections
    seconds: float
    rate: float  # requests per second; 0: closed loop
    request_class: str
    first_id: int  # request ids count from it, so that no two loads share an id


class LoadResult(msgspec.Struct):
    """The measurements of a load generator."""

    requests_per_second: float  # successful ones only
    rejected: int  # requests answered with a status other than 200
    p50_ms: float
    p99_ms: float
    max_lateness_ms: float  # of the generator in an open loop
    connections_ended: int


class LoadClient(HttpConnection):
    """One connection with at most one request in flight."""

    def __init__(self, generator: "LoadGenerator") -> None:
        """Create the protocol of a connection that is not open yet."""
        super().__init__()
        self.generator = generator
        self.due_at = 0  # ns, of the request in flight

    def connection_lost(self, exc: Exception | None) -> None:
        """Count the ended connection."""
        self.generator.connections_ended += 1

    def send(self, due_at: int) -> None:
        """Send the next request; its latency is measured from `due_at`."""
        assert self.transport is not None
        self.due_at = due_at
        self.transport.write(self.generator.next_request())

    def on_message(self, message: HttpMessage) -> None:
        """Report the answer to the generator."""
        self.generator.on_answer(self, message.status == 200)


class LoadGenerator:
    """All clients of a load."""

    def __init__(self, plan: LoadPlan) -> None:
        """Create the clients; they connect in `run`."""
        self.plan = plan
        timeout = f"Request-Timeout-Ms: {REQUEST_TIMEOUT_MS}\r\n"
        self.request_head = f"POST /{plan.request_class} HTTP/1.1\r\nHost: bench\r\n{timeout}"
        self.clients = [LoadClient(self) for _ in range(plan.clients)]
        self.idle: deque[LoadClient] = deque()
        self.overdue_times: deque[int] = deque()  # due times of requests that wait for an idle client
        self.sent = self.succeeded = self.rejected = self.connections_ended = 0
        self.latencies_us = HdrHistogram(1, MAX_LATENCY_US, HISTOGRAM_DIGITS)
        self.random = random.Random(plan.first_id)
        self.ends_at = 0  # ns
        self.max_lateness = 0  # ns

    def next_request(self) -> bytes:
        """Return the next request as HTTP."""
        self.sent += 1
        request_id = self.plan.first_id + self.sent
        return f"{self.request_head}Request-Id: {request_id:x}\r\nContent-Length: 4\r\n\r\nwork".encode()

    async def run(self) -> LoadResult:
        """Send for the planned time; returns the measurements."""
        loop = asyncio.get_running_loop()
        for client in self.clients:
            await loop.create_connection(lambda client=client: client, "127.0.0.1", self.plan.port)  # type: ignore[misc]
        began_at = time.monotonic_ns()
        self.ends_at = began_at + int(self.plan.seconds * NS_PER_SECOND)
        if self.plan.rate:
            self.idle.extend(self.clients)
            await self._run_open_loop(began_at)
        else:
            for client in self.clients:
                client.send(time.monotonic_ns())
            await asyncio.sleep(self.plan.seconds)
        elapsed = (time.monotonic_ns() - began_at) / NS_PER_SECOND
        await asyncio.sleep(FINAL_ANSWERS_TIMEOUT_S)
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
            due_at += self.random.expovariate(self.plan.rate) * NS_PER_SECOND
            time_left = due_at - time.monotonic_ns()
            if time_left > 0:
                await asyncio.sleep(time_left / NS_PER_SECOND)
            else:
                self.max_lateness = max(self.max_lateness, int(-time_left))
            if self.idle:
                self.idle.popleft().send(int(due_at))
            else:
                self.overdue_times.append(int(due_at))

    def on_answer(self, client: LoadClient, has_succeeded: bool) -> None:
        """Record an answer; the client then sends the next request, or becomes idle if none is due."""
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
        elif self.overdue_times:
            client.send(self.overdue_times.popleft())
        else:
            self.idle.append(client)


def parse_plan(arguments: list[str]) -> LoadPlan:
    """Parse the arguments of the command line."""
    port, clients, seconds, rate, request_class, first_id = arguments
    return LoadPlan(int(port), int(clients), float(seconds), float(rate), request_class, int(first_id))


async def main() -> None:
    """Run the load that the command line describes and print its result."""
    send_message(await LoadGenerator(parse_plan(sys.argv[1:])).run())


if __name__ == "__main__":
    uvloop.run(main())
