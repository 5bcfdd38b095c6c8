"""What a supervisor decides, without I/O: when a child is started, told to end, killed; never about
submissions.

A driver calls one method for each thing that happens and says the time; it acts by calling the host. Times
are
nanoseconds of a monotonic clock. A child is known by its place, 0 to N-1; a place is empty, or one process
is in it.
"""

from collections import deque
from enum import Enum, auto
from typing import Protocol

MILLISECOND = 1_000_000
SECOND = 1_000_000_000

FIRST_WAIT = 200 * MILLISECOND  # before a child that died is started again...
LONGEST_WAIT = 15 * SECOND  # ...doubled each time up to this
WELL_AFTER = 30 * SECOND  # a life of that length makes the next wait the first again
LOOP_DEATHS, LOOP_WITHIN = 5, 60 * SECOND  # so many deaths in so long are a crash loop, said once
READY_WITHIN = 20 * SECOND  # of its start, else it is killed
ENDS_WITHIN = 6 * SECOND  # of being told to, else it is killed


class ChildState(Enum):
    WAITING = auto()  # empty, to be started at `until`
    STARTING = auto()
    READY = auto()
    ENDING = auto()  # told to end
    EMPTY = auto()  # ended, and nothing is to be started


class SupervisorActions(Protocol):
    def now(self) -> int: ...

    def start(self, place: int) -> None:
        """Raises OSError where no process can be had."""

    def end(self, place: int) -> None:
        """Tell it to end."""

    def kill(self, place: int) -> None: ...

    def log(self, line: str) -> None: ...

    def over(self, crashed: bool) -> None:
        """All children have ended, after we were told to."""


class ChildSlot:
    def __init__(self) -> None:
        self.state = ChildState.WAITING
        self.until = 0  # when something is to be done if nothing has happened
        self.started_at = 0
        self.wait = FIRST_WAIT
        self.deaths: deque[int] = deque(maxlen=LOOP_DEATHS)
        self.looping = False
        self.old = False  # it runs an older configuration
        self.killed = False


class ProcessSupervisor:
    def __init__(self, host: SupervisorActions, count: int) -> None:
        self.host = host
        self.places = [ChildSlot() for _ in range(count)]
        self.ending = False
        self.killed_any = False

    # ---- What can happen ----

    def begin(self) -> None:
        for place in range(len(self.places)):
            self._start(place)

    def ready(self, place: int) -> None:
        p = self.places[place]
        if p.state is ChildState.STARTING:
            p.state = ChildState.READY
            self._roll()

    def ended(self, place: int, status: int) -> None:
        """Its process is gone. Status as the system gives it: 0, an exit code, or less than 0, a signal."""
        p, now = self.places[place], self.host.now()
        expected, p.killed, p.old = p.state is ChildState.ENDING, False, False
        if self.ending:
            p.state = ChildState.EMPTY
            self._whether_over()
        elif expected:
            self._start(place)
        else:
            self._died(place, status, now)

    def told_to_end(self) -> None:
        if self.ending:
            return
        self.ending = True
        for place, p in enumerate(self.places):
            if p.state in (ChildState.STARTING, ChildState.READY):
                self._tell_to_end(place)
            elif p.state is ChildState.WAITING:
                p.state = ChildState.EMPTY
        self._whether_over()

    def new_configuration(self) -> None:
        """It was checked: it goes through the children one by one, so that the others serve meanwhile."""
        for p in self.places:
            p.old = p.state in (ChildState.STARTING, ChildState.READY)
        self._roll()

    def tick(self) -> None:
        now = self.host.now()
        for place, p in enumerate(self.places):
            if now < p.until:
                continue
            if p.state is ChildState.WAITING:
                self._start(place)
            elif p.state in (ChildState.STARTING, ChildState.ENDING) and not p.killed:
                self.host.log(
                    f"child {place} did not {'end' if p.state is ChildState.ENDING else 'come up'}: killed"
                )
                p.killed = self.killed_any = True
                self.host.kill(place)

    def next_tick(self) -> int | None:
        timed = (ChildState.WAITING, ChildState.STARTING, ChildState.ENDING)
        return min((p.until for p in self.places if p.state in timed and not p.killed), default=None)

    # ---- Inside ----

    def _start(self, place: int) -> None:
        p, now = self.places[place], self.host.now()
        p.state, p.started_at, p.until = ChildState.STARTING, now, now + READY_WITHIN
        p.old = p.killed = False
        try:
            self.host.start(place)
        except OSError as error:
            self.host.log(f"child {place} cannot be started: {error}")
            self._wait(p, now)

    def _died(self, place: int, status: int, now: int) -> None:
        p = self.places[place]
        lived = now - p.started_at
        if lived >= WELL_AFTER:
            p.wait = FIRST_WAIT
            p.looping = False
        p.deaths.append(now)
        if len(p.deaths) == LOOP_DEATHS and now - p.deaths[0] <= LOOP_WITHIN:
            if not p.looping:
                self.host.log(
                    f"CRASH LOOP: child {place} died {LOOP_DEATHS} times within a minute, last with {status}"
                )
            p.looping = True
        elif not p.looping:
            self.host.log(f"child {place} died with {status} after {lived / SECOND:.1f} s")
        self._wait(p, now)
        self._roll()

    def _wait(self, p: ChildSlot, now: int) -> None:
        p.state, p.until = ChildState.WAITING, now + p.wait
        p.wait = min(2 * p.wait, LONGEST_WAIT)

    def _tell_to_end(self, place: int) -> None:
        p = self.places[place]
        p.state, p.until, p.killed = ChildState.ENDING, self.host.now() + ENDS_WITHIN, False
        self.host.end(place)

    def _roll(self) -> None:
        """One old child at a time, and only while all others are ready: else there would be fewer than
        N-1.
        """
        if self.ending:
            return
        old = [n for n, p in enumerate(self.places) if p.old]
        busy = any(p.state in (ChildState.STARTING, ChildState.ENDING) and not p.old for p in self.places)
        if not old or busy:
            return
        # One that is still coming up with the old configuration is replaced like any other.
        self.places[old[0]].old = False
        self._tell_to_end(old[0])

    def _whether_over(self) -> None:
        if all(p.state is ChildState.EMPTY for p in self.places):
            self.host.over(self.killed_any)
