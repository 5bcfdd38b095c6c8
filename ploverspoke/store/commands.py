"""`ploverspoke store`: look at a store and change it. What changes something is asked of the leader."""

import getpass
import json
import sys
from pathlib import Path
from typing import Any

import click

from ploverspoke.consensus.cluster_config import ReplicaConfig, read_replica_config
from ploverspoke.consensus.command_line import call_replica, exit_with_result, print_rows, restore_backup
from ploverspoke.consensus.storage import ClusterMismatchError, CorruptionError, ReplicaStorage, StorageError
from ploverspoke.service.config_reader import ConfigError

from .daemon import merge_config
from .state_machine import RequestStateMachine

FILE = click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
JSON = click.option("--json", "as_json", is_flag=True, help="For tools.")


@click.group()
def store() -> None:
    """Look at a store and change it. FILE is the store file of any of its replicas."""


def _orders(file: Path) -> ReplicaConfig:
    try:
        return read_replica_config(file)
    except ConfigError as error:
        raise click.UsageError(str(error)) from None


def _ask(orders: ReplicaConfig, name: str, question: dict[str, Any]) -> Any:
    return call_replica(name, orders.replicas[name].peer, orders.secret, question)


def _leader(orders: ReplicaConfig) -> str:
    """The name of the one that leads. Raises ClickException where none does."""
    for name in orders.replicas:
        told = _ask(orders, name, {"ask": "status"})
        if told.get("leads"):
            return name
    raise click.ClickException("no replica leads just now")


def ask_leader(orders: ReplicaConfig, question: dict[str, Any]) -> Any:
    """Raises ClickException where none leads."""
    return _ask(orders, _leader(orders), question)


def read_configuration(file: Path, configuration: Path) -> tuple[ReplicaConfig, str]:
    """The orders of a store's FILE and a configuration's text, checked for it. Raises UsageError."""
    orders = _orders(file)
    try:
        body = configuration.read_text(encoding="utf-8")
        merge_config(json.loads(body), "", orders, None)
    except (ConfigError, ValueError, OSError) as error:
        raise click.UsageError(f"{configuration}: {error}") from None
    return orders, body


@store.command()
@FILE
@JSON
def status(file: Path, as_json: bool) -> None:
    """What each replica says of itself. Exit 1 where none leads."""
    orders = _orders(file)
    told = [_ask(orders, name, {"ask": "status"}) for name in orders.replicas]
    print_rows(told, as_json)
    sys.exit(0 if any(one.get("leads") for one in told) else 1)


@store.group()
def members() -> None:
    """Who belongs to the store. One voter more or less at a time."""


@members.command()
@FILE
@click.argument("name")
@click.option("--peers", required=True, help="Address for the other replicas.")
@click.option("--clients", required=True, help="Address for clients.")
@click.option("--votes/--learns", default=False, help="A voter, or one that only learns (first).")
@JSON
def add(file: Path, name: str, peers: str, clients: str, votes: bool, as_json: bool) -> None:
    """Add a replica that learns, or make one that has learned a voter."""
    orders = _orders(file)
    question = {"ask": "members", "name": name, "peers": peers, "clients": clients, "votes": votes}
    exit_with_result(_ask(orders, _leader(orders), question), as_json)


@members.command()
@FILE
@click.argument("name")
@JSON
def remove(file: Path, name: str, as_json: bool) -> None:
    """Remove a replica."""
    orders = _orders(file)
    exit_with_result(_ask(orders, _leader(orders), {"ask": "members", "name": name, "remove": True}), as_json)


@store.command()
@FILE
@click.argument("to")
@JSON
def transfer(file: Path, to: str, as_json: bool) -> None:
    """Hand leadership to the replica of that name."""
    orders = _orders(file)
    exit_with_result(_ask(orders, _leader(orders), {"ask": "transfer", "to": to}), as_json)


@store.command()
@FILE
@click.argument("configuration", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@JSON
def configure(file: Path, configuration: Path, as_json: bool) -> None:
    """Commit a CONFIGURATION: `settings` and `discovery` are then the same on all replicas.

    A new discovery is watched at once; what else differs waits for each replica's next start.
    """
    orders, body = read_configuration(file, configuration)
    exit_with_result(ask_leader(orders, {"ask": "configure", "body": body, "by": getpass.getuser()}), as_json)


@store.command()
@FILE
@JSON
def configurations(file: Path, as_json: bool) -> None:
    """The versions that were committed, the latest last."""
    orders = _orders(file)
    found = _ask(orders, orders.name, {"ask": "configurations"})
    if isinstance(found, dict):
        raise click.ClickException(str(found.get("why")))
    rows = [{"version": v, "by": by, "at": at, "bytes": len(body)} for v, by, at, body in found]
    print_rows(rows, as_json)


@store.command()
@FILE
@click.argument("path", type=click.Path(path_type=Path))
@JSON
def backup(file: Path, path: Path, as_json: bool) -> None:
    """Copy the store of this file's replica, while it runs, to PATH on its machine."""
    orders = _orders(file)
    exit_with_result(_ask(orders, orders.name, {"ask": "backup", "path": str(path.absolute())}), as_json)


@store.command()
@FILE
@click.argument("path", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def restore(file: Path, path: Path) -> None:
    """Put a backup in the place of this replica's store, which must not run and must be empty.

    What was committed after the backup is gone: only for all replicas together, from one backup.
    """
    orders = _orders(file)
    disk = restore_backup(orders, path)
    disk.close()
    click.echo(f"restored {disk.path}")


@store.command()
@FILE
@JSON
def inspect(file: Path, as_json: bool) -> None:
    """What the store on this machine holds; its replica must not run. Checksums are looked at."""
    orders = _orders(file)
    disk = ReplicaStorage(orders.folder)
    try:
        disk.open()
    except (CorruptionError, StorageError, ClusterMismatchError) as error:
        raise click.ClickException(str(error)) from None
    ledger = RequestStateMachine()
    ledger.restore_snapshot(disk.persisted.snapshot_data)
    for entry in disk.persisted.log.entries:
        if entry.kind == "data":
            ledger.apply(entry.index, entry.data)
    told = {
        "replica": disk.replica_id,
        "store": disk.cluster_fingerprint,
        "term": disk.persisted.current_term,
        "vote": disk.persisted.voted_for,
        "snapshot": disk.persisted.log.snapshot_index,
        "last": disk.persisted.log.last_index(),
        "bytes": disk.size_bytes(),
        "open": len(ledger.open),
        "answered": len(ledger.answered),
        "configurations": [c.version for c in ledger.configurations],
        "open_submissions": {
            name: [f"{i.worker}: {i.outcome or 'not known'}" for i in job.intents]
            for name, job in list(ledger.open.items())[:100]
        },
    }
    disk.close()
    print_rows(told, as_json)
