"""Harness: processes of one dispatcher that replace one another on a socket that the test holds."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from typing import Any

import uvloop

from ploverspoke.testbed.processes.addresses import reserve_ports
from tests.decisions.harness import SETTINGS
from tests.routing.harness import World, admin_call


class ReplacedDispatcher:
    """One dispatcher's address, configuration file and processes."""

    def __init__(self, world: World, discovery: str, listening: socket.socket, folder: Path) -> None:
        self.world = world
        self.listening = listening
        self.folder = folder
        self.config_path = folder / "config.json"
        world.port = listening.getsockname()[1]
        known = {"version": 1, "full": True, "servers": world.entries}
        self.document: dict[str, Any] = {
            "listen": f"127.0.0.1:{world.port}",
            "discovery": discovery,
            "known": known,
            "settings": SETTINGS,
        }
        self.write_config(self.document)

    @classmethod
    async def create(cls, listening: socket.socket, folder: Path) -> "ReplacedDispatcher":
        """With two workers."""
        world = World()
        return cls(world, await world.surround(2), listening, folder)

    def write_config(self, document: Mapping[str, Any]) -> None:
        self.config_path.write_text(json.dumps(document))

    def spawn(self) -> subprocess.Popen[bytes]:
        """Start a process; operators' calls of the world go to it from now on."""
        [self.world.admin_port] = reserve_ports(1)
        descriptor = self.listening.fileno()
        environment = {
            **os.environ,
            "RELAY_CONFIG": str(self.config_path),
            "RELAY_PASSED_SOCKET": str(descriptor),
            "RELAY_ADMIN_ADDR": f"127.0.0.1:{self.world.admin_port}",
            "TMPDIR": str(self.folder),
        }
        command = [sys.executable, "-m", "ploverspoke"]
        return subprocess.Popen(command, env=environment, pass_fds=[descriptor])

    async def check(self) -> str:
        """What the latest process answers to `check`; empty where it does not listen for operators yet."""
        try:
            return await admin_call(self.world, b"check\n")
        except ConnectionError:
            return ""

    async def first_check(self) -> str:
        """The first answer that the latest process gives to `check`."""
        for _ in range(500):
            answer = await self.check()
            if answer:
                return answer
            await asyncio.sleep(0.02)
        raise AssertionError("it never listened for operators")

    async def start(self) -> tuple[subprocess.Popen[bytes], int]:
        """A process that is ready, and the port where operators call it."""
        process = self.spawn()
        for _ in range(500):
            if (await self.check()).startswith("+OK"):
                return process, self.world.admin_port
            await asyncio.sleep(0.02)
        raise AssertionError("never ready")

    async def finish(self, last: subprocess.Popen[bytes]) -> None:
        last.send_signal(signal.SIGTERM)
        assert await exit_code(last) == 0
        for server in self.world.servers:
            server.close()


Script = Callable[[ReplacedDispatcher], Awaitable[subprocess.Popen[bytes]]]


def play(listening: socket.socket, folder: Path, script: Script) -> None:
    """Run a script; it returns the process that is left, which must end with 0 when asked to."""

    async def run() -> None:
        dispatcher = await ReplacedDispatcher.create(listening, folder)
        await dispatcher.finish(await script(dispatcher))

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


async def exit_code(process: subprocess.Popen[bytes]) -> int:
    return await asyncio.wait_for(asyncio.to_thread(process.wait), 5)
