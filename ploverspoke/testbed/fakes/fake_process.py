"""What all fake processes of a run have in common: the run's clock, messages on pipes, records.

Each is started with the path of a run's `spec.json`; `fake_messages` has its messages. A command with `start`
begins the run, and the end of the input ends the process.
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

STATUS_INTERVAL = 0.25  # seconds
LATENESS_CHECK_INTERVAL = 20 * MILLISECOND


class LoopTimer:
    """One call on the event loop, with the interface of the models' timers."""

    __slots__ = ("handle",)

    def __init__(self, handle: asyncio.Handle) -> None:
        """Wrap the handle of the call."""
        self.handle = handle

    def cancel(self) -> None:
        """Cancel the call."""
        self.handle.cancel()


class LoopClock:
    """The models' clock on an event loop: nanoseconds from the run's start on, the same in all processes."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start at 0; the start of the run sets `epoch`."""
        self.loop = loop
        self.epoch = time.monotonic_ns()

    def now(self) -> int:
        """Return the time of the run."""
        return time.monotonic_ns() - self.epoch

    def call_at(self, when: int, call: Callable[..., None], *args: Any) -> TimerHandle:
        """Make the call at that time, or soon where it is past."""
        delay = when - self.now()
        if delay <= 0:
            return LoopTimer(self.loop.call_soon(call, *args))
        return LoopTimer(self.loop.call_later(delay / 1e9, call, *args))


class FakeProcess:
    """One process of fakes. Subclasses open sockets, act on commands and report their status."""

    def __init__(self, spec: FakeProcessSpec, part: int) -> None:
        """Process number `part` of its kind."""
        self.loop = asyncio.get_running_loop()
        self.clock = LoopClock(self.loop)
        self.records = EventLog()
        self.lateness = LatenessMeter(LATENESS_CHECK_INTERVAL)
        self.spec = spec
        self.part = part
        self.experiment: Experiment = experiment_from_builtins(spec.experiment)
        self.seed = spec.seed
        self.context = RunContext(self.experiment, self.seed, self.clock, self.records)
        self.counters = ByteCounters(len(spec.hosts))
        self.dispatcher_by_host = {host: number for number, host in enumerate(spec.hosts)}

    async def prepare(self) -> msgspec.Struct:
        """Open what there is to open; returns the first message of the process."""
        raise NotImplementedError

    def begin(self, command: FakeCommand) -> None:
        """Begin the run."""
        raise NotImplementedError

    def on_command(self, command: FakeCommand) -> None:
        """Act on a command other than the start."""

    def shift_clock(self, nanoseconds: int) -> None:
        """Add so much to all times recorded so far, as the epoch of the clock moves."""
        self.records.events = [event._replace(at=event.at + nanoseconds) for event in self.records.events]

    def status(self) -> StatusReport:
        """Return a report; lateness and traffic are added to it."""
        raise NotImplementedError

    def start_run(self, command: FakeCommand, epoch: int) -> list[asyncio.Task[None]]:
        """Set the clock and begin; returns the tasks that go on until the end."""
        self.shift_clock(self.clock.epoch - epoch)
        self.clock.epoch = epoch
        gc.collect()
        # A collection of all records of a run would hold the process up for longer than it may be late.
        gc.disable()
        self.begin(command)
        return [self.loop.create_task(self._report_status()), self.loop.create_task(self.lateness.run())]

    async def _report_status(self) -> None:
        while True:
            await asyncio.sleep(STATUS_INTERVAL)
            report = self.status()
            report.lateness = self.lateness.max_lateness
            if self.spec.reports_traffic:
                report.counted_at = self.clock.now()
                report.traffic = self.counters.traffic
            send_message(report)


FakeProcessFactory = Callable[[FakeProcessSpec, int], FakeProcess]


async def serve(factory: FakeProcessFactory, spec: FakeProcessSpec, name: str, part: int) -> None:
    """Run a fake process until its input ends; its records go to `NAME-PART.jsonl`."""
    fake = factory(spec, part)
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
    write_events(fake.records.events, Path(spec.records) / f"{name}-{part}.jsonl")
    send_message(RunFinished())


def run(factory: FakeProcessFactory, name: str, spec_path: Path, part: int) -> None:
    """Run a fake process with the spec in that file."""
    spec: FakeProcessSpec = msgspec.json.decode(spec_path.read_bytes(), type=FakeProcessSpec)
    uvloop.run(serve(factory, spec, name, part))
