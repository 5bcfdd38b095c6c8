"""The command line. It is not imported when the platform starts a dispatcher without arguments."""

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
        "Run experiments with the dispatcher in virtual time or on real sockets.",
    ),
    "store": LazyCommand("ploverspoke.store.commands", "store", "Inspect or change a store."),
    "config": LazyCommand(
        "ploverspoke.config_distribution.commands",
        "config",
        "Distribute configuration changes to all dispatchers.",
    ),
    "lease": LazyCommand("ploverspoke.leases.commands", "lease", "Use leases for tasks of the whole fleet."),
    "demo": LazyCommand(
        "ploverspoke.testbed.commands.demo",
        "demo",
        "Run a demo fleet: discovery, six workers of two kinds, two dispatchers and clients, on free ports.",
    ),
}

MAX_SHORT_HELP_LENGTH = 80  # characters of a command's short help in the list of commands
MAX_PROCESSES = 64
WATCH_EXCLUDES = "--watch goes neither with --processes nor with --store"
STORE_EXCLUDES = "--processes and --store cannot be combined: a replica is a single process"


class MissingPackageError(click.ClickException):
    """A command needs a package that is not installed; the message names the extra to install."""

    def __init__(self, needed_by: str, package: str | None, extra: str) -> None:
        """`extra` names the group of optional dependencies of ploverspoke that contains the package."""
        super().__init__(f"{needed_by} needs {package}: install ploverspoke[{extra}]")


@contextmanager
def report_missing_package(needed_by: str, extra: str) -> Iterator[None]:
    """Raises MissingPackageError if the block imports a third-party package that is not installed."""
    try:
        yield
    except ModuleNotFoundError as error:
        if (error.name or "").startswith("ploverspoke"):
            raise
        raise MissingPackageError(needed_by, error.name, extra) from error


class LazyGroup(click.Group):
    """The top-level command, with the subcommands defined here and those of LAZY_COMMANDS."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all subcommands."""
        return sorted([*super().list_commands(ctx), *LAZY_COMMANDS])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return the subcommand, importing its package. Raises MissingPackageError."""
        if cmd_name not in LAZY_COMMANDS:
            return super().get_command(ctx, cmd_name)
        lazy_command = LAZY_COMMANDS[cmd_name]
        with report_missing_package(cmd_name, "testbed"):
            command = getattr(importlib.import_module(lazy_command.module), lazy_command.attribute)
        assert isinstance(command, click.Command)
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """List the subcommands. The help of lazy commands is defined here, so that no package is imported."""
        help_texts = {name: lazy_command.short_help for name, lazy_command in LAZY_COMMANDS.items()}
        help_texts |= {
            name: command.get_short_help_str(MAX_SHORT_HELP_LENGTH)
            for name, command in self.commands.items()
            if not command.hidden
        }
        with formatter.section("Commands"):
            formatter.write_dl(sorted(help_texts.items()))


def _version() -> str:
    try:
        return version("ploverspoke")
    except PackageNotFoundError:
        return "not installed"


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(_version(), prog_name="ploverspoke")
def main() -> None:
    """A dispatcher that runs beside each submitter and pushes jobs to workers.

    Start with `ploverspoke demo`. `ploverspoke serve` runs one dispatcher; `ploverspoke check` validates its
    configuration.
    """


EXISTING_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
CONFIG_ARGUMENT = click.argument("configuration", type=EXISTING_FILE, envvar="RELAY_CONFIG")


@main.command()
@CONFIG_ARGUMENT
@click.option(
    "--processes",
    type=click.IntRange(1, MAX_PROCESSES),
    default=1,
    help="Number of dispatcher processes that share one address.",
)
@click.option("--store", type=EXISTING_FILE, help="File of the store replica to run.")
@click.option("--new", is_flag=True, help="Initialize a new store at the first start.")
@click.option("--join", default="", help="Fingerprint of the running store to join.")
@click.option(
    "--watch",
    type=EXISTING_FILE,
    help="File with the addresses of the config servers whose versions override CONFIGURATION.",
)
def serve(
    configuration: Path, processes: int, store: Path | None, new: bool, join: str, watch: Path | None
) -> None:
    """Run a dispatcher with this CONFIGURATION (or that of RELAY_CONFIG).

    It runs until SIGTERM. SIGHUP reloads the configuration. With --store it is one replica of a replicated
    store that records the requests it has admitted (docs/store.md); with --watch it applies the versions
    published by config servers (docs/operating-distribution.md). Exit code 0: stopped on request. 2: the
    configuration, the store or the file of --watch cannot be used; the reason is printed.
    """
    os.environ["RELAY_CONFIG"] = str(configuration)
    if watch is not None:
        if processes > 1 or store is not None:
            raise click.UsageError(WATCH_EXCLUDES)
        sys.exit(_serve_with_watch(watch))
    if processes > 1:
        if store is not None:
            raise click.UsageError(STORE_EXCLUDES)
        from ploverspoke.supervisor.process_runner import main as run_processes

        sys.exit(run_processes(processes))
    if store is not None:
        sys.exit(_serve_with_store(store, new, join))
    from ploverspoke.service.program import main as run_dispatcher

    sys.exit(run_dispatcher())


def _serve_with_watch(watch: Path) -> int:
    with report_missing_package("--watch", "daemon"):
        from ploverspoke.config_distribution.dynamic_config import main as run_watching_dispatcher
    return run_watching_dispatcher(watch)


def _serve_with_store(store: Path, new: bool, join: str) -> int:
    with report_missing_package("a store", "daemon"):
        from ploverspoke.store.daemon import main as run_replica
    return run_replica(store, new, join)


def _serve_leases(file: Path, new: bool, join: str) -> int:
    with report_missing_package("a lease server", "daemon"):
        from ploverspoke.leases.daemon import main as run_lease_server
    return run_lease_server(file, new, join)


@main.command(name="lease-server")
@click.argument("file", type=EXISTING_FILE)
@click.option("--new", is_flag=True, help="Initialize a new cluster of lease servers at the first start.")
@click.option("--join", default="", help="Fingerprint of the running cluster to join.")
def lease_server(file: Path, new: bool, join: str) -> None:
    """Run one lease server with the configuration in FILE (docs/operating-leases.md).

    It runs until SIGTERM. Exit code 0: stopped on request. 2: the file or its storage cannot be used; the
    reason is printed.
    """
    sys.exit(_serve_leases(file, new, join))


@main.command(hidden=True)
@click.argument("file", type=EXISTING_FILE)
@click.option("--new", is_flag=True, help="See `lease-server`.")
@click.option("--join", default="", help="See `lease-server`.")
def keep(file: Path, new: bool, join: str) -> None:
    """Run one lease server. This is the former name of `lease-server`."""
    click.echo("lease server: `keep` is now called `lease-server`; the old name still works", err=True)
    sys.exit(_serve_leases(file, new, join))


@main.command()
@click.argument("old", type=click.Path(path_type=Path))
@click.argument("new", type=click.Path(path_type=Path))
@click.option(
    "--peer",
    "peers",
    multiple=True,
    help="Address of a dispatcher; repeat it for each dispatcher, in order. Enables load gossip.",
)
@click.option("--dry-run", is_flag=True, help="Print the same report but write nothing.")
@click.option("--force", is_flag=True, help="Overwrite NEW if it exists.")
@click.option("--json", "as_json", is_flag=True, help="Print the report as JSON.")
def migrate(old: Path, new: Path, peers: tuple[str, ...], dry_run: bool, force: bool, as_json: bool) -> None:
    """Convert configuration OLD to NEW for workers without probes and load reports.

    Lists the keys that were changed or dropped and those still to be supplied; docs/migration.md describes
    the steps. Exit code 0: done, or nothing to do. 2: OLD cannot be used or NEW exists, and nothing is
    written.
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
@CONFIG_ARGUMENT
def check(configuration: Path) -> None:
    """Check a CONFIGURATION (or that of RELAY_CONFIG) without starting anything.

    Exit code 0: it is valid, and a summary is printed. 2: it is invalid, and the error names the key.
    """
    from ploverspoke.service.config import NO_PEERS_MESSAGE, read_config
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
        click.echo(NO_PEERS_MESSAGE)
    click.echo(f"{config.name} would listen on {config.listen}, discovery {config.discovery}")
    click.echo(f"limits: {config.descriptor_limit} descriptors, {config.memory_limit // MEBIBYTE} MiB")
    for name, rules in zip(config.names.request_classes, config.settings.classes, strict=True):
        objective, deadline = rules.latency_objective / SECOND, rules.deadline / SECOND
        click.echo(
            f"class {name}: {rules.idempotency.value}, latency objective {objective:g} s, "
            f"deadline {deadline:g} s"
        )
