"""The common parts of the fake processes of a run: the run's clock, messages on pipes, event records.

Each process is started with the path of the run's `spec.json`; its messages are in `fake_messages`. A command
with `start` starts the run, and the end of the input ends the process.
"""

import asyncio
import gc
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from ..experiment_files.durations import MILLISECOND
from ..experiment_files.experiment import Experiment
from ..experiment_files.reader import experiment_from_builtins
from ..models.event_records import EventLog, write_events
from ..models.run_context import RunContext
from ..models.virtual_clock import TimerHandle
from ..processes.lateness import LatenessMeter
from ..processes.pipe_messages import input_lines, send_message
from .byte_counters import ByteCounters
from .fake_messages import FakeCommand, FakeProcessSpec, RunFinished, StatusReport

STATUS_INTERVAL_S = 0.25
LATENESS_CHECK_INTERVAL_NS = 20 * MILLISECOND


class LoopTimer:
    """A scheduled call of the event loop, with the interface of the models' timers."""

    __slots__ = ("handle",)

    def __init__(self, handle: asyncio.Handle) -> None:
        """Wrap the event loop's handle of the call."""
        self.handle = handle

    def cancel(self) -> None:
        """Cancel the call."""
        self.handle.cancel()


class LoopClock:
    """The models' clock on an event loop: ns since the start of the run, the same in all processes."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start at 0; `epoch` is set again when the run starts."""
        self.loop = loop
        self.epoch = time.monotonic_ns()

    def now(self) -> int:
        """Return the ns since the start of the run."""
        return time.monotonic_ns() - self.epoch

    def call_at(self, when: int, call: Callable[..., None], *args: Any) -> TimerHandle:
        """Make the call at that time, or in the next loop iteration if the time has passed."""
        delay = when - self.now()
        if delay <= 0:
            return LoopTimer(self.loop.call_soon(call, *args))
        return LoopTimer(self.loop.call_later(delay / 1e9, call, *args))


class FakeProcess:
    """One process of fakes. Subclasses open sockets, act on commands and report their status."""

    def __init__(self, spec: FakeProcessSpec, number: int) -> None:
        """Create the process with that number among those of its kind."""
        self.loop = asyncio.get_running_loop()
        self.clock = LoopClock(self.loop)
        self.records = EventLog()
        self.lateness = LatenessMeter(LATENESS_CHECK_INTERVAL_NS)
        self.spec = spec
        self.number = number
        self.experiment: Experiment = experiment_from_builtins(spec.experiment)
        self.seed = spec.seed
        self.context = RunContext(self.experiment, self.seed, self.clock, self.records)
        self.counters = ByteCounters(len(spec.dispatcher_hosts))
        self.dispatcher_by_host = {host: dispatcher for dispatcher, host in enumerate(spec.dispatcher_hosts)}

    async def prepare(self) -> msgspec.Struct:
        """Open listening sockets, if any; returns the first message of the process."""
        raise NotImplementedError

    def on_run_start(self, command: FakeCommand) -> None:
        """Start the process's work in the run."""
        raise NotImplementedError

    def on_command(self, command: FakeCommand) -> None:
        """Act on a command that does not start the run."""

    def shift_clock(self, nanoseconds: int) -> None:
        """Add `nanoseconds` to all times recorded so far, because the epoch of the clock changes."""
        self.records.events = [event._replace(at=event.at + nanoseconds) for event in self.records.events]

    def status(self) -> StatusReport:
        """Return a status report; the caller adds lateness and traffic."""
        raise NotImplementedError

    def start_run(self, command: FakeCommand, epoch: int) -> list[asyncio.Task[None]]:
        """Set the clock and start the run; returns the tasks that run until its end."""
        self.shift_clock(self.clock.epoch - epoch)
        self.clock.epoch = epoch
        gc.collect()
        # A garbage collection over all records of a run would delay the process by more than is allowed.
        gc.disable()
        self.on_run_start(command)
        return [self.loop.create_task(self._report_status()), self.loop.create_task(self.lateness.run())]

    async def _report_status(self) -> None:
        while True:
            await asyncio.sleep(STATUS_INTERVAL_S)
            report = self.status()
            report.lateness = self.lateness.max_lateness
            if self.spec.reports_traffic:
                report.counted_at = self.clock.now()
                report.traffic = self.counters.traffic
            send_message(report)


FakeProcessFactory = Callable[[FakeProcessSpec, int], FakeProcess]


async def serve(factory: FakeProcessFactory, spec: FakeProcessSpec, name: str, number: int) -> None:
    """Run a fake process until its input ends, then write its events to `NAME-NUMBER.jsonl`."""
    fake = factory(spec, number)
    send_message(await fake.prepare())
    tasks: list[asyncio.Task[None]] = []
    async for line in input_lines():
        command: FakeCommand = msgspec.json.decode(line, type=FakeCommand)
        if command.start is None:
            fake.on_command(command)
        else:
            tasks += fake.start_run(command, command.start)
    for task in tasks:
        task.cancel()
    write_events(fake.records.events, Path(spec.records) / f"{name}-{number}.jsonl")
    send_message(RunFinished())


def run(factory: FakeProcessFactory, name: str, spec_path: Path, number: int) -> None:
    """Run a fake process with the spec in that file."""
    spec: FakeProcessSpec = msgspec.json.decode(spec_path.read_bytes(), type=FakeProcessSpec)
    uvloop.run(serve(factory, spec, name, number))
