"""Tasks of the fleet under leases, with real lease servers and processes, and fake dispatchers."""

import asyncio
import json
import sys
import time
from asyncio.subprocess import Process
from pathlib import Path

import msgspec
import pytest

from ploverspoke.leases.fencing import FencingTokenGuard
from ploverspoke.leases.fleet_tasks import (
    FleetSummary,
    parse_counters,
    read_summary_token,
    write_summary,
)
from ploverspoke.leases.guarded_task import GuardedStep, run_guarded_steps
from ploverspoke.store.log_commands import CommitConfiguration, encode_command
from ploverspoke.store.state_machine import RequestStateMachine
from ploverspoke.testbed.processes.addresses import reserve_ports
from ploverspoke.testbed.processes.readiness import accepts_connections
from ploverspoke.testbed.scenarios.lease_fleet import LeaseFleet
from tests.example_config import EXAMPLE, EXAMPLE_PATH
from tests.leases.lease_server_rig import Call, run_with_lease_servers

RUNS_LONG = True  # scheduled first: see tests/conftest.py

DISPATCHERS, MAX_HOLDERS = 6, 2


class Overlap:
    """Has been reached once `count` dispatchers were restarting at the same time."""

    def __init__(self, count: int) -> None:
        self.count = count
        self.restarting = 0
        self.reached = asyncio.Event()

    def begin(self) -> None:
        self.restarting += 1
        if self.restarting >= self.count:
            self.reached.set()

    def end(self) -> None:
        self.restarting -= 1


class FakeDispatcher:
    """The admin address of a dispatcher. `restart` makes it unready for a while, `break` forever."""

    def __init__(self, overlap: Overlap) -> None:
        """A restart does not end before `overlap` has been reached."""
        self.overlap = overlap
        self.restart_task: asyncio.Task[None] | None = None
        self.events: list[tuple[str, float]] = []  # "out" or "back", and the monotonic time
        self.ready = True
        self.port = 0

    async def open(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line = (await reader.readline()).strip()
        if line in (b"restart", b"break"):
            self.ready = False
            self.events.append(("out", time.monotonic()))
            if line == b"restart":
                self.restart_task = asyncio.create_task(self._finish_restart())
        if line == b"vars":
            writer.write(b"+OK\ndispatcher_open_requests 2\ndispatcher_cfg_accepted 1\n.\n")
        else:
            writer.write(b"+OK ready\n" if self.ready else b"-ERR leaving\n")
        writer.close()

    async def _finish_restart(self) -> None:
        self.overlap.begin()
        await self.overlap.reached.wait()
        await asyncio.sleep(0.4)
        self.overlap.end()
        self.ready = True
        self.events.append(("back", time.monotonic()))


SEND_COMMAND_SCRIPT = """
import socket, sys
with socket.create_connection(("127.0.0.1", int(sys.argv[1]))) as admin:
    admin.sendall(sys.argv[2].encode() + b"\\n")
    admin.recv(99)
"""


def test_no_more_dispatchers_are_out_than_may_hold_the_lease_and_a_failed_one_frees_it(
    tmp_path: Path,
) -> None:
    async def script(leases: LeaseFleet, call: Call) -> None:
        overlap = Overlap(MAX_HOLDERS)
        dispatchers = [FakeDispatcher(overlap) for _ in range(DISPATCHERS)]
        for dispatcher in dispatchers:
            await dispatcher.open()

        async def restart(dispatcher: FakeDispatcher, admin_command: str, ready_timeout: str) -> int:
            options = ["--ready", f"127.0.0.1:{dispatcher.port}", "--for", "1.5", "--within", ready_timeout]
            command = ["--", sys.executable, "-c", SEND_COMMAND_SCRIPT, str(dispatcher.port), admin_command]
            return (await call("restart", "both", *options, *command))[0]

        broken = await restart(dispatchers[0], "break", "2")
        # The first restart waits for the second one, which waits until the lease for the broken one expires.
        restarts = [restart(dispatcher, "restart", "10") for dispatcher in dispatchers[1:]]
        codes = await asyncio.gather(*restarts)
        assert broken == 5 and codes == [0] * (DISPATCHERS - 1)
        # The broken dispatcher stays out. Its lease was granted to another holder only after it had expired.
        events = sorted((at, event) for dispatcher in dispatchers[1:] for event, at in dispatcher.events)
        out = max_out = 0
        for _, event in events:
            out += 1 if event == "out" else -1
            max_out = max(max_out, out)
        assert max_out == MAX_HOLDERS and len(events) == 2 * (DISPATCHERS - 1)

    run_with_lease_servers(tmp_path, script, {"both": MAX_HOLDERS})


async def start_summary_writers(leases: LeaseFleet, path: Path, ports: list[int]) -> list[Process]:
    options = ["--to", str(path), "--every", "0.2", "--for", "1.5"]
    for port in ports:
        options += ["--from", f"127.0.0.1:{port}"]
    servers_file = str(leases.servers_file)
    command = [sys.executable, "-m", "ploverspoke", "lease", "summary", servers_file, "one", *options]
    return [await asyncio.create_subprocess_exec(*command, "--as", f"w{number}") for number in range(3)]


async def read_tokens_and_kill_writers(call: Call, path: Path, writers: list[Process]) -> list[int]:
    """Return the successive tokens of the summary; the writer of each is killed, except for the last."""
    tokens: list[int] = []
    killed: set[int] = set()
    deadline = time.monotonic() + 30
    while len(tokens) < 3:
        assert time.monotonic() < deadline
        await asyncio.sleep(0.05)
        if not path.exists():
            continue
        summary = json.loads(path.read_text())  # complete at any time, as it is replaced atomically
        assert summary["asked"] == 4 and summary["answered"] == 3
        assert summary["sums"] == {"dispatcher_open_requests": 6, "dispatcher_cfg_accepted": 3}
        if not tokens or summary["token"] != tokens[-1]:
            tokens.append(summary["token"])
            if len(killed) == 2:
                break
            holder = json.loads((await call("show", "one", "--json"))[1])["held"][0]["holder"]
            number = int(holder[1])
            killed.add(number)
            writers[number].kill()
    return tokens


def test_summary_is_written_by_one_process_at_a_time_and_by_the_next_when_that_is_killed(
    tmp_path: Path,
) -> None:
    async def script(leases: LeaseFleet, call: Call) -> None:
        dispatchers = [FakeDispatcher(Overlap(1)) for _ in range(3)]
        for dispatcher in dispatchers:
            await dispatcher.open()
        unused_port = reserve_ports(1)[0]
        path = tmp_path / "summary.json"
        ports = [*(dispatcher.port for dispatcher in dispatchers), unused_port]
        writers = await start_summary_writers(leases, path, ports)
        try:
            tokens = await read_tokens_and_kill_writers(call, path, writers)
            assert tokens == sorted(set(tokens)) and len(tokens) == 3
        finally:
            for writer in writers:
                if writer.returncode is None:
                    writer.kill()
                await writer.wait()

    run_with_lease_servers(tmp_path, script)


async def run_store_command(*arguments: str) -> tuple[int, bytes]:
    """Return the exit code and the output."""
    command = [sys.executable, "-m", "ploverspoke", "store", *arguments]
    process = await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.PIPE)
    output, _ = await process.communicate()
    assert process.returncode is not None
    return process.returncode, output


async def start_store(leases: LeaseFleet, file: Path) -> None:
    """Start a store of one replica and wait until it is ready; its configuration is written to `file`."""
    rig = leases.rig
    address = rig.allocate_address("store", [], direct=["peers", "clients"])
    config = {"cluster": "s", "name": "r1", "folder": "store", "secret_file": "secret"}
    replicas = {"r1": {"peers": address.endpoint("peers"), "clients": address.endpoint("clients")}}
    file.write_bytes(msgspec.json.encode({**config, "replicas": replicas}))
    process = rig.add_process(address, "ploverspoke", ["serve", str(EXAMPLE_PATH), "--store", str(file)])
    process.ready = accepts_connections(address.host, address.ports["peers"])
    await rig.start_processes(["store"], ["--new"])
    while (await run_store_command("status", str(file)))[0]:
        await asyncio.sleep(0.1)


def test_configurations_of_many_publishers_never_interleave(tmp_path: Path) -> None:
    async def script(leases: LeaseFleet, call: Call) -> None:
        store = tmp_path / "store.json"
        await start_store(leases, store)
        files = [tmp_path / f"c{number}.json" for number in range(4)]
        for number, file in enumerate(files):
            file.write_text(json.dumps({**EXAMPLE, "note": number}))

        async def publish(number: int) -> int:
            options = ["--for", "3", "--as", f"p{number}", "--json"]
            code, output = await call("publish", "one", str(store), str(files[number]), *options)
            assert code == 0, output
            return int(json.loads(output)["version"])

        versions = await asyncio.gather(*(publish(number) for number in (*range(4), *range(4))))
        assert sorted(versions) == list(range(1, 9))
        code, without_token = await run_store_command("configure", str(store), str(files[0]))
        assert code == 1, without_token
        code, output = await run_store_command("configurations", str(store), "--json")
        assert code == 0, output
        assert [row["version"] for row in json.loads(output)] == list(range(1, 9))

    run_with_lease_servers(tmp_path, script)


def test_store_rejects_configuration_under_an_older_token() -> None:
    state_machine = RequestStateMachine()
    for body, token in (("a", 0), ("b", 7), ("late", 6), ("without", 0), ("c", 7), ("d", 9)):
        state_machine.apply(1, encode_command(CommitConfiguration(body, "me", 1, token)))
    restored = RequestStateMachine()
    restored.restore_snapshot(state_machine.take_snapshot())
    restored.apply(1, encode_command(CommitConfiguration("late", "me", 1, 8)))
    assert [configuration.body for configuration in restored.configurations] == ["a", "b", "c", "d"]


class FakeLeaseClient:
    """Returns the given times left, one for each call."""

    def __init__(self, *times_left: int) -> None:
        self.times_left = list(times_left)

    def time_left(self, name: str) -> int:
        return self.times_left.pop(0) if self.times_left else 0

    def token(self, name: str) -> int:
        return 5


@pytest.mark.parametrize(
    ("times_left", "max_duration", "done", "completed"),
    [
        ([10**9, 10**9], 10**8, 2, True),
        ([10**9, 10**7], 10**8, 1, False),  # the time left is too short for the second step
        ([10**9, 10**9], 10**6, 0, False),  # a step that takes longer than its max_duration is cancelled
    ],
)
def test_no_step_begins_that_may_outlast_the_lease(
    times_left: list[int], max_duration: int, done: int, completed: bool
) -> None:
    tokens = []

    async def step(token: int) -> None:
        await asyncio.sleep(0.02)
        tokens.append(token)

    steps = [GuardedStep(max_duration, step)] * 2
    assert asyncio.run(run_guarded_steps(FakeLeaseClient(*times_left), "n", steps)) is completed
    assert tokens == [5] * done


def test_old_tokens_are_rejected_by_the_guard_and_by_the_summary(tmp_path: Path) -> None:
    guard = FencingTokenGuard(max_names=2)
    allowed = [guard.allows("a", token) for token in (1, 3, 2, 3, 0, 4)]
    assert allowed == [True, True, False, True, False, True]
    assert guard.allows("b", 1) and guard.allows("c", 1)
    assert len(guard.latest_tokens) == 2 and guard.rejected == 2
    path = tmp_path / "s.json"
    first, second, third = (FleetSummary(at, 0, 0, {}, {}) for at in (1, 2, 3))
    assert write_summary(path, first, 5) and not write_summary(path, second, 4)
    assert write_summary(path, third, 6)
    assert read_summary_token(path) == 6 and any(tmp_path.iterdir())
    assert json.loads(path.read_text())["at"] == 3
    path.write_text("{")
    assert read_summary_token(path) == 0
    assert parse_counters(["a 1", 'b{x="y z"} 22', "c -1", "d"]) == {"a": 1, 'b{x="y z"}': 22}
