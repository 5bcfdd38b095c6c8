"""A process of simulated dispatchers, controlled over its pipes; the end of its input ends it and them."""

import asyncio
import gc
import os
import resource
import signal
import time
from collections import Counter
from pathlib import Path

import msgspec
import uvloop

from ..experiment_files.durations import SECOND
from ..processes.capacity_check import descriptor_limit
from ..processes.pipe_messages import input_lines, send_message
from .host_messages import (
    BeginRun,
    CountUsage,
    DispatcherAddress,
    DispatcherEnded,
    DispatcherHostSpec,
    DispatcherServes,
    HostCommand,
    HostReady,
    KillDispatcher,
    ReloadConfig,
    StartDispatcher,
    StopDispatcher,
    UsageCounts,
)
from .simulated_dispatcher import SimulatedDispatcher

LATENESS_CHECK_INTERVAL_S = 0.02  # of the event loop
PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")


class DispatcherHost:
    """Starts, stops and kills the dispatchers of this process, and counts their resource usage."""

    def __init__(self, loop: asyncio.AbstractEventLoop, addresses: list[DispatcherAddress]) -> None:
        """`addresses` are those of all dispatchers that this process may start."""
        self.loop = loop
        self.addresses = {address.number: address for address in addresses}
        self.running: dict[int, SimulatedDispatcher] = {}
        self.lateness = 0  # ns, maximum of the event loop since the run began
        self.lateness_task: asyncio.Task[None] | None = None

    def on_command(self, command: HostCommand) -> None:
        """Execute a command; commands for an ended dispatcher are ignored, like a signal to it."""
        match command:
            case StartDispatcher(number):
                self._start(number)
            case StopDispatcher(number) if number in self.running:
                self.running[number].signal(signal.SIGTERM)
            case ReloadConfig(number) if number in self.running:
                self.running[number].signal(signal.SIGHUP)
            case KillDispatcher(number) if number in self.running:
                self._kill(number)
            case BeginRun():
                self._begin_run()
            case CountUsage():
                send_message(self.count_usage())
            case _:
                pass

    def _start(self, number: int) -> None:
        if number in self.running:
            send_message(DispatcherEnded(number, "it runs already"))
            return
        dispatcher = SimulatedDispatcher(self.loop, self.addresses[number], self._on_ended)
        dispatcher.on_serving = self._on_serving
        self.running[number] = dispatcher

    def _kill(self, number: int) -> None:
        self.running.pop(number).kill()
        send_message(DispatcherEnded(number, "killed"))

    def _on_serving(self, number: int) -> None:
        send_message(DispatcherServes(number))

    def _on_ended(self, number: int, reason: str) -> None:
        del self.running[number]
        send_message(DispatcherEnded(number, reason))

    def _begin_run(self) -> None:
        # The current objects live until the end of the run; repeated collections would delay the event loop.
        gc.collect()
        gc.freeze()
        self.lateness_task = self.loop.create_task(self._measure_lateness())

    def count_usage(self) -> UsageCounts:
        """Return the resource usage of this process and its dispatchers."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        held_counts: Counter[str] = Counter()
        for dispatcher in self.running.values():
            held_counts.update(dispatcher.counts())
        return UsageCounts(
            cpu_ns=int((usage.ru_utime + usage.ru_stime) * SECOND),
            resident=int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_SIZE,
            descriptors=sum(1 for _ in Path("/proc/self/fd").iterdir()),
            serving=sum(dispatcher.is_serving for dispatcher in self.running.values()),
            listed=sum(dispatcher.has_endpoint_list() for dispatcher in self.running.values()),
            lateness=self.lateness,
            inside=dict(held_counts),
        )

    async def _measure_lateness(self) -> None:
        while True:
            due = time.monotonic_ns() + int(LATENESS_CHECK_INTERVAL_S * SECOND)
            await asyncio.sleep(LATENESS_CHECK_INTERVAL_S)
            self.lateness = max(self.lateness, time.monotonic_ns() - due)

    def kill_all(self) -> None:
        """Kill all dispatchers without sending a message."""
        for number in list(self.running):
            self.running.pop(number).kill()


async def serve(addresses: list[DispatcherAddress]) -> None:
    """Execute commands until the input ends."""
    descriptor_limit()  # also raises the limit
    host = DispatcherHost(asyncio.get_running_loop(), addresses)
    decoder: msgspec.json.Decoder[HostCommand] = msgspec.json.Decoder(HostCommand)
    send_message(HostReady())
    async for line in input_lines():
        host.on_command(decoder.decode(line))
    host.kill_all()


def run(path: Path, part: int) -> None:
    """Run the process whose dispatchers are at index `part` of the spec."""
    spec: DispatcherHostSpec = msgspec.json.decode(path.read_bytes(), type=DispatcherHostSpec)
    uvloop.run(serve(spec.parts[part]))
