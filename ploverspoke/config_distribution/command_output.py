"""Output and exit codes of `ploverspoke config`."""

import json
import sys
from typing import NoReturn

import click
import msgspec

from .admin_messages import PublishReply
from .errors import NoServerAvailableError
from .fleet_status import FleetStatus

EXIT_NOT_DONE = 1
EXIT_INVALID = 2
EXIT_NO_SERVER = 3
MAX_NAMES_PER_LINE = 20


def exit_without_server(error: NoServerAvailableError, as_json: bool) -> NoReturn:
    """Print why no server is available, and exit with code 3."""
    if as_json:
        click.echo(json.dumps({"done": False, "why": str(error)}))
    click.echo(f"ploverspoke: no config server leads or answers: {error}", err=True)
    sys.exit(EXIT_NO_SERVER)


def exit_with_publish_reply(reply: PublishReply, fleet: FleetStatus | None, as_json: bool) -> NoReturn:
    """Print the result of a publish request and the fleet status, if given; exit with the matching code."""
    if as_json:
        document = msgspec.to_builtins(reply)
        if fleet is not None:
            document |= {"fleet": msgspec.to_builtins(fleet), "in_force": fleet.is_applied_everywhere()}
        click.echo(json.dumps(document))
    else:
        click.echo(f"version {reply.version}" if reply.accepted else f"not done: {reply.reason}")
        if reply.accepted and reply.reason:
            click.echo(reply.reason)
        if fleet is not None:
            print_fleet(fleet)
    if reply.is_invalid:
        sys.exit(EXIT_INVALID)
    is_applied = fleet is None or fleet.is_applied_everywhere()
    sys.exit(0 if reply.accepted and is_applied else EXIT_NOT_DONE)


def print_fleet(fleet: FleetStatus) -> None:
    """Print for operators which dispatchers have applied the version."""
    click.echo(f"version {fleet.version}: applied at {len(fleet.applied)} of {fleet.connected()} connected")
    if fleet.silent_servers:
        click.echo(f"no answer from {', '.join(fleet.silent_servers)}: who watches there is not known")
    if fleet.behind:
        click.echo(f"behind: {_join_names(fleet.behind)}")
    for name, reason in sorted(fleet.rejected.items())[:MAX_NAMES_PER_LINE]:
        click.echo(f"rejected at {name}: {reason}")
    if len(fleet.rejected) > MAX_NAMES_PER_LINE:
        click.echo(f"rejected at {len(fleet.rejected) - MAX_NAMES_PER_LINE} more")
    if fleet.disconnected:
        names = [f"{name} ({seconds:.0f} s)" for name, seconds in fleet.disconnected.items()]
        click.echo(f"not connected: {_join_names(names)}")


def _join_names(names: list[str]) -> str:
    more = f" and {len(names) - MAX_NAMES_PER_LINE} more" if len(names) > MAX_NAMES_PER_LINE else ""
    return ", ".join(names[:MAX_NAMES_PER_LINE]) + more
