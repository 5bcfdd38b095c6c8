"""Nothing is sent to a worker for a client that has closed its connection, whatever crowds do meanwhile."""

import asyncio
import random
import time
from pathlib import Path

import pytest

from tests.limits.crowd_harness import CrowdedDispatcher
from tests.routing.harness import run_on_loop
from tests.routing.http_messages import Headers, chunk

RUNS_LONG = True  # scheduled first: see tests/conftest.py
LEAVING_CLIENTS = 60
LEAVE_WITHIN_S = (0.06, 0.06, 0.5)  # most before their request is handled beside the crowd, some after
PLAYED_S = 4.0
CLOSE_TOLERANCE_S = 0.1  # an attempt may begin this long after its client has closed
LATENESS_POLL_S = 0.01
LEAVING_PREFIX = (
    "left-"  # of the ids of the leaving clients; those of the crowd repeat when it is played again
)
MIN_ARRIVALS = 100  # with fewer the run shows nothing; the crowd is then played again
MAX_PLAYS = 8


class Watch:
    """When clients closed, when workers got their requests, and how late this process was."""

    def __init__(self) -> None:
        self.closed_at: dict[str, float] = {}
        self.arrivals: list[tuple[str, float]] = []
        self.lateness = 0.0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, headers: Headers, body: bytes
    ) -> None:
        if headers["request-id"].startswith(LEAVING_PREFIX):
            self.arrivals.append((headers["request-id"], time.monotonic()))
        await asyncio.sleep(0.1)
        done = chunk({"id": headers["request-id"], "from": "w", "state": "done", "result": ""})
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + done + b"0\r\n\r\n")

    async def measure_lateness(self) -> None:
        while True:
            due_at = time.monotonic() + LATENESS_POLL_S
            await asyncio.sleep(LATENESS_POLL_S)
            self.lateness = max(self.lateness, time.monotonic() - due_at)

    def too_late(self) -> list[tuple[str, float]]:
        allowed = CLOSE_TOLERANCE_S + self.lateness
        late = [(name, at - self.closed_at[name]) for name, at in self.arrivals if name in self.closed_at]
        return [(name, seconds) for name, seconds in late if seconds > allowed]


async def leave_again_and_again(dispatcher: CrowdedDispatcher, watch: Watch, number: int) -> None:
    """Send a request, and more behind it, and close within milliseconds; without end."""
    randomness, count = random.Random(number), 0
    while True:
        count += 1
        names = [
            f"{LEAVING_PREFIX}{number}-{count}-{part}" for part in range(randomness.choice([1, 1, 20, 400]))
        ]
        _, writer = await dispatcher.harness.connect()
        for name in names:
            writer.write(dispatcher.harness.request(name, randomness.choice(["look", "book"])))
        await asyncio.sleep(randomness.random() * randomness.choice(LEAVE_WITHIN_S))
        if randomness.random() < 0.5:
            writer.transport.abort()
        else:
            writer.close()
        closed_at = time.monotonic()
        watch.closed_at.update(dict.fromkeys(names, closed_at))


@pytest.mark.parametrize("kind", ["pipelined_status", "tiny_chunks", "whole_bodies"])
def test_no_attempt_begins_after_its_client_has_left(kind: str, tmp_path: Path) -> None:
    async def run() -> None:
        dispatcher, watch = CrowdedDispatcher(tmp_path, 192, descriptors=1024), Watch()
        await dispatcher.start()
        dispatcher.harness.behaviours = dict.fromkeys(("w0", "w1", "w2"), watch.serve)
        leaving = [
            asyncio.ensure_future(leave_again_and_again(dispatcher, watch, number))
            for number in range(LEAVING_CLIENTS)
        ]
        leaving.append(asyncio.ensure_future(watch.measure_lateness()))
        try:
            for _ in range(MAX_PLAYS):
                await dispatcher.crowd(kind, 200, PLAYED_S)
                if len(watch.arrivals) > MIN_ARRIVALS:
                    break
            await asyncio.sleep(0.5)
            assert dispatcher.process.returncode is None, dispatcher.log.read_text()
            assert not watch.too_late() and len(watch.arrivals) > MIN_ARRIVALS
            names = [name for name, _ in watch.arrivals]
            assert len(names) == len(set(names)), "none is sent twice"
        finally:
            for task in leaving:
                task.cancel()
            await dispatcher.stop()

    run_on_loop(run)
