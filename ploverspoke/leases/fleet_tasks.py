"""Tasks of the whole fleet, each under a lease: publishing a configuration, writing the fleet's summary.

The process may be paused between the check of the lease and the effect; each function says what can happen
then. The receivers of both effects reject old fencing tokens.
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

from .admin_calls import CALL_TIMEOUT_S, call_admin
from .client import LeaseClient
from .errors import LeaseLostError, NoReplyError
from .guarded_task import GuardedStep, run_guarded_steps
from .messages import NO_TOKEN

MAX_CONCURRENT_CALLS = 32
LOCK_FILE_MODE = 0o644
MAX_WRITE_DURATION_NS = SECOND // 10  # to write a summary

ReplyT = TypeVar("ReplyT")


# ---- Publishing a configuration ----


async def publish(
    client: LeaseClient, name: str, commit: Callable[[int], ReplyT], timeout: float
) -> ReplyT | None:
    """Commit a configuration under the lease `name`, which must be held, and return the reply.

    `commit` blocks, and sends the token with the configuration. The store rejects a lower token than it has
    seen, so a publisher that was paused overwrites no later configuration. Returns None if `commit` did not
    return within `timeout` seconds; the configuration may have been committed then. Raises
    LeaseLostError, and the errors of `commit`.
    """
    started = False
    reply: ReplyT | None = None

    async def run_commit(token: int) -> None:
        """Run `commit` on a thread, and record that it was started."""
        nonlocal started, reply
        started = True
        reply = await asyncio.to_thread(commit, token)

    await run_guarded_steps(client, name, [GuardedStep(int(timeout * SECOND), run_commit)])
    if not started:
        raise LeaseLostError(name)
    return reply


# ---- The summary ----


class FleetSummary(msgspec.Struct):
    """The counters of all dispatchers at one time."""

    at: float  # Unix time, seconds
    asked: int  # number of dispatchers
    answered: int  # number of dispatchers that answered
    sums: dict[str, int]  # by counter, over all dispatchers
    dispatchers: dict[str, dict[str, int] | str]  # by admin address: counters, or an error message


class SummaryPlan(NamedTuple):
    """Which dispatchers are summarised, how often, and to which file."""

    admin_addresses: list[str]
    path: Path
    interval: float  # seconds
    max_files: int = 0  # ends after writing this many; 0: never


async def summarise(client: LeaseClient, name: str, plan: SummaryPlan) -> bool:
    """Write the summary repeatedly while the lease `name` is held, and wait while it is not.

    Returns True once `max_files` are written, False if the lease is rejected. A process that is paused
    between the check of the lease and the write may write an old summary, but never over one of a later
    holder.
    """
    written = 0
    while not 0 < plan.max_files <= written:
        token = await client.wait_until_held(name, plan.interval)
        if token:
            started_at = time.monotonic()
            written += await _write_once(client, name, plan)
            await asyncio.sleep(max(0.0, plan.interval - (time.monotonic() - started_at)))
        elif name not in client.holder.leases:
            return False
    return True


async def _write_once(client: LeaseClient, name: str, plan: SummaryPlan) -> bool:
    collected: list[FleetSummary] = []
    written = False

    async def collect(token: int) -> None:
        collected.append(await collect_summary(plan.admin_addresses))

    async def write(token: int) -> None:
        """Replace the file under the fencing token of the lease."""
        nonlocal written
        written = write_summary(plan.path, collected[0], token)

    # A batch of calls takes the whole call timeout if a dispatcher does not answer. The collection may take
    # at most half of the time that the lease has left.
    batches = 1 + len(plan.admin_addresses) // MAX_CONCURRENT_CALLS
    max_duration = min(int(CALL_TIMEOUT_S * batches * SECOND), client.time_left(name) // 2)
    steps = [GuardedStep(max_duration, collect), GuardedStep(MAX_WRITE_DURATION_NS, write)]
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
    answers = [answer for answer in dispatchers.values() if isinstance(answer, dict)]
    sums: dict[str, int] = {}
    for counters in answers:
        for key, value in counters.items():
            sums[key] = sums.get(key, 0) + value
    return FleetSummary(started_at, len(dispatchers), len(answers), sums, dispatchers)


def parse_counters(lines: list[str]) -> dict[str, int]:
    """Parse the lines that consist of a name and a whole number; skip all others."""
    counters = {}
    for line in lines:
        key, _, value = line.rpartition(" ")
        if key and value.isdecimal():
            counters[key] = int(value)
    return counters


def write_summary(path: Path, summary: FleetSummary, token: int) -> bool:
    """Replace the file atomically; return False if it was written under a higher token. Raises OSError."""
    with _locked(path):
        if token < read_summary_token(path):
            return False
        document = {"token": token, **msgspec.to_builtins(summary)}
        new_path = path.with_name(f".{path.name}.new")
        new_path.write_text(json.dumps(document, indent=1) + "\n", encoding="utf-8")
        new_path.replace(path)
        return True


def read_summary_token(path: Path) -> int:
    """Return the token under which a summary was written; 0 if there is no readable summary."""
    try:
        token = json.loads(path.read_text(encoding="utf-8"))["token"]
    except (OSError, ValueError, KeyError, TypeError):
        return NO_TOKEN
    return token if isinstance(token, int) else NO_TOKEN


@contextmanager
def _locked(path: Path) -> Iterator[None]:
    """Hold a lock file next to the file; the lock is also released when this process ends."""
    lock_path = path.with_name(f".{path.name}.lock")
    lock = os.open(lock_path, os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, LOCK_FILE_MODE)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield
    finally:
        os.close(lock)
