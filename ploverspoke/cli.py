"""The command line. A start without arguments, as the platform's, imports none of it."""

import importlib
import json
import os
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path
from typing import NamedTuple

import click


class LazyCommand(NamedTuple):
    """A command whose package is imported only when it is called."""

    module: str
    attribute: str  # the click command in the module
    short_help: str


LAZY_COMMANDS = {
    "testbed": LazyCommand(
        "ploverspoke.testbed.commands.main",
        "testbed",
        "Experiments with the dispatcher on virtual time or sockets.",
    ),
    "store": LazyCommand("ploverspoke.store.commands", "store", "Look at a store and change it."),
    "config": LazyCommand(
        "ploverspoke.config_distribution.commands",
        "config",
        "Carry a change of configuration to every dispatcher.",
    ),
    "lease": LazyCommand(
        "ploverspoke.leases.commands", "lease", "Leases for tasks that belong to the whole fleet."
    ),
    "demo": LazyCommand(
        "ploverspoke.testbed.commands.demo",
        "demo",
        "See it work: workers, dispatchers and load on free ports.",
    ),
}

MAX_HELP_WIDTH = 80  # characters of a command's line in the list
MAX_PROCESSES = 64
WATCH_EXCLUDES = "--watch goes neither with --processes nor with --store"
STORE_EXCLUDES = "--processes and --store do not go together: a replica is one process"


class MissingPackageError(click.ClickException):
    """A command needs a package that is not installed; the message names the extra that brings it."""

    def __init__(self, needed_by: str, package: str | None, extra: str) -> None:
        """`extra`: the optional dependencies of ploverspoke that the package belongs to."""
        super().__init__(f"{needed_by} needs {package}: install ploverspoke[{extra}]")


@contextmanager
def imports_of(needed_by: str, extra: str) -> Iterator[None]:
    """Raises MissingPackageError where an import in the block fails for a third-party package."""
    try:
        yield
    except ModuleNotFoundError as error:
        if (error.name or "").startswith("ploverspoke"):
            raise
        raise MissingPackageError(needed_by, error.name, extra) from error


class LazyGroup(click.Group):
    """The top command: its own subcommands, and those of LAZY_COMMANDS."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all subcommands."""
        return sorted([*super().list_commands(ctx), *LAZY_COMMANDS])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return the subcommand, importing its package. Raises MissingPackageError."""
        if cmd_name not in LAZY_COMMANDS:
            return super().get_command(ctx, cmd_name)
        lazy = LAZY_COMMANDS[cmd_name]
        with imports_of(cmd_name, "testbed"):
            command = getattr(importlib.import_module(lazy.module), lazy.attribute)
        assert isinstance(command, click.Command)
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """List the subcommands from the texts here, so that help imports no package."""
        texts = {name: lazy.short_help for name, lazy in LAZY_COMMANDS.items()}
        texts |= {
            name: command.get_short_help_str(MAX_HELP_WIDTH)
            for name, command in self.commands.items()
            if not command.hidden
        }
        with formatter.section("Commands"):
            formatter.write_dl(sorted(texts.items()))


def _version() -> str:
    try:
        return version("ploverspoke")
    except PackageNotFoundError:
        return "not installed"


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(_version(), prog_name="ploverspoke")
def main() -> None:
    """A dispatcher that runs beside each submitter and pushes jobs to workers.

    Start with `ploverspoke demo`. `ploverspoke serve` runs one dispatcher; `ploverspoke check` looks at its
    configuration first.
    """


FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
CONFIG = click.argument("configuration", type=FILE, envvar="RELAY_CONFIG")


@main.command()
@CONFIG
@click.option(
    "--processes", type=click.IntRange(1, MAX_PROCESSES), default=1, help="Dispatchers behind one address."
)
@click.option("--store", type=FILE, help="A replica's file.")
@click.option("--new", is_flag=True, help="The first start of a new store.")
@click.option("--join", default="", help="The mark of the running store that it joins.")
@click.option(
    "--watch", type=FILE, help="Where config servers are, whose versions are laid on CONFIGURATION."
)
def serve(
    configuration: Path, processes: int, store: Path | None, new: bool, join: str, watch: Path | None
) -> None:
    """Run a dispatcher with this CONFIGURATION (or that of RELAY_CONFIG).

    It runs until SIGTERM. SIGHUP reads the configuration again. With --store it is one replica of a
    replicated store that remembers the requests it admitted (docs/store.md); with --watch it applies the
    versions of config servers (docs/operating-distribution.md). Exit 0: stopped on request. 2: the
    configuration, the store or the watch's file cannot be used; the reason is printed.
    """
    os.environ["RELAY_CONFIG"] = str(configuration)
    if watch is not None:
        if processes > 1 or store is not None:
            raise click.UsageError(WATCH_EXCLUDES)
        sys.exit(_serve_with_watch(watch))
    if processes > 1:
        if store is not None:
            raise click.UsageError(STORE_EXCLUDES)
        from ploverspoke.supervisor.process_runner import main as supervise

        sys.exit(supervise(processes))
    if store is not None:
        sys.exit(_serve_with_store(store, new, join))
    from ploverspoke.service.service import main as serve_alone

    sys.exit(serve_alone())


def _serve_with_watch(watch: Path) -> int:
    with imports_of("a watch", "daemon"):
        from ploverspoke.config_distribution.dynamic_config import main as serve_watching
    return serve_watching(watch)


def _serve_with_store(store: Path, new: bool, join: str) -> int:
    with imports_of("a store", "daemon"):
        from ploverspoke.store.daemon import main as serve_replica
    return serve_replica(store, new, join)


def _serve_leases(file: Path, new: bool, join: str) -> int:
    with imports_of("a lease server", "daemon"):
        from ploverspoke.leases.daemon import main as serve_leases
    return serve_leases(file, new, join)


@main.command(name="lease-server")
@click.argument("file", type=FILE)
@click.option("--new", is_flag=True, help="The first start of a new set of lease servers.")
@click.option("--join", default="", help="The mark of the running set that it joins.")
def lease_server(file: Path, new: bool, join: str) -> None:
    """Run one lease server with this FILE (docs/operating-leases.md).

    It runs until SIGTERM. Exit 0: stopped on request. 2: the file or storage cannot be used; the reason is
    printed.
    """
    sys.exit(_serve_leases(file, new, join))


@main.command(hidden=True)
@click.argument("file", type=FILE)
@click.option("--new", is_flag=True, help="As of `lease-server`.")
@click.option("--join", default="", help="As of `lease-server`.")
def keep(file: Path, new: bool, join: str) -> None:
    """Run one lease server, as `lease-server` does: the name of that command until now."""
    click.echo("lease server: `keep` is now called `lease-server`; the old name goes on working", err=True)
    sys.exit(_serve_leases(file, new, join))


@main.command()
@click.argument("old", type=click.Path(path_type=Path))
@click.argument("new", type=click.Path(path_type=Path))
@click.option(
    "--peer", "peers", multiple=True, help="Address of a dispatcher, in order; turns load gossip on."
)
@click.option("--dry-run", is_flag=True, help="Print the same report and write nothing.")
@click.option("--force", is_flag=True, help="Replace NEW where it exists.")
@click.option("--json", "as_json", is_flag=True, help="For tools.")
def migrate(old: Path, new: Path, peers: tuple[str, ...], dry_run: bool, force: bool, as_json: bool) -> None:
    """Write NEW, the configuration OLD for workers without probes and load reports.

    Lists what was changed, dropped or is to be supplied; docs/migration.md has the steps. Exit 0: done, or
    nothing to do. 2: OLD cannot be used or NEW exists, and nothing is written.
    """
    from ploverspoke.service.config_reader import ConfigError
    from ploverspoke.service.exit_codes import EXIT_UNUSABLE
    from ploverspoke.service.migration import migrate_file

    try:
        report = migrate_file(old, new, peers, dry_run, force)
    except ConfigError as error:
        click.echo(f"ploverspoke: {error}", err=True)
        sys.exit(EXIT_UNUSABLE)
    if as_json:
        click.echo(json.dumps(report.to_json()))
        return
    for note in report.notes:
        click.echo(f"{note.kind}: {note.key}: {note.reason}")
    click.echo(report.summary)


@main.command()
@CONFIG
def check(configuration: Path) -> None:
    """Check a CONFIGURATION (or that of RELAY_CONFIG) without starting anything.

    Exit 0: it can be used, and a summary is printed. 2: it cannot, and the key is named.
    """
    from ploverspoke.service.config import NO_PEERS, read_config
    from ploverspoke.service.config_reader import ConfigError
    from ploverspoke.service.exit_codes import EXIT_UNUSABLE
    from ploverspoke.transport.units import MEBIBYTE, SECOND

    os.environ["RELAY_CONFIG"] = str(configuration)
    try:
        config = read_config(os.environ)
    except ConfigError as error:
        click.echo(f"ploverspoke: {error}", err=True)
        sys.exit(EXIT_UNUSABLE)
    if config.peers:
        click.echo(f"load gossip: to {len(config.peers) - 1} other dispatchers")
    elif config.lacks_peers:
        click.echo(NO_PEERS)
    click.echo(f"{config.name} would listen on {config.listen}, discovery {config.discovery}")
    click.echo(f"limits: {config.descriptor_limit} descriptors, {config.memory_limit // MEBIBYTE} MiB")
    for name, rules in zip(config.names.request_classes, config.settings.classes, strict=True):
        objective, deadline = rules.latency_objective / SECOND, rules.deadline / SECOND
        click.echo(
            f"class {name}: {rules.idempotency.value}, latency objective {objective:g} s, "
            f"deadline {deadline:g} s"
        )
