"""A command that runs as a child process under a lease and is ended before the lease expires."""

import asyncio
import contextlib
import ctypes
import os
import signal
from collections.abc import Sequence
from typing import NamedTuple

import click

from ploverspoke.transport.units import SECOND

from .client import LeaseClient

TOKEN_VARIABLE = "PLOVERSPOKE_LEASE_TOKEN"
PR_SET_PDEATHSIG = 1  # of prctl(2)
MIN_POLL_INTERVAL_S, MAX_POLL_INTERVAL_S = 0.01, 0.25
KILL_MARGIN_DIVISOR = 4  # the process is killed while the lease has a quarter of the grace left
SIGNAL_EXIT_CODE_BASE = 128  # plus the number of the signal, as in shells


class GuardedProcess(NamedTuple):
    """A child process that runs under a lease."""

    lease_name: str
    token: int
    process: asyncio.subprocess.Process


class ProcessOutcome(NamedTuple):
    """How a guarded process ended."""

    exit_code: int
    lease_ended: bool  # it was terminated or killed because the lease was about to expire


async def start_under_lease(
    client: LeaseClient, name: str, duration: int, timeout: float, command: Sequence[str]
) -> GuardedProcess | None:
    """Start a command with the lease's token; return None if it is not acquired within `timeout` seconds.

    `duration` is in ns. The child process is killed when this process ends.
    """
    client.request_lease(name, duration)
    token = await client.wait_until_held(name, timeout)
    if not token:
        click.echo(f"ploverspoke: {name} is not acquired", err=True)
        return None
    environment = {**os.environ, TOKEN_VARIABLE: str(token)}
    process = await asyncio.create_subprocess_exec(
        *command, env=environment, preexec_fn=_set_parent_death_signal
    )
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
            if process.returncode is None:
                process.kill()
            return ProcessOutcome(await ended, lease_ended=True)
        if time_left <= terminate_at and not terminated:
            terminated = True
            click.echo(f"ploverspoke: {guarded.lease_name} cannot be renewed, the command is ended", err=True)
            with contextlib.suppress(ProcessLookupError):  # it may just have ended
                process.terminate()
        until_next_s = (time_left - (kill_at if terminated else terminate_at)) / SECOND
        await asyncio.wait([ended], timeout=max(MIN_POLL_INTERVAL_S, min(MAX_POLL_INTERVAL_S, until_next_s)))
    code = ended.result()
    return ProcessOutcome(code if code >= 0 else SIGNAL_EXIT_CODE_BASE - code, terminated)


def _set_parent_death_signal() -> None:
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
