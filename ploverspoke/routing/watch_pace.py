"""How long watch requests wait at discovery: less than the list's validity, and longer under overload."""

from typing import NamedTuple

from ploverspoke.transport.units import MILLISECOND, SECOND

MIN_WAIT_NS = 2 * SECOND
MIN_WAIT_OF_LARGE_FLEET_NS = 3 * SECOND
MAX_WAIT_NS = 4 * SECOND  # the list has to be confirmed before it expires
# Discovery counts as overloaded if its responses are at least this late. Within its bounds a wait is
# `WAIT_PER_LATENESS` times the lateness, so that the calls of a fleet of any size take only a small part of
# discovery's time.
OVERLOAD_LATENESS_NS = 250 * MILLISECOND
WAIT_PER_LATENESS = 20
# Weight of a new response in the smoothed lateness, if it is later or earlier than the smoothed value.
LATER_WEIGHT = 0.25
EARLIER_WEIGHT = 0.8
MIN_LATENESS_LIMIT_NS = 500 * MILLISECOND
LATENESS_LIMIT_FACTOR = 4  # applied to the smoothed lateness
MAX_LATENESS_LIMIT_NS = 2250 * MILLISECOND
# Part of the list's validity that remains for a call and a backoff after a watch without a response.
VALIDITY_RESERVE_NS = 1250 * MILLISECOND
MIN_TIME_LEFT_SHARE = 0.25  # a wait may always take this share, as the settings may leave little time


class PaceLimits(NamedTuple):
    """Limits on the waits that follow from the settings, in ns."""

    fleet_call_duration: int  # discovery's time for one call from each dispatcher
    max_wait: int


class WatchPace:
    """Measures how late discovery responds, and derives waits and timeouts from it."""

    def __init__(self, fleet_call_duration: int, max_wait: int) -> None:
        """Start without a measurement; the arguments are the fields of `PaceLimits`."""
        self.lateness = 0.0  # ns, smoothed
        self.configure(fleet_call_duration, max_wait)

    def configure(self, fleet_call_duration: int, max_wait: int) -> None:
        """Replace the limits, as the settings have changed."""
        self.max_wait = min(max_wait, MAX_WAIT_NS)
        min_wait = max(MIN_WAIT_NS, min(fleet_call_duration, MIN_WAIT_OF_LARGE_FLEET_NS))
        self.min_wait = min(self.max_wait, min_wait)

    def record(self, wait: int, elapsed: int) -> None:
        """Record a response after `elapsed` ns; one that came before its wait was over is ignored."""
        if elapsed < wait:
            return
        difference = elapsed - wait - self.lateness
        weight = LATER_WEIGHT if difference > 0 else EARLIER_WEIGHT
        self.lateness += difference * weight

    def next_wait(self, time_left: int | None, is_continued: bool) -> int:
        """Return the next wait (ns) for a list that stays valid for `time_left` ns (None: it never expires).

        `is_continued`: the last call was answered. After a call that was not, discovery is asked to respond
        at once, which confirms that it works and that the list is complete.
        """
        if not is_continued:
            return 0
        paced = min(self.max_wait, max(self.min_wait, int(WAIT_PER_LATENESS * self.lateness)))
        if time_left is None or self.lateness >= OVERLOAD_LATENESS_NS:
            return paced
        before_expiry = time_left - VALIDITY_RESERVE_NS - self.lateness_limit()
        min_before_expiry = int(time_left * MIN_TIME_LEFT_SHARE)
        return max(0, min(paced, max(before_expiry, min_before_expiry)))

    def lateness_limit(self) -> int:
        """Return how late (ns) a response may be before its request times out."""
        scaled = int(LATENESS_LIMIT_FACTOR * self.lateness)
        return min(MAX_LATENESS_LIMIT_NS, max(MIN_LATENESS_LIMIT_NS, scaled))
