"""One process replaces another on a socket that both were passed: nothing is lost, doubled or turned away."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
import uvloop

from ploverspoke.service.config_reader import ConfigError
from ploverspoke.service.handover import ProcessRegistry
from ploverspoke.service.inherited_socket import inherited_socket
from ploverspoke.testbed.processes.addresses import held_ports
from ploverspoke.transport.resource_limits import split_resources
from ploverspoke.transport.units import MEBIBYTE
from tests.decisions.harness import SETTINGS
from tests.routing.test_admin_server import call, figures, operations
from tests.routing.test_service import World, message


@pytest.fixture
def listening() -> Iterator[socket.socket]:
    with socket.socket() as opened:
        opened.bind(("127.0.0.1", 0))
        opened.listen(64)
        yield opened


def test_only_a_listening_socket_is_taken(listening: socket.socket, tmp_path: Path) -> None:
    assert inherited_socket({}) is None
    taken = inherited_socket({"RELAY_PASSED_SOCKET": str(os.dup(listening.fileno()))})
    assert taken is not None and taken.getsockname() == listening.getsockname()
    taken.close()
    with socket.socket() as deaf, (tmp_path / "file").open("w") as file:
        for named in ("five", "-1", "9999", str(deaf.fileno()), str(file.fileno())):
            with pytest.raises(ConfigError, match="RELAY_PASSED_SOCKET"):
                inherited_socket({"RELAY_PASSED_SOCKET": named})
        deaf.getsockname()  # and is left open


def test_neighbours_see_the_living_only(tmp_path: Path) -> None:
    first, second, blind = (
        ProcessRegistry(str(tmp_path)),
        ProcessRegistry(str(tmp_path)),
        ProcessRegistry("/nowhere"),
    )
    for each in (first, second, blind):
        each.enter()
    (tmp_path / "ploverspoke-1-dead").touch()
    assert first.others() == second.others() == 1 and blind.others() == 0
    os.close(second.own)  # as when it is killed
    assert first.others() == 0 and len(list(tmp_path.iterdir())) == 1
    first.leave()


def test_two_processes_hold_no_more_than_one_may() -> None:
    for sockets, memory in ((256, 32), (384, 80), (1024, 192)):
        one, half = (split_resources(sockets, memory * MEBIBYTE, n) for n in (1, 2))
        assert half.worker_connections * 2 <= one.worker_connections
        assert half.client_connections * 2 <= one.client_connections
        assert half.worker_connections > 0 and half.client_connections > 0
        assert half.buffered_bytes >= 4 * 65536


class Replaced:
    """Processes of one dispatcher, one after the other, on a socket that the test holds."""

    def __init__(self, world: World, discovery: str, listening: socket.socket, folder: Path) -> None:
        self.world = world
        self.listening = listening
        self.folder = folder
        world.port = listening.getsockname()[1]
        known = {"version": 1, "full": True, "servers": world.entries}
        told = {"listen": f"127.0.0.1:{world.port}", "discovery": discovery, "known": known}
        (folder / "config.json").write_text(json.dumps({**told, "settings": SETTINGS}))

    def spawn(self) -> subprocess.Popen[bytes]:
        [self.world.admin_port] = held_ports(1)
        number = str(self.listening.fileno())
        environment = {
            **os.environ,
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "RELAY_PASSED_SOCKET": number,
            "RELAY_ADMIN_ADDR": f"127.0.0.1:{self.world.admin_port}",
            "TMPDIR": str(self.folder),
        }
        program = [sys.executable, "-m", "ploverspoke"]
        return subprocess.Popen(program, env=environment, pass_fds=[int(number)])

    @classmethod
    async def of(cls, listening: socket.socket, folder: Path) -> "Replaced":
        world = World()
        return cls(world, await world.surround(2), listening, folder)

    async def finish(self, last: subprocess.Popen[bytes]) -> None:
        last.send_signal(signal.SIGTERM)
        assert await ended(last) == 0
        for server in self.world.servers:
            server.close()

    async def start(self) -> tuple[subprocess.Popen[bytes], int]:
        """A process that has said yes, and the port where operators call it."""
        process = self.spawn()
        for _ in range(500):
            try:
                if (await call(self.world, b"check\n")).startswith("+OK"):
                    return process, self.world.admin_port
            except ConnectionError:
                pass
            await asyncio.sleep(0.02)
        raise AssertionError("never ready")


Script = Callable[[Replaced], Awaitable[subprocess.Popen[bytes]]]


def play(listening: socket.socket, folder: Path, script: Script) -> None:
    """`script` gives the process that is left, which ends when it is told to."""

    async def whole() -> None:
        replaced = await Replaced.of(listening, folder)
        await replaced.finish(await script(replaced))

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(whole())


async def ended(process: subprocess.Popen[bytes]) -> int:
    return await asyncio.wait_for(asyncio.to_thread(process.wait), 5)


def test_an_upgrade_under_load_loses_doubles_and_refuses_nothing(
    listening: socket.socket, tmp_path: Path
) -> None:
    async def client(world: World, name: str, stop: asyncio.Event, told: list[int]) -> None:
        number, kept = 0, None
        while not stop.is_set():
            number += 1
            reader, writer = kept or await world.connect()
            writer.write(world.request(f"{name}-{number}", ("look", "book")[number % 2]))
            first, headers, _ = await asyncio.wait_for(message(reader), 3)  # no close crosses a request
            told.append(int(first.split()[1]))
            kept = None if headers.get("connection") == "close" else (reader, writer)
            await asyncio.sleep(0.005)

    async def script(replaced: Replaced) -> subprocess.Popen[bytes]:
        told, stop = list[int](), asyncio.Event()
        world = replaced.world
        process, _ = await replaced.start()
        clients = asyncio.gather(*(client(world, f"c{n}", stop, told) for n in range(6)))
        fulfilled = 0
        for _ in range(2):
            await asyncio.sleep(0.2)
            old, before = process, world.admin_port
            reader, quiet = await world.connect()  # waited for, so that the figures can be read to the end
            quiet.write(world.request(f"quiet-{world.admin_port}"))
            told.append(int((await message(reader))[0].split()[1]))
            process, after = await replaced.start()
            old.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.1)
            world.admin_port = before
            assert (await call(world, b"check\n")).startswith("-ERR leaving")
            await asyncio.sleep(0.2)  # every answer since has sent its client over
            last = await figures(world)
            fulfilled += sum(last[operations(grade, "fulfilled")] for grade in ("look", "book"))
            world.admin_port = after
            assert await ended(old) == 0
            quiet.close()
        stop.set()
        await clients
        shown = await figures(world)
        fulfilled += sum(shown[operations(grade, "fulfilled")] for grade in ("look", "book"))
        assert set(told) == {200} and len(told) == fulfilled == len(world.ran)
        assert set(world.ran.values()) == {1}
        return process

    play(listening, tmp_path, script)


def test_a_new_process_that_dies_and_an_old_one_that_is_killed(
    listening: socket.socket, tmp_path: Path
) -> None:
    async def script(replaced: Replaced) -> subprocess.Popen[bytes]:
        world = replaced.world
        first, port = await replaced.start()
        second, _ = await replaced.start()
        second.kill()
        await ended(second)
        world.admin_port = port
        for number in range(4):  # the socket is not shut down by whoever leaves it
            assert (await world.ask(world.request(f"a{number}")))[0] == 200
        third, _ = await replaced.start()
        first.kill()
        await ended(first)
        for number in range(4):
            assert (await world.ask(world.request(f"b{number}")))[0] == 200
        return third

    play(listening, tmp_path, script)


def test_the_end_before_the_start_and_settings_in_the_overlap(
    listening: socket.socket, tmp_path: Path
) -> None:
    async def script(replaced: Replaced) -> subprocess.Popen[bytes]:
        world = replaced.world
        first, port = await replaced.start()
        reader, writer = await world.connect()
        writer.write(world.request("early"))
        assert "200" in (await message(reader))[0]
        told = json.loads((tmp_path / "config.json").read_text())
        silent = await asyncio.start_server(lambda reader, writer: reader.read(), "127.0.0.1", 0)
        slow = {**told, "discovery": f"127.0.0.1:{silent.sockets[0].getsockname()[1]}"}
        (tmp_path / "config.json").write_text(json.dumps(slow))
        second = replaced.spawn()
        for _ in range(500):  # its discovery says nothing, so it is up but not ready
            try:
                assert (await call(world, b"check\n")).startswith("-ERR not listening yet")
                break
            except ConnectionError:
                await asyncio.sleep(0.02)
        second.send_signal(signal.SIGTERM)
        assert await ended(second) == 0
        # Both take the settings that come while both live; the first has them when it is told to end.
        (tmp_path / "config.json").write_text(json.dumps(told))
        third, later_port = await replaced.start()
        told["settings"]["ServiceGrades"][0]["Name"] = "next"
        (tmp_path / "config.json").write_text(json.dumps(told))
        for process in (first, third):
            process.send_signal(signal.SIGHUP)
        for at in (port, later_port):
            world.admin_port = at
            while (await figures(world))["dispatcher_cfg_accepted"] != 1:
                await asyncio.sleep(0.01)

        async def slowly(*exchange: Any) -> None:
            await asyncio.sleep(0.4)
            await world.serve(*exchange)

        world.behave = {"w0": slowly, "w1": slowly}
        writer.write(world.request("late", "book"))  # to the first one, which still has it when it is told
        await asyncio.sleep(0.05)
        first.send_signal(signal.SIGTERM)
        line, headers, _ = await message(reader)
        assert "200" in line and headers["connection"] == "close"
        world.behave = {}
        for number in range(6):
            assert (await world.ask(world.request(f"n{number}", "next")))[0] == 200
        assert await ended(first) == 0
        silent.close()
        return third

    play(listening, tmp_path, script)
