"""The other end of hollow processes: what the rig holds in place of a process for each dispatcher."""

import asyncio
import signal
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec

from ..processes.child_process import ChildProcess
from ..processes.running_process import ProcessStartError
from .simulated_dispatcher import DispatcherAddress

READY_WITHIN = 30.0  # seconds: several start at once in one process
COUNTED_WITHIN = 5.0
MODULE = "ploverspoke.testbed.scale"


class SimulatedDispatcherHost:
    """One hollow process."""

    def __init__(self, child: ChildProcess) -> None:
        self.child = child
        self.programs: dict[int, SimulatedDispatcherProgram] = {}
        self.asked: asyncio.Future[dict[str, Any]] | None = None
        self.listening: asyncio.Task[None] | None = None
        self.gone = False

    async def listen(self) -> None:
        """Raises ProcessStartError where it does not come up; from then on it is heard until its end."""
        told = await asyncio.wait_for(self.child.receive(), READY_WITHIN)
        if told is None:
            raise ProcessStartError("a hollow process ended at its start")
        self.listening = asyncio.create_task(self._listen())

    async def _listen(self) -> None:
        while (told := await self.child.receive()) is not None:
            if "serves" in told:
                self.programs[told["serves"]].comes_up()
            elif "ended" in told:
                self.programs[told["ended"]].has_ended(told["why"])
            elif self.asked is not None and not self.asked.done():
                self.asked.set_result(told["counts"])
        self.gone = True
        for program in self.programs.values():
            program.has_ended("its process has ended")

    async def counts(self) -> dict[str, Any]:
        """Raises ProcessStartError where it says nothing: it hangs, or is gone."""
        if self.asked is None or self.asked.done():
            self.asked = asyncio.get_running_loop().create_future()
            self.child.send({"count": True})
        try:
            return await asyncio.wait_for(asyncio.shield(self.asked), COUNTED_WITHIN)
        except TimeoutError:
            raise ProcessStartError("a hollow process does not say what it uses") from None


class SimulatedDispatcherProgram:
    """One dispatcher in one of them; what the rig does to a process of its own it does here, too."""

    def __init__(
        self, child: SimulatedDispatcherHost, place: DispatcherAddress, config: dict[str, Any]
    ) -> None:
        self.child = child
        self.place = place
        self.name = place.name
        self.process = child.child.process
        self.config = config
        self.starts = 0
        self.state = "down"  # or "starting", "serving", "ending"
        self.why = ""  # of its last end
        self.by_itself = ""  # why it ended though nobody told it to
        self.changed = asyncio.Event()
        child.programs[place.number] = self
        self.write()

    def write(self) -> None:
        """Its configuration's file, whole at any moment."""
        path = Path(self.place.config)
        fresh = path.with_suffix(".new")
        fresh.write_bytes(msgspec.json.encode(self.config))
        fresh.replace(path)

    # ---- What its process tells ----

    def comes_up(self) -> None:
        self.state = "serving"
        self.changed.set()

    def has_ended(self, why: str) -> None:
        if self.state in ("starting", "serving"):
            self.by_itself = why or "it ended, and nobody had told it to"
        self.state, self.why = "down", why
        self.changed.set()

    # ---- What the rig does ----

    async def start(self, more: Sequence[str] = ()) -> None:
        if self.is_running():
            raise ProcessStartError(f"{self.name} runs already: one handle is for one process")
        self.starts += 1
        self.state = "starting"
        self.child.child.send({"start": self.place.number})
        await self._until("serving", "down", within=READY_WITHIN)
        if self.state != "serving":
            raise ProcessStartError(f"{self.name} did not come up: {self.why or self.state}")

    async def stop(self, number: signal.Signals, timeout: float) -> None:
        """As its process ends: told to, or at once; past the time (s) it is killed."""
        if not self.is_running():
            return
        self.state = "ending"
        if number == signal.SIGTERM:
            self._tell("end")
            await self._until("down", within=timeout)
        if self.is_running():
            self._tell("kill")
            await self._until("down", within=READY_WITHIN)

    async def kill(self) -> None:
        await self.stop(signal.SIGKILL, READY_WITHIN)

    def read_again(self) -> None:
        """What SIGHUP says; the new configuration stands in its file."""
        self._tell("read again")

    def is_running(self) -> bool:
        return self.state != "down"

    def has_crashed(self) -> bool:
        return bool(self.by_itself)

    def log_tail(self) -> str:
        return self.by_itself

    def close(self) -> None: ...

    def _tell(self, what: str) -> None:
        self.child.child.send({what: self.place.number})

    async def _until(self, *states: str, within: float) -> None:
        try:
            async with asyncio.timeout(within):
                while self.state not in states:
                    self.changed.clear()
                    await self.changed.wait()
        except TimeoutError:
            return
