"""`ploverspoke lease`: the group of its commands, and the tasks of the fleet that run under a lease."""

import json
import sys
from pathlib import Path

import click
from msgspec import UNSET

from ploverspoke.consensus.admin_messages import encode_reply
from ploverspoke.consensus.command_line import (
    EXISTING_FILE,
    JSON_OPTION,
    ReplicaUnavailableError,
    exit_with_failure,
)
from ploverspoke.store.admin_messages import ConfigureReply, ConfigureRequest

from . import backup_commands, holding_commands, inspection_commands
from .admin_calls import wait_until_ready
from .client import LeaseClient
from .command_options import (
    COMMAND_ARGUMENT,
    LEASE_ENDED,
    NOT_HELD,
    NOT_READY,
    LeaseArguments,
    lease_arguments,
    read_servers,
    run_with_client,
)
from .errors import LeaseLostError
from .fleet_tasks import SummaryPlan, summarise
from .fleet_tasks import publish as publish_under_lease
from .guarded_process import guard_process, start_under_lease

RESTART_GRACES = 8  # of the lease's duration: how much of it COMMAND has from TERM to KILL
DEFAULT_READY_TIMEOUT = 30.0  # seconds
DEFAULT_RESTART_WAIT = 3600.0  # seconds
DEFAULT_PUBLISH_WAIT = 60.0  # seconds
DEFAULT_SUMMARY_INTERVAL = 10.0  # seconds
PUBLISH_STEPS = 3  # of the lease's duration: how much of it a commit may take


@click.group()
def lease() -> None:
    """Leases for tasks of the whole fleet.

    FILE is the file of any lease server, or one with `replicas` and `secret_file` alone.

    Exit 0: done. 1: not held, or not there. 2: the call or the file is of no use. 3: no lease server leads.
    """


for subcommand in (
    inspection_commands.list_leases,
    inspection_commands.show,
    inspection_commands.watch,
    inspection_commands.status,
    holding_commands.acquire,
    holding_commands.release,
    holding_commands.run,
    backup_commands.backup,
    backup_commands.restore,
):
    lease.add_command(subcommand)


@lease.command()
@lease_arguments
@COMMAND_ARGUMENT
@click.option("--ready", required=True, help="The admin address (admin_addr) of what is restarted.")
@click.option(
    "--within",
    type=float,
    default=DEFAULT_READY_TIMEOUT,
    show_default=True,
    help="Seconds for it to be back.",
)
@click.option(
    "--wait",
    type=float,
    default=DEFAULT_RESTART_WAIT,
    show_default=True,
    help="Seconds to wait for the lease.",
)
def restart(
    arguments: LeaseArguments, command: tuple[str, ...], ready: str, within: float, wait: float
) -> None:
    """Restart a dispatcher under a lease: `lease restart FILE NAME --ready A:P -- COMMAND`.

    COMMAND restarts it, or makes it take a new configuration; the lease is released once its admin address
    answers `check`. Exit: 0; 1 where the lease was not acquired; 4 where it was lost; 5 where COMMAND failed
    or the dispatcher is not back in time: then the lease is held until it expires, and not all follow at
    once.
    """
    name = arguments.name

    async def restart_under_lease(client: LeaseClient) -> int:
        """Run COMMAND under the lease and wait for the dispatcher; returns the exit code."""
        guarded = await start_under_lease(client, name, arguments.duration, wait, command)
        if guarded is None:
            return NOT_HELD
        outcome = await guard_process(client, guarded, arguments.duration // RESTART_GRACES)
        code = LEASE_ENDED if outcome.lease_ended else outcome.exit_code
        if code == 0 and await wait_until_ready(ready, within):
            return 0 if client.token(name) == guarded.token else LEASE_ENDED
        reason = f"the command gave {code}" if code else f"{ready} is not back within {within:g} s"
        click.echo(f"ploverspoke: {reason}; the lease is held until it expires", err=True)
        client.keep_until_expiry()
        return LEASE_ENDED if code == LEASE_ENDED else NOT_READY

    sys.exit(run_with_client(read_servers(arguments.file), arguments.holder, restart_under_lease))


@lease.command()
@lease_arguments
@click.argument("store_file", type=EXISTING_FILE)
@click.argument("configuration", type=EXISTING_FILE)
@click.option(
    "--wait",
    type=float,
    default=DEFAULT_PUBLISH_WAIT,
    show_default=True,
    help="Seconds to wait for the lease.",
)
@JSON_OPTION
def publish(
    arguments: LeaseArguments, store_file: Path, configuration: Path, wait: float, as_json: bool
) -> None:
    """Commit CONFIGURATION in the store of STORE_FILE under a lease, as `store configure` does without.

    The store rejects what comes under a lower token than it has seen, and from then on what comes without.
    Exit 1 where it was not committed.
    """
    # Imported here: it checks the configuration with the whole service, which other commands do not need.
    from ploverspoke.store.configuration_client import commit_configuration, read_configuration

    servers = read_servers(arguments.file)
    store, body = read_configuration(store_file, configuration)

    async def publish_when_held(client: LeaseClient) -> ConfigureReply | None:
        """Acquire the lease and commit under it; None: no reply came in time."""

        def commit(token: int) -> ConfigureReply:
            return commit_configuration(store, ConfigureRequest(body, client.holder_id, token))

        client.want(arguments.name, arguments.duration)
        if not await client.wait_until_held(arguments.name, wait):
            return ConfigureReply(done=False, why=f"{arguments.name} is not acquired")
        try:
            return await publish_under_lease(
                client, arguments.name, commit, arguments.seconds / PUBLISH_STEPS
            )
        except LeaseLostError as error:
            return ConfigureReply(done=False, why=str(error))

    try:
        reply = run_with_client(servers, arguments.holder, publish_when_held)
    except ReplicaUnavailableError as error:
        exit_with_failure(error, as_json)
    _print_publish_result(reply, as_json)
    sys.exit(0 if reply is not None and reply.done else NOT_HELD)


def _print_publish_result(reply: ConfigureReply | None, as_json: bool) -> None:
    if as_json:
        click.echo(json.dumps(encode_reply(reply) if reply is not None else {}))
    elif reply is None:
        click.echo("not done: no reply in time, it may have been committed")
    elif reply.done:
        click.echo(f"version {reply.version}")
    else:
        click.echo(f"not done: {reply.why if reply.why is not UNSET else 'no reason was given'}")


@lease.command()
@lease_arguments
@click.option(
    "--from", "addresses", multiple=True, required=True, help="Admin address of a dispatcher; repeated."
)
@click.option(
    "--to", "path", type=click.Path(path_type=Path), required=True, help="The file, replaced whole."
)
@click.option("--every", type=float, default=DEFAULT_SUMMARY_INTERVAL, show_default=True, help="Seconds.")
@click.option("--times", type=int, default=0, help="End after so many files; 0: go on.")
def summary(
    arguments: LeaseArguments, addresses: tuple[str, ...], path: Path, every: float, times: int
) -> None:
    """Write the counters of all dispatchers and their sums to one file, while the lease is held.

    Started on several machines, one of them writes and the others wait. The file holds the token, and is
    never replaced by one of an earlier holder. Exit 1 where the lease is rejected.
    """
    name = arguments.name
    plan = SummaryPlan(list(addresses), path, every, times)

    async def summarise_while_held(client: LeaseClient) -> bool:
        """Write summaries; False where the lease is rejected."""
        wanted = client.want(name, arguments.duration)
        wanted.on_lost = lambda reason: click.echo(f"{name}: {reason}", err=True)
        return await summarise(client, name, plan)

    completed = run_with_client(read_servers(arguments.file), arguments.holder, summarise_while_held)
    sys.exit(0 if completed else NOT_HELD)
