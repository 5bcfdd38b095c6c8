"""`ploverspoke lease list`, `show`, `watch` and `status`: the state of leases and lease servers."""

import json
import sys
import time
from pathlib import Path

import click
import msgspec

from ploverspoke.consensus.command_line import FILE_ARGUMENT, JSON_OPTION, print_rows, request_status

from .admin_messages import HeldLease, LeaseListing, LeaseStatusRow
from .command_options import (
    EXIT_NO_LEADER,
    EXIT_NOT_HELD,
    NAME_ARGUMENT,
    read_servers_or_exit,
    request_listing_or_exit,
)

POLL_INTERVAL_S = 0.5


class LeaseRow(msgspec.Struct):
    """The displayed state of one lease."""

    name: str
    held: list[HeldLease]  # in the order of their tokens
    waiting: list[str]  # holders, the next one first

    def describe(self) -> str:
        """Return one line of text."""
        held = ", ".join(
            f"{lease.holder} (token {lease.token}, expires in {lease.expires_in_ms} ms)"
            for lease in self.held
        )
        return f"{self.name}: {held or 'held by nobody'}; {len(self.waiting)} wait"


def lease_row(listing: LeaseListing, name: str) -> LeaseRow:
    """Return the holders of one lease and those that wait for it; empty if the lease is unknown."""
    held = sorted((lease for lease in listing.held if lease.name == name), key=lambda lease: lease.token)
    return LeaseRow(name, held, listing.waiting.get(name, []))


@click.command(name="list")
@FILE_ARGUMENT
@JSON_OPTION
def list_leases(file: Path, as_json: bool) -> None:
    """All leases that are held or waited for, and those that are declared."""
    listing = request_listing_or_exit(read_servers_or_exit(file))
    names = {lease.name for lease in listing.held} | set(listing.waiting)
    rows = [lease_row(listing, name) for name in sorted(names)]
    if as_json:
        document = {"leases": rows, "declared": listing.declared}
        click.echo(json.dumps(msgspec.to_builtins(document), indent=2))
        return
    for row in rows:
        click.echo(row.describe())
    for name, lease in listing.declared.items():
        click.echo(f"declared: {name}, {lease.max_holders} places, {lease.max_duration_ms} ms at the most")


@click.command()
@FILE_ARGUMENT
@NAME_ARGUMENT
@JSON_OPTION
def show(file: Path, name: str, as_json: bool) -> None:
    """One lease, and the holders that wait for it in their order. Exit 1 if nobody holds it."""
    row = lease_row(request_listing_or_exit(read_servers_or_exit(file)), name)
    if as_json:
        click.echo(json.dumps(msgspec.to_builtins(row), indent=2))
    else:
        click.echo(row.describe())
        for position, holder in enumerate(row.waiting, 1):
            click.echo(f"  {position}. {holder}")
    sys.exit(0 if row.held else EXIT_NOT_HELD)


@click.command()
@FILE_ARGUMENT
@NAME_ARGUMENT
@click.option("--changes", type=int, default=0, help="Exit after this many changes; 0: never.")
@JSON_OPTION
def watch(file: Path, name: str, changes: int, as_json: bool) -> None:
    """Print the holders of a lease, and each change of them, at most twice a second."""
    servers = read_servers_or_exit(file)
    previous: list[HeldLease] | None = None
    printed = 0
    while True:
        held = lease_row(request_listing_or_exit(servers), name).held
        if previous is None or _holders(held) != _holders(previous):
            previous, printed = held, printed + 1
            _print_change(name, held, as_json)
            if printed == changes:
                return
        time.sleep(POLL_INTERVAL_S)


def _holders(held: list[HeldLease]) -> list[list[str | int]]:
    return [[lease.holder, lease.token] for lease in held]


def _print_change(name: str, held: list[HeldLease], as_json: bool) -> None:
    if as_json:
        click.echo(json.dumps({"name": name, "at": time.time(), "held": _holders(held)}))
    else:
        holders = ", ".join(f"{lease.holder} under {lease.token}" for lease in held)
        click.echo(f"{name}: {holders or 'nobody'}")


@click.command()
@FILE_ARGUMENT
@JSON_OPTION
def status(file: Path, as_json: bool) -> None:
    """The status of each lease server. Exit 3 if none leads."""
    servers = read_servers_or_exit(file)
    rows = [
        request_status(name, address, servers.secret, LeaseStatusRow)
        for name, address in servers.peer_addresses.items()
    ]
    print_rows([row.fields for row in rows], as_json)
    sys.exit(0 if any(row.is_leader for row in rows) else EXIT_NO_LEADER)
