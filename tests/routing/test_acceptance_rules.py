"""Terms of the stricter acceptance, forced on real sockets and on fleets of many dispatchers."""

import asyncio
import contextlib
import itertools
import json
import math
import os
import socket
import sys
import time
from pathlib import Path
from typing import Any

import pytest
import uvloop

from ploverspoke.testbed.experiment_files.experiment import parse_experiment
from ploverspoke.testbed.models.event_records import CAME, UP
from ploverspoke.testbed.models.virtual_run import VirtualRun as VirtualWorld
from ploverspoke.testbed.models.worker import Worker
from ploverspoke.testbed.processes.addresses import reserve_ports
from tests.decisions.harness import SETTINGS
from tests.routing.faulty_discovery import FAULTS, RESPONSES, Watched
from tests.routing.harness import World, listed, message, play
from tests.routing.race_harness import (
    CALM,
    CLASS_NAMES,
    Gate,
    HeldWorker,
    connect_to,
    deliver_list,
    newest_session,
    turns,
    until,
    wait_for_kernel,
)

RUNS_LONG = True  # scheduled first: see tests/conftest.py
MS, SECOND = 1_000_000, 1_000_000_000

# ---- 1: a change binds 6 s after discovery had it and could be reached ----


def play_faults(faults: list[tuple[str, int]], dispatchers: int, ask_within: int, mode: str) -> None:
    async def script(world: World) -> None:
        await until(lambda: world.watches)
        await turns()
        watched = Watched(world)
        await watched.takes_over()
        for way, times in faults:
            await watched.fails(way, times)
        await watched.drain_is_heeded()

    rules = {**SETTINGS["Invariants"], "MustAskInUs": ask_within // 1000}
    play(script, workers=2, **{**CALM, "Invariants": rules, "PeersTotal": dispatchers, "Discovery": mode})


MODES = pytest.mark.parametrize("mode", ["ask", "push"])
REJECTING = ("503", "503, closed", "429")
KINDS_OF_FAULT = ("refuses", "never up", "silent", "half, then ends", "garbage", "503")


@MODES
@pytest.mark.parametrize("times", [1, 8])
@pytest.mark.parametrize("way", [way for way in FAULTS if way not in REJECTING])
def test_drain_is_heeded_in_time_after_one_kind_of_failure(way: str, times: int, mode: str) -> None:
    play_faults([(way, times)], 1, 10 * SECOND, mode)


@pytest.mark.parametrize("order", list(itertools.permutations(KINDS_OF_FAULT, 2)))
def test_drain_is_heeded_in_time_after_two_kinds_of_failure(order: tuple[str, ...]) -> None:
    play_faults([(way, 2) for way in order], 1, 10 * SECOND, "ask")


@MODES
@pytest.mark.parametrize("first", range(len(KINDS_OF_FAULT)))
def test_drain_is_heeded_in_time_after_each_kind_of_failure(first: int, mode: str) -> None:
    play_faults([(way, 1) for way in KINDS_OF_FAULT[first:] + KINDS_OF_FAULT[:first]], 1, 10 * SECOND, mode)


@MODES
@pytest.mark.parametrize("dispatchers", [5, 30, 177, 3000])
def test_drain_is_heeded_in_time_after_rejected_watches(dispatchers: int, mode: str) -> None:
    # One that is down may say so by 503: the pause after the last grew to 10 s.
    for way in REJECTING:
        play_faults([(way, 6)], dispatchers, 10 * SECOND, mode)


def test_drain_is_heeded_in_time_where_the_list_is_polled_rarely() -> None:
    # The pause follows the time that the settings give for asking, up to 12 s.
    for way in ("refuses", "never up", "garbage", "silent"):
        play_faults([(way, 6)], 5, 60 * SECOND, "ask")


# ---- 2: no attempt, first or further, begins once its client has closed ----


@pytest.mark.parametrize("class_name", CLASS_NAMES)
@pytest.mark.parametrize("how", ["closed", "reset", "half closed", "queued behind", "while it comes up"])
@pytest.mark.parametrize("after", range(4))
def test_no_retry_begins_once_its_client_has_disconnected(after: int, how: str, class_name: str) -> None:
    # The first is returned unstarted, and its client leaves so many turns later, before the next is written.
    async def script(world: World) -> None:
        worker, other = HeldWorker(), world.entries[0]
        deliver_list(world, listed("h", worker.port))
        client = connect_to(world.port)
        client.end.send(world.request("r", class_name))
        await until(lambda: worker.copies("r"))
        if how == "queued behind":
            client.end.send(world.request("behind", class_name))
            await turns()
        out, connection = next(iter(world.service.pool.connections)), newest_session(world).connection
        deliver_list(world, {**listed("h", worker.port), "state": "Terminating"}, other)
        gate = Gate(world.service.pool) if how == "while it comes up" else None
        worker.peers[0].end.send(b"HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
        wait_for_kernel(out.has_unread_data)
        await turns(after)
        if gate is not None:
            await until(lambda: gate.waiting)
            await turns(after)
        if how == "reset":
            client.reset()
        elif how == "half closed":
            client.end.shutdown(socket.SHUT_WR)
        else:
            client.close()
        wait_for_kernel(connection.is_closed_by_peer)
        begun = len(world.sent)
        if gate is not None:
            gate.event.set()
        await turns(200)
        assert len(world.sent) == begun and not world.service.router.requests.open_count()

    play(script, workers=1, **CALM)


# ---- 3: a cold worker gets no more of all together than its budget and what is chance ----


def most_over(policy: str, seed: int) -> tuple[float, int]:
    """By how many requests cold workers got more than N + 2 root N + 2 in the time that the settings name,
    at the worst moment, N being what the settings allow then; and how many they got in all.
    """
    work, slots = 200 * MS, 2
    e = parse_experiment(
        {
            "name": "cold",
            "lasts": "10s",
            "grades": [
                {
                    "name": "look",
                    "abandon_time": "3s",
                    "expected_time": "500ms",
                    "work": {"law": "exponential", "mean": "200ms"},
                }
            ],
            "workers": [{"count": 12, "slots": slots}],
            "traffic": [{"rate": 80.0}, {"rate": 60.0, "start": "3s", "end": "5s"}],
            "dispatchers": {"count": 30},
            "discovery": {"notices_death": "300ms"},
            "worker_rules": {"tip_multiple": 1.0, "warm_within": "5s"},
            "troubles": [{"what": "crash", "at": "1s", "lasts": "2500ms", "workers": ["w0", "w1", "w2"]}],
        }
    )
    rules, up, came = e.worker_rules, dict[str, int](), dict[str, list[int]]()
    most, in_all = -1e9, 0
    for event in VirtualWorld(e, seed, policy).run():
        if event.what == UP:
            up[event.worker], came[event.worker] = event.at, []
        elif (
            event.what == CAME and event.at - up.get(event.worker, -rules.warmup_period) < rules.warmup_period
        ):
            warmth = (event.at - up[event.worker]) / rules.warmup_period
            share = rules.warmup_share + (1 - rules.warmup_share) * warmth
            allowed = rules.overload_multiple * share * slots * rules.overload_window / work
            came[event.worker].append(event.at)
            late = [at for at in came[event.worker] if at > event.at - rules.overload_window]
            most, in_all = max(most, len(late) - allowed - 2 * math.sqrt(allowed) - 2), in_all + 1
    return most, in_all


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_thirty_dispatchers_do_not_overload_a_worker_that_warms_up(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(Worker, "_tips", lambda *_: False)  # else it is down before the count is full
    over, got = most_over("ours", seed)
    assert over <= 0 and got > 20
    assert most_over("two choices", seed)[0] > 0, "who does not spare them goes over"


# ---- 4 and 5: the program itself, as a process ----


async def program(
    path: Path, config: dict[str, Any], descriptors: int | None = None
) -> asyncio.subprocess.Process:
    path.write_text(json.dumps({**config, "settings": SETTINGS}))
    words = [sys.executable, "-m", "ploverspoke"]
    if descriptors is not None:
        limit = f"import os, resource, sys; resource.setrlimit(resource.RLIMIT_NOFILE, ({descriptors},) * 2)"
        words = [sys.executable, "-c", f"{limit}; os.execv(sys.executable, sys.argv[1:])", *words]
    with path.with_suffix(".log").open("ab") as log:
        return await asyncio.create_subprocess_exec(
            *words, env={**os.environ, "RELAY_CONFIG": str(path)}, stderr=log
        )


async def ready(port: int, within: float) -> bool:
    end = time.monotonic() + within
    while time.monotonic() < end:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /-/ready HTTP/1.1\r\n\r\n")
            first = (await message(reader))[0]
            writer.close()
            if " 200 " in first:
                return True
        await asyncio.sleep(0.02)
    return False


def test_idle_clients_at_the_descriptor_limit_do_not_block_the_endpoint_list(tmp_path: Path) -> None:
    async def run() -> None:
        world, path, most = World(), tmp_path / "config.json", 128
        discovery = await world.surround(2)
        known = {"version": 1, "full": True, "servers": world.entries}
        config = {"listen": f"127.0.0.1:{world.port}", "discovery": discovery, "known": known}
        process = await program(path, config, most)
        assert await ready(world.port, 20)
        kept, writer = await world.connect()

        async def served(name: str) -> None:
            writer.write(world.request(name))
            assert (await asyncio.wait_for(message(kept), 5))[0] == "HTTP/1.1 200 OK"

        await served("first")
        async with asyncio.timeout(
            10
        ):  # the first call of discovery comes at a random moment after the start
            while not world.watches:
                await asyncio.sleep(0.01)
        host, port = world.servers[-1].sockets[0].getsockname()
        world.servers[-1].close()
        for _, connection in world.discovery_connections:
            connection.transport.abort()
        # Some say nothing, some ask once and stay, some have been served and stay: more than fit, all over.
        idle: list[asyncio.StreamWriter] = []
        most_held = 0
        for number in range(360):
            with contextlib.suppress(ConnectionError, TimeoutError, asyncio.IncompleteReadError):
                reader, client = await world.connect()
                idle.append(client)
                if number % 3:
                    asks = b"GET /-/ready HTTP/1.1\r\n\r\n"
                    client.write(world.request(f"i{number}") if number % 3 == 1 else asks)
                    await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)
            if number % 20 == 0:
                held = len(list(Path(f"/proc/{process.pid}/fd").iterdir()))
                most_held = max(most_held, held)
                await served(f"during-{number}")
        assert 48 < most_held <= most - 8, f"{most_held} of {most} descriptors"
        world.version, world.entries = 2, [{**world.entries[0], "state": "Terminating"}, world.entries[1]]
        world.servers[-1] = await asyncio.start_server(world._discovery, host, port)
        asked, world.watches = world.watches, 0
        end = time.monotonic() + 6
        while world.watches < 2 and time.monotonic() < end:  # what is newer, and the watch that goes on
            await asyncio.sleep(0.02)
        assert world.watches >= 2 and asked
        world.sent.clear()
        for number in range(8):
            await served(f"after-{number}")
        assert {worker for worker, _ in world.sent} == {"w1"}
        process.kill()
        await process.wait()
        for one in [writer, *idle]:
            one.close()
        for server in world.servers:
            server.close()

    uvloop.run(run())


def test_restarted_fleet_is_ready_soon_beside_an_overloaded_discovery(tmp_path: Path) -> None:
    # Nine in ten within 10 s; and none may wait for a discovery that has answered nobody yet.
    count, call_takes, turned_away_after = 20, 0.33, 1.0

    async def run() -> None:
        calls = 0
        free_at = 0.0
        loop = asyncio.get_running_loop()

        async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal calls, free_at
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                while await reader.readuntil(b"\r\n\r\n"):
                    calls += 1
                    free_at = max(free_at, loop.time()) + call_takes
                    await asyncio.sleep(min(turned_away_after, free_at - loop.time()))
                    writer.write(RESPONSES["503"])

        server = await asyncio.start_server(discovery, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        ports = reserve_ports(count)
        known = {"version": 1, "full": True, "servers": [listed("w0", 9)]}
        configs = [
            {"listen": f"127.0.0.1:{port}", "discovery": address, **({"known": known} if number % 2 else {})}
            for number, port in enumerate(ports)
        ]
        paths = [tmp_path / f"{number}.json" for number in range(count)]
        processes: list[asyncio.subprocess.Process] = []
        try:
            for within in (30, 10):
                for process in processes:
                    process.kill()
                await asyncio.gather(*(process.wait() for process in processes))
                processes = list(await asyncio.gather(*map(program, paths, configs)))
                came = await asyncio.gather(*(ready(port, within) for port in ports))
                assert sum(came) >= count * 9 // 10, f"{sum(came)} of {count} in {within} s"
                assert within == 10 or all(came)
            assert calls  # of which none was answered with a list
        finally:
            for process in processes:
                process.kill()
            await asyncio.gather(*(process.wait() for process in processes))
            server.close()

    uvloop.run(run())
