"""`ploverspoke lease acquire`, `release` and `run`: holding one lease."""

import asyncio
import contextlib
import json
import signal
import sys
from pathlib import Path
from typing import NamedTuple

import click

from ploverspoke.consensus.command_line import FILE_ARGUMENT, JSON_OPTION
from ploverspoke.transport.units import SECOND

from .client import LeaseClient
from .command_options import (
    COMMAND_ARGUMENT,
    LEASE_ENDED,
    NAME_ARGUMENT,
    NOT_HELD,
    LeaseArguments,
    lease_arguments,
    read_servers,
    request_listing_or_exit,
    run_with_client,
)
from .config import LeaseServers
from .guarded_process import guard_process, start_under_lease

REQUEST_TIME = 1.0  # seconds that `acquire` always has for its request
RELEASE_TIMEOUT = 2.0  # seconds
RELEASE_POLL_INTERVAL = 0.02  # seconds
MIN_DURATION_IN_GRACES = 4
DEFAULT_WAIT = 3600.0  # seconds, of `run`
DEFAULT_GRACE = 2.0  # seconds


class Acquisition(NamedTuple):
    """What `acquire` got."""

    name: str
    holder: str
    token: int  # 0: it was not acquired
    left_s: float
    reason: str | None  # why it was rejected or lost

    def describe(self) -> str:
        """Return one line of text."""
        if self.token:
            return f"{self.name} is held by {self.holder} under token {self.token} for {self.left_s:.1f} s"
        return f"{self.name} is not acquired: {self.reason or 'others hold it, or no lease server answers'}"

    def as_json(self) -> str:
        """Return one line of JSON; the reason stands first, where there is one."""
        reason = {} if self.reason is None else {"why": self.reason}
        return json.dumps(
            {**reason, "name": self.name, "holder": self.holder, "token": self.token, "left_s": self.left_s}
        )


@click.command()
@lease_arguments
@click.option(
    "--wait", type=float, default=0.0, help="Seconds for which it is waited for, beside a second to ask."
)
@JSON_OPTION
def acquire(arguments: LeaseArguments, wait: float, as_json: bool) -> None:
    """Take a lease for its duration and leave it so: it expires by itself, or ends by `release`.

    Prints holder and token, and for how long it is certainly held. Exit 1 where it is not acquired.
    """

    async def acquire_and_keep(client: LeaseClient) -> Acquisition:
        """Acquire the lease and leave it to expire."""
        reasons: list[str] = []
        client.want(arguments.name, arguments.duration).on_lost = reasons.append
        token = await client.wait_until_held(arguments.name, REQUEST_TIME + wait)
        left_s = client.time_left(arguments.name) / SECOND
        client.keep_until_expiry()
        reason = reasons[-1] if reasons else None
        return Acquisition(arguments.name, client.holder_id, token, left_s, reason)

    acquisition = run_with_client(read_servers(arguments.file), arguments.holder, acquire_and_keep)
    click.echo(acquisition.as_json() if as_json else acquisition.describe())
    sys.exit(0 if acquisition.token else NOT_HELD)


@click.command()
@FILE_ARGUMENT
@NAME_ARGUMENT
@click.option("--holder", required=True, help="As `acquire` printed it: NAME/START.")
@click.option("--token", type=int, required=True)
@JSON_OPTION
def release(file: Path, name: str, holder: str, token: int, as_json: bool) -> None:
    """Give a lease back before its time. Exit 1 where that holder does not hold it under that token."""
    servers = read_servers(file)
    released = _is_held(servers, name, holder, token)
    if released:
        _release(servers, name, holder, token)
        released = not _is_held(servers, name, holder, token)
    if as_json:
        click.echo(json.dumps({"done": released}))
    else:
        click.echo("released" if released else f"{holder} does not hold {name} under token {token}")
    sys.exit(0 if released else NOT_HELD)


def _is_held(servers: LeaseServers, name: str, holder: str, token: int) -> bool:
    held = request_listing_or_exit(servers).held
    return any((lease.name, lease.holder, lease.token) == (name, holder, token) for lease in held)


def _release(servers: LeaseServers, name: str, holder: str, token: int) -> None:
    """Send the release under the holder's own id, and wait a while for the response."""

    async def send_release(client: LeaseClient) -> None:
        """Send the release until it is answered, or RELEASE_TIMEOUT is over."""
        client.release_token(name, token)
        with contextlib.suppress(TimeoutError):  # whether it was released is looked at afterwards
            async with asyncio.timeout(RELEASE_TIMEOUT):
                while client.holder.pending_releases:
                    await asyncio.sleep(RELEASE_POLL_INTERVAL)

    holder_name, _, start = holder.rpartition("/")
    run_with_client(servers, holder_name, send_release, start)


@click.command()
@lease_arguments
@COMMAND_ARGUMENT
@click.option("--wait", type=float, default=DEFAULT_WAIT, show_default=True, help="Seconds to wait for it.")
@click.option(
    "--grace", type=float, default=DEFAULT_GRACE, show_default=True, help="Seconds from TERM to KILL."
)
def run(arguments: LeaseArguments, command: tuple[str, ...], wait: float, grace: float) -> None:
    """Run COMMAND under a lease: `lease run FILE NAME -- COMMAND`. Its token is in PLOVERSPOKE_LEASE_TOKEN.

    When the lease cannot be renewed the command is ended before it expires: TERM, then KILL after the grace.
    Should this process be killed, so is the command. Exit: the command's own; 1 where the lease was not
    acquired, 4 where the command was ended for its sake.
    """
    grace_time = int(grace * SECOND)
    if grace_time * MIN_DURATION_IN_GRACES > arguments.duration:
        message = f"--grace {grace:g}: at most a quarter of --for {arguments.seconds:g}"
        raise click.UsageError(message)

    async def run_under_lease(client: LeaseClient) -> int:
        """Run COMMAND while the lease is held; returns the exit code."""
        guarded = await start_under_lease(client, arguments.name, arguments.duration, wait, command)
        if guarded is None:
            return NOT_HELD
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, guarded.process.send_signal, number)
        outcome = await guard_process(client, guarded, grace_time)
        return LEASE_ENDED if outcome.lease_ended else outcome.exit_code

    sys.exit(run_with_client(read_servers(arguments.file), arguments.holder, run_under_lease))
