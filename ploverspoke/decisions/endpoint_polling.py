"""Scheduling of service discovery calls: spread over time, with backoff, before the endpoint list expires."""

from dataclasses import dataclass
from typing import NamedTuple

from .context import Context
from .list_validity import ListValidity
from .state import MILLISECOND, SECOND, PeriodicTimer

FIRST_BACKOFF_NS = 250 * MILLISECOND
MAX_BACKOFF_DOUBLINGS = 5
MIN_BACKOFFS_PER_POLL_INTERVAL = 4
MAX_BACKOFF_NS = 3 * SECOND
MAX_BACKOFF_AFTER_REJECTION_NS = 5 * SECOND  # less than the delay after which a change is binding
# While the list is valid, a backoff takes only this share of the time left, so that several calls are made
# before the list expires: a limit on each backoff does not limit their sum. After the expiry it is not used.
TIME_LEFT_SHARE = 0.6
ANSWER_TIME_NS = 250 * MILLISECOND  # reserved for the answer to the last call before the expiry
MIN_TIME_LEFT_NS = 400 * MILLISECOND  # with less time left, the list expires before any answer
# A backoff is multiplied by a random factor in this range (jitter), which spreads the calls of dispatchers.
MIN_JITTER = 0.5
MAX_JITTER = 1.5
MAX_JITTER_AFTER_REJECTION = 1.0
PUSH_RETRY_NS = 100 * MILLISECOND  # short, as an agent that pushes lists has no other callers
# After a change of discovery's address: half a second less than the delay until changes there are binding.
ADDRESS_CHANGE_TTL_NS = 3500 * MILLISECOND
ADDRESS_CHANGE_SPREAD_SHARE = 0.2  # of the time that the calls of all dispatchers take
MAX_ADDRESS_CHANGE_SPREAD_NS = SECOND


class Backoff(NamedTuple):
    """The time until the next call, and the reason for its length."""

    delay: int  # ns
    reason: str  # for the log


@dataclass(eq=False)
class EndpointPolling:
    """Schedules the calls to service discovery so that those of many dispatchers do not coincide."""

    context: Context
    validity: ListValidity
    failures: int = 0  # consecutive
    due_token: int = 0  # of the current timer, 0: none; timers with other tokens are outdated
    due_at: int = 0

    def start(self, has_workers: bool, now: int) -> None:
        """Start watching the list after a random delay, or at once if no worker is known."""
        if not self.context.settings.discovery_polling:
            return
        if has_workers:
            spread = self.context.fleet_call_duration
            self._call_after(int(self.context.random.fraction() * spread), now)
        else:
            self.context.actions.watch_endpoints()

    def address_changed(self, now: int) -> None:
        """Schedule a call to discovery's new address, spread over time as all dispatchers have to call it."""
        self.failures = 0
        self.validity.shorten(now + ADDRESS_CHANGE_TTL_NS)
        all_calls = self.context.fleet_call_duration
        spread = min(all_calls * ADDRESS_CHANGE_SPREAD_SHARE, MAX_ADDRESS_CHANGE_SPREAD_NS)
        if not self.context.settings.discovery_polling:
            spread = 0
        delay = int(spread * self.context.random.fraction())
        # Address changes in quick succession must not postpone the call repeatedly.
        if not self.due_token or now + delay < self.due_at:
            self._call_after(delay, now)

    def record_answer(self) -> None:
        """Reset the failures and the timer after a list was received or confirmed."""
        self.failures = 0
        self.due_token = 0

    def is_due(self, token: int) -> bool:
        """Whether this timer is the current one; true only once for each timer."""
        if token != self.due_token:
            return False
        self.due_token = 0
        return True

    def watch_failed(self, is_rejected: bool, is_unreachable: bool, now: int) -> None:
        """Watch again after a backoff; `is_unreachable`: no process listens at discovery's address."""
        self.failures += 1
        settings = self.context.settings
        if is_unreachable and not settings.probing_allowed and self.validity.is_valid(now):
            # No change is binding while discovery is unreachable, and no health check could replace the list.
            self.validity.confirm(now, now)
        if settings.discovery_polling:
            backoff = self._backoff(is_rejected, now)
        else:
            backoff = Backoff(PUSH_RETRY_NS, "the agent has no other callers")
            self.validity.shorten(now + self.validity.pushed_ttl())
        self._call_after(backoff.delay, now)
        self._log_failure(is_rejected, backoff)

    def _log_failure(self, is_rejected: bool, backoff: Backoff) -> None:
        is_power_of_two = self.failures & (self.failures - 1) == 0
        if is_power_of_two:
            outcome = "rejected" if is_rejected else "failed"
            self.context.log.write(
                f"endpoint watch {outcome}, {self.failures} in a row; "
                f"next call in {backoff.delay / SECOND:.2f} s: {backoff.reason}"
            )

    def call_timed_out(self, as_of: int, now: int) -> None:
        """Renew a pushed list: an agent is silent while it learns nothing, so no change is binding yet."""
        settings = self.context.settings
        if not settings.discovery_polling and not settings.probing_allowed and self.validity.is_valid(now):
            self.validity.confirm(as_of, now)

    def _backoff(self, is_rejected: bool, now: int) -> Backoff:
        """Exponential backoff with jitter, shortened if the list expires soon."""
        max_delay = min(
            self.context.settings.discovery_poll_interval // MIN_BACKOFFS_PER_POLL_INTERVAL, MAX_BACKOFF_NS
        )
        delay = min(FIRST_BACKOFF_NS << min(self.failures, MAX_BACKOFF_DOUBLINGS), max_delay)
        reason, max_jitter = "it grows with each failure", MAX_JITTER
        if is_rejected:
            # Discovery is overloaded: leave enough time for the calls of all dispatchers.
            delay = min(max(delay, self.context.fleet_call_duration), MAX_BACKOFF_AFTER_REJECTION_NS)
            reason, max_jitter = "it leaves time for the calls of all", MAX_JITTER_AFTER_REJECTION
        time_left = self.validity.time_left(now)
        if time_left is not None and time_left - ANSWER_TIME_NS > MIN_TIME_LEFT_NS:
            affordable = int(TIME_LEFT_SHARE * (time_left - ANSWER_TIME_NS) / max_jitter)
            if affordable < delay:
                delay, reason = affordable, "the list expires soon"
        jitter = (max_jitter - MIN_JITTER) * self.context.random.fraction()
        return Backoff(int(delay * (MIN_JITTER + jitter)), reason)

    def _call_after(self, delay: int, now: int) -> None:
        self.due_at = now + delay
        self.due_token = self.context.timers.start(PeriodicTimer.WATCH_ENDPOINTS, self.due_at)
