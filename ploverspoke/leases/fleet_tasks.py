"""Tasks of the whole fleet, each under a lease: publishing a configuration, writing the fleet's summary.

What a pause between looking at the lease and the effect can do stands at each; the receiving side of both
rejects old fencing tokens.
"""

import asyncio
import fcntl
import json
import os
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import NamedTuple, TypeVar

import msgspec

from ploverspoke.transport.units import SECOND

from .admin_calls import CALL_TIMEOUT, call_admin
from .client import LeaseClient
from .errors import LeaseLostError, NoReplyError
from .guarded_task import GuardedStep, run_guarded_steps
from .messages import NO_TOKEN

MAX_CONCURRENT_CALLS = 32
LOCK_FILE_MODE = 0o644
WRITE_DURATION = SECOND // 10  # ns, to write a summary

ReplyT = TypeVar("ReplyT")


# ---- Publishing a configuration ----


async def publish(
    client: LeaseClient, name: str, commit: Callable[[int], ReplyT], max_duration: float
) -> ReplyT | None:
    """Commit a configuration under the lease `name`, which is held, and return the reply.

    `commit` blocks, and sends the token with the configuration: the store rejects a lower token than it has
    seen, so a publisher that was paused overwrites nothing that came later. None where `commit` did not
    return within `max_duration` seconds: it may have been committed. Raises LeaseLostError, and what
    `commit` raises.
    """
    started = False
    reply: ReplyT | None = None

    async def run_commit(token: int) -> None:
        """Commit on a thread of its own, and note that this has begun."""
        nonlocal started, reply
        started = True
        reply = await asyncio.to_thread(commit, token)

    await run_guarded_steps(client, name, [GuardedStep(int(max_duration * SECOND), run_commit)])
    if not started:
        raise LeaseLostError(name)
    return reply


# ---- The summary ----


class FleetSummary(msgspec.Struct):
    """The counters of all dispatchers at one time."""

    at: float  # Unix time, seconds
    asked: int  # dispatchers
    answered: int
    sums: dict[str, int]  # of each counter, over all dispatchers
    dispatchers: dict[str, dict[str, int] | str]  # counters, or why there are none, by admin address


class SummaryPlan(NamedTuple):
    """What is summarised, and to which file."""

    admin_addresses: list[str]
    path: Path
    interval: float  # seconds
    max_files: int = 0  # written, then it ends; 0: it goes on


async def summarise(client: LeaseClient, name: str, plan: SummaryPlan) -> bool:
    """Write the summary again and again while the lease `name` is held, and wait while it is not.

    True once `max_files` are written; False where the lease is rejected. A pause between looking at the lease
    and the effect can write an old summary, never over one of a later holder.
    """
    written = 0
    while not 0 < plan.max_files <= written:
        token = await client.wait_until_held(name, plan.interval)
        if token:
            began = time.monotonic()
            written += await _write_once(client, name, plan)
            await asyncio.sleep(max(0.0, plan.interval - (time.monotonic() - began)))
        elif name not in client.holder.leases:
            return False
    return True


async def _write_once(client: LeaseClient, name: str, plan: SummaryPlan) -> bool:
    collected: list[FleetSummary] = []
    written = False

    async def collect(token: int) -> None:
        collected.append(await collect_summary(plan.admin_addresses))

    async def write(token: int) -> None:
        """Replace the file, under the token of the lease."""
        nonlocal written
        written = write_summary(plan.path, collected[0], token)

    # Addresses are called in turns, and a silent one costs a call's time; half of what is left must do.
    turns = 1 + len(plan.admin_addresses) // MAX_CONCURRENT_CALLS
    max_duration = min(int(CALL_TIMEOUT * turns * SECOND), client.time_left(name) // 2)
    steps = [GuardedStep(max_duration, collect), GuardedStep(WRITE_DURATION, write)]
    await run_guarded_steps(client, name, steps)
    return written


async def collect_summary(admin_addresses: Iterable[str]) -> FleetSummary:
    """Ask each dispatcher for its counters (`vars`), and add them up."""
    started_at = time.time()
    concurrency = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

    async def read_counters(address: str) -> tuple[str, dict[str, int] | str]:
        async with concurrency:
            try:
                return address, parse_counters(await call_admin(address, "vars"))
            except NoReplyError as error:
                return address, str(error)

    dispatchers = dict(await asyncio.gather(*map(read_counters, admin_addresses)))
    counters = [found for found in dispatchers.values() if isinstance(found, dict)]
    sums: dict[str, int] = {}
    for found in counters:
        for key, value in found.items():
            sums[key] = sums.get(key, 0) + value
    return FleetSummary(started_at, len(dispatchers), len(counters), sums, dispatchers)


def parse_counters(lines: list[str]) -> dict[str, int]:
    """Read lines of a name and a whole number; leave out others."""
    found = {}
    for line in lines:
        key, _, value = line.rpartition(" ")
        if key and value.isdecimal():
            found[key] = int(value)
    return found


def write_summary(path: Path, summary: FleetSummary, token: int) -> bool:
    """Replace the file at once; return False where it was written under a higher token. Raises OSError."""
    with _locked(path):
        if token < read_summary_token(path):
            return False
        document = {"token": token, **msgspec.to_builtins(summary)}
        new = path.with_name(f".{path.name}.new")
        new.write_text(json.dumps(document, indent=1) + "\n", encoding="utf-8")
        new.replace(path)
        return True


def read_summary_token(path: Path) -> int:
    """Return the token under which a summary was written; 0 where there is no summary that can be read."""
    try:
        token = json.loads(path.read_text(encoding="utf-8"))["token"]
    except (OSError, ValueError, KeyError, TypeError):
        return NO_TOKEN
    return token if isinstance(token, int) else NO_TOKEN


@contextmanager
def _locked(path: Path) -> Iterator[None]:
    """Hold a lock beside the file, which the end of this process frees, too."""
    lock_path = path.with_name(f".{path.name}.lock")
    lock = os.open(lock_path, os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, LOCK_FILE_MODE)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield
    finally:
        os.close(lock)
