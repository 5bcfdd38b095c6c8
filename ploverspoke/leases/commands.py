"""The command group `ploverspoke lease`, and its commands for tasks of the whole fleet."""

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
    EXIT_LEASE_ENDED,
    EXIT_NOT_HELD,
    EXIT_NOT_READY,
    LeaseArguments,
    lease_arguments,
    read_servers_or_exit,
    run_with_client,
)
from .errors import LeaseLostError
from .fleet_tasks import SummaryPlan, summarise
from .fleet_tasks import publish as publish_under_lease
from .guarded_process import guard_process, start_under_lease

RESTART_GRACE_DIVISOR = 8  # from TERM to KILL, COMMAND has an eighth of the lease's duration
DEFAULT_READY_TIMEOUT_S = 30.0
DEFAULT_RESTART_WAIT_S = 3600.0
DEFAULT_PUBLISH_WAIT_S = 60.0
DEFAULT_SUMMARY_INTERVAL_S = 10.0
PUBLISH_TIMEOUT_DIVISOR = 3  # a commit may take a third of the lease's duration


@click.group()
def lease() -> None:
    """Leases for tasks of the whole fleet.

    FILE is the file of any lease server, or one that has only `replicas` and `secret_file`.

    Exit 0: done. 1: the lease is not held or not acquired. 2: wrong usage or an invalid file. 3: no lease
    server leads.
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
@click.option("--ready", required=True, help="The admin address (admin_addr) of the dispatcher.")
@click.option(
    "--within",
    type=float,
    default=DEFAULT_READY_TIMEOUT_S,
    show_default=True,
    help="Seconds within which the dispatcher must be ready again.",
)
@click.option(
    "--wait",
    type=float,
    default=DEFAULT_RESTART_WAIT_S,
    show_default=True,
    help="Seconds to wait for the lease.",
)
def restart(
    arguments: LeaseArguments, command: tuple[str, ...], ready: str, within: float, wait: float
) -> None:
    """Restart a dispatcher under a lease: `lease restart FILE NAME --ready A:P -- COMMAND`.

    COMMAND restarts the dispatcher, or makes it load a new configuration; the lease is released once the
    admin address confirms `check`. Exit: 0; 1 if the lease was not acquired; 4 if it was lost; 5 if COMMAND
    failed or the dispatcher was not ready in time. After a failure the lease is held until it expires, so
    that the restarts of other dispatchers do not all follow at once.
    """
    name = arguments.name

    async def restart_under_lease(client: LeaseClient) -> int:
        """Run COMMAND under the lease and wait for the dispatcher; return the exit code."""
        guarded = await start_under_lease(client, name, arguments.duration, wait, command)
        if guarded is None:
            return EXIT_NOT_HELD
        outcome = await guard_process(client, guarded, arguments.duration // RESTART_GRACE_DIVISOR)
        code = EXIT_LEASE_ENDED if outcome.lease_ended else outcome.exit_code
        if code == 0 and await wait_until_ready(ready, within):
            return 0 if client.token(name) == guarded.token else EXIT_LEASE_ENDED
        reason = f"the command exited with {code}" if code else f"{ready} is not ready within {within:g} s"
        click.echo(f"ploverspoke: {reason}; the lease is held until it expires", err=True)
        client.keep_until_expiry()
        return EXIT_LEASE_ENDED if code == EXIT_LEASE_ENDED else EXIT_NOT_READY

    sys.exit(run_with_client(read_servers_or_exit(arguments.file), arguments.holder, restart_under_lease))


@lease.command()
@lease_arguments
@click.argument("store_file", type=EXISTING_FILE)
@click.argument("configuration", type=EXISTING_FILE)
@click.option(
    "--wait",
    type=float,
    default=DEFAULT_PUBLISH_WAIT_S,
    show_default=True,
    help="Seconds to wait for the lease.",
)
@JSON_OPTION
def publish(
    arguments: LeaseArguments, store_file: Path, configuration: Path, wait: float, as_json: bool
) -> None:
    """Commit CONFIGURATION to the store of STORE_FILE under a lease; `store configure` needs no lease.

    Once the store has seen a token, it rejects configurations with a lower token or without one. Exit 1 if
    it was not committed.
    """
    # Imported here: the check of the configuration loads the whole service, which other commands do not need.
    from ploverspoke.store.configuration_client import commit_configuration, read_configuration

    servers = read_servers_or_exit(arguments.file)
    store, body = read_configuration(store_file, configuration)

    async def publish_when_held(client: LeaseClient) -> ConfigureReply | None:
        """Acquire the lease and commit under it; return None if no reply came in time."""

        def commit(token: int) -> ConfigureReply:
            return commit_configuration(store, ConfigureRequest(body, client.holder_id, token))

        client.request_lease(arguments.name, arguments.duration)
        if not await client.wait_until_held(arguments.name, wait):
            return ConfigureReply(done=False, why=f"{arguments.name} is not acquired")
        try:
            return await publish_under_lease(
                client, arguments.name, commit, arguments.seconds / PUBLISH_TIMEOUT_DIVISOR
            )
        except LeaseLostError as error:
            return ConfigureReply(done=False, why=str(error))

    try:
        reply = run_with_client(servers, arguments.holder, publish_when_held)
    except ReplicaUnavailableError as error:
        exit_with_failure(error, as_json)
    _print_publish_result(reply, as_json)
    sys.exit(0 if reply is not None and reply.done else EXIT_NOT_HELD)


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
    "--to",
    "path",
    type=click.Path(path_type=Path),
    required=True,
    help="The summary file, replaced atomically.",
)
@click.option(
    "--every",
    type=float,
    default=DEFAULT_SUMMARY_INTERVAL_S,
    show_default=True,
    help="Seconds from one summary to the next.",
)
@click.option("--times", type=int, default=0, help="Exit after this many summaries; 0: never.")
def summary(
    arguments: LeaseArguments, addresses: tuple[str, ...], path: Path, every: float, times: int
) -> None:
    """Write the counters of all dispatchers and their sums to one file, while the lease is held.

    When it runs on several machines, one of them writes and the others wait. The file contains the fencing
    token, and an earlier holder never replaces the file of a later one. Exit 1 if the lease is rejected.
    """
    name = arguments.name
    plan = SummaryPlan(list(addresses), path, every, times)

    async def summarise_while_held(client: LeaseClient) -> bool:
        """Write summaries; return False if the lease is rejected."""
        wanted = client.request_lease(name, arguments.duration)
        wanted.on_lost = lambda reason: click.echo(f"{name}: {reason}", err=True)
        return await summarise(client, name, plan)

    completed = run_with_client(read_servers_or_exit(arguments.file), arguments.holder, summarise_while_held)
    sys.exit(0 if completed else EXIT_NOT_HELD)
