"""Counts and logs of the calls to discovery: why each was made, how it ended, and the age of the list."""

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum

from ploverspoke.protocol import admin
from ploverspoke.transport.rate_limited_log import log_line
from ploverspoke.transport.units import MILLISECOND, SECOND


class CallReason(Enum):
    """Why a call was made at that time."""

    DUE = "due"  # the first one, or the one after a backoff
    ADDRESS_CHANGED = "address changed"
    ANSWERED = "last call answered"
    TIMED_OUT = "last call timed out"
    BROKEN_PUSH = "pushed watch broke"


class CallOutcome(Enum):
    """How a call ended."""

    ANSWERED = "answered"
    REJECTED = "rejected"  # discovery is overloaded or unavailable
    REFUSED = "refused"  # the connection, as nobody listens there
    NOT_CONNECTED = "not_connected"
    BROKEN = "broken"  # the connection ended before the answer
    INVALID = "invalid"  # the response is no list, or no HTTP
    TIMED_OUT = "timed_out"
    ABANDONED = "abandoned"  # another address is watched now


@dataclass(frozen=True, slots=True)
class WatchCall:
    """One call, as the log names it."""

    number: int
    reason: CallReason
    address: str
    version: int | None  # newer changes are requested; None: the whole list
    began_at: int


class WatchJournal:
    """Numbers the calls, counts their outcomes, and logs equal outcomes in a row ever more rarely."""

    def __init__(self, now: Callable[[], int]) -> None:
        """`now` is the monotonic clock, in ns."""
        self.now = now
        self.calls_begun = 0
        self.outcomes: Counter[CallOutcome] = Counter()
        self.list_confirmed_at = now()  # of the last answer, or of the start
        self.latest_outcome: CallOutcome | None = None  # of calls that were not abandoned
        self.in_a_row = 0  # calls with that outcome

    def begin(self, reason: CallReason, address: str, version: int | None) -> WatchCall:
        """Number a call that begins."""
        self.calls_begun += 1
        return WatchCall(self.calls_begun, reason, address, version, self.now())

    def end(self, call: WatchCall, outcome: CallOutcome, detail: str = "") -> None:
        """Count the end of a call, and log it unless its outcome repeats; `detail` is added to the line."""
        self.outcomes[outcome] += 1
        if outcome is CallOutcome.ABANDONED:
            self._log(call, outcome, detail, 1)
            return
        self.in_a_row = self.in_a_row + 1 if outcome is self.latest_outcome else 1
        self.latest_outcome = outcome
        is_answered = outcome is CallOutcome.ANSWERED
        is_power_of_two = self.in_a_row & (self.in_a_row - 1) == 0
        if self.in_a_row == 1 or (is_power_of_two and not is_answered):
            self._log(call, outcome, detail, self.in_a_row)
        if is_answered:
            self.list_confirmed_at = self.now()

    def list_age(self) -> int:
        """The time (ns) since the last answer of discovery, or since the start."""
        return self.now() - self.list_confirmed_at

    def lines(self) -> Iterator[str]:
        """The counters that operators fetch."""
        for outcome in CallOutcome:
            yield admin.labeled_counter_line(
                "watch_calls", {"outcome": outcome.value}, self.outcomes[outcome]
            )
        yield admin.counter_line("endpoint_list_age_ms", self.list_age() // MILLISECOND)

    def _log(self, call: WatchCall, outcome: CallOutcome, detail: str, in_a_row: int) -> None:
        elapsed = (self.now() - call.began_at) / MILLISECOND
        version = "the whole list" if call.version is None else f"changes of version {call.version}"
        log_line(
            f"discovery: call {call.number} to {call.address} for {version} ({call.reason.value}): "
            f"{outcome.value}{detail and f', {detail}'}, after {elapsed:.0f} ms, {in_a_row} in a row; "
            f"last answer {self.list_age() / SECOND:.2f} s ago"
        )
