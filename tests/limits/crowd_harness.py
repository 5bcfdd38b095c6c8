"""A dispatcher started by the deploy file's `run` under small limits, with workers, crowds and a client."""

import asyncio
import json
import os
import re
import sys
import time
import tomllib
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import NamedTuple

from tests.decisions.harness import SETTINGS
from tests.routing.admin_client import admin_call
from tests.routing.harness import ServiceHarness
from tests.routing.http_messages import Headers, read_message

from .crowd_messages import WAITING_PREFIX

ROOT = Path(__file__).parents[2]
MEBIBYTE = 1024 * 1024
CLIENT_PAUSE_S = 0.02
ANSWER_TIMEOUT_S = 10.0
WAIT_S = 1.0  # time that a worker takes for a request that is to wait
WAIT_CLASS = {"Name": "wait", "Repeat": "free", "ExpectedTimeUs": 3_000_000, "AbandonTimeUs": 4_000_000}


def resident_mb(pid: int, peak: bool = False) -> float:
    """The resident memory of a process in MiB, now or at its peak."""
    text = Path(f"/proc/{pid}/status").read_text()
    found = re.search(rf"{'VmHWM' if peak else 'VmRSS'}:\s+(\d+) kB", text)
    assert found, text
    return int(found[1]) / 1024


class Exchange(NamedTuple):
    """One request of the usual client."""

    status: int  # 0: no answer
    seconds: float


class CrowdedDispatcher:
    """The program under test with all around it."""

    def __init__(self, folder: Path, memory_mb: int, descriptors: int) -> None:
        self.folder = folder
        self.limits = {"memory_mb": memory_mb, "sockets": descriptors}
        self.harness = ServiceHarness()
        self.exchanges: list[Exchange] = []
        self.is_crowd_over = False
        self.on_spawned: Callable[[], Coroutine[None, None, None]] | None = None
        self.tasks: list[asyncio.Future[None]] = []

    async def start(self) -> None:
        """Start workers, discovery and the program, and wait until it is ready."""
        discovery = await self.harness.start_workers_and_discovery(3)
        self.harness.behaviours = dict.fromkeys(("w0", "w1", "w2"), self._serve)
        self.config_path = self.folder / "config.json"
        self.log = self.folder / "log.txt"
        grades = [*SETTINGS["ServiceGrades"], WAIT_CLASS]
        document = {
            **self.harness.config_document(discovery),
            "name": "n0",
            "admin_addr": f"127.0.0.1:{self.harness.admin_port}",
            "limits": self.limits,
            "settings": {**SETTINGS, "ServiceGrades": grades},
        }
        self.config_path.write_text(json.dumps(document))
        await self.start_program()

    async def start_program(self) -> None:
        """Start the program, and wait until it is ready."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        set_limit = f"ulimit -n {self.limits['sockets']}"
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                *("/bin/sh", "-c", f"{set_limit}; {run}"),
                cwd=ROOT,
                env={**os.environ, "RELAY_CONFIG": str(self.config_path), "TMPDIR": str(self.folder)},
                stderr=log,
            )
        if self.on_spawned is not None:
            self.tasks.append(asyncio.ensure_future(self.on_spawned()))
        for _ in range(1000):
            if " serves at " in self.log.read_text():
                return
            await asyncio.sleep(0.02)
        raise AssertionError(self.log.read_text())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, headers: Headers, body: bytes
    ) -> None:
        if headers["request-id"].startswith(WAITING_PREFIX):
            await asyncio.sleep(WAIT_S)
        await self.harness.serve(reader, writer, headers, body)

    async def crowd(self, kind: str, count: int, seconds: float) -> None:
        """Play a crowd beside the usual client, from its first connection to its end."""
        crowd = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.limits.crowd_process",
            *(str(self.harness.port), kind, str(count), str(seconds)),
            cwd=ROOT,
        )
        self.is_crowd_over = False
        client = asyncio.ensure_future(self.usual_client())
        await crowd.wait()
        self.is_crowd_over = True  # no cancellation: the last exchange is to end as well
        await client

    async def usual_client(self) -> None:
        """Send one request after the other, on a connection that is kept while it can be."""
        number = 0
        reader, writer = await self.harness.connect()
        while not self.is_crowd_over:
            number += 1
            began = time.monotonic()
            try:
                writer.write(self.harness.request(f"usual-{os.getpid()}-{number}"))
                first, headers, _ = await asyncio.wait_for(read_message(reader), ANSWER_TIMEOUT_S)
                status = int(first.split()[1])
                closes = headers.get("connection") == "close"
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                status, closes = 0, True
            self.exchanges.append(Exchange(status, time.monotonic() - began))
            if closes:
                writer.close()
                reader, writer = await self.harness.connect()
            await asyncio.sleep(CLIENT_PAUSE_S)

    def resident_mb(self, peak: bool = False) -> float:
        """The program's resident memory in MiB, now or at its peak."""
        return resident_mb(self.process.pid, peak)

    async def metrics(self) -> dict[str, int]:
        """The program's counters."""
        lines = (await admin_call(self.harness, b"vars\n")).splitlines()
        pairs = (line.rsplit(" ", 1) for line in lines if line.startswith("dispatcher_"))
        return {name.removeprefix("dispatcher_"): int(value) for name, value in pairs}

    async def stop(self) -> None:
        """End the program and all around it."""
        for task in self.tasks:
            task.cancel()
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.harness.close_servers()

    def slowest(self) -> float:
        """The longest time of the usual client's answers, in seconds."""
        return max(exchange.seconds for exchange in self.exchanges)

    def served_share(self) -> float:
        """The share of the usual client's requests that succeeded."""
        return sum(exchange.status == 200 for exchange in self.exchanges) / max(1, len(self.exchanges))
