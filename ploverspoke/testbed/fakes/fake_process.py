"""What all stand-in processes have in common: the run's clock, lines from and to whoever started them,
records.

Started with the path of a run's `spec.json`. On standard output: JSON lines, the first with where it listens.
On standard input: whatever its kind hears, `{"start": epoch, ...}` once among it; the end of the input stops
it.
"""

import asyncio
import gc
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from ..experiment_files.experiment import Experiment
from ..experiment_files.reader import experiment_from_builtins
from ..models.event_records import EventLog, write_events
from ..models.virtual_clock import AnyTimer
from .byte_counters import ByteCounters

TELLS_EVERY = 0.25  # seconds
LOOKS_EVERY = 0.02  # at its own clock


class LoopTimer:
    """One call on the event loop; asyncio's own handle would not do: near times fire early by its
    resolution.
    """

    __slots__ = ("handle",)

    def __init__(self, handle: asyncio.Handle) -> None:
        self.handle = handle

    def call_off(self) -> None:
        self.handle.cancel()


class LoopClock:
    """The models' clock on an event loop: nanoseconds from the run's start on, the same in all processes."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.epoch = time.monotonic_ns()

    def now(self) -> int:
        return time.monotonic_ns() - self.epoch

    def at(self, when: int, call: Callable[..., None], *what: Any) -> AnyTimer:
        left = when - self.now()
        if left <= 0:
            return LoopTimer(self.loop.call_soon(call, *what))
        return LoopTimer(self.loop.call_later(left / 1e9, call, *what))


class FakeProcessSpec(msgspec.Struct):
    """A run as the stand-ins read it."""

    experiment: dict[str, Any]
    seed: int
    records: str  # folder
    clients: int  # processes
    hosts: list[str]  # of the dispatchers, each its own
    own_hosts: dict[str, str]  # of stand-ins that listen, by kind
    worker_processes: int = 1  # among which the zones are dealt out
    tells_traffic: bool = False  # whoever asks for it has to listen to every stand-in


class FakeProcess:
    """One process. `begin` and `heard` are a kind's own."""

    def __init__(self, spec: FakeProcessSpec, part: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.clock = LoopClock(self.loop)
        self.seen = EventLog()
        self.late = 0
        self.spec = spec
        self.part = part
        self.e: Experiment = experiment_from_builtins(spec.experiment)
        self.seed = spec.seed
        self.counters = ByteCounters(len(spec.hosts))

    async def prepare(self) -> dict[str, Any]:
        """Open what there is to open; gives what is told first."""
        raise NotImplementedError

    def begin(self, told: dict[str, Any]) -> None:
        raise NotImplementedError

    def heard(self, told: dict[str, Any]) -> None:
        pass

    def moved(self, by: int) -> None:
        """The clock begins anew: what it has shown so far is later by so much, in most cases less than 0."""
        self.seen.events = [event._replace(at=event.at + by) for event in self.seen.events]

    def counts(self) -> dict[str, Any]:
        """What is told now and then while it runs."""
        return {}


def send_message(told: dict[str, Any]) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(told) + b"\n")
    sys.stdout.buffer.flush()


async def live(
    kind: Callable[[FakeProcessSpec, int], FakeProcess], spec: FakeProcessSpec, name: str, part: int
) -> None:
    stand_in = kind(spec, part)
    loop = asyncio.get_running_loop()
    lines: asyncio.StreamReader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    send_message(await stand_in.prepare())
    tasks: list[asyncio.Task[None]] = []
    while line := await lines.readline():
        told = msgspec.json.decode(line)
        if "start" not in told:
            stand_in.heard(told)
            continue
        stand_in.moved(stand_in.clock.epoch - told["start"])
        stand_in.clock.epoch = told["start"]
        gc.collect()
        # One collection of all that a minute's records hold took 130 ms, and hand-offs seemed out at once.
        gc.disable()
        stand_in.begin(told)
        tasks += [loop.create_task(_tell(stand_in)), loop.create_task(_watch(stand_in))]
    for task in tasks:
        task.cancel()
    write_events(stand_in.seen.events, Path(spec.records) / f"{name}-{part}.jsonl")
    send_message({"over": True})


async def _tell(stand_in: FakeProcess) -> None:
    while True:
        await asyncio.sleep(TELLS_EVERY)
        told = {"late": stand_in.late, **stand_in.counts()}
        if stand_in.spec.tells_traffic:
            told |= {"counted_at": stand_in.clock.now(), "traffic": stand_in.counters.told()}
        send_message(told)


async def _watch(stand_in: FakeProcess) -> None:
    """How late this process is with what is due: what it saw then is in no order that means something."""
    while True:
        due = stand_in.clock.now() + int(LOOKS_EVERY * 1e9)
        await asyncio.sleep(LOOKS_EVERY)
        stand_in.late = max(stand_in.late, stand_in.clock.now() - due)


def run(kind: Callable[[FakeProcessSpec, int], FakeProcess], name: str, spec_path: Path, part: int) -> None:
    spec: FakeProcessSpec = msgspec.json.decode(spec_path.read_bytes(), type=FakeProcessSpec)
    uvloop.run(live(kind, spec, name, part))
