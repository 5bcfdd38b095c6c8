"""A command that runs under a lease and is ended, with all that it has started, before the lease expires.

It runs below a process of `process_guard.py`, which kills it also if this process is killed.
"""

import asyncio
import contextlib
import os
import sys
from collections.abc import Sequence
from typing import NamedTuple

import click

from ploverspoke.transport.units import SECOND

from . import process_guard
from .client import LeaseClient
from .process_tree import kill_descendants

TOKEN_VARIABLE = "PLOVERSPOKE_LEASE_TOKEN"
MIN_POLL_INTERVAL_S, MAX_POLL_INTERVAL_S = 0.01, 0.25
KILL_MARGIN_DIVISOR = 4  # the process is killed while the lease has a quarter of the grace left


class GuardedProcess(NamedTuple):
    """A process that runs a command under a lease; signals to it are passed on to the command."""

    lease_name: str
    token: int
    process: asyncio.subprocess.Process

    async def kill(self) -> None:
        """Kill the command and all that it has started."""
        await asyncio.to_thread(kill_descendants, self.process.pid)
        with contextlib.suppress(ProcessLookupError):  # it may just have ended
            self.process.kill()


class ProcessOutcome(NamedTuple):
    """How a guarded process ended."""

    exit_code: int
    lease_ended: bool  # it was terminated or killed because the lease was about to expire


async def start_under_lease(
    client: LeaseClient, name: str, duration: int, timeout: float, command: Sequence[str]
) -> GuardedProcess | None:
    """Start a command with the lease's token; return None if it is not acquired within `timeout` seconds.

    `duration` is in ns. The command and all that it has started are killed when this process ends before it.
    """
    client.request_lease(name, duration)
    token = await client.wait_until_held(name, timeout)
    if not token:
        click.echo(f"ploverspoke: {name} is not acquired", err=True)
        return None
    # The write end stays open, and is inherited by nobody, for as long as this process runs.
    read_end, _ = os.pipe()
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", process_guard.__name__, str(read_end), *command),
        env={**os.environ, TOKEN_VARIABLE: str(token)},
        pass_fds=(read_end,),
    )
    os.close(read_end)
    return GuardedProcess(name, token, process)


async def guard_process(client: LeaseClient, guarded: GuardedProcess, grace: int) -> ProcessOutcome:
    """Wait until the process ends.

    It is terminated when the lease has 1.25 times `grace` ns left, and killed at a quarter of `grace`.
    """
    process = guarded.process
    kill_at = grace // KILL_MARGIN_DIVISOR  # time left, ns
    terminate_at = grace + kill_at
    ended = asyncio.ensure_future(process.wait())
    terminated = False
    while not ended.done():
        time_left = (
            client.time_left(guarded.lease_name) if client.token(guarded.lease_name) == guarded.token else 0
        )
        if time_left <= kill_at:
            await guarded.kill()
            return ProcessOutcome(await ended, lease_ended=True)
        if time_left <= terminate_at and not terminated:
            terminated = True
            click.echo(f"ploverspoke: {guarded.lease_name} cannot be renewed, the command is ended", err=True)
            with contextlib.suppress(ProcessLookupError):  # it may just have ended
                process.terminate()
        until_next_s = (time_left - (kill_at if terminated else terminate_at)) / SECOND
        await asyncio.wait([ended], timeout=max(MIN_POLL_INTERVAL_S, min(MAX_POLL_INTERVAL_S, until_next_s)))
    return ProcessOutcome(ended.result(), terminated)
