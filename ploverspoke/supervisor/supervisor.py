"""The decisions of the supervisor, without I/O: when a child process is started, stopped or killed.

The driver (`process_runner.py`) calls one method for each event; the supervisor answers by calling its
`SupervisorActions`. All times are nanoseconds of a monotonic clock. A child is identified by the index of its
slot, 0 to N-1; a slot holds at most one process. The supervisor knows nothing about requests.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Protocol

from ploverspoke.transport.units import MILLISECOND, SECOND

FIRST_RESTART_DELAY = 200 * MILLISECOND  # before the first restart; doubled with each further crash
LONGEST_RESTART_DELAY = 15 * SECOND
STABLE_AFTER = 30 * SECOND  # a child that ran this long starts again with the first delay
CRASH_LOOP_EXITS = 5  # so many crashes within the window are a crash loop
CRASH_LOOP_WINDOW = 60 * SECOND
READY_TIMEOUT = 20 * SECOND  # from the start of a child until it is ready, else it is killed
STOP_TIMEOUT = 6 * SECOND  # from the request to stop until the exit, else it is killed


class ChildState(Enum):
    """The state of one slot."""

    WAITING = auto()  # empty; a process is started at the slot's deadline
    STARTING = auto()
    READY = auto()
    STOPPING = auto()  # asked to stop, still running
    STOPPED = auto()  # empty for good: the supervisor is shutting down


TIMED_STATES = (ChildState.WAITING, ChildState.STARTING, ChildState.STOPPING)
RUNNING_STATES = (ChildState.STARTING, ChildState.READY)


class SupervisorActions(Protocol):
    """What the supervisor needs from its driver."""

    def now(self) -> int:
        """Return the monotonic time in nanoseconds."""

    def start_child(self, index: int) -> None:
        """Start a process in the slot. Raises OSError where the system gives none."""

    def stop_child(self, index: int) -> None:
        """Ask the process in the slot to stop."""

    def kill_child(self, index: int) -> None:
        """Kill the process in the slot."""

    def log(self, line: str) -> None:
        """Write one line for the person on call."""

    def on_all_stopped(self, any_killed: bool) -> None:
        """Take note that the shutdown is complete; `any_killed`: a child had to be killed, now or before."""


@dataclass
class ChildSlot:
    """One slot and the history of the processes that ran in it."""

    state: ChildState = ChildState.WAITING
    deadline: int = 0  # when the supervisor acts if the state has not changed by then
    started_at: int = 0
    restart_delay: int = FIRST_RESTART_DELAY
    crash_times: deque[int] = field(default_factory=lambda: deque(maxlen=CRASH_LOOP_EXITS))
    in_crash_loop: bool = False
    is_outdated: bool = False  # the process runs an older configuration
    was_killed: bool = False  # the process in it was killed, and its exit has not been seen yet


class ProcessSupervisor:
    """Keeps one process in each slot, rolls a new configuration through them and shuts them down."""

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
        """The process in the slot serves."""
        slot = self.slots[index]
        if slot.state is ChildState.STARTING:
            slot.state = ChildState.READY
            self._continue_roll()

    def on_child_exited(self, index: int, status: int) -> None:
        """The process in the slot is gone. `status`: its exit code, or minus the signal that ended it."""
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
        """Stop all children and start none from now on."""
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
        """Replace the children one by one, so that the others serve meanwhile. The file was checked."""
        for slot in self.slots:
            slot.is_outdated = slot.state in RUNNING_STATES
        self._continue_roll()

    def tick(self) -> None:
        """Act on every slot whose deadline has come. To be called at the time that `next_tick` gives."""
        now = self.actions.now()
        for index, slot in enumerate(self.slots):
            if now < slot.deadline:
                continue
            if slot.state is ChildState.WAITING:
                self._start(index)
            elif slot.state in (ChildState.STARTING, ChildState.STOPPING) and not slot.was_killed:
                self._kill(index)

    def next_tick(self) -> int | None:
        """Return the time of the next `tick`, None where nothing is due."""
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
        if run_time >= STABLE_AFTER:
            slot.restart_delay = FIRST_RESTART_DELAY
            slot.in_crash_loop = False
        slot.crash_times.append(now)
        self._report_crash(index, status, run_time, now)
        self._wait_for_restart(slot, now)
        self._continue_roll()

    def _report_crash(self, index: int, status: int, run_time: int, now: int) -> None:
        """Report a crash loop once; nothing about the slot while the loop goes on."""
        slot = self.slots[index]
        if slot.in_crash_loop:
            return
        is_full = len(slot.crash_times) == CRASH_LOOP_EXITS
        slot.in_crash_loop = is_full and now - slot.crash_times[0] <= CRASH_LOOP_WINDOW
        if slot.in_crash_loop:
            self.actions.log(
                f"CRASH LOOP: child {index} exited {CRASH_LOOP_EXITS} times within a minute, "
                f"last with status {status}"
            )
        else:
            self.actions.log(f"child {index} exited with status {status} after {run_time / SECOND:.1f} s")

    def _wait_for_restart(self, slot: ChildSlot, now: int) -> None:
        slot.state, slot.deadline = ChildState.WAITING, now + slot.restart_delay
        slot.restart_delay = min(2 * slot.restart_delay, LONGEST_RESTART_DELAY)

    def _continue_roll(self) -> None:
        """Replace the next outdated child, unless another one is down: N-1 of them must go on serving.

        A child that is still starting with the older configuration is replaced like any other.
        """
        outdated = [index for index, slot in enumerate(self.slots) if slot.is_outdated]
        is_one_down = any(
            slot.state in (ChildState.STARTING, ChildState.STOPPING) and not slot.is_outdated
            for slot in self.slots
        )
        if self.is_shutting_down or not outdated or is_one_down:
            return
        self.slots[outdated[0]].is_outdated = False
        self._stop(outdated[0])

    def _check_all_stopped(self) -> None:
        if all(slot.state is ChildState.STOPPED for slot in self.slots):
            self.actions.on_all_stopped(self.any_killed)
