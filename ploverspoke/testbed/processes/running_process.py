"""One process of the program, started by the rig and ended by its own handle."""

import asyncio
import contextlib
import os
import shutil
import signal
import sys
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence
from pathlib import Path

import msgspec

from .addresses import Block
from .fault_controls import FaultControls
from .starter import StartPlan

READY_WITHIN = 20.0  # seconds
LOOKS_EVERY = 0.02
RUNS_FOR, STOPS_FOR = 0.02, 0.18  # seconds, of one that is starved of the processor
LOG_TAIL = 2000


class ProcessStartError(RuntimeError):
    """A process of the run did not come up."""


class RunningProcess:
    """Started any number of times with the same words. Its folder outlives its processes."""

    def __init__(
        self,
        block: Block,
        number: int,
        name: str,
        folder: Path,
        module: str,
        words: Sequence[str] = (),
        environment: Mapping[str, str] | None = None,
    ) -> None:
        self.name = name
        self.own, self.relayed = block.own(number), block.relayed(number)
        self.number = number
        self.folder = folder / name  # what it keeps
        self.folder.mkdir(exist_ok=True)
        self.older = folder / f"{name}.older"
        self.log = (folder / f"{name}.log").open("ab")
        self.module = module
        self.words = list(words)
        self.environment = dict(environment or {})
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0
        self.rate = 1.0  # of its clock, from its next start on
        self.paused = False
        self.plan = folder / f"{name}.plan.json"
        controls = folder / f"{name}.controls"
        self.controls = FaultControls(controls, new=True)
        self._plan = StartPlan(name, self.own, self.relayed, str(controls), str(folder / f"{name}.history"))
        self.ready: Callable[[], Awaitable[bool]] | None = None
        self.starving: asyncio.Task[None] | None = None

    # ---- Starts and ends ----

    async def start(self, more: Sequence[str] = ()) -> None:
        """Raises ProcessStartError where it does not get ready, its log's end in the text."""
        if self.lives():
            raise ProcessStartError(f"{self.name} runs already: one handle is for one process")
        self.plan.write_bytes(msgspec.json.encode(msgspec.structs.replace(self._plan, rate=self.rate)))
        self.starts += 1
        self.paused = False
        self.process = await asyncio.create_subprocess_exec(
            *self.command(),
            *self.words,
            *more,
            env={**os.environ, **self.environment},
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        until = time.monotonic() + READY_WITHIN
        while self.ready is not None:
            if self.process.returncode is not None or time.monotonic() > until:
                raise ProcessStartError(f"{self.name} did not come up; its log: {self.tail()}")
            with contextlib.suppress(OSError):
                if await self.ready():
                    return
            await asyncio.sleep(LOOKS_EVERY)

    def command(self) -> list[str]:
        starter = "ploverspoke.testbed.processes.starter"
        return [sys.executable, "-m", starter, str(self.plan), self.module]

    async def end(self, number: signal.Signals, within: float) -> None:
        """Send it a signal and wait for its end; past the time (s) it is killed."""
        if self.process is None:
            return
        self.starve(False)
        self.signal(number)
        if self.paused:
            self.resume()
        try:
            await asyncio.wait_for(self.process.wait(), within)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()

    async def kill(self) -> None:
        await self.end(signal.SIGKILL, READY_WITHIN)

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    def pause(self) -> None:
        self.paused = True
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        self.paused = False
        self.signal(signal.SIGCONT)

    def lives(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def crashed(self) -> bool:
        """Whether it has ended, and neither as it was told nor by our kill."""
        return self.process is not None and self.process.returncode not in (None, 0, -signal.SIGKILL)

    def tail(self) -> str:
        return Path(self.log.name).read_text(errors="replace")[-LOG_TAIL:]

    def close(self) -> None:
        self.log.close()
        self.controls.close()

    # ---- Its surroundings ----

    def starve(self, yes: bool) -> None:
        """It gets a tenth of the time, in slices."""
        if self.starving is not None:
            self.starving.cancel()
            self.starving = None
            self.resume()
        if yes:
            self.starving = asyncio.get_running_loop().create_task(self._starve())

    async def _starve(self) -> None:
        while True:
            self.pause()
            await asyncio.sleep(STOPS_FOR)
            self.resume()
            await asyncio.sleep(RUNS_FOR)

    def wall_jumps(self, ahead: int) -> None:
        """Its wall clock is so many ns ahead of the machine's."""
        self.controls.put("wall_ahead", ahead)

    def disk(self, mode: int, sync_takes: int = 0) -> None:
        self.controls.put("disk", mode)
        self.controls.put("sync_takes", sync_takes)

    def copy_folder(self) -> None:
        """For a later start with an older copy. The process must not run meanwhile, or be a paused one."""
        shutil.rmtree(self.older, ignore_errors=True)
        shutil.copytree(self.folder, self.older)

    def empty_folder(self) -> None:
        shutil.rmtree(self.folder)
        self.folder.mkdir()

    def older_folder(self) -> None:
        shutil.rmtree(self.folder)
        shutil.copytree(self.older, self.folder)
