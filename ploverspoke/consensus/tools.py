"""What command-line tools of replicas share: asking one, and saying what it answered."""

import json
import sys
from pathlib import Path
from typing import Any

import click

from .ask import ask
from .disk import Damaged, Disk, DiskTrouble, WrongStore, restore
from .frames import BadFrame
from .orders import ReplicaOrders, first_id


def ask_replica(name: str, where: str, secret: bytes, question: dict[str, Any]) -> Any:
    """Its answer; where there is none, a row that says why."""
    try:
        return ask(where, secret, question)
    except (OSError, BadFrame) as error:
        return {"name": name, "role": "no answer", "why": str(error)}


def restored(orders: ReplicaOrders, backup: Path) -> Disk:
    """A backup as the disk of these orders' replica; to be closed. Raises what click says and exits with."""
    try:
        return restore(orders.folder, backup, first_id(orders.name))
    except WrongStore as error:
        raise click.UsageError(str(error)) from None
    except (Damaged, DiskTrouble) as error:
        raise click.ClickException(f"the backup cannot be used: {error}") from None


def say(told: Any, as_json: bool) -> None:
    """Rows, a line each."""
    if as_json:
        click.echo(json.dumps(told, indent=2, default=str))
        return
    for row in told if isinstance(told, list) else [told]:
        click.echo("  ".join(f"{key}={value}" for key, value in row.items() if key != "members"))


def done(told: dict[str, Any], as_json: bool) -> None:
    """Whether it was done, and the end: exit 0 or 1."""
    if as_json:
        click.echo(json.dumps(told))
    else:
        click.echo("done" if told.get("done") else f"not done: {told.get('why') or 'it may not be just now'}")
    sys.exit(0 if told.get("done") else 1)
