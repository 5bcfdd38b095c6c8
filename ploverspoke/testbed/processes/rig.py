"""The test rig: starts the processes of one run, gives them addresses, applies faults and ends them.

    async with Rig(folder, seed) as rig:
        address = rig.allocate_address("k0", streams=["peers"])
        rig.add_process(address, "ploverspoke", ["lease-server", ...])
        await rig.open_proxy()
        await rig.start_processes()
        await rig.run_timeline(steps, duration)

All processes that were started are ended when the block is left, also by an exception.
"""

import asyncio
from collections.abc import Awaitable, Iterable, Mapping, Sequence
from os import sched_getaffinity
from pathlib import Path
from types import TracebackType

from ..experiment_files.durations import MILLISECOND, format_duration
from ..experiment_files.fault_timeline import FaultStep
from .addresses import AddressBlock, ProcessAddress
from .capacity_check import MEBIBYTE, ResourceDemand, check_capacity
from .child_process import ChildProcess
from .history import EVENTS_SHOWN, History, HistoryEvent, events_around, read_histories
from .link_fault_controller import LinkFaultController
from .proxy_messages import ProxiedProcess
from .running_process import RunningProcess
from .timeline_runner import TimelineRunner

STARTS_PER_CORE = 3  # at once; a start takes 1 s of CPU time, and waits for some time
MAX_LATENESS = 400 * MILLISECOND  # of a step or of the rig's event loop; with more a run is void
PROCESS_MEMORY = 48 * MEBIBYTE
RIG_DESCRIPTORS = 64
DESCRIPTORS_PER_ADDRESS = 6
DESCRIPTORS_PER_PROCESS = 4


class Rig:
    """Holds a run's addresses, processes, link faults and timeline."""

    def __init__(self, folder: Path, seed: int) -> None:
        """Take a block of addresses; files go to `folder`. Raises AddressUnavailableError."""
        self.folder, self.seed = folder, seed
        self.block = AddressBlock()
        self.addresses: dict[str, ProcessAddress] = {}  # by name of the process
        self.processes: dict[str, RunningProcess] = {}  # by name
        self.history = History(folder / "rig.history", "rig")
        self.errors: list[str] = []  # problems that no step of the timeline was meant to cause
        self.link_faults = LinkFaultController(self.history)
        self.timeline = TimelineRunner(self.processes, self.link_faults, self.history, self.errors)
        self._proxied: list[ProxiedProcess] = []
        self._children: list[ChildProcess] = []

    async def __aenter__(self) -> "Rig":
        """Use as a context manager, which closes the rig at its end."""
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Close the rig."""
        await self.close()

    # ---- Before the start ----

    def allocate_address(
        self,
        name: str,
        streams: Sequence[str] = (),
        datagrams: Sequence[str] = (),
        direct: Sequence[str] = (),
    ) -> ProcessAddress:
        """Reserve an address with ports of these names; all but those in `direct` are proxied.

        Raises AddressUnavailableError.
        """
        number = len(self.addresses)
        host, proxy_host = self.block.process_host(number), self.block.proxy_host(number)
        ports = {port: self.block.reserve_port(host) for port in (*streams, *datagrams, *direct)}
        self.addresses[name] = ProcessAddress(name, number, host, proxy_host, ports)
        stream_ports, datagram_ports = [ports[port] for port in streams], [ports[port] for port in datagrams]
        self._proxied.append(ProxiedProcess(name, host, proxy_host, stream_ports, datagram_ports))
        return self.addresses[name]

    def add_process(
        self,
        address: ProcessAddress,
        module: str,
        arguments: Sequence[str],
        environment: Mapping[str, str] | None = None,
    ) -> RunningProcess:
        """Add a process that `start_processes` starts as `python -m module arguments`."""
        process = RunningProcess(address, self.folder, module, arguments, environment)
        self.processes[address.name] = process
        return process

    def check_capacity(self, extra_demands: Sequence[ResourceDemand] = ()) -> str:
        """Check that the run fits on the machine; returns its demands in one line. Raises CapacityError."""
        descriptors = (
            RIG_DESCRIPTORS
            + DESCRIPTORS_PER_ADDRESS * len(self.addresses)
            + DESCRIPTORS_PER_PROCESS * len(self.processes)
        )
        demands = [
            ResourceDemand("processes", len(self.processes), PROCESS_MEMORY, 0),
            ResourceDemand("rig", 1, 0, descriptors),
            *extra_demands,
        ]
        return check_capacity(demands)

    # ---- Start ----

    async def open_proxy(self) -> None:
        """Start the proxy if any port is proxied. Raises CapacityError or ProcessStartError."""
        self.check_capacity()
        await self.link_faults.open(self.folder, self.seed, self._proxied, self.start_child)

    async def start_child(self, module: str, arguments: Sequence[str], log: str = "") -> ChildProcess:
        """Start a child that `close` ends. Its standard error goes to a log of that name, or to the rig's."""
        if log:
            with (self.folder / f"{log}.log").open("ab") as file:
                child = await ChildProcess.start(module, arguments, file)
        else:
            child = await ChildProcess.start(module, arguments)
        self._children.append(child)
        return child

    async def start_processes(
        self, names: Iterable[str] | None = None, extra_arguments: Sequence[str] = ()
    ) -> None:
        """Start these processes, or all, as many at once as the machine can bear.

        They get `extra_arguments` for this start only. Raises ProcessStartError.
        """
        chosen = self.processes if names is None else names
        await await_starts(self.processes[name].start(extra_arguments) for name in chosen)

    # ---- The run ----

    async def run_timeline(
        self, steps: Sequence[FaultStep], duration: int, starts_at: int | None = None
    ) -> None:
        """Run the timeline for `duration` (ns); see `TimelineRunner.run`."""
        await self.timeline.run(steps, duration, self.seed, starts_at)

    def void_reason(self) -> str:
        """Why the run is void; "" if it is not."""
        lateness = self.timeline.lateness.max_lateness
        if lateness > MAX_LATENESS:
            return f"the machine was too slow: the rig itself was late by {format_duration(lateness)}"
        return ""

    def read_events(self) -> list[HistoryEvent]:
        """The events of all histories up to now, in order of time."""
        return read_histories(self.folder)

    def describe_finding(
        self, finding: str, at: int, events: list[HistoryEvent], shown: int = EVENTS_SHOWN
    ) -> str:
        """Format a finding with the seed, the timeline and the `shown` events nearest to it."""
        steps: list[str] = next((event.detail[1] for event in events if event.kind == "begin"), [])
        return "\n".join(
            [
                finding,
                f"seed {self.seed}; timeline:",
                *(f"  {step}" for step in steps),
                "events around it:",
                *(f"  {line}" for line in events_around(events, at, shown)),
            ]
        )

    # ---- The end ----

    async def close(self) -> None:
        """End all processes and release the addresses; a process that crashed is added to `errors`."""
        await self.timeline.close()
        for process in self.processes.values():
            if process.has_crashed() and process.process is not None:
                self.errors.append(
                    f"{process.name} ended with {process.process.returncode}: {process.log_tail()}"
                )
        await asyncio.gather(*(process.kill() for process in self.processes.values()))
        await asyncio.gather(*(child.stop() for child in self._children))
        for process in self.processes.values():
            process.close()
        self.block.close()


async def await_starts(starts: Iterable[Awaitable[None]]) -> None:
    """Await all starts, STARTS_PER_CORE at once for each core. Raises the first error once all have ended."""
    slots = asyncio.Semaphore(STARTS_PER_CORE * len(sched_getaffinity(0)))

    async def run_one(start: Awaitable[None]) -> None:
        """Await a start once there is a free slot for it."""
        async with slots:
            await start

    results = await asyncio.gather(*(run_one(start) for start in starts), return_exceptions=True)
    for result in results:
        if isinstance(result, BaseException):
            raise result
