"""One process of the program, which the rig starts, and ends through its process handle."""

import asyncio
import contextlib
import os
import shutil
import signal
import sys
import time
from collections.abc import Mapping, Sequence
from pathlib import Path

import msgspec

from .addresses import ProcessAddress
from .fault_controls import Control, DiskMode, FaultControls
from .launcher import LaunchPlan
from .readiness import ReadinessCheck

READY_TIMEOUT = 20.0  # seconds
READY_POLL_INTERVAL = 0.02  # seconds
STARVED_RUN, STARVED_PAUSE = 0.02, 0.18  # seconds; a starved process runs a tenth of the time
LOG_TAIL = 2000  # characters
LAUNCHER_MODULE = "ploverspoke.testbed.processes.launcher"


class ProcessStartError(RuntimeError):
    """A process of the run did not become ready.

    Attributes:
        process: Its name; empty if the problem names it.
        problem: The rest of a sentence that begins with the name, or the whole sentence.
    """

    def __init__(self, problem: str, *, process: str = "") -> None:
        """Join both into one sentence."""
        super().__init__(f"{process} {problem}" if process else problem)
        self.process, self.problem = process, problem


class RunningProcess:
    """A process that can be started repeatedly with the same arguments; its folder is kept between starts."""

    def __init__(
        self,
        address: ProcessAddress,
        folder: Path,
        module: str,
        arguments: Sequence[str] = (),
        environment: Mapping[str, str] | None = None,
    ) -> None:
        """Create its folder, log and controls in the run's folder."""
        self.name = address.name
        self.host = address.host
        self.folder = folder / self.name  # the process's own data
        self.folder.mkdir(exist_ok=True)
        self.folder_copy = folder / f"{self.name}.older"
        self.module = module
        self.arguments = list(arguments)
        self.environment = dict(environment or {})
        self.ready: ReadinessCheck | None = None
        self.clock_rate = 1.0  # relative to the machine's clock; takes effect at the next start
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0
        self.log_path = folder / f"{self.name}.log"
        self._log = self.log_path.open("ab")
        controls, history = folder / f"{self.name}.controls", folder / f"{self.name}.history"
        self._controls = FaultControls(controls, new=True)
        self._plan_file = folder / f"{self.name}.plan.json"
        self._plan = LaunchPlan(self.name, self.host, address.proxy_host, str(controls), str(history))
        self._is_paused = False
        self._starvation: asyncio.Task[None] | None = None

    # ---- Start and end ----

    async def start(self, extra_arguments: Sequence[str] = ()) -> None:
        """Start it, with `extra_arguments` for this start only, and wait until it is ready.

        Raises ProcessStartError, with the end of its log, if it does not become ready in time.
        """
        if self.is_running():
            raise ProcessStartError(process=self.name, problem="runs already: one handle is for one process")
        plan = msgspec.structs.replace(self._plan, clock_rate=self.clock_rate)
        self._plan_file.write_bytes(msgspec.json.encode(plan))
        self.starts += 1
        self._is_paused = False
        self.process = await asyncio.create_subprocess_exec(
            *(*self.command(), *self.arguments, *extra_arguments),
            env={**os.environ, **self.environment},
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )
        await self._wait_until_ready(self.process)

    async def _wait_until_ready(self, process: asyncio.subprocess.Process) -> None:
        deadline = time.monotonic() + READY_TIMEOUT
        while self.ready is not None:
            if process.returncode is not None or time.monotonic() > deadline:
                raise ProcessStartError(
                    process=self.name, problem=f"did not come up; its log: {self.log_tail()}"
                )
            with contextlib.suppress(OSError):
                if await self.ready():
                    return
            await asyncio.sleep(READY_POLL_INTERVAL)

    def command(self) -> list[str]:
        """The command line without its arguments; subclasses may run the module another way."""
        return [sys.executable, "-m", LAUNCHER_MODULE, str(self._plan_file), self.module]

    async def stop(self, number: signal.Signals, timeout: float) -> None:
        """Send it a signal and wait for its exit; kill it after `timeout` (s)."""
        if self.process is None:
            return
        self.stop_starving()
        self.signal(number)
        if self._is_paused:
            self.resume()
        try:
            await asyncio.wait_for(self.process.wait(), timeout)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()

    async def kill(self) -> None:
        """End it at once."""
        await self.stop(signal.SIGKILL, READY_TIMEOUT)

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal, if it runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    def is_running(self) -> bool:
        """Whether it was started and has not ended."""
        return self.process is not None and self.process.returncode is None

    def has_crashed(self) -> bool:
        """Whether it has ended with an error, or by a signal other than SIGKILL, which the rig sends."""
        return self.process is not None and self.process.returncode not in (None, 0, -signal.SIGKILL)

    def log_tail(self) -> str:
        """The end of its log."""
        return self.log_path.read_text(errors="replace")[-LOG_TAIL:]

    def close(self) -> None:
        """Close its log and its controls."""
        self._log.close()
        self._controls.close()

    # ---- Faults ----

    def pause(self) -> None:
        """Suspend it until `resume`."""
        self._is_paused = True
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let it run again."""
        self._is_paused = False
        self.signal(signal.SIGCONT)

    def start_starving(self) -> None:
        """Let it run only a tenth of the time, in short slices."""
        self.stop_starving()
        self._starvation = asyncio.get_running_loop().create_task(self._starve())

    def stop_starving(self) -> None:
        """Let it run all the time again."""
        if self._starvation is not None:
            self._starvation.cancel()
            self._starvation = None
            self.resume()

    async def _starve(self) -> None:
        while True:
            self.pause()
            await asyncio.sleep(STARVED_PAUSE)
            self.resume()
            await asyncio.sleep(STARVED_RUN)

    def set_wall_clock_offset(self, offset: int) -> None:
        """Set its wall clock `offset` ns ahead of the machine's, or behind if negative."""
        self._controls.set(Control.WALL_CLOCK_OFFSET, offset)

    def set_disk_fault(self, mode: DiskMode, sync_delay: int = 0) -> None:
        """Change how its disk behaves; each commit takes `sync_delay` ns longer."""
        self._controls.set(Control.DISK_MODE, mode)
        self._controls.set(Control.SYNC_DELAY, sync_delay)

    def copy_folder(self) -> None:
        """Copy its folder for `restore_folder_copy`. The process must be paused or stopped."""
        shutil.rmtree(self.folder_copy, ignore_errors=True)
        shutil.copytree(self.folder, self.folder_copy)

    def clear_folder(self) -> None:
        """Delete its data. The process must be stopped."""
        shutil.rmtree(self.folder)
        self.folder.mkdir()

    def restore_folder_copy(self) -> None:
        """Replace its data with the copy. The process must be stopped."""
        shutil.rmtree(self.folder)
        shutil.copytree(self.folder_copy, self.folder)
