"""Measures the time until dispatchers learn of a drain, by kind of discovery failure.

`python -m ploverspoke.testbed.scenarios.endpoint_list_age` prints the table.
"""

import asyncio
import statistics
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple

import click
import uvloop

from ..fakes.discovery_protocol import ListedEndpoint
from ..fakes.faulty_discovery import CallQueue, Failure, ScriptedDiscovery
from ..processes.dispatcher_process import DispatcherProcess

# Times are in seconds.
FLEET_SIZES = (1, 30, 177, 1000)
RUNS_PER_CELL = 4
MAX_PROCESSES = 16
MAX_AGE = 25.0  # the longest age that a measurement waits for; a longer one counts as this
CASE_OUTAGE_DURATION = 4.0
POLL_INTERVAL = 0.01
WATCH_TIMEOUT = 60.0  # until a dispatcher watches discovery
WATCH_SETTLING_TIME = 0.3

FLEET_SIZE = 40  # dispatchers
STARTS_AT_ONCE = 8
QUEUE_CAPACITY = 20  # calls
CALL_SERVICE_TIMES = (0.05, 0.125)  # seconds
FLEET_OUTAGE_DURATION = 3.0  # seconds
COUNTED_AFTER = 10.0  # time after the outage in which calls are counted

ENTRIES = [
    ListedEndpoint(id=f"w{n}", addr="127.0.0.1:9", zone="a", kind="plain", state="Ready", started_ms=0)
    for n in range(2)
]


class DiscoveryCase:
    """One dispatcher and its current discovery, which a new configuration can replace."""

    def __init__(self, discovery: ScriptedDiscovery, dispatcher: DispatcherProcess) -> None:
        """Take a dispatcher that is configured for that discovery."""
        self.discovery = discovery
        self.dispatcher = dispatcher

    async def move(self, failures: int) -> None:
        """Configure another discovery, whose first calls are rejected."""
        self.discovery.close()
        self.discovery = ScriptedDiscovery(ENTRIES)
        self.discovery.next_failures.extend([Failure.REJECTED] * failures)
        self.dispatcher.change_discovery_address(await self.discovery.address_for(0))


Fault = Callable[[DiscoveryCase], Awaitable[None]]


def failing_watch(*failures: Failure) -> Fault:
    """Return a fault in which the open watch and the calls after it fail, one for each failure."""

    async def inject(case: DiscoveryCase) -> None:
        """Make the watch and the calls fail."""
        case.discovery.fail_next_calls(*failures)

    return inject


def moving_discovery(failures: int) -> Fault:
    """Return a fault in which a new configuration names a discovery whose first calls are rejected."""
    return lambda case: case.move(failures)


def failing_for_a_while(failure: Failure | None) -> Fault:
    """Return a fault in which all calls fail for a while; with None, connections are refused."""
    return lambda case: case.discovery.fail_for(failure, CASE_OUTAGE_DURATION)


FAULTS: dict[str, Fault] = {
    "one call answered 503": failing_watch(Failure.REJECTED),
    "two in a row answered 503": failing_watch(*[Failure.REJECTED] * 2),
    "three in a row answered 503": failing_watch(*[Failure.REJECTED] * 3),
    "new configuration, first call there answered 503": moving_discovery(1),
    "the same, three in a row": moving_discovery(3),
    "reset twice, then 503": failing_watch(Failure.RESET, Failure.RESET, Failure.REJECTED),
    "a watch falls silent once": failing_watch(Failure.SILENT),
    "a watch falls silent, the next call 503": failing_watch(Failure.SILENT, Failure.REJECTED),
    "a watch falls silent, and the next call, too": failing_watch(Failure.SILENT, Failure.SILENT),
    "reset for 4 s": failing_for_a_while(Failure.RESET),
    "refused for 4 s": failing_for_a_while(None),
    "invalid answers for 4 s": failing_for_a_while(Failure.INVALID),
    "503 for 4 s": failing_for_a_while(Failure.REJECTED),
}


async def measure_list_age(fault: Fault, fleet_size: int, seed: int, folder: Path) -> float:
    """Return the seconds from a drain until discovery has written it to the dispatcher.

    The drain happens at the same time as the first of several failures, or at the end of an outage.
    """
    loop, discovery = asyncio.get_running_loop(), ScriptedDiscovery(ENTRIES)
    dispatcher = DispatcherProcess(folder, 0, await discovery.address_for(0), seed, PeersTotal=fleet_size)
    case = DiscoveryCase(discovery, dispatcher)
    try:
        await dispatcher.start()
        await wait_for_watch(discovery, 0)
        await fault(case)
        drained_at, version = loop.time(), case.discovery.set_worker_state("w0", "Terminating")
        deadline = drained_at + MAX_AGE
        while case.discovery.written_at(0, version) is None and loop.time() < deadline:
            await asyncio.sleep(POLL_INTERVAL)
        written_at = case.discovery.written_at(0, version)
        return MAX_AGE if written_at is None else written_at - drained_at
    finally:
        await dispatcher.kill()
        case.discovery.close()


async def wait_for_watch(discovery: ScriptedDiscovery, dispatcher: int) -> None:
    """Wait until the dispatcher has the list and watches for changes.

    Raises:
        TimeoutError: it does not do so within WATCH_TIMEOUT.
    """
    async with asyncio.timeout(WATCH_TIMEOUT):
        while not any(call.dispatcher == dispatcher and call.version for call in discovery.calls):
            await asyncio.sleep(POLL_INTERVAL)
    await asyncio.sleep(WATCH_SETTLING_TIME)


async def print_fault_table() -> None:
    """Print the ages by failure and fleet size."""
    limit = asyncio.Semaphore(MAX_PROCESSES)
    rows = await asyncio.gather(
        *(
            asyncio.gather(*(_measure_cell(fault, fleet_size, limit) for fleet_size in FLEET_SIZES))
            for fault in FAULTS.values()
        )
    )
    print("| what failed | " + " | ".join(f"fleet of {size}" for size in FLEET_SIZES) + " |")
    print("| --- |" + " --- |" * len(FLEET_SIZES))
    for name, cells in zip(FAULTS, rows, strict=True):
        print(f"| {name} | " + " | ".join(cells) + " |")


async def _measure_cell(fault: Fault, fleet_size: int, limit: asyncio.Semaphore) -> str:
    async def measure(seed: int) -> float:
        """Measure once in a folder of its own."""
        async with limit:
            with tempfile.TemporaryDirectory() as folder:
                return await measure_list_age(fault, fleet_size, seed, Path(folder))

    ages = await asyncio.gather(*(measure(fleet_size * 100 + number) for number in range(RUNS_PER_CELL)))
    return f"{min(ages):.1f} to {max(ages):.1f}"


# ---- A fleet after an outage ----


class FleetOutageRun(NamedTuple):
    """A fleet after an outage of its discovery, which serves its calls from a queue."""

    discovery: ScriptedDiscovery
    queue: CallQueue
    is_refusing: bool  # whether connections are refused in the outage; otherwise calls are rejected
    version: int  # of the list with a drain that is published as soon as the outage ends
    began_at: float  # start of the outage, by the event loop's clock
    back_at: float  # end of the outage

    def table_row(self) -> str:
        """Return the run's row in the table."""
        write_times = [self.discovery.written_at(number, self.version) for number in range(FLEET_SIZE)]
        ages = sorted(MAX_AGE if at is None else at - self.back_at for at in write_times)
        call_times = [call.at for call in self.discovery.calls]
        rate_during = sum(self.began_at <= at < self.back_at for at in call_times) / FLEET_OUTAGE_DURATION
        counted_until = self.back_at + COUNTED_AFTER
        rate_after = sum(self.back_at <= at < counted_until for at in call_times) / COUNTED_AFTER
        cells = [
            f"{self.queue.service_time * 1000:.0f} ms",
            "yes" if self.queue.rejections_take_service_time else "no",
            "refused" if self.is_refusing else "503",
            f"{statistics.median(ages):.1f}",
            f"{ages[-1]:.1f}",
            "not seen" if self.is_refusing else f"{rate_during:.1f}",
            f"{rate_after:.1f}",
        ]
        return f"| {' | '.join(cells)} |"


async def run_fleet_outage(queue: CallQueue, is_refusing: bool) -> FleetOutageRun:
    """Run a fleet through an outage of its discovery."""
    loop, discovery = asyncio.get_running_loop(), ScriptedDiscovery(ENTRIES)
    with tempfile.TemporaryDirectory() as folder:
        dispatchers = [
            DispatcherProcess(Path(folder), n, await discovery.address_for(n), n + 1, PeersTotal=FLEET_SIZE)
            for n in range(FLEET_SIZE)
        ]
        try:
            for first in range(0, FLEET_SIZE, STARTS_AT_ONCE):
                group = dispatchers[first : first + STARTS_AT_ONCE]
                await asyncio.gather(*(dispatcher.start() for dispatcher in group))
            await asyncio.gather(*(wait_for_watch(discovery, number) for number in range(FLEET_SIZE)))
            discovery.queue = queue
            began_at = loop.time()
            if is_refusing:
                await discovery.stop_listening()
            else:
                discovery.outage = Failure.REJECTED
                discovery.wake_watches()
            await asyncio.sleep(FLEET_OUTAGE_DURATION)
            discovery.outage = None
            version, back_at = discovery.set_worker_state("w0", "Terminating"), loop.time()
            if is_refusing:
                await discovery.listen_again()
            await asyncio.sleep(MAX_AGE)
        finally:
            await asyncio.gather(*(dispatcher.kill() for dispatcher in dispatchers))
            discovery.close()
    return FleetOutageRun(discovery, queue, is_refusing, version, began_at, back_at)


async def print_outage_table() -> None:
    """Print the ages in a fleet whose discovery comes back from an outage."""
    print("| a call | rejections are served | while down | median | last | calls/s down | calls/s after |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for service_time in CALL_SERVICE_TIMES:
        for are_served in (False, True):
            queue = CallQueue(service_time, QUEUE_CAPACITY, are_served)
            for is_refusing in (True, False):
                run = await run_fleet_outage(queue, is_refusing)
                print(run.table_row(), flush=True)


@click.command()
@click.option(
    "--outage",
    "--crowd",
    "is_outage",
    is_flag=True,
    help="Print the table of a fleet after an outage of discovery instead of the table of faults.",
)
def main(is_outage: bool) -> None:
    """Measure the program of this checkout; takes some minutes."""
    uvloop.run(print_outage_table() if is_outage else print_fault_table())


if __name__ == "__main__":
    main()
