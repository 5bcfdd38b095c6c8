"""`ploverspoke lease acquire`, `release` and `run`: commands that hold or release one lease."""

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
    EXIT_LEASE_ENDED,
    EXIT_NOT_HELD,
    NAME_ARGUMENT,
    LeaseArguments,
    lease_arguments,
    read_servers_or_exit,
    request_listing_or_exit,
    run_with_client,
)
from .config import LeaseServers
from .guarded_process import guard_process, start_under_lease

REQUEST_TIME_S = 1.0  # `acquire` always has this time for its request, in addition to --wait
RELEASE_TIMEOUT_S = 2.0
RELEASE_POLL_INTERVAL_S = 0.02
MIN_DURATION_IN_GRACES = 4  # the lease of `run` must last at least this many times its grace
DEFAULT_RUN_WAIT_S = 3600.0
DEFAULT_GRACE_S = 2.0


class Acquisition(NamedTuple):
    """The result of `acquire`."""

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
        """Return one line of JSON, which begins with the reason if there is one."""
        reason = {} if self.reason is None else {"why": self.reason}
        return json.dumps(
            {**reason, "name": self.name, "holder": self.holder, "token": self.token, "left_s": self.left_s}
        )


@click.command()
@lease_arguments
@click.option(
    "--wait",
    type=float,
    default=0.0,
    help="Seconds to wait for the lease, in addition to one for the request.",
)
@JSON_OPTION
def acquire(arguments: LeaseArguments, wait: float, as_json: bool) -> None:
    """Acquire a lease and keep it after this command: it expires by itself, or ends by `release`.

    Prints the holder, the token and for how long the lease is certainly held. Exit 1 if it is not acquired.
    """

    async def acquire_and_keep(client: LeaseClient) -> Acquisition:
        """Acquire the lease and stop renewing it, so that it is held until it expires."""
        reasons: list[str] = []
        client.request_lease(arguments.name, arguments.duration).on_lost = reasons.append
        token = await client.wait_until_held(arguments.name, REQUEST_TIME_S + wait)
        left_s = client.time_left(arguments.name) / SECOND
        client.keep_until_expiry()
        reason = reasons[-1] if reasons else None
        return Acquisition(arguments.name, client.holder_id, token, left_s, reason)

    acquisition = run_with_client(read_servers_or_exit(arguments.file), arguments.holder, acquire_and_keep)
    click.echo(acquisition.as_json() if as_json else acquisition.describe())
    sys.exit(0 if acquisition.token else EXIT_NOT_HELD)


@click.command()
@FILE_ARGUMENT
@NAME_ARGUMENT
@click.option("--holder", required=True, help="The holder as printed by `acquire`: NAME/START.")
@click.option("--token", type=int, required=True)
@JSON_OPTION
def release(file: Path, name: str, holder: str, token: int, as_json: bool) -> None:
    """Release a lease before it expires. Exit 1 if that holder does not hold it under that token."""
    servers = read_servers_or_exit(file)
    released = _is_held(servers, name, holder, token)
    if released:
        _release(servers, name, holder, token)
        released = not _is_held(servers, name, holder, token)
    if as_json:
        click.echo(json.dumps({"done": released}))
    else:
        click.echo("released" if released else f"{holder} does not hold {name} under token {token}")
    sys.exit(0 if released else EXIT_NOT_HELD)


def _is_held(servers: LeaseServers, name: str, holder: str, token: int) -> bool:
    held = request_listing_or_exit(servers).held
    return any((lease.name, lease.holder, lease.token) == (name, holder, token) for lease in held)


def _release(servers: LeaseServers, name: str, holder: str, token: int) -> None:
    """Send the release under the holder's id, and wait up to RELEASE_TIMEOUT_S for the response."""

    async def send_release(client: LeaseClient) -> None:
        """Send the release repeatedly until it is confirmed or the timeout expires."""
        client.release_token(name, token)
        with contextlib.suppress(TimeoutError):  # the caller checks whether it was released
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                while client.holder.pending_releases:
                    await asyncio.sleep(RELEASE_POLL_INTERVAL_S)

    holder_name, _, start = holder.rpartition("/")
    run_with_client(servers, holder_name, send_release, start)


@click.command()
@lease_arguments
@COMMAND_ARGUMENT
@click.option(
    "--wait", type=float, default=DEFAULT_RUN_WAIT_S, show_default=True, help="Seconds to wait for the lease."
)
@click.option(
    "--grace", type=float, default=DEFAULT_GRACE_S, show_default=True, help="Seconds from TERM to KILL."
)
def run(arguments: LeaseArguments, command: tuple[str, ...], wait: float, grace: float) -> None:
    """Run COMMAND under a lease: `lease run FILE NAME -- COMMAND`.

    The fencing token is in PLOVERSPOKE_LEASE_TOKEN. If the lease cannot be renewed, COMMAND is ended before
    the lease expires: TERM, then KILL after the grace. If this process is killed, COMMAND is killed, too.
    This holds for all processes that COMMAND has started; those that it leaves behind at its end go on.
    Exit: the exit code of COMMAND; 1 if the lease was not acquired; 4 if COMMAND was ended because of the
    lease.
    """
    grace_ns = int(grace * SECOND)
    if grace_ns * MIN_DURATION_IN_GRACES > arguments.duration:
        message = f"--grace {grace:g}: must be at most a quarter of --for {arguments.seconds:g}"
        raise click.UsageError(message)

    async def run_under_lease(client: LeaseClient) -> int:
        """Run COMMAND while the lease is held; return the exit code."""
        guarded = await start_under_lease(client, arguments.name, arguments.duration, wait, command)
        if guarded is None:
            return EXIT_NOT_HELD
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, guarded.process.send_signal, number)
        outcome = await guard_process(client, guarded, grace_ns)
        return EXIT_LEASE_ENDED if outcome.lease_ended else outcome.exit_code

    sys.exit(run_with_client(read_servers_or_exit(arguments.file), arguments.holder, run_under_lease))
