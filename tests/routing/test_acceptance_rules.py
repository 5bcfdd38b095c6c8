"""Acceptance rules for retries, slow start and program starts, on sockets and in simulated fleets."""

import asyncio
import contextlib
import math
import socket
import time
from pathlib import Path

import pytest
import uvloop

from ploverspoke.testbed.experiment_files.reader import parse_experiment
from ploverspoke.testbed.models.event_records import ATTEMPT_ARRIVED, WORKER_STARTED
from ploverspoke.testbed.models.virtual_run import VirtualRun
from ploverspoke.testbed.models.worker import Worker
from ploverspoke.testbed.processes.addresses import reserve_ports
from ploverspoke.transport.units import MILLISECOND as MS
from tests.decisions.harness import SETTINGS
from tests.routing.faulty_discovery import RESPONSES
from tests.routing.harness import ServiceHarness, endpoint_entry, run_script
from tests.routing.http_messages import read_message
from tests.routing.program_process import start_program
from tests.routing.race_harness import (
    CLASS_NAMES,
    LENIENT_SETTINGS,
    Gate,
    ManualWorker,
    connect_to,
    deliver_list,
    newest_session,
    run_loop_turns,
    wait_for_kernel,
    wait_until,
)

RUNS_LONG = True  # scheduled first: see tests/conftest.py

# ---- No attempt, first or retry, starts after its client has disconnected ----


@pytest.mark.parametrize("class_name", CLASS_NAMES)
@pytest.mark.parametrize(
    "disconnect", ["closed", "reset", "half closed", "queued behind", "while it comes up"]
)
@pytest.mark.parametrize("after", range(4))
def test_no_retry_begins_once_its_client_has_disconnected(
    after: int, disconnect: str, class_name: str
) -> None:
    # The first attempt is rejected unstarted; `after` loop turns later, before the retry, the client leaves.
    async def script(harness: ServiceHarness) -> None:
        worker, other = ManualWorker(), harness.entries[0]
        deliver_list(harness, endpoint_entry("h", worker.port))
        client = connect_to(harness.port)
        client.socket.send(harness.request("r", class_name))
        await wait_until(lambda: worker.copies("r"))
        if disconnect == "queued behind":
            client.socket.send(harness.request("behind", class_name))
            await run_loop_turns()
        worker_connection = next(iter(harness.service.pool.connections))
        client_connection = newest_session(harness).connection
        deliver_list(harness, {**endpoint_entry("h", worker.port), "state": "Terminating"}, other)
        gate = Gate(harness.service.pool) if disconnect == "while it comes up" else None
        worker.peers[0].socket.send(b"HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
        wait_for_kernel(worker_connection.has_unread_data)
        await run_loop_turns(after)
        if gate is not None:
            await wait_until(lambda: gate.waiting)
            await run_loop_turns(after)
        if disconnect == "reset":
            client.reset()
        elif disconnect == "half closed":
            client.socket.shutdown(socket.SHUT_WR)
        else:
            client.close()
        wait_for_kernel(client_connection.is_closed_by_peer)
        sent_count = len(harness.sent)
        if gate is not None:
            gate.event.set()
        await run_loop_turns(200)
        assert len(harness.sent) == sent_count and not harness.service.router.requests.open_count()

    run_script(script, workers=1, **LENIENT_SETTINGS)


# ---- A worker that warms up gets at most its budget plus random variation from all dispatchers ----


MEAN_WORK, SLOTS = 200 * MS, 2
CRASH_EXPERIMENT = {
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
    "workers": [{"count": 12, "slots": SLOTS}],
    "traffic": [{"rate": 80.0}, {"rate": 60.0, "start": "3s", "end": "5s"}],
    "dispatchers": {"count": 30},
    "discovery": {"notices_death": "300ms"},
    "worker_rules": {"tip_multiple": 1.0, "warm_within": "5s"},
    "troubles": [{"what": "crash", "at": "1s", "lasts": "2500ms", "workers": ["w0", "w1", "w2"]}],
}


def max_excess_starts(policy: str, seed: int) -> tuple[float, int]:
    """The largest excess of requests at workers that warm up, and the total number of their requests.

    The excess is the number of requests in the overload window above N + 2 sqrt(N) + 2, where N is the number
    that the settings allow at that time.
    """
    experiment = parse_experiment(CRASH_EXPERIMENT)
    rules, up_since, starts = experiment.worker_rules, dict[str, int](), dict[str, list[int]]()
    max_excess, total = -1e9, 0
    for event in VirtualRun(experiment, seed, policy).run():
        if event.kind == WORKER_STARTED:
            up_since[event.worker], starts[event.worker] = event.at, []
        elif (
            event.kind == ATTEMPT_ARRIVED
            and event.at - up_since.get(event.worker, -rules.warmup_period) < rules.warmup_period
        ):
            warmth = (event.at - up_since[event.worker]) / rules.warmup_period
            share = rules.warmup_share + (1 - rules.warmup_share) * warmth
            allowed = rules.overload_multiple * share * SLOTS * rules.overload_window / MEAN_WORK
            starts[event.worker].append(event.at)
            recent = [at for at in starts[event.worker] if at > event.at - rules.overload_window]
            max_excess, total = max(max_excess, len(recent) - allowed - 2 * math.sqrt(allowed) - 2), total + 1
    return max_excess, total


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_thirty_dispatchers_do_not_overload_a_worker_that_warms_up(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Otherwise an overloaded worker would fail before it has received all its requests.
    monkeypatch.setattr(Worker, "_is_overloaded_by", lambda *_: False)
    excess, request_count = max_excess_starts("ours", seed)
    assert excess <= 0 and request_count > 20
    assert max_excess_starts("two choices", seed)[0] > 0, "a policy without slow start exceeds it"


# ---- The program itself, as a process ----


async def wait_until_ready(port: int, within: float) -> bool:
    end = time.monotonic() + within
    while time.monotonic() < end:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /-/ready HTTP/1.1\r\n\r\n")
            first = (await read_message(reader))[0]
            writer.close()
            if " 200 " in first:
                return True
        await asyncio.sleep(0.02)
    return False


async def add_idle_client(harness: ServiceHarness, number: int, idle: list[asyncio.StreamWriter]) -> None:
    """Connect a client that stays; in turn one is silent, one is served and one checks the status once."""
    with contextlib.suppress(ConnectionError, TimeoutError, asyncio.IncompleteReadError):
        reader, client = await harness.connect()
        idle.append(client)
        if number % 3:
            status_request = b"GET /-/ready HTTP/1.1\r\n\r\n"
            client.write(harness.request(f"i{number}") if number % 3 == 1 else status_request)
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)


async def restart_discovery_with_a_drain(harness: ServiceHarness, host: str, port: int) -> None:
    """Restart discovery with the first worker draining; it must be called twice within 6 s."""
    harness.version = 2
    harness.entries = [{**harness.entries[0], "state": "Terminating"}, harness.entries[1]]
    await harness.restart_discovery(host, port)
    watch_count_before, harness.watch_count = harness.watch_count, 0
    end = time.monotonic() + 6
    while harness.watch_count < 2 and time.monotonic() < end:  # one call for the changes, and the next watch
        await asyncio.sleep(0.02)
    assert harness.watch_count >= 2 and watch_count_before


def test_idle_clients_at_the_descriptor_limit_do_not_block_the_endpoint_list(tmp_path: Path) -> None:
    async def run() -> None:
        harness, path, descriptor_limit = ServiceHarness(), tmp_path / "config.json", 128
        config = harness.config_document(await harness.start_workers_and_discovery(2))
        process = await start_program(path, config, descriptor_limit)
        assert await wait_until_ready(harness.port, 20)
        kept_reader, writer = await harness.connect()

        async def served(name: str) -> None:
            writer.write(harness.request(name))
            assert (await asyncio.wait_for(read_message(kept_reader), 5))[0] == "HTTP/1.1 200 OK"

        await served("first")
        # The first call to discovery comes at a random moment after the start.
        async with asyncio.timeout(10):
            while not harness.watch_count:
                await asyncio.sleep(0.01)
        discovery_address = harness.stop_discovery()
        idle: list[asyncio.StreamWriter] = []
        max_open_fds = 0
        for number in range(360):
            await add_idle_client(harness, number, idle)
            if number % 20 == 0:
                descriptor_count = len(list(Path(f"/proc/{process.pid}/fd").iterdir()))
                max_open_fds = max(max_open_fds, descriptor_count)
                await served(f"during-{number}")
        assert 48 < max_open_fds <= descriptor_limit - 8, f"{max_open_fds} of {descriptor_limit} descriptors"
        await restart_discovery_with_a_drain(harness, *discovery_address)
        harness.sent.clear()
        for number in range(8):
            await served(f"after-{number}")
        assert {worker for worker, _ in harness.sent} == {"w1"}
        process.kill()
        await process.wait()
        for client_writer in [writer, *idle]:
            client_writer.close()
        harness.close_servers()

    uvloop.run(run())


class OverloadedDiscovery:
    """Handles one call after the other and rejects all of them."""

    call_duration = 0.33  # seconds
    rejected_after = 1.0  # seconds

    def __init__(self) -> None:
        self.calls = 0
        self.free_at = 0.0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while await reader.readuntil(b"\r\n\r\n"):
                self.calls += 1
                self.free_at = max(self.free_at, loop.time()) + self.call_duration
                await asyncio.sleep(min(self.rejected_after, self.free_at - loop.time()))
                writer.write(RESPONSES["503"])


def test_restarted_fleet_is_ready_soon_beside_an_overloaded_discovery(tmp_path: Path) -> None:
    # Nine in ten must be ready within 10 s, and none may wait for discovery, which has answered no call yet.
    count = 20

    async def run() -> None:
        discovery = OverloadedDiscovery()
        server = await asyncio.start_server(discovery.serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        ports = reserve_ports(count)
        known = {"version": 1, "full": True, "servers": [endpoint_entry("w0", 9)]}
        configs = [
            {"listen": f"127.0.0.1:{port}", "discovery": address, "settings": SETTINGS}
            | ({"known": known} if number % 2 else {})
            for number, port in enumerate(ports)
        ]
        paths = [tmp_path / f"{number}.json" for number in range(count)]
        processes: list[asyncio.subprocess.Process] = []
        try:
            for within in (30, 10):
                for process in processes:
                    process.kill()
                await asyncio.gather(*(process.wait() for process in processes))
                processes = list(await asyncio.gather(*map(start_program, paths, configs)))
                are_ready = await asyncio.gather(*(wait_until_ready(port, within) for port in ports))
                assert sum(are_ready) >= count * 9 // 10, f"{sum(are_ready)} of {count} in {within} s"
                assert within == 10 or all(are_ready)
            assert discovery.calls  # none of which was answered with a list
        finally:
            for process in processes:
                process.kill()
            await asyncio.gather(*(process.wait() for process in processes))
            server.close()

    uvloop.run(run())
