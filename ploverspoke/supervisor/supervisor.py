"""The decisions of the supervisor, without I/O: when a child process is started, stopped or killed.

The driver (`process_runner.py`) calls one method for each event; the supervisor responds by calling its
`SupervisorActions`. All times are nanoseconds of a monotonic clock. A child is identified by the index of its
slot, 0 to N-1; a slot holds at most one process. The supervisor knows nothing about requests.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Protocol

from ploverspoke.transport.units import MILLISECOND, SECOND

INITIAL_RESTART_DELAY = 200 * MILLISECOND  # before the first restart; doubled with each further crash
MAX_RESTART_DELAY = 15 * SECOND
STABLE_RUN_TIME = 30 * SECOND  # after a run of this length, the delay starts from the initial one again
CRASH_LOOP_EXITS = 5  # this number of crashes within the window is a crash loop
CRASH_LOOP_WINDOW = 60 * SECOND
READY_TIMEOUT = 20 * SECOND  # after its start, a child that is not ready by then is killed
STOP_TIMEOUT = 6 * SECOND  # after the request to stop, a child that still runs by then is killed


class ChildState(Enum):
    """The state of one slot."""

    WAITING = auto()  # empty; a process is started at the slot's deadline
    STARTING = auto()
    READY = auto()
    STOPPING = auto()  # asked to stop, still running
    STOPPED = auto()  # permanently empty: the supervisor is shutting down


TIMED_STATES = (ChildState.WAITING, ChildState.STARTING, ChildState.STOPPING)
RUNNING_STATES = (ChildState.STARTING, ChildState.READY)


class SupervisorActions(Protocol):
    """The actions that the driver carries out for the supervisor."""

    def now(self) -> int:
        """Return the monotonic time in nanoseconds."""

    def start_child(self, index: int) -> None:
        """Start a process in the slot. Raises OSError if it cannot be created."""

    def stop_child(self, index: int) -> None:
        """Ask the process in the slot to stop."""

    def kill_child(self, index: int) -> None:
        """Kill the process in the slot."""

    def log(self, line: str) -> None:
        """Write one log line for the operators."""

    def on_all_stopped(self, any_killed: bool) -> None:
        """Handle the end of the shutdown; `any_killed`: a child had to be killed, now or earlier."""


@dataclass
class ChildSlot:
    """One slot and the history of the processes that ran in it."""

    state: ChildState = ChildState.WAITING
    deadline: int = 0  # when the supervisor acts if the state has not changed by then
    started_at: int = 0
    restart_delay: int = INITIAL_RESTART_DELAY
    crash_times: deque[int] = field(default_factory=lambda: deque(maxlen=CRASH_LOOP_EXITS))
    is_in_crash_loop: bool = False
    is_outdated: bool = False  # the process runs an older configuration
    was_killed: bool = False  # the process was killed, but its exit was not reported yet


class ProcessSupervisor:
    """Keeps one process in each slot, restarts them one by one for a new configuration, shuts them down."""

    def __init__(self, actions: SupervisorActions, count: int) -> None:
        """Create `count` empty slots; `start_all` fills them."""
        self.actions = actions
        self.slots = [ChildSlot() for _ in range(count)]
        self.is_shutting_down = False
        self.any_killed = False

    # ---- Events ----

    def start_all(self) -> None:
        """Start the first process of each slot."""
        for index in range(len(self.slots)):
            self._start(index)

    def on_child_ready(self, index: int) -> None:
        """The process in the slot is ready to serve."""
        slot = self.slots[index]
        if slot.state is ChildState.STARTING:
            slot.state = ChildState.READY
            self._continue_rolling_restart()

    def on_child_exited(self, index: int, status: int) -> None:
        """The process in the slot has exited. `status`: its exit code, or minus the signal that ended it."""
        slot, now = self.slots[index], self.actions.now()
        was_expected = slot.state is ChildState.STOPPING
        slot.was_killed = slot.is_outdated = False
        if self.is_shutting_down:
            slot.state = ChildState.STOPPED
            self._check_all_stopped()
        elif was_expected:
            self._start(index)
        else:
            self._restart_after_crash(index, status, now)

    def shut_down(self) -> None:
        """Stop all children and start no new ones."""
        if self.is_shutting_down:
            return
        self.is_shutting_down = True
        for index, slot in enumerate(self.slots):
            if slot.state in RUNNING_STATES:
                self._stop(index)
            elif slot.state is ChildState.WAITING:
                slot.state = ChildState.STOPPED
        self._check_all_stopped()

    def on_new_configuration(self) -> None:
        """Replace the children one by one while the others serve. The new configuration must be valid."""
        for slot in self.slots:
            slot.is_outdated = slot.state in RUNNING_STATES
        self._continue_rolling_restart()

    def tick(self) -> None:
        """Act on every slot whose deadline has passed. To be called at the time that `next_tick` returns."""
        now = self.actions.now()
        for index, slot in enumerate(self.slots):
            if now < slot.deadline:
                continue
            if slot.state is ChildState.WAITING:
                self._start(index)
            elif slot.state in (ChildState.STARTING, ChildState.STOPPING) and not slot.was_killed:
                self._kill(index)

    def next_tick(self) -> int | None:
        """Return the time of the next `tick`; None if none is needed."""
        deadlines = (
            slot.deadline for slot in self.slots if slot.state in TIMED_STATES and not slot.was_killed
        )
        return min(deadlines, default=None)

    # ---- Steps ----

    def _start(self, index: int) -> None:
        slot, now = self.slots[index], self.actions.now()
        slot.state, slot.started_at, slot.deadline = ChildState.STARTING, now, now + READY_TIMEOUT
        slot.is_outdated = slot.was_killed = False
        try:
            self.actions.start_child(index)
        except OSError as error:
            self.actions.log(f"child {index} cannot be started: {error}")
            self._wait_for_restart(slot, now)

    def _stop(self, index: int) -> None:
        slot = self.slots[index]
        slot.state, slot.was_killed = ChildState.STOPPING, False
        slot.deadline = self.actions.now() + STOP_TIMEOUT
        self.actions.stop_child(index)

    def _kill(self, index: int) -> None:
        slot = self.slots[index]
        failure = "did not stop" if slot.state is ChildState.STOPPING else "was not ready"
        self.actions.log(f"child {index} {failure} in time: killed")
        slot.was_killed = self.any_killed = True
        self.actions.kill_child(index)

    def _restart_after_crash(self, index: int, status: int, now: int) -> None:
        slot = self.slots[index]
        run_time = now - slot.started_at
        if run_time >= STABLE_RUN_TIME:
            slot.restart_delay = INITIAL_RESTART_DELAY
            slot.is_in_crash_loop = False
        slot.crash_times.append(now)
        self._report_crash(index, status, run_time, now)
        self._wait_for_restart(slot, now)
        self._continue_rolling_restart()

    def _report_crash(self, index: int, status: int, run_time: int, now: int) -> None:
        """Log a crash. A crash loop is logged once; further crashes during the loop are not logged."""
        slot = self.slots[index]
        if slot.is_in_crash_loop:
            return
        is_full = len(slot.crash_times) == CRASH_LOOP_EXITS
        slot.is_in_crash_loop = is_full and now - slot.crash_times[0] <= CRASH_LOOP_WINDOW
        if slot.is_in_crash_loop:
            self.actions.log(
                f"CRASH LOOP: child {index} exited {CRASH_LOOP_EXITS} times within a minute, "
                f"last with status {status}"
            )
        else:
            self.actions.log(f"child {index} exited with status {status} after {run_time / SECOND:.1f} s")

    def _wait_for_restart(self, slot: ChildSlot, now: int) -> None:
        slot.state, slot.deadline = ChildState.WAITING, now + slot.restart_delay
        slot.restart_delay = min(2 * slot.restart_delay, MAX_RESTART_DELAY)

    def _continue_rolling_restart(self) -> None:
        """Replace the next outdated child, unless another one is down: N-1 children must keep serving.

        A child that is still starting with the old configuration is replaced like any other.
        """
        outdated = [index for index, slot in enumerate(self.slots) if slot.is_outdated]
        is_any_down = any(
            slot.state in (ChildState.STARTING, ChildState.STOPPING) and not slot.is_outdated
            for slot in self.slots
        )
        if self.is_shutting_down or not outdated or is_any_down:
            return
        self.slots[outdated[0]].is_outdated = False
        self._stop(outdated[0])

    def _check_all_stopped(self) -> None:
        if all(slot.state is ChildState.STOPPED for slot in self.slots):
            self.actions.on_all_stopped(self.any_killed)
