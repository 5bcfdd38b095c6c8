"""Test harness: real lease servers as processes, and calls of `ploverspoke lease` on them."""

import asyncio
import subprocess
import sys
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path

from ploverspoke.testbed.experiment_files.durations import SECOND, Duration
from ploverspoke.testbed.processes.rig import Rig
from ploverspoke.testbed.scenarios.lease_experiment import LeaseScenario
from ploverspoke.testbed.scenarios.lease_fleet import LeaseFleet

# Takes a command and its arguments; returns the exit code and the output.
Call = Callable[..., Coroutine[object, object, tuple[int, str]]]


def run_with_lease_servers(
    tmp_path: Path,
    script: Callable[[LeaseFleet, Call], Awaitable[None]],
    max_holders: dict[str, int] | None = None,
) -> None:
    """Start three real lease servers, then run the script, which may call `ploverspoke lease`.

    `max_holders` declares the leases by name.
    """
    scenario = LeaseScenario(
        servers=3,
        candidates=0,
        leases=max_holders or {"one": 1, "two": 1},
        lease_duration=Duration(4 * SECOND),
    )

    async def call(leases: LeaseFleet, command: str, *arguments: str) -> tuple[int, str]:
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "ploverspoke", "lease", command, str(leases.servers_file), *arguments),
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        assert process.returncode is not None
        return process.returncode, output.decode()

    async def run() -> None:
        async with Rig(tmp_path, 1) as rig:
            leases = LeaseFleet(rig, scenario)
            await leases.start()
            while (await call(leases, "status"))[0]:
                await asyncio.sleep(0.1)
            await script(leases, lambda command, *arguments: call(leases, command, *arguments))

    asyncio.run(asyncio.wait_for(run(), 90))
