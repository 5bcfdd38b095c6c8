"""Measures how long a drain stays unknown to dispatchers, by kind of discovery failure.

`python -m ploverspoke.testbed.scenarios.endpoint_list_age` prints the table.
"""

import asyncio
import statistics
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import click
import uvloop

from ..fakes.discovery_protocol import ListedEndpoint
from ..fakes.faulty_discovery import CallQueue, Failure, ScriptedDiscovery
from ..processes.dispatcher_process import DispatcherProcess

FLEETS = (1, 30, 177, 1000)
TRIES = 4
AT_ONCE = 16  # processes
LONGEST = 25.0  # seconds that one is waited for
OUTAGE = 4.0  # seconds
CROWD = 40
CROWD_QUEUE_CAPACITY = 20
CROWD_OUTAGE = 3.0
COUNTED_AFTER = 10.0  # seconds after the outage in which calls are counted
ENTRIES = [
    ListedEndpoint(id=f"w{n}", addr="127.0.0.1:9", zone="a", kind="plain", state="Ready", started_ms=0)
    for n in range(2)
]


class Case:
    """One dispatcher and its discovery, or two where a new configuration moves it."""

    def __init__(self, discovery: ScriptedDiscovery, dispatcher: DispatcherProcess) -> None:
        self.discovery = discovery
        self.dispatcher = dispatcher

    async def move(self, failures: int) -> None:
        """Another discovery from now on, whose first calls are rejected."""
        self.discovery.close()
        self.discovery = ScriptedDiscovery(ENTRIES)
        self.discovery.next_failures.extend([Failure.REJECTED] * failures)
        self.dispatcher.move_discovery(await self.discovery.address_for(0))


Fault = Callable[[Case], Awaitable[None]]


def failing_watch(*failures: Failure) -> Fault:
    """The open watch and the calls after it fail."""

    async def fault(case: Case) -> None:
        case.discovery.fail_watches(*failures)

    return fault


def moving(failures: int) -> Fault:
    """A new configuration, with so many rejections at the new address."""
    return lambda case: case.move(failures)


def failing_for_a_while(failure: Failure | None) -> Fault:
    """An outage."""
    return lambda case: case.discovery.fail_for(failure, OUTAGE)


FAULTS: dict[str, Fault] = {
    "one call answered 503": failing_watch(Failure.REJECTED),
    "two in a row answered 503": failing_watch(*[Failure.REJECTED] * 2),
    "three in a row answered 503": failing_watch(*[Failure.REJECTED] * 3),
    "new configuration, first call there answered 503": moving(1),
    "the same, three in a row": moving(3),
    "reset twice, then 503": failing_watch(Failure.RESET, Failure.RESET, Failure.REJECTED),
    "a watch falls silent once": failing_watch(Failure.SILENT),
    "a watch falls silent, the next call 503": failing_watch(Failure.SILENT, Failure.REJECTED),
    "a watch falls silent, and the next call, too": failing_watch(Failure.SILENT, Failure.SILENT),
    "reset for 4 s": failing_for_a_while(Failure.RESET),
    "refused for 4 s": failing_for_a_while(None),
    "invalid answers for 4 s": failing_for_a_while(Failure.INVALID),
    "503 for 4 s": failing_for_a_while(Failure.REJECTED),
}


async def list_age(fault: Fault, fleet: int, seed: int, folder: Path) -> float:
    """Seconds from a drain until discovery has written it to the dispatcher.

    The drain comes with the first of some failures, or at the end of an outage.
    """
    loop, discovery = asyncio.get_running_loop(), ScriptedDiscovery(ENTRIES)
    dispatcher = DispatcherProcess(folder, 0, await discovery.address_for(0), seed, PeersTotal=fleet)
    case = Case(discovery, dispatcher)
    try:
        await dispatcher.start()
        await watching(discovery, 0)
        await fault(case)
        drained_at, version = loop.time(), case.discovery.change("w0", "Terminating")
        until = drained_at + LONGEST
        while case.discovery.written_at(0, version) is None and loop.time() < until:
            await asyncio.sleep(0.01)
        written = case.discovery.written_at(0, version)
        return LONGEST if written is None else written - drained_at
    finally:
        await dispatcher.kill()
        case.discovery.close()


async def watching(discovery: ScriptedDiscovery, dispatcher: int) -> None:
    """Wait until the dispatcher has the list and asks for changes."""
    async with asyncio.timeout(60):
        while not any(each.dispatcher == dispatcher and each.version for each in discovery.calls):
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.3)


async def table_of_faults() -> None:
    """Print the table of failures by fleet size."""
    limit = asyncio.Semaphore(AT_ONCE)

    async def cell(fault: Fault, fleet: int) -> str:
        async def one(seed: int) -> float:
            async with limit:
                with tempfile.TemporaryDirectory() as folder:
                    return await list_age(fault, fleet, seed, Path(folder))

        ages = await asyncio.gather(*(one(fleet * 100 + seed) for seed in range(TRIES)))
        return f"{min(ages):.1f} to {max(ages):.1f}"

    rows = await asyncio.gather(
        *(asyncio.gather(*(cell(fault, fleet) for fleet in FLEETS)) for fault in FAULTS.values())
    )
    print("| what failed | " + " | ".join(f"fleet of {fleet}" for fleet in FLEETS) + " |")
    print("| --- |" + " --- |" * len(FLEETS))
    for name, cells in zip(FAULTS, rows, strict=True):
        print(f"| {name} | " + " | ".join(cells) + " |")


async def crowd(queue: CallQueue, is_refusing: bool) -> str:
    """A row: a fleet whose discovery works through a queue of calls comes back from an outage."""
    loop, discovery = asyncio.get_running_loop(), ScriptedDiscovery(ENTRIES)
    with tempfile.TemporaryDirectory() as folder:
        dispatchers = [
            DispatcherProcess(Path(folder), n, await discovery.address_for(n), n + 1, PeersTotal=CROWD)
            for n in range(CROWD)
        ]
        try:
            for part in range(0, CROWD, 8):
                await asyncio.gather(*(each.start() for each in dispatchers[part : part + 8]))
            await asyncio.gather(*(watching(discovery, n) for n in range(CROWD)))
            discovery.queue = queue
            began_at = loop.time()
            if is_refusing:
                await discovery.refuse()
            else:
                discovery.outage = Failure.REJECTED
                discovery.wake_watches()
            await asyncio.sleep(CROWD_OUTAGE)
            discovery.outage = None
            version, back_at = discovery.change("w0", "Terminating"), loop.time()
            if is_refusing:
                await discovery.listen_again()
            await asyncio.sleep(LONGEST)
        finally:
            await asyncio.gather(*(each.kill() for each in dispatchers))
            discovery.close()
    return _crowd_row(discovery, queue, is_refusing, version, began_at, back_at)


def _crowd_row(
    discovery: ScriptedDiscovery,
    queue: CallQueue,
    is_refusing: bool,
    version: int,
    began_at: float,
    back_at: float,
) -> str:
    heard: list[Any] = [discovery.written_at(n, version) for n in range(CROWD)]
    times = sorted(LONGEST if at is None else at - back_at for at in heard)
    during = sum(began_at <= call.at < back_at for call in discovery.calls) / CROWD_OUTAGE
    after = sum(back_at <= call.at < back_at + COUNTED_AFTER for call in discovery.calls) / COUNTED_AFTER
    return (
        f"| {queue.service_time * 1000:.0f} ms | {'yes' if queue.rejections_are_served else 'no'} | "
        f"{'refused' if is_refusing else '503'} | {statistics.median(times):.1f} | {times[-1]:.1f} | "
        f"{'not seen' if is_refusing else f'{during:.1f}'} | {after:.1f} |"
    )


async def table_of_crowds() -> None:
    """Print the table of a fleet at a discovery that comes back."""
    print("| a call | rejections are served | while down | median | last | calls/s down | calls/s after |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for service_time in (0.05, 0.125):
        for are_served in (False, True):
            for is_refusing in (True, False):
                print(
                    await crowd(CallQueue(service_time, CROWD_QUEUE_CAPACITY, are_served), is_refusing),
                    flush=True,
                )


@click.command()
@click.option("--crowd", "is_crowd", is_flag=True, help="The table of a crowd in place of that of faults.")
def main(is_crowd: bool) -> None:
    """Measure with the program of this checkout; takes some minutes."""
    uvloop.run(table_of_crowds() if is_crowd else table_of_faults())


if __name__ == "__main__":
    main()
