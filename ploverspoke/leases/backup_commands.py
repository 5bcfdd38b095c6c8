"""`ploverspoke lease backup` and `restore`: copies of a lease server's storage."""

import time
from pathlib import Path

import click

from ploverspoke.consensus.admin_messages import BackupRequest
from ploverspoke.consensus.command_line import (
    EXISTING_FILE,
    FILE_ARGUMENT,
    JSON_OPTION,
    call_for_result,
    read_config_or_exit,
    restore_backup,
)

from .config import read_lease_server_config
from .server_node import EPOCH_KEY


@click.command()
@FILE_ARGUMENT
@click.argument("path", type=click.Path(path_type=Path))
@JSON_OPTION
def backup(file: Path, path: Path, as_json: bool) -> None:
    """Copy the storage of the lease server of this FILE to PATH on the server's machine. Exit 1: not done."""
    config = read_config_or_exit(read_lease_server_config, file).replica
    call_for_result(config, config.name, BackupRequest(str(path.absolute())), as_json)


@click.command()
@FILE_ARGUMENT
@click.argument("path", type=EXISTING_FILE)
def restore(file: Path, path: Path) -> None:
    """Restore the storage of this FILE's lease server from a backup.

    The server must be stopped and its storage empty. Restore all lease servers together, from the same
    backup. A new epoch begins, whose tokens are higher than all that were granted before; nothing is granted
    until the longest lease has expired.
    """
    config = read_config_or_exit(read_lease_server_config, file).replica
    storage = restore_backup(config, path)
    # Higher than every earlier epoch, as long as clocks do not go back between two restores.
    epoch = max((storage.load_value(EPOCH_KEY, int) or 0) + 1, int(time.time()))
    storage.save_value(EPOCH_KEY, epoch)
    storage.close()
    click.echo(f"restored {storage.path}, epoch {epoch}")
