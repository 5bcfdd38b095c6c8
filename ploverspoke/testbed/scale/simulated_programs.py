"""The rig's side of simulated dispatchers: handles for their processes and for each dispatcher."""

import asyncio
import signal
from collections.abc import Sequence
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec

from ..processes.child_process import ChildProcess
from ..processes.running_process import ProcessStartError
from .host_messages import (
    BeginRun,
    CountUsage,
    DispatcherAddress,
    DispatcherEnded,
    DispatcherServes,
    HostCommand,
    HostEvent,
    KillDispatcher,
    ReloadConfig,
    StartDispatcher,
    StopDispatcher,
    UsageCounts,
)

READY_TIMEOUT_S = 30.0  # long, as several dispatchers start at once in one process
COUNT_TIMEOUT_S = 5.0
MODULE = "ploverspoke.testbed.scale"


class SimulatedDispatcherHost:
    """One process of simulated dispatchers."""

    def __init__(self, child: ChildProcess) -> None:
        """`child` is a process that runs MODULE."""
        self.child = child
        self.programs: dict[int, SimulatedDispatcherProgram] = {}
        self.listen_task: asyncio.Task[None] | None = None
        self._counts: asyncio.Future[UsageCounts] | None = None  # requested last

    async def listen(self) -> None:
        """Wait until the process is ready, then read its messages in a task. Raises ProcessStartError."""
        if await asyncio.wait_for(self.child.receive(), READY_TIMEOUT_S) is None:
            raise ProcessStartError(problem="a process of simulated dispatchers ended at its start")
        self.listen_task = asyncio.create_task(self._listen())

    async def _listen(self) -> None:
        while (message := await self.child.receive()) is not None:
            self._on_event(msgspec.convert(message, HostEvent))
        for program in self.programs.values():
            program.on_ended("its process has ended")

    def _on_event(self, event: HostEvent) -> None:
        match event:
            case DispatcherServes(number):
                self.programs[number].on_serving()
            case DispatcherEnded(number, reason):
                self.programs[number].on_ended(reason)
            case UsageCounts() if self._counts is not None and not self._counts.done():
                self._counts.set_result(event)
            case _:
                pass

    def send(self, command: HostCommand) -> None:
        """Send a command to the process."""
        self.child.send(command)

    def begin_run(self) -> None:
        """Tell the process that the run begins."""
        self.send(BeginRun())

    async def counts(self) -> UsageCounts:
        """Return the resource usage of the process. Raises ProcessStartError if it does not answer."""
        if self._counts is None or self._counts.done():
            self._counts = asyncio.get_running_loop().create_future()
            self.send(CountUsage())
        try:
            return await asyncio.wait_for(asyncio.shield(self._counts), COUNT_TIMEOUT_S)
        except TimeoutError as error:
            raise ProcessStartError(problem="a process of simulated dispatchers does not answer") from error


class ProgramState(Enum):
    """The state of one simulated dispatcher."""

    DOWN = "down"
    STARTING = "starting"
    SERVING = "serving"
    STOPPING = "stopping"


class SimulatedDispatcherProgram:
    """One simulated dispatcher, with the interface by which the rig controls a process."""

    def __init__(
        self, host: SimulatedDispatcherHost, address: DispatcherAddress, config: dict[str, Any]
    ) -> None:
        """Write its configuration file without starting it."""
        self.host = host
        self.address = address
        self.name = address.name
        self.process = host.child.process
        self.config = config
        self.starts = 0
        self.state = ProgramState.DOWN
        self.end_reason = ""  # of its last end; empty after a stop
        self._crash_reason = ""  # why it ended without being stopped
        self._changed = asyncio.Event()
        host.programs[address.number] = self
        self.write_config()

    def write_config(self) -> None:
        """Replace its configuration file atomically."""
        path = Path(self.address.config)
        new_path = path.with_suffix(".new")
        new_path.write_bytes(msgspec.json.encode(self.config))
        new_path.replace(path)

    # ---- Events of its process ----

    def on_serving(self) -> None:
        """Handle that the dispatcher has become ready to serve."""
        self.state = ProgramState.SERVING
        self._changed.set()

    def on_ended(self, reason: str) -> None:
        """Handle the end of the dispatcher; `reason` is empty after a stop."""
        if self.state in (ProgramState.STARTING, ProgramState.SERVING):
            self._crash_reason = reason or "it ended, and nobody had told it to"
        self.state, self.end_reason = ProgramState.DOWN, reason
        self._changed.set()

    # ---- Interface of the rig ----

    async def start(self, extra_arguments: Sequence[str] = ()) -> None:
        """Start it and wait until it serves. Raises ProcessStartError."""
        if self.is_running():
            raise ProcessStartError(process=self.name, problem="runs already: one handle is for one process")
        self.starts += 1
        self.state = ProgramState.STARTING
        self.host.send(StartDispatcher(self.address.number))
        await self._wait_for(ProgramState.SERVING, ProgramState.DOWN, timeout=READY_TIMEOUT_S)
        if self.state is not ProgramState.SERVING:
            problem = f"did not come up: {self.end_reason or self.state.value}"
            raise ProcessStartError(process=self.name, problem=problem)

    async def stop(self, number: signal.Signals, timeout: float) -> None:
        """Stop it with SIGTERM or kill it; after `timeout` (seconds) it is killed."""
        if not self.is_running():
            return
        self.state = ProgramState.STOPPING
        if number == signal.SIGTERM:
            self.host.send(StopDispatcher(self.address.number))
            await self._wait_for(ProgramState.DOWN, timeout=timeout)
        if self.is_running():
            self.host.send(KillDispatcher(self.address.number))
            await self._wait_for(ProgramState.DOWN, timeout=READY_TIMEOUT_S)

    async def kill(self) -> None:
        """Kill it."""
        await self.stop(signal.SIGKILL, READY_TIMEOUT_S)

    def reload_config(self) -> None:
        """Make it read its configuration file again."""
        self.host.send(ReloadConfig(self.address.number))

    def is_running(self) -> bool:
        """Whether it was started and has not ended."""
        return self.state is not ProgramState.DOWN

    def has_crashed(self) -> bool:
        """Whether it ended without being stopped."""
        return bool(self._crash_reason)

    def log_tail(self) -> str:
        """Return why it crashed."""
        return self._crash_reason

    def close(self) -> None:
        """Do nothing; the process is closed separately."""

    async def _wait_for(self, *states: ProgramState, timeout: float) -> None:
        """Wait until it is in one of the states, or the timeout (seconds) expires."""
        try:
            async with asyncio.timeout(timeout):
                while self.state not in states:
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            return
