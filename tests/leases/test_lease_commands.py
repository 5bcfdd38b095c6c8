"""`ploverspoke lease` as operators run it, with lease servers as processes."""

import asyncio
import json
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

from ploverspoke.consensus.framing import FrameCodec
from ploverspoke.testbed.processes.running_process import RunningProcess
from ploverspoke.testbed.scenarios.lease_fleet import LeaseFleet
from tests.leases.lease_server_rig import Call, run_with_lease_servers

RUNS_LONG = True  # scheduled first: see tests/conftest.py


LONGEST_DECLARED_LEASE_S = 12.0
RUN_OPTIONS = ["--for", "2", "--grace", "0.4", "--", sys.executable, "-c"]
PRINTS_TOKEN = "import os, sys; print(os.environ['PLOVERSPOKE_LEASE_TOKEN']); sys.exit(7)"
IGNORES_TERM = (
    "import signal, time; signal.signal(15, signal.SIG_IGN); print('up', flush=True); time.sleep(60)"
)


async def acquire_show_and_release(call: Call) -> int:
    """Return the token that was granted."""
    code, output = await call("acquire", "one", "--for", "4", "--as", "me", "--json")
    held = json.loads(output)
    assert code == 0 and held["holder"].startswith("me/") and 3 < held["left_s"] <= 3.6
    assert (await call("show", "one"))[0] == 0
    code, output = await call("acquire", "one", "--for", "4", "--json")
    assert code == 1 and not json.loads(output)["token"]
    code, output = await call("list", "--json")
    listing = json.loads(output)
    assert [row["name"] for row in listing["leases"]] == ["one"]
    assert listing["declared"]["two"]["places"] == 1
    wrong_token = ["--holder", held["holder"], "--token", str(held["token"] + 1)]
    assert (await call("release", "one", *wrong_token))[0] == 1
    right_token = ["--holder", held["holder"], "--token", str(held["token"])]
    assert (await call("release", "one", *right_token))[0] == 0
    assert (await call("show", "one"))[0] == 1
    code, output = await call("watch", "one", "--changes", "1", "--json")
    assert code == 0 and json.loads(output)["held"] == []
    return int(held["token"])


async def run_commands_and_wrong_calls(call: Call, earlier_token: int) -> None:
    code, output = await call("run", "two", *RUN_OPTIONS, PRINTS_TOKEN)
    assert code == 7 and int(output) > earlier_token
    for name, options, reason in (
        ("three", ["--for", "4"], "no lease is called 'three'"),
        ("one", ["--for", "0.1"], "is under 500"),
        ("one", ["--for", "60"], "is over 12000"),
    ):
        code, output = await call("acquire", name, *options)
        assert code == 1 and reason in output
    assert (await call("run", "one", "--for", "4", "--grace", "2", "--", "true"))[0] == 2


async def run_command_while_the_majority_is_paused(leases: LeaseFleet, call: Call) -> None:
    """The command is terminated, and killed because it ignores TERM."""
    running = asyncio.create_task(call("run", "two", *RUN_OPTIONS, IGNORES_TERM))
    while (await call("show", "two"))[0]:
        await asyncio.sleep(0.05)
    started_at = time.monotonic()
    for name in ("k0", "k1"):
        leases.rig.processes[name].pause()
    code, output = await running
    assert code == 4 and "cannot be renewed" in output and time.monotonic() - started_at < 10
    assert (await call("list"))[0] == 3
    for name in ("k0", "k1"):
        leases.rig.processes[name].resume()
    while (await call("acquire", "one", "--for", "2"))[0]:
        await asyncio.sleep(0.1)


def test_operators_acquire_show_and_release_leases_and_run_commands_under_them(tmp_path: Path) -> None:
    async def script(leases: LeaseFleet, call: Call) -> None:
        token = await acquire_show_and_release(call)
        await run_commands_and_wrong_calls(call, token)
        await run_command_while_the_majority_is_paused(leases, call)

    run_with_lease_servers(tmp_path, script)


async def run_lease_tool(command: str, file: Path, *arguments: str) -> int:
    """Run a command with the file of one lease server; return the exit code."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "ploverspoke", "lease", command, str(file), *arguments),
        stdout=subprocess.DEVNULL,
    )
    return await process.wait()


async def acquire_token(call: Call) -> int:
    # After a restore each new leader waits for the longest lease anew, and a busy machine changes the leader.
    _, output = await call("acquire", "one", "--for", "1", "--wait", "50", "--json")
    return int(json.loads(output)["token"])


async def fail_to_start_with_an_empty_folder(server: RunningProcess) -> None:
    """A single server whose folder was cleared refuses to start as the replica that it was before."""
    await server.kill()
    server.clear_folder()
    server.ready = None
    await server.start()
    assert server.process is not None and await server.process.wait() == 2
    assert "a new store begins with --new" in server.log_tail()
    server.process = None


def test_restored_lease_servers_grant_higher_tokens_after_the_longest_lease(
    tmp_path: Path,
) -> None:
    async def script(leases: LeaseFleet, call: Call) -> None:
        backup = tmp_path / "backup.db"
        files = [tmp_path / f"k{number}.json" for number in range(3)]

        assert await run_lease_tool("backup", files[0], str(backup)) == 0
        tokens_after_backup = [await acquire_token(call) for _ in range(2)]
        assert tokens_after_backup[0] < tokens_after_backup[1]
        servers = [leases.rig.processes[f"k{number}"] for number in range(3)]
        for server, file in zip(servers, files, strict=True):
            await server.stop(signal.SIGTERM, 10)
            # Existing storage is never overwritten.
            assert await run_lease_tool("restore", file, str(backup)) == 2
            server.clear_folder()
            assert await run_lease_tool("restore", file, str(backup)) == 0
        started_at = time.monotonic()  # before any server can lead; the third may be ready much later
        await leases.rig.start_processes()
        assert await acquire_token(call) > tokens_after_backup[1]
        # A lease that was granted after the backup may be held for that long.
        assert time.monotonic() - started_at > LONGEST_DECLARED_LEASE_S

        await fail_to_start_with_an_empty_folder(servers[0])
        assert await acquire_token(call) > tokens_after_backup[1]

    run_with_lease_servers(tmp_path, script)


def test_client_with_another_secret_or_a_malformed_message_changes_nothing(tmp_path: Path) -> None:
    async def script(leases: LeaseFleet, call: Call) -> None:
        first = leases.servers[0]
        address = (first.host, first.ports["clients"])
        for secret, message in (
            (b"another secret than theirs", None),
            (b"a secret of the testbed's own", {"n": "x"}),
        ):
            frames = FrameCodec(secret, {"id": "client/1", "store": ""})
            with socket.create_connection(address, 5) as connection:
                connection.sendall(frames.greeting_frame())
                if message is not None:
                    while frames.peer_greeting is None:
                        frames.decode(connection.recv(4096))
                    connection.sendall(frames.encode(message))
                while connection.recv(4096):  # until the server closes it
                    pass
        server = leases.rig.processes["k0"]
        assert server.is_running() and (await call("status"))[0] == 0
        assert "wrong MAC" in server.log_tail() and "malformed message from a holder" in server.log_tail()

    run_with_lease_servers(tmp_path, script)
