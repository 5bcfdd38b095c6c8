"""Measures how long single connections and timers hold up the event loop."""

from collections import Counter
from enum import Enum

from .rate_limited_log import RateLimitedLog
from .units import MICROSECOND, MILLISECOND

SLOW_STEP = 50 * MILLISECOND  # a step that takes longer is counted and logged
BURST_LINES = 5
LINES_PER_SECOND = 0.5  # a separate limit, so that these lines do not suppress others


class ConnectionKind(Enum):
    """Who is at the other side of a connection."""

    __hash__ = object.__hash__  # members are looked up for each read, and Enum's hash runs in Python

    CLIENT = "client"
    WORKER = "worker"
    DISCOVERY = "discovery"
    OPERATOR = "operator"


class LoopMeter:
    """The longest step of each kind of connection, and how late timers were; times are in nanoseconds."""

    def __init__(self) -> None:
        """Start with nothing measured."""
        self.log = RateLimitedLog(BURST_LINES, LINES_PER_SECOND)
        self.longest_steps = dict.fromkeys(ConnectionKind, 0)
        self.slow_steps: Counter[ConnectionKind] = Counter()
        self.longest_timer_delay = 0

    def record_step(self, kind: ConnectionKind, elapsed: int, unread: int) -> None:
        """Record what one connection cost at a stretch; `unread` bytes were waiting to be read."""
        if elapsed > self.longest_steps[kind]:
            self.longest_steps[kind] = elapsed
        if elapsed > SLOW_STEP:
            self.slow_steps[kind] += 1
            self.log.write(
                f"a {kind.value}'s connection took {elapsed // MILLISECOND} ms at a stretch, "
                f"{unread} bytes were to be read"
            )

    def record_timer_delay(self, delay: int) -> None:
        """Record how late the earliest timer was called."""
        if delay > self.longest_timer_delay:
            self.longest_timer_delay = delay

    def longest_step_us(self, kind: ConnectionKind) -> int:
        """The longest step of connections of this kind, in microseconds."""
        return self.longest_steps[kind] // MICROSECOND
