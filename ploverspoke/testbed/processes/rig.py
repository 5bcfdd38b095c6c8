"""A run of many processes: where they are, what stands between them, what is done to them, how it ends.

    async with Rig(folder, seed) as rig:
        place = rig.place("k0", streams=["peers"])
        rig.add(place, "ploverspoke", ["keep", ...])
        await rig.open()
        await rig.start()
        await rig.play(steps, lasts)

Everything that was started is ended when the block is left, whatever happened in it.
"""

import asyncio
import contextlib
import signal
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from os import sched_getaffinity
from pathlib import Path
from types import TracebackType
from typing import Any, NamedTuple

import msgspec

from ..experiment_files.durations import MILLISECOND, SECOND, format_duration
from .addresses import Block
from .capacity_check import MEBIBYTE, ResourceDemand, check_capacity
from .child_process import STOP_TIMEOUT, ChildProcess
from .fault_controls import FAILS, FULL
from .fault_timeline import LINK_FAULTS, FaultStep
from .history import History, HistoryEvent, events_around, monotonic_now, read_histories
from .link_faults import LinkFault
from .running_process import ProcessStartError, RunningProcess
from .tcp_proxy import ProxiedProcess, ProxySpec

STARTS_A_CORE = 3  # at once: a start is a second of processor time, and some waiting
MOST_LATE = 400 * MILLISECOND  # of a step, or of the rig's own loop: past that a run is void
LOOKS_EVERY = 50 * MILLISECOND
PROCESS_MEMORY = 48 * MEBIBYTE
RELAY = "ploverspoke.testbed.processes.tcp_proxy"
DISKS = {"disk full": FULL, "disk fails": FAILS}


class ProcessAddress(NamedTuple):
    """Where one process is."""

    name: str
    number: int
    own: str
    relayed: str
    ports: dict[str, int]

    def at(self, port: str) -> str:
        """Where it listens."""
        return f"{self.own}:{self.ports[port]}"

    def through(self, port: str) -> str:
        """Where others find it, with the relays between."""
        return f"{self.relayed}:{self.ports[port]}"


class Rig:
    def __init__(self, folder: Path, seed: int) -> None:
        """Raises AddressUnavailableError."""
        self.folder, self.seed = folder, seed
        self.block = Block()
        self.places: dict[str, ProcessAddress] = {}
        self.stood: dict[str, ProxiedProcess] = {}
        self.running: dict[str, RunningProcess] = {}
        self.children: list[ChildProcess] = []
        self.relays: ChildProcess | None = None
        self.counts: dict[str, Any] = {}  # the relays', as last heard
        self.asking = asyncio.Lock()
        self.next_fault = 1
        self.history = History(folder / "rig.history", "rig")
        self.busy: set[str] = set()  # processes that something is done to
        self.tasks: set[asyncio.Task[None]] = set()
        self.faults: list[str] = []  # what went wrong by itself
        self.on_down: Callable[[str, str], None] = (
            lambda name, how: None
        )  # before it is killed or told to end
        self.on_up: Callable[[str], None] = lambda name: None
        self.ends_within = STOP_TIMEOUT  # seconds, of one that is told to
        self.latest = 0  # ns
        self.all_done = asyncio.Event()  # nothing is left to wait for, though time is
        self.skipped = 0  # steps on a process that was busy
        self.done = 0
        self.epoch = 0

    async def __aenter__(self) -> "Rig":
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.close()

    # ---- Before the start ----

    def place(
        self,
        name: str,
        streams: Sequence[str] = (),
        datagrams: Sequence[str] = (),
        direct: Sequence[str] = (),
    ) -> ProcessAddress:
        """An address, with ports by name; the proxy stands for all but `direct`.

        Raises AddressUnavailableError.
        """
        number = len(self.places)
        own, relayed = self.block.own(number), self.block.relayed(number)
        ports = {port: self.block.hold(own) for port in (*streams, *datagrams, *direct)}
        self.places[name] = ProcessAddress(name, number, own, relayed, ports)
        self.stood[name] = ProxiedProcess(
            name, own, relayed, [ports[port] for port in streams], [ports[port] for port in datagrams]
        )
        return self.places[name]

    def add(
        self,
        place: ProcessAddress,
        module: str,
        words: Sequence[str],
        environment: Mapping[str, str] | None = None,
    ) -> RunningProcess:
        running = RunningProcess(
            self.block, place.number, place.name, self.folder, module, words, environment
        )
        self.running[place.name] = running
        return running

    def check_capacity(self, more: Sequence[ResourceDemand] = ()) -> str:
        """What the run wants, in a line. Raises CapacityError, before anything is started."""
        own = 64 + 6 * len(self.places) + 4 * len(self.running)
        wants = [
            ResourceDemand("processes", len(self.running), PROCESS_MEMORY, 0),
            ResourceDemand("rig", 1, 0, own),
            *more,
        ]
        return check_capacity(wants)

    async def open(self) -> None:
        """Start the proxy, where it has anything to do. Raises CapacityError or ProcessStartError."""
        self.check_capacity()
        if not any(one.streams or one.datagrams for one in self.stood.values()):
            return
        spec = self.folder / "relays.json"
        spec.write_bytes(msgspec.json.encode(ProxySpec(self.seed, list(self.stood.values()))))
        self.relays = await self.child(RELAY, [str(spec)])
        if await self.relays.hear() is None:
            raise ProcessStartError("the relays ended at their start")

    async def child(self, module: str, words: Sequence[str], log: str = "") -> ChildProcess:
        """A stand-in, ended with the rest. What it says of itself goes to a log of that name, if any."""
        if log:
            with (self.folder / f"{log}.log").open("ab") as file:
                child = await ChildProcess.start(module, words, file)
        else:
            child = await ChildProcess.start(module, words)
        self.children.append(child)
        return child

    async def start(self, names: Iterable[str] | None = None, more: Sequence[str] = ()) -> None:
        """All of these, in groups that the machine bears. Raises ProcessStartError."""
        await in_groups(self.running[name].start(more) for name in (self.running if names is None else names))

    # ---- Faults on links ----

    async def ask_relays(self, told: dict[str, Any]) -> None:
        assert self.relays is not None
        async with self.asking:
            self.relays.tell(told)
            heard = await self.relays.hear()
        if heard is None:
            raise RuntimeError("the relays have ended")
        self.counts = heard

    async def lay(self, fault: LinkFault) -> int:
        """Gives the number by which it is lifted."""
        number, self.next_fault = self.next_fault, self.next_fault + 1
        self.history.add("lay", [number, msgspec.to_builtins(fault)])
        await self.ask_relays({"lay": number, "fault": msgspec.to_builtins(fault)})
        return number

    async def lift(self, number: int) -> None:
        await self.ask_relays({"lift": number})
        self.history.add("lift", number)

    async def reset(self, fault: LinkFault) -> None:
        self.history.add("reset", msgspec.to_builtins(fault))
        await self.ask_relays({"reset": msgspec.to_builtins(fault)})

    # ---- The timeline ----

    def now(self) -> int:
        return monotonic_now() - self.epoch

    async def play(self, steps: Sequence[FaultStep], lasts: int, begins: int | None = None) -> None:
        """Do all that and wait until it is over. `lasts` is ns; it begins now, or then on the true clock."""
        self.epoch = monotonic_now() if begins is None else begins
        self.history.add("begin", [self.seed, [step.told() for step in steps]])
        watch = asyncio.create_task(self._watch())
        for step in steps:
            await asyncio.sleep(max(0.0, (step.at - self.now()) / SECOND))
            self.latest = max(self.latest, self.now() - step.at)
            self._begin(step)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.all_done.wait(), max(0.0, (lasts - self.now()) / SECOND))
        watch.cancel()
        for task in list(self.tasks):
            await task
        if self.relays is not None:
            await self.ask_relays({})
        self.history.add("end")

    async def _watch(self) -> None:
        """How late the rig itself is: a machine that is too slow proves nothing."""
        while True:
            due = monotonic_now() + LOOKS_EVERY
            await asyncio.sleep(LOOKS_EVERY / SECOND)
            self.latest = max(self.latest, monotonic_now() - due)

    def _begin(self, step: FaultStep) -> None:
        task = asyncio.create_task(self._step(step))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _step(self, step: FaultStep) -> None:
        try:
            if step.what in LINK_FAULTS:
                await self._on_links(step)
                self.done += 1
            else:
                await asyncio.gather(*(self.on_process(step, name) for name in step.who))
        except (ProcessStartError, RuntimeError) as error:
            self.faults.append(f"{step.told()}: {error}")

    async def _on_links(self, step: FaultStep) -> None:
        fault = fault_of(step)
        both = [fault, msgspec.structs.replace(fault, origin=fault.target, target=fault.origin)]
        if step.what == "reset":
            for one in both if step.both else both[:1]:
                await self.reset(one)
            return
        numbers = [await self.lay(one) for one in (both if step.both else both[:1])]
        if step.lasts:
            await asyncio.sleep(step.lasts / SECOND)
            for number in numbers:
                await self.lift(number)

    async def on_process(self, step: FaultStep, name: str) -> None:
        process = self.running[name]
        if step.what == "wall jumps":
            process.wall_jumps(int(step.ahead * SECOND))
        elif step.what == "clock":
            process.rate = step.rate
        elif name in self.busy or not process.lives():
            self.skipped += 1
            return
        self.busy.add(name)
        self.history.add(step.what, name)
        try:
            await self._do(step, process)
        finally:
            self.busy.discard(name)
        self.history.add(f"{step.what} is over", name)
        self.done += 1

    async def _do(self, step: FaultStep, process: RunningProcess) -> None:
        until = monotonic_now() + step.lasts

        async def meanwhile() -> None:
            await asyncio.sleep(max(0.0, (until - monotonic_now()) / SECOND))

        if step.what == "pause":
            process.pause()
            await meanwhile()
            process.resume()
        elif step.what == "starve":
            process.starve(True)
            await meanwhile()
            process.starve(False)
        elif step.what in DISKS or step.what == "slow sync":
            process.disk(DISKS.get(step.what, 0), step.delay)
            await meanwhile()
            process.disk(0)
        elif step.what == "copy":
            process.pause()
            process.copy_folder()
            process.resume()
        elif step.what in ("kill", "restart", "empty", "older"):
            self.on_down(process.name, step.what)
            how = signal.SIGTERM if step.what == "restart" else signal.SIGKILL
            await process.end(how, self.ends_within)
            if step.what == "empty":
                process.empty_folder()
            elif step.what == "older":
                process.older_folder()
            await meanwhile()
            await process.start()
            self.on_up(process.name)

    # ---- The end ----

    def void(self) -> str:
        """Why the run proves nothing; "" where it does."""
        if self.latest > MOST_LATE:
            return f"the machine was too slow: the rig itself was late by {format_duration(self.latest)}"
        return ""

    def happened(self) -> list[HistoryEvent]:
        """All histories, in order of time; those of processes that still run up to now."""
        return read_histories(self.folder)

    def shown(self, finding: str, at: int) -> str:
        """A finding with what it takes to look into it."""
        events = self.happened()
        timeline: list[str] = next((e.detail[1] for e in events if e.what == "begin"), [])
        lines = [finding, f"seed {self.seed}; timeline:", *(f"  {row}" for row in timeline)]
        return "\n".join(
            [*lines, "what happened round it:", *(f"  {row}" for row in events_around(events, at))]
        )

    async def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for running in self.running.values():
            if running.crashed() and running.process is not None:
                self.faults.append(
                    f"{running.name} ended with {running.process.returncode}: {running.tail()}"
                )
        await asyncio.gather(*(running.kill() for running in self.running.values()))
        await asyncio.gather(*(child.stop() for child in self.children))
        for running in self.running.values():
            running.close()
        self.block.close()


def fault_of(step: FaultStep) -> LinkFault:
    """What a step on links lays."""
    kinds: dict[str, dict[str, Any]] = {
        "delay": {"delay": int(step.delay), "jitter": int(step.jitter)},
        "loss": {"loss": step.share},
        "double": {"double": step.share, "double_late": int(step.jitter)},
        "reorder": {"reorder": step.share, "jitter": int(step.jitter)},
        "cut": {"cut": True},
        "slow": {"rate": step.rate},
        "silent": {"silent": True},
        "reset": {},
        "rough": {"loss": step.share, "double": step.share, "jitter": int(step.jitter)},
    }
    return LinkFault(origin=step.who, target=step.to, **kinds[step.what])


async def in_groups(starts: Iterable[Awaitable[None]]) -> None:
    """Wait for all of them, some at a time. Raises what one of them raised, once none still starts."""
    turns = asyncio.Semaphore(STARTS_A_CORE * len(sched_getaffinity(0)))

    async def one(start: Awaitable[None]) -> None:
        async with turns:
            await start

    ended = await asyncio.gather(*(one(start) for start in starts), return_exceptions=True)
    for error in ended:
        if isinstance(error, BaseException):
            raise error


Ready = Callable[[], Awaitable[bool]]


def listens_at(host: str, port: int) -> Ready:
    """Ready once somebody takes connections there."""

    async def ready() -> bool:
        _, writer = await asyncio.open_connection(host, port)
        writer.close()
        return True

    return ready
