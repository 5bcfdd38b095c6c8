"""Holders that send at full speed do not make another holder lose its lease, nor memory grow without end."""

import asyncio
import json
import sys
import time
from pathlib import Path

import pytest

from ploverspoke.consensus.connection_memory import MAX_HELD_BYTES
from ploverspoke.consensus.framing import MAX_BODY_BYTES
from ploverspoke.leases.definitions import MIN_DURATION_ELECTION_TIMEOUTS
from ploverspoke.testbed.processes.addresses import reserve_ports
from tests.limits.crowd_harness import ROOT, resident_mb
from tests.limits.framed_peer import SECRET
from tests.limits.lease_holder import FLOOD_PREFIX, LEASE_DURATION_NS, Holder, connect
from tests.polling import until
from tests.routing.harness import run_on_loop

ELECTION_MS = 300
FLOOD_S = 4.0
# A holder sends its next request after a third of the duration; the shortest lease has to last.
MAX_ANSWER_S = MIN_DURATION_ELECTION_TIMEOUTS * ELECTION_MS / 1000 / 3
MAX_GROWTH_MB = 64  # as much as a dispatcher's least limit; a server has no setting for it
REQUEST_PAUSE_S = 0.02
HOLDERS_IN_PART = 100


async def start_lease_server(folder: Path) -> tuple[asyncio.subprocess.Process, int]:
    """Start a lease server without replicas, and wait until it leads; returns it and its port for holders."""
    peer_port, client_port = reserve_ports(2)
    (folder / "secret").write_bytes(SECRET)
    document = {
        "cluster": "test",
        "secret_file": "secret",
        "name": "k0",
        "folder": "k0",
        "replicas": {"k0": {"peers": f"127.0.0.1:{peer_port}", "clients": f"127.0.0.1:{client_port}"}},
        "election_ms": ELECTION_MS,
        "leases": {"usual": {"longest_ms": 60_000}, f"{FLOOD_PREFIX}*": {"longest_ms": 60_000}},
    }
    path, log = folder / "k0.json", folder / "log.txt"
    path.write_text(json.dumps(document))
    with log.open("wb") as log_file:
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "ploverspoke", "lease-server", str(path), "--new"),
            cwd=ROOT,
            stderr=log_file,
        )
    await until(lambda: "k0 leads" in log.read_text(), seconds=30.0)
    return process, client_port


async def hold_part_of_a_frame(port: int, name: str) -> Holder:
    holder = await connect(port, name)
    holder.transport.write(holder.frames.encode("x" * (MAX_BODY_BYTES - 8))[:-1])
    return holder


def test_lease_server_holds_a_limited_amount_for_frames_in_part(tmp_path: Path) -> None:
    async def script() -> None:
        server, port = await start_lease_server(tmp_path)
        try:
            before = resident_mb(server.pid)
            usual = await connect(port, "usual")
            holders = [await hold_part_of_a_frame(port, f"p{number}") for number in range(HOLDERS_IN_PART)]
            excess = HOLDERS_IN_PART - MAX_HELD_BYTES // MAX_BODY_BYTES
            await until(lambda: sum(holder.transport.is_closing() for holder in holders) >= excess)
            asked_at = time.monotonic()
            await usual.exchange([["usual", LEASE_DURATION_NS, 0, 0]])
            assert time.monotonic() - asked_at < MAX_ANSWER_S
            assert resident_mb(server.pid) - before < 2 * MAX_GROWTH_MB
            for holder in holders:
                holder.transport.abort()
            await until(lambda: resident_mb(server.pid) - before < MAX_GROWTH_MB / 2)
        finally:
            server.kill()
            await server.wait()

    run_on_loop(script)


@pytest.mark.parametrize("holders", [1, 12])
def test_lease_server_answers_others_beside_holders_that_send_at_full_speed(
    holders: int, tmp_path: Path
) -> None:
    async def script() -> None:
        server, port = await start_lease_server(tmp_path)
        try:
            before = resident_mb(server.pid)
            usual, token, times = await connect(port, "usual"), 0, list[float]()
            flood = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "tests.limits.lease_holder", str(port), str(holders), str(FLOOD_S)),
                cwd=ROOT,
            )
            while flood.returncode is None:
                asked_at = time.monotonic()
                answer = await usual.exchange([["usual", LEASE_DURATION_NS, token, 0]])
                times.append(time.monotonic() - asked_at)
                assert not answer["lost"]
                token = answer["has"][0][1] if answer["has"] else token
                await asyncio.sleep(REQUEST_PAUSE_S)
            assert token
            assert max(times) < MAX_ANSWER_S
            assert resident_mb(server.pid) - before < MAX_GROWTH_MB
        finally:
            server.kill()
            await server.wait()

    run_on_loop(script)
