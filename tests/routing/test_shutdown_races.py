"""Shutdown, handover and eviction between any two steps of a connection, and signals during the start."""

import json
import os
import signal
import subprocess
import sys
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from ploverspoke.routing.client_session import ClientSession
from ploverspoke.testbed.processes.addresses import reserve_ports
from tests.decisions.harness import SETTINGS
from tests.routing.harness import World, play
from tests.routing.race_harness import (
    CALM,
    CLASS_NAMES,
    MS,
    Clock,
    Peer,
    connect_to,
    deliver_list,
    idle_client,
    newest_session,
    turns,
    until,
    wait_for_kernel,
)


def test_shutdown_ends_before_the_process_may_be_killed() -> None:
    # With deadlines under 3 s the times after the signal were longer than what the settings give.
    async def script(world: World) -> None:
        clock, service = Clock(world.service.deadlines), world.service
        clock.hold()
        deliver_list(world)  # nobody to send to: what is asked waits
        idle, asks = connect_to(world.port), [connect_to(world.port) for _ in range(3)]
        asks[0].end.send(world.request("before"))
        await until(
            lambda: service.router.requests.open_count() == 1 and len(service.client_server.sessions) == 4
        )
        service.shut_down()
        span = 0
        while span < 1590:  # 900 ms and 700 ms
            if span in (600, 680, 1000):
                asks[{600: 1, 680: 2, 1000: 0}[span]].end.send(world.request(f"at-{span}"))
            clock.wake_after(10 * MS)
            span += 10
            await turns(8)
        await turns(100)
        assert world.running.done()
        assert [peer.status() for peer in asks] == [503, 503, 503] and idle.read() == b""
        assert all(peer.has_ended() for peer in [idle, *asks])

    play(script, workers=1)


@pytest.mark.parametrize("first", ["kept", "new"])
def test_requests_unread_at_shutdown_are_answered(first: str) -> None:
    # A request that lay unread was closed on; closing the socket reset those that waited to be taken.
    async def script(world: World) -> None:
        kept = await idle_client(world)
        new = [connect_to(world.port) for _ in range(12)]
        clients = [kept, *new] if first == "kept" else [*new, kept]
        for number, client in enumerate(clients):
            client.end.send(world.request(f"r{number}"))
        wait_for_kernel(newest_session(world).connection.has_unread_data)
        world.service.client_server.shut()
        for client in clients:
            await until(client.has_ended)
            assert client.status() == 200
            assert b"connection: close" in client.came.lower()

    play(script, workers=2, **CALM)


def test_handover_between_any_two_steps_of_a_connection_loses_nothing() -> None:
    async def script(world: World) -> None:
        service, listener = world.service, world.service.client_server.listener
        kept = await idle_client(world)
        assert listener.socket is not None
        service.listening_socket, other = (
            listener.socket,
            listener.socket.dup(),
        )  # the other process has it too
        seating, queued = connect_to(world.port), connect_to(world.port)
        for name, client in (("kept", kept), ("seating", seating), ("queued", queued)):
            client.end.send(world.request(name))
        wait_for_kernel(newest_session(world).connection.has_unread_data)
        listener._accept_some(1)  # accepted, and not seated yet
        service.shut_down()
        for client in (kept, seating):
            await until(client.has_ended)
            assert client.status() == 200 and b"connection: close" in client.came.lower()
        taken = Peer(other.accept()[0])
        assert b"Request-Id: queued" in await until(taken.read) and not queued.has_ended()
        assert sorted(name for _, name in world.sent) == ["before-look", "kept", "seating"]

    play(script, workers=1, **CALM)


def test_idle_client_with_an_unread_request_is_not_evicted() -> None:
    async def script(world: World) -> None:
        clients = [await idle_client(world, class_name) for class_name in CLASS_NAMES]
        oldest: ClientSession = next(iter(world.service.client_server.sessions.values()))
        clients[0].end.send(world.request("b"))
        wait_for_kernel(oldest.connection.has_unread_data)
        assert world.service.client_server._evict_one() and not oldest.is_closing
        assert await until(clients[0].status) == 200
        await until(clients[1].has_ended)

    play(script, workers=1, **CALM)


@pytest.fixture
def held_start(tmp_path: Path) -> Iterator[Callable[[str], subprocess.Popen[bytes]]]:
    """The program, with a signal to it just while its imports are under way."""
    started: list[subprocess.Popen[bytes]] = []
    path, (listen, discovery) = tmp_path / "config.json", reserve_ports(2)
    addresses = {"listen": f"127.0.0.1:{listen}", "discovery": f"127.0.0.1:{discovery}"}
    path.write_text(json.dumps({**addresses, "settings": SETTINGS}))

    def start(name: str) -> subprocess.Popen[bytes]:
        shim = f"import os, signal, sys\nos.kill(os.getpid(), signal.{name})\ndel sys.modules['uvloop']\n"
        shim += f"sys.path.remove({str(tmp_path)!r})\nimport uvloop\n"
        (tmp_path / "uvloop.py").write_text(shim)
        environment = {**os.environ, "RELAY_CONFIG": str(path), "PYTHONPATH": str(tmp_path)}
        started.append(
            subprocess.Popen([sys.executable, "-m", "ploverspoke"], env=environment, stderr=subprocess.PIPE)
        )
        return started[-1]

    yield start
    for process in started:
        process.kill()
        process.wait()


@pytest.mark.parametrize("name", ["SIGHUP", "SIGTERM"])
def test_signal_during_the_start_is_kept_until_it_is_handled(
    name: str, held_start: Callable[[str], subprocess.Popen[bytes]]
) -> None:
    # A SIGHUP that came while the program started ended it.
    process = held_start(name)
    assert process.stderr is not None
    if name == "SIGHUP":
        assert b"serves at" in process.stderr.readline()
        process.send_signal(signal.SIGTERM)
    assert process.wait(20) == 0
