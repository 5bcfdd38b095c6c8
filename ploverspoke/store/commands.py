"""`ploverspoke store`: commands that inspect or change a store. Changes are sent to the leader."""

import getpass
import sys
from contextlib import closing
from pathlib import Path
from typing import NoReturn

import click
import msgspec

from ploverspoke.consensus.admin_messages import (
    AdminRequest,
    BackupRequest,
    StatusRow,
    TransferLeadershipRequest,
    WireMap,
    add_member_request,
    remove_member_request,
)
from ploverspoke.consensus.cluster_config import ReplicaConfig, read_replica_config
from ploverspoke.consensus.command_line import (
    EXISTING_FILE,
    FILE_ARGUMENT,
    JSON_OPTION,
    ReplicaUnavailableError,
    call_for_result,
    exit_with_failure,
    exit_with_result,
    find_leader,
    print_row,
    print_rows,
    read_config_or_exit,
    request_reply,
    request_status,
    restore_backup,
)
from ploverspoke.consensus.storage import ClusterMismatchError, CorruptionError, StorageError

from .admin_messages import ConfigurationRow, ConfigurationsRequest, ConfigureRequest
from .configuration_client import commit_configuration, read_configuration
from .inspection import inspect_storage


@click.group()
def store() -> None:
    """Inspect or change a store. FILE is the store file of any of its replicas."""


def _read_config(file: Path) -> ReplicaConfig:
    return read_config_or_exit(read_replica_config, file)


def _call_leader(config: ReplicaConfig, request: AdminRequest, as_json: bool) -> NoReturn:
    """Send a request to the leader and exit with its result."""
    peer_addresses = {name: addresses.peer for name, addresses in config.replicas.items()}
    call_for_result(config, find_leader(peer_addresses, config.secret), request, as_json)


@store.command()
@FILE_ARGUMENT
@JSON_OPTION
def status(file: Path, as_json: bool) -> None:
    """Show the status of each replica. Exits with 1 if none is the leader."""
    config = _read_config(file)
    rows = [
        request_status(name, addresses.peer, config.secret, StatusRow)
        for name, addresses in config.replicas.items()
    ]
    print_rows([row.fields for row in rows], as_json)
    sys.exit(0 if any(row.leads for row in rows) else 1)


@store.group()
def members() -> None:
    """Add and remove replicas, one voter at a time."""


@members.command()
@FILE_ARGUMENT
@click.argument("name")
@click.option("--peers", required=True, help="Address for the other replicas.")
@click.option("--clients", required=True, help="Address for clients.")
@click.option(
    "--votes/--learns", default=False, help="Voter or learner; add a new replica as a learner first."
)
@JSON_OPTION
def add(file: Path, name: str, peers: str, clients: str, votes: bool, as_json: bool) -> None:
    """Add a replica as a learner, or promote a learner to a voter."""
    _call_leader(_read_config(file), add_member_request(name, peers, clients, votes), as_json)


@members.command()
@FILE_ARGUMENT
@click.argument("name")
@JSON_OPTION
def remove(file: Path, name: str, as_json: bool) -> None:
    """Remove a replica."""
    _call_leader(_read_config(file), remove_member_request(name), as_json)


@store.command()
@FILE_ARGUMENT
@click.argument("to")
@JSON_OPTION
def transfer(file: Path, to: str, as_json: bool) -> None:
    """Transfer leadership to the replica named TO."""
    _call_leader(_read_config(file), TransferLeadershipRequest(to), as_json)


@store.command()
@FILE_ARGUMENT
@click.argument("configuration", type=EXISTING_FILE)
@JSON_OPTION
def configure(file: Path, configuration: Path, as_json: bool) -> None:
    """Commit CONFIGURATION, whose `settings` and `discovery` then apply to all replicas.

    A new discovery address takes effect at once; all other changes at the next start of each replica.
    """
    config, body = read_configuration(file, configuration)
    try:
        reply = commit_configuration(config, ConfigureRequest(body, getpass.getuser()))
    except ReplicaUnavailableError as error:
        exit_with_failure(error, as_json)
    exit_with_result(reply, as_json)


@store.command()
@FILE_ARGUMENT
@JSON_OPTION
def configurations(file: Path, as_json: bool) -> None:
    """List the retained versions, the latest last."""
    config = _read_config(file)
    try:
        versions = request_reply(
            config.name,
            config.replicas[config.name].peer,
            config.secret,
            ConfigurationsRequest(),
            list[ConfigurationRow],
        )
    except ReplicaUnavailableError as error:
        raise click.ClickException(error.reason) from error
    rows: list[WireMap] = [
        {"version": row.version, "by": row.by, "at": row.committed_at, "bytes": len(row.body)}
        for row in versions
    ]
    print_rows(rows, as_json)


@store.command()
@FILE_ARGUMENT
@click.argument("path", type=click.Path(path_type=Path))
@JSON_OPTION
def backup(file: Path, path: Path, as_json: bool) -> None:
    """Back up the store of this file's running replica to PATH on the replica's machine."""
    config = _read_config(file)
    call_for_result(config, config.name, BackupRequest(str(path.absolute())), as_json)


@store.command()
@FILE_ARGUMENT
@click.argument("path", type=EXISTING_FILE)
def restore(file: Path, path: Path) -> None:
    """Restore this replica's store from a backup. The replica must be stopped and its store empty.

    Everything committed after the backup is lost: restore all replicas together, from the same backup.
    """
    with closing(restore_backup(_read_config(file), path)) as storage:
        click.echo(f"restored {storage.path}")


@store.command()
@FILE_ARGUMENT
@JSON_OPTION
def inspect(file: Path, as_json: bool) -> None:
    """Show the contents of this machine's store and verify its checksums. The replica must be stopped."""
    try:
        inspection = inspect_storage(_read_config(file).folder)
    except (CorruptionError, StorageError, ClusterMismatchError) as error:
        raise click.ClickException(str(error)) from error
    print_row(msgspec.to_builtins(inspection), as_json)
