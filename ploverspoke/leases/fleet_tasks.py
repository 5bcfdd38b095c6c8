"""Tasks of the whole fleet, each under a lease: restarts a few at a time, configurations, its summary.

What a pause between look and effect can do stands at each; the receiving side of two of them refuses old
tokens.
"""

import asyncio
import fcntl
import json
import os
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from .client import LeaseClient
from .guarded_task import GuardedStep, act

SECOND = 1_000_000_000
CALL_WITHIN = 2.0  # seconds, at an operators' door
LONGEST_ANSWER = 1 << 20
LOOKS_EVERY = 0.2
TWICE = 2  # a restarted one has to answer so often in a row
AT_ONCE = 32  # doors that are asked at a time
LAST_LINE = "."


class NoReplyError(OSError):
    """An operators' door did not answer, or not with +OK."""


async def call(where: str, line: str) -> list[str]:
    """The lines behind +OK of an operators' door, the first line's rest included. Raises NoReplyError."""
    host, _, port = where.rpartition(":")
    try:
        async with asyncio.timeout(CALL_WITHIN):
            reader, writer = await asyncio.open_connection(host.strip("[]"), int(port), limit=LONGEST_ANSWER)
            writer.write(line.encode() + b"\n")
            answer = (await reader.read(LONGEST_ANSWER)).decode("ascii", "replace")
            writer.close()
    except (OSError, TimeoutError, ValueError) as error:
        raise NoReplyError(f"{where}: {error or 'no answer in time'}") from None
    lines = answer.splitlines()
    if not lines or not lines[0].startswith("+OK"):
        raise NoReplyError(f"{where}: {lines[0] if lines else 'nothing said'}")
    return [lines[0].removeprefix("+OK").strip(), *(row for row in lines[1:] if row != LAST_LINE)]


async def is_back(where: str, within: float) -> bool:
    """Whether a dispatcher that was restarted answers `check` at its operators' door, twice in a row."""
    until = time.monotonic() + within
    well = 0
    while time.monotonic() < until:
        try:
            await call(where, "check")
            well += 1
        except NoReplyError:
            well = 0
        if well == TWICE:
            return True
        await asyncio.sleep(LOOKS_EVERY)
    return False


# ---- Configurations ----


async def publish(
    client: LeaseClient,
    name: str,
    body: str,
    by: str,
    ask_leader: Callable[[dict[str, Any]], Any],
    takes: float,
) -> dict[str, Any]:
    """Commit a configuration in a store under the lease `name`, which is held; `takes` is seconds.

    The store refuses a lower token than it has seen: a publisher that was paused writes nothing over what
    came after it.
    """
    told: dict[str, Any] = {"done": False, "why": "the lease did not last"}

    async def commit(token: int) -> None:
        question = {"ask": "configure", "body": body, "by": by, "token": token}
        told.clear()
        told.update(await asyncio.to_thread(ask_leader, question))

    await act(client, name, [GuardedStep(int(takes * SECOND), commit)])
    return told


# ---- The summary ----


async def gather(doors: Iterable[str]) -> dict[str, Any]:
    """What each dispatcher says of itself (`vars`), or why not, and the sums of what all have."""
    turns = asyncio.Semaphore(AT_ONCE)

    async def one(where: str) -> tuple[str, dict[str, int] | str]:
        async with turns:
            try:
                return where, figures(await call(where, "vars"))
            except NoReplyError as error:
                return where, str(error)

    found = dict(await asyncio.gather(*(one(where) for where in doors)))
    sums: dict[str, int] = {}
    for told in found.values():
        for key, value in told.items() if isinstance(told, dict) else ():
            sums[key] = sums.get(key, 0) + value
    answered = sum(isinstance(told, dict) for told in found.values())
    return {"asked": len(found), "answered": answered, "sums": sums, "dispatchers": found}


def figures(lines: list[str]) -> dict[str, int]:
    """Lines of a name and a whole number; others are passed over."""
    found = {}
    for line in lines:
        key, _, value = line.rpartition(" ")
        if key and value.isdecimal():
            found[key] = int(value)
    return found


def put_whole(path: Path, told: dict[str, Any], token: int) -> bool:
    """Replace the file whole, unless it was written under a higher token; under a lock that ends with us.

    A pause between look and effect can write an old summary, never over one of a later holder.
    """
    lock = os.open(path.with_name(f".{path.name}.lock"), os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o644)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX)
        if token < written_under(path):
            return False
        new = path.with_name(f".{path.name}.new")
        new.write_text(json.dumps({"token": token, **told}, indent=1) + "\n", encoding="utf-8")
        new.replace(path)
        return True
    finally:
        os.close(lock)


def written_under(path: Path) -> int:
    """The token in a summary; 0 where there is none."""
    try:
        token = json.loads(path.read_text(encoding="utf-8"))["token"]
    except (OSError, ValueError, KeyError, TypeError):
        return 0
    return token if isinstance(token, int) else 0


async def summarise(
    client: LeaseClient,
    name: str,
    doors: list[str],
    path: Path,
    every: float,
    wrote: Callable[[int], None],
    over: Callable[[], bool] = lambda: False,
) -> None:
    """Write the summary every so many seconds, while the lease is ours; wait for it where it is not."""
    while not over():
        token = await client.held(name, every)
        if not token:
            if name not in client.holder.leases:
                return  # refused
            continue
        began = time.monotonic()
        told: dict[str, Any] = {}

        async def read(token: int) -> None:
            told.update(at=time.time(), **await gather(doors))  # noqa: B023

        async def write(token: int) -> None:
            if put_whole(path, told, token):  # noqa: B023
                wrote(token)

        # Doors are asked in turns, and a silent one costs a call's time; half of what is left has to do.
        reading = min(int(CALL_WITHIN * (1 + len(doors) // AT_ONCE) * SECOND), client.left(name) // 2)
        await act(client, name, [GuardedStep(reading, read), GuardedStep(SECOND // 10, write)])
        await asyncio.sleep(max(0.0, every - (time.monotonic() - began)))
