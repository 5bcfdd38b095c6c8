"""Two processes of one dispatcher stay within its memory limit together, beside a crowd."""

import asyncio
import re
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.limits.crowd_harness import ROOT
from tests.service.handover_harness import ReplacedDispatcher, exit_code, run_script

MEMORY_MB = 64
CLIENTS = 400
CROWD_S = 4.0
FILLED_AFTER_S = 1.5  # from the start of the crowd to that of the successor
OVERLAP_S = 0.5


@pytest.fixture
def listening() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0), backlog=256) as listening_socket:
        yield listening_socket


def resident_mb(process: subprocess.Popen[bytes]) -> float:
    """The resident memory of a process in MiB, 0 if it has ended."""
    try:
        found = re.search(r"VmRSS:\s+(\d+) kB", Path(f"/proc/{process.pid}/status").read_text())
    except OSError:
        return 0.0
    return int(found[1]) / 1024 if found else 0.0


def test_predecessor_and_successor_stay_within_one_memory_limit(
    listening: socket.socket, tmp_path: Path
) -> None:
    peaks = [0.0]

    async def watch(dispatcher: ReplacedDispatcher) -> None:
        while True:
            peaks.append(sum(resident_mb(process) for process in dispatcher.processes))
            await asyncio.sleep(0.01)

    async def script(dispatcher: ReplacedDispatcher) -> subprocess.Popen[bytes]:
        dispatcher.document["limits"] = {"memory_mb": MEMORY_MB, "sockets": 1024}
        dispatcher.write_config(dispatcher.document)
        old, _ = await dispatcher.start()
        watching = asyncio.ensure_future(watch(dispatcher))
        arguments = (str(dispatcher.harness.port), "half_a_body", str(CLIENTS), str(CROWD_S))
        crowd = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "tests.limits.crowd_process", *arguments, cwd=ROOT
        )
        await asyncio.sleep(FILLED_AFTER_S)
        new, _ = await dispatcher.start()
        await asyncio.sleep(OVERLAP_S)
        old.terminate()
        assert await exit_code(old) == 0
        await crowd.wait()
        watching.cancel()
        assert (await dispatcher.harness.exchange(dispatcher.harness.request("after", "book")))[0] == 200
        return new

    run_script(listening, tmp_path, script)
    assert max(peaks) <= MEMORY_MB
