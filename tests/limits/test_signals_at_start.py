"""A new configuration that is signalled while the program starts does not end it."""

import asyncio
import os
import signal
from pathlib import Path

from tests.limits.crowd_harness import CrowdedDispatcher
from tests.routing.harness import run_on_loop

STARTS = 3
SIGNAL_INTERVAL_S = 0.002
SIGHUP_BIT = 1 << (signal.SIGHUP - 1)


def ignores_hangups(process_id: int) -> bool:
    """Whether the shell has come as far as the deploy file's first command."""
    lines = Path(f"/proc/{process_id}/status").read_text().splitlines()
    [ignored] = [line.split()[1] for line in lines if line.startswith("SigIgn:")]
    return bool(int(ignored, 16) & SIGHUP_BIT)


def test_hangups_at_any_moment_of_the_start_do_not_end_the_program(tmp_path: Path) -> None:
    sent: list[int] = []

    async def hang_up(dispatcher: CrowdedDispatcher, number: int) -> None:
        while not ignores_hangups(dispatcher.process.pid):
            await asyncio.sleep(0)
        while dispatcher.process.returncode is None:
            os.kill(dispatcher.process.pid, signal.SIGHUP)
            sent.append(number)
            await asyncio.sleep(SIGNAL_INTERVAL_S)

    async def run() -> None:
        for number in range(STARTS):
            folder = tmp_path / str(number)
            folder.mkdir()
            dispatcher = CrowdedDispatcher(folder, 192, descriptors=1024)
            dispatcher.on_spawned = lambda dispatcher=dispatcher, number=number: hang_up(dispatcher, number)  # type: ignore[misc]
            await dispatcher.start()
            try:
                assert dispatcher.process.returncode is None and sent.count(number) > 5
                assert (await dispatcher.harness.exchange(dispatcher.harness.request("first")))[0] == 200
            finally:
                await dispatcher.stop()

    run_on_loop(run)
