"""What command-line tools of replicas share: asking one, and saying what it answered."""

import json
import sys
from pathlib import Path
from typing import Any

import click

from .cluster_config import ReplicaConfig, initial_replica_id
from .framing import FrameError
from .replica_client import send_admin_request
from .storage import ClusterMismatchError, CorruptionError, ReplicaStorage, StorageError, restore_from_backup


def call_replica(name: str, where: str, secret: bytes, question: dict[str, Any]) -> Any:
    """Its answer; where there is none, a row that says why."""
    try:
        return send_admin_request(where, secret, question)
    except (OSError, FrameError) as error:
        return {"name": name, "role": "no answer", "why": str(error)}


def restore_backup(orders: ReplicaConfig, backup: Path) -> ReplicaStorage:
    """A backup as the disk of these orders' replica; to be closed. Raises what click says and exits with."""
    try:
        return restore_from_backup(orders.folder, backup, initial_replica_id(orders.name))
    except ClusterMismatchError as error:
        raise click.UsageError(str(error)) from None
    except (CorruptionError, StorageError) as error:
        raise click.ClickException(f"the backup cannot be used: {error}") from None


def print_rows(told: Any, as_json: bool) -> None:
    """Rows, a line each."""
    if as_json:
        click.echo(json.dumps(told, indent=2, default=str))
        return
    for row in told if isinstance(told, list) else [told]:
        click.echo("  ".join(f"{key}={value}" for key, value in row.items() if key != "members"))


def exit_with_result(told: dict[str, Any], as_json: bool) -> None:
    """Whether it was done, and the end: exit 0 or 1."""
    if as_json:
        click.echo(json.dumps(told))
    else:
        click.echo("done" if told.get("done") else f"not done: {told.get('why') or 'it may not be just now'}")
    sys.exit(0 if told.get("done") else 1)
