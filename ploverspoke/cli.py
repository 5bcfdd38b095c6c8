"""The command line. The platform starts `python -m ploverspoke` without words and sees none of this."""

import importlib
import json
import os
import sys
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path

import click

LATER = {  # commands whose packages are imported only when they are called
    "testbed": (
        "ploverspoke.testbed.commands",
        "testbed",
        "Experiments with the dispatcher on virtual time or sockets.",
    ),
    "store": ("ploverspoke.store.commands", "store", "Look at a store and change it."),
    "config": (
        "ploverspoke.config_distribution.commands",
        "config",
        "Carry a change of configuration to every dispatcher.",
    ),
    "lease": ("ploverspoke.leases.commands", "lease", "Leases for tasks that belong to the whole fleet."),
    "demo": ("ploverspoke.testbed.demo", "demo", "See it work: workers, dispatchers and load on free ports."),
}


class Commands(click.Group):
    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), *LATER])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in LATER:
            return super().get_command(ctx, cmd_name)
        module, name, _ = LATER[cmd_name]
        try:
            found = getattr(importlib.import_module(module), name)
        except ModuleNotFoundError as error:
            if (error.name or "").startswith("ploverspoke"):
                raise
            raise click.ClickException(
                f"{cmd_name} needs {error.name}: install ploverspoke[testbed]"
            ) from None
        assert isinstance(found, click.Command)
        return found

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Told from here, so that help imports nothing."""
        told = {name: text for name, (_, _, text) in LATER.items()}
        told |= {name: command.get_short_help_str(80) for name, command in self.commands.items()}
        with formatter.section("Commands"):
            formatter.write_dl(sorted(told.items()))


def _version() -> str:
    try:
        return version("ploverspoke")
    except PackageNotFoundError:
        return "not installed"


@click.group(cls=Commands, context_settings={"help_option_names": ["-h", "--help"]})
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
@click.option("--processes", type=click.IntRange(1, 64), default=1, help="Dispatchers behind one address.")
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

    It runs until SIGTERM. SIGHUP reads the configuration again. With --store it is one replica of a daemon
    that remembers what it took (docs/store.md); with --watch it takes the versions of config servers
    (docs/operating-distribution.md). Exit 0: told to end. 2: the configuration, the store or the watch's
    file is of no use, and why is said.
    """
    os.environ["RELAY_CONFIG"] = str(configuration)
    if watch is not None:
        if processes > 1 or store is not None:
            raise click.UsageError("--watch goes neither with --processes nor with --store")
        try:
            from ploverspoke.config_distribution.dynamic_config import main as watching
        except ModuleNotFoundError as error:
            raise click.ClickException(f"a watch needs {error.name}: install ploverspoke[daemon]") from None
        sys.exit(watching(watch))
    if processes > 1:
        if store is not None:
            raise click.UsageError("--processes and --store do not go together: a replica is one process")
        from ploverspoke.supervisor.process_runner import main as supervise

        sys.exit(supervise(processes))
    if store is None:
        from ploverspoke.service.service import main as service

        sys.exit(service())
    try:
        from ploverspoke.store.daemon import main as daemon
    except ModuleNotFoundError as error:
        raise click.ClickException(f"a store needs {error.name}: install ploverspoke[daemon]") from None
    sys.exit(daemon(store, new, join))


@main.command()
@click.argument("file", type=FILE)
@click.option("--new", is_flag=True, help="The first start of a new set of keepers.")
@click.option("--join", default="", help="The mark of the running set that it joins.")
def keep(file: Path, new: bool, join: str) -> None:
    """Run one keeper of leases with this FILE (docs/operating-leases.md).

    It runs until SIGTERM. Exit 0: told to end. 2: the file or the disk is of no use, and why is said.
    """
    try:
        from ploverspoke.leases.daemon import main as keeper
    except ModuleNotFoundError as error:
        raise click.ClickException(f"a keeper needs {error.name}: install ploverspoke[daemon]") from None
    sys.exit(keeper(file, new, join))


@main.command()
@click.argument("old", type=click.Path(path_type=Path))
@click.argument("new", type=click.Path(path_type=Path))
@click.option("--peer", "peers", multiple=True, help="Address of a dispatcher, in order; turns messages on.")
@click.option("--dry-run", is_flag=True, help="Say the same and write nothing.")
@click.option("--force", is_flag=True, help="Replace NEW where it exists.")
@click.option("--json", "as_json", is_flag=True, help="For tools.")
def migrate(old: Path, new: Path, peers: tuple[str, ...], dry_run: bool, force: bool, as_json: bool) -> None:
    """Write NEW, the counterpart of the configuration OLD where workers can be asked nothing.

    Lists what was changed, dropped or could not be carried over; docs/migration.md has the steps. Exit 0:
    done, or nothing to do. 2: OLD is of no use or NEW exists, and nothing is written.
    """
    from ploverspoke.service.config_reader import ConfigError
    from ploverspoke.service.migration import migrate_file

    try:
        told = migrate_file(old, new, list(peers), dry_run, force)
    except ConfigError as error:
        click.echo(f"ploverspoke: {error}", err=True)
        sys.exit(2)
    if as_json:
        click.echo(json.dumps(told))
        return
    for note in told["notes"]:
        click.echo(f"{note['what']}: {note['key']}: {note['why']}")
    click.echo(told["result"])


@main.command()
@CONFIG
def check(configuration: Path) -> None:
    """Check a CONFIGURATION (or that of RELAY_CONFIG) without starting anything.

    Exit 0: it can be used, and what it says is shown. 2: it cannot, and the key is named.
    """
    from ploverspoke.service.config import read_config
    from ploverspoke.service.config_reader import ConfigError

    os.environ["RELAY_CONFIG"] = str(configuration)
    try:
        briefing = read_config(os.environ)
    except ConfigError as error:
        click.echo(f"ploverspoke: {error}", err=True)
        sys.exit(2)
    if briefing.peers:
        click.echo(f"tellings: to {len(briefing.peers) - 1} other dispatchers")
    elif briefing.cannot_tell:
        from ploverspoke.service.service import NO_PEERS

        click.echo(NO_PEERS)
    address = ":".join(map(str, briefing.listen))
    click.echo(f"{briefing.name} would listen on {address}, discovery {briefing.discovery}")
    click.echo(f"limits: {briefing.sockets} descriptors, {briefing.memory >> 20} MiB")
    for number, grade in enumerate(briefing.names.request_classes):
        rules = briefing.settings.classes[number]
        expected, abandon = rules.latency_objective / 1e9, rules.deadline / 1e9
        repeat = rules.idempotency.value
        click.echo(f"grade {grade}: {repeat}, expected in {expected:g} s, abandoned at {abandon:g} s")
