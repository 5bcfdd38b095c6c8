"""Watchers that send long statuses at full speed do not keep a config server from serving others."""

import asyncio
import json
import sys
import time
from pathlib import Path

from ploverspoke.config_distribution.broadcaster import HEARTBEAT_INTERVAL_NS
from ploverspoke.testbed.processes.addresses import reserve_ports
from ploverspoke.transport.units import SECOND
from tests.limits.crowd_harness import ROOT, resident_mb
from tests.limits.framed_peer import SECRET
from tests.limits.status_sender import CLUSTER, connect
from tests.polling import until
from tests.routing.harness import run_on_loop

FLOOD_WATCHERS = 20
FLOOD_S = 4.0
MAX_ANSWER_S = HEARTBEAT_INTERVAL_NS / SECOND  # a watcher hears from its server as often as this
MAX_GROWTH_MB = 64  # as much as a dispatcher's least limit; a server has no setting for it
CONNECT_PAUSE_S = 0.05


async def start_config_server(folder: Path) -> tuple[asyncio.subprocess.Process, int]:
    """Start a config server without replicas, and wait until it serves; returns it and its port."""
    peer_port, client_port = reserve_ports(2)
    (folder / "secret").write_bytes(SECRET)
    document = {
        "cluster": CLUSTER,
        "secret_file": "secret",
        "name": "k0",
        "folder": "k0",
        "replicas": {"k0": {"peers": f"127.0.0.1:{peer_port}", "clients": f"127.0.0.1:{client_port}"}},
    }
    path, log = folder / "k0.json", folder / "log.txt"
    path.write_text(json.dumps(document))
    with log.open("wb") as log_file:
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "ploverspoke", "config", "serve", str(path), "--new"),
            cwd=ROOT,
            stderr=log_file,
        )
    await until(lambda: "k0 serves" in log.read_text(), seconds=30.0)
    return process, client_port


async def time_to_first_heartbeat(port: int, name: str) -> float:
    began = time.monotonic()
    watcher = await connect(port, name)
    await watcher.messages.get()
    watcher.transport.abort()
    return time.monotonic() - began


def test_config_server_answers_new_watchers_beside_others_that_send_long_statuses(tmp_path: Path) -> None:
    async def script() -> None:
        server, port = await start_config_server(tmp_path)
        try:
            before, times = resident_mb(server.pid), list[float]()
            flood = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "tests.limits.status_sender"),
                *(str(port), str(FLOOD_WATCHERS), str(FLOOD_S)),
                cwd=ROOT,
            )
            while flood.returncode is None:
                times.append(await time_to_first_heartbeat(port, f"usual-{len(times)}"))
                await asyncio.sleep(CONNECT_PAUSE_S)
            assert max(times) < MAX_ANSWER_S
            assert resident_mb(server.pid, peak=True) - before < MAX_GROWTH_MB
        finally:
            server.kill()
            await server.wait()

    run_on_loop(script)
