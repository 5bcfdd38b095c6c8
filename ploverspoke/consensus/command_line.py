"""Functions shared by the commands `store`, `lease` and `config`: options, calls, output, exit codes."""

import json
import sys
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from typing import NoReturn, TypeVar

import click
import msgspec

from ploverspoke.service.config_reader import ConfigError

from .admin_messages import AdminRequest, ResultReply, StatusRequest, StatusRow, WireMap, encode_reply
from .cluster_config import ReplicaConfig, initial_replica_id
from .errors import ConsensusError
from .framing import FrameError
from .replica_client import call_replica
from .storage import ClusterMismatchError, CorruptionError, ReplicaStorage, StorageError, restore_from_backup

EXISTING_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
FILE_ARGUMENT = click.argument("file", type=EXISTING_FILE)
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
NO_REPLY_ROLE = "no answer"
EXIT_NOT_DONE = 1

ConfigT = TypeVar("ConfigT")
ReplyT = TypeVar("ReplyT")
StatusT = TypeVar("StatusT", bound=StatusRow)


class ReplicaUnavailableError(ConsensusError):
    """A replica gave no usable reply; carries the name of the replica and the reason."""

    def __init__(self, name: str, reason: str) -> None:
        """`name` is the name of the replica in the configuration file."""
        super().__init__(f"{name}: {reason}")
        self.name = name
        self.reason = reason

    def row(self) -> WireMap:
        """Return a status row in place of the one that the replica did not send."""
        return {"name": self.name, "role": NO_REPLY_ROLE, "why": self.reason}


class NoLeaderError(click.ClickException):
    """No replica is the leader: ends the command with exit code 1."""

    def __init__(self) -> None:
        """State that there is no leader; the command `status` shows the reason."""
        super().__init__("no replica leads just now")


class UnusableBackupError(click.ClickException):
    """A backup cannot be restored: ends the command with exit code 1."""

    def __init__(self, cause: StorageError | CorruptionError) -> None:
        """`cause` says why the backup cannot be used."""
        super().__init__(f"the backup cannot be used: {cause}")
        self.cause = cause


def read_config_or_exit(read: Callable[[Path], ConfigT], path: Path) -> ConfigT:
    """Read a configuration file; an invalid one ends the command with exit code 2 and names the key."""
    try:
        return read(path)
    except ConfigError as error:
        raise click.UsageError(str(error)) from error


# ---- Calls ----


def request_reply(
    name: str, address: str, secret: bytes, request: AdminRequest, reply_type: type[ReplyT]
) -> ReplyT:
    """Send a request to the replica of that name and return the reply. Raises ReplicaUnavailableError."""
    try:
        return call_replica(address, secret, request, reply_type)
    except (OSError, FrameError) as error:
        raise ReplicaUnavailableError(name, str(error)) from error


def request_status(name: str, address: str, secret: bytes, status_type: type[StatusT]) -> StatusT:
    """Return a replica's status, or if it does not reply, a row of that type with the reason."""
    try:
        return request_reply(name, address, secret, StatusRequest(), status_type)
    except ReplicaUnavailableError as error:
        return status_type(name=name, role=NO_REPLY_ROLE, fields=error.row())


def find_leader(peer_addresses: Mapping[str, str], secret: bytes) -> str:
    """Return the name of the leader; `peer_addresses` are by name. Raises NoLeaderError."""
    for name, address in peer_addresses.items():
        if request_status(name, address, secret, StatusRow).leads:
            return name
    raise NoLeaderError


def call_for_result(config: ReplicaConfig, name: str, request: AdminRequest, as_json: bool) -> NoReturn:
    """Send a request to the replica of that name, print whether it was carried out, and exit with 0 or 1."""
    try:
        address = config.replicas[name].peer
        reply = request_reply(name, address, config.secret, request, ResultReply)
    except ReplicaUnavailableError as error:
        exit_with_failure(error, as_json)
    exit_with_result(reply, as_json)


# ---- Output ----


def print_rows(rows: Iterable[WireMap], as_json: bool) -> None:
    """Print rows: as one JSON list, or one line for each row."""
    if as_json:
        click.echo(json.dumps(list(rows), indent=2, default=str))
        return
    for row in rows:
        print_row(row, as_json)


def print_row(row: WireMap, as_json: bool) -> None:
    """Print one row: as JSON, or as a line of `key=value`."""
    if as_json:
        click.echo(json.dumps(row, indent=2, default=str))
    else:
        click.echo("  ".join(f"{key}={value}" for key, value in row.items() if key != "members"))


def exit_with_result(reply: ResultReply, as_json: bool) -> NoReturn:
    """Print whether a request was carried out, and end the command with exit code 0 or 1."""
    reason = reply.why if reply.why is not msgspec.UNSET else ""
    _print_result(reply.done, reason, encode_reply(reply), as_json)
    sys.exit(0 if reply.done else EXIT_NOT_DONE)


def exit_with_failure(error: ReplicaUnavailableError, as_json: bool) -> NoReturn:
    """Print why there was no reply and end the command with exit code 1."""
    _print_result(False, error.reason, error.row(), as_json)
    sys.exit(EXIT_NOT_DONE)


def _print_result(done: bool, reason: str, fields: WireMap, as_json: bool) -> None:
    if as_json:
        click.echo(json.dumps(fields))
    else:
        click.echo("done" if done else f"not done: {reason or 'it is not possible now'}")


# ---- Storage ----


def restore_backup(config: ReplicaConfig, backup: Path) -> ReplicaStorage:
    """Restore a backup into this replica's empty storage and return it open, for the caller to close.

    Ends the command with exit code 2 if the folder already holds a storage or the backup has another format
    version, and with 1 if the backup cannot be used for another reason.
    """
    try:
        return restore_from_backup(config.folder, backup, initial_replica_id(config.name))
    except ClusterMismatchError as error:
        raise click.UsageError(str(error)) from error
    except (CorruptionError, StorageError) as error:
        raise UnusableBackupError(error) from error
