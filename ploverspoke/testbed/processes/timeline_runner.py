"""Applies the steps of a fault timeline to processes and links, each at its time."""

import asyncio
import contextlib
import signal
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import msgspec

from ..experiment_files.durations import MILLISECOND, SECOND
from ..experiment_files.fault_timeline import LINK_FAULTS, FaultStep
from .child_process import STOP_TIMEOUT
from .fault_controls import DiskMode
from .history import History, monotonic_now
from .lateness import LatenessMeter
from .link_fault_controller import LinkFaultController
from .link_faults import LinkFault
from .running_process import ProcessStartError, RunningProcess

LATENESS_CHECK_INTERVAL = 50 * MILLISECOND
DISK_MODES = {"disk full": DiskMode.FULL, "disk fails": DiskMode.FAILING, "slow sync": DiskMode.HEALTHY}
RESTARTS = ("kill", "restart", "empty", "older")


class TimelineRunner:
    """Runs a timeline. The hooks are called before a process is stopped, and once it is ready again."""

    def __init__(
        self,
        processes: Mapping[str, RunningProcess],
        link_faults: LinkFaultController,
        history: History,
        errors: list[str],
    ) -> None:
        """`processes` is by name, and the rig may still add to it; failed steps are appended to `errors`."""
        self.on_process_down: Callable[[str, str], None] = lambda name, step_kind: None
        self.on_process_up: Callable[[str], None] = lambda name: None
        self.stop_timeout = STOP_TIMEOUT  # seconds until a process that is being restarted is killed
        self.epoch = 0  # when the timeline began, in ns of the machine's monotonic clock
        self.lateness = LatenessMeter(LATENESS_CHECK_INTERVAL)  # of steps and of this process's event loop
        self.end_requested = asyncio.Event()  # set to end the run early
        self.busy: set[str] = set()  # names of processes to which a step is being applied
        self._processes = processes
        self._link_faults = link_faults
        self._history = history
        self._errors = errors
        self._tasks: set[asyncio.Task[None]] = set()

    def now(self) -> int:
        """The time since the timeline began, in ns."""
        return monotonic_now() - self.epoch

    async def run(
        self, steps: Sequence[FaultStep], duration: int, seed: int, starts_at: int | None = None
    ) -> None:
        """Apply the steps and wait until `duration` (ns) has passed, or `end_requested` is set.

        The timeline begins at `starts_at` (ns of the machine's monotonic clock), or now. The seed is recorded
        in the history.
        """
        self.epoch = monotonic_now() if starts_at is None else starts_at
        self._history.add("begin", [seed, [step.describe() for step in steps]])
        lateness_task = asyncio.create_task(self.lateness.run())
        for step in steps:
            await asyncio.sleep(max(0.0, (step.start - self.now()) / SECOND))
            self.lateness.record(self.now() - step.start)
            self._start_step(step)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.end_requested.wait(), max(0.0, (duration - self.now()) / SECOND))
        lateness_task.cancel()
        for task in list(self._tasks):
            await task
        if self._link_faults.is_open():
            await self._link_faults.read_counters()
        self._history.add("end")

    async def close(self) -> None:
        """Cancel the steps in progress."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start_step(self, step: FaultStep) -> None:
        task = asyncio.create_task(self._apply_step(step))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _apply_step(self, step: FaultStep) -> None:
        try:
            if step.kind in LINK_FAULTS:
                await self._apply_to_links(step)
            else:
                await asyncio.gather(*(self.apply_to_process(step, name) for name in step.processes))
        except (ProcessStartError, RuntimeError) as error:
            self._errors.append(f"{step.describe()}: {error}")

    async def _apply_to_links(self, step: FaultStep) -> None:
        forward = make_link_fault(step)
        backward = msgspec.structs.replace(forward, origin=forward.target, target=forward.origin)
        faults = [forward, backward] if step.both_directions else [forward]
        if step.kind == "reset":
            for fault in faults:
                await self._link_faults.reset_connections(fault)
            return
        numbers = [await self._link_faults.add_fault(fault) for fault in faults]
        if step.duration:
            await asyncio.sleep(step.duration / SECOND)
            for number in numbers:
                await self._link_faults.remove_fault(number)

    async def apply_to_process(self, step: FaultStep, name: str) -> None:
        """Apply a step to one process and return when it is over.

        A process that is busy with another step, or does not run, is skipped.
        """
        process = self._processes[name]
        if step.kind == "wall jumps":
            process.set_wall_clock_offset(int(step.wall_clock_offset * SECOND))
        elif step.kind == "clock":
            process.clock_rate = step.rate
        elif name in self.busy or not process.is_running():
            return
        self.busy.add(name)
        self._history.add(step.kind, name)
        try:
            await self._apply_process_fault(step, process)
        finally:
            self.busy.discard(name)
        self._history.add(f"{step.kind} is over", name)

    async def _apply_process_fault(self, step: FaultStep, process: RunningProcess) -> None:
        ends_at = monotonic_now() + step.duration
        if step.kind == "pause":
            process.pause()
            await _sleep_until(ends_at)
            process.resume()
        elif step.kind == "starve":
            process.start_starving()
            await _sleep_until(ends_at)
            process.stop_starving()
        elif step.kind in DISK_MODES:
            process.set_disk_fault(DISK_MODES[step.kind], step.delay)
            await _sleep_until(ends_at)
            process.set_disk_fault(DiskMode.HEALTHY)
        elif step.kind == "copy":
            process.pause()
            process.copy_folder()
            process.resume()
        elif step.kind in RESTARTS:
            await self._restart(step, process, ends_at)

    async def _restart(self, step: FaultStep, process: RunningProcess, starts_at: int) -> None:
        self.on_process_down(process.name, step.kind)
        stop_signal = signal.SIGTERM if step.kind == "restart" else signal.SIGKILL
        await process.stop(stop_signal, self.stop_timeout)
        if step.kind == "empty":
            process.clear_folder()
        elif step.kind == "older":
            process.restore_folder_copy()
        await _sleep_until(starts_at)
        await process.start()
        self.on_process_up(process.name)


def make_link_fault(step: FaultStep) -> LinkFault:
    """The link fault of a step, in the direction from its `processes` to its `peers`."""
    effects: dict[str, dict[str, Any]] = {
        "delay": {"delay": int(step.delay), "jitter": int(step.jitter)},
        "loss": {"loss": step.probability},
        "double": {"duplicate": step.probability, "duplicate_delay": int(step.jitter)},
        "reorder": {"reorder": step.probability, "jitter": int(step.jitter)},
        "cut": {"cut": True},
        "slow": {"rate": step.rate},
        "silent": {"silent": True},
        "reset": {},
        "rough": {"loss": step.probability, "duplicate": step.probability, "jitter": int(step.jitter)},
    }
    return LinkFault(origin=step.processes, target=step.peers, **effects[step.kind])


async def _sleep_until(at: int) -> None:
    await asyncio.sleep(max(0.0, (at - monotonic_now()) / SECOND))
