"""Shutdown, handover and eviction between any two steps of a connection, and signals during startup."""

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
from ploverspoke.transport.units import MILLISECOND as MS
from tests.decisions.harness import SETTINGS
from tests.routing.harness import ServiceHarness, run_script
from tests.routing.race_harness import (
    CLASS_NAMES,
    LENIENT_SETTINGS,
    Clock,
    Peer,
    connect_to,
    deliver_list,
    idle_client,
    newest_session,
    run_loop_turns,
    wait_for_kernel,
    wait_until,
)


def test_shutdown_ends_before_the_process_may_be_killed() -> None:
    # With deadlines under 3 s the phases after the signal were longer than the settings allow.
    async def script(harness: ServiceHarness) -> None:
        clock, service = Clock(harness.service.deadlines), harness.service
        clock.hold()
        deliver_list(harness)  # without a worker, requests wait
        idle, clients = connect_to(harness.port), [connect_to(harness.port) for _ in range(3)]
        clients[0].socket.send(harness.request("before"))
        await wait_until(
            lambda: service.router.requests.open_count() == 1 and len(service.client_server.sessions) == 4
        )
        service.shut_down()
        elapsed_ms = 0
        while elapsed_ms < 1590:  # the longest deadline of 900 ms, and 700 ms for accepting
            if elapsed_ms in (600, 680, 1000):
                clients[{600: 1, 680: 2, 1000: 0}[elapsed_ms]].socket.send(
                    harness.request(f"at-{elapsed_ms}")
                )
            clock.resume_after(10 * MS)
            elapsed_ms += 10
            await run_loop_turns(8)
        await run_loop_turns(100)
        assert harness.running.done()
        assert [peer.status() for peer in clients] == [503, 503, 503] and idle.read() == b""
        assert all(peer.has_ended() for peer in [idle, *clients])

    run_script(script, workers=1)


@pytest.mark.parametrize("first", ["kept", "new"])
def test_requests_unread_at_shutdown_are_answered(first: str) -> None:
    # Connections with unread requests were closed, and connections that were not accepted yet were reset.
    async def script(harness: ServiceHarness) -> None:
        kept = await idle_client(harness)
        new = [connect_to(harness.port) for _ in range(12)]
        clients = [kept, *new] if first == "kept" else [*new, kept]
        for number, client in enumerate(clients):
            client.socket.send(harness.request(f"r{number}"))
        wait_for_kernel(newest_session(harness).connection.has_unread_data)
        harness.service.client_server.stop_accepting()
        for client in clients:
            await wait_until(client.has_ended)
            assert client.status() == 200
            assert b"connection: close" in client.received.lower()

    run_script(script, workers=2, **LENIENT_SETTINGS)


def test_handover_between_any_two_steps_of_a_connection_loses_nothing() -> None:
    async def script(harness: ServiceHarness) -> None:
        service, listener = harness.service, harness.service.client_server.listener
        kept = await idle_client(harness)
        assert listener.socket is not None
        service.listening_socket, other = (
            listener.socket,
            listener.socket.dup(),
        )  # shared with the other process
        accepted, queued = connect_to(harness.port), connect_to(harness.port)
        for name, client in (("kept", kept), ("seating", accepted), ("queued", queued)):
            client.socket.send(harness.request(name))
        wait_for_kernel(newest_session(harness).connection.has_unread_data)
        listener._accept_some(1)  # accepted, and not set up yet
        service.shut_down()
        for client in (kept, accepted):
            await wait_until(client.has_ended)
            assert client.status() == 200 and b"connection: close" in client.received.lower()
        taken = Peer(other.accept()[0])
        assert b"Request-Id: queued" in await wait_until(taken.read) and not queued.has_ended()
        assert sorted(name for _, name in harness.sent) == ["before-look", "kept", "seating"]

    run_script(script, workers=1, **LENIENT_SETTINGS)


def test_idle_client_with_an_unread_request_is_not_evicted() -> None:
    async def script(harness: ServiceHarness) -> None:
        clients = [await idle_client(harness, class_name) for class_name in CLASS_NAMES]
        oldest: ClientSession = next(iter(harness.service.client_server.sessions.values()))
        clients[0].socket.send(harness.request("b"))
        wait_for_kernel(oldest.connection.has_unread_data)
        assert harness.service.client_server._evict_one() and not oldest.is_closing
        assert await wait_until(clients[0].status) == 200
        await wait_until(clients[1].has_ended)

    run_script(script, workers=1, **LENIENT_SETTINGS)


@pytest.fixture
def start_with_signal(tmp_path: Path) -> Iterator[Callable[[str], subprocess.Popen[bytes]]]:
    """Starts the program, which gets a signal during its imports."""
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
    name: str, start_with_signal: Callable[[str], subprocess.Popen[bytes]]
) -> None:
    # A SIGHUP during startup ended the program.
    process = start_with_signal(name)
    assert process.stderr is not None
    if name == "SIGHUP":
        assert b"serves at" in process.stderr.readline()
        process.send_signal(signal.SIGTERM)
    assert process.wait(20) == 0
