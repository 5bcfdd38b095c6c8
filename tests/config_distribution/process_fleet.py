"""Runs three config servers and a dispatcher as processes, and connects to them at the level of frames."""

import asyncio
import json
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from click.testing import CliRunner

from ploverspoke.cli import main as command_line
from ploverspoke.config_distribution.messages import watcher_greeting
from ploverspoke.consensus.framing import FrameCodec
from ploverspoke.testbed.processes.addresses import reserve_ports

from .own_files import SECRET, write_own_config
from .samples import NO_STATUS

SERVERS = ("c1", "c2", "c3")


class WatcherConnection:
    """A watcher's connection at the level of frames."""

    def __init__(self, address: str, name: str) -> None:
        host, port = address.split(":")
        self.frames = FrameCodec(SECRET, watcher_greeting(name, "fleet"))
        self.unread: list[object] = []
        self.socket = socket.create_connection((host, int(port)), 10)
        self.socket.sendall(self.frames.greeting_frame())
        assert self.receive_message()["k"] == "beat"
        self.socket.sendall(self.frames.encode(NO_STATUS))

    def receive_message(self) -> dict[str, object]:
        """Return the next message; fails if the connection has ended."""
        message = self.receive()
        assert message is not None
        return message

    def receive(self) -> dict[str, object] | None:
        """Return the next message, including heartbeats; None if the connection has ended."""
        while not self.unread:
            try:
                data = self.socket.recv(65536)
            except ConnectionResetError:
                return None
            if not data:
                return None
            self.unread += self.frames.decode(data)
        message = self.unread.pop(0)
        assert isinstance(message, dict)
        return message


class ProcessFleet:
    """Three config servers and a dispatcher that watches them, as processes."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        ports = reserve_ports(8)
        (folder / "secret").write_bytes(SECRET)
        self.peers = {name: f"127.0.0.1:{ports[index]}" for index, name in enumerate(SERVERS)}
        self.clients = {name: f"127.0.0.1:{ports[3 + index]}" for index, name in enumerate(SERVERS)}
        replicas = {name: {"peers": self.peers[name], "clients": self.clients[name]} for name in SERVERS}
        common_document = {
            "cluster": "fleet",
            "secret_file": "secret",
            "replicas": replicas,
            "most_watchers": 2,
        }
        for name in SERVERS:
            self.write(f"{name}.json", {**common_document, "name": name, "folder": name})
        self.tools_file = self.write("tools.json", {"replicas": replicas, "secret_file": "secret"})
        server_addresses = list(self.clients.values())
        watch_document = {
            "cluster": "fleet",
            "servers": server_addresses,
            "near": server_addresses[:1],
            "secret_file": "secret",
        }
        self.watch_file = self.write("watch.json", {**watch_document, "cache": "n0.cache"})
        self.client_port, self.admin_port = ports[6:]
        self.own_file = write_own_config(folder, ports[6:])
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def write(self, name: str, document: object) -> Path:
        path = self.folder / name
        path.write_text(json.dumps(document))
        return path

    def start(self, name: str, *arguments: str) -> None:
        with (self.folder / f"{name}.log").open("ab") as log:
            command = [sys.executable, "-m", "ploverspoke", *arguments]
            self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def start_dispatcher(self) -> None:
        self.start("n0", "serve", str(self.own_file), "--watch", str(self.watch_file))

    async def wait_for_log_line(self, name: str, line: str, times: int = 1) -> None:
        """Wait until the log of a process contains the line this many times."""
        while (self.folder / f"{name}.log").read_text().count(line) < times:
            assert self.processes[name].poll() is None, f"{name} ended before it logged {line!r}"
            await asyncio.sleep(0.02)

    async def run_config_command(self, command: str, *arguments: str) -> tuple[int, str]:
        """Run `ploverspoke config` in this process, which saves the time of imports."""
        command_arguments = ["config", command, str(self.tools_file), *arguments]
        result = await asyncio.to_thread(CliRunner().invoke, command_line, command_arguments)
        return result.exit_code, result.output

    async def wait_until_watched(self) -> None:
        """Wait until the servers know the dispatcher, since `--wait` only covers connected dispatchers."""
        while "applied at 1 of 1 connected" not in (await self.run_config_command("status"))[1]:
            await asyncio.sleep(0.05)

    async def publish(self, body: str, *arguments: str) -> tuple[int, str]:
        path = self.folder / "body.json"
        path.write_text(body)
        return await self.run_config_command("publish", str(path), *arguments)

    async def has_class(self, name: str) -> bool:
        """Whether the dispatcher accepts requests of this class from clients."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.client_port)
        writer.write(f"POST /{name} HTTP/1.1\r\nHost: n0\r\nContent-Length: 0\r\n\r\n".encode())
        status = (await reader.readline()).split()[1]
        writer.close()
        return status != b"404"

    async def admin_reply(self) -> str:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.admin_port)
        writer.write(b"config\n")
        reply = (await reader.read()).decode()
        writer.close()
        return reply

    async def terminate(self, name: str) -> int:
        process = self.processes.pop(name)
        process.terminate()
        return await asyncio.to_thread(process.wait)


def run_with_fleet(folder: Path, script: Callable[[ProcessFleet], Awaitable[None]]) -> None:
    fleet = ProcessFleet(folder)

    async def run() -> None:
        try:
            for name in SERVERS:
                fleet.start(name, "config", "serve", str(folder / f"{name}.json"), "--new")
            for name in SERVERS:
                await fleet.wait_for_log_line(name, f"config: {name} serves at {fleet.clients[name]}")
            await script(fleet)
        finally:
            for process in fleet.processes.values():
                process.kill()
                process.wait()

    asyncio.run(asyncio.wait_for(run(), 90))
