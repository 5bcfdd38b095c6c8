"""`ploverspoke config`: run a config server, publish versions, show which dispatchers have applied them."""

import difflib
import functools
import getpass
import json
import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import click
import msgspec

from ploverspoke.consensus.admin_messages import StatusRequest, StatusRow, WireMap
from ploverspoke.consensus.command_line import (
    EXISTING_FILE,
    FILE_ARGUMENT,
    JSON_OPTION,
    ReplicaUnavailableError,
    print_rows,
    read_config_or_exit,
)
from ploverspoke.service.config import parse_config, without_known_endpoints
from ploverspoke.service.config_reader import ConfigError, InvalidValueError, first_missing_key

from .admin_client import ServerReply, ask_all, fleet_status, get_version, list_versions, wait_until_applied
from .admin_client import publish as publish_body
from .cluster_config import ConfigServers, read_config_servers
from .command_output import EXIT_NOT_DONE, exit_with_publish_reply, exit_without_server, print_fleet
from .errors import NoServerAvailableError
from .overlay import apply_overlay, read_body

PUBLISH_TIMEOUT_S = 10.0  # until a leader has committed the version
STATUS_KEYS = ("name", "role", "why", "version", "fresh", "watchers", "watchers_behind")


@click.group()
def config() -> None:
    """Distribute configuration changes to all dispatchers.

    FILE is the file of any config server, or one with only `replicas` and `secret_file`; see
    docs/operating-distribution.md.

    Exit 0: done. 1: not done, or not applied everywhere; the dispatchers and reasons are printed. 2: the call
    or a file is invalid; the invalid key is printed. 3: no config server leads, or none answers.
    """


def _read_servers_file(file: Path) -> ConfigServers:
    return read_config_or_exit(read_config_servers, file)


@config.command()
@FILE_ARGUMENT
@click.option("--new", is_flag=True, help="Start a new cluster of config servers for the first time.")
@click.option("--join", default="", metavar="MARK", help="Join the running cluster with this fingerprint.")
def serve(file: Path, new: bool, join: str) -> None:
    """Run one config server with this FILE until SIGTERM.

    Exit 0: stopped by SIGTERM. 2: the file or the disk cannot be used; the reason is printed.
    """
    try:
        from .daemon import main
    except ModuleNotFoundError as error:
        message = f"a config server needs {error.name}: install ploverspoke[daemon]"
        raise click.ClickException(message) from error
    sys.exit(main(file, new, join))


# ---- Publishing ----


class PublishOptions(NamedTuple):
    """The common options of `publish` and `rollback`."""

    expect: int | None  # None: the latest version, whatever its number
    wait: float  # seconds; 0: do not wait
    by: str | None  # None: the current user
    as_json: bool


def publish_options(command: Callable[..., None]) -> Callable[..., None]:
    """Add the common options to a command, which receives them as `PublishOptions`."""

    @functools.wraps(command)
    def with_options(
        expect: int | None, wait: float, by: str | None, as_json: bool, **arguments: object
    ) -> None:
        command(options=PublishOptions(expect, wait, by, as_json), **arguments)

    for option in (
        JSON_OPTION,
        click.option("--by", default=None, help="The author of the version; by default the current user."),
        click.option("--wait", type=float, default=0.0, help="Seconds to wait until the version is applied."),
        click.option(
            "--expect",
            type=click.IntRange(0),
            default=None,
            help="The version to replace; 0: there is no version yet.",
        ),
    ):
        with_options = option(with_options)
    return with_options


@config.command()
@FILE_ARGUMENT
@click.argument("body", type=EXISTING_FILE)
@click.option("--against", type=EXISTING_FILE, help="A dispatcher's configuration to check BODY against.")
@publish_options
def publish(file: Path, body: Path, against: Path | None, options: PublishOptions) -> None:
    """Commit BODY, a file, as the next version.

    With --expect, BODY is rejected if another version is the latest; without, it replaces any version. Exit
    0: committed, and with --wait applied at every connected dispatcher. 1: another version was published, or
    this one was not applied in time. 2: BODY is invalid. 3: no server leads.
    """
    servers = _read_servers_file(file)
    try:
        text = body.read_text(encoding="utf-8")
        if against is not None:
            _check_against(text, against)
        else:
            read_body(text)
    except (OSError, ValueError) as error:
        message = f"{body}: {error}"
        raise click.UsageError(message) from error
    _publish(servers, text, options)


@config.command()
@FILE_ARGUMENT
@click.argument("version", type=click.IntRange(1))
@publish_options
def rollback(file: Path, version: int, options: PublishOptions) -> None:
    """Publish the body of an older VERSION as a new one. Exit as `publish`; 1 also if VERSION is not kept."""
    servers = _read_servers_file(file)
    _publish(servers, _get_body(servers, version, options.as_json), options)


def _check_against(text: str, against: Path) -> None:
    """Check a body as a dispatcher with this configuration would. Raises ConfigError with the key."""
    try:
        own_config = json.loads(against.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        message = f"{against}: {error}"
        raise ConfigError(message) from error
    new_config = parse_config(apply_overlay(own_config, read_body(text)), os.environ)
    missing = first_missing_key(without_known_endpoints(own_config), new_config.document)
    if missing is not None:
        raise InvalidValueError(key=missing, problem=f"is missing: {against} has it")


def _publish(servers: ConfigServers, text: str, options: PublishOptions) -> None:
    author = options.by or _user_name()
    try:
        reply = publish_body(servers, text, options.expect, author, PUBLISH_TIMEOUT_S)
        fleet = None
        if reply.accepted and options.wait > 0:
            fleet = wait_until_applied(servers, reply.version, options.wait)
    except NoServerAvailableError as error:
        exit_without_server(error, options.as_json)
    exit_with_publish_reply(reply, fleet, options.as_json)


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return f"uid {os.getuid()}"


# ---- Queries ----


@config.command()
@FILE_ARGUMENT
@JSON_OPTION
def status(file: Path, as_json: bool) -> None:
    """Show the state of each server, and which dispatchers have applied the latest version.

    Exit 0: all connected dispatchers have applied it. 1: some have not. 3: no server answers.
    """
    servers = _read_servers_file(file)
    rows = [_status_row(result) for result in ask_all(servers, StatusRequest(), StatusRow)]
    try:
        fleet = fleet_status(servers)
    except NoServerAvailableError as error:
        if not as_json:
            print_rows(rows, as_json=False)
        exit_without_server(error, as_json)
    if as_json:
        click.echo(json.dumps({"servers": rows, "fleet": msgspec.to_builtins(fleet)}, indent=2))
    else:
        print_rows([{key: row[key] for key in STATUS_KEYS if key in row} for row in rows], as_json=False)
        print_fleet(fleet)
    sys.exit(0 if fleet.is_applied_everywhere() else EXIT_NOT_DONE)


def _status_row(result: ServerReply[StatusRow]) -> WireMap:
    if result.reply is None:
        return ReplicaUnavailableError(result.server, str(result.error)).row()
    return result.reply.fields


@config.command()
@FILE_ARGUMENT
@JSON_OPTION
def history(file: Path, as_json: bool) -> None:
    """List the kept versions, the latest last."""
    try:
        versions = list_versions(_read_servers_file(file))
    except NoServerAvailableError as error:
        exit_without_server(error, as_json)
    rows = [
        {"version": version.number, "digest": version.digest, "by": version.author, "id": version.request_id}
        for version in versions
    ]
    print_rows(rows, as_json)


@config.command()
@FILE_ARGUMENT
@click.argument("version", type=click.IntRange(1), required=False)
@JSON_OPTION
def show(file: Path, version: int | None, as_json: bool) -> None:
    """Show the body of VERSION, by default the latest one. Exit 1 if it is not kept."""
    body = _get_body(_read_servers_file(file), version or 0, as_json)
    click.echo(json.dumps(json.loads(body), indent=2) if as_json else body)


@config.command()
@FILE_ARGUMENT
@click.argument("old", type=click.IntRange(1), required=False)
@click.argument("new", type=click.IntRange(1), required=False)
def diff(file: Path, old: int | None, new: int | None) -> None:
    """Show the differences between version OLD (default: before the latest) and NEW (default: the latest).

    Exit 1 if one of them is not kept.
    """
    servers = _read_servers_file(file)
    if old is None:
        try:
            versions = list_versions(servers)
        except NoServerAvailableError as error:
            exit_without_server(error, as_json=False)
        old = versions[-2].number if len(versions) > 1 else 1
    before, after = (_sorted_lines(_get_body(servers, number, as_json=False)) for number in (old, new or 0))
    names = (f"version {old}", f"version {new or 'latest'}")
    click.echo("\n".join(difflib.unified_diff(before, after, *names, lineterm="")))


def _sorted_lines(body: str) -> list[str]:
    return json.dumps(json.loads(body), indent=2, sort_keys=True).splitlines()


def _get_body(servers: ConfigServers, version: int, as_json: bool) -> str:
    """Return the body of a version (0: the latest); exit if no server has it."""
    try:
        reply = get_version(servers, version)
    except NoServerAvailableError as error:
        exit_without_server(error, as_json)
    if not reply.number:
        click.echo(f"ploverspoke: version {version or 'any'} is not kept", err=True)
        sys.exit(EXIT_NOT_DONE)
    return reply.body
