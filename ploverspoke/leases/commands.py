"""`ploverspoke lease`: look at leases, hold one, run a command under one."""

import asyncio
import contextlib
import ctypes
import json
import os
import signal
import socket
import sys
import time
from collections.abc import Callable, Coroutine, Sequence
from pathlib import Path
from typing import Any

import click

from ploverspoke.consensus.admin_messages import BackupRequest, StatusRow, WireMap, encode_reply
from ploverspoke.consensus.command_line import (
    FILE_ARGUMENT,
    JSON_OPTION,
    ReplicaUnavailableError,
    call_for_result,
    print_rows,
    read_config_or_exit,
    request_status,
    restore_backup,
)
from ploverspoke.consensus.framing import FrameError
from ploverspoke.consensus.replica_client import send_admin_request

from .client import LeaseClient
from .config import LeaseServers, read_lease_server_config, read_lease_servers
from .fleet_tasks import is_back, summarise
from .fleet_tasks import publish as publish_task
from .server_node import EPOCH_KEY

FILE, JSON = FILE_ARGUMENT, JSON_OPTION
NOT_HELD, NO_KEEPER, LEASE_ENDED, NOT_BACK = 1, 3, 4, 5
FOR = click.option("--for", "seconds", type=float, default=30.0, show_default=True, help="Its duration, s.")
AS = click.option("--as", "holder", default=socket.gethostname, help="The holder's name; a start is added.")
POLL = 0.5
PR_SET_PDEATHSIG = 1


@click.group()
def lease() -> None:
    """Leases for tasks of the whole fleet. FILE is the file of any keeper, or one with `replicas` and
    `secret_file` alone.

    Exit 0: done. 1: not held, or not there. 2: the call or the file is of no use. 3: no keeper leads.
    """


def _keepers(file: Path) -> LeaseServers:
    return read_config_or_exit(read_lease_servers, file)


def _ask_leader(keepers: LeaseServers) -> dict[str, Any]:
    """What the leading keeper knows. Ends the call with 3 where none leads."""
    why = []
    for name, where in keepers.peers.items():
        try:
            told = send_admin_request(where, keepers.secret, {"ask": "leases"})
        except (OSError, FrameError) as error:
            why.append(f"{name}: {error}")
            continue
        if told.get("leads"):
            found: dict[str, Any] = told
            return found
        why.append(f"{name} does not lead")
    click.echo(f"ploverspoke: no keeper leads: {'; '.join(why)}", err=True)
    sys.exit(NO_KEEPER)


def _rows(told: dict[str, Any]) -> list[dict[str, Any]]:
    """By name, and within one by token."""
    names = {row["name"] for row in told["held"]} | set(told["waiting"])
    return [
        {
            "name": name,
            "held": sorted((r for r in told["held"] if r["name"] == name), key=lambda r: int(r["token"])),
            "waiting": told["waiting"].get(name, []),
        }
        for name in sorted(names)
    ]


def _line(row: dict[str, Any]) -> str:
    held = ", ".join(f"{r['holder']} (token {r['token']}, over in {r['over_in_ms']} ms)" for r in row["held"])
    return f"{row['name']}: {held or 'held by nobody'}; {len(row['waiting'])} wait"


@lease.command(name="list")
@FILE
@JSON
def list_(file: Path, as_json: bool) -> None:
    """All leases that are held or waited for, and those that are declared."""
    told = _ask_leader(_keepers(file))
    if as_json:
        click.echo(json.dumps({"leases": _rows(told), "declared": told["declared"]}, indent=2))
        return
    for row in _rows(told):
        click.echo(_line(row))
    for name, rule in told["declared"].items():
        click.echo(f"declared: {name}, {rule['places']} places, {rule['longest_ms']} ms at the most")


@lease.command()
@FILE
@click.argument("name")
@JSON
def show(file: Path, name: str, as_json: bool) -> None:
    """One lease, and who waits for it in their order. Exit 1 where nobody holds it."""
    row = next((r for r in _rows(_ask_leader(_keepers(file))) if r["name"] == name), None)
    row = row or {"name": name, "held": [], "waiting": []}
    click.echo(json.dumps(row, indent=2) if as_json else _line(row))
    if not as_json:
        for place, holder in enumerate(row["waiting"], 1):
            click.echo(f"  {place}. {holder}")
    sys.exit(0 if row["held"] else NOT_HELD)


@lease.command()
@FILE
@click.argument("name")
@click.option("--changes", type=int, default=0, help="End after so many; 0: go on.")
@JSON
def watch(file: Path, name: str, changes: int, as_json: bool) -> None:
    """Say each time when another holds it, twice a second at the most."""
    keepers, known, seen = _keepers(file), None, 0
    while True:
        row = next((r for r in _rows(_ask_leader(keepers)) if r["name"] == name), None)
        held = [[r["holder"], r["token"]] for r in row["held"]] if row is not None else []
        if held != known:
            known, seen = held, seen + 1
            shown = {"name": name, "at": time.time(), "held": held}
            text = ", ".join(f"{holder} under {token}" for holder, token in held) or "nobody"
            click.echo(json.dumps(shown) if as_json else f"{name}: {text}")
            if seen == changes:
                return
        time.sleep(POLL)


def _with_client(
    keepers: LeaseServers, holder: str, start: str, use: Callable[[LeaseClient], Coroutine[Any, Any, int]]
) -> int:
    async def whole() -> int:
        client = LeaseClient(keepers, holder, start)
        try:
            return await use(client)
        finally:
            await client.close()

    return asyncio.run(whole())


@lease.command()
@FILE
@click.argument("name")
@FOR
@AS
@click.option(
    "--wait", type=float, default=0.0, help="Seconds for which it is waited for, beside a second to ask."
)
@JSON
def acquire(file: Path, name: str, seconds: float, holder: str, wait: float, as_json: bool) -> None:
    """Take a lease for its duration and leave it so: it is over by itself, or by `release`.

    Prints holder and token, and for how long it is certainly held. Exit 1 where it is not had.
    """
    told: dict[str, Any] = {}
    start = os.urandom(6).hex()

    async def use(client: LeaseClient) -> int:
        held = client.want(name, int(seconds * 1e9))
        held.on_lost = lambda why: told.update(why=why)
        token = await client.held(name, 1.0 + wait)
        told.update(name=name, holder=client.me, token=token, left_s=client.left(name) / 1e9)
        client.holder.leases.clear()  # not released at the end: that is for whoever asked
        return 0 if token else NOT_HELD

    code = _with_client(_keepers(file), holder, start, use)
    if as_json:
        click.echo(json.dumps(told))
    elif code == 0:
        click.echo(
            f"{name} is held by {told['holder']} under token {told['token']} for {told['left_s']:.1f} s"
        )
    else:
        click.echo(f"{name} is not had: {told.get('why', 'others hold it, or no keeper answers')}")
    sys.exit(code)


@lease.command()
@FILE
@click.argument("name")
@click.option("--holder", required=True, help="As `acquire` said it: NAME/START.")
@click.option("--token", type=int, required=True)
@JSON
def release(file: Path, name: str, holder: str, token: int, as_json: bool) -> None:
    """Give a lease back before its time. Exit 1 where that holder does not hold it under that token."""
    keepers = _keepers(file)
    who, _, start = holder.rpartition("/")

    async def use(client: LeaseClient) -> int:
        client.give_back(name, token)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(2.0):
                while client.holder.releasing:
                    await asyncio.sleep(0.02)
        return 0

    def is_held() -> bool:
        return any(
            (row["name"], row["holder"], row["token"]) == (name, holder, token)
            for row in _ask_leader(keepers)["held"]
        )

    done = is_held()
    if done:
        _with_client(keepers, who, start, use)
        done = not is_held()
    if as_json:
        click.echo(json.dumps({"done": done}))
    else:
        click.echo("released" if done else f"{holder} does not hold {name} under token {token}")
    sys.exit(0 if done else NOT_HELD)


@lease.command()
@FILE
@click.argument("name")
@click.argument("command", nargs=-1, required=True, type=click.UNPROCESSED)
@FOR
@AS
@click.option("--wait", type=float, default=3600.0, show_default=True, help="Seconds to wait for it.")
@click.option("--grace", type=float, default=2.0, show_default=True, help="Seconds from TERM to KILL.")
def run(
    file: Path, name: str, command: tuple[str, ...], seconds: float, holder: str, wait: float, grace: float
) -> None:
    """Run COMMAND under a lease: `lease run FILE NAME -- COMMAND`. Its token is in PLOVERSPOKE_LEASE_TOKEN.

    When the lease cannot be renewed the command is ended before it is over: TERM, then KILL after the grace.
    Should this process be killed, so is the command. Exit: the command's own; 1 where the lease was not had,
    4 where the command was ended for its sake.
    """
    duration, patience = int(seconds * 1e9), int(grace * 1e9)
    if patience * 4 > duration:
        raise click.UsageError(f"--grace {grace:g}: at most a quarter of --for {seconds:g}")

    async def use(client: LeaseClient) -> int:
        token, process = await _begin_under(client, name, duration, wait, command)
        if process is None:
            return NOT_HELD
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, process.send_signal, number)
        return await _guard(client, name, token, process, patience)

    sys.exit(_with_client(_keepers(file), holder, "", use))


async def _begin_under(
    client: LeaseClient, name: str, duration: int, wait: float, command: Sequence[str]
) -> tuple[int, asyncio.subprocess.Process | None]:
    """The command, begun under the lease with its token; none where it is not had in time."""
    client.want(name, duration)
    token = await client.held(name, wait)
    if not token:
        click.echo(f"ploverspoke: {name} is not had", err=True)
        return 0, None
    environment = {**os.environ, "PLOVERSPOKE_LEASE_TOKEN": str(token)}
    return token, await asyncio.create_subprocess_exec(*command, env=environment, preexec_fn=_ends_with_us)


async def _guard(
    client: LeaseClient, name: str, token: int, process: asyncio.subprocess.Process, patience: int
) -> int:
    """Waits for its end, and makes it while the lease still has `patience` (ns) left."""
    ended = asyncio.ensure_future(process.wait())
    told = False
    while not ended.done():
        left = client.left(name) if client.token(name) == token else 0
        if left <= patience // 4:
            if process.returncode is None:
                process.kill()
            await ended
            return LEASE_ENDED
        if left <= patience + patience // 4 and not told:
            told = True
            click.echo(f"ploverspoke: {name} cannot be renewed, the command is ended", err=True)
            with contextlib.suppress(ProcessLookupError):
                process.terminate()
        bound = patience // 4 if told else patience + patience // 4
        await asyncio.wait([ended], timeout=max(0.01, min(0.25, (left - bound) / 1e9)))
    code = ended.result()
    return LEASE_ENDED if told else code if code >= 0 else 128 - code


def _ends_with_us() -> None:
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


@lease.command()
@FILE
@click.argument("name")
@click.argument("command", nargs=-1, required=True, type=click.UNPROCESSED)
@click.option("--ready", required=True, help="The operators' door (admin_addr) of what is restarted.")
@click.option("--within", type=float, default=30.0, show_default=True, help="Seconds for it to be back.")
@FOR
@AS
@click.option("--wait", type=float, default=3600.0, show_default=True, help="Seconds to wait for a place.")
def restart(
    file: Path,
    name: str,
    command: tuple[str, ...],
    ready: str,
    within: float,
    seconds: float,
    holder: str,
    wait: float,
) -> None:
    """Restart a dispatcher under one place of a lease: `lease restart FILE NAME --ready A:P -- COMMAND`

    COMMAND restarts it, or makes it take a new configuration; the place is given back once its operators'
    door answers `check`. Exit: 0; 1 where no place was had; 4 where the lease was lost; 5 where COMMAND
    failed or it is not back in time: then the place comes back by the lease's time, and not all follow at
    once.
    """

    async def use(client: LeaseClient) -> int:
        token, process = await _begin_under(client, name, int(seconds * 1e9), wait, command)
        if process is None:
            return NOT_HELD
        code = await _guard(client, name, token, process, int(seconds * 1e9 / 8))
        if code == 0 and await is_back(ready, within):
            return 0 if client.token(name) == token else LEASE_ENDED
        why = f"the command gave {code}" if code else f"{ready} is not back within {within:g} s"
        click.echo(f"ploverspoke: {why}; the place is given back by its time", err=True)
        client.holder.leases.clear()
        return LEASE_ENDED if code == LEASE_ENDED else NOT_BACK

    sys.exit(_with_client(_keepers(file), holder, "", use))


@lease.command()
@FILE
@click.argument("name")
@click.argument("store_file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.argument("configuration", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@FOR
@AS
@click.option("--wait", type=float, default=60.0, show_default=True, help="Seconds to wait for the lease.")
@JSON
def publish(
    file: Path,
    name: str,
    store_file: Path,
    configuration: Path,
    seconds: float,
    holder: str,
    wait: float,
    as_json: bool,
) -> None:
    """Commit CONFIGURATION in the store of STORE_FILE under a lease, as `store configure` does without.

    The store refuses what comes under a lower token than it has seen, and from then on what comes without.
    Exit 1 where it was not taken.
    """
    from ploverspoke.store.admin_messages import ConfigureRequest
    from ploverspoke.store.configuration_client import commit_configuration, read_configuration

    keepers = _keepers(file)
    orders, body = read_configuration(store_file, configuration)

    def configure(question: dict[str, Any]) -> WireMap:
        request = ConfigureRequest(question["body"], question["by"], question["token"])
        try:
            return encode_reply(commit_configuration(orders, request))
        except ReplicaUnavailableError as error:
            return error.row()

    async def use(client: LeaseClient) -> int:
        client.want(name, int(seconds * 1e9))
        if not await client.held(name, wait):
            told: dict[str, Any] = {"done": False, "why": f"{name} is not had"}
        else:
            told = await publish_task(client, name, body, client.me, configure, seconds / 3)
        said = f"version {told.get('version')}" if told.get("done") else f"not done: {told.get('why')}"
        click.echo(json.dumps(told) if as_json else said)
        return 0 if told.get("done") else NOT_HELD

    sys.exit(_with_client(keepers, holder, "", use))


@lease.command()
@FILE
@click.argument("name")
@click.option(
    "--from", "doors", multiple=True, required=True, help="Operators' door of a dispatcher; repeated."
)
@click.option(
    "--to", "path", type=click.Path(path_type=Path), required=True, help="The file, replaced whole."
)
@click.option("--every", type=float, default=10.0, show_default=True, help="Seconds.")
@FOR
@AS
@click.option("--times", type=int, default=0, help="End after so many files; 0: go on.")
def summary(
    file: Path,
    name: str,
    doors: tuple[str, ...],
    path: Path,
    every: float,
    seconds: float,
    holder: str,
    times: int,
) -> None:
    """Write the figures of all dispatchers and their sums to one file, while the lease is ours.

    Started on several machines, one of them writes and the others wait. The file holds the token, and is
    never replaced by one of an earlier holder. Exit 1 where the lease is refused.
    """
    wrote: list[int] = []

    async def use(client: LeaseClient) -> int:
        held = client.want(name, int(seconds * 1e9))
        held.on_lost = lambda why: click.echo(f"{name}: {why}", err=True)

        def over() -> bool:
            return 0 < times <= len(wrote)

        await summarise(client, name, list(doors), path, every, wrote.append, over)
        return 0 if over() else NOT_HELD

    sys.exit(_with_client(_keepers(file), holder, "", use))


@lease.command()
@FILE
@JSON
def status(file: Path, as_json: bool) -> None:
    """What each keeper says of itself. Exit 3 where none leads."""
    keepers = _keepers(file)
    rows = [
        request_status(name, where, keepers.secret, StatusRow).fields for name, where in keepers.peers.items()
    ]
    print_rows(rows, as_json)
    sys.exit(0 if any(row.get("leading") for row in rows) else NO_KEEPER)


@lease.command()
@FILE
@click.argument("path", type=click.Path(path_type=Path))
@JSON
def backup(file: Path, path: Path, as_json: bool) -> None:
    """Copy what the keeper of this FILE keeps, while it runs, to PATH on its machine. Exit 1: not done."""
    orders = read_config_or_exit(read_lease_server_config, file).replica
    call_for_result(orders, orders.name, BackupRequest(str(path.absolute())), as_json)


@lease.command()
@FILE
@click.argument("path", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def restore(file: Path, path: Path) -> None:
    """Put a backup in the place of what this FILE's keeper keeps, which must not run and must be empty.

    For all keepers together, from one backup. A new era of tokens begins, above all that were given; nothing
    is given until the longest lease is over.
    """
    orders = read_config_or_exit(read_lease_server_config, file).replica
    disk = restore_backup(orders, path)
    # Above every era that was begun before, as long as clocks do not go back between two restores.
    era = max((disk.load_value(EPOCH_KEY) or 0) + 1, int(time.time()))
    disk.save_value(EPOCH_KEY, era)
    disk.close()
    click.echo(f"restored {disk.path}, era {era}")
