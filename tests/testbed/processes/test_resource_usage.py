"""Tests of sampling the resources of processes that end meanwhile."""

import asyncio
import os
import subprocess
from types import SimpleNamespace
from typing import Any

from ploverspoke.testbed.scenarios.scale_fleet import RealScaleFleet


def test_process_that_ends_while_a_fleet_is_sampled_does_not_end_the_sampling() -> None:
    # Guards against runs without samples after a kill: the killed process was read before its end was known.
    killed = subprocess.Popen(["sleep", "60"])
    killed.kill()
    os.waitid(os.P_PID, killed.pid, os.WEXITED | os.WNOWAIT)
    ended: Any = SimpleNamespace(process=killed, is_running=lambda: True)
    running: Any = SimpleNamespace(process=SimpleNamespace(pid=os.getpid()), is_running=lambda: True)
    fleet: Any = SimpleNamespace(programs=[ended, running])

    usage = asyncio.run(RealScaleFleet.read_usage(fleet))

    killed.wait()
    assert usage.serving == 1 and usage.resident_bytes > 1 << 20 and usage.descriptors > 2
