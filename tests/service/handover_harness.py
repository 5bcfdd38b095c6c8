"""Runs processes of one dispatcher that replace one another on a socket that the test holds."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path

from ploverspoke.testbed.processes.addresses import reserve_ports
from tests.routing.admin_client import admin_call
from tests.routing.harness import ServiceHarness, run_on_loop


class ReplacedDispatcher:
    """One dispatcher's address, configuration file and processes."""

    def __init__(
        self, harness: ServiceHarness, discovery: str, listening: socket.socket, folder: Path
    ) -> None:
        self.harness = harness
        self.listening = listening
        self.folder = folder
        self.processes: list[subprocess.Popen[bytes]] = []
        self.config_path = folder / "config.json"
        harness.port = listening.getsockname()[1]
        self.document = harness.config_document(discovery)
        self.write_config(self.document)

    @classmethod
    async def create(cls, listening: socket.socket, folder: Path) -> "ReplacedDispatcher":
        """Create a dispatcher with two workers."""
        harness = ServiceHarness()
        return cls(harness, await harness.start_workers_and_discovery(2), listening, folder)

    def write_config(self, document: Mapping[str, object]) -> None:
        self.config_path.write_text(json.dumps(document))

    def spawn(self) -> subprocess.Popen[bytes]:
        """Start a process; admin calls of the harness go to it from now on."""
        [self.harness.admin_port] = reserve_ports(1)
        descriptor = self.listening.fileno()
        environment = {
            **os.environ,
            "RELAY_CONFIG": str(self.config_path),
            "RELAY_PASSED_SOCKET": str(descriptor),
            "RELAY_ADMIN_ADDR": f"127.0.0.1:{self.harness.admin_port}",
            "TMPDIR": str(self.folder),
        }
        command = [sys.executable, "-m", "ploverspoke"]
        process = subprocess.Popen(command, env=environment, pass_fds=[descriptor])
        self.processes.append(process)
        return process

    def kill_all(self) -> None:
        """End the processes that still run, after a test that failed."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
                process.wait()

    async def check(self) -> str:
        """Return the latest process's reply to `check`; empty if its admin server does not listen yet."""
        try:
            return await admin_call(self.harness, b"check\n")
        except ConnectionError:
            return ""

    async def first_check(self) -> str:
        """Return the first reply of the latest process to `check`."""
        for _ in range(500):
            answer = await self.check()
            if answer:
                return answer
            await asyncio.sleep(0.02)
        raise AssertionError("its admin server never listened")

    async def start(self) -> tuple[subprocess.Popen[bytes], int]:
        """Start a process and wait until it is ready; return it and the port of its admin server."""
        process = self.spawn()
        for _ in range(500):
            if (await self.check()).startswith("+OK"):
                return process, self.harness.admin_port
            await asyncio.sleep(0.02)
        raise AssertionError("never ready")

    async def finish(self, last: subprocess.Popen[bytes]) -> None:
        last.send_signal(signal.SIGTERM)
        assert await exit_code(last) == 0
        self.harness.close_servers()


Script = Callable[[ReplacedDispatcher], Awaitable[subprocess.Popen[bytes]]]


def run_script(listening: socket.socket, folder: Path, script: Script) -> None:
    """Run a script, which returns the last running process; that one must exit with 0 on SIGTERM."""

    async def run() -> None:
        dispatcher = await ReplacedDispatcher.create(listening, folder)
        try:
            await dispatcher.finish(await script(dispatcher))
        finally:
            dispatcher.kill_all()

    run_on_loop(run)


async def exit_code(process: subprocess.Popen[bytes]) -> int:
    return await asyncio.wait_for(asyncio.to_thread(process.wait), 5)
