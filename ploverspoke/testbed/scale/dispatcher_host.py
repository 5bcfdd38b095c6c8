"""One process of hollow dispatchers, spoken with over its pipes: JSON lines both ways.

Heard: `{"start": N}`, `{"end": N}`, `{"kill": N}`, `{"read again": N}` for one of its dispatchers,
`{"begin": true}` once the run begins, `{"count": true}`. Told: `{"up": true}` first, `{"serves": N}`,
`{"ended": N, "why": text}`, `{"counts": {...}}`. The end of the input ends it, and with it all that it holds.
"""

import asyncio
import gc
import os
import resource
import signal
import sys
import time
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from ..processes.capacity_check import descriptor_limit
from .simulated_dispatcher import DispatcherAddress, SimulatedDispatcher

LOOKS_EVERY = 0.02  # seconds, at its own loop
PAGE = os.sysconf("SC_PAGE_SIZE")


class DispatcherHostSpec(msgspec.Struct):
    """What all hollow processes of a run are told."""

    parts: list[list[DispatcherAddress]]  # the dispatchers of each process


def tell(told: dict[str, Any]) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(told) + b"\n")
    sys.stdout.buffer.flush()


class DispatcherHost:
    def __init__(self, loop: asyncio.AbstractEventLoop, places: list[DispatcherAddress]) -> None:
        self.loop = loop
        self.places = {place.number: place for place in places}
        self.living: dict[int, SimulatedDispatcher] = {}
        self.late = 0  # ns, since the run began: what dispatchers did then they would not have done so late
        self.calls = {
            "start": self.start,
            "end": lambda number: self.living[number].signal(signal.SIGTERM),
            "read again": lambda number: self.living[number].signal(signal.SIGHUP),
            "kill": self.kill,
        }
        self.watch: asyncio.Task[None] | None = None

    def heard(self, told: dict[str, Any]) -> None:
        for what, number in told.items():
            if what in self.calls:
                # Who ended meanwhile hears nothing, as with a signal.
                if what == "start" or number in self.living:
                    self.calls[what](number)
            elif what == "begin":
                # What is there by now stays for the run: looked through again and again it held up the loop.
                gc.collect()
                gc.freeze()
                self.watch = self.loop.create_task(self._watch())
            elif what == "count":
                tell({"counts": self.counts()})

    def start(self, number: int) -> None:
        if number in self.living:
            tell({"ended": number, "why": "it runs already"})
            return
        dispatcher = SimulatedDispatcher(self.loop, self.places[number], self._ended)
        dispatcher.on_serving = lambda number: tell({"serves": number})
        self.living[number] = dispatcher

    def kill(self, number: int) -> None:
        self.living.pop(number).kill()
        tell({"ended": number, "why": "killed"})

    def _ended(self, number: int, why: str) -> None:
        del self.living[number]
        tell({"ended": number, "why": why})

    def counts(self) -> dict[str, Any]:
        used = resource.getrusage(resource.RUSAGE_SELF)
        inside: dict[str, int] = {}
        for dispatcher in self.living.values():
            for key, value in dispatcher.counts().items():
                inside[key] = inside.get(key, 0) + value
        return {
            "cpu_ns": int((used.ru_utime + used.ru_stime) * 1e9),
            "resident": int(Path("/proc/self/statm").read_text().split()[1]) * PAGE,
            "descriptors": len(os.listdir("/proc/self/fd")),
            "serving": sum(dispatcher.serves for dispatcher in self.living.values()),
            "listed": sum(dispatcher.is_listed() for dispatcher in self.living.values()),
            "late": self.late,
            "inside": inside,
        }

    async def _watch(self) -> None:
        while True:
            due = time.monotonic_ns() + int(LOOKS_EVERY * 1e9)
            await asyncio.sleep(LOOKS_EVERY)
            self.late = max(self.late, time.monotonic_ns() - due)


async def live(places: list[DispatcherAddress]) -> None:
    descriptor_limit()
    loop = asyncio.get_running_loop()
    process = DispatcherHost(loop, places)
    lines = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    tell({"up": True})
    while line := await lines.readline():
        process.heard(msgspec.json.decode(line))
    for number in list(process.living):
        process.living.pop(number).kill()


def run(path: Path, part: int) -> None:
    spec: DispatcherHostSpec = msgspec.json.decode(path.read_bytes(), type=DispatcherHostSpec)
    uvloop.run(live(spec.parts[part]))
