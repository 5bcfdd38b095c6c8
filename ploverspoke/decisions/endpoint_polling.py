"""When service discovery is called: spread over time, and in time for the list to stay valid."""

from dataclasses import dataclass

from .context import Context
from .list_validity import ListValidity
from .state import MILLISECOND, SECOND, PeriodicTimer

FIRST_BACKOFF_NS = 250 * MILLISECOND
MOST_DOUBLINGS = 5
LONGEST_OWN_BACKOFF_NS = 3 * SECOND
LONGEST_BACKOFF_NS = 5 * SECOND  # less than the time after which a change binds
# While the list is valid a backoff takes only a part of the time left, so that several calls come before it
# expires: each would be bounded without that, but not their sum. Once it has expired there is no such hurry.
SHARE_OF_TIME_LEFT = 0.6
ANSWER_TIME_NS = 250 * MILLISECOND  # that the last of these calls is given
LEAST_TIME_LEFT_NS = 400 * MILLISECOND  # with less, the list expires before an answer
# A backoff is waited by chance from this share of it on, which keeps dispatchers apart.
LEAST_SHARE = 0.5
MOST_SHARE = 1.5
PUSH_RETRY_NS = 100 * MILLISECOND  # an agent that pushes lists has no other callers
MOVE_BINDS_AFTER_NS = 3500 * MILLISECOND  # half a second before changes at another address bind
MOVE_SPREAD_SHARE = 0.2  # of the time that the calls of all dispatchers take
LONGEST_MOVE_SPREAD_NS = SECOND


@dataclass(eq=False)
class EndpointPolling:
    """Calls service discovery so that dispatchers do not find each other in its queue."""

    context: Context
    validity: ListValidity
    failures: int = 0  # in a row
    due_token: int = 0  # of the timer that counts, 0: none; others belong to an earlier state
    due_at: int = 0

    def begin(self, has_workers: bool, now: int) -> None:
        """Watch the list from a random moment on, or at once where no worker is known."""
        if self.context.settings.discovery_polling and has_workers:
            self._call_after(int(self.context.random.fraction() * self.context.time_for_all_calls), now)
        elif self.context.settings.discovery_polling:
            self.context.actions.watch_endpoints()

    def moved(self, now: int) -> None:
        """Discovery has another address: all dispatchers have to call there."""
        self.failures = 0
        self.validity.shorten(now + MOVE_BINDS_AFTER_NS)
        spread = min(self.context.time_for_all_calls * MOVE_SPREAD_SHARE, LONGEST_MOVE_SPREAD_NS)
        if not self.context.settings.discovery_polling:
            spread = 0
        delay = int(spread * self.context.random.fraction())
        # Moves in quick succession must not put the call off again and again.
        if not self.due_token or now + delay < self.due_at:
            self._call_after(delay, now)

    def answered(self) -> None:
        """A list has come, or has been confirmed."""
        self.failures = 0
        self.due_token = 0

    def is_due(self, token: int) -> bool:
        """Whether this timer still counts, which it does once, or belongs to an earlier state."""
        if token != self.due_token:
            return False
        self.due_token = 0
        return True

    def watch_failed(self, is_rejected: bool, is_unreachable: bool, now: int) -> None:
        """Watch again after a backoff; `is_unreachable`: discovery certainly has nothing to tell now."""
        self.failures += 1
        settings = self.context.settings
        if is_unreachable and not settings.probing_allowed and self.validity.is_valid(now):
            # Nothing binds while it cannot be reached, and without health checks there is only the list.
            self.validity.confirm(now, now)
        if settings.discovery_polling:
            delay, reason = self._backoff(is_rejected, now)
        else:
            delay, reason = PUSH_RETRY_NS, "the agent has no other callers"
            self.validity.shorten(now + self.validity.pushed_validity())
        self._call_after(delay, now)
        if self.failures & (self.failures - 1) == 0:  # the first, the second, the fourth and so on
            why = "rejected" if is_rejected else "failed"
            self.context.log.write(
                f"endpoint watch {why}, {self.failures} in a row; "
                f"next call in {delay / SECOND:.2f} s: {reason}"
            )

    def call_was_silent(self, as_of: int, now: int) -> None:
        """An agent that pushes lists is silent while it learns nothing: what it gets later binds later."""
        settings = self.context.settings
        if not settings.discovery_polling and not settings.probing_allowed and self.validity.is_valid(now):
            self.validity.confirm(as_of, now)

    def _backoff(self, is_rejected: bool, now: int) -> tuple[int, str]:
        longest = self.context.settings.discovery_poll_interval // 4
        backoff = min(FIRST_BACKOFF_NS << min(self.failures, MOST_DOUBLINGS), longest, LONGEST_OWN_BACKOFF_NS)
        reason, most_share = "it grows with each failure", MOST_SHARE
        if is_rejected:
            # Discovery has too many calls: those of all dispatchers need their time.
            backoff = min(max(backoff, self.context.time_for_all_calls), LONGEST_BACKOFF_NS)
            reason, most_share = "it leaves time for the calls of all", 1.0
        left = self.validity.time_left(now)
        if left is not None and left - ANSWER_TIME_NS > LEAST_TIME_LEFT_NS:
            share = int(SHARE_OF_TIME_LEFT * (left - ANSWER_TIME_NS) / most_share)
            if share < backoff:
                backoff, reason = share, "the list expires soon"
        chance = (most_share - LEAST_SHARE) * self.context.random.fraction()
        return int(backoff * (LEAST_SHARE + chance)), reason

    def _call_after(self, delay: int, now: int) -> None:
        self.due_at = now + delay
        self.due_token = self.context.timers.start(PeriodicTimer.WATCH_ENDPOINTS, self.due_at)
