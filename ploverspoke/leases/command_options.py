"""Shared code of the `ploverspoke lease` commands: options, exit codes, and running with a lease client."""

import asyncio
import functools
import socket
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Concatenate, NamedTuple, ParamSpec, TypeVar

import click

from ploverspoke.consensus.command_line import (
    FILE_ARGUMENT,
    ReplicaUnavailableError,
    read_config_or_exit,
    request_reply,
)
from ploverspoke.transport.units import SECOND

from .admin_messages import LeaseListing, LeasesRequest
from .client import LeaseClient
from .config import LeaseServers, read_lease_servers
from .errors import NoLeaderError

EXIT_NOT_HELD = 1
EXIT_NO_LEADER = 3
EXIT_LEASE_ENDED = 4
EXIT_NOT_READY = 5

DEFAULT_DURATION_S = 30.0

NAME_ARGUMENT = click.argument("name")
DURATION_OPTION = click.option(
    "--for",
    "seconds",
    type=float,
    default=DEFAULT_DURATION_S,
    show_default=True,
    help="Duration of the lease in seconds.",
)


def _check_holder(context: click.Context, parameter: click.Parameter, value: str) -> str:
    """Refuse a name that no message can carry: one with bytes that are not UTF-8."""
    if not value.isprintable():
        message = f"{value!r} is not printable"
        raise click.BadParameter(message)
    return value


HOLDER_OPTION = click.option(
    "--as",
    "holder",
    default=socket.gethostname,
    callback=_check_holder,
    help="The holder's name; an id of this start is appended.",
)
COMMAND_ARGUMENT = click.argument("command", nargs=-1, required=True, type=click.UNPROCESSED)

ResultT = TypeVar("ResultT")
Options = ParamSpec("Options")


class LeaseArguments(NamedTuple):
    """The arguments of every command that acquires a lease."""

    file: Path
    name: str
    seconds: float
    holder: str

    @property
    def duration(self) -> int:
        """Return the lease's duration in ns."""
        return int(self.seconds * SECOND)


def lease_arguments(command: Callable[Concatenate[LeaseArguments, Options], None]) -> Callable[..., None]:
    """Pass FILE, NAME, --for and --as to a click command as one `LeaseArguments`, its first parameter."""

    @FILE_ARGUMENT
    @NAME_ARGUMENT
    @DURATION_OPTION
    @HOLDER_OPTION
    @functools.wraps(command)
    def with_arguments(
        file: Path, name: str, seconds: float, holder: str, *args: Options.args, **options: Options.kwargs
    ) -> None:
        command(LeaseArguments(file, name, seconds, holder), *args, **options)

    return with_arguments


def read_servers_or_exit(file: Path) -> LeaseServers:
    """Read the addresses of the lease servers. Ends the command with exit code 2 if the file is invalid."""
    return read_config_or_exit(read_lease_servers, file)


def run_with_client(
    servers: LeaseServers,
    holder: str,
    operation: Callable[[LeaseClient], Coroutine[object, object, ResultT]],
    start: str = "",
) -> ResultT:
    """Run `operation` on an event loop with a client, which releases its leases at the end."""

    async def run() -> ResultT:
        """Run `operation` with a client, and close the client."""
        client = LeaseClient(servers, holder, start)
        try:
            return await operation(client)
        finally:
            await client.close()

    return asyncio.run(run())


def request_listing(servers: LeaseServers) -> LeaseListing:
    """Return the listing of the leading lease server. Raises NoLeaderError."""
    reasons = []
    for name, address in servers.peer_addresses.items():
        try:
            listing = request_reply(name, address, servers.secret, LeasesRequest(), LeaseListing)
        except ReplicaUnavailableError as error:
            reasons.append(str(error))
            continue
        if listing.leads:
            return listing
        reasons.append(f"{name} does not lead")
    raise NoLeaderError(reasons)


def request_listing_or_exit(servers: LeaseServers) -> LeaseListing:
    """Return the listing of the leading lease server. Ends the command with exit code 3 if none leads."""
    try:
        return request_listing(servers)
    except NoLeaderError as error:
        click.echo(f"ploverspoke: {error}", err=True)
        sys.exit(EXIT_NO_LEADER)
