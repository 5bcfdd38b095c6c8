"""`ploverspoke config`: run a config server, publish a version, see who has it in force."""

import difflib
import getpass
import json
import os
import sys
from pathlib import Path
from typing import Any, NoReturn

import click

from ploverspoke.consensus.command_line import (
    EXISTING_FILE,
    FILE_ARGUMENT,
    JSON_OPTION,
    print_rows,
    read_config_or_exit,
)
from ploverspoke.service.config import parse_config
from ploverspoke.service.config_reader import ConfigError, first_missing_key

from .admin_client import Fleet, NoServerAvailableError, ask_all, body_of, fleet, versions, wait_for
from .admin_client import publish as publish_body
from .cluster_config import ConfigServers, read_config_servers
from .overlay import apply_overlay, read_body

EXISTS, FILE, JSON = EXISTING_FILE, FILE_ARGUMENT, JSON_OPTION
NOT_DONE, NO_SERVER = 1, 3
MOST_NAMES = 20  # in a line
FIRST_ANSWER = 10.0  # seconds, for a leader to take a version


@click.group()
def config() -> None:
    """Carry a change of configuration to every dispatcher (docs/operating-distribution.md).

    FILE is the file of any config server, or one with `replicas` and `secret_file` alone.

    Exit 0: done. 1: not done, or not in force everywhere: who and why is said. 2: the call or a file is of
    no use, and the key is named. 3: no config server leads, or none answers.
    """


def _servers(file: Path) -> ConfigServers:
    return read_config_or_exit(read_config_servers, file)


def _end(error: NoServerAvailableError, as_json: bool) -> NoReturn:
    if as_json:
        click.echo(json.dumps({"done": False, "why": str(error)}))
    click.echo(f"ploverspoke: no config server leads or answers: {error}", err=True)
    sys.exit(NO_SERVER)


@config.command()
@FILE
@click.option("--new", is_flag=True, help="The first start of a new set of config servers.")
@click.option("--join", default="", metavar="MARK", help="The mark of the running set that it joins.")
def serve(file: Path, new: bool, join: str) -> None:
    """Run one config server with this FILE until SIGTERM.

    Exit 0: told to end. 2: the file or the disk is of no use, and why is said.
    """
    try:
        from .daemon import main
    except ModuleNotFoundError as error:
        raise click.ClickException(
            f"a config server needs {error.name}: install ploverspoke[daemon]"
        ) from None
    sys.exit(main(file, new, join))


# ---- Publishing ----

EXPECT = click.option(
    "--expect", type=click.IntRange(0), default=None, help="The version that it takes the place of."
)
WAIT = click.option("--wait", type=float, default=0.0, help="Seconds until it is in force everywhere.")
BY = click.option("--by", default=None, help="Who publishes; by default the user.")


@config.command()
@FILE
@click.argument("body", type=EXISTS)
@EXPECT
@click.option("--against", type=EXISTS, help="A dispatcher's configuration that BODY is checked with.")
@WAIT
@BY
@JSON
def publish(
    file: Path,
    body: Path,
    expect: int | None,
    against: Path | None,
    wait: float,
    by: str | None,
    as_json: bool,
) -> None:
    """Commit BODY, a file, as the next version.

    With --expect it is refused where another version is the latest; without, it takes the place of whichever
    is. Exit 0: committed, and with --wait in force at every dispatcher that is connected. 1: another version
    is there, or it is not in force in time. 2: BODY is of no use. 3: no server leads.
    """
    servers = _servers(file)
    try:
        text = body.read_text(encoding="utf-8")
        if against is not None:
            _check_against(text, against)
        else:
            read_body(text)
    except (OSError, ValueError) as error:
        raise click.UsageError(f"{body}: {error}") from None
    _publish(servers, text, expect, by, wait, as_json)


@config.command()
@FILE
@click.argument("version", type=click.IntRange(1))
@EXPECT
@WAIT
@BY
@JSON
def rollback(
    file: Path, version: int, expect: int | None, wait: float, by: str | None, as_json: bool
) -> None:
    """Publish the body of an older VERSION as a new one. Exit as `publish`; 1 where VERSION is not kept."""
    servers = _servers(file)
    _publish(servers, _body(servers, version, as_json), expect, by, wait, as_json)


def _check_against(text: str, against: Path) -> None:
    """As that dispatcher will. Raises ConfigError."""
    try:
        own = json.loads(against.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise ConfigError(f"{against}: {error}") from None
    briefing = parse_config(apply_overlay(own, read_body(text)), os.environ)
    missing = first_missing_key(
        {key: value for key, value in own.items() if key != "known"}, briefing.document
    )
    if missing is not None:
        raise ConfigError(f"{missing} is missing: {against} has it")


def _publish(
    servers: ConfigServers, text: str, expect: int | None, by: str | None, wait: float, as_json: bool
) -> NoReturn:
    try:
        told = publish_body(servers, text, expect, by or _user(), FIRST_ANSWER)
        if told["done"] and wait > 0:
            found = wait_for(servers, told["version"], wait)
            told |= {"fleet": found._asdict(), "in_force": not found.behind and not found.refused}
    except NoServerAvailableError as error:
        _end(error, as_json)
    if as_json:
        click.echo(json.dumps(told))
    else:
        click.echo(f"version {told['version']}" if told["done"] else f"not done: {told['why']}")
        if told["done"] and told["why"]:
            click.echo(told["why"])
        if "fleet" in told:
            _say_fleet(found)
    if told.get("bad"):
        sys.exit(2)
    sys.exit(0 if told["done"] and told.get("in_force", True) else NOT_DONE)


def _user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return f"uid {os.getuid()}"


# ---- Looking ----


@config.command()
@FILE
@JSON
def status(file: Path, as_json: bool) -> None:
    """What each server says of itself, and which dispatchers have the latest version in force.

    Exit 0: all that are connected have it. 1: some have not. 3: no server answers.
    """
    servers = _servers(file)
    told = ask_all(servers, {"ask": "status"})
    rows = [
        {"name": name, "role": "no answer", "why": str(answer)} if isinstance(answer, Exception) else answer
        for name, answer in told.items()
    ]
    try:
        found = fleet(servers)
    except NoServerAvailableError as error:
        if not as_json:
            print_rows(rows, False)
        _end(error, as_json)
    if as_json:
        click.echo(json.dumps({"servers": rows, "fleet": found._asdict()}, indent=2))
    else:
        keys = ("name", "role", "why", "version", "fresh", "watchers", "watchers_behind")
        print_rows([{key: row[key] for key in keys if key in row} for row in rows], False)
        _say_fleet(found)
    sys.exit(NOT_DONE if found.behind or found.refused else 0)


def _say_fleet(found: Fleet) -> None:
    click.echo(f"version {found.version}: in force at {len(found.in_force)} of {found.connected()} connected")
    if found.unheard:
        click.echo(f"no answer from {', '.join(found.unheard)}: who watches there is not known")
    if found.behind:
        click.echo(f"behind: {_some(found.behind)}")
    for name, why in sorted(found.refused.items())[:MOST_NAMES]:
        click.echo(f"refused at {name}: {why}")
    if len(found.refused) > MOST_NAMES:
        click.echo(f"refused at {len(found.refused) - MOST_NAMES} more")
    if found.away:
        click.echo(f"not connected: {_some([f'{n} ({s:.0f} s)' for n, s in found.away.items()])}")


def _some(names: list[str]) -> str:
    more = f" and {len(names) - MOST_NAMES} more" if len(names) > MOST_NAMES else ""
    return ", ".join(names[:MOST_NAMES]) + more


@config.command()
@FILE
@JSON
def history(file: Path, as_json: bool) -> None:
    """The versions that are kept, the latest last."""
    try:
        rows = versions(_servers(file))
    except NoServerAvailableError as error:
        _end(error, as_json)
    print_rows([{"version": n, "digest": digest, "by": by, "id": i} for n, digest, by, i in rows], as_json)


@config.command()
@FILE
@click.argument("version", type=click.IntRange(1), required=False)
@JSON
def show(file: Path, version: int | None, as_json: bool) -> None:
    """The body of VERSION, or of the latest one. Exit 1 where it is not kept."""
    body = _body(_servers(file), version or 0, as_json)
    click.echo(json.dumps(json.loads(body), indent=2) if as_json else body)


@config.command()
@FILE
@click.argument("old", type=click.IntRange(1), required=False)
@click.argument("new", type=click.IntRange(1), required=False)
def diff(file: Path, old: int | None, new: int | None) -> None:
    """What differs from version OLD (the one before the latest) to NEW (the latest).

    Exit 1 where one of them is not kept.
    """
    servers = _servers(file)
    if old is None:
        try:
            rows = versions(servers)
        except NoServerAvailableError as error:
            _end(error, False)
        old = rows[-2][0] if len(rows) > 1 else 1
    before, after = (
        json.dumps(json.loads(_body(servers, number, False)), indent=2, sort_keys=True).splitlines()
        for number in (old, new or 0)
    )
    told = difflib.unified_diff(before, after, f"version {old}", f"version {new or 'latest'}", lineterm="")
    click.echo("\n".join(told))


def _body(servers: ConfigServers, version: int, as_json: bool) -> str:
    """Ends the call where no server has it."""
    try:
        found: dict[str, Any] = body_of(servers, version)
    except NoServerAvailableError as error:
        _end(error, as_json)
    if not found["n"]:
        click.echo(f"ploverspoke: version {version or 'any'} is not kept", err=True)
        sys.exit(NOT_DONE)
    return str(found["body"])
